package capacity

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkLimits fails the test if more tasks run under a limit than it allows.
func (w *world) checkLimits() {
	running := make(map[string]int)
	for _, k := range w.tasks {
		if k.begins <= w.now && w.now < k.ends {
			running[k.pool]++
		}
	}
	for _, name := range testLimits {
		if running[name] > testLimit {
			w.t.Fatalf("%v: %d tasks run under %s, the limit is %d", w.now, running[name], name, testLimit)
		}
	}
}

func (w *world) pick(filter func(*vm) bool) *vm {
	var fit []*vm
	for _, v := range w.vms {
		if filter(v) {
			fit = append(fit, v)
		}
	}
	if len(fit) == 0 {
		w.t.Skip("no such VM")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(w.t, "vm")]
}

func (w *world) acts(v *vm) bool { return v.alive && !v.paused }

func (w *world) isMember(v *vm) bool {
	return w.acts(v) && v.view != nil && v.view.ID == w.view.ID && slices.Contains(w.view.Members, v.self)
}

// heal ends all faults and joins the VMs into one view.
func (w *world) heal() {
	for _, v := range w.vms {
		if !v.alive {
			w.start(v)
		}
		v.paused = false
		if v.state.leaving {
			w.start(v)
		}
		w.rest(v)
	}
	for _, v := range w.vms {
		w.adopt(v)
	}
	w.install(w.vms, nil)
	for _, v := range w.vms {
		w.adopt(v)
	}
	w.loss = 0
	w.repeat = 0
	w.pass(testReclaim + 500*time.Millisecond)
}

// rest ends the demand of a VM.
func (w *world) rest(v *vm) {
	v.busy = false
	for _, name := range append([]string{Slots}, testLimits...) {
		w.post(v, v.state.Want(w.now, name, 0))
	}
}

// checkWhole lets each VM in turn take every unit of every pool, and fails the test
// if units are missing or too many. Each other VM may keep one slot unit.
func (w *world) checkWhole() {
	slots := len(testTargets) * testSlots
	for _, v := range w.vms {
		for _, name := range testLimits {
			w.gather(v, []string{name}, name, testLimit, testLimit)
		}
		w.gather(v, testTargets, Slots, slots, slots-len(w.vms)+1)
	}
	for _, name := range testTargets {
		total := 0
		for _, v := range w.vms {
			held, _ := v.state.Held(name)
			total += held
		}
		if total != testSlots {
			w.t.Fatalf("%d units of %s exist, not %d", total, name, testSlots)
		}
	}
}

// gather lets one VM take units for a while, and returns them. It fails the test if
// the VM got fewer than least or more than units.
func (w *world) gather(v *vm, pools []string, want string, units, least int) {
	var taken []string
	for range 40 {
		w.post(v, v.state.Want(w.now, want, units-len(taken)))
		w.pass(10 * time.Millisecond)
		v.state.SetLease(w.leaseValid(v))
		for _, name := range pools {
			for v.state.Take(name) {
				taken = append(taken, name)
			}
		}
	}
	w.post(v, v.state.Want(w.now, want, 0))
	if len(taken) < least || len(taken) > units {
		w.t.Fatalf("%v: %s gathered %d of %d units of %v", w.now, v.self.ID, len(taken), units, pools)
	}
	for _, name := range taken {
		v.state.Give(w.now, name)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	pass := func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) }
	return map[string]func(*rapid.T){
		"pass":       pass,
		"pass more":  pass,
		"pass again": pass,
		"network":    func(t *rapid.T) { w.loss = rapid.SampledFrom([]int{0, 20, 300, 900}).Draw(t, "loss") },
		"busy":       func(*rapid.T) { w.pick(w.acts).busy = true },
		"rest":       func(*rapid.T) { w.rest(w.pick(w.acts)) },
		"kill":       w.kill,
		"restart":    func(*rapid.T) { w.start(w.pick(func(v *vm) bool { return !v.alive })) },
		"pause":      func(*rapid.T) { w.pick(w.acts).paused = true },
		"resume":     func(*rapid.T) { w.pick(func(v *vm) bool { return v.alive && v.paused }).paused = false },
		"target":     w.disturbTarget,
		"calm":       w.calm,
		"change":     w.change,
		"rejoin":     w.rejoin,
		"leave":      w.leave,
	}
}

// kill ends a process, and may start another on the VM at once.
func (w *world) kill(t *rapid.T) {
	v := w.pick(func(v *vm) bool { return v.alive })
	v.alive = false
	if rapid.Bool().Draw(t, "restart") {
		w.start(v)
	}
}

// calm ends the faults of VMs and network, and lets all VMs join the view.
func (w *world) calm(t *rapid.T) {
	for _, v := range w.vms {
		v.paused = false
		if !v.alive || v.state.leaving {
			w.start(v)
		}
	}
	w.rejoin(t)
	w.loss = 20
	w.pass(testReclaim + 50*time.Millisecond)
}

// survivors returns the members of the view that act.
func (w *world) survivors() []*vm {
	var survivors []*vm
	for _, v := range w.vms {
		if w.acts(v) && slices.Contains(w.view.Members, v.self) {
			w.adopt(v)
		}
		if w.isMember(v) {
			survivors = append(survivors, v)
		}
	}
	if len(survivors) == 0 {
		w.t.Skip("no survivor")
	}
	return survivors
}

// change replaces the view: members stay, others that act may join.
func (w *world) change(t *rapid.T) {
	survivors := w.survivors()
	only := rapid.IntRange(0, 3*len(survivors)).Draw(t, "lost")
	if only < len(survivors) && len(survivors) > 1 {
		survivors = slices.Delete(survivors, only, only+1)
	}
	w.install(survivors, nil)
}

// rejoin adds the VMs that act and are not members to the view.
func (w *world) rejoin(*rapid.T) {
	members := w.survivors()
	for _, v := range w.vms {
		if w.acts(v) && !slices.Contains(members, v) {
			members = append(members, v)
		}
	}
	w.install(members, nil)
}

// leave makes a member leave the view.
func (w *world) leave(*rapid.T) {
	members := w.survivors()
	if len(members) == 1 {
		w.t.Skip("the last member stays")
	}
	leaver := w.pick(func(v *vm) bool { return slices.Contains(members, v) })
	members = slices.DeleteFunc(members, func(v *vm) bool { return v == leaver })
	w.post(leaver, leaver.state.Leave(w.now))
	w.install(members, []*vm{leaver})
}

func TestLimitsHoldThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.heal()
		w.checkWhole()
	})
}
