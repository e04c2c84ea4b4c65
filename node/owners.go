package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/entry"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/scheduler"
)

// ownedGroup is an owner in this process with the claim that it runs under.
type ownedGroup struct {
	*owner.Owner
	claim  ownership.GroupClaim
	cancel context.CancelFunc
	// targets is the number of the owner's targets.
	targets *atomic.Int64
}

// owner returns the owner, or nil for a nil group.
func (g *ownedGroup) owner() *owner.Owner {
	if g == nil {
		return nil
	}
	return g.Owner
}

// claimsChanged takes all claims after a change: it sets the owners to ping and starts or ends the
// owner in this process.
func (n *Node) claimsChanged(claims []ownership.GroupClaim) {
	owners := make([]heartbeat.Owner, 0, len(claims))
	for _, held := range claims {
		owners = append(owners, heartbeat.Owner{
			VM: held.Claim.GetVm(), Incarnation: held.Claim.GetLife(),
			HeartbeatAddress: held.Claim.GetHeartbeat(), ControlAddress: held.Claim.GetControl(), SameGroup: held.Group == n.group,
		})
		if held.Group == n.group {
			n.applyClaim(held)
		}
	}
	n.heartbeats.SetOwners(owners)
}

// applyClaim starts, updates or ends the owner in this process according to its group's claim.
func (n *Node) applyClaim(held ownership.GroupClaim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	mine := held.Claim.GetLife() == n.self.Incarnation
	switch {
	case mine && n.current == nil:
		n.current = n.startOwner(held)
	case mine && !held.Continues(n.current.claim):
		n.log.Warn("owning targets anew, as another VM may have owned them", "group", held.Group, "token", held.Version, "earlier_token", n.current.claim.Version)
		n.options.Count("claims_interrupted", held.Group)
		n.current.cancel()
		n.current = n.startOwner(held)
	case mine:
		n.current.claim = held
		n.current.RaiseToken(held.Version)
	case n.current != nil && held.IsNewerThan(n.current.claim):
		n.endOwner(held)
	}
}

// endOwner ends the owner in this process: at once, or, if the new claim names it as the
// predecessor, after the successor has taken over all targets.
func (n *Node) endOwner(held ownership.GroupClaim) {
	if held.Claim.GetFormer().GetLife() != n.self.Incarnation {
		n.current.cancel()
		n.current = nil
		return
	}
	if n.outgoing != nil {
		n.outgoing.cancel()
	}
	n.outgoing, n.current = n.current, nil
	n.outgoing.Leave(n.ctx)
}

// startOwner starts an owner with its router under a claim of this process.
func (n *Node) startOwner(held ownership.GroupClaim) *ownedGroup {
	ctx, cancel := context.WithCancel(n.ctx)
	options := owner.Options{
		Group: held.Group, FailureDomain: n.self.FailureDomain, FailureDomains: n.options.Settings.FailureDomains, Token: held.Version,
		Schedule: scheduler.Options{
			StopTimeout: n.options.Settings.MaxStopTime, MaxLease: n.options.Settings.MaxLease,
			ResendDelay: n.options.Settings.MinResendDelay, KeepaliveTimeout: heartbeat.KeepaliveTimeout,
			MaxJobBytes:      n.options.maxJobBytes(),
			PlaceByEnd:       n.options.PlaceByEnd,
			CorrectAdmission: n.options.CorrectAdmission, ReturnTimes: n.options.ReturnTimes,
		},
		Log: n.log, Count: n.options.Count, Observe: n.options.Observe, Gauge: n.options.Gauge, StoreAnswered: n.storeReadTimes.recorder(&n.storeReadTimes.registry),
		HandOverJobs: n.options.HandOverJobs,
		Delegate:     n.delegateOrHandOver, NeedsCapacity: n.heartbeats.RequestLoads, StoreClock: n.storeClock.nowIfKnown,
		OwnedDomains: n.ownedDomains,
		HasEnded:     n.newEndedCheck(), Cordons: n.cordons.board.View, ConfirmCordons: n.confirmCordons, Profiles: n.profilesInForce, ConfirmClaim: n.keeper.ConfirmOwnership,
		Jobs: jobstore.New(jobstore.Options{
			Group: held.Group, VM: n.self.VM, Incarnation: n.self.Incarnation, Retention: n.options.Settings.JobRetention,
			RowBytes: n.options.Settings.RowBytes, Log: n.log, Count: n.options.Count, Clock: n.storeClock.now,
		}, n.store),
	}
	if n.adviser != nil {
		options.Advise = func(ctx context.Context, step string, targets []string) (map[string]string, time.Duration, error) {
			tickets, err := n.adviser.Advise(ctx, step, targets)
			return tickets.ByTarget, tickets.Valid, err
		}
	}
	if predecessor := held.Claim.GetFormer(); predecessor != nil {
		options.Former = predecessor.GetLife()
		options.AskPredecessor = n.newPredecessorRequest(predecessor.GetControl(), held)
	}
	router := n.newRouter()
	targets := new(atomic.Int64)
	options.SetTargetCount = func(count int) {
		targets.Store(int64(count))
		router.SetTargets(count)
	}
	o := owner.New(options, router, n.store)
	n.goroutines.Go(func() error { router.Run(ctx); return nil })
	n.goroutines.Go(func() error { return o.Run(ctx) })
	return &ownedGroup{Owner: o, claim: held, cancel: cancel, targets: targets}
}

