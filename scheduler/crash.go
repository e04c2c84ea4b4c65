package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A task may crash every target that starts it. Evidence for that is a target that was lost while
// the task ran on it and its neighbours were not. Other tasks that ran there may not be the cause.
// So a task under which a target was lost runs isolated on the next one. A completion there clears
// it; a second lost target confirms that it crashes targets. Where a rack or many targets are lost
// at the same time, the loss is correlated and does not count against the tasks that ran there.
// Only one loss of each task is left out like this.
//
// A silent target may only be cut off. Its loss counts as provisional until the target answers in
// the same incarnation, and confirms nothing before that incarnation has certainly ended. The
// registry drops a target that is cut off from it as well, so for durable jobs a target that is only
// silent and not listed counts as gone after absenceTimeout. The store has a loss as provisional too,
// until it is confirmed there or removed: a successor that can't find out what became of the target
// keeps the task isolated, but fails no job for it.

// Parameters of losses and poison tasks.
const (
	// lossesToFail is how many targets must have been lost under a task that was known to run there,
	// the last of them while it ran isolated, for its job to fail. A target that is lost before it
	// answers a start may have been gone before.
	lossesToFail = 2
	// maxLosses is how many targets must have been lost under a task for its job to fail even if
	// the task did not run isolated, or was not known to run. A correlated loss is not among them.
	maxLosses = 3
	// correlationWindow is how far apart the losses of targets that have one cause show: idle
	// targets are polled only when they are used.
	correlationWindow = 2 * time.Second
	// correlatedTargets is how many other targets of a rack, or of a service if they are at least
	// correlatedShare of its targets, must be lost at the same time for a loss to be correlated.
	correlatedTargets = 2
	correlatedShare   = 0.1
	// isolationShare is the share of a service's targets, but at least one target, that may run
	// isolated suspects at the same time.
	isolationShare = 0.25
	// lossTimeout is how long the loss of a silent target may still be confirmed: by then the
	// registry has dropped the entry of a target that is gone.
	lossTimeout = 6 * time.Second
	// absenceTimeout is how long a target that is silent and not listed may yet return: it outlasts a
	// partition after which a target still has its runs.
	absenceTimeout = 20 * time.Second
	// lossRetention is how long tasks and jobs are remembered beyond their job's end, in case
	// they are handed in again. maxRemembered bounds how many.
	lossRetention = time.Minute
	maxRemembered = 4096
)

// targetLoss is the loss of a target under a task.
type targetLoss struct {
	Crash
	// at is when the loss was noticed; after is how long the run had been in progress by then.
	at, after time.Duration
	// cleared says that the incarnation goes on, undecided that it can't be found out: the target has
	// been gone since before this owner began.
	cleared, undecided bool
	// absentSince is when the target was given up although nothing shows that its incarnation has
	// ended; 0 if it wasn't.
	absentSince time.Duration
	task        *task
}

// Crash names the incarnation of a target that was lost under a task. Incarnation is 0 if the
// target doesn't report it.
type Crash struct {
	Target      string
	Incarnation int64
	// Correlated marks a correlated loss. Isolated says that the task ran isolated there, and was
	// known to have started.
	Correlated, Isolated bool
	// Begun says that the run was known to have started, Confirmed that the incarnation has certainly
	// ended.
	Begun, Confirmed bool
}

// isSame reports whether two records are of the loss of the same incarnation.
func (c Crash) isSame(other Crash) bool {
	return c.Target == other.Target && c.Incarnation == other.Incarnation
}

// targetLossEvent is a target that fell silent or whose incarnation ended.
type targetLossEvent struct {
	target, rack string
	pool         *pool
	at           time.Duration
	// jobs are those that ran there. hadSuspect says that a suspect ran there isolated.
	jobs       map[string]bool
	hadSuspect bool
}

// lossTracker holds what is known of targets that were lost under tasks.
type lossTracker struct {
	events []targetLossEvent
	// unresolved holds the losses by target, as long as they may be confirmed or cleared.
	unresolved map[string][]*targetLoss
	// confirmed holds the confirmed losses by target, as long as the jobs go on: a target that was
	// given up may return.
	confirmed map[string][]*targetLoss
	// awaitingClaim holds the tasks whose jobs fail once the claim is confirmed.
	awaitingClaim []*task
	// endedTasks holds tasks of callers' jobs that have ended, by task name. poisoned holds why
	// jobs failed as poisoned, by job key.
	endedTasks map[string]endedTask
	poisoned   map[string]poisonedJob
}

