package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// remote is a job of one task that another VM has handed in.
func (b *bench) remote(id, entry string) Submission {
	b.s.EntrySeen(entry, b.now+time.Hour)
	ref := b.submit(id, 1, 1, entry)
	return b.s.jobs[ref].sub
}

// asked is the same job, asked for again.
func (b *bench) asked(sub Submission) Submission {
	b.ref++
	sub.Ref = b.ref
	return sub
}

// A job that runs answers the newest request for it alone, and isn't begun again.
func TestARunningJobIsRejoined(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 1)
	first := b.remote("j", "e")
	start := pickEffects[StartRun](b.do())[0]
	again := b.asked(first)
	must.Eq(t, Present, b.s.Rejoin(b.now, again, ms, false))
	effects := b.do()
	must.Eq(t, first.Ref, pickEffects[Answer](effects)[0].Ref)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	// The handler of the broken connection gives up what is no longer its own.
	b.s.Cancel(b.now, first.Ref)
	b.s.Started(b.now, "a", start.Run, done(5000))
	b.look("a", work.Held{Clock: 5001, Ended: []work.End{{Number: 1, Run: start.Run, Kind: work.EndDone}}})
	answers := pickEffects[Answer](b.do())
	must.Eq(t, again.Ref, answers[0].Ref)
	must.Eq(t, work.Completed, answers[0].Outcome.Result)
}

// The outcome of one that has ended is told again, as it was, to its entry VM alone, until
// it is forgotten: then nothing is said of whether it ran.
func TestAnEndedJobIsRejoined(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 1)
	sub := b.remote("j", "e")
	start := pickEffects[StartRun](b.do())[0]
	b.s.Started(b.now, "a", start.Run, done(5000))
	b.look("a", work.Held{Clock: 5001, Ended: []work.End{{Number: 1, Run: start.Run, Kind: work.EndDone}}})
	// Also while the answer itself is still on its way out.
	again := b.asked(sub)
	must.Eq(t, Present, b.s.Rejoin(b.now, again, ms, false))
	answers := pickEffects[Answer](b.do())
	must.SliceLen(t, 2, answers)
	must.Eq(t, Answer{Ref: again.Ref, Outcome: work.Outcome{Result: work.Completed}}, answers[1])
	other := b.asked(sub)
	other.Entry = "other"
	must.Eq(t, Absent, b.s.Rejoin(b.now, other, ms, false))
	b.pass(unclaimedTime + 40*ms)
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, b.asked(sub), unclaimedTime+40*ms, false))
}

// What never came is absent, but not where outcomes were too many to remember.
func TestWhatIsForgottenIsNotAbsent(t *testing.T) {
	b := newBench(t, Options{})
	must.Eq(t, Absent, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
	for i := range maxUnclaimed + 1 {
		b.s.remember(b.now, Submission{Entry: "e", Job: work.Job{ID: fmt.Sprint(i)}}, work.Outcome{})
	}
	must.MapLen(t, maxUnclaimed, b.s.unclaimed)
	must.Eq(t, Forgotten, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
	b.pass(unclaimedTime + 40*ms)
	must.MapEmpty(t, b.s.unclaimed)
	must.Eq(t, Absent, b.s.Rejoin(b.now, Submission{Entry: "e", Job: work.Job{ID: "j"}}, ms, false))
}

// A part that another owner runs is asked for by its first task.
func TestAPartIsRejoined(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 4)
	// Who has met no job takes no part.
	b.submit("first", 1, 1, "")
	b.do()
	b.s.EntrySeen("e", b.now+time.Hour)
	b.ref++
	part := Submission{
		Ref: b.ref, Entry: "e", Part: []string{"j.0.0.3"},
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, Each: work.Resources{CPU: 1}, Estimate: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	}
	b.s.Submit(b.now, part)
	must.SliceLen(t, 1, pickEffects[StartRun](b.do()))
	must.Eq(t, Present, b.s.Rejoin(b.now, b.asked(part), ms, false))
	whole := b.asked(part)
	whole.Part = nil
	must.Eq(t, Absent, b.s.Rejoin(b.now, whole, ms, false))
}

// A job that runs is its entry VM's alone: another one that asks for it is told nothing of it.
func TestARunningJobIsItsEntryVMsAlone(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 1)
	sub := b.remote("j", "e")
	b.do()
	other := b.asked(sub)
	other.Entry = "other"
	must.Eq(t, Absent, b.s.Rejoin(b.now, other, ms, false))
	must.SliceEmpty(t, pickEffects[Answer](b.do()))
}

// What never came is begun by the request that asks for it again, and by no other: the first
// one, that was read and waited for its turn meanwhile, is not, whatever became of the second.
func TestAnAbsentJobIsBegunOnce(t *testing.T) {
	for name, room := range map[string]int64{"begun": 1, "refused": 0} {
		b := newBench(t, Options{})
		b.usable("a", 1)
		b.s.EntrySeen("e", b.now+time.Hour)
		first := Submission{
			Ref: 100, Entry: "e",
			Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, Each: work.Resources{CPU: 2 - room}, Estimate: 100 * ms}}},
			Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
		}
		again := b.asked(first)
		must.Eq(t, Absent, b.s.Rejoin(b.now, again, ms, true), must.Sprint(name))
		effects := b.do()
		must.Eq(t, int(room), len(pickEffects[StartRun](effects)), must.Sprint(name))
		must.Eq(t, int(1-room), len(pickEffects[Answer](effects)), must.Sprint(name))
		b.usable("b", 2)
		b.s.Submit(b.now, first)
		effects = b.do()
		must.SliceEmpty(t, pickEffects[StartRun](effects), must.Sprint(name))
		must.Eq(t, []Answer{{Ref: first.Ref, Outcome: work.Outcome{Result: work.Unknown, Reason: "the job was asked for again"}}}, pickEffects[Answer](effects))
		b.pass(unclaimedTime + 40*ms)
		must.MapEmpty(t, b.s.barred)
	}
}
