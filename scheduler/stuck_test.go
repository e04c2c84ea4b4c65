package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A run of a durable job that a successor continues and that never ends is stopped after hungFactor times
// its expected run time, counted from the takeover, and its task starts again. Otherwise the job
// waits for a run on a target that hung under its previous owner.
func TestInheritedStuckRunStartsAgain(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.effects()
	inherited := work.RunID{Task: "j.0.0.0", Number: 7}
	list := func() {
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(inherited)})
	}
	list()
	sub := b.durableJob("j", 1)
	sub.Job.Steps[0].DeclaredRunTime = time.Second
	b.s.ResumeJob(b.now, sub, Progress{})
	b.s.FinishResume(b.now)
	b.effects()
	began := b.now
	var stops []StopRun
	for len(stops) == 0 && b.now < began+time.Minute {
		list()
		stops = pickEffects[StopRun](b.advance(100 * ms))
	}
	must.Eq(t, inherited, stops[0].Run)
	must.Greater(t, hungFactor*time.Second, b.now-began)
	must.Less(t, hungFactor*time.Second+300*ms, b.now-began)
	b.answerPoll("a", pollWithCompletion(1, inherited, work.CompletionStopped))
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, starts)
	must.Eq(t, "j.0.0.0", starts[0].Run.Task)
}
