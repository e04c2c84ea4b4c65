package node

import (
	"context"
	"slices"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// Times of a handover of running jobs.
const (
	// answeredCheckInterval is the pause between two checks whether all jobs that were handed over are
	// answered.
	answeredCheckInterval = 20 * time.Millisecond
	// successorTimeout is for how long a leaving owner tries to reach its successor with a job that it
	// has handed over: a few heartbeats, and half of the time after which the successor ends the job.
	successorTimeout = 300 * time.Millisecond
	// successorRetryInterval is the pause between two attempts.
	successorRetryInterval = 10 * time.Millisecond
)

// takesJobsAs returns the name of a successor that takes running jobs; empty if it doesn't.
func takesJobsAs(successor ownership.GroupClaim) string {
	if life := successor.Claim.GetLife(); life != 0 {
		return ownerName(life)
	}
	return ""
}

// askPredecessor asks the previous owner for its targets, and for its running jobs if this VM takes
// them. This VM needs no keepalives of itself.
func (n *Node) askPredecessor(ctx context.Context, address string, held ownership.GroupClaim) (owner.Released, error) {
	released, err := n.peerClient.Release(ctx, address, held, n.options.HandOverJobs)
	if err != nil || released.Handover == nil {
		return released, err
	}
	self := heartbeat.EntryID(n.self.VM, n.self.Incarnation)
	for i := range released.Handover.Jobs {
		sub := &released.Handover.Jobs[i].Submission
		sub.Vouchers = slices.DeleteFunc(sub.Vouchers, func(entry string) bool { return entry == self })
	}
	return released, nil
}

// endOutgoingWhenAnswered ends an owner that has handed over all its targets, once its jobs are
// answered.
func (n *Node) endOutgoingWhenAnswered(o *owner.Owner) {
	if o.OpenJobs() == 0 || n.ctx == nil {
		n.endOutgoing(o)
		return
	}
	if n.awaitingAnswers.Swap(o) == o {
		return
	}
	go func() {
		defer n.awaitingAnswers.CompareAndSwap(o, nil)
		ticker := time.NewTicker(answeredCheckInterval)
		defer ticker.Stop()
		for o.OpenJobs() > 0 && n.outgoingOwner() == o {
			select {
			case <-n.ctx.Done():
				return
			case <-ticker.C:
			}
		}
		n.endOutgoing(o)
	}()
}

// delegateOrHandOver has another owner run a part of a job. A part that is handed over is asked for
// again until the successor can be reached, because its tasks run already.
func (n *Node) delegateOrHandOver(ctx context.Context, owner string, sub scheduler.Submission) work.Outcome {
	began, age := bootclock.Now(), sub.Age
	for {
		outcome := n.delegate(ctx, owner, sub)
		waited := bootclock.Now() - began
		if !sub.Handed || outcome.Result != work.Moved || waited > successorTimeout {
			return outcome
		}
		select {
		case <-ctx.Done():
			return outcome
		case <-time.After(successorRetryInterval):
		}
		sub.Age = age + waited
	}
}
