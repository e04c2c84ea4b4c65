package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A leaving owner passes the jobs that callers wait for to its successor, with their runs, so that it
// can release its targets at once. Each such job stays at the leaving owner with its caller, as a job
// whose remaining tasks are a part that the successor runs. The successor takes over the runs as the
// leaving owner knew them, before it sends its first order to their targets.

// maxVouchers bounds the VMs whose keepalives count for a job that is handed over: each handover adds
// one.
const maxVouchers = 4

// handover is a leaving owner's side of a handover.
type handover struct {
	// to is the successor; its name is empty before the handover.
	to   Successor
	at   time.Duration
	sent Handover
	// released lists the targets that were released with it.
	released []string
}

// HandOverJobs passes all jobs that it can to the successor, with their runs, and returns them with the
// targets that this owner uses no more. A repeated call for the same successor returns the same again;
// any other successor gets the targets alone.
func (s *State) HandOverJobs(now time.Duration, successor Successor) (Handover, []string) {
	if s.handover.to.Owner == "" {
		s.handover = handover{to: successor, at: now}
		s.finishUnstarted(now)
		s.releaseJobs(now)
	}
	if s.handover.to != successor {
		return Handover{}, s.handover.released
	}
	sent := s.handover.sent
	sent.Ago = now - s.handover.at
	return sent, s.handover.released
}

// HasHandedOverJobs reports whether HandOverJobs was called.
func (s *State) HasHandedOverJobs() bool { return s.handover.to.Owner != "" }

// UsesNoTarget reports whether this owner gives no orders to targets any more, although jobs may wait
// for parts that its successor runs.
func (s *State) UsesNoTarget() bool {
	for _, t := range s.targets {
		if !t.isIdle() {
			return false
		}
	}
	return s.pendingWrites == 0 && !s.hasStartedJobWaiting()
}

// finishUnstarted hands the jobs back of which nothing has started since this owner began to leave, and
// ends those that the successor could not run safely.
func (s *State) finishUnstarted(now time.Duration) {
	for _, j := range s.sortedJobs() {
		switch {
		case j.isDurable():
		case !j.mayHaveStarted():
			s.finish(now, j, work.Outcome{Result: work.Moved, Reason: "another VM takes over"})
		case j.handedAt > 0 && !j.attached:
			// Its predecessor can't ask for it any more, and may have answered its caller long ago.
			s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "the VM that handed it over has not asked for it"})
		case s.hasEarlierRequest(j):
			s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "an earlier request for the job is open"})
		}
	}
}

// releaseJobs makes the handover.
func (s *State) releaseJobs(now time.Duration) {
	elsewhere := s.tasksElsewhere()
	mayPass := s.handoverFilter(elsewhere)
	kept := s.keptTargets(mayPass)
	h := Handover{Keepalives: map[string]time.Duration{}, LastRun: s.lastRunNumber}
	for _, j := range s.jobsOnTargets() {
		if !mayPass(j) || hasRunOn(j, kept) {
			continue
		}
		tasks := elsewhere.tasksToHandOver(j)
		if len(tasks) == 0 {
			continue
		}
		h.Jobs = append(h.Jobs, s.handedJob(now, j, tasks))
		for _, voucher := range j.sub.vouchers() {
			h.Keepalives[voucher] = s.keepalives[voucher] - now
		}
		s.passTasks(now, j, tasks, h.Jobs[len(h.Jobs)-1].Submission)
	}
	for _, t := range s.sortedTargets() {
		if kept[t] {
			continue
		}
		h.Targets = append(h.Targets, t.handed(now))
		s.handover.released = append(s.handover.released, t.ID)
		s.removeTarget(t)
	}
	s.emit(LogEvent{Message: "jobs handed over", Detail: describeHandover(h, len(kept))})
	s.handover.sent = h
}

// jobsOnTargets returns the open jobs and the ended ones with runs, those with the same ID in the order
// of their requests.
func (s *State) jobsOnTargets() []*job {
	var jobs []*job
	seen := map[*job]bool{}
	add := func(j *job) {
		if !seen[j] {
			seen[j] = true
			jobs = append(jobs, j)
		}
	}
	for _, j := range s.sortedJobs() {
		for _, same := range s.openByID[j.sub.Job.ID] {
			add(same)
		}
	}
	for _, t := range s.sortedTargets() {
		for _, r := range t.sortedRuns() {
			if r.task.job.ended {
				add(r.task.job)
			}
		}
	}
	return jobs
}

