package replay

import (
	"strconv"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// capacityInterval is the shortest time between two requests of an owner for the free capacity
// of the others.
const capacityInterval = 8 * time.Millisecond

// requestCapacity asks all other owners for their free capacity if an owner has tasks to
// delegate and has not asked within capacityInterval.
func (w *world) requestCapacity(o *ownerSim) {
	if w.options.NoDelegation || !o.state.HasTasksToDelegate() || w.now < o.capacityAsked+capacityInterval {
		return
	}
	o.capacityAsked = w.now
	for _, other := range w.owners {
		if other == o {
			continue
		}
		w.scheduleAfter(w.options.Site.DomainDelay+processDelay, func() {
			load := w.reportedLoad(other)
			w.scheduleAfter(w.options.Site.DomainDelay+processDelay, func() {
				if o.lost {
					return
				}
				o.state.CapacityReported(w.now, strconv.Itoa(other.index), "service", load.FreeCapacity)
				w.applyEffects(o)
			})
		})
	}
}

// delegate submits a part of a job to another owner and returns its outcome to the delegating
// owner. A part for a lost owner is dropped, and so is an outcome or a withdrawal of an earlier
// incarnation of the delegating owner.
func (w *world) delegate(o *ownerSim, e scheduler.Delegate) {
	index, _ := strconv.Atoi(e.Owner)
	other := w.owners[index]
	delay := w.options.Site.DomainDelay + processDelay
	incarnation := o.incarnation
	w.scheduleAfter(delay, func() {
		if o.incarnation != incarnation || other.lost {
			return
		}
		other.lastRef++
		ref := other.lastRef
		sub := e.Submission
		sub.Ref = ref
		other.partReplies[ref] = func(outcome work.Outcome) {
			w.scheduleAfter(delay, func() {
				if o.incarnation != incarnation {
					return
				}
				delete(o.withdrawals, e.Part)

				o.state.PartReturned(w.now, e.Part, outcome)
				w.applyEffects(o)
			})
		}
		o.withdrawals[e.Part] = func() {
			w.scheduleAfter(delay, func() {
				if o.incarnation != incarnation {
					return
				}
				other.state.Cancel(w.now, ref)
				w.applyEffects(other)
			})
		}
		w.runOnCPU(other, w.options.Site.JobTime, func() {
			other.state.Submit(w.now, sub)
			w.applyEffects(other)
		})
	})
}
