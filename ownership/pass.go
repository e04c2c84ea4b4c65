package ownership

import (
	"context"
	"errors"
	"strconv"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform"
)

// ErrNoSuccessor means that no other VM of the failure domain is known.
var ErrNoSuccessor = errors.New("no successor: no other VM of the failure domain sends heartbeats")

// ClaimSender sends a claim directly to the VM that it makes the owner of a group.
type ClaimSender interface {
	HandOverClaim(ctx context.Context, address string, claim GroupClaim) error
}

// HandOver makes another VM the owner of the group, which this VM owns: through the store or,
// while the store is away, by a direct message. Both are safe, because only this VM holds the
// token that the targets accept, and so only this VM can give up the claim.
func (k *Keeper) HandOver(ctx context.Context, pingers []heartbeat.Pinger, sender ClaimSender) error {
	to, ok := ChooseSuccessor(k.options.Self.FailureDomain, k.needs(), pingers)
	if !ok {
		return ErrNoSuccessor
	}
	k.mu.Lock()
	own, replaces := k.claims[k.options.Group], k.replacedRow()
	k.mu.Unlock()
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
	claim.Passed = own.Claim.GetPassed() + 1
	handedOver := GroupClaim{Group: k.options.Group, Claim: claim, Version: own.Version}
	// The claim is merged also if no answer came, because the successor may own the group.
	err = sender.HandOverClaim(context.WithoutCancel(ctx), to.ControlAddress, handedOver)
	k.noteClaimPassed(handedOver, err)
	k.Merge([]GroupClaim{handedOver})
	return err
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
