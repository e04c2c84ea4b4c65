package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// job is a submission with its steps, its tasks and its progress.
type job struct {
	sub      Submission
	estimate *queueEstimate
	pool     *pool
	// bytes is what the job counts for in State.jobBytes; 0 unless it is in State.jobsByKey.
	bytes int64
	// account is that of its profile in pool.shares. notedWaiting is the processor of its waiting
	// tasks that the account has.
	account      int
	notedWaiting int64
	// objective is when the answer is due. latestStart is when the first task has to start to
	// meet it. After usefulUntil the answer is worth nothing to the caller.
	objective, latestStart, usefulUntil time.Duration
	// deadline is when the caller stops waiting; 0 means never.
	deadline time.Duration
	// arrived is when the caller sent the job, or when its newest occurrence became due.
	arrived time.Duration
	// submitted is when this owner took the job. firstOrdered is when it first ordered a run of
	// it; 0 before.
	submitted, firstOrdered time.Duration
	// lastOrdered is when it last ordered or delegated a task of it; 0 before.
	lastOrdered time.Duration
	forecast    forecast
	// sortKey orders the waiting jobs: the smallest is placed first.
	sortKey time.Duration
	// late jobs can't meet their objective any more.
	late bool
	// useless jobs are past usefulUntil. Only durable jobs get here: they run all the same.
	useless bool
	ended   bool
	// askedAgain is how long after the first request the newest one was sent that replaced it.
	askedAgain time.Duration
	// endedAt is when it ended.
	endedAt time.Duration
	// stored jobs are in the store, cancelled ones are over for good, and dropped ones are left
	// to another owner.
	stored, cancelled, dropped bool
	// moving is set while the store gives the job to another group. misplacedSince is since when a task
	// whose turn has come finds no target here that can hold it; 0 while there is none.
	// emptying is set while its lasting runs are stopped so that it can move.
	moving, emptying bool
	misplacedSince   time.Duration
	queued           bool
	// steps lists the steps of all occurrences in order. The first stepsDone of them are over.
	// Those from index stepsDue on belong to occurrences that aren't due yet.
	steps               []*step
	stepsDone, stepsDue int
	tasks               []*task
	// possibleStarts counts the orders that may have started a run. assumedStarts of them are
	// orders that previous owners may have given. seenStarted is set once it is known that a
	// previous owner did start something.
	possibleStarts, assumedStarts int
	seenStarted                   bool
	// openTasks counts the tasks that are not done.
	openTasks int
	history   []HistoryEntry
	// historyDropped counts the history entries beyond maxHistory.
	historyDropped int
	// failedTargets holds the targets on which a task of this job failed.
	failedTargets map[string]bool
	// hasRerun says that a run of it failed or was lost, returned that its caller had sent it
	// before.
	hasRerun, returned bool
	// handedAt is a time after which a previous owner handed the job over; 0 for other jobs.
	// attached is set once that owner has asked for its outcome.
	handedAt time.Duration
	attached bool
}

// step is one step of one occurrence of a job.
type step struct {
	work.Step
	job *job
	// index is the step's index in job.steps. members are its tasks.
	index           int
	members         []*task
	expectedRuntime time.Duration
	pending         []*task
	// openTasks counts the step's tasks that are not done.
	openTasks int
	// runsOn counts the step's runs by target; nil unless the step bounds its spread.
	runsOn map[string]int
	// hasSuspects is set once a target was lost under a task of the step.
	hasSuspects bool
	// saved is the work that a gang has saved.
	saved savedState
	// waitingSince is when a gang was first tried without success; 0 before.
	waitingSince time.Duration
	// name identifies the step to the adviser. advice is what the adviser answered; nil if the
	// queue has no adviser.
	name   string
	advice *advice
	// backgroundCPU is what a background task wants of its target's processor, in thousandths
	// of a core. evictionTarget is the target whose background tasks were stopped at evictedAt, and
	// which is reserved for this latency-sensitive step.
	backgroundCPU  int64
	evictionTarget *target
	evictedAt      time.Duration
}

