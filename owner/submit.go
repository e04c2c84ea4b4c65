package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// fullRetry is told when the owner has more submissions than it can look at.
const fullRetry = time.Second

// Submit runs a job to its end. The end of the context gives it up.
func (o *Owner) Submit(ctx context.Context, sub scheduler.Submission) work.Outcome {
	if retry, is := o.tooFarBehind(); is {
		o.options.Count("jobs", "shed")
		return work.Outcome{Result: work.Refused, Reason: "the owner is short of processor", RetryAfter: retry}
	}
	outcome := make(chan work.Outcome, 1)
	var ref scheduler.Ref
	taken := make(chan struct{})
	arrived := time.Now()
	accepted := o.submissions.Offer(func(now time.Duration) {
		defer close(taken)
		ref = o.await(&sub, outcome)
		waited := time.Since(arrived)
		o.lag.read(waited)
		sub.Age += waited
		if sub.Job.Kept && !o.mayAccept(sub) {
			return
		}
		o.state.Submit(now, sub)
	})
	if !accepted {
		return work.Outcome{Result: work.Refused, Reason: "too many submissions at once", RetryAfter: fullRetry}
	}
	select {
	case result := <-outcome:
		return result
	case <-o.done:
		return o.afterEnd(outcome)
	case <-ctx.Done():
	}
	if sub.Entry != "" && !sub.Job.Kept {
		o.awaitRejoin(outcome)
	}
	o.cancel(ctx, taken, &ref)
	return work.Outcome{Result: work.Unknown, Reason: "the caller left"}
}

// await makes an outcome channel that of a submission's answer.
func (o *Owner) await(sub *scheduler.Submission, outcome chan work.Outcome) scheduler.Ref {
	o.lastRef++
	sub.Ref = o.lastRef
	o.waiting[sub.Ref] = outcome
	return sub.Ref
}

// afterEnd takes the answer that the loop gave at its end; a submission that it
// never took was not run.
func (o *Owner) afterEnd(outcome chan work.Outcome) work.Outcome {
	select {
	case result := <-outcome:
		return result
	default:
		return work.Outcome{Result: work.Moved, Reason: "the owner has ended"}
	}
}

// cancel gives up a submission once the loop has taken it.
func (o *Owner) cancel(ctx context.Context, taken chan struct{}, ref *scheduler.Ref) {
	o.post(context.WithoutCancel(ctx), func(now time.Duration) {
		select {
		case <-taken:
			o.state.Cancel(now, *ref)
		default:
			// Still in the ring behind this message: look again afterwards.
			go o.cancelLater(taken, ref)
		}
	})
}

func (o *Owner) cancelLater(taken chan struct{}, ref *scheduler.Ref) {
	select {
	case <-taken:
		o.post(context.Background(), func(now time.Duration) { o.state.Cancel(now, *ref) })
	case <-o.done:
	}
}

// answer tells a caller how its submission ended.
func (o *Owner) answer(e scheduler.Answer) {
	if waiter := o.waiting[e.Ref]; waiter != nil {
		delete(o.waiting, e.Ref)
		o.options.Count("jobs", e.Outcome.Result.String())
		o.observe(e.Times)
		waiter <- e.Outcome
	}
}

// observe takes how long a job waited and ran.
func (o *Owner) observe(times scheduler.Times) {
	if times != (scheduler.Times{}) {
		o.options.Observe("job_wait", times.Wait)
		o.options.Observe("job_run", times.Run)
	}
}

// Leave stops taking jobs and hands back those of which nothing was started.
func (o *Owner) Leave(ctx context.Context) {
	o.post(ctx, o.state.Leave)
}

// Released is what an owner tells its successor.
type Released struct {
	// Targets are used no more by the former owner.
	Targets []string
	// All says that it uses none any more.
	All bool
	// Listed is the registry as the former owner knows it, since the successor may
	// be cut off from the store.
	Listed []work.Target
}

// Release takes targets out of use that nothing runs on, for a successor.
func (o *Owner) Release(ctx context.Context) Released {
	answer := make(chan Released, 1)
	o.post(ctx, func(time.Duration) {
		o.registry.released = append(o.registry.released, o.state.Idle()...)
		o.state.Release(o.registry.released)
		answer <- Released{
			Targets: slices.Clone(o.registry.released),
			All:     o.state.AtRest(),
			Listed:  slices.Collect(maps.Values(o.registry.listed)),
		}
	})
	select {
	case released := <-answer:
		return released
	case <-o.done:
		return Released{All: true}
	case <-ctx.Done():
		return Released{}
	}
}
