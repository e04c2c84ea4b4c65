package node

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/owner"
)

// idleOwner is an owner that is not running.
func idleOwner() *ownedGroup {
	o := owner.New(owner.Options{Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}}, nil, nil)
	return &ownedGroup{Owner: o, cancel: func() {}}
}

// A successor may learn of its claim before the previous owner does. It must not take targets that
// the previous owner still uses.
func TestReleaseReturnsNothingBeforeHandoverIsKnown(t *testing.T) {
	n := &Node{current: idleOwner()}
	released := peerCalls{n}.Release(t.Context(), "g")
	must.False(t, released.All)
	must.SliceEmpty(t, released.Targets)
}

// A VM without an owner of the group releases all targets.
func TestReleaseWithoutOwnerReleasesAll(t *testing.T) {
	must.True(t, peerCalls{&Node{}}.Release(t.Context(), "g").All)
}
