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
// Each task is excused like that only once.
//
// A silent target may only be cut off. Its loss counts as provisional until the target answers in
// the same incarnation, and confirms nothing before that incarnation has certainly ended.

// Parameters of losses and poison tasks.
const (
	// lossesToFail is how many targets must have been lost under a task, the last of them while
	// the task ran isolated, for its job to fail.
	crashesToFail = 2
	// maxLosses is how many targets must have been lost under a task for its job to fail even if
	// the task did not run isolated. A correlated loss is not among them.
	mostCrashes = 3
	// correlationWindow is how far apart the losses of targets that have one cause show: idle
	// targets are polled only when they are used.
	fallWindow = 2 * time.Second
	// correlatedTargets is how many other targets of a rack, or of a service if they are at least
	// correlatedShare of its targets, must be lost at the same time for a loss to be correlated.
	fallenNeighbours = 2
	massShare        = 0.1
	// isolationShare is the share of a service's targets, but at least one target, that may run
	// isolated suspects at the same time.
	trialShare = 0.25
	// lossTimeout is how long the loss of a silent target may still be confirmed: by then the
	// registry has dropped the entry of a target that is gone.
	fallPatience = 6 * time.Second
	// lossRetention is how long tasks and jobs are remembered beyond their job's end, in case
	// they are handed in again. maxRemembered bounds how many.
	crashMemory   = time.Minute
	maxRemembered = 4096
)

// targetLoss is the loss of a target under a task.
type fall struct {
	Crash
	// at is when the loss was noticed; after is how long the run had been in progress by then.
	at, after time.Duration
	// confirmed says that the incarnation has certainly ended, cleared that it goes on.
	over, cleared bool
	task          *task
}

// Crash names the incarnation of a target that was lost under a task. Life is 0 if the target
// doesn't report its incarnation.
type Crash struct {
	Target string
	Life   int64
	// Excused marks a correlated loss. Alone says that the task ran isolated there, and was known
	// to have started.
	Excused, Alone bool
}

// targetLossEvent is a target that fell silent or whose incarnation ended.
type lifeEnd struct {
	target, rack string
	pool         *pool
	at           time.Duration
	// jobs are those that ran there. hadSuspect says that a suspect ran there isolated.
	jobs  map[string]bool
	trial bool
}

// lossTracker holds what is known of targets that were lost under tasks.
type crashes struct {
	ends []lifeEnd
	// unresolved holds the losses by target, as long as they may be confirmed or cleared.
	at map[string][]*fall
	// endedTasks holds tasks of callers' jobs that have ended, by task name. poisoned holds why
	// jobs failed as poisoned, by job key.
	past      map[string]pastTask
	condemned map[string]condemned
}

// endedTask is a task and when its job ended.
type pastTask struct {
	task *task
	at   time.Duration
}

// poisonedJob is why a job failed as poisoned, and when.
type condemned struct {
	reason string
	at     time.Duration
}

func newCrashes() crashes {
	return crashes{at: map[string][]*fall{}, past: map[string]pastTask{}, condemned: map[string]condemned{}}
}

// TaskCrashed has the store record a target that was lost under a task.
type TaskCrashed struct {
	Job  string
	Task int
	Crash
}

func (TaskCrashed) effect() {}

// currentLosses returns the task's losses that were not cleared.
func (t *task) fallen() []*fall {
	t.falls = slices.DeleteFunc(t.falls, func(loss *fall) bool { return loss.cleared })
	return t.falls
}

// isSuspect reports whether a target was lost under the task, and the loss was not cleared.
func (t *task) suspect() bool { return len(t.falls) > 0 && len(t.fallen()) > 0 }

// hasUnresolvedLoss reports whether a task with lossesToFail losses has to wait until all of them
// are confirmed or cleared.
func (t *task) unsettled() bool {
	losses := t.fallen()
	return len(losses) >= crashesToFail && slices.ContainsFunc(losses, func(loss *fall) bool { return !loss.over })
}

