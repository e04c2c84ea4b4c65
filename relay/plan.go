package relay

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"
)

// VM is a VM that can relay orders.
type VM struct {
	Name string
	// Incarnation distinguishes the processes of a VM.
	Incarnation uint64
	// Address accepts connections of owners.
	Address string
	// CPU is the VM's present share of a core.
	CPU float64
}

// Budget describes the resources of the owner's own process.
type Budget struct {
	// CPU is the VM's present share of a core.
	CPU float64
	// Used is what the process really uses of it, on average; 0 while that is unknown.
	Used float64
	// Sockets and MemoryMB are the limits of the process.
	Sockets  int
	MemoryMB int64
}

// Load is the work of sending orders to the targets of an owner.
type Load struct {
	Targets int
	// Calls is the number of orders and polls sent per second.
	Calls float64
	// OwnCalls is the number of those that the owner's process sends itself.
	OwnCalls float64
}

// Costs of a target for the process that sends its orders, and the limits for them.
const (
	// callCost is the processor time of an order or a poll with its answer, over an open
	// connection.
	callCost = 80 * time.Microsecond
	// firstPollCost is the processor time of a first poll, which opens the connection.
	firstPollCost = 300 * time.Microsecond
	// takeoverPollTime is the time within which a new owner should have polled all its targets.
	takeoverPollTime = 100 * time.Millisecond
	// steadyCallShare is the share of a processor that calls may use in steady operation.
	steadyCallShare = 0.3
	// usableShare is the share of a processor up to which a process may use it: beyond that, work waits more
	// than four times as long as it takes.
	usableShare = 0.8
	// leastCallShare is the share of a processor that calls may always use: relays for fewer calls hardly relieve
	// a process that is busy with other work.
	leastCallShare = 0.05
	// socketsPerTarget covers a poll and a few simultaneous orders; targetSocketShare is the
	// share of a process's sockets that may be used for targets.
	socketsPerTarget  = 4
	targetSocketShare = 1.0 / 3
	// megabytesPerTarget is the memory of a target's connections; targetMemoryShare is the share
	// of a VM's memory that may be used for targets.
	megabytesPerTarget = 0.1
	targetMemoryShare  = 0.25
)

// coresPerTarget returns the processor capacity that one target needs, in cores: enough for the
// polls after a takeover and for the steady calls.
func (l Load) coresPerTarget() float64 {
	takeover := firstPollCost.Seconds() / takeoverPollTime.Seconds()
	if l.Targets == 0 {
		return takeover
	}
	return max(takeover, l.Calls/float64(l.Targets)*callCost.Seconds()/steadyCallShare)
}

// maxTargets returns how many targets a process can send orders to, limited by processor, sockets
// or memory, whichever is exhausted first.
func (b Budget) maxTargets(l Load) float64 {
	limit := min(b.CPU/l.coresPerTarget(), targetSocketShare*float64(b.Sockets)/socketsPerTarget, targetMemoryShare*float64(b.MemoryMB)/megabytesPerTarget)
	if l.Calls > 0 && l.Targets > 0 {
		limit = min(limit, b.coresForCalls(l)/(l.Calls/float64(l.Targets)*callCost.Seconds()))
	}
	return limit
}

// coresForCalls returns the processor capacity that is left for calls to targets, in cores: what all else that the
// process does leaves, such as the requests of callers and the calls of other VMs.
func (b Budget) coresForCalls(l Load) float64 {
	others := max(b.Used-l.OwnCalls*callCost.Seconds(), 0)
	return max(usableShare*b.CPU-others, leastCallShare*b.CPU)
}

// Parameters of plans.
const (
	// relayShare is the share of a relay's capacity that a plan uses: a relay has callers of its
	// own.
	relayShare = 0.5
	// relayReserve is the ratio of the relays' planned capacity to what they have to relay.
	relayReserve = 1.25
	// replanThreshold is the relative change of a capacity below which the plan stays as it is.
	replanThreshold = 0.3
	// releaseShare is the share of the owner's own capacity: once its targets stay below it for
	// releaseDelay, the relays are released.
	releaseShare = 0.7
	releaseDelay = 5 * time.Second
)

