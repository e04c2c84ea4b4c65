package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// handleCompletion takes a completion that a target reports.
func (s *State) handleCompletion(now time.Duration, t *target, end work.Completion) {
	r := t.runs[end.Run.Task]
	if r == nil || r.RunID != end.Run {
		s.noteLateCompletion(now, t, end)
		s.handleUnknownCompletion(now, t, end)
		return
	}
	r.endListed = true
	if end.SavedState != "" {
		r.saved = end.SavedState
	}
	switch {
	case r.task.step.Lasting:
		s.clearSurvivor(now, r, end.Kind)
		s.loseRun(now, r, "it ended: "+string(end.Kind))
	case end.Kind == work.CompletionDone:
		s.recordCompletion(t, r, end.Number, false)
		s.completeRun(now, t, r)
	case end.Kind == work.CompletionFailed:
		s.recordCompletion(t, r, end.Number, true)
		s.failRun(now, t, r)
	default:
		s.loseRun(now, r, string(end.Kind))
	}
}

// completeRun takes the completion of a run that did its task's work.
func (s *State) completeRun(now time.Duration, t *target, r *run) {
	s.releaseRun(r)
	s.recordSuccess(now, t, r)
	j := r.task.job
	if j.ended || r.task.done {
		s.noteEndAfterJob(now, r, string(work.CompletionDone))
		return
	}
	j.recordRun(now, "done", r, "")
	j.markDone(r.task)
	switch {
	case j.openTasks == 0:
		s.finish(now, j, work.Outcome{Result: work.Completed})
	case r.task.step.openTasks == 0:
		s.enqueue(j)
	}
}

// failRun takes the completion of a run that failed. It fails the job once the task has failed as
// often as its queue allows, and otherwise has the task run again.
func (s *State) failRun(now time.Duration, t *target, r *run) {
	j := r.task.job
	s.releaseRun(r)
	s.emit(LogEvent{Message: "run failed", Job: j.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered, Run: r.facts(now)})
	j.recordRun(now, "failed", r, "")
	s.recordFailedRun(now, t, j)
	if j.ended || r.task.done {
		s.noteEndAfterJob(now, r, string(work.CompletionFailed))
		return
	}
	j.hasRerun = true
	s.recordSaved(r.task, r.Number, r.saved)
	r.task.countFailure(r.Number)
	r.task.failedAt = now
	if r.task.step.failedRuns(r.task) >= j.sub.Queue.MaxAttempts {
		s.finish(now, j, work.Outcome{Result: work.Failed, Reason: "a task failed as often as its queue allows"})
		return
	}
	s.requeue(now, r)
}