// keptTargets returns the targets that this owner goes on using: those that it hasn't adopted, and those
// with runs of jobs that it can't hand over whole. While such a job needs further targets, these are all.
func (s *State) keptTargets(mayPass func(*job) bool) map[*target]bool {
	kept := map[*target]bool{}
	needsTargets := slices.ContainsFunc(s.waiting, func(j *job) bool {
		return !j.ended && j.mayHaveStarted() && j.hasPendingTasks() && !mayPass(j)
	})
	for _, t := range s.targets {
		kept[t] = needsTargets || t.state == adopting || t.incarnationUnknown
	}
	keptJobs := map[*job]bool{}
	for changed := true; changed; {
		changed = false
		for _, t := range s.targets {
			for _, r := range t.runs {
				j := r.task.job
				if !j.dropped && !keptJobs[j] && (kept[t] || !mayPass(j)) {
					keptJobs[j], changed = true, true
				}
				if keptJobs[j] && !kept[t] {
					kept[t], changed = true, true
				}
			}
		}
	}
	maps.DeleteFunc(kept, func(_ *target, keep bool) bool { return !keep })
	return kept
}

// canHandOver reports whether the successor can run the remaining tasks of a job as a part. It can't
// know of tasks that other owners run, nor of what was learned of suspects.
func (elsewhere tasksElsewhere) canHandOver(j *job) bool {
	if j.isDurable() || j.sub.Job.Occurrences() > 1 || j.sub.Queue.RequiresAdvice || len(j.sub.vouchers()) > maxVouchers {
		return false
	}
	open := 0
	for _, st := range j.steps {
		if st.openTasks == 0 {
			continue
		}
		open++
		if st.Gang || st.Lasting || st.Background || st.LatencySensitive || st.hasSuspects {
			return false
		}
	}
	return open <= 1 || len(elsewhere[j]) == 0
}

// tasksElsewhere holds the tasks of jobs that other owners run.
type tasksElsewhere map[*job]map[*task]bool

func (s *State) tasksElsewhere() tasksElsewhere {
	elsewhere := tasksElsewhere{}
	for _, p := range s.parts {
		if elsewhere[p.job] == nil {
			elsewhere[p.job] = map[*task]bool{}
		}
		for _, t := range p.tasks {
			elsewhere[p.job][t] = true
		}
	}
	return elsewhere
}

func hasRunOn(j *job, targets map[*target]bool) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.run != nil && targets[t.run.target] })
}

