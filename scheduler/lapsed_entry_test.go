package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A durable job's task doesn't run twice when the entry of its target has lapsed at the time at which a
// successor claims, so that the successor doesn't know of the target while the previous owner goes on
// there.
func TestTargetWithLapsedEntryKeepsItsRun(t *testing.T) {
	w := newWorld(3, 2, worldFaults{})
	w.longest = 2500
	previous := w.takeOver()
	w.run(200 * ms)
	w.submitDurable(work.Job{Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Second}}}, false)
	w.run(200 * ms)
	var busy *fakeTarget
	for _, target := range w.targets {
		if len(target.runs) > 0 {
			busy = target
		}
	}
	must.NotNil(t, busy)
	busy.unlisted = true
	previous.state.TargetUnlisted(w.now, busy.id)
	w.takeOver()
	w.run(600 * ms)
	must.SliceEmpty(t, w.violations)
	// The entry is back after two seconds at most.
	busy.unlisted = false
	busy.announce(0)
	w.run(5 * time.Second)
	must.SliceEmpty(t, w.violations)
	must.SliceEmpty(t, w.unendedJobs())
}
