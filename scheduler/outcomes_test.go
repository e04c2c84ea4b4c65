package scheduler

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// endedJob returns a job of queue "q" that waited, with its forecast.
func (b *harness) endedJob(tasks int, forecastWait, waited time.Duration) *job {
	j := b.s.newJob(b.now-waited, Submission{
		Job:   work.Job{Steps: []work.Step{{Tasks: tasks, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", Stretch: 1, Allowance: 100 * ms},
	})
	j.forecast = forecast{made: true, wait: forecastWait, slack: 100 * ms}
	j.lastOrdered = b.now
	return j
}

// Without the margin, errors of the forecast would last as long as their cause.
func TestLateRefusalsRaiseMargin(t *testing.T) {
	b := newHarness(t, corrected)
	j := b.endedJob(1, 50*ms, 120*ms)
	record := b.s.outcomes.of(j)
	must.True(t, b.s.outcomes.accepts(b.now, &job{sub: j.sub, forecast: forecast{made: true, wait: 99 * ms, slack: 100 * ms}}))
	for range 100 {
		b.s.noteOutcome(b.now, j, work.Refused)
		j.forecast.missed = false
	}
	must.Eq(t, maxMargin, record.margin)
	must.False(t, b.s.outcomes.accepts(b.now, &job{sub: j.sub, forecast: forecast{made: true, wait: 51 * ms, slack: 100 * ms}}))
	must.Eq(t, 0, b.s.outcomes.of(b.endedJob(3, 0, 0)).margin)
	// The clock does not advance, or goes back.
	must.Eq(t, maxMargin, record.marginNow(b.now))
	must.Eq(t, maxMargin, record.marginNow(b.now-time.Second))
	must.Less(t, maxMargin/2, record.marginNow(b.now+marginDecay))
	must.Less(t, 0.001, record.marginNow(b.now+time.Minute))
	must.MapEmpty(t, New(corrected).outcomes)
}

// A margin that stays near its bound would otherwise fill the log with one line.
func TestMarginAtItsBoundIsLoggedOnce(t *testing.T) {
	b := newHarness(t, corrected)
	lines := func(misses int) int {
		var effects []Effect
		for range misses {
			b.s.noteOutcome(b.now, b.endedJob(1, 50*ms, 200*ms), work.Refused)
			effects = append(effects, b.advance(ms)...)
		}
		logged := 0
		for _, line := range pickEffects[LogEvent](effects) {
			if line.Message == "admission margin at its bound" {
				logged++
			}
		}
		return logged
	}
	must.Eq(t, 1, lines(200))
	b.advance(marginDecay / 2)
	must.Eq(t, 0, lines(20))
	b.advance(marginDecay)
	must.Eq(t, 1, lines(20))
}

// Only errors of the forecast may change the margin.
func TestOtherOutcomesLeaveMarginAlone(t *testing.T) {
	for name, test := range map[string]struct {
		change func(j *job)
		result work.Result
		waited time.Duration
	}{
		"in time":                {func(*job) {}, work.Completed, 0},
		"caller left":            {func(*job) {}, work.Unknown, 0},
		"entry VM silent":        {func(j *job) { j.latestStart = time.Hour }, work.Refused, 120 * ms},
		"a run was lost":         {func(j *job) { j.hasRerun, j.lastOrdered = true, time.Hour }, work.Completed, 0},
		"not forecast":           {func(j *job) { j.forecast.made = false }, work.Refused, 0},
		"its runs took too long": {func(j *job) { j.objective = 0 }, work.Completed, 0},
		"durable":                {func(j *job) { j.sub.Job.Durable = true }, work.Refused, 120 * ms},
		"several steps":          {func(j *job) { j.steps = append(j.steps, j.steps[0]) }, work.Refused, 120 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, corrected)
			j := b.endedJob(1, 50*ms, cmp.Or(test.waited, 60*ms))
			test.change(j)
			b.s.noteOutcome(b.now, j, test.result)
			must.Eq(t, 0, b.s.outcomes.of(j).margin)
			if test.result == work.Refused && j.latestStart < b.now {
				b.s.noteMissed(b.now, j, test.waited)
				must.Eq(t, 0, b.s.outcomes.of(j).margin)
			}
		})
	}
}

// Jobs that are accepted because nothing is known of the targets have no forecast that could be wrong.
func TestUnknownCapacityLeavesMarginAlone(t *testing.T) {
	b := newHarness(t, corrected)
	b.s.registryRead = false
	for range 25 {
		must.True(t, b.submitTo(0, 1, 16000, 50*ms))
	}
	b.advance(160 * ms)
	b.checkNoMargin()
}

// checkNoMargin fails if an error of a forecast was noted.
func (b *harness) checkNoMargin() {
	for _, record := range b.s.outcomes {
		must.Eq(b.t, 0, record.margin)
	}
}

// Jobs that were refused are compared with neighbours: a margin that refuses jobs which would have been
// in time falls.
func TestRefusedJobsAreComparedWithNeighbours(t *testing.T) {
	for name, test := range map[string]struct {
		refusedAt, waited time.Duration
		kind              string
		lowered           bool
	}{
		"neighbour waited less": {0, 10 * ms, "would be in time", true},
		"neighbour waited more": {0, 90 * ms, "would be late", false},
		"no neighbour":          {-time.Second, 10 * ms, "no neighbour", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, corrected)
			neighbour := b.endedJob(1, 50*ms, test.waited)
			record := b.s.outcomes.of(neighbour)
			record.margin, record.marginAt = 0.4, b.now
			refused := &job{sub: neighbour.sub, forecast: forecast{made: true, wait: 80 * ms, slack: 100 * ms}}
			must.False(t, b.s.outcomes.accepts(b.now, refused))
			record.refusals[0].at = neighbour.submitted + test.refusedAt
			b.s.noteOutcome(b.now, neighbour, work.Completed)
			must.SliceContains(t, pickEffects[Count](b.effects()), Count{"admission_refused", test.kind})
			must.SliceEmpty(t, record.refusals)
			must.Eq(t, test.lowered, record.margin < 0.4)
		})
	}
}

// The record of refusals is bounded however many jobs are refused.
func TestRecordOfRefusalsIsBounded(t *testing.T) {
	b := newHarness(t, corrected)
	j := b.endedJob(1, time.Second, 0)
	for range 10 * maxRefusalsKept {
		must.False(t, b.s.outcomes.accepts(b.now, j))
	}
	must.SliceLen(t, maxRefusalsKept, b.s.outcomes.of(j).refusals)
}

// A pause of the process ends its jobs, or makes them late; that is no error of their forecasts.
func TestPauseLeavesMarginAlone(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"ends jobs": 5 * time.Second, "ends no job": DefaultPauseThreshold - 100*ms,
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, corrected)
			b.occupy(2)
			for range 20 {
				b.submitTo(0, 1, 16000, 250*ms)
			}
			b.now += pause
			b.s.Tick(b.now)
			b.checkNoMargin()
			b.advance(100 * ms)
			b.checkNoMargin()
		})
	}
}

// Without a pause, the same jobs become late by an error of their forecasts.
func TestLateJobsRaiseMargin(t *testing.T) {
	b := newHarness(t, corrected)
	b.occupy(2)
	must.True(t, b.submitTo(0, 1, 16000, 250*ms))
	b.advance(400 * ms)
	record := b.s.outcomes[outcomeClass{"q0", 0}]
	must.NotNil(t, record)
	must.Positive(t, record.margin)
}
