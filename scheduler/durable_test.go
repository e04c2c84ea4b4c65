package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

const maxAttempts = 2

// durableJob returns the submission of a durable job with one step of this many tasks.
func (b *harness) durableJob(id string, tasks int) Submission {
	b.ref++
	return Submission{
		Ref: b.ref,
		Job: work.Job{ID: id, Durable: true, Steps: []work.Step{{
			Tasks: tasks, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms,
		}}},
		Queue: work.Queue{Name: "k", Service: "s", MaxAttempts: maxAttempts, Stretch: 2, Allowance: time.Second},
	}
}

// startDurableJob has a durable job of one task stored and started at target a.
func startDurableJob(b *harness) work.RunID {
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	b.effects()
	b.s.Submit(b.now, b.durableJob("j", 1))
	b.effects()
	b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 5000})
	b.effects()
	return start.Run
}

// pollWithCompletion returns a poll's answer that lists one completion and no runs.
func pollWithCompletion(number int64, run work.RunID, kind work.CompletionKind) work.PollAnswer {
	return work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: number, Run: run, Kind: kind}}}
}

// newestAcknowledged returns the newest completion that polls have acknowledged.
func newestAcknowledged(effects []Effect) int64 {
	newest := int64(0)
	for _, poll := range pickEffects[Poll](effects) {
		newest = max(newest, poll.AckUpTo)
	}
	return newest
}

// Nothing of a durable job starts before the store has it; then its caller is answered.
func TestDurableJobIsStoredBeforeItStarts(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.effects()
	b.s.Submit(b.now, b.durableJob("j", 1))
	effects := b.effects()
	must.SliceLen(t, 1, pickEffects[StoreJob](effects))
	must.SliceEmpty(t, pickEffects[Answer](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, 0, b.s.PendingDurable()["k"])
	b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	must.Eq(t, 1, b.s.PendingDurable()["k"])
	effects = b.effects()
	must.Eq(t, work.Accepted, pickEffects[Answer](effects)[0].Outcome.Result)
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
	must.Eq(t, 0, b.s.PendingDurable()["k"])
}

// A job that the store didn't take, or that another owner has, is not run.
func TestJobNotStoredHereDoesNotRun(t *testing.T) {
	for _, outcome := range []work.Outcome{{Result: work.Refused}, {Result: work.Accepted}, {Result: work.Unknown}} {
		b := newHarness(t, Options{})
		b.addUsableTarget("a", 4)
		b.s.Submit(b.now, b.durableJob("j", 1))
		b.effects()
		b.s.HandleJobStored(b.now, "j", outcome, false)
		effects := b.advance(time.Second)
		must.Eq(t, outcome, pickEffects[Answer](effects)[0].Outcome)
		must.SliceEmpty(t, pickEffects[StartRun](effects))
		must.True(t, b.s.IsIdle())
	}
}

// A job that is handed in several times runs once, and each request gets an answer.
func TestDurableJobHandedInAgainRunsOnce(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	first, second, third := b.durableJob("j", 1), b.durableJob("j", 1), b.durableJob("j", 1)
	b.s.Submit(b.now, first)
	b.s.Submit(b.now, second)
	must.Eq(t, []Answer{{Ref: first.Ref, Outcome: work.Outcome{Result: work.Unknown, Reason: "the job was sent again"}}}, pickEffects[Answer](b.effects()))
	b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	b.s.Submit(b.now, third)
	effects := b.effects()
	must.Eq(t, []Answer{
		{Ref: second.Ref, Outcome: work.Outcome{Result: work.Accepted}}, {Ref: third.Ref, Outcome: work.Outcome{Result: work.Accepted}},
	}, pickEffects[Answer](effects))
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
}

// A completion is acknowledged only once the store has it.
func TestCompletionIsAcknowledgedOnceStored(t *testing.T) {
	b := newHarness(t, Options{})
	run := startDurableJob(b)
	b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
	effects := append(b.effects(), b.advance(200*ms)...)
	must.Eq(t, 0, newestAcknowledged(effects))
	done := pickEffects[TaskDone](effects)
	must.Eq(t, []TaskDone{{Job: "j", Task: 0, Completion: CompletionRef{Target: "a", Number: 1}}}, done)
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCompleted}}, pickEffects[JobEnded](effects))
	must.False(t, b.s.IsIdle())
	b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
	b.s.HandleCompletionStored(done[0].Completion)
	b.s.HandleJobEndStored("j")
	must.Eq(t, 1, newestAcknowledged(b.advance(200*ms)))
	must.True(t, b.s.IsIdle())
}

