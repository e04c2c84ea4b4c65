package capacity

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// fleetTarget is a target that runs tasks and revokes leases.
type fleetTarget struct {
	// silent targets neither receive nor answer revocations; late ones revoke at
	// once and answer late.
	silent, late bool
}

// revocationCall is a revocation in transit to a target, or its answer in transit
// back.
type revocationCall struct {
	Revocation
	from    *vm
	asker   Member
	arrives time.Duration
	answers time.Duration
	done    bool
	running map[string]int
}

const maxAnswerDelay = 40 * time.Millisecond

func newFleet() map[string]*fleetTarget {
	fleet := make(map[string]*fleetTarget)
	for _, id := range testTargets {
		fleet[id] = &fleetTarget{}
	}
	return fleet
}

func fleetSlots() []TargetSlots {
	var targets []TargetSlots
	for _, id := range testTargets {
		targets = append(targets, TargetSlots{Target: id, Slots: testSlots})
	}
	return targets
}

// limitedAt counts the tasks under limits that run at a target or whose starts are in
// transit to it.
func (w *world) limitedAt(target string) int {
	n := 0
	for _, k := range w.tasks {
		if k.target == target && k.pool != target && k.ends > w.now {
			n++
		}
	}
	return n
}

// askTargets sends the revocations that are due at a VM.
func (w *world) askTargets(v *vm) {
	due, outs := v.state.Revocations(w.now)
	w.post(v, outs)
	for _, r := range due {
		call := revocationCall{Revocation: r, from: v, asker: v.self}
		call.arrives = w.now + time.Duration(w.rng.IntN(3))*time.Millisecond
		call.answers = call.arrives + time.Duration(w.rng.IntN(3))*time.Millisecond
		if w.fleet[r.Target].late {
			call.answers += time.Duration(w.rng.IntN(int(maxAnswerDelay/time.Millisecond))) * time.Millisecond
		}
		w.asked = append(w.asked, call)
	}
}

// revoke delivers revocations to their targets, and the answers to the VMs that
// asked.
func (w *world) revoke() {
	asked := w.asked
	w.asked = nil
	for _, c := range asked {
		if !c.done && c.arrives <= w.now {
			if w.fleet[c.Target].silent {
				continue
			}
			c.done = true
			c.running = w.revokeAt(c.Target, c.Holders)
		}
		if c.answers > w.now {
			w.asked = append(w.asked, c)
			continue
		}
		if v := c.from; v.alive && !v.paused && v.self == c.asker {
			w.post(v, v.state.RecordRevoked(w.now, c.View, c.Target, c.running))
		}
	}
}

// revokeAt ends the leases that the target has granted to others than the holders.
// Starts in transit under them are refused; the running tasks of others are counted
// by pool.
func (w *world) revokeAt(target string, holders []Member) map[string]int {
	running := make(map[string]int)
	for _, k := range w.tasks {
		if k.target != target || k.ends <= w.now || slices.Contains(holders, k.holder) {
			continue
		}
		switch {
		case k.begins <= w.now:
			running[k.pool]++
		case k.leased <= w.now:
			k.ends = w.now
		}
	}
	return running
}

// disturbTarget makes a target answer in time, late or not at all, and may restart it.
func (w *world) disturbTarget(t *rapid.T) {
	id := rapid.SampledFrom(testTargets).Draw(t, "target")
	f := w.fleet[id]
	f.silent = rapid.Bool().Draw(t, "silent")
	f.late = rapid.Bool().Draw(t, "late")
	if !rapid.Bool().Draw(t, "restart") {
		return
	}
	for _, k := range w.tasks {
		if k.target == id && k.leased <= w.now {
			k.ends = min(k.ends, w.now)
		}
	}
}
