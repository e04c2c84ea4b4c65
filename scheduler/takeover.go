package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A successor continues the runs of durable jobs: the targets list the runs, and the store has
// the jobs. Until the jobs have been read, such runs are inherited runs. A target with inherited
// runs takes nothing new, because their share of its capacity is not known. All other runs are
// stopped.

// Progress is how far a job has come under previous owners. Tasks are named by their index in
// the job.
type Progress struct {
	// Done lists the tasks that are done.
	Done []int
	// Fails counts the failed runs of tasks. LastFailed holds the number of the last one.
	Fails      map[int]int
	LastFailed map[int]int64
	// Saved is the work that tasks have saved.
	Saved map[int]string
	// Crashed names the targets that were lost under tasks.
	Crashed map[int][]Crash
}

// inheritedRun is a run of a durable job that a previous owner ordered and whose job hasn't been
// read yet.
type inheritedRun struct {
	since time.Duration
	saved string
}

// Times of a takeover.
const (
	// inheritedRunTimeout bounds how long an inherited run keeps its target from other work
	// while its job can't be read because the store is away.
	inheritedRunTimeout = time.Second
	// handoverLease is for how long a leaving owner extends the leases of durable jobs' runs
	// that it leaves to its successor, which counts with it in predecessorLeaseTime.
	handoverLease = time.Second
)

// TargetsFenced reports whether every known target obeys this owner and runs nothing of previous
// owners but inherited runs.
func (s *State) TargetsFenced() bool {
	if !s.HasAdoptedTargets() || len(s.succession.unsettled) > 0 {
		return false
	}
	for _, t := range s.targets {
		if !t.fenced || t.state == adopting && len(t.unknownRuns) > 0 {
			return false
		}
	}
	return true
}

// continueListedRun takes a run of a previous owner that a target lists, and reports whether it
// may continue. From its first answer under this owner's token on a target starts no run of previous
// owners: one that it lists later for the first time is a successor's, which this owner doesn't know
// of, and whose lease it can't judge.
func (s *State) continueListedRun(now time.Duration, t *target, listed work.RunningRun) bool {
	if !isDurableRun(listed.Run) || t.unknownRuns[listed.Run] != nil || s.leaving {
		return false
	}
	if s.allResumed {
		tk := s.pendingTask(listed.Run.Task)
		if tk == nil || tk.step.Gang || t.fencedAt != now {
			return false
		}
		s.continueRun(now, t, tk, listed)
		return true
	}
	g, known := t.inheritedRuns[listed.Run]
	if !known {
		g.since = now
	}
	if now-g.since > inheritedRunTimeout {
		delete(t.inheritedRuns, listed.Run)
		return false
	}
	g.saved = listed.SavedState
	t.inheritedRuns[listed.Run] = g
	return true
}

// wasResumed reports whether the job was taken over from a previous owner.
func (j *job) wasResumed() bool { return j.assumedStarts > 0 }

// lapsedListTimeout is after how long without an answer a target holds up no job that was taken over:
// its leases have expired, so what ended there may run again.
const lapsedListTimeout = 2500 * time.Millisecond

// awaitWholeList counts a target among those that may have more completions than they have listed,
// or takes it out.
func (s *State) awaitWholeList(t *target, await bool) {
	switch {
	case await && !t.awaited:
		s.partialLists++
		s.emit(LogEvent{Message: "target has more completions than it lists", Target: t.ID})
	case !await && t.awaited:
		s.partialLists--
	}
	t.awaited = await
}

// pendingTask returns the task with this name if its job is stored and it waits for a target; nil
// otherwise.
func (s *State) pendingTask(name string) *task {
	id, _, _ := strings.Cut(name, ".")
	j := s.jobsByKey[id]
	if j == nil || !j.stored {
		return nil
	}
	at := slices.IndexFunc(j.tasks, func(t *task) bool { return t.name == name })
	if at < 0 || !slices.Contains(j.tasks[at].step.pending, j.tasks[at]) {
		return nil
	}
	return j.tasks[at]
}

// continueRun assigns a run that a previous owner ordered to its task.
func (s *State) continueRun(now time.Duration, t *target, tk *task, listed work.RunningRun) {
	st := tk.step
	st.pending = slices.DeleteFunc(st.pending, func(other *task) bool { return other == tk })
	s.noteWaiting(tk.job)
	s.emit(LogEvent{Message: "run goes on", Job: tk.job.sub.Job.ID, Task: tk.name, Target: t.ID})
	tk.job.record(now, "goes on", tk.name, t.ID, "")
	tk.job.seenStarted = true
	s.assignRun(t, &run{
		RunID: listed.Run, task: tk, target: t, state: running, ordered: now, runningSince: now, leaseUntil: t.lease.until,
		expected: st.expectedRuntime, saved: listed.SavedState, adopted: true, listed: true,
	})
}

