package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Durable jobs differ from others. Nobody waits for them, so they are never given up. What happens
// to them is recorded in the store. A completion at a target is acknowledged only when the store
// has its record. So a successor that has fenced this owner off the targets, and then reads the
// store, knows of every completion that the targets no longer list.

// StoreJob has a job stored; the result goes to HandleJobStored.
type StoreJob struct{ Submission Submission }

// TaskDone has the store record that a task is done; HandleCompletionStored then confirms it.
type TaskDone struct {
	Job string
	// Task is the task's index in the job.
	Task       int
	Completion CompletionRef
}

// TaskFailed has the store record a failed run; HandleCompletionStored then confirms it.
type TaskFailed struct {
	Job  string
	Task int
	// Run is the run's number: a successor that finds both the record and the completion counts
	// the failure once.
	Run        int64
	Completion CompletionRef
}

// TaskSaved has the store record the work that a task has saved.
type TaskSaved struct {
	Job   string
	Task  int
	Saved string
}

// JobEnded has the store record how a job ended; HandleJobEndStored then confirms it.
type JobEnded struct {
	Job   string
	State work.JobState
	Times Times
}

// CompletionRef names a completion at a target.
type CompletionRef struct {
	Target string
	Number int64
	// Restarts is how often the target had restarted under its ID, as this owner has seen it.
	Restarts int
}

func (StoreJob) effect()   {}
func (TaskDone) effect()   {}
func (TaskFailed) effect() {}
func (TaskSaved) effect()  {}
func (JobEnded) effect()   {}

// isDurable reports whether the job is stored before it is accepted, and then runs whether or not
// anybody waits for it.
func (j *job) isDurable() bool { return j.sub.Job.Durable }

// store has an admitted job stored before anything of it starts.
func (s *State) store(j *job) {
	s.startRecording()
	s.emit(StoreJob{Submission: j.sub})
}

// attachDurable answers a durable job that is handed in again.
func (s *State) attachDurable(j *job, sub Submission) {
	if j.stored {
		s.answer(sub, work.Outcome{Result: work.Accepted})
		return
	}
	s.answer(j.sub, work.Outcome{Result: work.Unknown, Reason: "the job was sent again"})
	delete(s.jobs, j.sub.Ref)
	j.sub.Ref = sub.Ref
	s.jobs[sub.Ref] = j
}

// HandleJobStored takes the result of storing a job. If here is set the job runs here, otherwise
// this owner forgets it.
func (s *State) HandleJobStored(now time.Duration, id string, outcome work.Outcome, here bool) {
	j := s.jobsByKey[id]
	if j == nil || j.stored {
		return
	}
	j.record(now, "stored", "", "", outcome.Result.String()+" "+outcome.Reason)
	s.answer(j.sub, outcome)
	if !here || s.leaving && !j.cancelled {
		s.drop(j)
		return
	}
	j.stored = true
	if j.cancelled {
		s.finish(now, j, cancelledOutcome)
		return
	}
	s.watchOccurrences(j)
	s.enqueue(j)
}

// HandleJobStoreUncertain says that it is not known whether the store has a job. The caller's
// answer is Unknown; the job itself waits for HandleJobStored.
func (s *State) HandleJobStoreUncertain(id string) {
	if j := s.jobsByKey[id]; j != nil && !j.stored {
		s.answer(j.sub, work.Outcome{Result: work.Unknown, Reason: "the store doesn't tell whether it has the job"})
	}
}

// CancelResult says what a cancellation does.
type CancelResult int

// The results of a cancellation.
const (
	// CancelUnknown means that the job isn't here.
	CancelUnknown CancelResult = iota
	// CancelPending means that the job is being stored, or given to another group. It ends here as soon as
	// that is over, unless it turns out to be elsewhere.
	CancelPending
	// CancelEnding means that the job has ended; JobEnded reports it.
	CancelEnding
	// CancelDone means that the job has ended, and that nothing is recorded of it, as it isn't durable.
	CancelDone
)

