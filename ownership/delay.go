package ownership

import (
	"hash/fnv"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
)

// Parameters of the claim delay.
const (
	// fullDelay is the delay of a VM without any processor time; that of others falls in proportion to their share of
	// the strongest VM's. VMs with 0.8, 0.48 and 0.192 of a core are then further apart than equally strong ones.
	fullDelay = 320 * time.Millisecond
	// startCPUShare is the share of a core that is expected of the strongest VM as long as the group
	// was never claimed, because a VM then can't know the others.
	startCPUShare = 0.8
	// weakCPUShare is the share of a core below which a VM is too weak to own a fully grown
	// failure domain, whose owner uses up to a fifth of a core on average. It decides alone
	// where an owner of an older build tells nothing of the other VMs.
	weakCPUShare = 0.3
	// weakClaimDelay lets any stronger VM claim first.
	weakClaimDelay = 200 * time.Millisecond
	// claimDelaySteps and claimDelayStep separate the claims of equally strong VMs by more
	// than a write to the store takes.
	claimDelaySteps = 8
	claimDelayStep  = 15 * time.Millisecond
)

// Rank is what a VM knows of its rank among the VMs of its group when it may claim.
type Rank struct {
	// Strongest is the share of a core of the strongest VM that may claim; 0 where it is not known.
	Strongest float64
	// Needs are those of the group's targets, as far as they are known.
	Needs Needs
}

// ClaimDelay returns how long a VM delays its claims, derived from its share of a core, its limits and its
// name. The delay of the strongest VM depends on its name alone.
func ClaimDelay(vm string, cpuShare float64, limits heartbeat.Limits, rank Rank) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(vm))
	delay := time.Duration(hash.Sum32()%claimDelaySteps) * claimDelayStep
	if !rank.Needs.MetBy(limits) {
		delay += fullDelay
	}
	switch {
	case rank.Strongest > cpuShare:
		return delay + time.Duration((1-cpuShare/rank.Strongest)*float64(fullDelay))
	case rank.Strongest == 0 && cpuShare < weakCPUShare:
		return delay + weakClaimDelay
	}
	return delay
}