// A completion that comes after the job's end is acknowledged once the store has the end.
func TestCompletionAfterJobEndWaitsForItsRecord(t *testing.T) {
	b := newHarness(t, Options{})
	run := startDurableJob(b)
	must.Eq(t, CancelEnding, b.s.CancelJob(b.now, "j"))
	effects := b.effects()
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCancelled}}, pickEffects[JobEnded](effects))
	must.SliceLen(t, 1, pickEffects[StopRun](effects))
	b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
	must.Eq(t, 0, newestAcknowledged(b.advance(200*ms)))
	b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
	b.s.HandleJobEndStored("j")
	must.Eq(t, 1, newestAcknowledged(b.advance(200*ms)))
	must.Eq(t, CancelUnknown, b.s.CancelJob(b.now, "j"))
}

// A job that is cancelled while it is being stored never starts, and is recorded as cancelled if the store has
// it after all: its caller may have been told so by then.
func TestJobCancelledWhileItIsStoredNeverStarts(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		b := newHarness(t, Options{})
		b.addUsableTarget("a", 4)
		b.s.Submit(b.now, b.durableJob("j", 1))
		b.effects()
		must.Eq(t, CancelPending, b.s.CancelJob(b.now, "j"))
		must.Eq(t, CancelPending, b.s.CancelJob(b.now, "j"))
		if leaving {
			b.s.Leave(b.now)
		}
		b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
		effects := b.advance(time.Second)
		must.SliceEmpty(t, pickEffects[StartRun](effects))
		must.Eq(t, []JobEnded{{Job: "j", State: work.StateCancelled}}, pickEffects[JobEnded](effects))
	}
}

// A job that is cancelled while it moves ends here if the move fails.
func TestJobCancelledWhileItMovesEndsIfItStays(t *testing.T) {
	b := newLabelledHarness(t)
	b.startLabelled("b")
	b.removeLabelled()
	must.SliceLen(t, 1, pickEffects[MoveJob](b.tick(moveDelay+2*moveCheckInterval)))
	must.Eq(t, CancelPending, b.s.CancelJob(b.now, "j"))
	b.s.HandleJobMoved(b.now, "j", false)
	ends := pickEffects[JobEnded](b.effects())
	must.SliceLen(t, 1, ends)
	must.Eq(t, work.StateCancelled, ends[0].State)
}

// A job that isn't durable ends as well when it is cancelled: its caller and its runs are told.
func TestCancelEndsBestEffortJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4000)
	ref := b.submit("j", 1, 1000, "")
	starts := pickEffects[StartRun](b.effects())
	b.answerStarts(starts)
	must.Eq(t, CancelDone, b.s.CancelJob(b.now, "j"))
	effects := b.effects()
	answers := pickEffects[Answer](effects)
	must.SliceLen(t, 1, answers)
	must.Eq(t, ref, answers[0].Ref)
	must.Eq(t, work.Failed, answers[0].Outcome.Result)
	must.SliceLen(t, 1, pickEffects[StopRun](effects))
	must.Eq(t, CancelUnknown, b.s.CancelJob(b.now, "j"))
}

