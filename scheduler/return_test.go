package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// submitWithSlack submits a job of one 100 ms task that has to start within a slack.
func (b *harness) submitWithSlack(id string, slack time.Duration) []Answer {
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref:   b.ref,
		Job:   work.Job{ID: id, Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: slack, RequestTimeout: time.Second},
	})
	return pickEffects[Answer](b.effects())
}

// A caller that comes back after its answer's useful time is placed behind those that come for the
// first time. It is served where capacity is free, and refused at once where none is.
func TestReturningLateCallerIsPlacedBehind(t *testing.T) {
	for name, test := range map[string]struct {
		wait     time.Duration
		accepted bool
		cpu      int64
	}{
		"first submission":          {time.Second, true, 1000},
		"first submission, free":    {time.Second, true, 2000},
		"back late":                 {100 * ms, false, 1000},
		"back late, free":           {100 * ms, true, 2000},
		"states no wait":            {0, true, 1000},
		"back while of use":         {900 * ms, true, 1000},
		"above the queue's timeout": {9 * time.Second, true, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.addUsableTarget("t", test.cpu)
			must.SliceEmpty(t, b.submitWithSlack("first", time.Second))
			b.ref++
			b.s.Submit(b.now, Submission{
				Ref: b.ref, Wait: test.wait,
				Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: 100 * ms}}},
				Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: 400 * ms, RequestTimeout: time.Second},
			})
			answers := pickEffects[Answer](b.effects())
			must.Eq(t, test.accepted, len(answers) == 0)
		})
	}
}

// The estimate of how long a caller has waited must not extend the deadline that the caller states.
func TestReturningCallerKeepsDeadline(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("t", 2000)
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Wait: 300 * ms,
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: time.Hour}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: time.Second, RequestTimeout: time.Second},
	})
	must.SliceEmpty(t, pickEffects[Answer](b.advance(280*ms)))
	must.SliceLen(t, 1, pickEffects[Answer](b.advance(40*ms)))
}

// A new owner counts on all targets that it takes over. Callers are not refused while targets
// become available in a moment, and no more are accepted than the targets can serve while the
// answers are of use, which is half a round of their tasks.
func TestNewOwnerCountsArrivingTargets(t *testing.T) {
	b := newHarness(t, Options{})
	for i := range 10 {
		b.listTargetWithCPU(fmt.Sprint("t", i), 1000)
	}
	b.effects()
	accepted := 0
	for i := range 30 {
		if len(b.submitWithSlack(fmt.Sprint("j", i), 50*ms)) == 0 {
			accepted++
		}
		if i == 3 {
			b.answerPoll("t0", work.PollAnswer{ClockMS: 5000})
			b.effects()
		}
	}
	must.Between(t, 10, accepted, 15)
}