// ResumeJob takes a stored job over from a previous owner.
func (s *State) ResumeJob(now time.Duration, sub Submission, progress Progress) {
	if s.jobsByKey[sub.Job.ID] != nil {
		return
	}
	j := s.newJob(now, sub)
	j.stored = true
	j.record(now, "resumed", "", "", fmt.Sprintf("%d tasks done, failures %v up to runs %v", len(progress.Done), progress.Fails, progress.LastFailed))
	s.jobs[sub.Ref] = j
	s.hold(j)
	s.startRecording()
	s.restoreProgress(now, j, progress)
	for _, t := range j.tasks {
		for _, o := range sortedByRun(s.unrecordedCompletions[t.name]) {
			s.applyCompletion(t, o)
		}
		delete(s.unrecordedCompletions, t.name)
		t.failedAt = now
		if inherited, ok := s.inheritedStates[t.name]; ok {
			s.recordSaved(t, inherited.number, inherited.saved)
			delete(s.inheritedStates, t.name)
		}
	}
	// Previous owners may have run any part of it. So it is never refused, and goes first.
	j.possibleStarts++
	j.assumedStarts = 1
	if !s.finishIfOver(now, j) {
		j.updateSortKey()
		s.watchOccurrences(j)
		s.enqueue(j)
	}
}

// restoreProgress sets what is known of a job's tasks from the store.
func (s *State) restoreProgress(now time.Duration, j *job, progress Progress) {
	j.seenStarted = len(progress.Done)+len(progress.Fails)+len(progress.Saved) > 0
	known := func(index int) bool { return index >= 0 && index < len(j.tasks) }
	for _, index := range progress.Done {
		if known(index) {
			j.markDone(j.tasks[index])
		}
	}
	for index, n := range progress.Fails {
		if known(index) {
			j.tasks[index].fails = n
			j.tasks[index].storedFailedRun = progress.LastFailed[index]
		}
	}
	for _, index := range slices.Sorted(maps.Keys(progress.Crashed)) {
		if known(index) {
			s.restoreStoredLosses(now, j.tasks[index], progress.Crashed[index])
		}
	}
	for _, index := range slices.Sorted(maps.Keys(progress.Saved)) {
		if known(index) {
			*j.tasks[index].savedState() = savedState{value: progress.Saved[index]}
		}
	}
}

// finishIfOver ends a job whose tasks are all done or one of which has failed too often, and
// reports whether it did.
func (s *State) finishIfOver(now time.Duration, j *job) bool {
	for _, t := range j.tasks {
		if t.step.failedRuns(t) >= j.sub.Queue.MaxAttempts {
			s.finish(now, j, work.Outcome{Result: work.Failed, Reason: "a task had failed as often as its queue allows"})
			return true
		}
	}
	if j.openTasks == 0 {
		s.finish(now, j, work.Outcome{Result: work.Completed})
		return true
	}
	return false
}

// unrecordedCompletion is the completion of a run that a previous owner ordered, and that it did
// not write to the store.
type unrecordedCompletion struct {
	ref    CompletionRef
	run    int64
	failed bool
}

// sortedByRun returns completions of one task by the numbers of their runs. Targets answer in any
// order, while the store keeps a number of failures and the newest run among them.
func sortedByRun(completions []unrecordedCompletion) []unrecordedCompletion {
	return slices.SortedStableFunc(slices.Values(completions), func(a, b unrecordedCompletion) int { return cmp.Compare(a.run, b.run) })
}

// isFailureCounted reports whether a failed run was counted, by this owner or a previous one.
func (t *task) isFailureCounted(run int64) bool {
	return run <= t.storedFailedRun || slices.Contains(t.countedFailures, run)
}

// countFailure counts a failed run.
func (t *task) countFailure(run int64) {
	t.fails++
	t.countedFailures = append(t.countedFailures, run)
}

// inheritedState is the work that a run of a previous owner had saved.
type inheritedState struct {
	// number is the number of the run.
	number int64
	saved  string
}

// handleUnknownCompletion takes the completion of a run that isn't known here. If the run is of a
// durable job, the completion is not acknowledged until the job was taken over and the store has
// the completion.
func (s *State) handleUnknownCompletion(now time.Duration, t *target, end work.Completion) {
	if !isDurableRun(end.Run) {
		return
	}
	s.inheritSaved(end)
	if end.Kind != work.CompletionDone && end.Kind != work.CompletionFailed {
		return
	}
	o := unrecordedCompletion{ref: t.completionRef(end.Number), run: end.Run.Number, failed: end.Kind == work.CompletionFailed}
	if !s.allResumed {
		t.unrecorded[end.Number] = true
		s.unrecordedCompletions[end.Run.Task] = append(s.unrecordedCompletions[end.Run.Task], o)
		return
	}
	id, _, _ := strings.Cut(end.Run.Task, ".")
	j := s.jobsByKey[id]
	if j == nil || !j.stored {
		if s.leaving {
			// The job may belong to another owner by now.
			t.unrecorded[end.Number] = true
		}
		return
	}
	if j.moving {
		// The new owner doesn't learn of it, so it must not be acknowledged.
		t.unrecorded[end.Number] = true
		return
	}
	for _, task := range j.tasks {
		if task.name == end.Run.Task && task.run == nil {
			t.unrecorded[end.Number] = true
			task.failedAt = now
			s.applyCompletion(task, o)
			s.finishIfOver(now, j)
			return
		}
	}
}

