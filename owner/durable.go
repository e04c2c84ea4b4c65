package owner

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// durableJobs is an owner's state about durable jobs, which outlast their requests.
type durableJobs struct {
	// accepting is set once the jobs in the store were read, so that new ones may be accepted.
	accepting bool
	// ending holds the jobs whose end is being recorded in the store.
	ending map[string]bool
	// endWaiters holds, for each job, the channels to close when its end is recorded.
	endWaiters map[string][]chan struct{}
	// canTakeOver is the published result of canTakeOverJobs.
	canTakeOver atomic.Bool
	// recordsRead is set once the target records were read.
	recordsRead bool
	// registryReadAt is when the registry was read and the handover of targets had ended.
	registryReadAt time.Duration
	// pending counts by queue the jobs of which nothing has started, as of pendingCountedAt.
	pending          atomic.Pointer[map[string]int32]
	pendingCountedAt time.Duration
}

// Times of durable jobs.
const (
	// takeOverTimeout is how long targets that don't answer delay taking over the jobs. Tasks that may
	// still run at such targets wait longer.
	takeOverTimeout = 2500 * time.Millisecond
	// takeOverRetryInterval is the time between two attempts to take over the jobs.
	takeOverRetryInterval = 50 * time.Millisecond
	// jobEndTimeout is how long JobState waits for the end of a running job: twice the usual
	// time in which a completion is polled and recorded. Callers ask as soon as a job should
	// have ended, and ask again only after a short objective.
	jobEndTimeout = 80 * time.Millisecond
	// unstoredRetryAfter is sent to callers while jobs can't be stored.
	unstoredRetryAfter = time.Second
)

// canTakeOverJobs reports whether previous owners can no longer acknowledge completions: those
// that aren't in the store are then still at their targets. It makes the targets known that previous
// owners have recorded. Targets that don't answer delay this by at most takeOverTimeout.
func (o *Owner) canTakeOverJobs() bool {
	if !o.registry.snapshotRead || o.registry.handoverPending || !o.durable.recordsRead {
		return false
	}
	now := bootclock.Now()
	if !o.state.HasAdoptedTargets() {
		o.state.AdoptTargets(now)
	}
	if o.durable.registryReadAt == 0 {
		o.durable.registryReadAt = now
	}
	return o.state.TargetsFenced() || now-o.durable.registryReadAt > takeOverTimeout
}

// takeOverJobs reads the durable jobs of the group from the store once canTakeOverJobs holds.
func (o *Owner) takeOverJobs(ctx context.Context) {
	ticker := time.NewTicker(takeOverRetryInterval)
	defer ticker.Stop()
	logged := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !o.durable.canTakeOver.Load() {
			continue
		}
		jobs, err := o.options.Jobs.Open(ctx, o.token.Load())
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.resumeJobs(now, jobs) })
			o.options.Jobs.FollowMoves(ctx, func(job jobstore.DurableJob) {
				o.post(ctx, func(now time.Duration) { o.adoptJob(now, job) })
			})
			return
		}
		if !logged {
			o.options.Log.Warn("kept jobs not taken over", "group", o.options.Group, "error", err)
			logged = true
		}
		if errors.Is(err, jobstore.ErrSuperseded) {
			return
		}
	}
}

// resumeJobs continues the durable jobs of previous owners and starts accepting new ones.
func (o *Owner) resumeJobs(now time.Duration, jobs []jobstore.DurableJob) {
	o.durable.accepting = true
	o.options.Log.Info("kept jobs taken over", "group", o.options.Group, "jobs", len(jobs))
	for _, job := range jobs {
		o.resumeJob(now, job)
	}
	o.state.FinishResume(now)
}

// resumeJob continues a durable job from what the store has of it.
func (o *Owner) resumeJob(now time.Duration, job jobstore.DurableJob) {
	clock, _ := o.options.StoreClock()
	o.lastRef++
	o.state.ResumeJob(now, scheduler.Submission{
		Ref: o.lastRef, Job: job.Job, Queue: job.Queue, Age: max(clock-job.Arrived, 0),
	}, scheduler.Progress{
		Done: job.Progress.Done, Fails: job.Progress.Failures, LastFailed: job.Progress.LastFailedRun, Saved: job.Progress.Saved,
		Crashed: schedulerCrashes(job.Progress.TargetLosses),
	})
}

// moveJob gives a durable job to another group and notifies the State of the result.
func (o *Owner) moveJob(ctx context.Context, e scheduler.MoveJob) {
	o.options.Jobs.Move(ctx, e.Job, e.Group, func(moved bool) {
		o.options.Count("job_moves", strconv.FormatBool(moved))
		o.post(ctx, func(now time.Duration) {
			o.state.HandleJobMoved(now, e.Job, moved)
			if moved {
				o.releaseEndWaiters(e.Job)
			}
		})
	})
}

