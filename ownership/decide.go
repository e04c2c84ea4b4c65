// Package ownership decides which VM owns a group of targets.
//
// Its inputs are the claims in the platform's store, the heartbeats of owners, and the processor share
// and the limits of this VM and those that ping it. Its outputs are the claims that it writes for this VM or, when this VM leaves,
// for a successor.
//
// A claim is a row that is written only if it hasn't changed since it was read. The version of
// the written row is the owner's fencing token, so the token rises with each owner. While the
// store is away, an owner can hand its claim over directly. The claim then keeps its version,
// and the number of such handovers orders the claims; the successor writes it to the store later.
package ownership

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
)

// GroupClaim is the claim of a group. Its version is the version of the row in the store and the
// fencing token, also after its owner handed it over while the store was away.
type GroupClaim struct {
	Group   string
	Claim   *linkpb.Claim
	Version int64
}

// IsNewerThan reports whether the claim replaces another claim of the same group.
func (c GroupClaim) IsNewerThan(other GroupClaim) bool {
	if c.Version != other.Version {
		return c.Version > other.Version
	}
	return c.Claim.GetPassed() > other.Claim.GetPassed()
}

// goneRow is what a claim replaces that is written where the row of an earlier one was removed.
const goneRow = -1

// Continues reports whether the VM that held an earlier claim of the group has held it ever since. If
// not, another owner may have used the targets in between, so that what the VM knows of them is old.
func (c GroupClaim) Continues(earlier GroupClaim) bool {
	former, before := c.Claim.GetFormer(), earlier.Claim.GetFormer()
	switch {
	case c.Claim.GetLife() != earlier.Claim.GetLife():
		return false
	case c.Version == earlier.Version:
		return c.Claim.GetPassed() == earlier.Claim.GetPassed()
	case c.Claim.GetReplaced() != 0:
		return c.Claim.GetReplaced() == earlier.Version
	default:
		// Written by an older build: by the VM itself, or by the owner that had also sent the claim.
		return former == nil || before != nil && former.GetLife() == before.GetLife()
	}
}

// ToWire returns the claim as a message.
func (c GroupClaim) ToWire() *linkpb.Owned {
	return &linkpb.Owned{Group: c.Group, Claim: c.Claim, Version: c.Version}
}

// FromWire returns the claim in a message.
func FromWire(wire *linkpb.Owned) GroupClaim {
	return GroupClaim{Group: wire.GetGroup(), Claim: wire.GetClaim(), Version: wire.GetVersion()}
}

// Observation is what a VM knows when it decides whether to claim a group.
type Observation struct {
	// Current is the newest known claim; nil while nobody has claimed the group.
	Current *GroupClaim
	// VM and Incarnation are those of this VM.
	VM          string
	Incarnation uint64
	// OwnerSilent is the time since the owner's last heartbeat.
	OwnerSilent time.Duration
	// OwnerDead means that the owner's process has certainly ended.
	OwnerDead bool
	// ClaimAge is how long this VM has known the claim in its present version or, without
	// a claim, how long this VM has run.
	ClaimAge time.Duration
	// StrongerKnown means that the group has a clearly stronger VM by the claim.
	StrongerKnown bool
	// ClaimDelay is how long this VM waits beyond the usual time, so that the strongest VM
	// claims first and the others see its claim.
	ClaimDelay time.Duration
}

// ShouldClaim reports whether this VM should write a claim of the group now.
func ShouldClaim(o Observation) bool {
	switch {
	case o.Current == nil:
		return o.ClaimAge >= o.ClaimDelay
	case o.Current.Claim.GetLife() == o.Incarnation:
		// A claim that was handed over directly isn't in the store yet.
		return o.Current.Claim.GetPassed() > 0
	case o.Current.Claim.GetVm() == o.VM && !o.StrongerKnown:
		// The owner is an earlier incarnation of this VM, which has ended.
		return true
	case o.OwnerDead:
		return o.ClaimAge >= o.ClaimDelay
	default:
		return min(o.OwnerSilent, o.ClaimAge) >= heartbeat.SilenceTimeout+o.ClaimDelay
	}
}
