package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// A leaving owner hands its running jobs over with its targets, if both VMs are set to do so. It ends
// only after the successor has told it the outcomes of all these jobs.

// handOverJobs returns the running jobs for the successor, with the targets that this
// owner uses no more; nil if none are handed over. While the predecessor of this owner still uses
// targets, this owner doesn't know all runs.
func (o *Owner) handOverJobs(now time.Duration, successor scheduler.Successor) *scheduler.Handover {
	if !o.options.HandOverJobs || successor.Owner == "" || o.registry.handoverPending {
		return nil
	}
	handover, released := o.state.HandOverJobs(now, successor)
	if !o.registry.jobsHandedOver {
		o.registry.jobsHandedOver = true
		o.registry.released = append(o.registry.released, released...)
	}
	return &handover
}

// hasReleasedAll reports whether neither this owner nor its own predecessor uses a target any more.
func (o *Owner) hasReleasedAll() bool {
	done := o.state.IsIdle() || o.state.HasHandedOverJobs() && o.state.UsesNoTarget()
	return done && !o.registry.handoverPending
}

// publishOpenJobs publishes the number of open jobs. Whoever learns that all targets are released ends this
// owner by it, and must not see the number of an earlier tick.
func (o *Owner) publishOpenJobs() {
	o.openJobs.Store(int64(o.state.Jobs() + o.state.PendingWrites()))
}

// adoptJobs takes the jobs of the previous owner over, before the State learns of their targets.
func (o *Owner) adoptJobs(now, asked time.Duration, released Released) {
	if released.Handover == nil || !o.registry.handoverPending {
		return
	}
	o.state.AdoptJobs(now, asked, *released.Handover, func() scheduler.Ref {
		o.lastRef++
		return o.lastRef
	})
	for _, target := range released.Handover.Targets {
		o.services[target.Service] = true
		if _, listed := o.registry.listed[target.ID]; o.registry.snapshotRead && !listed {
			o.state.TargetUnlisted(now, target.ID)
		}
	}
}

// queue queues the message of a submission, and reports false if there is no room. A job that is handed
// over runs already: its request waits for room instead, until its caller leaves or this owner ends.
func (o *Owner) queue(ctx context.Context, sub scheduler.Submission, m message) bool {
	if !sub.Handed {
		return o.submissions.Offer(m)
	}
	select {
	case o.answers <- m:
		return true
	case <-ctx.Done():
	case <-o.done:
	}
	return false
}

// unqueuedOutcome is the outcome of a submission that was not queued.
func unqueuedOutcome(sub scheduler.Submission) work.Outcome {
	if sub.Handed {
		return work.Outcome{Result: work.Moved, Reason: "the request was not handled"}
	}
	return work.Outcome{Result: work.Refused, Reason: "too many submissions at once", RetryAfter: queueFullRetryAfter}
}
