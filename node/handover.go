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

// takesJobsAs returns a successor that takes running jobs; without a name if it doesn't.
func takesJobsAs(successor ownership.GroupClaim) scheduler.Successor {
	life := successor.Claim.GetLife()
	if life == 0 {
		return scheduler.Successor{}
	}
	return scheduler.Successor{Owner: ownerName(life), Token: successor.Version, Passed: successor.Claim.GetPassed()}
}

// newPredecessorRequest returns the function that asks the previous owner for its targets. It asks for
// its running jobs as well, if this VM takes them, until an answer has them: each one has them again,
// with their payloads. It must not be called concurrently.
func (n *Node) newPredecessorRequest(address string, held ownership.GroupClaim) func(ctx context.Context) (owner.Released, error) {
	takesJobs := n.options.HandOverJobs
	return func(ctx context.Context) (owner.Released, error) {
		released, err := n.peerClient.Release(ctx, address, held, takesJobs)
		if err != nil || released.Handover == nil {
			return released, err
		}
		takesJobs = false
		n.removeOwnVouchers(released.Handover.Jobs)
		return released, nil
	}
}

// removeOwnVouchers takes this VM out of the vouchers of jobs: it needs no keepalives of itself.
func (n *Node) removeOwnVouchers(jobs []scheduler.HandedJob) {
	self := heartbeat.EntryID(n.self.VM, n.self.Incarnation)
	for i := range jobs {
		sub := &jobs[i].Submission
		sub.Vouchers = slices.DeleteFunc(sub.Vouchers, func(entry string) bool { return entry == self })
	}
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
