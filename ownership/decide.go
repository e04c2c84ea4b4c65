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

// Held is a claim as it lies in the store. Its version is the fencing token.
type Held struct {
	Group   string
	Claim   *linkpb.Claim
	Version int64
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
		return false
	case b.Held.Claim.GetVm() == b.VM:
		// An earlier life of this VM, which has ended.
		return true
	default:
		return min(b.Silent, b.Waited) >= heartbeat.Silence+b.Patience
	}
}

// Figures of the patience.
const (
	// weakPatience is the patience of a VM without processor against one with a
	// whole core.
	weakPatience = 120 * time.Millisecond
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
	return draw + time.Duration((1-min(cpuShare, 1))*float64(weakPatience))
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

func better(a, b heartbeat.Pinger) bool {
	if a.CPUShare != b.CPUShare {
		return a.CPUShare > b.CPUShare
	}
	if a.First != b.First {
		return a.First > b.First
	}
	return a.VM < b.VM
}