// recordTargetLoss remembers what ran on a target that fell silent or whose incarnation ended.
func (s *State) fallsSilent(now time.Duration, t *target) {
	if t.presumedLost {
		return
	}
	t.presumedLost = true
	end := lifeEnd{target: t.ID, rack: t.Rack, pool: t.pool, at: now, jobs: map[string]bool{}, trial: t.isolated != nil}
	for _, r := range t.runs {
		end.jobs[r.task.job.sub.Job.ID] = true
	}
	s.crashes.ends = append(s.crashes.ends, end)
}

// clearTargetLoss clears the losses of a silent target that answers again in the same incarnation.
func (s *State) answersAgain(t *target) {
	if !t.presumedLost {
		return
	}
	t.presumedLost = false
	s.crashes.ends = slices.DeleteFunc(s.crashes.ends, func(e lifeEnd) bool { return e.target == t.ID })
	for _, loss := range s.crashes.at[t.ID] {
		loss.cleared = true
		s.wait(loss.task.job)
	}
	delete(s.crashes.at, t.ID)
}

// endIncarnation confirms the losses of a target whose incarnation has certainly ended, and
// records one for each task that still runs there.
func (s *State) lifeOver(now time.Duration, t *target) {
	s.fallsSilent(now, t)
	for _, r := range t.sortedRuns() {
		s.fallsUnder(now, r)
	}
	t.presumedLost = false
	s.settleFalls(now, t.ID)
}

// confirmLosses marks a target's losses as confirmed and fails the jobs that are poisoned by them.
func (s *State) settleFalls(now time.Duration, target string) {
	losses := s.crashes.at[target]
	delete(s.crashes.at, target)
	for _, loss := range losses {
		loss.over = true
	}
	for _, loss := range losses {
		s.condemn(now, loss.task)
	}
}

// recordTaskLoss records the loss of a run's target against the run's task, or as the task's one
// correlated loss. The loss of a draining target doesn't count.
func (s *State) fallsUnder(now time.Duration, r *run) {
	t, tk := r.target, r.task
	if tk.complete || tk.job.dropped || s.leaving || t.Draining || !t.presumedLost {
		return
	}
	if tk.excused == 0 && s.manyFell(t, tk.job) {
		tk.excused++
		tk.job.mark(now, "target lost with others", tk.name, t.ID, "")
		s.noteCrash(tk, Crash{Target: t.ID, Life: t.Incarnation, Excused: true})
		s.rememberTask(now, tk)
		return
	}
	loss := &fall{Crash: Crash{Target: t.ID, Life: t.Incarnation, Alone: r.isolated && r.state == running}, at: now, after: now - r.ordered, task: tk}
	tk.step.suspected = true
	tk.falls = append(tk.fallen(), loss)
	s.crashes.at[t.ID] = append(s.crashes.at[t.ID], loss)
	tk.job.mark(now, "target lost under it", tk.name, t.ID, fmt.Sprintf("%d losses in total", len(tk.falls)))
	s.emit(LogEvent{Message: "target lost under a task", Job: tk.job.sub.Job.ID, Task: tk.name, Target: t.ID, Detail: fmt.Sprintf("%d losses in total", len(tk.falls))})
	s.noteCrash(tk, loss.Crash)
	s.rememberTask(now, tk)
}

// storeLoss has the store record a loss of a durable job's task, so that a successor knows it.
func (s *State) noteCrash(tk *task, c Crash) {
	if tk.job.stored && !tk.job.ended {
		s.emit(TaskCrashed{Job: tk.job.sub.Job.ID, Task: tk.place, Crash: c})
	}
}

// isCorrelated reports whether enough other targets of the same rack or service were lost at about
// the same time as t. Targets on which the same job or an isolated suspect ran don't count.
func (s *State) manyFell(t *target, j *job) bool {
	at := time.Duration(0)
	for _, e := range s.crashes.ends {
		if e.target == t.ID {
			at = e.at
		}
	}
	rack, all := 0, 0
	for _, e := range s.crashes.ends {
		if e.target == t.ID || e.pool != t.pool || e.trial || e.jobs[j.sub.Job.ID] || (e.at-at).Abs() > fallWindow {
			continue
		}
		all++
		if e.rack != "" && e.rack == t.Rack {
			rack++
		}
	}
	return rack >= fallenNeighbours || all >= fallenNeighbours && float64(all) >= massShare*float64(len(t.pool.targets))
}

