package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A start may leave this process, or a relay, long after it was decided. A poll that the target
// answered before it carried out the start doesn't show that the run is missing.
func TestLateStartIsNotTakenForMissing(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.advance(310 * ms)
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5310})
	b.effects()
	b.advance(20 * ms)
	b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, doneAnswer(5330))
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5312})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(100*ms)))
	// A poll that was sent after the answer was read shows it.
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5430, Running: listing(start.Run)})
	b.effects()
	b.advance(20 * ms)
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5450})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// resendDelay is how long after a broken connection callers send a job again.
const resendDelay = 1300 * ms

// playLostEntry loses the entry VM of a running job, or of one that lent a part, whose target answers
// polls but no stops. It returns for how long after the loss the target's lease lasts if its clock is
// 2 % slow. A lender notices the loss as late as it may and can't tell this owner.
func playLostEntry(t *testing.T, sub Submission, firstTick, tick time.Duration) time.Duration {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.submit("other", 1, 1, "")
	other := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", other.Run, doneAnswer(5000))
	lost := b.now
	b.s.EntryKeepalive("e", lost+keepaliveLifetime)
	b.s.EntryKeepalive("lender", lost+2*keepaliveLifetime+TickInterval)
	sub.Ref = 1
	sub.Job = work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Second}}}
	sub.Queue = work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second}
	b.s.Submit(b.now, sub)
	run := pickEffects[StartRun](b.effects())[0]
	clock := func() int64 { return 5000 + int64(0.98*float64((b.now-lost).Milliseconds())) }
	b.s.HandleStartAnswer(b.now, "a", run.Run, doneAnswer(clock()))
	until := run.LeaseUntilMS
	for nextTick := b.now + firstTick; clock() <= until; b.now += ms {
		b.answerPoll("a", work.PollAnswer{ClockMS: clock(), Running: listing(run.Run, other.Run)})
		if b.now >= nextTick {
			b.s.Tick(b.now)
			nextTick += tick
		}
		for _, poll := range pickEffects[Poll](b.effects()) {
			until = max(until, poll.LeaseUntil)
		}
	}
	return b.now - lost
}

// The run of a lost entry VM is over before its caller sends the job again.
func TestRunOfLostEntryVMEndsBeforeItsCallerReturns(t *testing.T) {
	must.Less(t, resendDelay, playLostEntry(t, Submission{Entry: "e"}, TickInterval-ms, TickInterval))
}

// The same holds at an owner that is behind, but not so far that it counts as paused.
func TestRunOfLostEntryVMEndsAtSlowOwnerBeforeItsCallerReturns(t *testing.T) {
	for firstTick := 10 * ms; firstTick < 390*ms; firstTick += 20 * ms {
		must.Less(t, resendDelay, playLostEntry(t, Submission{Entry: "e"}, firstTick, 390*ms), must.Sprint(firstTick))
	}
}

// The same holds for a part that another owner has lent.
func TestPartOfLostEntryVMEndsBeforeItsCallerReturns(t *testing.T) {
	must.Less(t, resendDelay, playLostEntry(t, Submission{Entry: "lender", Origin: "e", Part: []string{"j.0.0.0"}}, TickInterval-ms, TickInterval))
}

// partOf returns a request of a lender for some tasks of job j.
func (b *harness) partOf(lender, origin string, names ...string) Submission {
	b.ref++
	b.s.EntryKeepalive(lender, b.now+time.Hour)
	if origin != "" {
		b.s.EntryKeepalive(origin, b.now+time.Hour)
	}
	return Submission{
		Ref: b.ref, Entry: lender, Origin: origin, Request: uint64(b.ref), Part: names,
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: len(names), PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	}
}

// startPart has a part of two tasks run that the owner A has lent.
func (b *harness) startPart() []StartRun {
	b.addUsableTarget("a", 8)
	b.submit("first", 1, 1, "")
	b.effects()
	b.s.Submit(b.now, b.partOf("A", "E1", "j.0.0.0", "j.0.0.1"))
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(b.t, 2, starts)
	b.answerStarts(starts)
	return starts
}

// A part that begins with the same task as another one, but has other tasks, doesn't take its place:
// it would get an answer for tasks that haven't run, and keep others going that its lender starts.
func TestPartOfOtherTasksIsRefused(t *testing.T) {
	for _, names := range [][]string{{"j.0.0.0"}, {"j.0.0.0", "j.0.0.2"}} {
		b := newHarness(t, Options{})
		b.startPart()
		second := b.partOf("C", "E2", names...)
		b.s.Submit(b.now, second)
		answers := pickEffects[Answer](b.effects())
		must.SliceLen(t, 1, answers)
		must.Eq(t, second.Ref, answers[0].Ref)
		must.Eq(t, work.Refused, answers[0].Outcome.Result)
	}
}

// A task runs once here although two owners lend it, and its job is handed in whole as well: what
// comes later waits until the earlier part is over.
func TestTaskOfTwoLendersRunsOnce(t *testing.T) {
	b := newHarness(t, Options{})
	starts := b.startPart()
	b.addUsableTarget("b", 8)
	b.s.Submit(b.now, b.partOf("C", "", "j.0.0.1"))
	whole := b.partOf("E3", "")
	whole.Part, whole.Job.Steps[0].Tasks = nil, 2
	b.s.Submit(b.now, whole)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(60*ms)))
	b.s.GiveUp(b.now, "A", "j")
	must.SliceLen(t, 2, pickEffects[StopRun](b.effects()))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{
		{Number: 1, Run: starts[0].Run, Kind: work.CompletionStopped}, {Number: 2, Run: starts[1].Run, Kind: work.CompletionStopped},
	}})
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
}
