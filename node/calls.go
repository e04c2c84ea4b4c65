package node

import (
	"context"
	"net/http"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// runForPeer runs a job for another VM. It refuses orders whose keepalive has expired already, and
// starts nothing for a VM that has closed the connection: it may have given the job up before the
// order was read.
func (n *Node) runForPeer(ctx context.Context, order link.Order) work.Outcome {
	ctx, cancel := platform.WithoutGoneCaller(ctx)
	defer cancel()
	if order.Previous != (link.PreviousRequest{}) {
		return n.rejoin(ctx, order)
	}
	o, until := n.currentOwner(), keepaliveEnd(order)
	if o == nil || bootclock.Now() >= until {
		return work.Outcome{Result: work.Moved, Reason: "not the owner, or the order is stale"}
	}
	o.RecordKeepalive(order.Entry, until, nil)
	return o.Submit(ctx, n.submissionFromOrder(order))
}

// keepaliveEnd returns when an order's own keepalive expires, on this VM's boot clock: the owner
// then gives the job up unless a later keepalive of the entry VM has arrived.
func keepaliveEnd(order link.Order) time.Duration {
	return time.Duration(order.Timestamp) + heartbeat.KeepaliveTimeout
}

// submissionFromOrder converts an order of another VM to a submission.
func (n *Node) submissionFromOrder(order link.Order) scheduler.Submission {
	origin := order.Origin
	if origin == heartbeat.EntryID(n.self.VM, n.self.Incarnation) {
		origin = ""
	}
	return scheduler.Submission{
		Entry: order.Entry, Origin: origin, Handed: order.Handed, Request: order.Request, Expires: keepaliveEnd(order), Job: order.Job, Queue: order.Queue, Age: order.Age, Wait: order.Wait, Part: order.Part,
	}
}

// rejoin answers a repeated request for a job, whose first connection broke. It asks the outgoing
// owner first, then the current one. A job that never reached this incarnation is started now. The
// outcome is unknown where an owner that has ended since may have started the job.
func (n *Node) rejoin(ctx context.Context, order link.Order) work.Outcome {
	outcome := work.Outcome{Result: work.Unknown, Reason: "the connection broke, and who owned the targets then has ended"}
	presence := scheduler.Forgotten
	if o := n.outgoingOwner(); o != nil {
		outcome, presence = o.Rejoin(ctx, n.submissionFromOrder(order), order.Previous.Ago, false)
	}
	if o := n.currentOwner(); o != nil && presence != scheduler.Present && order.Previous.Incarnation == n.self.Incarnation {
		until := keepaliveEnd(order)
		o.RecordKeepalive(order.Entry, until, nil)
		outcome, presence = o.Rejoin(ctx, n.submissionFromOrder(order), order.Previous.Ago, bootclock.Now() < until)
	}
	n.options.Count("rejoins", presence.String())
	n.log.Info("job asked for again", "job", order.Job.ID, "entry", order.Entry, "given", order.Previous.Ago, "found", presence.String(), "part", order.Part)
	return outcome
}

// localOwners lists the owners in this process: the current one and the one that hands over.
func (n *Node) localOwners() []*owner.Owner {
	var owners []*owner.Owner
	for _, o := range []*owner.Owner{n.currentOwner(), n.outgoingOwner()} {
		if o != nil {
			owners = append(owners, o)
		}
	}
	return owners
}

// askOwners returns the state of a durable job from the first owner in this process that knows it.
func (n *Node) askOwners(query func(*owner.Owner) (work.JobState, bool)) work.JobState {
	for _, o := range n.localOwners() {
		if state, known := query(o); known {
			return state
		}
	}
	return work.StateAbsent
}

// handler returns the HTTP handler for the calls of other VMs.
func (n *Node) handler() http.Handler { return link.NewServer(peerCalls{n}) }

// peerCalls implements link.Handler.
type peerCalls struct{ node *Node }

// Run implements link.Handler.
func (p peerCalls) Run(ctx context.Context, order link.Order) work.Outcome {
	return p.node.runForPeer(ctx, order)
}

// Release implements link.Handler. It ends the outgoing owner once that has released all targets.
func (p peerCalls) Release(ctx context.Context, successor ownership.GroupClaim) owner.Released {
	o, pending := p.node.predecessorOf(successor)
	switch {
	case pending:
		return owner.Released{}
	case o == nil:
		return owner.Released{All: true}
	}
	released := o.Release(ctx, takesJobsAs(successor))
	if released.Handover != nil {
		released.Handover.From = heartbeat.EntryID(p.node.self.VM, p.node.self.Incarnation)
	}
	if released.All {
		p.node.endOutgoingWhenAnswered(o)
	}
	return released
}

// HandOverClaim implements link.Handler.
func (p peerCalls) HandOverClaim(held ownership.GroupClaim) {
	p.node.options.Count("claims_passed", "received")
	p.node.log.Info("claim received by message", "group", held.Group, "owner", held.Claim.GetVm(), "token", held.Version,
		"incarnation", ownerName(held.Claim.GetLife()), "passed", held.Claim.GetPassed())
	p.node.keeper.Merge([]ownership.GroupClaim{held})
}

// State implements link.Handler.
func (p peerCalls) State(ctx context.Context, id string) work.JobState {
	return p.node.askOwners(func(o *owner.Owner) (work.JobState, bool) { return o.JobState(ctx, id) })
}

// Cancel implements link.Handler.
func (p peerCalls) Cancel(ctx context.Context, id string, withdraw bool) work.JobState {
	return p.node.askOwners(func(o *owner.Owner) (work.JobState, bool) { return o.CancelJob(ctx, id, withdraw) })
}

// Tables implements link.Handler.
func (p peerCalls) Tables() link.Tables {
	tables := link.Tables{Claims: p.node.keeper.Claims(), Cordons: p.node.cordons.board.View()}
	if clock, known := p.node.storeClock.nowIfKnown(); known {
		tables.StoreClock = clock
	}
	if held := p.node.config.held.Load(); held != nil {
		tables.Configuration = held.raw
	}
	_, tables.Profiles = p.node.profiles.inForce()
	return tables
}
