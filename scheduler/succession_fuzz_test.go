package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Whatever a successor finds or reaches: the invariants of durable jobs hold where registry entries of
// targets lapse that go on, where a target answers one owner and not another, and where one owner alone
// is cut off from the store.
func TestFuzzSuccessions(t *testing.T) {
	setChecks(t, 250)
	rapid.Check(t, func(rt *rapid.T) { playSuccessions(rt, nil) })
}

// playSuccessions plays one random history of durable jobs beside cuts of single links.
func playSuccessions(rt *rapid.T, trace *worldTrace) {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 4).Draw(rt, name)) / 100 }
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "targets"), worldFaults{
		lostOrders: share("lost"), lateOrders: share("late"), lostAnswers: share("answers"), failing: 2 * share("failing"),
	})
	w.trace = trace
	w.longest = rapid.SampledFrom([]int{100, 800, 6000, 12000}).Draw(rt, "longest")
	w.takeOver()
	w.run(200 * ms)
	for range rapid.IntRange(5, 40).Draw(rt, "steps") {
		injectSuccessionStep(rt, w)
		w.run(time.Duration(rapid.IntRange(0, 600).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("invariants broken: %v%s", w.violations, w.describeOpenJobs())
		}
	}
	w.endLinkFaults()
	w.takeOver()
	faultsEnded := w.now
	w.runUntilJobsEnd()
	// A target of a previous owner that has crashed holds jobs up until that owner's leases are over,
	// a run on a target that hung until it counts as stuck.
	for begin := w.now; w.now < begin+PredecessorValidity+10*time.Second+w.stuckTime(faultsEnded) && len(w.unendedJobs()) > 0; {
		w.run(200 * ms)
	}
	must.SliceEmpty(rt, w.violations, must.Sprint(w.violations, w.describeOpenJobs()))
	must.SliceEmpty(rt, w.unendedJobs(), must.Sprint(w.unendedJobs(), w.describeOpenJobs()))
}

// stuckTime returns for how long since a time runs were stuck that would have ended if their targets
// hadn't hung: at most the time after which a run counts as stuck. Run times are up to twice the
// declared ones, so that expected ones are as well.
func (w *world) stuckTime(since time.Duration) time.Duration {
	until := w.stuckEnded
	for _, t := range w.targets {
		for _, r := range t.runs {
			if r.stuck {
				until = w.now
			}
		}
	}
	return min(max(until-since, 0), hungFactor*time.Duration(w.longest)*ms)
}

// endLinkFaults ends all faults of the store, of orders and of links.
func (w *world) endLinkFaults() {
	w.durableStore.unavailable, w.faults = false, worldFaults{}
	for _, o := range w.owners {
		o.cutFromStore = false
	}
	for _, id := range w.targetIDs() {
		w.targets[id].unreachableBy, w.targets[id].unlisted = nil, false
		w.targets[id].announce(0)
	}
}

// injectSuccessionStep plays one random event of durable jobs, or the cut of a link.
func injectSuccessionStep(rt *rapid.T, w *world) {
	target := w.targets[rapid.SampledFrom(w.targetIDs()).Draw(rt, "cut target")]
	o := w.owners[len(w.owners)-1-rapid.IntRange(0, min(2, len(w.owners)-1)).Draw(rt, "owner")]
	switch rapid.SampledFrom([]string{"durable", "durable", "durable", "durable", "lapse", "one way", "store cut", "depose", "split", "split", "lapsed split"}).Draw(rt, "step") {
	case "durable":
		injectDurableStep(rt, w)
	case "lapse":
		w.lapseEntry(target, drawTime(rt, 500, 20000))
	case "one way":
		w.cutOneWay(target, o.token, drawTime(rt, 100, 20000))
	case "store cut":
		o.cutFromStore = true
		w.after(drawTime(rt, 100, 20000), func() { o.cutFromStore = false })
	case "depose":
		w.takeOver()
	case "split":
		// The next owner doesn't reach a target that the present one goes on using.
		w.cutOneWay(w.busiestTarget(target), w.token+1, drawTime(rt, 1000, 20000))
		w.takeOver()
	case "lapsed split":
		w.lapseEntry(w.busiestTarget(target), drawTime(rt, 500, 4000))
		w.run(20 * ms)
		w.takeOver()
	}
}

// busiestTarget returns the target with the most runs, or another one while nothing runs.
func (w *world) busiestTarget(other *fakeTarget) *fakeTarget {
	busiest := other
	for _, id := range w.targetIDs() {
		if t := w.targets[id]; !t.down && len(t.runs) > len(busiest.runs) {
			busiest = t
		}
	}
	return busiest
}

// lapseEntry drops the registry entry of a target that goes on, for a while.
func (w *world) lapseEntry(t *fakeTarget, length time.Duration) {
	if t.down || t.unlisted {
		return
	}
	t.unlisted = true
	for _, o := range w.owners {
		w.deliverFromStore(o, func() { o.state.TargetUnlisted(w.now, t.id) })
	}
	w.after(length, func() {
		t.unlisted = false
		t.announce(0)
	})
}

// deliverFromStore hands an owner what the registry says if it reaches the store.
func (w *world) deliverFromStore(o *fakeOwner, take func()) {
	w.after(10*ms, func() {
		if w.reachesStore(o) {
			w.deliver(o, take)
		}
	})
}

// cutOneWay has a target get no orders of one owner for a while.
func (w *world) cutOneWay(t *fakeTarget, token int64, length time.Duration) {
	if t.unreachableBy == nil {
		t.unreachableBy = map[int64]bool{}
	}
	t.unreachableBy[token] = true
	w.after(length, func() { delete(t.unreachableBy, token) })
}
