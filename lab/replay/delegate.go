package replay

import (
	"strconv"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// capacityInterval is the shortest time between two requests of an owner for the free capacity
// of the others.
const askInterval = 8 * time.Millisecond

// requestCapacity asks all other owners for their free capacity if an owner has tasks to
// delegate and has not asked within capacityInterval.
func (w *world) askRoom(o *ownerSim) {
	if w.options.Alone || !o.state.HasTasksToDelegate() || w.now < o.asked+askInterval {
		return
	}
	o.asked = w.now
	for _, other := range w.owners {
		if other == o {
			continue
		}
		w.after(w.options.Site.Far+hop, func() {
			load := other.state.Load(w.now, "service")
			w.after(w.options.Site.Far+hop, func() {
				if o.lost {
					return
				}
				o.state.CapacityReported(w.now, strconv.Itoa(other.index), "service", load.FreeCapacity)
				w.carryOut(o)
			})
		})
	}
}

// delegate submits a part of a job to another owner and returns its outcome to the delegating
// owner. A part for a lost owner is dropped, and so is an outcome or a withdrawal of an earlier
// incarnation of the delegating owner.
func (w *world) lend(o *ownerSim, e scheduler.Delegate) {
	index, _ := strconv.Atoi(e.Owner)
	other := w.owners[index]
	delay := w.options.Site.Far + hop
	incarnation := o.life
	w.after(delay, func() {
		if o.life != incarnation || other.lost {
			return
		}
		other.refs++
		ref := other.refs
		sub := e.Submission
		sub.Ref = ref
		other.lenders[ref] = func(outcome work.Outcome) {
			w.after(delay, func() {
				if o.life != incarnation {
					return
				}
				delete(o.lent, e.Part)
				o.state.PartReturned(w.now, e.Part, outcome)
				w.carryOut(o)
			})
		}
		o.lent[e.Part] = func() {
			w.after(delay, func() {
				if o.life != incarnation {
					return
				}
				other.state.Cancel(w.now, ref)
				w.carryOut(other)
			})
		}
		other.state.Submit(w.now, sub)
		w.carryOut(other)
	})
}