// task is one task of a job. At most one run of it may be in progress.
type task struct {
	name string
	job  *job
	step *step
	// index is the task's index in job.tasks.
	index int
	run   *run
	fails int
	// failedAt is when this owner last learned of a failed run of it, if it has any.
	failedAt time.Duration
	// storedFailedRun is the newest failed run that the store had counted when the job was taken
	// over; countedFailures holds the failed runs counted since.
	storedFailedRun int64
	countedFailures []int64
	// done is set once the task's work is done.
	done bool
	// saved is the work that the task has saved.
	saved savedState
	// notBefore is when a lasting task may start again. shortRuns counts its consecutive runs
	// that were shorter than shortRun, up to maxRestartDoublings.
	notBefore time.Duration
	shortRuns int
	// stuckRuns counts the runs that were stopped because they took too long.
	stuckRuns int
	// avoidTarget is the target of the last run that failed or was lost.
	avoidTarget string
	// losses are the target losses that count against the task. correlatedLosses counts those
	// that don't, because other targets were lost at the same time.
	losses           []*targetLoss
	correlatedLosses int
	// reservedTarget is the target that is reserved for the task to run alone; nil for none.
	reservedTarget *target
}

// queueEstimate estimates the run times of a queue's tasks from the runs seen so far.
type queueEstimate struct {
	// runtimeRatio is the moving average of actual run time divided by declared run time.
	runtimeRatio float64
}

// Weight and bounds of queueEstimate.runtimeRatio.
const (
	// ratioWeight is the weight of the newest run in the moving average.
	ratioWeight = 0.02
	minRatio    = 0.2
	maxRatio    = 5.0
)

// observe updates the ratio with the run time of a run that has finished.
func (k *queueEstimate) observe(actual, declared time.Duration) {
	if declared <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(declared), minRatio), maxRatio)
	k.runtimeRatio += ratioWeight * (ratio - k.runtimeRatio)
}

// expectedRuntime returns the run time to expect of a task with this declared run time.
func (k *queueEstimate) expectedRuntime(declared time.Duration) time.Duration {
	return max(time.Duration(k.runtimeRatio*float64(min(declared, work.MaxRunTime))), time.Millisecond)
}

// estimateOf returns the estimate of a queue, a new one if there is none yet.
func (s *State) estimateOf(queue string) *queueEstimate {
	k := s.estimates[queue]
	if k == nil {
		k = &queueEstimate{runtimeRatio: 1}
		s.estimates[queue] = k
	}
	return k
}

// Parameters of the order of waiting jobs.
const (
	// priorityStep is how much later a job counts as due than one of the next higher priority.
	// It equals the slack of the next shorter class of jobs: urgent jobs go first, and a steady
	// stream of them doesn't starve the others.
	priorityStep = 300 * time.Millisecond
	// startedBonus puts a job that has started before new ones: its work so far is worth
	// nothing until its last task is done.
	startedBonus = 400 * time.Millisecond
	// lateBand puts jobs that can't be on time any more behind all others.
	lateBand = 10 * time.Second
	// usefulFactor is the multiple of the objective after which an answer is worth nothing.
	usefulFactor = 3
)

// newJob returns the job of a submission with all its steps and tasks. The State doesn't hold it
// yet.
func (s *State) newJob(now time.Duration, sub Submission) *job {
	before, returned := sub.waitedBefore(), sub.isReturned()
	if s.options.ReturnTimes && sub.isAtReturnTime() {
		s.emit(Count{"return_times", "returned"})
		before = 0
	}
	sub.Age += before
	if sub.Wait > 0 {
		sub.Wait += before
	}
	j := &job{
		sub:      sub,
		estimate: s.estimateOf(sub.Queue.Name),
		pool:     s.poolOf(sub.Queue.Service),
		arrived:  now - sub.Age, submitted: now,
		openTasks:     sub.Job.TaskCount() * sub.Job.Occurrences(),
		failedTargets: map[string]bool{}, returned: returned,
	}
	s.assignAccount(j)
	for occurrence := range sub.Job.Occurrences() {
		for i, declared := range sub.Job.Steps {
			j.addStep(occurrence, i, declared)
		}
	}
	j.stepsDue = s.countDueSteps(now, j)
	chain := j.estimate.expectedRuntime(sub.Job.CriticalPath())
	objective := sub.Queue.Objective(chain)
	j.objective = j.arrived + objective
	j.latestStart = j.objective - chain
	j.usefulUntil = j.arrived + usefulFactor*objective
	if sub.Wait > 0 {
		j.deadline = j.arrived + sub.Wait
	}
	j.updateSortKey()
	return j
}

// waitedBefore returns the least time for which a caller has waited before it handed the job
// in. A caller that comes for the first time waits for at least the queue's timeout; one that
// comes again says how much of it remains. After a loss of all VMs many callers come again at
// once: those whose time has run out go behind those whose jobs can still be on time.
func (sub Submission) waitedBefore() time.Duration {
	if sub.Wait <= 0 || sub.Part != nil || sub.Job.Durable {
		return 0
	}
	return max(sub.Queue.RequestTimeout-sub.Wait, 0)
}

