package scheduler

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// addOther adds another owner with targets of its own.
func (w *world) addOther(targets int) {
	w.other = &fakeOwner{state: New(Options{}), token: 1, refs: map[Ref]*caller{}, lenders: map[Ref]func(work.Outcome){}}
	for range targets {
		owners := w.owners
		w.owners = []*fakeOwner{w.other}
		w.addTarget().others = true
		w.owners = owners
	}
	w.other.state.Listed()
	w.tick(w.other)
	w.talk()
}

// exchangeCapacity simulates the heartbeats between the owners and the other one.
func (w *world) talk() {
	for _, o := range w.owners {
		if o.dead || o.frozen || w.linkCut {
			continue
		}
		w.other.state.EntrySeen(o.name, w.now+entryVouch)
		o.state.RoomAt(w.now, "other", "s", w.other.state.Load(w.now, "s").Room)
		w.carryOut(o)
	}
	w.after(20*ms, w.talk)
}

// delegate sends a part to the other owner.
func (w *world) lend(o *fakeOwner, e Lend) {
	part := &lentPart{}
	o.lent[e.Part] = part
	reply := func(outcome work.Outcome) {
		if !part.returned {
			part.returned = true
			w.hear(o, func() { o.state.Returned(w.now, e.Part, outcome) })
		}
	}
	w.after(ms, func() {
		if w.linkCut {
			w.after(entrySilence, func() { reply(work.Outcome{Result: work.Unknown}) })
			return
		}
		w.refs++
		part.ref = w.refs
		w.other.lenders[part.ref] = func(outcome work.Outcome) {
			w.after(ms, func() {
				if !w.linkCut {
					reply(outcome)
				}
			})
		}
		sub := e.Submission
		sub.Ref, sub.Entry = part.ref, o.name
		w.other.state.Submit(w.now, sub)
		w.carryOut(w.other)
	})
}

// withdraw withdraws a part, if the other owner can be reached.
func (w *world) withdraw(o *fakeOwner, e Withdraw) {
	part := o.lent[e.Part]
	part.returned = true
	w.after(ms, func() {
		if !w.linkCut && part.ref != 0 {
			w.other.state.Cancel(w.now, part.ref)
			w.carryOut(w.other)
		}
	})
}

// cutLink cuts the link between the owners. Delegated parts are given up after the silence timeout.
func (w *world) cutLink(length time.Duration) {
	w.linkCut = true
	w.after(entrySilence, func() {
		if !w.linkCut {
			return
		}
		for _, o := range w.owners {
			for _, id := range sortedParts(o.lent) {
				if part := o.lent[id]; !part.returned {
					part.returned = true
					w.hear(o, func() { o.state.Returned(w.now, id, work.Outcome{Result: work.Unknown}) })
				}
			}
		}
	})
	w.after(length, func() { w.linkCut = false })
}

func sortedParts(delegated map[Part]*lentPart) []Part {
	parts := make([]Part, 0, len(delegated))
	for id := range delegated {
		parts = append(parts, id)
	}
	slices.Sort(parts)
	return parts
}
