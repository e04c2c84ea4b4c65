package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform"
)

// A VM that has lost the group to another owner neither replaces that owner's claim nor passes on its token.
func TestOnlyTheOwnerHandsOver(t *testing.T) {
	for _, away := range []error{nil, platform.ErrStoreUnavailable.Errorf("away")} {
		store := &fakeStore{version: 6, err: away}
		k := newKeeper(store, func([]GroupClaim) {})
		k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
		k.Merge([]GroupClaim{{Group: "g", Version: 6, Claim: &linkpb.Claim{Vm: "x", Life: 3}}})
		sender := &fakeClaimSender{}
		must.ErrorIs(t, k.HandOver(t.Context(), successor, sender), ErrNotOwner)
		must.Eq(t, 0, store.puts)
		must.Eq(t, "", sender.to)
	}
}

// A message that passed the claim on and wasn't answered is repeated to the same VM alone, with the same claim: another
// VM would hold the same token.
func TestUnansweredHandoverIsRepeatedToTheSameVM(t *testing.T) {
	k := newKeeper(&fakeStore{version: 5, err: platform.ErrStoreUnavailable.Errorf("away")}, func([]GroupClaim) {})
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	must.Error(t, k.HandOver(t.Context(), successor, &unansweringSender{}))
	better := heartbeat.Pinger{VM: "x", Incarnation: 3, FailureDomain: "g", ControlAddress: "x:1", CPUShare: 800}
	sender := &fakeClaimSender{}
	must.ErrorIs(t, k.HandOver(t.Context(), []heartbeat.Pinger{better}, sender), ErrNoSuccessor)
	must.Eq(t, "", sender.to)
	must.NoError(t, k.HandOver(t.Context(), append([]heartbeat.Pinger{better}, successor...), sender))
	must.Eq(t, "w:1", sender.to)
	must.Eq(t, 1, sender.claim.Claim.GetPassed())
}

// Where the limits of no VM suffice for the targets, takeovers are as fast as without limits.
func TestLimitsThatNoVMMeetsDelayNoClaim(t *testing.T) {
	few, enough := heartbeat.Limits{Sockets: 300}, heartbeat.Limits{Sockets: 3900}
	pingers := []heartbeat.Pinger{{VM: "a", FailureDomain: "g", CPUShare: 800, Limits: few}, {VM: "b", FailureDomain: "g", CPUShare: 800, Limits: few}}
	delay := func() time.Duration {
		reported := SuccessionOf("g", 100, pingers)
		return ClaimDelay("a", 0.8, few, Rank{Strongest: float64(reported.GetCpuShare()) / shareUnit, Needs: NeedsOf(int(reported.GetTargets()))})
	}
	must.Eq(t, ClaimDelay("a", 0.8, heartbeat.Limits{}, Rank{Strongest: 0.8}), delay())
	pingers[1].Limits = enough
	must.LessEq(t, delay(), fullDelay)
}
