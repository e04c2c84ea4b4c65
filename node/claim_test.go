package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
)

// An owner that missed a handover to another VM and back is replaced: what it knows of the targets is
// old. A token that rises while it holds the claim only raises its own.
func TestOwnerThatMissedAHandoverIsReplaced(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	ignore := func(string, string) {}
	log := slog.New(slog.DiscardHandler)
	n := &Node{
		self: heartbeat.Self{Incarnation: 7}, log: log, ctx: ended, goroutines: &errgroup.Group{}, keeper: ownership.New(ownership.Options{}, nil, nil),
		options: Options{Count: ignore, Gauge: func(string, float64) {}, Observe: func(string, time.Duration) {}},
	}
	claim := func(version, replaced int64) ownership.GroupClaim {
		return ownership.GroupClaim{Group: "d", Version: version, Claim: &linkpb.Claim{Vm: "v", Life: 7, Replaced: replaced, Former: &linkpb.Former{Life: 8}}}
	}
	first := owner.New(owner.Options{Log: log, Count: ignore}, nil, nil)
	cancelled := 0
	n.current = &ownedGroup{Owner: first, claim: claim(5, 3), cancel: func() { cancelled++ }}
	n.applyClaim(claim(6, 5))
	must.Eq(t, 0, cancelled)
	must.True(t, n.currentOwner() == first)
	n.applyClaim(claim(9, 8))
	must.Eq(t, 1, cancelled)
	must.False(t, n.currentOwner() == first)
	must.NoError(t, n.goroutines.Wait())
}
