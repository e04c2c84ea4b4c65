package node

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
)

// handedOver returns a claim that was handed over by message that many times under one token.
func handedOver(times int32) ownership.GroupClaim {
	return ownership.GroupClaim{Group: "g", Version: 5, Claim: &linkpb.Claim{Passed: times}}
}

// idleOwner is an owner that is not running.
func idleOwner() *ownedGroup {
	o := owner.New(owner.Options{Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}}, nil, nil)
	return &ownedGroup{Owner: o, cancel: func() {}}
}

// A successor may learn of its claim before the previous owner does. It must not take targets that
// the previous owner still uses.
func TestReleaseReturnsNothingBeforeHandoverIsKnown(t *testing.T) {
	n := &Node{current: idleOwner()}
	released := peerCalls{n}.Release(t.Context(), handedOver(1))
	must.False(t, released.All)
	must.SliceEmpty(t, released.Targets)
}

// A VM without an owner of the group releases all targets.
func TestReleaseWithoutOwnerReleasesAll(t *testing.T) {
	must.True(t, peerCalls{&Node{}}.Release(t.Context(), handedOver(1)).All)
}

// A group that was handed over and back has two owners in this process. The owner between them gets
// the targets of the first one, and one that succeeds the second nothing before that is known here.
func TestReleaseOfGroupHandedBackIsThatOfFirstOwner(t *testing.T) {
	first, second := idleOwner(), idleOwner()
	first.claim, second.claim = handedOver(0), handedOver(2)
	n := &Node{outgoing: first, current: second}
	for times, test := range map[int32]struct{ first, pending bool }{0: {false, true}, 1: {true, false}, 2: {true, false}, 3: {false, true}} {
		predecessor, pending := n.predecessorOf(handedOver(times))
		must.Eq(t, test.first, predecessor == first.Owner, must.Sprint(times))
		must.Eq(t, test.pending, pending, must.Sprint(times))
	}
}

// A successor of an older build doesn't say how often its claim was handed over by message. It gets
// nothing while this VM has a current owner.
func TestOldSuccessorGetsNothingBeforeHandoverIsKnown(t *testing.T) {
	current := idleOwner()
	current.claim = handedOver(0)
	released := peerCalls{&Node{current: current}}.Release(t.Context(), ownership.GroupClaim{Group: "g", Version: 5})
	must.False(t, released.All)
	must.SliceEmpty(t, released.Targets)
}

// An owner whose predecessor has ended, because another one of the same process took its place, isn't
// kept waiting for it.
func TestSuccessorOfEndedOwnerIsNotKeptWaiting(t *testing.T) {
	second := idleOwner()
	second.claim = handedOver(2)
	predecessor, pending := (&Node{outgoing: second}).predecessorOf(handedOver(1))
	must.Nil(t, predecessor)
	must.False(t, pending)
}
