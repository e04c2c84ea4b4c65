package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/work"
)

// vmWorld simulates several VMs: each takes callers' jobs, sends keepalives, and may own the
// targets of its failure domain. It follows the code of packages entry, link, node, heartbeat,
// ownership and owner; the targets are those of world. The property is checked there: a task never
// has two runs at targets that are up.
type vmWorld struct {
	*world
	// vms holds the present process of each VM; groups holds one group for each failure domain.
	vms    []*vm
	groups []*targetGroup
	// cutUntil is until when nothing passes from one machine to another.
	cutUntil map[[2]string]time.Duration
	// latency is by how much datagrams and streams of a VM are delayed.
	latency map[string]time.Duration
	// stopFault is until when a target refuses or loses stops.
	stopFault   map[string]stopFault
	connections []*connection
	storeAway   bool
	clients     []*client
	incarnation uint64
	// maxLate bounds how late an order may be carried out.
	maxLate time.Duration
	// pauses is the share of orders and decisions that a pause of the process follows.
	pauses float64
	// requestDelays is the share of requests that wait in the process before they are handled.
	requestDelays float64
	// handsOver reports whether a VM hands over running jobs, and takes them; nil for none. adopted
	// counts the jobs that were taken.
	handsOver func(v *vm) bool
	adopted   int
	// longestHandover is the longest time from an owner's start until it had all targets.
	longestHandover time.Duration
	trace           []string
	completed       int
}

type stopFault struct {
	until   time.Duration
	refuses bool
}

// targetGroup is the targets of a failure domain, with the row that names their owner.
type targetGroup struct {
	targets []string
	claim   *vmClaim
}

// vmClaim follows ownership.GroupClaim.
type vmClaim struct {
	group           int
	holder, former  *vm
	version, passed int64
	// replaced is the version of the row that this one replaced.
	replaced int64
}

// continues follows GroupClaim.Continues.
func (c *vmClaim) continues(earlier *vmClaim) bool {
	if c.version == earlier.version {
		return c.passed == earlier.passed
	}
	return c.replaced == earlier.version
}

func (c *vmClaim) isNewerThan(other *vmClaim) bool {
	if other == nil {
		return true
	}
	if c.version != other.version {
		return c.version > other.version
	}
	return c.passed > other.passed
}

// vm is one process of a VM.
type vm struct {
	w           *vmWorld
	slot        int
	name        string
	domain      int
	incarnation uint64
	dead        bool
	// stalledUntil is until when nothing of the process runs; sendersStalledUntil until when it sends
	// no orders.
	stalledUntil, sendersStalledUntil time.Duration
	leaving                           bool
	current, outgoing                 *vmOwner
	claims                            map[int]*vmClaim
	claimSeenAt                       map[int]time.Duration
	started, lastClaimAttempt         time.Duration
	views                             map[uint64]*ownerView
	givenUp                           map[uint64]vmGivenUp
	lastLoadRequest                   time.Duration
	lastRequest                       uint64
	requests                          []*entryRequest
}

func (v *vm) entryID() string { return v.name + "/" + strconv.FormatUint(v.incarnation, 16) }

// newVMWorld makes a world of VMs; with restarts, targets report when they started.
func newVMWorld(seed uint64, domains, vmsPerDomain, targets int, restarts bool) *vmWorld {
	w := &vmWorld{
		world: newWorld(seed, 0, worldFaults{}), cutUntil: map[[2]string]time.Duration{}, latency: map[string]time.Duration{},
		stopFault: map[string]stopFault{}, maxLate: 4 * time.Second,
	}
	w.restarts = restarts
	for domain := range domains {
		g := &targetGroup{}
		w.groups = append(w.groups, g)
		for range targets {
			g.targets = append(g.targets, w.addTarget().id)
		}
		for range vmsPerDomain {
			w.vms = append(w.vms, nil)
			w.startProcess(len(w.vms)-1, domain)
		}
	}
	return w
}

// log adds a line to the trace of the world.
func (w *vmWorld) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.1f ", float64(w.now)/float64(ms))+fmt.Sprintf(format, args...))
}

// startProcess starts a process of a VM, which replaces an earlier one that has ended.
func (w *vmWorld) startProcess(slot, domain int) {
	w.incarnation++
	v := &vm{
		w: w, slot: slot, name: fmt.Sprintf("vm%d", slot), domain: domain, incarnation: w.incarnation, started: w.now,
		claims: map[int]*vmClaim{}, claimSeenAt: map[int]time.Duration{}, views: map[uint64]*ownerView{}, givenUp: map[uint64]vmGivenUp{},
		lastClaimAttempt: -time.Hour,
	}
	w.vms[slot] = v
	v.readClaims()
	v.pingPeriodically()
	v.decideClaim()
}

