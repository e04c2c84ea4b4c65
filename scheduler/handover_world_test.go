package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// handoverSeries lists the series of faults that are played around handovers of running jobs.
var handoverSeries = []struct {
	name  string
	kinds []string
}{
	{"alone", []string{"handover"}},
	{"entry", []string{"handover", "entry"}},
	{"messages", []string{"handover", "late", "rejoin"}},
	{"targets", []string{"handover", "cuts", "stops"}},
	{"all", []string{"handover", "entry", "behind", "cuts", "stops", "rejoin", "late"}},
}

// TestFuzzHandedOverJobs plays faults around owners that hand over running jobs, also to and from VMs
// of an older build. A task must never run twice at one time at targets that are up.
func TestFuzzHandedOverJobs(t *testing.T) {
	setRapidFlag(t, "rapid.checks", "100", "30")
	setRapidFlag(t, "rapid.seed", "0", "1")
	adopted := 0
	for _, series := range handoverSeries {
		t.Run(series.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				mixed := rapid.IntRange(0, 3).Draw(rt, "mixed") == 0
				adopted += playFaults(rt, series.kinds, func(w *vmWorld) {
					w.handsOver = func(v *vm) bool { return !mixed || v.slot%2 == 0 }
				}).adopted
			})
		})
	}
	must.Positive(t, adopted)
}

// Planned stops under load interrupt no job, and the successor has all targets soon: a job that was
// ended by its owner's stop would be answered late or not at all.
func TestHandoversInterruptNoJob(t *testing.T) {
	w := newVMWorld(1, 1, 3, 4, false)
	w.longest = 1200
	w.handsOver = func(*vm) bool { return true }
	w.run(time.Second)
	for i := range 200 {
		w.addClient(1+i%2, 5*time.Second)
		w.run(60 * ms)
		if i%20 == 10 {
			w.groups[0].claim.holder.leave(w.now + 2*time.Second)
		}
	}
	w.run(6 * time.Second)
	trace := strings.Join(w.trace, "\n")
	must.SliceEmpty(t, w.violations)
	must.Positive(t, w.adopted)
	must.Less(t, 500*ms, w.longestHandover)
	must.StrNotContains(t, trace, ": unknown")
}