// A deposed owner acknowledges no completions of durable jobs: its successor needs them listed.
func TestDeposedOwnerAcknowledgesNothing(t *testing.T) {
	for name, unknown := range map[string]bool{"its own run": false, "a run it does not know": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			run := startDurableJob(b)
			if unknown {
				run.Number += 2
			}
			b.s.Abandon(b.now)
			b.effects()
			b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
			effects := append(b.effects(), b.advance(time.Second)...)
			must.Eq(t, 0, newestAcknowledged(effects))
			must.SliceEmpty(t, pickEffects[TaskDone](effects))
		})
	}
}

// A run whose start has no answer may have completed before it was stopped. Only a poll sent after
// the stop shows that.
func TestStoppedRunMayHaveCompleted(t *testing.T) {
	for name, done := range map[string]bool{"run completed": true, "run never started": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.s.FinishResume(b.now)
			b.addUsableTarget("a", 4)
			b.effects()
			b.s.Submit(b.now, b.durableJob("j", 1))
			b.effects()
			b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
			run := pickEffects[StartRun](b.effects())[0].Run
			b.now += 100 * ms
			b.s.HandleStartAnswer(b.now, "a", run, work.OrderAnswer{})
			must.SliceLen(t, 1, pickEffects[StopRun](b.effects()))
			b.s.HandleStopAnswer(b.now, "a", run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 5100})
			must.SliceEmpty(t, pickEffects[StartRun](b.advance(200*ms)))
			// The answer to a poll that was sent before the stop does not show what ended before it.
			b.answerPoll("a", work.PollAnswer{ClockMS: 5200})
			must.SliceEmpty(t, pickEffects[StartRun](b.advance(40*ms)))
			if done {
				b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
			} else {
				b.answerPoll("a", work.PollAnswer{ClockMS: 5300})
			}
			effects := append(b.effects(), b.advance(100*ms)...)
			must.Eq(t, done, len(pickEffects[JobEnded](effects)) == 1)
			must.Eq(t, done, len(pickEffects[StartRun](effects)) == 0)
		})
	}
}

// A job that is taken over continues from its stored progress.
func TestResumedJobContinuesFromProgress(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.effects()
	b.s.ResumeJob(b.now, b.durableJob("j", 3), Progress{Done: []int{1}, Fails: map[int]int{2: 1}})
	b.s.FinishResume(b.now)
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 2, starts)
	must.Eq(t, "j.0.0.0", starts[0].Run.Task)
	must.Eq(t, "j.0.0.2", starts[1].Run.Task)
	must.True(t, b.s.HasStarted("j"))
	// With the failure before the takeover, the task has now failed too often.
	b.answerPoll("a", pollWithCompletion(1, starts[1].Run, work.CompletionFailed))
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateFailed}}, pickEffects[JobEnded](b.effects()))
}

// A task that has failed as often as its queue allows starts no more at a successor, in whatever
// order the successor learns of the failures: a later run may have failed at a target that answers
// first.
func TestFailuresAtSeveralTargetsCountInAnyOrder(t *testing.T) {
	for name, test := range map[string]struct {
		progress Progress
		recorded []int64
	}{
		"none stored": {Progress{}, []int64{3, 5, 7}},
		"one stored":  {Progress{Fails: map[int]int{0: 1}, LastFailed: map[int]int64{0: 3}}, []int64{5, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.listTargetWithCPU("a", 4)
			b.listTargetWithCPU("b", 4)
			b.effects()
			failed := func(number, run int64) work.Completion {
				return work.Completion{Number: number, Run: work.RunID{Task: "j.0.0.0", Number: run}, Kind: work.CompletionFailed}
			}
			b.answerPoll("b", work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{failed(8, 5)}})
			b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{failed(1, 3), failed(2, 7)}})
			sub := b.durableJob("j", 1)
			sub.Queue.MaxAttempts = 3
			b.s.ResumeJob(b.now, sub, test.progress)
			b.s.FinishResume(b.now)
			effects := append(b.effects(), b.advance(100*ms)...)
			must.SliceEmpty(t, pickEffects[StartRun](effects))
			must.Eq(t, []JobEnded{{Job: "j", State: work.StateFailed}}, pickEffects[JobEnded](effects))
			var runs []int64
			for _, e := range pickEffects[TaskFailed](effects) {
				runs = append(runs, e.Run)
			}
			must.Eq(t, test.recorded, runs)
		})
	}
}