// failIfPoisoned fails the job of a task that has crashed as many targets as it may.
func (s *State) condemn(now time.Duration, tk *task) {
	losses := tk.fallen()
	if tk.job.ended || len(losses) < crashesToFail || tk.unsettled() {
		return
	}
	if !losses[len(losses)-1].Alone && len(losses) < mostCrashes {
		return
	}
	targets := make([]string, len(losses))
	for i, loss := range losses {
		targets[i] = loss.Target
	}
	reason := fmt.Sprintf("task %s crashed the targets that ran it (%s): it is not started again", tk.name, strings.Join(targets, ", "))
	if len(s.crashes.condemned) < maxRemembered {
		s.crashes.condemned[tk.job.sub.key()] = condemned{reason: reason, at: now}
	}
	s.emit(LogEvent{Failure: true, Message: "task crashes targets", Job: tk.job.sub.Job.ID, Task: tk.name, Detail: strings.Join(targets, ", ")})
	s.finish(now, tk.job, work.Outcome{Result: work.Failed, Reason: reason})
}

// poisonedReason returns why a job that failed as poisoned is not accepted again.
func (s *State) condemnedJob(sub Submission) (reason string, is bool) {
	poisoned, is := s.crashes.condemned[sub.key()]
	return poisoned.reason, is
}

// releaseSuspects frees the targets that are reserved for suspects of a job that has ended, and
// remembers the losses of its tasks.
func (s *State) leaveSuspects(now time.Duration, j *job) {
	for _, tk := range j.tasks {
		s.letRoom(tk)
		s.rememberTask(now, tk)
	}
}

// rememberLosses keeps the losses of a task whose job has ended without it being done.
func (s *State) rememberTask(now time.Duration, tk *task) {
	if tk.job.ended && !tk.complete && !tk.job.kept() && (tk.excused > 0 || tk.suspect()) && len(s.crashes.past) < maxRemembered {
		s.crashes.past[tk.name] = pastTask{task: tk, at: now}
	}
}

// restoreLosses gives the tasks of a job that is handed in again the losses they had before.
func (s *State) recallFalls(now time.Duration, j *job) {
	if len(s.crashes.past) == 0 {
		return
	}
	for _, tk := range j.tasks {
		past, known := s.crashes.past[tk.name]
		if !known {
			continue
		}
		delete(s.crashes.past, tk.name)
		tk.falls, tk.excused, tk.step.suspected = past.task.falls, past.task.excused, true
		for _, loss := range tk.falls {
			loss.task = tk
		}
	}
	for _, tk := range j.tasks {
		s.condemn(now, tk)
	}
}

// restoreStoredLosses restores the losses of a previous owner's task from the store. Whether the
// targets' incarnations have ended is still to be found out.
func (s *State) recallCrashed(now time.Duration, tk *task, targets []Crash) {
	for _, c := range targets {
		if c.Excused {
			tk.excused++
			continue
		}
		loss := &fall{Crash: c, at: now, task: tk}
		tk.falls, tk.step.suspected = append(tk.falls, loss), true
		s.crashes.at[c.Target] = append(s.crashes.at[c.Target], loss)
	}
}

// tickLosses confirms or clears losses by time, and forgets old ones.
func (s *State) tickCrashes(now time.Duration) {
	c := &s.crashes
	c.ends = slices.DeleteFunc(c.ends, func(e lifeEnd) bool { return now-e.at > fallWindow+fallPatience })
	for _, target := range slices.Sorted(maps.Keys(c.at)) {
		t := s.targets[target]
		switch {
		case t == nil && s.registryRead, t != nil && c.at[target][0].Life < t.Incarnation:
			s.settleFalls(now, target)
		case t != nil && now-c.at[target][0].at > fallPatience:
			// The registry still lists the target, so its incarnation goes on.
			for _, loss := range c.at[target] {
				loss.cleared = true
				s.wait(loss.task.job)
			}
			delete(c.at, target)
		}
	}
	for name, past := range c.past {
		if now-past.at > crashMemory {
			delete(c.past, name)
		}
	}
	for job, past := range c.condemned {
		if now-past.at > crashMemory {
			delete(c.condemned, job)
		}
	}
}
