package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// cordonedBench has a usable target, and knows that it isn't cordoned.
func cordonedBench(t *testing.T) *bench {
	b := newBench(t, Options{AwaitCordon: true})
	b.s.Cordoned(b.now, false)
	b.usable("a", 4000)
	return b
}

func (b *bench) startsNow() []StartRun { return pickEffects[StartRun](b.do()) }

// Nothing starts before it is known whether the failure domain is cordoned, and jobs aren't
// turned away for that.
func TestNothingStartsBeforeTheCordonIsKnown(t *testing.T) {
	b := newBench(t, Options{AwaitCordon: true})
	b.usable("a", 4000)
	b.submit("j", 1, 1000, "")
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[Answer](effects))
	b.s.Cordoned(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// New jobs are refused at once with a time to come back, so that their entry VM turns to
// others; once the cordon is taken back they are run at once.
func TestCordonedDomainRefusesAtOnce(t *testing.T) {
	b := cordonedBench(t)
	b.s.Cordoned(b.now, true)
	b.submit("j", 1, 1000, "")
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	answers := pickEffects[Answer](effects)
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Refused, answers[0].Outcome.Result)
	must.Eq(t, cordonedRetry, answers[0].Outcome.RetryAfter)
	b.s.Cordoned(b.now, false)
	b.submit("k", 1, 1000, "")
	must.SliceLen(t, 1, b.startsNow())
}

// Jobs of which nothing has begun go back to their entry VM; what runs goes on, its end is
// the job's, and what is left of a begun job is lent.
func TestCordonClearsOut(t *testing.T) {
	b := cordonedBench(t)
	b.submit("begun", 2, 3000, "")
	first := b.startsNow()
	must.SliceLen(t, 1, first)
	b.begun(first)
	waiting := b.submit("waiting", 1, 3000, "")
	must.SliceEmpty(t, b.startsNow())
	b.s.Cordoned(b.now, true)
	answers := pickEffects[Answer](b.do())
	must.SliceLen(t, 1, answers)
	must.Eq(t, waiting, answers[0].Ref)
	must.Eq(t, work.Moved, answers[0].Outcome.Result)
	b.s.RoomAt(b.now, "other", "s", Room{Places: [Priorities]int{5, 5, 5}})
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	lent := pickEffects[Lend](effects)
	must.SliceLen(t, 1, lent)
	b.s.Returned(b.now, lent[0].Part, work.Outcome{Result: work.Completed})
	b.look("a", ended(1, first[0].Run, work.EndDone))
	answers = pickEffects[Answer](b.do())
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Completed, answers[0].Outcome.Result)
}

// A task that has to run again after its target was lost doesn't start on another target of
// a cordoned failure domain.
func TestTasksDontRunAgainInACordonedDomain(t *testing.T) {
	b := cordonedBench(t)
	b.submit("j", 1, 1000, "")
	first := b.startsNow()
	b.begun(first)
	b.usable("b", 4000)
	b.s.Cordoned(b.now, true)
	b.look("a", ended(1, first[0].Run, work.EndFailed))
	must.SliceEmpty(t, b.startsNow())
	b.s.Cordoned(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// An order without an answer isn't sent again once the failure domain is cordoned: the copy
// might be what begins it.
func TestOrdersAreNotSentAgainIntoACordonedDomain(t *testing.T) {
	for _, broken := range []bool{false, true} {
		b := cordonedBench(t)
		b.submit("j", 1, 1000, "")
		order := b.startsNow()[0]
		b.s.Cordoned(b.now, true)
		if broken {
			b.s.Started(b.now, "a", order.Run, work.OrderAnswer{Verdict: work.VerdictBroken})
		}
		b.pass(100 * ms)
		must.Eq(t, 1, b.starts[order.Run], must.Sprint("broken connection: ", broken))
	}
}

// Parts of other owners' jobs aren't taken, and none are asked for.
func TestCordonedDomainTakesNoParts(t *testing.T) {
	b := cordonedBench(t)
	b.submit("j", 1, 1000, "")
	b.begun(b.startsNow())
	must.Positive(t, b.s.Load(b.now, "s").Room.Places[0])
	b.s.Cordoned(b.now, true)
	load := b.s.Load(b.now, "s")
	must.Eq(t, [Priorities]int{}, load.Room.Places)
	must.Zero(t, load.FreeCPU)
	must.True(t, load.Cordoned)
	for _, wait := range load.Wait {
		must.Eq(t, maxForecast, wait)
	}
}

// The room that is kept for a gang is let go.
func TestCordonLetsGoOfRoomForGangs(t *testing.T) {
	b := cordonedBench(t)
	b.usable("b", 4000)
	b.submit("small", 1, 3000, "")
	b.begun(b.startsNow())
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref:   b.ref,
		Job:   work.Job{ID: "gang", Steps: []work.Step{{Tasks: 2, Gang: true, Each: work.Resources{CPU: 3000}, Estimate: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: 10 * time.Second},
	})
	b.pass(200 * ms)
	must.NotNil(t, b.s.poolOf("s").reserved)
	b.s.Cordoned(b.now, true)
	must.Nil(t, b.s.poolOf("s").reserved)
}

// Kept jobs wait for the end of the cordon, and are begun then.
func TestKeptJobsWaitOutACordon(t *testing.T) {
	b := cordonedBench(t)
	b.s.Resumed(b.now)
	b.s.Cordoned(b.now, true)
	b.s.Resume(b.now, b.keptJob("j", 1), Progress{})
	must.SliceEmpty(t, pickEffects[StartRun](b.pass(time.Second)))
	b.s.Cordoned(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// A process that stood still starts nothing before it has heard again whether the failure
// domain is cordoned, not even with what waited in front of its first tick.
func TestNothingStartsAfterAPauseBeforeTheCordonIsConfirmed(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		b := cordonedBench(t)
		b.now += 5 * time.Second
		if ticked {
			b.s.Tick(b.now)
		}
		b.submit("j", 1, 1000, "")
		effects := b.do()
		must.SliceEmpty(t, pickEffects[StartRun](effects))
		must.SliceLen(t, 1, pickEffects[ConfirmCordon](effects))
		b.s.Cordoned(b.now, true)
		must.SliceEmpty(t, b.startsNow())
	}
}

// Where nobody can confirm it, the last word holds after a while: a failure domain that is cut
// off serves what it can, unless it was cordoned.
func TestTheLastWordHoldsWhereNobodyConfirmsIt(t *testing.T) {
	for _, closed := range []bool{false, true} {
		b := cordonedBench(t)
		b.s.Cordoned(b.now, closed)
		b.now += 5 * time.Second
		b.s.Tick(b.now)
		b.do()
		b.submit("j", 1, 1000, "")
		b.pass(cordonPatience - 100*ms)
		must.True(t, b.s.cordon.bars())
		b.pass(200 * ms)
		must.Eq(t, closed, b.s.cordon.bars())
	}
}

// What was never known isn't believed after any time.
func TestAnUnknownCordonStaysUnknown(t *testing.T) {
	b := newBench(t, Options{AwaitCordon: true})
	b.usable("a", 4000)
	b.pass(time.Minute)
	b.submit("j", 1, 1000, "")
	must.SliceEmpty(t, b.startsNow())
}