// A failure that a target lists after the jobs were taken over counts once, also if a later run has
// failed.
func TestLateFailureOfEarlierRunCountsOnce(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	b.effects()
	tk := b.s.jobsByKey["j"].tasks[0]
	for _, run := range []int64{7, 5, 7, 5} {
		b.s.applyCompletion(tk, unrecordedCompletion{ref: CompletionRef{Target: "a"}, run: run, failed: true})
	}
	must.Eq(t, 2, tk.fails)
	must.SliceLen(t, 2, pickEffects[TaskFailed](b.effects()))
}

// A job whose tasks had all ended, or failed too often, ends when it is taken over.
func TestResumedJobThatIsOverEnds(t *testing.T) {
	for name, test := range map[string]struct {
		done  []int
		fails map[int]int
		want  work.JobState
	}{
		"done":   {[]int{0, 1}, nil, work.StateCompleted},
		"failed": {[]int{0}, map[int]int{1: maxAttempts}, work.StateFailed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.addUsableTarget("a", 4)
			b.s.ResumeJob(b.now, b.durableJob("j", 2), Progress{Done: test.done, Fails: test.fails})
			effects := b.effects()
			must.Eq(t, []JobEnded{{Job: "j", State: test.want}}, pickEffects[JobEnded](effects))
			must.SliceEmpty(t, pickEffects[StartRun](effects))
		})
	}
}

// The unrecorded completions of a previous owner are stored with their job, and acknowledged at
// once if that job no longer exists.
func TestUnrecordedCompletionsOfPreviousOwnerAreStored(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{
		{Number: 1, Run: work.RunID{Task: "j.0.0.0", Number: 31}, Kind: work.CompletionDone},
		{Number: 2, Run: work.RunID{Task: "gone.0.0.0", Number: 33}, Kind: work.CompletionDone},
		{Number: 3, Run: work.RunID{Task: "other.0.0.0", Number: 34}, Kind: work.CompletionDone},
	}})
	must.Eq(t, 0, newestAcknowledged(b.advance(100*ms)))
	b.s.ResumeJob(b.now, b.durableJob("j", 2), Progress{})
	b.s.FinishResume(b.now)
	effects := b.effects()
	must.Eq(t, []TaskDone{{Job: "j", Task: 0, Completion: CompletionRef{Target: "a", Number: 1}}}, pickEffects[TaskDone](effects))
	must.Eq(t, "j.0.0.1", pickEffects[StartRun](effects)[0].Run.Task)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100})
	must.Eq(t, 0, newestAcknowledged(b.advance(100*ms)))
	b.s.HandleCompletionStored(CompletionRef{Target: "a", Number: 1})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5200})
	must.Eq(t, 3, newestAcknowledged(b.advance(100*ms)))
}

