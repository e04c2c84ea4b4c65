package ownership

import (
	"github.com/burdockward/burdockward/heartbeat"
)

// Needs of a target for the process that owns it.
const (
	// socketsPerTarget covers a poll and a few simultaneous orders.
	socketsPerTarget = 4
	// linkMbpsPerTarget covers 33 starts a second, which two tasks of 60 ms at a time make, with 2 KB for the
	// order, the poll and the completion of each.
	linkMbpsPerTarget = 0.5
	// needMargin is by what factor the needs must exceed the limits of an owner for a handover on their account.
	// Targets that come and go then don't move the group back and forth.
	needMargin = 1.25
)

// Needs is what the targets of a group need from the limits of their owner.
type Needs struct {
	Sockets, LinkMbps float64
}

// NeedsOf returns the needs of a number of targets.
func NeedsOf(targets int) Needs {
	return Needs{Sockets: socketsPerTarget * float64(targets), LinkMbps: linkMbpsPerTarget * float64(targets)}
}

// MetBy reports whether the limits of a VM suffice. A limit that is not known does.
func (n Needs) MetBy(limits heartbeat.Limits) bool {
	return (limits.Sockets == 0 || float64(limits.Sockets) >= n.Sockets) &&
		(limits.LinkMbps == 0 || float64(limits.LinkMbps) >= n.LinkMbps)
}

// times returns the needs multiplied by a factor.
func (n Needs) times(factor float64) Needs {
	return Needs{Sockets: factor * n.Sockets, LinkMbps: factor * n.LinkMbps}
}

// ChooseSuccessor returns the VM that takes over from a leaving owner: of the VMs of the failure domain
// whose limits suffice, or of all if none do, the one with the largest share of a core. Among
// equals it is the one that started last, as the least likely one to leave next.
func ChooseSuccessor(domain string, needs Needs, pingers []heartbeat.Pinger) (heartbeat.Pinger, bool) {
	var best heartbeat.Pinger
	found := false
	for _, p := range pingers {
		if p.Leaving || p.FailureDomain != domain {
			continue
		}
		if !found || isBetterSuccessor(needs, p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// isBetterSuccessor reports whether ChooseSuccessor prefers a to b.
func isBetterSuccessor(needs Needs, a, b heartbeat.Pinger) bool {
	if suffices := needs.MetBy(a.Limits); suffices != needs.MetBy(b.Limits) {
		return suffices
	}
	if a.CPUShare != b.CPUShare {
		return a.CPUShare > b.CPUShare
	}
	if a.FirstHeard != b.FirstHeard {
		return a.FirstHeard > b.FirstHeard
	}
	return a.VM < b.VM
}

// declaredShare returns the declared share of a core of a VM, or its measured share if it reports no other.
func declaredShare(limits heartbeat.Limits, cpuShare int32) int32 {
	if limits.DeclaredCPUShare == 0 {
		return cpuShare
	}
	return limits.DeclaredCPUShare
}
