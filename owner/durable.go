package owner

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// keptJobs is what an owner holds of jobs that outlast their requests.
type keptJobs struct {
	// open says that the store's jobs were read and that new ones may be accepted.
	open bool
	// ending holds the jobs whose end is being noted, watched those who wait for the
	// note of a job's end.
	ending  map[string]bool
	watched map[string][]chan struct{}
	// adopted says that nothing of a former owner runs at the targets any more.
	adopted atomic.Bool
	// readAt is when the registry was read and all targets were given.
	readAt time.Duration
	// pending is the count of jobs of which nothing has begun, as of countedAt.
	pending   atomic.Pointer[map[string]int32]
	countedAt time.Duration
}

// Times of taking over kept jobs.
const (
	// adoptPatience is how long a target that doesn't answer keeps the jobs from being
	// taken over: a lease, and the time until the registry drops a target that is gone.
	adoptPatience = 2500 * time.Millisecond
	// openPause paces the tries.
	openPause = 50 * time.Millisecond
	// endWait is how long an answer waits for the end of a job that is running: twice
	// the usual time in which an end is listed and noted. Callers ask as soon as a job should
	// have ended, and not again before a short objective has passed.
	endWait = 80 * time.Millisecond
	// unstoredRetry is told while jobs can't be stored.
	unstoredRetry = time.Second
)

// mayOpen reports whether former owners can't acknowledge an end any more.
func (o *Owner) mayOpen() bool {
	if !o.registry.read || o.registry.handover {
		return false
	}
	now := bootclock.Now()
	if o.kept.readAt == 0 {
		o.kept.readAt = now
	}
	return o.state.Adopted() || now-o.kept.readAt > adoptPatience
}

// openJobs takes over the jobs of the group once former owners are barred from its
// targets.
func (o *Owner) openJobs(ctx context.Context) {
	ticker := time.NewTicker(openPause)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !o.kept.adopted.Load() {
			continue
		}
		kept, err := o.options.Jobs.Open(ctx, o.token.Load())
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.resume(now, kept) })
			return
		}
		if !failed {
			o.options.Log.Warn("kept jobs not taken over", "group", o.options.Group, "error", err)
			failed = true
		}
		if errors.Is(err, jobstore.ErrSuperseded) {
			return
		}
	}
}

// resume goes on with the jobs of a former owner.
func (o *Owner) resume(now time.Duration, kept []jobstore.Kept) {
	o.kept.open = true
	o.options.Log.Info("kept jobs taken over", "group", o.options.Group, "jobs", len(kept))
	clock, _ := o.options.StoreClock()
	for _, job := range kept {
		o.lastRef++
		o.state.Resume(now, scheduler.Submission{
			Ref: o.lastRef, Job: job.Job, Queue: job.Queue, Age: max(clock-job.Arrived, 0),
		}, scheduler.Progress{
			Done: job.Progress.Done, Fails: job.Progress.Fails, LastFailed: job.Progress.LastFailed, Saved: job.Progress.Saved,
			Crashed: crashesOf(job.Progress.Crashed),
		})
	}
	o.state.Resumed(now)
}

// crashesOf are the targets lost under tasks, as the scheduler has them.
func crashesOf(stored map[int][]jobstore.Crash) map[int][]scheduler.Crash {
	crashes := map[int][]scheduler.Crash{}
	for task, list := range stored {
		for _, crash := range list {
			crashes[task] = append(crashes[task], scheduler.Crash(crash))
		}
	}
	return crashes
}

// mayAccept answers a kept job that can't be stored or is known already; it reports
// whether the job is to be looked at further.
func (o *Owner) mayAccept(sub scheduler.Submission) bool {
	outcome := work.Outcome{Result: work.Accepted}
	if !o.kept.open {
		outcome = work.Outcome{Result: work.Refused, Reason: "jobs can't be stored yet", RetryAfter: unstoredRetry}
	} else if _, known := o.options.Jobs.State(sub.Job.ID); !known {
		return true
	}
	o.answer(scheduler.Answer{Ref: sub.Ref, Outcome: outcome})
	return false
}

// keep has the store note what the scheduler wants kept.
func (o *Owner) keep(ctx context.Context, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Keep:
		job := e.Submission.Job
		o.options.Jobs.Accept(job, e.Submission.Queue, e.Submission.Age, func(r jobstore.Result) {
			o.post(ctx, func(now time.Duration) { o.accepted(now, job.ID, r) })
		})
	case scheduler.TaskDone:
		o.options.Jobs.TaskDone(e.Job, e.Task, func() { o.noted(ctx, e.End) })
	case scheduler.TaskFailed:
		o.options.Jobs.TaskFailed(e.Job, e.Task, e.Run, func() { o.noted(ctx, e.End) })
	case scheduler.TaskCrashed:
		o.options.Jobs.TaskCrashed(e.Job, e.Task, jobstore.Crash(e.Crash))
	case scheduler.TaskSaved:
		o.options.Jobs.TaskSaved(e.Job, e.Task, e.Saved)
	case scheduler.JobEnded:
		o.kept.ending[e.Job] = true
		o.options.Count("kept_jobs", e.State.String())
		o.observe(e.Times)
		o.options.Jobs.End(e.Job, e.State, func() {
			o.post(ctx, func(time.Duration) { o.endNoted(e.Job) })
		})
	}
}

