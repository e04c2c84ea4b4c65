package ownership

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform"
)

// ErrNoSuccessor means that no other VM of the failure domain is known.
var ErrNoSuccessor = errors.New("no successor: no other VM of the failure domain sends heartbeats")

// ErrNotOwner means that another VM holds the newest claim of the group.
var ErrNotOwner = errors.New("not handed over: another VM has claimed the group, which needs no handover from this one")

// ClaimSender sends a claim directly to the VM that it makes the owner of a group.
type ClaimSender interface {
	HandOverClaim(ctx context.Context, address string, claim GroupClaim) error
}

// HandOver makes another VM the owner of the group, which this VM owns: through the store or,
// while the store is away, by a direct message. Both are safe, because only this VM holds the
// token that the targets accept, and so only this VM can give up the claim.
func (k *Keeper) HandOver(ctx context.Context, pingers []heartbeat.Pinger, sender ClaimSender) error {
	k.mu.Lock()
	own, replaces := k.claims[k.options.Group], k.replacedRow()
	k.mu.Unlock()
	passed := own.Claim.GetPassed() + 1
	repeated := k.passedOn(own)
	if repeated {
		pingers, passed = only(pingers, own.Claim.GetLife()), own.Claim.GetPassed()
	}
	to, ok := ChooseSuccessor(k.options.Self.FailureDomain, k.needs(), pingers)
	switch {
	case !ok:
		return ErrNoSuccessor
	case own.Claim.GetLife() != k.options.Self.Incarnation && !repeated:
		return ErrNotOwner
	}
	claim := &linkpb.Claim{
		Vm: to.VM, Life: to.Incarnation, Control: to.ControlAddress, Heartbeat: to.HeartbeatAddress,
		Former:         &linkpb.Former{Life: k.options.Self.Incarnation, Control: k.options.Self.ControlAddress},
		StrongestShare: max(declaredShare(to.Limits, to.CPUShare), k.options.Self.Limits.DeclaredCPUShare),
	}
	ctx, cancel := context.WithTimeout(ctx, handOverWriteTimeout)
	defer cancel()
	err := k.writeClaim(ctx, claim, replaces)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return err
	}
	k.options.Log.Warn("passing the claim on without the store", "group", k.options.Group, "to", to.VM, "error", err)
	claim.Passed = passed
	handedOver := GroupClaim{Group: k.options.Group, Claim: claim, Version: own.Version}
	// The claim is merged also if no answer came, because the successor may own the group.
	err = sender.HandOverClaim(context.WithoutCancel(ctx), to.ControlAddress, handedOver)
	k.noteClaimPassed(handedOver, err)
	k.Merge([]GroupClaim{handedOver})
	return err
}

// passedOn reports whether this VM passed a claim on by message. If no answer came, it may do so again, but only to
// the same VM, which may hold the token by now.
func (k *Keeper) passedOn(claim GroupClaim) bool {
	return claim.Claim.GetPassed() > 0 && claim.Claim.GetFormer().GetLife() == k.options.Self.Incarnation
}

// only returns the VM with an incarnation, if it is among the given ones.
func only(pingers []heartbeat.Pinger, incarnation uint64) []heartbeat.Pinger {
	return slices.DeleteFunc(slices.Clone(pingers), func(p heartbeat.Pinger) bool { return p.Incarnation != incarnation })
}

// noteClaimPassed counts a claim that was handed over by message, and logs it if no answer came:
// whether the other VM owns the group is not known then.
func (k *Keeper) noteClaimPassed(claim GroupClaim, err error) {
	result := "answered"
	if err != nil {
		result = "unanswered"
		k.options.Log.Warn("claim passed on without an answer", "group", claim.Group, "owner", claim.Claim.GetVm(), "token", claim.Version,
			"incarnation", strconv.FormatUint(claim.Claim.GetLife(), 16), "passed", claim.Claim.GetPassed(), "error", err)
	}
	k.options.Count("claims_passed", result)
}
