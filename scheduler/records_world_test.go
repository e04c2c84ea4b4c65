package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// fakeRecords is the record of targets in the store, which only its holder changes.
type fakeRecords struct {
	holder  *fakeOwner
	targets map[string]work.Target
	// earlierUntil is when the leases of the owners before the holder are over.
	earlierUntil time.Duration
}

const (
	// recordDelay is the time that a read or a write of the record takes.
	recordDelay = 8 * ms
	// restartDelay is after how long the VM of an owner that has ended names a newer incarnation.
	restartDelay = 700 * ms
)

// reachesStore reports whether an owner's calls reach the store.
func (w *world) reachesStore(o *fakeOwner) bool {
	return !w.durableStore.unavailable && !o.cutFromStore
}

// openRecords has an owner take the record of targets from the previous owner.
func (w *world) openRecords(o *fakeOwner) {
	records, asOf := &w.durableStore.records, w.now
	if o.dead || records.holder != nil && records.holder.token > o.token {
		return
	}
	if o.frozen || !w.reachesStore(o) {
		w.after(20*ms, func() { w.openRecords(o) })
		return
	}
	previous := records.holder
	in := Inheritance{AsOf: asOf, HasPredecessor: previous != nil, EarlierUntil: records.earlierUntil}
	for _, id := range slices.Sorted(maps.Keys(records.targets)) {
		in.Targets = append(in.Targets, records.targets[id])
	}
	records.holder = o
	if previous != nil {
		records.earlierUntil = w.now + PredecessorValidity
	}
	w.after(recordDelay, func() {
		w.deliver(o, func() {
			o.state.InheritTargets(w.now, in)
			o.state.AdoptTargets(w.now)
		})
	})
	if previous != nil {
		w.awaitEnd(o, previous)
	}
}

// awaitEnd tells an owner of the end of its predecessor once that one's VM has started again.
func (w *world) awaitEnd(o, previous *fakeOwner) {
	w.after(restartDelay, func() {
		if previous.dead {
			w.deliver(o, func() { o.state.PredecessorEnded(w.now) })
			return
		}
		if !o.dead {
			w.awaitEnd(o, previous)
		}
	})
}

// writeRecord carries out a change of the record if the owner still holds it, and then calls confirm.
func (w *world) writeRecord(o *fakeOwner, write, confirm func()) {
	w.after(recordDelay, func() {
		switch {
		case w.durableStore.records.holder != o:
		case !w.reachesStore(o):
			w.after(100*ms, func() { w.writeRecord(o, write, confirm) })
		default:
			write()
			w.after(ms, func() { w.deliver(o, confirm) })
		}
	})
}

func (w *world) recordTarget(o *fakeOwner, e RecordTarget) {
	w.writeRecord(o, func() {
		if w.durableStore.records.targets == nil {
			w.durableStore.records.targets = map[string]work.Target{}
		}
		w.durableStore.records.targets[e.Target.ID] = e.Target
	}, func() { o.state.TargetRecorded(e.Target.ID, e.Number) })
}
