// Package ownership agrees, through the platform's store, on which VM owns a group
// of targets. A claim is a row that is written under the condition that it hasn't
// changed; the version of the written row is the owner's fencing token, which
// therefore rises with each owner.
package ownership

import (
	"hash/fnv"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
)

// Held is a claim. Its version, that of the row in the store, is the fencing token,
// also after it was passed on by its owner while the store was away.
type Held struct {
	Group   string
	Claim   *linkpb.Claim
	Version int64
}

// Newer reports whether a claim goes before another of the same group.
func (h Held) Newer(than Held) bool {
	if h.Version != than.Version {
		return h.Version > than.Version
	}
	return h.Claim.GetPassed() > than.Claim.GetPassed()
}

// Wire is the message of a claim.
func (h Held) Wire() *linkpb.Owned {
	return &linkpb.Owned{Group: h.Group, Claim: h.Claim, Version: h.Version}
}

// FromWire is the claim of a message.
func FromWire(wire *linkpb.Owned) Held {
	return Held{Group: wire.GetGroup(), Claim: wire.GetClaim(), Version: wire.GetVersion()}
}

// Belief is what a decision about a group rests on.
type Belief struct {
	// Held is the claim in the store; nil while nobody has claimed the group.
	Held *Held
	// VM and Life are this VM's.
	VM   string
	Life uint64
	// Silent is how long the owner has not been heard.
	Silent time.Duration
	// Dead says that the owner's process has certainly ended.
	Dead bool
	// Waited is how long the claim has been known as it is.
	Waited time.Duration
	// Patience is what this VM waits beyond the usual, so that the strongest VM
	// claims first and the others see it.
	Patience time.Duration
}

// Take decides whether to claim a group.
func Take(b Belief) bool {
	switch {
	case b.Held == nil:
		return b.Waited >= b.Patience
	case b.Held.Claim.GetLife() == b.Life:
		// A claim that was passed on isn't in the store yet.
		return b.Held.Claim.GetPassed() > 0
	case b.Held.Claim.GetVm() == b.VM:
		// An earlier life of this VM, which has ended.
		return true
	case b.Dead:
		return b.Waited >= b.Patience
	default:
		return min(b.Silent, b.Waited) >= heartbeat.Silence+b.Patience
	}
}

// Figures of the patience.
const (
	// weakShare of a core is too little to own a grown failure domain, whose owner
	// was seen to use up to a fifth of a core in the mean.
	weakShare = 0.3
	// weakPatience lets any stronger VM claim first.
	weakPatience = 200 * time.Millisecond
	// drawSteps and drawStep keep VMs of equal strength apart by more than a
	// write to the store takes.
	drawSteps = 8
	drawStep  = 15 * time.Millisecond
)

// PatienceOf derives a VM's patience from its share of a core and its name.
func PatienceOf(vm string, cpuShare float64) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	draw := time.Duration(hash.Sum32()%drawSteps) * drawStep
	if cpuShare < weakShare {
		return weakPatience + draw
	}
	return draw
}

// Successor chooses the VM that takes over from a leaving owner: the strongest of
// the failure domain, among equals the one that started last, since it is the
// least likely to be the next to leave.
func Successor(domain string, pingers []heartbeat.Pinger) (heartbeat.Pinger, bool) {
	var best heartbeat.Pinger
	found := false
	for _, p := range pingers {
		if p.Leaving || p.FailureDomain != domain {
			continue
		}
		if !found || better(p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// muchStronger times an owner's share of a core is what another VM must have for the
// owner to hand over to it unasked.
const muchStronger = 2

// settledTime is how long a VM has to be heard before it is given a group unasked: one
// that has just started has read the claims and the configuration by then.
const settledTime = 250 * time.Millisecond

// Stronger reports whether a VM should own a group instead of its present owner.
func Stronger(domain string, own int32, pingers []heartbeat.Pinger, now time.Duration) bool {
	best, ok := Successor(domain, pingers)
	return ok && best.CPUShare >= muchStronger*own && now-best.First >= settledTime
}

func better(a, b heartbeat.Pinger) bool {
	if a.CPUShare != b.CPUShare {
		return a.CPUShare > b.CPUShare
	}
	if a.First != b.First {
		return a.First > b.First
	}
	return a.VM < b.VM
}