// addStep appends a step of an occurrence, and its tasks, to the job.
func (j *job) addStep(occurrence, index int, declared work.Step) {
	st := &step{
		Step: declared, job: j, index: len(j.steps), openTasks: declared.Tasks, expectedRuntime: j.estimate.expectedRuntime(declared.DeclaredRunTime),
	}
	if declared.MaxPerTarget > 0 {
		st.runsOn = map[string]int{}
	}
	st.excludeBackgroundCPU()
	st.name = fmt.Sprintf("%s.%d.%d", j.sub.Job.ID, occurrence, index)
	if j.sub.Queue.RequiresAdvice {
		st.advice = newAdvice()
	}
	for i := range declared.Tasks {
		name := fmt.Sprintf("%s.%d", st.name, i)
		if j.sub.Part != nil {
			name = j.sub.Part[len(j.tasks)]
		}
		t := &task{name: name, job: j, step: st, index: len(j.tasks)}
		st.members = append(st.members, t)
		j.tasks = append(j.tasks, t)
	}
	st.pending = slices.Clone(st.members)
	j.steps = append(j.steps, st)
}

// updateSortKey recomputes sortKey from the job's state.
func (j *job) updateSortKey() {
	j.sortKey = j.latestStart + time.Duration(j.sub.Queue.Priority)*priorityStep
	switch {
	case j.useless:
		j.sortKey += lateBand
	case j.mayHaveStarted():
		j.sortKey -= startedBonus
	case j.late:
		j.sortKey += lateBand
	}
}

// currentSteps returns the steps that are due and not over.
func (j *job) currentSteps() []*step { return j.steps[j.stepsDone:max(j.stepsDue, j.stepsDone)] }

// isReady reports whether a step is due and all steps that must come before it are done.
func (j *job) isReady(st *step) bool {
	if st.index >= j.stepsDue {
		return false
	}
	first := st.index - st.index%len(j.sub.Job.Steps)
	for _, before := range st.DependsOn {
		if j.steps[first+before].openTasks > 0 {
			return false
		}
	}
	return true
}

// markDone counts a task as done and takes it off the pending ones. When one task of a gang is
// done, all of the gang's tasks are.
func (j *job) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	if at := slices.Index(t.step.pending, t); at >= 0 {
		t.step.pending = slices.Delete(t.step.pending, at, at+1)
	}
	t.step.openTasks--
	j.openTasks--
	if t.step.Gang {
		for _, other := range t.step.members {
			j.markDone(other)
		}
	}
	for j.stepsDone < len(j.steps) && j.steps[j.stepsDone].openTasks == 0 {
		j.stepsDone++
	}
}

// mayHaveStarted reports whether anything of the job may have run.
func (j *job) mayHaveStarted() bool { return j.possibleStarts > 0 }

// hasPendingTasks reports whether a task of a current step waits for a target, or for the steps
// before it.
func (j *job) hasPendingTasks() bool {
	for _, st := range j.currentSteps() {
		if len(st.pending) > 0 {
			return true
		}
	}
	return false
}

// enqueue inserts a job into the ordered list of waiting jobs, unless it is there or has ended.
func (s *State) enqueue(j *job) {
	if j.queued && !j.ended {
		// Tasks of it may have come back.
		s.noteWaiting(j)
	}
	if j.queued || j.ended {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
	s.waiting = slices.Insert(s.waiting, at, j)
	s.noteWaiting(j)
}

// compareJobs orders waiting jobs by their sort key.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.sub.Ref, b.sub.Ref))
}

// reorder updates a job's sort key and moves the job to its new place among the waiting ones.
func (s *State) reorder(j *job) {
	if j.queued {
		at, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
		s.waiting = slices.Delete(s.waiting, at, at+1)
		j.queued = false
	}
	j.updateSortKey()
	s.enqueue(j)
}