// A job that is taken over counts as pending until something shows that it has started.
func TestResumedJobIsPendingUntilSeenStarted(t *testing.T) {
	for name, test := range map[string]struct {
		progress Progress
		answer   work.PollAnswer
		pending  int
	}{
		"nothing is known":       {Progress{}, work.PollAnswer{ClockMS: 5000}, 1},
		"a task is done":         {Progress{Done: []int{0}}, work.PollAnswer{ClockMS: 5000}, 0},
		"a run had failed":       {Progress{Fails: map[int]int{0: 1}}, work.PollAnswer{ClockMS: 5000}, 0},
		"a task has saved work":  {Progress{Saved: map[int]string{0: "c"}}, work.PollAnswer{ClockMS: 5000}, 0},
		"a run is in progress":   {Progress{}, work.PollAnswer{ClockMS: 5000, Running: listing(work.RunID{Task: "j.0.0.0", Number: 31})}, 0},
		"a completion is listed": {Progress{}, work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{{Number: 1, Run: work.RunID{Task: "j.0.0.0", Number: 31}, Kind: work.CompletionDone}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.listTargetWithCPU("a", 4)
			b.effects()
			b.answerPoll("a", test.answer)
			b.s.ResumeJob(b.now, b.durableJob("j", 2), test.progress)
			b.s.FinishResume(b.now)
			must.Eq(t, test.pending, int(b.s.PendingDurable()["k"]))
			must.Eq(t, test.pending == 0, b.s.HasStarted("j"))
			must.SliceEmpty(t, pickEffects[JobEnded](b.effects()))
			must.Eq(t, 0, b.s.PendingDurable()["k"])
		})
	}
}

// A failed run counts once if the previous owner stored it but didn't acknowledge it.
func TestStoredFailureCountsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		lastFailed int64
		ended      bool
	}{"the stored one": {31, false}, "another one": {29, true}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.listTargetWithCPU("a", 4)
			b.effects()
			b.answerPoll("a", pollWithCompletion(1, work.RunID{Task: "j.0.0.0", Number: 31}, work.CompletionFailed))
			b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Fails: map[int]int{0: 1}, LastFailed: map[int]int64{0: test.lastFailed}})
			b.s.FinishResume(b.now)
			effects := b.effects()
			must.Eq(t, test.ended, len(pickEffects[JobEnded](effects)) == 1)
			must.Eq(t, test.ended, len(pickEffects[TaskFailed](effects)) == 1)
			must.Eq(t, !test.ended, len(pickEffects[StartRun](effects)) == 1)
			must.SliceEmpty(t, b.s.unrecordedCompletions["j.0.0.0"])
		})
	}
}

// A leaving owner hands over all durable jobs. Their runs continue for the successor: they aren't
// stopped and their completions aren't acknowledged. Their leases are extended only for as long as
// the successor waits for a target that it can't reach.
func TestLeavingOwnerHandsOverDurableJobs(t *testing.T) {
	b := newHarness(t, Options{})
	run := startDurableJob(b)
	b.s.Submit(b.now, b.durableJob("late", 1))
	b.effects()
	b.s.Leave(b.now)
	must.Eq(t, []string{"a"}, b.s.IdleTargets())
	b.s.HandleJobStored(b.now, "late", work.Outcome{Result: work.Accepted}, true)
	effects := b.effects()
	must.Eq(t, work.Accepted, pickEffects[Answer](effects)[0].Outcome.Result)
	effects = append(effects, b.advance(100*ms)...)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.Eq(t, 0, b.s.Jobs())
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Running: listing(run)})
	must.Positive(t, pickEffects[Poll](b.effects())[0].LeaseUntil)
	b.advance(handoverLease)
	b.answerPoll("a", pollWithCompletion(1, run, work.CompletionDone))
	effects = append(b.effects(), b.advance(time.Second)...)
	must.Eq(t, 0, newestAcknowledged(effects))
	must.SliceEmpty(t, pickEffects[TaskDone](effects))
	must.True(t, b.s.IsIdle())
}

// A deposed owner extends no lease of a run that its successor may start again.
func TestDeposedOwnerRenewsNoLease(t *testing.T) {
	b := newHarness(t, Options{})
	run := startDurableJob(b)
	b.s.Abandon(b.now)
	b.advance(20 * ms)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Running: listing(run)})
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.Eq(t, 0, pickEffects[Poll](effects)[0].LeaseUntil)
}