// accepted takes how the storing of a job ended, or that this can't be told now.
func (o *Owner) accepted(now time.Duration, id string, r jobstore.Result) {
	o.options.Count("acceptances", r.String())
	if r == jobstore.Doubtful {
		o.state.Doubted(id)
		return
	}
	o.state.Stored(now, id, acceptance(r), r == jobstore.Stored)
}

func (o *Owner) noted(ctx context.Context, end scheduler.EndRef) {
	o.post(ctx, func(time.Duration) { o.state.Noted(end) })
}

// acceptance is what a caller is told of its job.
func acceptance(r jobstore.Result) work.Outcome {
	switch r {
	case jobstore.Stored, jobstore.Known:
		return work.Outcome{Result: work.Accepted}
	case jobstore.NotStored:
		return work.Outcome{Result: work.Refused, Reason: "the store takes no jobs", RetryAfter: unstoredRetry}
	default:
		return work.Outcome{Result: work.Unknown, Reason: "another VM has taken over while the job was stored"}
	}
}

// endNoted tells those who wait for the end of a job.
func (o *Owner) endNoted(id string) {
	o.state.EndNoted(id)
	delete(o.kept.ending, id)
	for _, noted := range o.kept.watched[id] {
		close(noted)
	}
	delete(o.kept.watched, id)
}

// watch has a channel closed when the end of a job is noted.
func (o *Owner) watch(id string, noted chan struct{}) {
	o.kept.watched[id] = append(o.kept.watched[id], noted)
}

// unwatch takes back a watch.
func (o *Owner) unwatch(id string, noted chan struct{}) {
	rest := slices.DeleteFunc(o.kept.watched[id], func(other chan struct{}) bool { return other == noted })
	if len(rest) == 0 {
		delete(o.kept.watched, id)
		return
	}
	o.kept.watched[id] = rest
}

// JobState tells how a kept job stands; false means that this owner doesn't know it. A
// job that is running is given a moment to end: callers ask when they expect that, and
// ask again only much later.
func (o *Owner) JobState(ctx context.Context, id string) (work.State, bool) {
	if o.options.Jobs == nil {
		return work.StateAbsent, false
	}
	state, known := o.options.Jobs.State(id)
	if !known || state.Final() {
		return state, known
	}
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	noted := make(chan struct{})
	begun := make(chan bool, 1)
	o.post(ctx, func(time.Duration) {
		running := o.kept.ending[id] || o.state.Begun(id)
		if running {
			o.watch(id, noted)
		}
		begun <- running
	})
	select {
	case running := <-begun:
		if !running {
			return work.StateQueued, true
		}
	case <-o.done:
		return state, true
	case <-ctx.Done():
		return state, true
	}
	select {
	case <-noted:
		return o.options.Jobs.State(id)
	case <-o.done:
	case <-ctx.Done():
		o.post(context.WithoutCancel(ctx), func(time.Duration) { o.unwatch(id, noted) })
	}
	return work.StateRunning, true
}

// CancelJob cancels a kept job and tells how it stands once that is noted; false means
// that this owner doesn't know it.
func (o *Owner) CancelJob(ctx context.Context, id string) (work.State, bool) {
	if o.options.Jobs == nil {
		return work.StateAbsent, false
	}
	noted := make(chan struct{})
	o.post(ctx, func(now time.Duration) {
		if o.state.CancelKept(now, id) || o.kept.ending[id] {
			o.watch(id, noted)
			return
		}
		close(noted)
	})
	select {
	case <-noted:
	case <-o.done:
		return work.StateAbsent, false
	case <-ctx.Done():
		return work.StateAbsent, false
	}
	return o.options.Jobs.State(id)
}

// pendingInterval paces the count of jobs of which nothing has begun: callers are told
// what may be 2 s old.
const pendingInterval = 200 * time.Millisecond

// countPending counts the jobs of which nothing has begun for those who ask.
func (o *Owner) countPending(now time.Duration) {
	if now-o.kept.countedAt < pendingInterval {
		return
	}
	o.kept.countedAt = now
	pending := o.state.Pending()
	o.kept.pending.Store(&pending)
}

// PendingJobs counts the kept jobs of which nothing has begun, by queue.
func (o *Owner) PendingJobs() map[string]int32 {
	if pending := o.kept.pending.Load(); pending != nil {
		return *pending
	}
	return nil
}