// adoptJob continues a durable job that another group has given to this one.
func (o *Owner) adoptJob(now time.Duration, job jobstore.DurableJob) {
	o.options.Log.Info("job adopted from another failure domain", "group", o.options.Group, "job", job.Job.ID)
	o.resumeJob(now, job)
}

// schedulerCrashes converts the stored target losses, by task, to the scheduler's type.
func schedulerCrashes(stored map[int][]jobstore.TargetLoss) map[int][]scheduler.Crash {
	crashes := map[int][]scheduler.Crash{}
	for task, list := range stored {
		for _, crash := range list {
			crashes[task] = append(crashes[task], scheduler.Crash(crash))
		}
	}
	return crashes
}

// admitDurable reports whether a durable job is new and can be stored. Otherwise it answers
// the caller.
func (o *Owner) admitDurable(sub scheduler.Submission) bool {
	outcome := work.Outcome{Result: work.Accepted}
	if !o.durable.accepting {
		outcome = work.Outcome{Result: work.Refused, Reason: "jobs can't be stored yet", RetryAfter: unstoredRetryAfter}
	} else if state, known := o.options.Jobs.State(sub.Job.ID); !known {
		return true
	} else if state == work.StateWithdrawn {
		outcome = storeOutcome(jobstore.Withdrawn)
	}
	o.answerCaller(scheduler.Answer{Ref: sub.Ref, Outcome: outcome})
	return false
}

// record writes an effect of a durable job to the store.
func (o *Owner) record(ctx context.Context, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.StoreJob:
		job := e.Submission.Job
		o.options.Jobs.Accept(job, e.Submission.Queue, e.Submission.Age, func(r jobstore.AcceptResult) {
			o.post(ctx, func(now time.Duration) { o.jobStored(now, job.ID, r) })
		})
	case scheduler.TaskDone:
		o.options.Jobs.RecordTaskDone(e.Job, e.Task, func() { o.completionRecorded(ctx, e.Completion) })
	case scheduler.TaskFailed:
		o.options.Jobs.RecordTaskFailed(e.Job, e.Task, e.Run, func() { o.completionRecorded(ctx, e.Completion) })
	case scheduler.TaskCrashed:
		o.options.Jobs.RecordTargetLoss(e.Job, e.Task, jobstore.TargetLoss(e.Crash))
	case scheduler.TaskCleared:
		o.options.Jobs.RecordTargetCleared(e.Job, e.Task, jobstore.TargetLoss(e.Crash))
	case scheduler.TaskSaved:
		o.options.Jobs.RecordSavedState(e.Job, e.Task, e.Saved)
	case scheduler.JobEnded:
		o.durable.ending[e.Job] = true
		o.options.Count("kept_jobs", e.State.String())
		o.observeTimes(e.Times)
		o.options.Jobs.RecordEnd(e.Job, e.State, func() {
			o.post(ctx, func(time.Duration) { o.jobEndRecorded(e.Job) })
		})
	}
}

// jobStored gives the State the result of storing a job, or that the result is not known yet.
func (o *Owner) jobStored(now time.Duration, id string, r jobstore.AcceptResult) {
	o.options.Count("acceptances", r.String())
	if r == jobstore.Unconfirmed {
		o.state.HandleJobStoreUncertain(id)
		return
	}
	o.state.HandleJobStored(now, id, storeOutcome(r), r == jobstore.Stored)
	if !o.durable.ending[id] && r != jobstore.Stored {
		// Whoever waits for the job's end has to look for the job elsewhere.
		o.releaseEndWaiters(id)
	}
}

// completionRecorded notifies the State that a completion is in the store and may be acknowledged.
func (o *Owner) completionRecorded(ctx context.Context, completion scheduler.CompletionRef) {
	o.post(ctx, func(time.Duration) { o.state.HandleCompletionStored(completion) })
}

// storeOutcome returns the outcome that the caller gets for the result of storing its job.
func storeOutcome(r jobstore.AcceptResult) work.Outcome {
	switch r {
	case jobstore.Stored, jobstore.AlreadyStored:
		return work.Outcome{Result: work.Accepted}
	case jobstore.NotStored:
		return work.Outcome{Result: work.Refused, Reason: "the store takes no jobs", RetryAfter: unstoredRetryAfter}
	case jobstore.Withdrawn:
		return work.Outcome{Result: work.Refused, Reason: "the job was cancelled before it was stored: submit it under another ID"}
	case jobstore.TooLarge:
		return work.Outcome{Result: work.Refused, Reason: "the job doesn't fit a row of the store: submit fewer or smaller steps"}
	default:
		return work.Outcome{Result: work.Unknown, Reason: "another VM has taken over while the job was stored"}
	}
}

