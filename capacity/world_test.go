package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

const (
	testViewLease   = 60 * time.Millisecond
	testTargetLease = 30 * time.Millisecond
	testMaxRun      = 120 * time.Millisecond
	// testStartDelay is the longest time from a decision to the lease for it.
	testStartDelay  = 10 * time.Millisecond
	testRevokeAfter = testViewLease + testStartDelay
	testReclaim     = testRevokeAfter + testTargetLease + testMaxRun
	testLimit       = 7
	testSlots       = 4
)

var (
	testLimits  = []string{"profile/p", "profile/q", "team/t"}
	testTargets = []string{"t0", "t1", "t2", "t3", "t4"}
)

// world simulates a failure domain: a correct membership, a network that loses,
// repeats and reorders messages, and VMs that die, pause and restart.
type world struct {
	t       *rapid.T
	now     time.Duration
	vms     []*vm
	packets []packet
	// rng draws the noise of network and load, from a seed that rapid drew.
	rng *rand.Rand
	// loss and repeat are how many of a thousand packets are lost and repeated.
	loss, repeat int
	// tasks holds the tasks at targets, also those of VMs that are gone.
	tasks []*task
	// fleet are the targets, by id, and asked the revocations in transit.
	fleet map[string]*fleetTarget
	asked []revocationCall
	view  View
	views int
}

type vm struct {
	state *State
	self  Member
	alive bool
	// paused VMs neither act nor answer.
	paused bool
	// view is the installed view, and next the one that is to be installed.
	view *View
	next *View
	// promised says that the VM has promised another view and left this one.
	promised bool
	// acked is when another member last acknowledged this VM's view.
	acked map[Member]time.Duration
	// configured is how many of the limits are configured here.
	configured int
	// busy VMs have tasks for all units that they can get.
	busy bool
}

type packet struct {
	from, to Member
	msg      *capacitypb.Message
	arrives  time.Duration
}

type task struct {
	holder Member
	pool   string
	target string
	// leased is when the holder has the lease for the start, begins when the start
	// reaches the target, and ends when the task has ended there.
	leased, begins, ends time.Duration
}

func newWorld(t *rapid.T) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, now: time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)), loss: 20, repeat: 20}
	w.fleet = newFleet()
	for i := range 4 {
		v := &vm{self: Member{ID: fmt.Sprint("vm", i)}}
		w.vms = append(w.vms, v)
		w.start(v)
	}
	w.install(w.vms[:3], nil)
	w.pass(testReclaim + 50*time.Millisecond)
	return w
}

func (w *world) start(v *vm) {
	v.self.Incarnation++
	v.alive = true
	v.paused = false
	v.view = nil
	v.next = nil
	v.promised = false
	v.acked = make(map[Member]time.Duration)
	v.state = New(Options{
		Self:          v.self,
		ReclaimAfter:  testReclaim,
		RevokeAfter:   testRevokeAfter,
		IdleAfter:     40 * time.Millisecond,
		FlushDelay:    2 * time.Millisecond,
		AckDelay:      5 * time.Millisecond,
		RetryAfter:    15 * time.Millisecond,
		MaxRetryAfter: 60 * time.Millisecond,
		LeaverTimeout: 30 * time.Millisecond,
	})
	v.busy = true
	v.configured = 0
	v.state.SetTargets(w.now, fleetSlots())
	for _, name := range testTargets {
		w.post(v, v.state.SetPool(w.now, Pool{Name: name, Kind: KindSlots, Capacity: testSlots}))
	}
}

func (w *world) post(v *vm, outs []Out) {
	for _, o := range outs {
		w.send(packet{from: v.self, to: o.To, msg: o.Msg})
	}
}

// send loses, repeats and reorders packets.
func (w *world) send(p packet) {
	if w.rng.IntN(1000) < w.loss {
		return
	}
	p.arrives = w.now + time.Duration(w.rng.IntN(3))*time.Millisecond
	w.packets = append(w.packets, p)
	if w.rng.IntN(1000) < w.repeat {
		p.arrives += time.Duration(w.rng.IntN(100)) * time.Millisecond
		w.packets = append(w.packets, p)
	}
}

func (w *world) vm(m Member) *vm {
	for _, v := range w.vms {
		if v.alive && v.self == m {
			return v
		}
	}
	return nil
}

// install forms a view: members and leavers promise it at once and install it later.
func (w *world) install(members, leavers []*vm) {
	w.views++
	view := View{ID: fmt.Sprint("view", w.views), Parent: w.view.ID}
	for _, v := range members {
		view.Members = append(view.Members, v.self)
	}
	for _, v := range leavers {
		view.Leavers = append(view.Leavers, v.self)
	}
	for _, v := range append(slices.Clone(members), leavers...) {
		w.adopt(v)
		v.promised = true
		v.next = &view
	}
	w.view = view
}

