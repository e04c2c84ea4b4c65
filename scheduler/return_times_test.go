package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// refusals submits jobs until some are refused, and returns their outcomes in order.
func (b *harness) refusals(count int) []work.Outcome {
	var outcomes []work.Outcome
	for i := 0; len(outcomes) < count; i++ {
		b.submit(fmt.Sprintf("r%d", i), 2, 1000, "")
		for _, answer := range pickEffects[Answer](b.effects()) {
			must.Eq(b.t, work.Refused, answer.Outcome.Result)
			outcomes = append(outcomes, answer.Outcome)
		}
	}
	return outcomes
}

// Callers that are refused at one moment would otherwise all come again at one moment.
func TestReturnTimesAreSpreadInOrderOfRefusal(t *testing.T) {
	b := newHarness(t, Options{ReturnTimes: true})
	b.addUsableTarget("a", 20000)
	last, perSecond := time.Duration(0), map[time.Duration]int{}
	// 20 cores with 100 ms tasks free 200 cores a second. A tenth of that is ten jobs of two cores.
	for _, outcome := range b.refusals(90) {
		must.GreaterEq(t, last, outcome.RetryAfter)
		must.Eq(t, 0, outcome.RetryAfter%time.Second)
		must.Positive(t, outcome.ForecastWait)
		last = outcome.RetryAfter
		perSecond[last]++
	}
	must.MapLen(t, 9, perSecond)
	for _, count := range perSecond {
		must.Eq(t, 10, count)
	}
}

// Beyond the budget of all seconds callers are spread evenly, and no time exceeds the bound.
func TestReturnTimesAreBounded(t *testing.T) {
	b := newHarness(t, Options{ReturnTimes: true})
	b.addUsableTarget("a", 20000)
	perSecond := map[time.Duration]int{}
	for _, outcome := range b.refusals(1000) {
		perSecond[outcome.RetryAfter]++
	}
	must.LessEq(t, int(maxReturnSeconds), len(perSecond))
	for after, count := range perSecond {
		must.Between(t, time.Second, after, maxForecast)
		must.Between(t, 90, count, 120)
	}
}

// Without the part all callers refused at one moment are told the forecast wait.
func TestNoReturnTimesWithoutPart(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 20000)
	first := b.refusals(1)[0]
	must.Eq(t, 0, first.ForecastWait)
	must.NotEq(t, 0, first.RetryAfter%time.Second)
}

// A plan of earlier seconds must not count for later ones, also after a pause of the process or while
// its clock stands.
func TestReturnPlanFollowsTime(t *testing.T) {
	var plan returnPlan
	for want := range maxReturnSeconds {
		seconds, within := plan.promise(0, 1, 10, 10)
		must.Eq(t, want+1, seconds)
		must.True(t, within)
	}
	_, within := plan.promise(0, 1, 10, 10)
	must.False(t, within)
	for _, now := range []time.Duration{maxForecast, time.Hour} {
		seconds, within := plan.promise(now, 1, 10, 10)
		must.Eq(t, 1, seconds)
		must.True(t, within)
	}
}

// A caller that comes again at its time was placed behind all that came meanwhile, as its objective had
// passed. It counts as one that comes for the first time, but its caller's deadline stays.
func TestReturningAtItsTimeIsNotPlacedBehind(t *testing.T) {
	for name, test := range map[string]struct {
		options  Options
		waited   time.Duration
		accepted bool
	}{
		"at its time":           {Options{ReturnTimes: true}, 2030 * ms, true},
		"at its time, part off": {Options{}, 2030 * ms, false},
		"at another time":       {Options{ReturnTimes: true}, 2400 * ms, false},
		"before any time":       {Options{ReturnTimes: true}, 700 * ms, false},
		"first submission":      {Options{ReturnTimes: true}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.options)
			b.addUsableTarget("t", 1000)
			must.SliceEmpty(t, b.submitWithSlack("first", time.Second))
			b.ref++
			sub := Submission{
				Ref: b.ref, Wait: 5*time.Second - test.waited,
				Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: 100 * ms}}},
				Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: 400 * ms, RequestTimeout: 5 * time.Second},
			}
			b.s.Submit(b.now, sub)
			must.Eq(t, test.accepted, len(pickEffects[Answer](b.effects())) == 0)
			if test.accepted {
				must.Eq(t, b.now+sub.Wait, b.s.jobs[sub.Ref].deadline)
			}
		})
	}
}
