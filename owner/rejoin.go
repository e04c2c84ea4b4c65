package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// A connection between an entry VM and an owner may break while both keep running. A job that
// was requested over it continues for RejoinTimeout, so that the entry VM can ask for the answer
// over another connection. If the entry VM has given the job up, its next ping says so.

// DefaultRejoinTimeout is how long a job continues after its connection broke. It allows for a
// few round trips between failure domains and for the next ping, which names the jobs given up.
const DefaultRejoinTimeout = 80 * time.Millisecond

// awaitRejoin waits up to RejoinTimeout until another request has taken the place of one whose
// connection broke, or until the job has ended. The outcome channel gets a value either way.
func (o *Owner) awaitRejoin(outcome chan work.Outcome) {
	timer := time.NewTimer(o.options.RejoinTimeout)
	defer timer.Stop()
	select {
	case <-outcome:
	case <-o.done:
	case <-timer.C:
	}
}

// Rejoin waits for the outcome of a job that was requested some time ago over a connection that
// broke. If the job is absent and begin is set, it is submitted now; if begin is not set, there
// is no outcome to wait for.
func (o *Owner) Rejoin(ctx context.Context, sub scheduler.Submission, ago time.Duration, begin bool) (work.Outcome, scheduler.Presence) {
	outcome := make(chan work.Outcome, 1)
	presence := make(chan scheduler.Presence, 1)
	var ref scheduler.Ref
	o.post(ctx, func(now time.Duration) {
		ref = o.addWaiter(&sub, outcome)
		// If this owner is newer than the request, an earlier owner in this process may have
		// got the job.
		mine := now-ago > o.createdAt && sub.Expires-heartbeat.KeepaliveTimeout > o.createdAt
		found := o.state.Rejoin(now, sub, ago, begin && mine)
		if found == scheduler.Absent && !mine {
			found = scheduler.Forgotten
		}
		if !hasAnswer(found, begin) {
			delete(o.waiters, ref)
		}
		presence <- found
	})
	var found scheduler.Presence
	select {
	case found = <-presence:
		if !hasAnswer(found, begin) {
			return work.Outcome{Result: work.Unknown, Reason: "the connection broke, and the owner knows the job no more"}, found
		}
	case <-o.done:
		return work.Outcome{Result: work.Unknown, Reason: "the owner has ended"}, scheduler.Forgotten
	case <-ctx.Done():
		return work.Outcome{Result: work.Unknown, Reason: "the caller left"}, scheduler.Present
	}
	select {
	case result := <-outcome:
		return result, found
	case <-o.done:
		select {
		case result := <-outcome:
			return result, found
		default:
			return work.Outcome{Result: work.Unknown, Reason: "the owner has ended"}, found
		}
	case <-ctx.Done():
	}
	o.awaitRejoin(outcome)
	o.post(context.WithoutCancel(ctx), func(now time.Duration) { o.state.Cancel(now, ref) })
	return work.Outcome{Result: work.Unknown, Reason: "the caller left"}, found
}

// hasAnswer reports whether this owner will have the outcome of a job that is requested again.
func hasAnswer(found scheduler.Presence, begin bool) bool {
	return found == scheduler.Present || found == scheduler.Absent && begin
}
