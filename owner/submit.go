package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// queueFullRetryAfter is sent to callers when the submission queue is full.
const queueFullRetryAfter = time.Second

// Submit runs a job and returns its outcome. The end of the context gives the job up. A durable
// job has its outcome as soon as it is stored.
func (o *Owner) Submit(ctx context.Context, sub scheduler.Submission) work.Outcome {
	if retryAfter, shed := o.shouldShed(); shed && !sub.Handed {
		o.options.Count("jobs", "shed")
		return work.Outcome{Result: work.Refused, Reason: "the owner is short of processor", RetryAfter: retryAfter}
	}
	outcome := make(chan work.Outcome, 1)
	var ref scheduler.Ref
	handled := make(chan struct{})
	arrived := time.Now()
	queued := o.queue(ctx, sub, func(now time.Duration) {
		defer close(handled)
		if ctx.Err() != nil {
			// Its caller may have sent the job again meanwhile.
			outcome <- work.Outcome{Result: work.Unknown, Reason: "the caller left"}
			return
		}
		ref = o.addWaiter(&sub, outcome)
		waited := time.Since(arrived)
		o.lag.recordWait(waited)
		sub.Age += waited
		if sub.Job.Durable && !o.admitDurable(sub) {
			return
		}
		o.state.Submit(now, sub)
	})
	if !queued {
		return unqueuedOutcome(sub)
	}
	select {
	case result := <-outcome:
		return result
	case <-o.done:
		return o.outcomeAfterEnd(outcome)
	case <-ctx.Done():
	}
	if sub.Entry != "" && !sub.Job.Durable {
		o.awaitRejoin(outcome)
	}
	o.cancel(ctx, handled, &ref)
	return work.Outcome{Result: work.Unknown, Reason: "the caller left"}
}

// addWaiter gives a submission its reference and has its outcome sent to a channel.
func (o *Owner) addWaiter(sub *scheduler.Submission, outcome chan work.Outcome) scheduler.Ref {
	o.lastRef++
	sub.Ref = o.lastRef
	o.waiters[sub.Ref] = outcome
	return sub.Ref
}

// outcomeAfterEnd returns the outcome that the loop sent before it ended. A submission that the
// loop never handled was not run.
func (o *Owner) outcomeAfterEnd(outcome chan work.Outcome) work.Outcome {
	select {
	case result := <-outcome:
		return result
	default:
		return work.Outcome{Result: work.Moved, Reason: "the owner has ended"}
	}
}

// cancel gives up a submission once the loop has handled it.
func (o *Owner) cancel(ctx context.Context, handled chan struct{}, ref *scheduler.Ref) {
	o.post(context.WithoutCancel(ctx), func(now time.Duration) {
		select {
		case <-handled:
			o.state.Cancel(now, *ref)
		default:
			// The submission is still queued: wait until the loop has handled it.
			go o.cancelLater(handled, ref)
		}
	})
}

// cancelLater waits until the loop has handled a submission, then cancels it.
func (o *Owner) cancelLater(handled chan struct{}, ref *scheduler.Ref) {
	select {
	case <-handled:
		o.post(context.Background(), func(now time.Duration) { o.state.Cancel(now, *ref) })
	case <-o.done:
	}
}

// answerCaller sends the outcome of a submission to the goroutine that waits for it.
func (o *Owner) answerCaller(e scheduler.Answer) {
	if waiter := o.waiters[e.Ref]; waiter != nil {
		delete(o.waiters, e.Ref)
		o.options.Count("jobs", e.Outcome.Result.String())
		o.observeTimes(e.Times)
		waiter <- e.Outcome
	}
}

// observeTimes records how long a job waited and ran.
func (o *Owner) observeTimes(times scheduler.Times) {
	if times != (scheduler.Times{}) {
		o.options.Observe("job_wait", times.Wait)
		o.options.Observe("job_run", times.Run)
	}
}

// Leave stops accepting jobs and returns those of which nothing was started to their callers.
func (o *Owner) Leave(ctx context.Context) {
	o.post(ctx, o.state.Leave)
}

// Released is an owner's answer to its successor, which takes over its targets.
type Released struct {
	// Targets lists the targets that the answering owner no longer uses.
	Targets []string
	// All means that neither it nor its own predecessor uses a target any more.
	All bool
	// Registry is the registry as the answering owner knows it, because the successor may
	// be cut off from the store.
	Registry []work.Target
	// Handover has the running jobs that the successor is to continue; nil if none are handed over.
	Handover *scheduler.Handover
}

// Release stops using the targets on which nothing runs, and returns all that were released for
// the successor so far. It hands the running jobs over as well if successor names an owner that takes
// them; without a name it doesn't.
func (o *Owner) Release(ctx context.Context, successor scheduler.Successor) Released {
	answer := make(chan Released, 1)
	o.post(ctx, func(now time.Duration) {
		handover := o.handOverJobs(now, successor)
		o.registry.released = append(o.registry.released, o.state.IdleTargets()...)
		o.state.ReleaseTargets(o.registry.released)
		o.publishOpenJobs()
		answer <- Released{
			Targets:  slices.Clone(o.registry.released),
			All:      o.hasReleasedAll(),
			Registry: slices.Collect(maps.Values(o.registry.listed)),
			Handover: handover,
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