// CancelJob cancels a job for good.
func (s *State) CancelJob(now time.Duration, id string) CancelResult {
	j := s.jobsByKey[id]
	switch {
	case j == nil || j.sub.Part != nil:
		return CancelUnknown
	case !j.isDurable():
		s.finish(now, j, cancelledOutcome)
		return CancelDone
	case !j.stored || j.moving:
		j.cancelled = true
		j.record(now, "cancelled", "", "", "")
		return CancelPending
	}
	j.cancelled = true
	s.finish(now, j, cancelledOutcome)
	return CancelEnding
}

var cancelledOutcome = work.Outcome{Result: work.Failed, Reason: "cancelled"}

// HasStarted reports whether a task of a durable job is known to have started.
func (s *State) HasStarted(id string) bool {
	j := s.jobsByKey[id]
	return j != nil && j.hasStarted()
}

// PendingDurable counts the durable jobs of which nothing is known to have started, by queue.
func (s *State) PendingDurable() map[string]int32 {
	pending := map[string]int32{}
	for _, j := range s.jobs {
		if j.stored && !j.hasStarted() {
			pending[j.sub.Queue.Name]++
		}
	}
	return pending
}

// hasStarted reports whether a task of the job is known to have started. Runs that previous owners
// may have ordered don't count until something shows them; still the job can't be refused.
func (j *job) hasStarted() bool { return j.possibleStarts > j.assumedStarts || j.seenStarted }

// HandleCompletionStored says that the store has a completion: it may be acknowledged.
func (s *State) HandleCompletionStored(ref CompletionRef) {
	s.pendingWrites--
	if t := s.targets[ref.Target]; t != nil && t.incarnations == ref.Restarts {
		delete(t.unrecorded, ref.Number)
		s.markChanged(t)
	}
}

// HandleJobEndStored says that the store has the end of a job, and with it the completions of all
// its runs.
func (s *State) HandleJobEndStored(job string) {
	s.pendingWrites--
	waiting := s.lateCompletions[job]
	delete(s.lateCompletions, job)
	for _, ref := range waiting {
		s.HandleCompletionStored(ref)
	}
}

// recordCompletion has the store record the completion of a durable job's run before it is
// acknowledged.
func (s *State) recordCompletion(t *target, r *run, number int64, failed bool) {
	j := r.task.job
	if !j.isDurable() {
		return
	}
	waiting, ending := s.lateCompletions[j.sub.Job.ID]
	if j.ended && !ending && !j.dropped {
		return
	}
	t.unrecorded[number] = true
	if j.dropped {
		// The owner that continues the job is to record it.
		return
	}
	s.pendingWrites++
	ref := t.completionRef(number)
	if ending {
		s.lateCompletions[j.sub.Job.ID] = append(waiting, ref)
		return
	}
	if failed {
		s.emit(TaskFailed{Job: j.sub.Job.ID, Task: r.task.index, Run: r.Number, Completion: ref})
		return
	}
	s.emit(TaskDone{Job: j.sub.Job.ID, Task: r.task.index, Completion: ref})
}

// acknowledgeable returns the newest completion that may be acknowledged together with all
// before it.
func (t *target) acknowledgeable() int64 {
	newest := t.lastCompletion
	for number := range t.unrecorded {
		newest = min(newest, number-1)
	}
	return newest
}

// unrecordedPollInterval is the least time between two polls of a target with completions that the
// store doesn't have yet: the target lists them again at once.
const unrecordedPollInterval = 20 * time.Millisecond

// endDurable has the store record the end of a durable job. Its caller was answered when the job
// was stored.
func (s *State) endDurable(now time.Duration, j *job, outcome work.Outcome) {
	state := work.StateFailed
	switch {
	case j.cancelled:
		state = work.StateCancelled
	case outcome.Result == work.Completed:
		state = work.StateCompleted
	}
	s.pendingWrites++
	s.lateCompletions[j.sub.Job.ID] = nil
	s.emit(JobEnded{Job: j.sub.Job.ID, State: state, Times: j.times(now)})
}

// drop forgets a job without answering it: it isn't stored, or another owner continues it and its
// runs.
func (s *State) drop(j *job) {
	j.ended, j.dropped = true, true
	s.noteWaiting(j)
	delete(s.jobs, j.sub.Ref)
	s.release(j)
	delete(s.recurringJobs, j)
	s.unreserveJob(j)
}

// handOver leaves a durable job to another owner.
func (s *State) handOver(j *job) {
	if j.stored {
		s.drop(j)
	}
}
