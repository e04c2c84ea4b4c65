package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// startOne has a job of one task run on target a.
func startOne(b *harness, id, entry string) (Ref, work.RunID) {
	ref := b.submit(id, 1, 1, entry)
	start := pickEffects[StartRun](b.effects())[0]
	answer := doneAnswer(5000)
	answer.Route = "relay-1"
	b.s.HandleStartAnswer(b.now, "a", start.Run, answer)
	return ref, start.Run
}

// eventNamed returns the only event with a message.
func eventNamed(t *testing.T, effects []Effect, message string) LogEvent {
	t.Helper()
	var found []LogEvent
	for _, e := range pickEffects[LogEvent](effects) {
		if e.Message == message {
			found = append(found, e)
		}
	}
	must.SliceLen(t, 1, found)
	return found[0]
}

func TestNormalRunLeavesNoLine(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.effects()
	_, run := startOne(b, "j", "")
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: run, Kind: work.CompletionDone}}})
	effects := b.effects()
	must.Eq(t, work.Completed, pickEffects[Answer](effects)[0].Outcome.Result)
	must.SliceEmpty(t, pickEffects[LogEvent](effects))
	must.SliceEmpty(t, pickEffects[Count](effects))
	must.SliceEmpty(t, pickEffects[JobHistory](effects))
}

// The line of a run that is lost with its lease has the clock readings on which that rests.
func TestLapsedLeaseIsLoggedWithClocks(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	_, run := startOne(b, "j", "")
	for range silentPolls {
		b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
		b.effects()
	}
	effects := b.advance(DefaultLease + 100*ms)
	lost := eventNamed(t, effects, "run lost")
	must.Eq(t, "its target's lease has lapsed", lost.Detail)
	must.Eq(t, RunFacts{
		Number: run.Number, Route: "relay-1", Copies: 1, LeaseUntil: 5800, TargetLease: 5800, Clock: 5000, ClockAge: lost.Age,
	}, *lost.Run)
	must.SliceContains(t, pickEffects[Count](effects), Count{"runs_lost", "its target's lease has lapsed"})
}

// A run that its target lists again after it counted as over shows that the conclusion was wrong.
func TestRunThatOutlivesItsEndIsLogged(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	_, run := startOne(b, "j", "")
	for range silentPolls {
		b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
		b.effects()
	}
	b.advance(DefaultLease + 100*ms)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5600, Running: listing(run)})
	event := eventNamed(t, b.effects(), "run goes on that counted as over")
	must.Eq(t, run.Number, event.Run.Number)
	must.Eq(t, "its target's lease has lapsed", event.Detail)
	must.True(t, event.Failure)
	must.Eq(t, [2]string{"strangers", "counted as over"}, [2]string{event.Counter, event.Kind})
}

// A job that is done in time has its history logged if a task of it ran again.
func TestJobThatRanAgainHasItsHistoryLogged(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	_, run := startOne(b, "j", "")
	b.answerPoll("a", work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: run, Kind: "broken"}}})
	again := pickEffects[StartRun](b.effects())[0].Run
	b.s.HandleStartAnswer(b.now, "a", again, doneAnswer(5010))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 2, Run: again, Kind: work.CompletionDone}}})
	history := pickEffects[JobHistory](b.effects())
	must.SliceLen(t, 1, history)
	var started []int64
	for _, entry := range history[0].Entries {
		if entry.What == "started" {
			started = append(started, entry.Run)
			must.Positive(t, entry.LeaseUntil)
		}
	}
	must.Eq(t, []int64{run.Number, again.Number}, started)
}

func TestReturnedJobHasItsHistoryLogged(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.Submit(b.now, Submission{
		Ref: 1, Wait: 200 * ms,
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: 5 * time.Second, RequestTimeout: 1500 * ms},
	})
	run := pickEffects[StartRun](b.effects())[0].Run
	b.s.HandleStartAnswer(b.now, "a", run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: run, Kind: work.CompletionDone}}})
	must.SliceLen(t, 1, pickEffects[JobHistory](b.effects()))
}

// A stop without an answer is logged once, and so is the late end of its run after the job. The
// same job, sent again meanwhile, is logged with what may go on.
func TestJobSeenAgainDuringUnansweredStop(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	ref, run := startOne(b, "j", "")
	b.s.Cancel(b.now, ref)
	stopped := b.now
	effects := b.advance(DefaultStopTimeout + stopAnswerTimeout)
	overdue := eventNamed(t, effects, "stop unanswered")
	must.Eq(t, run.Number, overdue.Run.Number)
	must.Greater(t, stopAnswerTimeout, overdue.Run.StopAge)
	b.submit("j", 1, 1, "")
	seen := eventNamed(t, b.effects(), "job seen again")
	must.Eq(t, "runs may go on", seen.Kind)
	must.Eq(t, `1 earlier runs or parts may go on; it had ended: the caller left; entry "", before ""`, seen.Detail)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5300, Running: listing(run)})
	must.SliceContains(t, pickEffects[Count](b.effects()), Count{"renewals_withheld", "stop unanswered"})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5400, Completions: []work.Completion{{Number: 1, Run: run, Kind: work.CompletionStopped}}})
	over := eventNamed(t, b.effects(), "run of an ended job is over")
	must.Eq(t, "stopped", over.Detail)
	must.Eq(t, b.now-stopped, over.Run.StopAge)
}

// Of the unknown runs at a target those are logged that were ordered after its first answer.
func TestRunOfAnotherOwnerIsLogged(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.SetRunClock(b.now, time.Hour)
	b.addUsableTarget("a", 2)
	b.effects()
	firstPoll := time.Hour.Milliseconds()
	_, own := startOne(b, "j", "")
	b.now += time.Second
	foreign := work.RunID{Task: "k.0.0.0", Number: (firstPoll + 500) * runNumbersPerMilli}
	earlier := work.RunID{Task: "l.0.0.0", Number: (firstPoll - 500) * runNumbersPerMilli}
	b.answerPoll("a", work.PollAnswer{ClockMS: 6000, Running: listing(own, foreign, earlier)})
	effects := b.effects()
	event := eventNamed(t, effects, "run of another owner appeared")
	must.Eq(t, foreign.Number, event.Run.Number)
	must.Eq(t, []Count{{"strangers", "of an earlier owner"}}, pickEffects[Count](effects)[:1])
}

func TestWithdrawnPartIsLogged(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.CapacityReported(b.now, "far", "s", FreeCapacity{Tasks: [Priorities]int{5, 5, 5}})
	ref := b.submit("j", 2, 1, "")
	must.SliceLen(t, 1, pickEffects[Delegate](b.effects()))
	b.now += 30 * ms
	b.s.Cancel(b.now, ref)
	event := eventNamed(t, b.effects(), "part withdrawn")
	must.Eq(t, "owner far, its last report 30ms ago, tasks [j.0.0.1]", event.Detail)
	must.Eq(t, 30*ms, event.Age)
}
