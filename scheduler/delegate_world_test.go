package scheduler

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// addOtherOwner adds another owner with targets of its own.
func (w *world) addOtherOwner(targets int) {
	w.otherOwner = &fakeOwner{state: New(Options{}), token: 1, refs: map[Ref]*caller{}, partReplies: map[Ref]func(work.Outcome){}}
	for range targets {
		owners := w.owners
		w.owners = []*fakeOwner{w.otherOwner}
		w.addTarget().ofOtherOwner = true
		w.owners = owners
	}
	w.otherOwner.state.RegistryRead()
	w.tick(w.otherOwner)
	w.exchangeCapacity()
}

// exchangeCapacity simulates the heartbeats between the owners and the other one.
func (w *world) exchangeCapacity() {
	for _, o := range w.owners {
		if o.dead || o.frozen || w.linkCut {
			continue
		}
		w.otherOwner.state.EntryKeepalive(o.name, w.now+keepaliveLifetime)
		o.state.CapacityReported(w.now, "other", "s", w.otherOwner.state.Load(w.now, "s").FreeCapacity)
		w.applyEffects(o)
	}
	w.after(20*ms, w.exchangeCapacity)
}

// delegate sends a part to the other owner.
func (w *world) delegate(o *fakeOwner, e Delegate) {
	part := &sentPart{}
	o.delegated[e.Part] = part
	reply := func(outcome work.Outcome) {
		if !part.returned {
			part.returned = true
			w.deliver(o, func() { o.state.PartReturned(w.now, e.Part, outcome) })
		}
	}
	w.after(ms, func() {
		if w.linkCut {
			w.after(silenceTimeout, func() { reply(work.Outcome{Result: work.Unknown}) })
			return
		}
		w.refs++
		part.ref = w.refs
		w.otherOwner.partReplies[part.ref] = func(outcome work.Outcome) {
			w.after(ms, func() {
				if !w.linkCut {
					reply(outcome)
				}
			})
		}
		sub := e.Submission
		sub.Ref, sub.Entry = part.ref, o.name
		w.otherOwner.state.Submit(w.now, sub)
		w.applyEffects(w.otherOwner)
	})
}

// withdraw withdraws a part, if the other owner can be reached.
func (w *world) withdraw(o *fakeOwner, e Withdraw) {
	part := o.delegated[e.Part]
	part.returned = true
	w.after(ms, func() {
		if !w.linkCut && part.ref != 0 {
			w.otherOwner.state.Cancel(w.now, part.ref)
			w.applyEffects(w.otherOwner)
		}
	})
}

// cutLink cuts the link between the owners. Delegated parts are given up after the silence timeout.
func (w *world) cutLink(length time.Duration) {
	w.linkCut = true
	w.after(silenceTimeout, func() {
		if !w.linkCut {
			return
		}
		for _, o := range w.owners {
			for _, id := range sortedParts(o.delegated) {
				if part := o.delegated[id]; !part.returned {
					part.returned = true
					w.deliver(o, func() { o.state.PartReturned(w.now, id, work.Outcome{Result: work.Unknown}) })
				}
			}
		}
	})
	w.after(length, func() { w.linkCut = false })
}

func sortedParts(delegated map[Part]*sentPart) []Part {
	parts := make([]Part, 0, len(delegated))
	for id := range delegated {
		parts = append(parts, id)
	}
	slices.Sort(parts)
	return parts
}
