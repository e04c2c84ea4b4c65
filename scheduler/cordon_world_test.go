package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// fakeCordons is the operator's setting for the owners' failure domain.
type fakeCordons struct {
	cordoned bool
	// changes counts the changes of the setting.
	changes int
}

// knownCordon is what was last reported to an owner of the setting.
type knownCordon struct {
	known, cordoned bool
	// unconfirmedSince is when it last asked whether the setting still applies; 0 before the first
	// time.
	unconfirmedSince time.Duration
}

// maxCordonDelay bounds a report's delay in milliseconds; it exceeds an owner's confirmation
// timeout.
const maxCordonDelay = 1500

// reportCordon sends an owner the setting that applies after a random delay.
func (w *world) reportCordon(o *fakeOwner) {
	if w.cordons == nil {
		return
	}
	w.after(time.Duration(w.random.IntN(maxCordonDelay))*ms, func() {
		w.deliver(o, func() {
			o.cordon = knownCordon{known: true, cordoned: w.cordons.cordoned}
			o.state.CordonReported(w.now, w.cordons.cordoned)
			w.fleet.reportCordons(o)
		})
	})
}

// toggleCordon changes the operator's setting.
func (w *world) toggleCordon() {
	w.cordons.cordoned = !w.cordons.cordoned
	w.cordons.changes++
	for _, o := range w.owners {
		w.reportCordon(o)
	}
}

// checkCordon records a violation if an owner starts a run against the reported setting, or without
// one. A setting that stays unconfirmed for the timeout may be applied again.
func (w *world) checkCordon(o *fakeOwner, e StartRun) {
	c := o.cordon
	trusted := c.known || c.unconfirmedSince > 0 && w.now-c.unconfirmedSince > cordonConfirmTimeout
	if w.cordons != nil && (c.cordoned || !trusted) {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts, though the owner knows %+v", w.now, e.Run.Task, c))
	}
}

// TestFuzzCordons combines cordons with all other faults: takeovers, frozen and deposed owners,
// lost orders, lost targets and delegated parts. An owner starts nothing while it knows of a
// cordon, before the first report, or after a pause before the next one. All other invariants hold
// as without cordons.
func TestFuzzCordons(t *testing.T) {
	steps := 0
	rapid.Check(t, func(rt *rapid.T) { steps += playCordons(rt, nil) })
	must.Greater(t, 100, steps)
}

// playCordons plays one random history of cordons, and returns how often the cordon changed.
func playCordons(rt *rapid.T, trace *worldTrace) int {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 20).Draw(rt, name)) / 100 }
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "targets"), worldFaults{
		lostOrders: share("lost"), lateOrders: share("late"), lostAnswers: share("answers"), failing: share("failing"),
		broken: share("broken"),
	})
	w.cordons = &fakeCordons{cordoned: rapid.Bool().Draw(rt, "closed")}
	w.trace = trace
	w.longest = rapid.SampledFrom([]int{100, 800}).Draw(rt, "longest")
	if rapid.Bool().Draw(rt, "lending") {
		w.addOtherOwner(rapid.IntRange(1, 3).Draw(rt, "others"))
	}
	w.takeOver()
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		if rapid.IntRange(0, 4).Draw(rt, "cordon") == 0 {
			w.toggleCordon()
		}
		injectEvent(rt, w)
		w.run(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("broken: %v", w.violations)
		}
	}
	w.run(5 * time.Second)
	if len(w.violations) > 0 {
		rt.Fatalf("broken: %v", w.violations)
	}
	return w.cordons.changes
}

// While a failure domain is cordoned its jobs go to the other owner as a whole, and afterwards they
// are served here again.
func TestJobsMoveToOtherOwnerDuringCordon(t *testing.T) {
	w := newWorld(3, 4, worldFaults{})
	w.cordons = &fakeCordons{}
	w.addOtherOwner(4)
	w.takeOver()
	w.run(2 * time.Second)
	count := func(result work.Result) (n int) {
		for _, c := range w.callers {
			for _, outcome := range c.outcomes {
				if outcome == result {
					n++
				}
			}
		}
		return n
	}
	for range 20 {
		w.addCaller(3)
		w.run(30 * ms)
	}
	w.toggleCordon()
	w.run(2 * time.Second)
	must.Eq(t, 20, count(work.Completed)+count(work.Moved))
	must.Zero(t, count(work.Unknown))
	before := count(work.Completed)
	w.addCaller(1)
	w.run(100 * ms)
	must.Eq(t, 1, count(work.Refused))
	w.toggleCordon()
	w.run(2 * time.Second)
	w.addCaller(1)
	w.run(500 * ms)
	must.Eq(t, before+1, count(work.Completed))
	must.SliceEmpty(t, w.violations)
}
