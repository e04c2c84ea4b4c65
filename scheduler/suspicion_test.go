package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// rareLabel is the label of one target alone.
const rareLabel = "rare"

// newRareHarness returns a harness with three usable targets, of which "a" alone has the rare label.
func newRareHarness(t *testing.T) *harness {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	for _, id := range []string{"a", "b", "c"} {
		entry := work.Target{ID: id, Capacity: work.Resources{CPU: 4}}
		if id == "a" {
			entry.Labels = []string{rareLabel, "r1"}
		}
		b.listTarget(entry)
		b.effects()
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
	}
	return b
}

// startRare has a stored job of one task run on the target with the rare label.
func (b *harness) startRare(id string, st work.Step) []StartRun {
	st.Tasks, st.RequiredLabel, st.PerTask = 1, rareLabel, work.Resources{CPU: 1}
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps(id, st)))
	b.confirmStarts(starts)
	return starts
}

// awaitStart moves the time forward until a task of a job starts, and returns how long that took, or the
// limit. Polls list the runs that are given.
func (b *harness) awaitStart(job string, limit time.Duration, running ...work.RunID) time.Duration {
	began := b.now
	for b.now-began < limit {
		effects := b.advance(20 * ms)
		for _, poll := range pickEffects[Poll](effects) {
			answer := work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()}
			if poll.To.ID == "a" {
				answer.Running = listing(running...)
			}
			b.answerPoll(poll.To.ID, answer)
		}
		started := func(start StartRun) bool { return start.Run.Task == job+".0.0.0" }
		if slices.ContainsFunc(pickEffects[StartRun](effects), started) {
			break
		}
	}
	return b.now - began
}

// A run that takes longer than declared postpones the next probe of its suspected target once: it would
// otherwise keep the target from all other work for as long as it lasts.
func TestOverdueRunPostponesProbeOnce(t *testing.T) {
	b := newRareHarness(t)
	long := b.startRare("long", work.Step{DeclaredRunTime: time.Second})
	must.SliceLen(t, 1, long)
	b.s.targets["a"].health.markSuspected(b.now)
	b.s.markChanged(b.s.targets["a"])
	b.awaitStart("none", 3*time.Second, long[0].Run)
	must.SliceEmpty(t, b.startRare("next", work.Step{DeclaredRunTime: 100 * ms}))
	must.Less(t, 2*time.Second, b.awaitStart("next", 3*time.Second, long[0].Run))
}

// A durable job runs on a slow target that alone can hold its tasks, although a run there never ends. The
// target's speed is measured by runs that end, so nothing else would show that it is fast again.
func TestDurableJobUsesSlowTargetBesideLastingTask(t *testing.T) {
	b := newRareHarness(t)
	lasting := b.startRare("lasting", work.Step{Lasting: true})
	must.SliceLen(t, 1, lasting)
	b.s.targets["a"].health.speed = maxSampleSpeed
	b.s.Tick(b.now)
	must.True(t, b.s.targets["a"].isSlow())
	must.SliceEmpty(t, b.startRare("next", work.Step{DeclaredRunTime: time.Second}))
	must.LessEq(t, probeTime+100*ms, b.awaitStart("next", 10*time.Second, lasting[0].Run))
}

// A run on a suspected target goes on where the free targets can't hold its task: stopped again and again, it
// would never end.
func TestLongRunIsNotMovedToUnfitTarget(t *testing.T) {
	b := newRareHarness(t)
	long := b.startRare("long", work.Step{DeclaredRunTime: time.Second})
	must.SliceLen(t, 1, long)
	b.s.targets["a"].health.markSuspected(b.now)
	b.s.markChanged(b.s.targets["a"])
	b.awaitStart("none", 4*time.Second, long[0].Run)
	run := b.s.targets["a"].runs[long[0].Run.Task]
	must.Eq(t, long[0].Run, run.RunID)
	must.Nil(t, run.stop)
}

// A lasting task that runs on ends the suspicion of its target: it never succeeds, and the other lasting
// tasks that wait would otherwise start one at a time.
func TestLastingProbeEndsSuspicion(t *testing.T) {
	b := newRareHarness(t)
	target := b.s.targets["a"]
	target.health.markSuspected(b.now)
	b.s.markChanged(target)
	b.advance(maxBackoff)
	first := b.startRare("first", work.Step{Lasting: true})
	must.SliceLen(t, 1, first)
	for _, id := range []string{"second", "third"} {
		must.SliceEmpty(t, b.startRare(id, work.Step{Lasting: true}))
	}
	b.awaitStart("third", 2*shortRun, first[0].Run)
	must.False(t, target.health.suspected)
	must.Eq(t, 3, len(target.runs))
}

// Runs of durable jobs that take longer than declared end the suspicion of their target: nobody waits for
// them, and the declared time may be far off.
func TestLongRunOfDurableJobEndsSuspicion(t *testing.T) {
	b := newRareHarness(t)
	target := b.s.targets["a"]
	target.health.markSuspected(b.now)
	b.s.markChanged(target)
	b.advance(maxBackoff)
	probe := b.startRare("j", work.Step{DeclaredRunTime: 100 * ms})
	must.SliceLen(t, 1, probe)
	b.awaitStart("none", time.Second, probe[0].Run)
	b.effects()
	b.answerPoll("a", pollWithCompletion(1, probe[0].Run, work.CompletionDone))
	must.False(t, target.health.suspected)
}
