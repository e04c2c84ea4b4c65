package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// Times of losses and handovers.
const (
	// leaseLapseTime is how long runs continue after the loss of their owner, until their
	// leases lapse.
	leaseLapseTime = 800 * time.Millisecond
	// resubmitSpread is the time over which callers submit their jobs again after a loss.
	resubmitSpread = 300 * time.Millisecond
	// movedRetryDelay is how long an entry VM waits before it submits a job again that its owner
	// has returned as moved.
	movedRetryDelay = 10 * time.Millisecond
)

// scheduleCordonsAndLosses adds the events of the site's cordons and owner losses.
func (w *world) scheduleCordonsAndLosses() {
	for _, c := range w.options.Site.Cordons {
		w.scheduleAt(c.From+time.Second, func() { w.setCordon(c.Domain, true) })
		w.scheduleAt(c.To+time.Second, func() { w.setCordon(c.Domain, false) })
	}
	for _, l := range w.options.Site.OwnerLosses {
		w.scheduleAt(l.At+time.Second, w.loseOwners)
		w.scheduleAt(l.At+l.Outage+time.Second, w.restartOwners)
	}
}

// setCordon cordons a failure domain or makes it usable again. Baselines ignore cordons.
func (w *world) setCordon(domain int, cordoned bool) {
	if w.baseline != nil {
		return
	}
	if w.options.OneOwner {
		// The one owner sees the targets of a cordoned failure domain as draining.
		for _, id := range w.targetOrder {
			if t := w.targets[id]; t.domain == domain {
				t.Draining = cordoned
				w.owners[0].state.TargetListed(w.now, t.Target)
			}
		}
		w.applyEffects(w.owners[0])
		return
	}
	o := w.owners[domain]
	o.cordoned = cordoned
	if !o.lost {
		o.state.CordonReported(w.now, cordoned)
		w.applyEffects(o)
	}
}

// loseOwners ends the processes of all owners. Their callers submit their jobs again, and all
// runs end when their leases lapse.
func (w *world) loseOwners() {
	for _, o := range w.owners {
		o.lost = true
		o.incarnation++
		for _, ref := range sortedRefs(o.callers) {
			w.resubmitLater(o.callers[ref])
		}
		clear(o.callers)
		clear(o.partReplies)
		clear(o.withdrawals)
	}
	w.scheduleAfter(leaseLapseTime, func() {
		for _, id := range w.targetOrder {
			w.targets[id].endAllRuns()
		}
	})
}

// sortedRefs returns the references of callers in order, so that each replay draws the same.
func sortedRefs(callers map[scheduler.Ref]*arrival) []scheduler.Ref {
	refs := make([]scheduler.Ref, 0, len(callers))
	for ref := range callers {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// endAllRuns ends all runs of the target, in the order of their tasks' names.
func (t *targetSim) endAllRuns() {
	var runs []work.RunID
	for run := range t.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b work.RunID) int { return strings.Compare(a.Task, b.Task) })
	for _, run := range runs {
		t.endRun(run, t.running[run], work.CompletionStopped)
	}
}

// resubmitLater submits a caller's job again once owners run, after a random part of
// resubmitSpread.
func (w *world) resubmitLater(a *arrival) {
	start := w.now
	for _, l := range w.options.Site.OwnerLosses {
		if end := l.At + l.Outage + time.Second; w.now >= l.At+time.Second && w.now <= end {
			start = end
		}
	}
	w.scheduleAt(start+time.Duration(w.random.Int64N(int64(resubmitSpread))), func() { w.submit(a, map[int]bool{}) })
}

// restartOwners gives each owner a new scheduler that knows the targets and the cordons, and no
// job or run.
func (w *world) restartOwners() {
	for _, o := range w.owners {
		o.lost = false
		o.state = w.newState()
		o.state.CordonReported(w.now, o.cordoned)
		for _, id := range w.targetOrder {
			if t := w.targets[id]; t.domain%len(w.owners) == o.index {
				o.state.TargetListed(w.now, t.Target)
			}
		}
		o.state.RegistryRead()
		w.applyEffects(o)
	}
}

// newState creates the scheduler of an owner's process.
func (w *world) newState() *scheduler.State {
	return scheduler.New(scheduler.Options{SendOnce: w.options.SendOnce})
}