// kill ends a process. Its callers and the VMs that it has connections with notice at once.
func (w *vmWorld) kill(v *vm) {
	if v.dead {
		return
	}
	w.log("%s dies", v.entryID())
	v.dead = true
	for _, o := range []*vmOwner{v.current, v.outgoing} {
		if o != nil {
			o.ended = true
		}
	}
	for _, c := range w.connections {
		switch {
		case c.closed:
		case c.to == v:
			c.breakAtClient()
		case c.from == v:
			c.closeByClient()
		}
	}
	for _, r := range v.requests {
		r.connectionLost()
	}
}

// later runs a goroutine's next part after a time, once the process isn't stalled.
func (v *vm) later(d time.Duration, do func()) { v.w.after(d, func() { v.resume(do) }) }

func (v *vm) resume(do func()) {
	switch {
	case v.dead:
	case v.w.now < v.stalledUntil:
		// The goroutines of a process that goes on run in any order.
		v.w.after(v.stalledUntil-v.w.now+v.w.micros(3000), func() { v.resume(do) })
	default:
		do()
	}
}

// micros draws a time of up to so many microseconds.
func (w *vmWorld) micros(most int) time.Duration {
	return time.Duration(w.random.IntN(most+1)) * time.Microsecond
}

func (w *vmWorld) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// stall holds up all goroutines of a process.
func (v *vm) stall(length time.Duration) {
	v.w.log("%s stalls for %v", v.name, length)
	v.stalledUntil = max(v.stalledUntil, v.w.now+length)
}

// cut cuts one direction between two machines.
func (w *vmWorld) cut(from, to string, length time.Duration) {
	w.log("cut %s to %s for %v", from, to, length)
	w.cutUntil[[2]string{from, to}] = max(w.cutUntil[[2]string{from, to}], w.now+length)
}

func (w *vmWorld) delay(from, to string) time.Duration {
	return 200*time.Microsecond + w.micros(1500) + w.latency[from] + w.latency[to]
}

// datagram delivers a message unless it is lost.
func (w *vmWorld) datagram(from, to string, do func()) {
	if w.now < w.cutUntil[[2]string{from, to}] || w.chance(w.faults.lostOrders/2) {
		return
	}
	w.after(w.delay(from, to), do)
}

// stream delivers a message over a connection; a cut holds it up until it has healed and the
// message is sent again.
func (w *vmWorld) stream(from, to string, do func()) {
	if until := w.cutUntil[[2]string{from, to}]; w.now < until {
		w.after(until-w.now+w.micros(300_000), func() { w.stream(from, to, do) })
		return
	}
	w.after(w.delay(from, to), do)
}

// crashTarget ends a target; another one takes its place.
func (w *vmWorld) crashTarget(t *fakeTarget) {
	if t.down {
		return
	}
	w.log("%s crashes", t.id)
	t.down = true
	for _, task := range sortedTasks(t.runs) {
		delete(t.runs, task)
		w.runEnded(task)
	}
	added := w.addTarget()
	for _, g := range w.groups {
		for _, id := range g.targets {
			if id == t.id {
				g.targets = append(g.targets, added.id)
				break
			}
		}
	}
	w.list(added)
	for _, v := range w.vms {
		for _, o := range v.owners() {
			v.later(500*ms+w.micros(2_000_000), func() { o.postUrgent(func(now time.Duration) { o.unlist(now, t.id) }) })
		}
	}
}

// restartTarget ends a target's process, which starts again under its ID after a while. Its entry
// tells so later, or never.
func (w *vmWorld) restartTarget(t *fakeTarget, away, announced time.Duration) {
	if t.down || !w.restarts {
		return
	}
	w.log("%s restarts for %v", t.id, away)
	t.down = true
	for _, task := range sortedTasks(t.runs) {
		delete(t.runs, task)
		w.runEnded(task)
	}
	w.after(away, func() {
		t.down, t.answerPoll, t.incarnation = false, nil, w.now.Milliseconds()
		t.free, t.highestToken, t.leaseUntil, t.lastCompletion, t.completions = t.capacity, 0, 0, 0, nil
		t.highestRuns, t.endedAt = map[string]int64{}, map[int64]time.Duration{}
		w.after(ms, t.expireLease)
		w.after(announced, func() { w.list(t) })
	})
}

// list has the owners of a target's group read its entry.
func (w *vmWorld) list(t *fakeTarget) {
	for _, v := range w.vms {
		for _, o := range v.owners() {
			o.listLater(t)
		}
	}
}

func (v *vm) owners() []*vmOwner {
	var owners []*vmOwner
	for _, o := range []*vmOwner{v.current, v.outgoing} {
		if o != nil && !o.ended {
			owners = append(owners, o)
		}
	}
	return owners
}

// queueOfJobs is the queue of all jobs of this world.
func (w *vmWorld) queueOfJobs() work.Queue {
	return work.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 10, Allowance: 500 * ms}
}
