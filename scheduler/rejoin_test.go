package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// submitFrom submits a job of one task for an entry VM.
func (b *harness) submitFrom(id, entry string) Submission {
	b.s.EntryKeepalive(entry, b.now+time.Hour)
	ref := b.submit(id, 1, 1, entry)
	return b.s.jobs[ref].sub
}

// askedAgain returns the submission with a new reference, as in a request that replaces it.
func (b *harness) askedAgain(sub Submission) Submission {
	b.ref++
	sub.Ref = b.ref
	return sub
}

// A running job answers only the newest request for it, and isn't started again.
func TestRejoinOfRunningJobAnswersNewestRequest(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	first := b.submitFrom("j", "e")
	start := pickEffects[StartRun](b.effects())[0]
	again := b.askedAgain(first)
	must.Eq(t, Present, b.s.Rejoin(b.now, again, ms, false))
	effects := b.effects()
	must.Eq(t, first.Ref, pickEffects[Answer](effects)[0].Ref)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	// The handler of the broken connection cancels a request that is no longer the job's.
	b.s.Cancel(b.now, first.Ref)
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5001, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
	answers := pickEffects[Answer](b.effects())
	must.Eq(t, again.Ref, answers[0].Ref)
	must.Eq(t, work.Completed, answers[0].Outcome.Result)
}

// The outcome of an ended job is repeated, but only to its entry VM, and until it is forgotten.
// After that the job is Forgotten, not Absent.
func TestRejoinOfEndedJobRepeatsOutcome(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	sub := b.submitFrom("j", "e")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5001, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
	// This also holds before the first answer has been sent.
	again := b.askedAgain(sub)
	must.Eq(t, Present, b.s.Rejoin(b.now, again, ms, false))
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 2, answers)
	must.Eq(t, Answer{Ref: again.Ref, Outcome: work.Outcome{Result: work.Completed}}, answers[1])
	other := b.askedAgain(sub)
	other.Entry = "other"
	must.Eq(t, Absent, b.s.Rejoin(b.now, other, ms, false))
	b.advance(outcomeRetention + 40*ms)
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, b.askedAgain(sub), outcomeRetention+40*ms, false))
}

// A job that never arrived is Absent, unless too many outcomes came to remember all of them.
func TestForgottenJobIsNotAbsent(t *testing.T) {
	b := newHarness(t, Options{})
	must.Eq(t, Absent, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
	for i := range maxRecentOutcomes + 1 {
		b.s.rememberOutcome(b.now, Submission{Entry: "e", Job: work.Job{ID: fmt.Sprint(i)}}, work.Outcome{})
	}
	must.MapLen(t, maxRecentOutcomes, b.s.recentOutcomes)
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
	b.advance(outcomeRetention + 40*ms)
	must.MapEmpty(t, b.s.recentOutcomes)
	must.Eq(t, Absent, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
}

// A part that another owner delegated is found by its first task.
func TestRejoinFindsPartByFirstTask(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	// An owner that has seen no job yet takes no parts.
	b.submit("first", 1, 1, "")
	b.effects()
	b.s.EntryKeepalive("e", b.now+time.Hour)
	b.ref++
	part := Submission{
		Ref: b.ref, Entry: "e", Part: []string{"j.0.0.3"},
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	}
	b.s.Submit(b.now, part)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	must.Eq(t, Present, b.s.Rejoin(b.now, b.askedAgain(part), ms, false))
	whole := b.askedAgain(part)
	whole.Part = nil
	must.Eq(t, Absent, b.s.Rejoin(b.now, whole, ms, false))
}

// A running job is only found by its own entry VM.
func TestRejoinFromOtherEntryVMFindsNothing(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	sub := b.submitFrom("j", "e")
	b.effects()
	other := b.askedAgain(sub)
	other.Entry = "other"
	must.Eq(t, Absent, b.s.Rejoin(b.now, other, ms, false))
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
}

// An absent job is started only by the request that asks for it again. The first request, which was
// read but had to wait meanwhile, doesn't start it, whatever happened to the second one.
func TestAbsentJobStartsOnce(t *testing.T) {
	for name, started := range map[string]int64{"started": 1, "refused": 0} {
		b := newHarness(t, Options{})
		b.addUsableTarget("a", 1)
		b.s.EntryKeepalive("e", b.now+time.Hour)
		first := Submission{
			Ref: 100, Entry: "e",
			Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 2 - started}, DeclaredRunTime: 100 * ms}}},
			Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
		}
		again := b.askedAgain(first)
		must.Eq(t, Absent, b.s.Rejoin(b.now, again, ms, true), must.Sprint(name))
		effects := b.effects()
		must.Eq(t, int(started), len(pickEffects[StartRun](effects)), must.Sprint(name))
		must.Eq(t, int(1-started), len(pickEffects[Answer](effects)), must.Sprint(name))
		b.addUsableTarget("b", 2)
		b.s.Submit(b.now, first)
		effects = b.effects()
		must.SliceEmpty(t, pickEffects[StartRun](effects), must.Sprint(name))
		must.Eq(t, []Answer{{Ref: first.Ref, Outcome: work.Outcome{Result: work.Unknown, Reason: "the job was asked for again"}}}, pickEffects[Answer](effects))
		b.advance(outcomeRetention + 40*ms)
		must.MapEmpty(t, b.s.superseded)
	}
}

// A request that has waited in this process for longer than its own keepalive starts nothing, even
// if its entry VM has sent other keepalives since: it may have given the request up.
func TestRequestOlderThanItsKeepaliveStartsNothing(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.s.EntryKeepalive("e", b.now+time.Hour)
	sub := Submission{
		Ref: 1, Entry: "e", Request: 1, Expires: b.now,
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	}
	b.s.Submit(b.now, sub)
	effects := b.effects()
	must.Eq(t, work.Moved, pickEffects[Answer](effects)[0].Outcome.Result)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	sub.Ref = 2
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, sub, ms, true))
	must.SliceEmpty(t, b.effects())
	sub.Ref, sub.Expires = 3, b.now+ms
	b.s.Submit(b.now, sub)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}