// adopt installs the next view of a VM, if there is one.
func (w *world) adopt(v *vm) {
	if v.next == nil {
		return
	}
	v.view = v.next
	v.next = nil
	v.promised = false
	v.acked = make(map[Member]time.Duration)
	w.acknowledge()
	w.post(v, v.state.SetView(w.now, *v.view))
}

// acknowledge records at each VM which members are in the same view.
func (w *world) acknowledge() {
	for _, v := range w.vms {
		if !v.alive || v.paused || v.view == nil {
			continue
		}
		for _, m := range v.view.Members {
			other := w.vm(m)
			if other == nil || other.paused || other.promised || other.view == nil {
				continue
			}
			if other.view.ID == v.view.ID {
				v.acked[m] = w.now
			}
		}
	}
}

func (w *world) leaseValid(v *vm) bool {
	if v.view == nil || v.promised {
		return false
	}
	for _, m := range v.view.Members {
		at, ok := v.acked[m]
		if m != v.self && (!ok || w.now-at > testViewLease) {
			return false
		}
	}
	return true
}

// pass runs the world for some milliseconds.
func (w *world) pass(d time.Duration) {
	for range int(d / time.Millisecond) {
		w.now += time.Millisecond
		w.acknowledge()
		w.arrive()
		w.revoke()
		for _, v := range w.vms {
			if w.acts(v) {
				w.post(v, v.state.Tick(w.now))
				w.askTargets(v)
				w.heartbeat(v)
				w.catchUp(v)
				w.work(v)
			}
		}
		w.checkLimits()
	}
}

// catchUp installs the next view and configures the next limit of a VM at random
// times.
func (w *world) catchUp(v *vm) {
	if v.next != nil && w.rng.IntN(5) == 0 {
		w.adopt(v)
	}
	if v.configured < len(testLimits) && w.rng.IntN(10) == 0 {
		pool := Pool{Name: testLimits[v.configured], Kind: KindLimit, Capacity: testLimit}
		w.post(v, v.state.SetPool(w.now, pool))
		v.configured++
	}
}

// arrive delivers the packets that are due.
func (w *world) arrive() {
	var later []packet
	sent := w.packets
	w.packets = nil
	for _, p := range sent {
		if p.arrives > w.now {
			later = append(later, p)
			continue
		}
		w.deliver(p)
	}
	w.packets = append(w.packets, later...)
}

// work ends and starts tasks like the dispatch duty.
func (w *world) work(v *vm) {
	w.endTasks(v)
	if !v.busy || v.state.leaving {
		return
	}
	for _, name := range testLimits {
		for w.startTask(v, name) {
		}
	}
	target := testTargets[w.rng.IntN(len(testTargets))]
	w.startTask(v, target)
}

// heartbeat delivers the digest to the other members every 50 ms.
func (w *world) heartbeat(v *vm) {
	if v.view == nil || w.now%(50*time.Millisecond) != 0 {
		return
	}
	for _, m := range v.view.Members {
		if other := w.vm(m); other != nil && other != v && !other.paused {
			other.state.SetDigest(v.self.ID, v.state.Digest())
		}
	}
}

func (w *world) deliver(p packet) {
	v := w.vm(p.to)
	if v == nil || v.paused {
		return
	}
	replies, outs := v.state.Receive(w.now, p.from, p.msg)
	for _, r := range replies {
		w.send(packet{from: p.to, to: p.from, msg: r})
	}
	w.post(v, outs)
}

// startTask takes a unit and starts a task. A start is in transit at most until the
// lease for it ends.
func (w *world) startTask(v *vm, pool string) bool {
	v.state.SetLease(w.leaseValid(v))
	if !v.state.Take(pool) {
		w.post(v, v.state.Want(w.now, wantName(pool), 3))
		return false
	}
	k := &task{holder: v.self, pool: pool, target: pool, leased: w.now, begins: w.now}
	if wantName(pool) != Slots {
		k.target = testTargets[w.rng.IntN(len(testTargets))]
		if w.limitedAt(k.target) == testSlots {
			v.state.Give(w.now, pool)
			return false
		}
	}
	run := time.Duration(1+w.rng.IntN(int(testMaxRun/time.Millisecond))) * time.Millisecond
	if w.rng.IntN(4) == 0 {
		k.leased += time.Duration(w.rng.IntN(int(testStartDelay/time.Millisecond)+1)) * time.Millisecond
		k.begins = k.leased + testTargetLease
		run = testMaxRun
	}
	k.ends = k.begins + run
	w.tasks = append(w.tasks, k)
	return true
}

func wantName(pool string) string {
	if slices.Contains(testTargets, pool) {
		return Slots
	}
	return pool
}

// endTasks returns the units of a VM's tasks that have ended.
func (w *world) endTasks(v *vm) {
	kept := w.tasks[:0]
	for _, k := range w.tasks {
		if k.holder == v.self && k.ends <= w.now {
			v.state.Give(w.now, k.pool)
			continue
		}
		kept = append(kept, k)
	}
	w.tasks = kept
}
