package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// cordonedHarness has a usable target and knows that its domain is not cordoned.
func cordonedHarness(t *testing.T) *harness {
	b := newHarness(t, Options{AwaitCordon: true})
	b.s.CordonReported(b.now, false)
	b.addUsableTarget("a", 4000)
	return b
}

func (b *harness) startsNow() []StartRun { return pickEffects[StartRun](b.effects()) }

// Nothing starts before it is known whether the failure domain is cordoned, and jobs are not
// refused meanwhile.
func TestNothingStartsWhileCordonIsUnknown(t *testing.T) {
	b := newHarness(t, Options{AwaitCordon: true})
	b.addUsableTarget("a", 4000)
	b.submit("j", 1, 1000, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[Answer](effects))
	b.s.CordonReported(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// New jobs are refused at once with a retry time, so that their entry VM turns to other owners.
// After the cordon they run at once.
func TestCordonedDomainRefusesNewJobs(t *testing.T) {
	b := cordonedHarness(t)
	b.s.CordonReported(b.now, true)
	b.submit("j", 1, 1000, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	answers := pickEffects[Answer](effects)
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Refused, answers[0].Outcome.Result)
	must.Eq(t, cordonedRetryAfter, answers[0].Outcome.RetryAfter)
	b.s.CordonReported(b.now, false)
	b.submit("k", 1, 1000, "")
	must.SliceLen(t, 1, b.startsNow())
}

// Jobs with nothing started go back to their entry VM. Runs go on and count for their job, whose
// remaining tasks are delegated.
func TestCordonReturnsUnstartedJobsAndDelegatesTheRest(t *testing.T) {
	b := cordonedHarness(t)
	b.submit("begun", 2, 3000, "")
	first := b.startsNow()
	must.SliceLen(t, 1, first)
	b.answerStarts(first)
	waiting := b.submit("waiting", 1, 3000, "")
	must.SliceEmpty(t, b.startsNow())
	b.s.CordonReported(b.now, true)
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Eq(t, waiting, answers[0].Ref)
	must.Eq(t, work.Moved, answers[0].Outcome.Result)
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{5, 5, 5}})
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	delegated := pickEffects[Delegate](effects)
	must.SliceLen(t, 1, delegated)
	b.s.PartReturned(b.now, delegated[0].Part, work.Outcome{Result: work.Completed})
	b.answerPoll("a", pollWithCompletion(1, first[0].Run, work.CompletionDone))
	answers = pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Completed, answers[0].Outcome.Result)
}

// A task whose run failed does not start again on another target of a cordoned failure domain.
func TestFailedTaskIsNotRestartedInCordonedDomain(t *testing.T) {
	b := cordonedHarness(t)
	b.submit("j", 1, 1000, "")
	first := b.startsNow()
	b.answerStarts(first)
	b.addUsableTarget("b", 4000)
	b.s.CordonReported(b.now, true)
	b.answerPoll("a", pollWithCompletion(1, first[0].Run, work.CompletionFailed))
	must.SliceEmpty(t, b.startsNow())
	b.s.CordonReported(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// An unanswered order is not sent again once the failure domain is cordoned: the copy could start
// the run.
func TestUnansweredStartIsNotResentInCordonedDomain(t *testing.T) {
	for _, broken := range []bool{false, true} {
		b := cordonedHarness(t)
		b.submit("j", 1, 1000, "")
		order := b.startsNow()[0]
		b.s.CordonReported(b.now, true)
		if broken {
			b.s.HandleStartAnswer(b.now, "a", order.Run, work.OrderAnswer{Verdict: work.VerdictConnectionLost})
		}
		b.advance(100 * ms)
		must.Eq(t, 1, b.starts[order.Run], must.Sprint("broken connection: ", broken))
	}
}

// Parts of other owners' jobs are not accepted, and no capacity for them is reported.
func TestCordonedDomainReportsNoCapacity(t *testing.T) {
	b := cordonedHarness(t)
	b.submit("j", 1, 1000, "")
	b.answerStarts(b.startsNow())
	must.Positive(t, b.s.Load(b.now, "s").FreeCapacity.Tasks[0])
	b.s.CordonReported(b.now, true)
	load := b.s.Load(b.now, "s")
	must.Eq(t, [Priorities]int{}, load.FreeCapacity.Tasks)
	must.Zero(t, load.FreeCPU)
	must.True(t, load.Cordoned)
	for _, wait := range load.Wait {
		must.Eq(t, maxForecast, wait)
	}
}

// Targets reserved for a gang are released.
func TestCordonReleasesGangReservation(t *testing.T) {
	b := cordonedHarness(t)
	b.addUsableTarget("b", 4000)
	b.submit("small", 1, 3000, "")
	b.answerStarts(b.startsNow())
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref:   b.ref,
		Job:   work.Job{ID: "gang", Steps: []work.Step{{Tasks: 2, Gang: true, PerTask: work.Resources{CPU: 3000}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: 10 * time.Second},
	})
	b.advance(200 * ms)
	must.NotNil(t, b.s.poolOf("s").reservedFor)
	b.s.CordonReported(b.now, true)
	must.Nil(t, b.s.poolOf("s").reservedFor)
}

// Durable jobs wait for the end of the cordon, and start then.
func TestDurableJobsWaitForEndOfCordon(t *testing.T) {
	b := cordonedHarness(t)
	b.s.FinishResume(b.now)
	b.s.CordonReported(b.now, true)
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(time.Second)))
	b.s.CordonReported(b.now, false)
	must.SliceLen(t, 1, b.startsNow())
}

// A process that was paused starts nothing before it knows again whether the failure domain is
// cordoned, even if messages are processed before its first tick.
func TestNothingStartsAfterPauseUntilCordonIsConfirmed(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		b := cordonedHarness(t)
		b.now += 5 * time.Second
		if ticked {
			b.s.Tick(b.now)
		}
		b.submit("j", 1, 1000, "")
		effects := b.effects()
		must.SliceEmpty(t, pickEffects[StartRun](effects))
		must.SliceLen(t, 1, pickEffects[ConfirmCordon](effects))
		b.s.CordonReported(b.now, true)
		must.SliceEmpty(t, b.startsNow())
	}
}

// Where nobody confirms it, the last known state applies after a timeout: a failure domain that
// is cut off serves what it can, unless it was cordoned.
func TestUnconfirmedCordonStateAppliesAfterTimeout(t *testing.T) {
	for _, cordoned := range []bool{false, true} {
		b := cordonedHarness(t)
		b.s.CordonReported(b.now, cordoned)
		b.now += 5 * time.Second
		b.s.Tick(b.now)
		b.effects()
		b.submit("j", 1, 1000, "")
		b.advance(cordonConfirmTimeout - 100*ms)
		must.True(t, b.s.cordon.blocksStarts())
		b.advance(200 * ms)
		must.Eq(t, cordoned, b.s.cordon.blocksStarts())
	}
}

// A state that was never known blocks starts without a time limit.
func TestUnknownCordonStaysUnknown(t *testing.T) {
	b := newHarness(t, Options{AwaitCordon: true})
	b.addUsableTarget("a", 4000)
	b.advance(time.Minute)
	b.submit("j", 1, 1000, "")
	must.SliceEmpty(t, b.startsNow())
}