// A job that was taken over too late to be of use runs after a job that can be on time, but it does
// run.
func TestUselessBacklogRunsLast(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.listTarget(work.Target{ID: "x", Capacity: work.Resources{CPU: 1}, Draining: true})
	old := b.durableJob("old", 1)
	old.Age = 8 * time.Second
	b.s.ResumeJob(b.now, old, Progress{})
	b.s.Submit(b.now, b.durableJob("new", 1))
	b.effects()
	b.s.HandleJobStored(b.now, "new", work.Outcome{Result: work.Accepted}, true)
	b.advance(40 * ms)
	b.addUsableTarget("a", 1)
	first := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, first)
	must.Eq(t, "new.0.0.0", first[0].Run.Task)
	b.answerStarts(first)
	b.answerPoll("a", pollWithCompletion(1, first[0].Run, work.CompletionDone))
	must.Eq(t, "old.0.0.0", pickEffects[StartRun](b.effects())[0].Run.Task)
}

// A durable job is done however late it is and whether or not anybody waits.
func TestDurableJobIsNeverGivenUp(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	sub := b.durableJob("j", 1)
	sub.Entry, sub.Wait = "e", time.Second
	b.addUsableTarget("a", 0)
	b.s.ResumeJob(b.now, sub, Progress{})
	b.s.Cancel(b.now, sub.Ref)
	b.s.GiveUp(b.now, "e", "j")
	b.now += time.Minute
	effects := b.advance(time.Second)
	must.SliceEmpty(t, pickEffects[JobEnded](effects))
	b.addUsableTarget("b", 1)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// A run that doesn't end is stopped and started again; each time the timeout grows.
func TestStuckRunIsRestartedWithGrowingTimeout(t *testing.T) {
	b := newHarness(t, Options{})
	run := startDurableJob(b)
	listed := func() {
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(run)})
	}
	var stopped []time.Duration
	for range 60 {
		listed()
		effects := b.advance(100 * ms)
		if len(pickEffects[StopRun](effects)) > 0 {
			stopped = append(stopped, b.now)
			b.answerPoll("a", pollWithCompletion(int64(len(stopped)), run, work.CompletionStopped))
			run = pickEffects[StartRun](b.effects())[0].Run
			b.s.HandleStartAnswer(b.now, "a", run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()})
			b.effects()
		}
	}
	must.SliceLen(t, 1, stopped)
	must.Between(t, minStuckTime, stopped[0]-10*time.Second, minStuckTime+300*ms)
}

// An owner doesn't take over a run that its target lists for the first time after it has obeyed the
// owner: a successor has ordered it.
func TestRunOfSuccessorIsNotTakenOver(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	b.submit("busy", 1, 1, "")
	busy := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", busy.Run, doneAnswer(5000))
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	b.now += 20 * ms
	theirs := work.RunID{Task: "j.0.0.0", Number: 1<<20 + 1}
	b.answerPoll("a", work.PollAnswer{ClockMS: 5020, Running: listing(busy.Run, theirs)})
	must.Nil(t, b.s.jobsByKey["j"].tasks[0].run)
	must.SliceLen(t, 1, pickEffects[StopRun](b.effects()))
}

// A target lists no more than a number of completions at a time. A run that it doesn't list beside
// that many isn't missing: its completion may follow.
func TestRunBeyondListedCompletionsIsNotLost(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	run := startDurableJob(b)
	b.s.HandleStartAnswer(b.now, "a", run, doneAnswer(5001))
	b.effects()
	var ends []work.Completion
	for i := range work.MaxListedCompletions {
		ends = append(ends, work.Completion{Number: int64(i + 1), Run: work.RunID{Task: fmt.Sprintf("x%d.0.0.0", i), Number: int64(2*i + 2)}, Kind: work.CompletionDone})
	}
	for range 3 {
		b.answerPoll("a", work.PollAnswer{ClockMS: 5002, Completions: ends})
		must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
		b.advance(40 * ms)
	}
	b.answerPoll("a", work.PollAnswer{ClockMS: 5200, Completions: ends[:1]})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}
