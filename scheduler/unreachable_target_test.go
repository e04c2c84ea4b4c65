package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// busyTarget returns the target that runs something, and fails the test if there is none.
func (w *world) busyTarget(t *testing.T) *fakeTarget {
	t.Helper()
	var busy *fakeTarget
	for _, id := range w.targetIDs() {
		if len(w.targets[id].runs) > 0 {
			busy = w.targets[id]
		}
	}
	must.NotNil(t, busy)
	return busy
}

// playUnreachableTarget has a durable job of one task of some seconds run at a target that the owner's
// successor doesn't reach, while the owner goes on there without knowing of its successor.
func playUnreachableTarget(t *testing.T, seed uint64) (w *world, busy *fakeTarget) {
	t.Helper()
	w = newWorld(seed, 3, worldFaults{})
	w.longest = 12000
	w.takeOver()
	w.run(200 * ms)
	w.submitDurable(work.Job{Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 3 * time.Second}}}, false)
	w.run(200 * ms)
	busy = w.busyTarget(t)
	successor := w.takeOver()
	busy.unreachableBy = map[int64]bool{successor.token: true}
	return w, busy
}

// A durable job's task doesn't run twice when the successor doesn't reach its target, which answers the
// previous owner.
func TestTargetUnreachableBySuccessorKeepsItsRun(t *testing.T) {
	for seed := uint64(3); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w, busy := playUnreachableTarget(t, seed)
			w.run(20 * time.Second)
			must.SliceEmpty(t, w.violations, must.Sprint(w.violations))
			busy.unreachableBy = nil
			w.run(10 * time.Second)
			must.SliceEmpty(t, w.violations, must.Sprint(w.violations))
			must.SliceEmpty(t, w.unendedJobs())
		})
	}
}