// tasksToHandOver returns the open tasks of a job that no other owner runs, or of an ended job those
// with runs.
func (elsewhere tasksElsewhere) tasksToHandOver(j *job) []*task {
	var tasks []*task
	for _, t := range j.tasks {
		if t.run != nil || !j.ended && !t.done && !elsewhere[j][t] {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// vouchers returns the VMs whose keepalives count for a job.
func (sub Submission) vouchers() []string {
	var vouchers []string
	for _, entry := range append([]string{sub.Entry, sub.Origin}, sub.Vouchers...) {
		if entry != "" && !slices.Contains(vouchers, entry) {
			vouchers = append(vouchers, entry)
		}
	}
	return vouchers
}

// handedJob describes what the successor is to run of a job.
func (s *State) handedJob(now time.Duration, j *job, tasks []*task) HandedJob {
	h := HandedJob{
		Submission: j.handedSubmission(now, tasks), Ended: j.ended, Fails: map[int]int{}, Saved: map[int]string{},
	}
	if j.ended {
		h.EndedAgo = now - j.endedAt
		if j.handedAt > 0 && !j.attached {
			h.EndedAgo = now - min(j.endedAt, j.handedAt)
		}
	}
	for i, t := range tasks {
		if t.fails > 0 {
			h.Fails[i] = t.fails
		}
		if saved := t.savedState().value; saved != "" {
			h.Saved[i] = saved
		}
		if t.run != nil {
			h.Runs = append(h.Runs, t.run.handed(now, i))
		}
	}
	return h
}

// handedSubmission returns the submission of the part that a successor runs.
func (j *job) handedSubmission(now time.Duration, tasks []*task) Submission {
	sub := Submission{
		Handed: true, Vouchers: j.sub.vouchers(), Queue: j.sub.Queue, Age: now - j.arrived,
		Job: work.Job{ID: j.sub.Job.ID, Payload: j.sub.Job.Payload},
	}
	if j.deadline > 0 {
		sub.Wait = j.deadline - j.arrived
	}
	position := map[int]int{}
	for _, st := range j.steps {
		part := st.Step
		part.Tasks, part.DependsOn = 0, nil
		for _, t := range tasks {
			if t.step == st {
				part.Tasks++
				sub.Part = append(sub.Part, t.name)
			}
		}
		if part.Tasks == 0 {
			continue
		}
		for _, before := range st.DependsOn {
			if at, open := position[before]; open {
				part.DependsOn = append(part.DependsOn, at)
			}
		}
		position[st.index] = len(sub.Job.Steps)
		sub.Job.Steps = append(sub.Job.Steps, part)
	}
	return sub
}

// handed describes a run for the successor.
func (r *run) handed(now time.Duration, task int) HandedRun {
	h := HandedRun{
		Task: task, Number: r.Number, Target: r.target.ID, LeaseUntil: r.leaseUntil, OrderedAgo: now - r.ordered,
		ResumeFrom: r.resumeFrom, Saved: r.saved, Phase: PhaseUncertain,
	}
	switch {
	case r.state == running && r.stop != nil:
		h.Phase, h.RunningAgo = PhaseStopping, now-r.runningSince
	case r.state == running:
		h.Phase, h.RunningAgo = PhaseRunning, now-r.runningSince
	case r.state == ordered && r.stop == nil:
		h.Phase = PhaseOrdered
	}
	return h
}

// handed describes a target for the successor.
func (t *target) handed(now time.Duration) HandedTarget {
	h := HandedTarget{Target: t.Target, Unlisted: t.unlistedSince != 0, LeaseUntil: t.lease.until}
	if t.lease.known {
		h.Clock = t.lease.clockAt(now)
	}
	h.AllRunsKnown = t.state == usable && t.failedPolls == 0 && len(t.unknownRuns) == 0 && !hasDroppedRun(t)
	if t.answeredPollSentAt > 0 {
		h.AnsweredAgo = now - t.answeredPollSentAt
	}
	h.WarmUpLeft = max(t.warmAt-now, 0)
	return h
}

// passTasks leaves tasks to the successor as a part, whose outcome goes to PartReturned. Runs of an
// ended job are left to it without one.
func (s *State) passTasks(now time.Duration, j *job, tasks []*task, sub Submission) {
	for _, t := range tasks {
		if t.run != nil {
			s.releaseRun(t.run)
		}
		t.step.pending = slices.DeleteFunc(t.step.pending, func(other *task) bool { return other == t })
	}
	if j.ended {
		return
	}
	s.lastPart++
	s.parts[s.lastPart] = &delegatedPart{
		job: j, step: tasks[0].step, tasks: tasks, to: capacityKey{s.handover.to.Owner, j.sub.Queue.Service}, since: now, handed: true,
	}
	j.possibleStarts++
	s.emit(Count{"jobs_handed_over", "passed"})
	j.record(now, "handed over", tasks[0].name, s.handover.to.Owner, "")
	sub.Vouchers = nil
	s.emit(Delegate{Part: s.lastPart, Owner: s.handover.to.Owner, Submission: sub})
}

// delegateToSuccessor hands tasks that other owners have returned since the handover to the successor,
// because this owner has no targets for them any more.
func (s *State) delegateToSuccessor(now time.Duration) {
	if s.handover.to.Owner == "" || len(s.targets) > 0 {
		return
	}
	waiting := slices.Clone(s.waiting)
	for _, j := range waiting {
		if j.ended || !j.canDelegate() {
			continue
		}
		for _, st := range j.currentSteps() {
			if len(st.pending) == 0 || !j.isReady(st) || st.Gang || st.Lasting || st.Background || st.LatencySensitive || st.runsOn != nil {
				continue
			}
			tasks := st.pending
			st.pending = nil
			s.delegate(now, j, st, tasks, capacityKey{s.handover.to.Owner, j.sub.Queue.Service})
		}
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// hasDroppedRun reports whether a run of a durable job that was left to the successor is at a target.
func hasDroppedRun(t *target) bool {
	for _, r := range t.runs {
		if r.task.job.dropped {
			return true
		}
	}
	return false
}
