package ownership

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
)

// shareUnit is the unit of shares of a core in messages.
const shareUnit = 1000

// reportedSuccession is what an owner reported to the VMs of its failure domain.
type reportedSuccession struct {
	owner uint64
	*linkpb.Succession
}

// ReceiveSuccession takes what an owner reports of the rank of the group's VMs; nil tells nothing.
func (k *Keeper) ReceiveSuccession(owner uint64, succession *linkpb.Succession) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if succession != nil && owner == k.claims[k.options.Group].Claim.GetLife() {
		k.succession = reportedSuccession{owner, succession}
	}
}

// SuccessionOf returns what an owner with a number of targets reports. It reports no targets where the limits of no
// successor suffice for them: all VMs would delay their claims, and none would come first for it.
func SuccessionOf(domain string, targets int, pingers []heartbeat.Pinger) *linkpb.Succession {
	needs := NeedsOf(targets)
	best, _ := ChooseSuccessor(domain, needs, pingers)
	if !needs.MetBy(best.Limits) {
		targets = 0
	}
	return &linkpb.Succession{CpuShare: best.CPUShare, Targets: int32(targets)}
}

// SetTargets tells the keeper of an owner's VM how many targets the owner has.
func (k *Keeper) SetTargets(targets int) {
	k.ReceiveSuccession(k.options.Self.Incarnation, &linkpb.Succession{Targets: int32(targets)})
}

// rank returns what is known of this VM's rank: from the heartbeats of the owner, without which the group would
// be claimed now, else from its claim. The caller holds the lock.
func (k *Keeper) rank() Rank {
	claim, known := k.claims[k.options.Group]
	switch {
	case !known:
		return Rank{Strongest: startCPUShare}
	case k.succession.Succession != nil && k.succession.owner == claim.Claim.GetLife():
		return Rank{Strongest: float64(k.succession.GetCpuShare()) / shareUnit, Needs: NeedsOf(int(k.succession.GetTargets()))}
	default:
		return Rank{Strongest: float64(claim.Claim.GetStrongestShare()) / shareUnit}
	}
}

// claimDelay returns how long this VM delays its claims now. The caller holds the lock.
func (k *Keeper) claimDelay() time.Duration {
	if k.options.CPUShare == nil {
		return 0
	}
	return ClaimDelay(k.options.Self.VM, k.options.CPUShare(), k.options.Self.Limits, k.rank())
}

// strongerKnown reports whether the group's claim names a clearly larger share of a core than this VM has. The caller
// holds the lock.
func (k *Keeper) strongerKnown() bool {
	strongest := k.claims[k.options.Group].Claim.GetStrongestShare()
	return k.options.CPUShare != nil && float64(strongest) >= idleFactor*shareUnit*k.options.CPUShare()
}

// strongestKnown returns the largest share of a core that a claim of this VM names: its own, or that of
// the VM which the previous owner would have chosen. A share named by an earlier claim isn't passed on, since the VM
// that had it may be gone for good.
func (k *Keeper) strongestKnown() int32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.options.Self.Limits.DeclaredCPUShare
	if k.succession.Succession != nil && k.succession.owner == k.claims[k.options.Group].Claim.GetLife() {
		return max(own, k.succession.GetCpuShare())
	}
	return own
}

// needs returns what the group's targets need, as far as it is known.
func (k *Keeper) needs() Needs {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rank().Needs
}

// recordHandover records a claim of this VM's group by which an owner handed over. The caller holds the lock.
func (k *Keeper) recordHandover(claim GroupClaim) {
	if former := claim.Claim.GetFormer(); former != nil && claim.Group == k.options.Group {
		k.history.record(k.seenAt[claim.Group], former.GetLife(), claim.Claim.GetVm(), former.GetLife() == k.options.Self.Incarnation)
	}
}

// Candidates returns the VMs to which an owner that isn't leaving may hand over now, of those that ping it.
func (k *Keeper) Candidates(now time.Duration, pingers []heartbeat.Pinger) []heartbeat.Pinger {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history.candidates(now, k.options.Self.Limits.DeclaredCPUShare, pingers)
}