// endedTask is a task and when its job ended.
type endedTask struct {
	task *task
	at   time.Duration
}

// poisonedJob is why a job failed as poisoned, and when.
type poisonedJob struct {
	reason string
	at     time.Duration
}

func newLossTracker() lossTracker {
	return lossTracker{unresolved: map[string][]*targetLoss{}, confirmed: map[string][]*targetLoss{}, endedTasks: map[string]endedTask{}, poisoned: map[string]poisonedJob{}}
}

// TaskCrashed has the store record a target that was lost under a task, in place of an earlier
// record of the same loss.
type TaskCrashed struct {
	Job  string
	Task int
	Crash
}

// TaskCleared has the store remove the record of a loss that doesn't count against its task.
type TaskCleared struct {
	Job  string
	Task int
	Crash
}

func (TaskCrashed) effect() {}
func (TaskCleared) effect() {}

// currentLosses returns the task's losses that were not cleared.
func (t *task) currentLosses() []*targetLoss {
	t.losses = slices.DeleteFunc(t.losses, func(loss *targetLoss) bool { return loss.cleared })
	return t.losses
}

// isSuspect reports whether a target was lost under the task, and the loss was not cleared.
func (t *task) isSuspect() bool { return len(t.losses) > 0 && len(t.currentLosses()) > 0 }

// recordTargetLoss remembers what ran on a target that fell silent or whose incarnation ended.
func (s *State) recordTargetLoss(now time.Duration, t *target) {
	if t.presumedLost {
		return
	}
	t.presumedLost = true
	event := targetLossEvent{target: t.ID, rack: t.Rack, pool: t.pool, at: now, jobs: map[string]bool{}, hadSuspect: t.isolated != nil}
	for _, r := range t.runs {
		event.jobs[r.task.job.sub.Job.ID] = true
	}
	s.crashes.events = append(s.crashes.events, event)
}

// endIncarnation confirms the losses of a target whose incarnation has certainly ended, and
// records one for each task that still runs there. A draining target was still up after it had been
// silent, and ends as planned.
func (s *State) endIncarnation(now time.Duration, t *target) {
	s.settle(now, t.ID, "its incarnation has ended")
	if t.Draining {
		s.clearUnresolved(t.ID)
	}
	s.recordTargetLoss(now, t)
	for _, r := range t.sortedRuns() {
		s.recordTaskLossAs(now, r, true)
	}
	t.presumedLost = false
	s.confirmLosses(now, t.ID)
}

// recordTaskLoss records the loss of a run's target that may yet answer again.
func (s *State) recordTaskLoss(now time.Duration, r *run) { s.recordTaskLossAs(now, r, false) }

// recordTaskLossAs records the loss of a run's target against the run's task, or as the task's one
// correlated loss. The loss of a draining target doesn't count. A run that either of two incarnations
// may have started was in one of them at most, so it counts one loss however often its target
// restarts.
func (s *State) recordTaskLossAs(now time.Duration, r *run, confirmed bool) {
	t, tk := r.target, r.task
	if tk.done || tk.job.dropped || s.leaving || t.Draining || !t.presumedLost || r.loss != nil && !r.loss.cleared {
		return
	}
	if tk.correlatedLosses == 0 && s.isCorrelated(t, tk.job) {
		tk.correlatedLosses++
		r.loss = &targetLoss{task: tk}
		tk.job.record(now, "target lost with others", tk.name, t.ID, "")
		s.storeLoss(tk, Crash{Target: t.ID, Incarnation: t.Incarnation, Correlated: true})
		s.rememberLosses(now, tk)
		return
	}
	loss := &targetLoss{Crash: Crash{Target: t.ID, Incarnation: t.Incarnation, Isolated: r.isolated && !r.sharing && r.state == running, Begun: r.state == running, Confirmed: confirmed}, at: now, after: now - r.ordered, task: tk}
	r.loss, tk.step.hasSuspects = loss, true
	tk.losses = append(tk.currentLosses(), loss)
	s.crashes.unresolved[t.ID] = append(s.crashes.unresolved[t.ID], loss)
	tk.job.record(now, "target lost under it", tk.name, t.ID, fmt.Sprintf("%d losses in total", len(tk.losses)))
	s.emit(LogEvent{Message: "target lost under a task", Job: tk.job.sub.Job.ID, Task: tk.name, Target: t.ID, Detail: fmt.Sprintf("%d losses in total", len(tk.losses))})
	s.storeLoss(tk, loss.Crash)
	s.rememberLosses(now, tk)
}

