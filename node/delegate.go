package node

import (
	"context"
	"strconv"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// ownerName returns the name under which the scheduler knows the owner of an incarnation.
func ownerName(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// ReceiveLoads implements heartbeat.Listener. It gives the current owner the free capacity of
// another owner, to which it may delegate tasks.
func (n *Node) ReceiveLoads(incarnation uint64, loads []*linkpb.Load) {
	o := n.currentOwner()
	if o == nil || incarnation == n.self.Incarnation {
		return
	}
	for _, load := range loads {
		var capacity scheduler.FreeCapacity
		for i, places := range load.GetPlaces() {
			if i < len(capacity.Tasks) {
				capacity.Tasks[i] = int(places)
			}
		}
		o.UpdateCapacityOf(ownerName(incarnation), load.GetService(), capacity)
	}
}

// delegate has another owner run a part of a job. This VM acts as the part's entry VM: it sends
// the keepalives for it.
func (n *Node) delegate(ctx context.Context, owner string, sub scheduler.Submission) work.Outcome {
	for _, held := range n.keeper.Claims() {
		if ownerName(held.Claim.GetLife()) != owner {
			continue
		}
		view, ok := n.heartbeats.View(held.Claim.GetLife())
		if !ok || view.Timestamp == 0 || view.Alive.Err() != nil {
			break
		}
		request := n.peerClient.NextRequest()
		outcome := n.peerClient.RunWhileAlive(ctx, view.Alive, view.Owner, link.Order{
			Group: held.Group, Entry: heartbeat.EntryID(n.self.VM, n.self.Incarnation), Timestamp: view.Timestamp,
			Job: sub.Job, Queue: sub.Queue, Age: sub.Age, Wait: sub.Wait, Part: sub.Part, Origin: sub.Origin, Handed: sub.Handed, Request: request,
		})
		if outcome.Result == work.Unknown {
			n.heartbeats.GiveUp(view.Incarnation, heartbeat.GivenUp{Job: sub.Job.ID, Request: request})
		}
		return outcome
	}
	return work.Outcome{Result: work.Moved, Reason: "the other owner is silent"}
}