// ownedDomains returns the failure domains whose owner is alive.
func (n *Node) ownedDomains() []string {
	owned := []string{}
	for _, held := range n.keeper.Claims() {
		if n.isOwnerAlive(held) {
			owned = append(owned, held.Group)
		}
	}
	return owned
}

// isOwnerAlive reports whether the owner under a claim is another process that answers heartbeats.
func (n *Node) isOwnerAlive(held ownership.GroupClaim) bool {
	view, ok := n.heartbeats.View(held.Claim.GetLife())
	return ok && view.Timestamp > 0 && view.Alive.Err() == nil
}

// probeOwner checks in the background whether an owner's process has ended, and reports that to
// the claim keeper if so. Only one owner is checked at a time.
func (n *Node) probeOwner(suspect heartbeat.Owner) {
	if !n.probingOwner.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probingOwner.Store(false)
		if n.peerClient.RefusesConnection(n.ctx, suspect.ControlAddress) {
			n.keeper.OwnerDied(suspect.Incarnation)
		}
	}()
}

// currentOwner returns the owner that starts tasks in this process, or nil.
func (n *Node) currentOwner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.owner()
}

// endOutgoing ends an owner that has handed over all its targets.
func (n *Node) endOutgoing(o *owner.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outgoing.owner() == o {
		n.outgoing.cancel()
		n.outgoing = nil
	}
}

// predecessorOf returns the owner in this process that hands over to the owner with the given claim,
// or nil. It is pending while this VM hasn't learned of that claim: its owner still uses the targets.
// A claim that doesn't say how often it was handed over may be that of the current owner's successor.
func (n *Node) predecessorOf(successor ownership.GroupClaim) (predecessor *owner.Owner, pending bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted := successor.Claim != nil
	switch {
	case n.current != nil && (!counted || successor.IsNewerThan(n.current.claim)):
		return nil, true
	case n.outgoing == nil:
		return nil, false
	case counted && n.outgoing.claim.IsNewerThan(successor):
		// The owner that this claim succeeds ended when the present outgoing one took its place.
		return nil, false
	case counted && !successor.IsNewerThan(n.outgoing.claim):
		return nil, true
	}
	return n.outgoing.Owner, false
}

// outgoingOwner returns the owner in this process that hands over, or nil.
func (n *Node) outgoingOwner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outgoing.owner()
}

// localOwner returns the current owner of a group if it runs in this process.
func (n *Node) localOwner(group string) (entry.Local, bool) {
	o := n.currentOwner()
	return o, o != nil && group == n.group
}