// storeLoss has the store record a loss of a durable job's task, so that a successor knows it.
func (s *State) storeLoss(tk *task, c Crash) {
	if tk.job.stored && !tk.job.ended {
		s.emit(TaskCrashed{Job: tk.job.sub.Job.ID, Task: tk.index, Crash: c})
	}
}

// isCorrelated reports whether enough other targets of the same rack or service were lost at about
// the same time as t. Targets on which the same job or an isolated suspect ran don't count.
func (s *State) isCorrelated(t *target, j *job) bool {
	at := time.Duration(0)
	for _, e := range s.crashes.events {
		if e.target == t.ID {
			at = e.at
		}
	}
	rack, all := 0, 0
	for _, e := range s.crashes.events {
		if e.target == t.ID || e.pool != t.pool || e.hadSuspect || e.jobs[j.sub.Job.ID] || (e.at-at).Abs() > correlationWindow {
			continue
		}
		all++
		if e.rack != "" && e.rack == t.Rack {
			rack++
		}
	}
	return rack >= correlatedTargets || all >= correlatedTargets && float64(all) >= correlatedShare*float64(len(t.pool.targets))
}

// isPoison reports whether a task has crashed as many targets as it may.
func (t *task) isPoison() bool {
	losses := t.confirmedLosses()
	if len(losses) < lossesToFail || t.hasUnresolvedLoss() {
		return false
	}
	begun := 0
	for _, loss := range losses {
		begun += boolToInt(loss.Begun)
	}
	return len(losses) >= maxLosses || begun >= lossesToFail && losses[len(losses)-1].Isolated
}

// hadClaimAt reports whether the targets are known to have been this owner's at a time: a successor
// that this owner doesn't know of may have run other tasks there.
func (s *State) hadClaimAt(at time.Duration) bool {
	return !s.options.ConfirmClaims || s.claimConfirmedAt >= at
}

// retryVerdicts fails the jobs of poison tasks whose verdict waited for the claim.
func (s *State) retryVerdicts(now time.Duration) {
	waiting := s.crashes.awaitingClaim
	s.crashes.awaitingClaim = nil
	for _, tk := range waiting {
		s.failIfPoisoned(now, tk)
	}
}

// failIfPoisoned fails the job of a task that has crashed as many targets as it may. The task isn't
// started again while that waits for the claim.
func (s *State) failIfPoisoned(now time.Duration, tk *task) {
	if tk.job.ended || tk.job.moving || !tk.isPoison() {
		return
	}
	losses := tk.confirmedLosses()
	if !s.hadClaimAt(losses[len(losses)-1].at) {
		if !slices.Contains(s.crashes.awaitingClaim, tk) {
			s.crashes.awaitingClaim = append(s.crashes.awaitingClaim, tk)
		}
		s.askForClaim(now)
		return
	}
	targets := make([]string, len(losses))
	for i, loss := range losses {
		targets[i] = loss.Target
	}
	reason := fmt.Sprintf("task %s crashed the targets that ran it (%s): it is not started again", tk.name, strings.Join(targets, ", "))
	if len(s.crashes.poisoned) < maxRemembered {
		s.crashes.poisoned[tk.job.sub.key()] = poisonedJob{reason: reason, at: now}
	}
	s.emit(LogEvent{Failure: true, Message: "task crashes targets", Job: tk.job.sub.Job.ID, Task: tk.name, Detail: strings.Join(targets, ", ")})
	s.finish(now, tk.job, work.Outcome{Result: work.Failed, Reason: reason})
}