// inheritSaved takes the work that a previous owner's run has saved.
func (s *State) inheritSaved(end work.Completion) {
	switch inherited := s.inheritedStates[end.Run.Task]; {
	case end.SavedState == "" || end.Run.Number < inherited.number:
	case s.allResumed:
		if tk := s.pendingTask(end.Run.Task); tk != nil {
			s.recordSaved(tk, end.Run.Number, end.SavedState)
		}
	default:
		s.inheritedStates[end.Run.Task] = inheritedState{number: end.Run.Number, saved: end.SavedState}
	}
}

// applyCompletion takes the unrecorded completion of a task that isn't running, and has it
// written to the store.
func (s *State) applyCompletion(t *task, o unrecordedCompletion) {
	s.pendingWrites++
	t.job.seenStarted = true
	s.noteInherited(t, o)
	switch {
	case t.done || t.step.Lasting || o.failed && t.isFailureCounted(o.run):
		s.HandleCompletionStored(o.ref)
	case o.failed:
		t.countFailure(o.run)
		s.emit(TaskFailed{Job: t.job.sub.Job.ID, Task: t.index, Run: o.run, Completion: o.ref})
	default:
		t.job.markDone(t)
		s.noteWaiting(t.job)
		s.emit(TaskDone{Job: t.job.sub.Job.ID, Task: t.index, Completion: o.ref})
	}
}

// noteInherited logs and counts a completion that a previous owner did not write to the store, with
// what is known of the task's failures before it.
func (s *State) noteInherited(t *task, o unrecordedCompletion) {
	kind := "done"
	switch {
	case o.failed && t.isFailureCounted(o.run):
		kind = "failure known"
	case o.failed:
		kind = "failure"
	}
	s.emit(LogEvent{
		Message: "completion of a previous owner", Job: t.job.sub.Job.ID, Task: t.name, Target: o.ref.Target,
		Detail:  fmt.Sprintf("%s: run %d, %d failures, stored up to run %d", kind, o.run, t.fails, t.storedFailedRun),
		Counter: "completions_inherited", Kind: kind,
	})
}

// FinishResume says that all jobs of previous owners were taken over. Completions that belong to
// none of them may be acknowledged. Inherited runs are now assigned to their tasks or stopped.
func (s *State) FinishResume(now time.Duration) {
	s.allResumed = true
	s.noteUnreached(now)
	for _, task := range slices.Sorted(maps.Keys(s.unrecordedCompletions)) {
		for _, o := range s.unrecordedCompletions[task] {
			s.pendingWrites++
			s.HandleCompletionStored(o.ref)
		}
	}
	clear(s.unrecordedCompletions)
	clear(s.inheritedStates)
	for _, t := range s.sortedTargets() {
		s.assignInheritedRuns(now, t)
	}
	for _, j := range s.sortedJobs() {
		for _, st := range j.currentSteps() {
			if st.Gang && len(st.pending) > 0 {
				s.stopGang(now, st)
			}
		}
	}
}

// maxUnreachedLines bounds the lines about targets that don't obey a new owner.
const maxUnreachedLines = 8

// noteUnreached logs and counts the targets that don't obey this owner when it takes jobs over: a
// previous owner may go on there.
func (s *State) noteUnreached(now time.Duration) {
	lines := 0
	for _, t := range s.sortedTargets() {
		if t.fenced {
			continue
		}
		kind := "listed"
		if t.unlistedSince != 0 {
			kind = "not listed"
		}
		s.emit(Count{Name: "targets_unreached", Kind: kind})
		if lines++; lines <= maxUnreachedLines {
			s.emit(LogEvent{Message: "target does not obey this owner", Target: t.ID, Detail: kind, Age: now - t.firstSeen})
		}
	}
}

// assignInheritedRuns assigns the inherited runs of a target to their tasks, and stops those that
// have none.
func (s *State) assignInheritedRuns(now time.Duration, t *target) {
	for _, inherited := range t.sortedInheritedRuns() {
		saved := t.inheritedRuns[inherited].saved
		delete(t.inheritedRuns, inherited)
		if tk := s.pendingTask(inherited.Task); tk != nil && t.runs[inherited.Task] == nil {
			s.continueRun(now, t, tk, work.RunningRun{Run: inherited, SavedState: saved})
		} else {
			s.stopUnknownRun(now, t, inherited)
		}
	}
	s.useIfReady(now, t)
	s.markChanged(t)
}

// sortedInheritedRuns returns the target's inherited runs, sorted by task.
func (t *target) sortedInheritedRuns() []work.RunID {
	runs := make([]work.RunID, 0, len(t.inheritedRuns))
	for inherited := range t.inheritedRuns {
		runs = append(runs, inherited)
	}
	slices.SortFunc(runs, func(a, b work.RunID) int { return strings.Compare(a.Task, b.Task) })
	return runs
}
