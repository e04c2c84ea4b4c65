package replay

import (
	"strconv"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// askInterval is how often an owner asks for the others' room while work waits.
const askInterval = 8 * time.Millisecond

// askRoom has an owner with waiting work ask the others.
func (w *world) askRoom(o *ownerSim) {
	if w.options.Alone || !o.state.Hungry() || w.now < o.asked+askInterval {
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
				o.state.RoomAt(w.now, strconv.Itoa(other.index), "service", load.Room)
				w.carryOut(o)
			})
		})
	}
}

// lend has another owner run a part.
func (w *world) lend(o *ownerSim, e scheduler.Lend) {
	index, _ := strconv.Atoi(e.Owner)
	other := w.owners[index]
	way := w.options.Site.Far + hop
	life := o.life
	w.after(way, func() {
		if o.life != life || other.lost {
			return
		}
		other.refs++
		ref := other.refs
		sub := e.Submission
		sub.Ref = ref
		other.lenders[ref] = func(outcome work.Outcome) {
			w.after(way, func() {
				if o.life != life {
					return
				}
				delete(o.lent, e.Part)
				o.state.Returned(w.now, e.Part, outcome)
				w.carryOut(o)
			})
		}
		o.lent[e.Part] = func() {
			w.after(way, func() {
				if o.life != life {
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