// jobEndRecorded wakes those who wait until the end of a job is in the store.
func (o *Owner) jobEndRecorded(id string) {
	o.state.HandleJobEndStored(id)
	delete(o.durable.ending, id)
	o.releaseEndWaiters(id)
}

// releaseEndWaiters wakes those who wait for the end of a job.
func (o *Owner) releaseEndWaiters(id string) {
	for _, recorded := range o.durable.endWaiters[id] {
		close(recorded)
	}
	delete(o.durable.endWaiters, id)
}

// addEndWaiter has a channel closed when the end of a job is recorded.
func (o *Owner) addEndWaiter(id string, recorded chan struct{}) {
	o.durable.endWaiters[id] = append(o.durable.endWaiters[id], recorded)
}

// removeEndWaiter undoes addEndWaiter.
func (o *Owner) removeEndWaiter(id string, recorded chan struct{}) {
	rest := slices.DeleteFunc(o.durable.endWaiters[id], func(other chan struct{}) bool { return other == recorded })
	if len(rest) == 0 {
		delete(o.durable.endWaiters, id)
		return
	}
	o.durable.endWaiters[id] = rest
}

// JobState returns the state of a durable job, or false if this owner doesn't know the job.
// For a running job it waits up to jobEndTimeout for the end: callers ask when they expect the
// end, and ask again only much later.
func (o *Owner) JobState(ctx context.Context, id string) (work.JobState, bool) {
	if o.options.Jobs == nil {
		return work.StateAbsent, false
	}
	state, known := o.options.Jobs.State(id)
	if !known || state.IsFinal() {
		return state, known
	}
	ctx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	recorded := make(chan struct{})
	started := make(chan bool, 1)
	o.post(ctx, func(time.Duration) {
		running := o.durable.ending[id] || o.state.HasStarted(id)
		if running {
			o.addEndWaiter(id, recorded)
		}
		started <- running
	})
	select {
	case running := <-started:
		if !running {
			return work.StateQueued, true
		}
	case <-o.done:
		return state, true
	case <-ctx.Done():
		return state, true
	}
	select {
	case <-recorded:
		return o.options.Jobs.State(id)
	case <-o.done:
	case <-ctx.Done():
		o.post(context.WithoutCancel(ctx), func(time.Duration) { o.removeEndWaiter(id, recorded) })
	}
	return work.StateRunning, true
}

// CancelJob cancels a job and returns its state once that is certain, or false if this owner doesn't know
// the job or can't tell its end in time. A job that is being stored is withdrawn if the store doesn't have
// it yet. With withdraw, a job that is not here at all is kept from being stored as well.
func (o *Owner) CancelJob(ctx context.Context, id string, withdraw bool) (work.JobState, bool) {
	settled := make(chan struct{})
	var state work.JobState
	o.post(ctx, func(now time.Duration) {
		switch result := o.state.CancelJob(now, id); {
		case result == scheduler.CancelDone:
			state = work.StateCancelled
			close(settled)
		case result != scheduler.CancelUnknown || o.durable.ending[id]:
			o.addEndWaiter(id, settled)
			if result == scheduler.CancelPending {
				o.options.Jobs.Withdraw(id, func(work.JobState) {})
			}
		case withdraw && o.options.Jobs != nil:
			o.options.Jobs.Withdraw(id, func(found work.JobState) {
				state = found
				close(settled)
			})
		default:
			close(settled)
		}
	})
	select {
	case <-settled:
	case <-o.done:
		return work.StateAbsent, false
	case <-ctx.Done():
		return work.StateAbsent, false
	}
	if state != work.StateAbsent || o.options.Jobs == nil {
		return state, state != work.StateAbsent
	}
	return o.options.Jobs.State(id)
}

// pendingInterval is the minimum time between two counts of pending jobs. Callers may get a
// count that is up to 2 s old.
const pendingInterval = 200 * time.Millisecond

// countPending publishes the number of pending jobs.
func (o *Owner) countPending(now time.Duration) {
	if now-o.durable.pendingCountedAt < pendingInterval {
		return
	}
	o.durable.pendingCountedAt = now
	pending := o.state.PendingDurable()
	o.durable.pending.Store(&pending)
}

// PendingJobs returns the number of durable jobs of which nothing has started, by queue.
func (o *Owner) PendingJobs() map[string]int32 {
	if pending := o.durable.pending.Load(); pending != nil {
		return *pending
	}
	return nil
}
