package ownership

import (
	"testing"

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
