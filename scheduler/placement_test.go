package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// submitWithObjective submits a job of one task of 100 ms whose objective is a multiple of that, and returns
// where it starts.
func (b *harness) submitWithObjective(id string, stretch float64) string {
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref,
		Job: work.Job{ID: id, Steps: []work.Step{{
			Tasks: 1, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: 100 * ms,
		}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: stretch},
	})
	starts := pickEffects[StartRun](b.effects())
	if len(starts) != 1 {
		return ""
	}
	return starts[0].To.ID
}

// A task starts on the target on which it may still end in time, although the slow one has less free
// processor; a task that is in time on both takes the one with less. If only the slow one has room, it
// starts there.
func TestTaskStartsWhereItEndsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		stretch    float64
		placeByEnd bool
		want       string
	}{
		"off":             {1.6, false, "slow"},
		"tight objective": {1.6, true, "usual"},
		// The slow target is in time only if the declared run time isn't too short.
		"within margin":   {2, true, "usual"},
		"loose objective": {3, true, "slow"},
		"no objective":    {0.5, true, "slow"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{PlaceByEnd: test.placeByEnd})
			b.addUsableTarget("slow", 2000)
			b.addUsableTarget("usual", 8000)
			b.s.targets["slow"].health.usualSpeed = 1.67
			must.Eq(t, test.want, b.submitWithObjective("j", test.stretch))
		})
	}
	b := newHarness(t, Options{PlaceByEnd: true})
	b.addUsableTarget("slow", 2000)
	b.s.targets["slow"].health.usualSpeed = 1.67
	must.Eq(t, "slow", b.submitWithObjective("j", 1.6))
}

// A target that hangs for one run doesn't count as slow, and one whose runs all take longer does.
func TestUsualSpeedFollowsManyRuns(t *testing.T) {
	h := newHealth()
	h.observeUsual(50)
	must.Less(t, 1.2, h.usualSpeed)
	for range 60 {
		h.observeUsual(1.67)
	}
	must.Greater(t, 1.6, h.usualSpeed)
}