// poisonedReason returns why a job that failed as poisoned is not accepted again.
func (s *State) poisonedReason(sub Submission) (reason string, is bool) {
	poisoned, is := s.crashes.poisoned[sub.key()]
	return poisoned.reason, is
}

// releaseSuspects frees the targets that are reserved for suspects of a job that has ended, and
// remembers the losses of its tasks.
func (s *State) releaseSuspects(now time.Duration, j *job) {
	for _, tk := range j.tasks {
		s.unreserveForSuspect(tk)
		s.rememberLosses(now, tk)
	}
}

// rememberLosses keeps the losses of a task whose job has ended without it being done.
func (s *State) rememberLosses(now time.Duration, tk *task) {
	if tk.job.ended && !tk.done && !tk.job.isDurable() && (tk.correlatedLosses > 0 || tk.isSuspect()) && len(s.crashes.endedTasks) < maxRemembered {
		s.crashes.endedTasks[tk.name] = endedTask{task: tk, at: now}
	}
}

// restoreLosses gives the tasks of a job that is handed in again the losses they had before.
func (s *State) restoreLosses(now time.Duration, j *job) {
	if len(s.crashes.endedTasks) == 0 {
		return
	}
	for _, tk := range j.tasks {
		past, known := s.crashes.endedTasks[tk.name]
		if !known {
			continue
		}
		delete(s.crashes.endedTasks, tk.name)
		tk.losses, tk.correlatedLosses, tk.step.hasSuspects = past.task.losses, past.task.correlatedLosses, true
		for _, loss := range tk.losses {
			loss.task = tk
		}
	}
	for _, tk := range j.tasks {
		s.failIfPoisoned(now, tk)
	}
}

// restoreStoredLosses restores the losses of a previous owner's task from the store. Whether the
// targets' incarnations have ended is still to be found out where that owner had not.
func (s *State) restoreStoredLosses(now time.Duration, tk *task, targets []Crash) {
	for _, c := range targets {
		if c.Correlated {
			tk.correlatedLosses++
			continue
		}
		loss := &targetLoss{Crash: c, at: now, task: tk}
		tk.losses, tk.step.hasSuspects = append(tk.losses, loss), true
		if c.Confirmed {
			s.crashes.confirmed[c.Target] = append(s.crashes.confirmed[c.Target], loss)
		} else {
			s.crashes.unresolved[c.Target] = append(s.crashes.unresolved[c.Target], loss)
		}
	}
	if tk.isPoison() {
		// retryVerdicts ends the job.
		s.crashes.awaitingClaim = append(s.crashes.awaitingClaim, tk)
	}
}

// tickLosses confirms or clears losses by time, and forgets old ones.
func (s *State) tickLosses(now time.Duration) {
	s.retryVerdicts(now)
	c := &s.crashes
	c.events = slices.DeleteFunc(c.events, func(e targetLossEvent) bool { return now-e.at > correlationWindow+lossTimeout })
	for _, target := range slices.Sorted(maps.Keys(c.unresolved)) {
		t, first := s.targets[target], c.unresolved[target][0]
		overdue := now-first.at > lossTimeout
		switch {
		case t != nil && first.Incarnation < t.Incarnation:
			s.confirmLosses(now, target)
		case t != nil && overdue:
			// The registry still lists the target, so its incarnation goes on.
			s.clearUnresolved(target)
		case t == nil && first.absentSince > 0:
			if now-first.absentSince > absenceTimeout {
				s.confirmLosses(now, target)
			}
		case t == nil && s.registryRead && overdue:
			s.leaveUndecided(target)
		}
	}
	maps.DeleteFunc(c.confirmed, func(_ string, losses []*targetLoss) bool {
		return !slices.ContainsFunc(losses, func(loss *targetLoss) bool { return !loss.cleared && !loss.task.done && !loss.task.job.ended })
	})
	for name, past := range c.endedTasks {
		if now-past.at > lossRetention {
			delete(c.endedTasks, name)
		}
	}
	for job, past := range c.poisoned {
		if now-past.at > lossRetention {
			delete(c.poisoned, job)
		}
	}
}
