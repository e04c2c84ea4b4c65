package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// manyCompletions returns as many completions as a target lists at a time, of other jobs' runs.
func manyCompletions(first int64) []work.Completion {
	completions := make([]work.Completion, work.MaxListedCompletions)
	for i := range completions {
		number := first + int64(i)
		completions[i] = work.Completion{Number: number, Run: work.RunID{Task: fmt.Sprintf("old%d.0.0.0", number), Number: 3}, Kind: work.CompletionDone}
	}
	return completions
}

// A task that is done isn't started again by a successor whose target lists as many completions as it
// can, and that of the task only after these were acknowledged.
func TestCompletionBeyondFullListIsNotRunAgain(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.listTargetWithCPU("b", 4)
	b.effects()
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: manyCompletions(1)})
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	must.SliceEmpty(t, pickEffects[StartRun](append(b.effects(), b.advance(100*ms)...)))
	b.s.Submit(b.now, b.durableJob("new", 1))
	b.s.HandleJobStored(b.now, "new", work.Outcome{Result: work.Accepted}, true)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5200, Completions: []work.Completion{
		{Number: work.MaxListedCompletions + 1, Run: work.RunID{Task: "j.0.0.0", Number: 5}, Kind: work.CompletionDone},
	}})
	effects := append(b.effects(), b.advance(100*ms)...)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCompleted}}, pickEffects[JobEnded](effects))
}

// A target that is lost with completions that it hadn't listed holds no job up.
func TestFullListOfLostTargetHoldsNoJobUp(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.listTargetWithCPU("b", 4)
	b.effects()
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: manyCompletions(1)})
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	b.effects()
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictMisdirected)
	must.SliceLen(t, 1, pickEffects[StartRun](append(b.effects(), b.advance(20*ms)...)))
}

// A target that falls silent with completions that it hadn't listed holds jobs up until its leases have
// expired.
func TestFullListOfSilentTargetHoldsJobsUpForItsLease(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.listTargetWithCPU("b", 4)
	b.effects()
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: manyCompletions(1)})
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(lapsedListTimeout)))
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(100*ms)))
}

// A run whose stop was confirmed isn't taken for one that never began while its target lists as many
// completions as it can: its own may follow.
func TestStoppedRunBeyondFullListIsNotLost(t *testing.T) {
	b := newHarness(t, Options{StopTimeout: 50 * ms})
	run := startDurableJob(b)
	r := b.s.targets["a"].runs[run.Task]
	r.state, r.stop = uncertain, &stopTry{first: b.now, last: b.now, acked: b.now}
	b.advance(20 * ms)
	b.s.checkPoll(b.s.targets["a"])
	b.effects()
	b.now += 200 * ms
	b.answerPoll("a", work.PollAnswer{ClockMS: 5200, Completions: manyCompletions(1)})
	b.advance(100 * ms)
	must.NotNil(t, b.s.targets["a"].runs[run.Task])
}