// Plan says which process sends the orders to the targets of an owner. With the zero value the
// owner sends all orders itself.
type Plan struct {
	// OwnTargets is for how many targets the owner sends the orders itself, while there are
	// relays.
	OwnTargets float64
	Relays     []VM
	// unneededSince is when the owner first could do without relays; 0 while it needs them.
	unneededSince time.Duration
}

// Next returns the plan that follows p. Relays that are still candidates keep their targets.
func (p Plan) Next(now time.Duration, own Budget, load Load, candidates []VM) Plan {
	capacity := own.maxTargets(load)
	need := float64(load.Targets) - capacity
	if need <= 0 && len(p.Relays) > 0 && float64(load.Targets) > releaseShare*capacity {
		need = 1
	}
	if need <= 0 {
		if len(p.Relays) == 0 {
			return Plan{}
		}
		if p.unneededSince == 0 {
			p.unneededSince = now
		}
		if now-p.unneededSince > releaseDelay {
			return Plan{}
		}
	} else {
		p.unneededSince = 0
	}
	relays, relayed := p.remainingRelays(load, candidates)
	for _, vm := range byCPU(candidates) {
		if relayed >= relayReserve*need {
			break
		}
		if !slices.ContainsFunc(relays, func(r VM) bool { return r.Incarnation == vm.Incarnation }) {
			relays = append(relays, vm)
			relayed += relayShare * vm.CPU / load.coresPerTarget()
		}
	}
	next := Plan{OwnTargets: p.OwnTargets, Relays: relays, unneededSince: p.unneededSince}
	if own := max(min(capacity, float64(load.Targets)), 1); p.OwnTargets == 0 || math.Abs(own-p.OwnTargets) > replanThreshold*p.OwnTargets {
		next.OwnTargets = own
	}
	return next
}

// remainingRelays returns the relays that are still candidates and the number of targets that they
// can relay together.
func (p Plan) remainingRelays(load Load, candidates []VM) (relays []VM, relayed float64) {
	for _, relay := range p.Relays {
		for _, vm := range candidates {
			if vm.Incarnation != relay.Incarnation {
				continue
			}
			if math.Abs(vm.CPU-relay.CPU) <= replanThreshold*relay.CPU {
				vm.CPU = relay.CPU
			}
			relays = append(relays, vm)
			relayed += relayShare * vm.CPU / load.coresPerTarget()
		}
	}
	return relays, relayed
}

// byCPU returns the VMs by descending share of a core.
func byCPU(vms []VM) []VM {
	return slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Name, b.Name))
	})
}

// SameAssignment reports whether two plans assign each target to the same VM.
func (p Plan) SameAssignment(other Plan) bool {
	return p.OwnTargets == other.OwnTargets && slices.Equal(p.Relays, other.Relays)
}

var hashSeed = maphash.MakeSeed()

// hashDraw returns a number from 0 to 1 that depends only on a target and a VM.
func hashDraw(target, vm string) float64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	_, _ = h.WriteString(target)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(vm)
	return (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
}

// RelayIndex returns the index of the relay that sends a target's orders; -1 if the owner does.
// It uses weighted rendezvous hashing: each process gets a share of the targets according to its
// weight, and only the targets of a relay that leaves are assigned anew.
func (p Plan) RelayIndex(target string, coresPerTarget float64) int {
	if len(p.Relays) == 0 {
		return -1
	}
	best, least := -1, -math.Log(hashDraw(target, ""))/p.OwnTargets
	for i, relay := range p.Relays {
		weight := relayShare * relay.CPU / coresPerTarget
		if score := -math.Log(hashDraw(target, relay.Name)) / weight; score < least {
			best, least = i, score
		}
	}
	return best
}
