package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// Figures of losses.
const (
	// lapseTime is how long runs go on whose owner is lost.
	lapseTime = 800 * time.Millisecond
	// returnSpread is over how long callers come back.
	returnSpread = 300 * time.Millisecond
	// movedPause is how long an entry VM waits before it asks again about a job that was
	// handed back.
	movedPause = 10 * time.Millisecond
)

// plan sets the cordons and losses of the day.
func (w *world) plan() {
	for _, c := range w.options.Site.Cordons {
		w.at(c.From+time.Second, func() { w.cordon(c.Domain, true) })
		w.at(c.To+time.Second, func() { w.cordon(c.Domain, false) })
	}
	for _, l := range w.options.Site.Losses {
		w.at(l.At+time.Second, w.lose)
		w.at(l.At+l.For+time.Second, w.begin)
	}
}

// cordon bars a failure domain, or gives it back.
func (w *world) cordon(domain int, closed bool) {
	if w.baseline != nil {
		return
	}
	if w.options.OneOwner {
		// One owner of all sees the targets as draining.
		for _, id := range w.targetOrder {
			if t := w.targets[id]; t.domain == domain {
				t.Draining = closed
				w.owners[0].state.TargetSeen(w.now, t.Target)
			}
		}
		w.carryOut(w.owners[0])
		return
	}
	o := w.owners[domain]
	o.cordoned = closed
	if !o.lost {
		o.state.Cordoned(w.now, closed)
		w.carryOut(o)
	}
}

// lose ends all owners' processes: what runs lapses, and callers come back.
func (w *world) lose() {
	for _, o := range w.owners {
		o.lost = true
		o.life++
		for _, ref := range sortedRefs(o.callers) {
			w.comeBack(o.callers[ref])
		}
		clear(o.callers)
		clear(o.lenders)
		clear(o.lent)
	}
	w.after(lapseTime, func() {
		for _, id := range w.targetOrder {
			w.targets[id].lapse()
		}
	})
}

func sortedRefs(callers map[scheduler.Ref]*arrival) []scheduler.Ref {
	refs := make([]scheduler.Ref, 0, len(callers))
	for ref := range callers {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// lapse ends all that runs.
func (t *targetSim) lapse() {
	var runs []work.Run
	for run := range t.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b work.Run) int { return strings.Compare(a.Task, b.Task) })
	for _, run := range runs {
		t.end(run, t.running[run], work.EndStopped)
	}
}

// comeBack has a caller hand in its job again once there are owners.
func (w *world) comeBack(a *arrival) {
	back := w.now
	for _, l := range w.options.Site.Losses {
		if end := l.At + l.For + time.Second; w.now >= l.At+time.Second && w.now <= end {
			back = end
		}
	}
	w.at(back+time.Duration(w.random.Int64N(int64(returnSpread))), func() { w.submit(a, map[int]bool{}) })
}

// begin starts the owners' next lives.
func (w *world) begin() {
	for _, o := range w.owners {
		o.lost = false
		o.state = w.newState()
		o.state.Cordoned(w.now, o.cordoned)
		for _, id := range w.targetOrder {
			if t := w.targets[id]; t.domain%len(w.owners) == o.index {
				o.state.TargetSeen(w.now, t.Target)
			}
		}
		o.state.Listed()
		w.carryOut(o)
	}
}

func (w *world) newState() *scheduler.State {
	return scheduler.New(scheduler.Options{SendOnce: w.options.SendOnce})
}
