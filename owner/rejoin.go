package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// A connection between two VMs may break while both go on. The job that was asked for over
// it goes on as well for a moment, so that the entry VM, which says at once what it has
// given up, can ask for the answer over another connection.

// DefaultRejoinTime is how long a job goes on whose connection broke: a few round trips
// between failure domains, and the next ping, which tells what is given up.
const DefaultRejoinTime = 80 * time.Millisecond

// awaitRejoin waits for another request to take the place of one whose connection broke,
// which then has its outcome, or for the job's end.
func (o *Owner) awaitRejoin(outcome chan work.Outcome) {
	timer := time.NewTimer(o.options.RejoinTime)
	defer timer.Stop()
	select {
	case <-outcome:
	case <-o.done:
	case <-timer.C:
	}
}

// Rejoin waits for the outcome of a job of which the owner was asked some time ago, over a
// connection that broke. A job that is absent has one only where it is begun then.
func (o *Owner) Rejoin(ctx context.Context, sub scheduler.Submission, ago time.Duration, begin bool) (work.Outcome, scheduler.Presence) {
	outcome := make(chan work.Outcome, 1)
	presence := make(chan scheduler.Presence, 1)
	var ref scheduler.Ref
	o.post(ctx, func(now time.Duration) {
		ref = o.await(&sub, outcome)
		// Another owner in this process may have been given it before this one was made.
		mine := now-ago > o.made
		here := o.state.Rejoin(now, sub, ago, begin && mine)
		if here == scheduler.Absent && !mine {
			here = scheduler.Forgotten
		}
		if !answers(here, begin) {
			delete(o.waiting, ref)
		}
		presence <- here
	})
	var here scheduler.Presence
	select {
	case here = <-presence:
		if !answers(here, begin) {
			return work.Outcome{Result: work.Unknown, Reason: "the connection broke, and the owner knows the job no more"}, here
		}
	case <-o.done:
		return work.Outcome{Result: work.Unknown, Reason: "the owner has ended"}, scheduler.Forgotten
	case <-ctx.Done():
		return work.Outcome{Result: work.Unknown, Reason: "the caller left"}, scheduler.Present
	}
	select {
	case result := <-outcome:
		return result, here
	case <-o.done:
		select {
		case result := <-outcome:
			return result, here
		default:
			return work.Outcome{Result: work.Unknown, Reason: "the owner has ended"}, here
		}
	case <-ctx.Done():
	}
	o.awaitRejoin(outcome)
	o.post(context.WithoutCancel(ctx), func(now time.Duration) { o.state.Cancel(now, ref) })
	return work.Outcome{Result: work.Unknown, Reason: "the caller left"}, here
}

// answers reports whether a job that is asked for again has an answer of the owner's.
func answers(here scheduler.Presence, begin bool) bool {
	return here == scheduler.Present || here == scheduler.Absent && begin
}