// finish ends a job: it answers the caller, or reports the end of a durable job to the store,
// and stops the job's runs.
func (s *State) finish(now time.Duration, j *job, outcome work.Outcome) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, now
	outcome = s.withReturnTime(now, j, outcome)
	s.noteWaiting(j)
	delete(s.jobs, j.sub.Ref)
	s.release(j)
	s.removeOpen(j)
	delete(s.recurringJobs, j)
	s.unreserveJob(j)
	s.withdrawParts(now, j)
	s.releaseSuspects(now, j)
	if j.stored {
		s.endDurable(now, j, outcome)
	} else {
		s.rememberOutcome(now, j.sub, outcome)
		s.emit(Answer{Ref: j.sub.Ref, Outcome: outcome, Times: j.times(now)})
	}
	s.noteOutcome(now, j, outcome.Result)
	s.noteUncleanEnd(now, j, outcome)
	s.logHistory(now, j, outcome)
	s.stopRuns(now, j)
}

// times returns how long the job waited and ran; zero if nothing of it was ordered here.
func (j *job) times(now time.Duration) Times {
	if j.firstOrdered == 0 {
		return Times{}
	}
	return Times{Wait: j.firstOrdered - j.submitted, Run: now - j.firstOrdered}
}

// stopRuns stops the runs of a job that has ended.
func (s *State) stopRuns(now time.Duration, j *job) {
	for _, t := range j.tasks {
		if t.run != nil {
			s.stoppingRuns[j.sub.Job.ID]++
			s.stop(now, t.run)
		}
	}
}

// Cancel gives up a submission whose caller has left. Durable jobs go on.
func (s *State) Cancel(now time.Duration, ref Ref) {
	s.cancelWaiting(ref)
	if j := s.jobs[ref]; j != nil && !j.isDurable() {
		s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "the caller left"})
	}
}

// expireJob gives up a job whose caller or entry VM no longer waits, or whose answer can't be
// of use any more. Durable jobs are never given up, only moved behind others.
func (s *State) expireJob(now time.Duration, j *job) {
	switch {
	case j.ended:
	case j.isDurable():
		s.demoteIfLate(now, j)
	case !s.hasKeepalive(now, j):
		s.finish(now, j, j.giveUpOutcome(fmt.Sprintf("its entry VM is silent: vouched until %v ago",
			(now-s.lastKeepalive(j)).Round(time.Millisecond))))
	case j.isUnclaimed(now):
		s.finish(now, j, j.giveUpOutcome("the VM that handed it over has not asked for it"))
	case j.deadline > 0 && now >= j.deadline:
		s.finish(now, j, j.giveUpOutcome("the caller's deadline has passed"))
	case j.sub.Part != nil && !j.mayHaveStarted() && now-j.submitted > partStartTimeout:
		s.finish(now, j, work.Outcome{Result: work.Refused, Reason: "no room for a part"})
	case !j.mayHaveStarted() && now > j.usefulUntil-j.expectedRuntime():
		s.finish(now, j, j.giveUpOutcome("it can't be done while it is of use"))
	default:
		s.demoteIfLate(now, j)
	}
}

// demoteIfLate moves a job behind others once it can't be on time. A durable job also moves
// once its completion is of no use any more, even if it has started: after a takeover, a
// backlog of such jobs would otherwise make all new work late.
func (s *State) demoteIfLate(now time.Duration, j *job) {
	switch {
	case !j.queued:
	case j.isDurable() && !j.useless && now > j.usefulUntil:
		j.useless = true
		j.record(now, "useless", "", "", "its answer comes too late to be of use; queued behind jobs that can be on time")
		s.reorder(j)
	case !j.mayHaveStarted() && !j.late && now > j.latestStart:
		j.late = true
		j.record(now, "late", "", "", "no capacity in time; queued behind jobs that can be on time")
		s.reorder(j)
		s.noteMissed(now, j, now-j.submitted)
		s.refuseLate(now, j)
	}
}

// expectedRuntime returns the expected run time of the job's chain of steps.
func (j *job) expectedRuntime() time.Duration { return j.objective - j.latestStart }

// giveUpOutcome returns the outcome of a job that is given up. Once anything of it may have run,
// that is Unknown; before, the job is Refused and can safely be sent again.
func (j *job) giveUpOutcome(why string) work.Outcome {
	if j.mayHaveStarted() {
		return work.Outcome{Result: work.Unknown, Reason: why}
	}
	return work.Outcome{Result: work.Refused, Reason: why, RetryAfter: time.Second}
}

func (s *State) sortedJobs() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sub.Ref, b.sub.Ref) })
	return jobs
}

// key identifies a job or a part of one: a part that another owner delegates has its first
// task's name as key.
func (sub Submission) key() string {
	if len(sub.Part) > 0 {
		return sub.Part[0]
	}
	return sub.Job.ID
}
