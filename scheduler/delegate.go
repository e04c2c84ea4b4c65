package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Part identifies tasks that were delegated to another owner.
type Part uint64

// Delegate hands tasks that find no capacity here to another owner that has some; the outcome goes
// to PartReturned.
type Delegate struct {
	Part Part
	// Owner is the other owner.
	Owner string
	// Submission has one step with just the delegated tasks.
	Submission Submission
}

// Withdraw gives up a part.
type Withdraw struct{ Part Part }

func (Delegate) effect() {}
func (Withdraw) effect() {}

// FreeCapacity is the capacity that an owner reports to others.
type FreeCapacity struct {
	// Tasks is how many typical tasks of each priority could start now or very soon.
	Tasks [Priorities]int
}

// capacityReport is another owner's free capacity as of a time.
type capacityReport struct {
	FreeCapacity
	at time.Duration
}

// capacityKey identifies a service at an owner.
type capacityKey struct{ owner, service string }

// delegatedPart is a part that another owner runs.
type delegatedPart struct {
	job   *job
	step  *step
	tasks []*task
	to    capacityKey
	// since is when they were delegated.
	since time.Duration
	// handed says that its runs were handed over with it.
	handed bool
}

// Parameters of delegation.
const (
	// capacityReportLifetime is how long another owner's reported capacity counts.
	capacityReportLifetime = 100 * time.Millisecond
	// withdrawTimeout is the time after which withdrawn tasks are certainly stopped: a message, a
	// stop, and the timeout of an owner that does not hear from this VM.
	withdrawTimeout = 500 * time.Millisecond
)

// CapacityReported takes another owner's free capacity for a service.
func (s *State) CapacityReported(now time.Duration, owner, service string, r FreeCapacity) {
	s.reportedCapacity[capacityKey{owner, service}] = capacityReport{FreeCapacity: r, at: now}
}

// HasTasksToDelegate reports whether delegable jobs wait for targets, so that the free capacity of
// other owners matters.
func (s *State) HasTasksToDelegate() bool { return slices.ContainsFunc(s.waiting, (*job).canDelegate) }

// canDelegate reports whether other owners may run tasks of a job. The progress of a durable job
// may be written only by its own owner, and the adviser's answers are given to this owner.
func (j *job) canDelegate() bool {
	return j.sub.Part == nil && !j.isDurable() && !j.sub.Queue.RequiresAdvice
}

// delegateStep hands the waiting tasks of a step to other owners that report free capacity.
func (s *State) delegateStep(now time.Duration, j *job, st *step) {
	if !j.canDelegate() || st.runsOn != nil || st.Gang || st.Background || st.LatencySensitive || s.leaving {
		return
	}
	priority := priorityOf(j.sub.Queue)
	for len(st.pending) > 0 {
		key, r := s.ownerWithMostCapacity(now, j.sub.Queue)
		n := min(r.Tasks[priority], len(st.pending)-st.countSuspects())
		if n == 0 {
			return
		}
		tasks := slices.Clone(st.pending[:n])
		st.pending = slices.Delete(st.pending, 0, n)
		for i := range r.Tasks {
			r.Tasks[i] = max(r.Tasks[i]-n, 0)
		}
		s.reportedCapacity[key] = r
		s.delegate(now, j, st, tasks, key)
	}
}

// priorityOf maps a queue's priority to those that a Load distinguishes.
func priorityOf(q work.Queue) int { return min(max(q.Priority, 0), Priorities-1) }

// ownerWithMostCapacity returns the other owner with the most free capacity for a queue.
func (s *State) ownerWithMostCapacity(now time.Duration, q work.Queue) (capacityKey, capacityReport) {
	var best capacityKey
	var most capacityReport
	priority := priorityOf(q)
	for key, r := range s.reportedCapacity {
		if key.service != q.Service || now-r.at > capacityReportLifetime {
			continue
		}
		tasks, mostTasks := r.Tasks[priority], most.Tasks[priority]
		if tasks > mostTasks || tasks == mostTasks && tasks > 0 && key.owner < best.owner {
			best, most = key, r
		}
	}
	return best, most
}

// delegate hands tasks of a step to another owner as a new part.
func (s *State) delegate(now time.Duration, j *job, st *step, tasks []*task, to capacityKey) {
	s.lastPart++
	s.parts[s.lastPart] = &delegatedPart{job: j, step: st, tasks: tasks, to: to, since: now}
	j.possibleStarts++
	j.lastOrdered = now
	names := make([]string, len(tasks))
	for i, t := range tasks {
		names[i] = t.name
	}
	part := st.Step
	part.Tasks, part.DependsOn = len(tasks), nil
	sub := Submission{
		Part:   names,
		Origin: j.sub.Entry,
		Job:    work.Job{ID: j.sub.Job.ID, Payload: j.sub.Job.Payload, Steps: []work.Step{part}},
		Queue:  j.sub.Queue,
		Age:    now - j.arrived,
	}
	if j.deadline > 0 {
		sub.Wait = j.deadline - j.arrived
	}
	j.record(now, "lent", names[0], to.owner, fmt.Sprintf("%d tasks", len(names)))
	s.emit(Delegate{Part: s.lastPart, Owner: to.owner, Submission: sub})
}

// PartReturned takes the outcome of a part.
func (s *State) PartReturned(now time.Duration, id Part, outcome work.Outcome) {
	p := s.parts[id]
	if p == nil {
		return
	}
	delete(s.parts, id)
	j := p.job
	if j.ended {
		return
	}
	s.notePartReturned(now, p, outcome)
	j.record(now, "part returned", p.tasks[0].name, p.to.owner, outcome.Result.String()+" "+outcome.Reason)
	switch outcome.Result {
	case work.Completed:
		s.completePart(now, p)
	case work.Refused, work.Moved:
		if p.handed {
			s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "the successor has not taken the job over: " + outcome.Reason})
			return
		}
		j.possibleStarts--
		s.reportedCapacity[p.to] = capacityReport{at: now - capacityReportLifetime - 1}
		p.step.pending = append(p.step.pending, p.tasks...)
		s.enqueue(j)
	case work.Failed:
		s.finish(now, j, outcome)
	default:
		s.finish(now, j, work.Outcome{Result: work.Unknown, Reason: "another owner lost a part: " + outcome.Reason})
	}
}

// completePart marks the tasks of a part as done.
func (s *State) completePart(now time.Duration, p *delegatedPart) {
	for _, t := range p.tasks {
		p.job.markDone(t)
	}
	switch {
	case p.job.openTasks == 0:
		s.finish(now, p.job, work.Outcome{Result: work.Completed})
	case p.step.openTasks == 0:
		s.enqueue(p.job)
	}
}

// withdrawParts gives up the parts of a job that has ended. They count in stoppingRuns until they
// are certainly stopped.
func (s *State) withdrawParts(now time.Duration, j *job) {
	for _, id := range slices.Sorted(maps.Keys(s.parts)) {
		if s.parts[id].job != j {
			continue
		}
		s.notePartWithdrawn(now, s.parts[id])
		s.emit(Withdraw{Part: id})
		s.stoppingRuns[j.sub.Job.ID]++
		s.withdrawn = append(s.withdrawn, withdrawal{job: j.sub.Job.ID, until: now + withdrawTimeout})
	}
}

// withdrawal is a withdrawn part that may still run.
type withdrawal struct {
	job   string
	until time.Duration
}

func (s *State) expireWithdrawn(now time.Duration) {
	for len(s.withdrawn) > 0 && now >= s.withdrawn[0].until {
		s.decrementStoppingRuns(s.withdrawn[0].job)
		s.withdrawn = s.withdrawn[1:]
	}
}

// canTakePart reports whether a part of another owner's job can start here now or very soon.
func (s *State) canTakePart(now time.Duration, j *job) bool {
	return s.stoppingRuns[j.sub.Job.ID] == 0 && s.isUnderLimit(j) && s.acceptableTasks(now, j.pool)[priorityOf(j.sub.Queue)] > 0
}

// partStartTimeout is how long a part may wait for its first target. It should start at once, and
// its owner may find it another one.
const partStartTimeout = 25 * time.Millisecond

// capacityLookahead is how far ahead processor counts as free that runs will free: about two
// message delays between failure domains, which a part needs in any case.
const capacityLookahead = 10 * time.Millisecond

// acceptableTasks returns how many typical tasks of each priority other owners may delegate here.
func (s *State) acceptableTasks(now time.Duration, p *pool) [Priorities]int {
	var tasks [Priorities]int
	if s.leaving || p.typicalCPU == 0 {
		return tasks
	}
	free, rate := int64(0), 0.0
	each := int64(p.typicalCPU)
	free, rate = p.supply(now, each)
	available := float64(free) + rate*float64(capacityLookahead/time.Millisecond)
	var waiting [Priorities]int64
	for _, j := range s.waiting {
		if j.pool == p && !j.ended {
			waiting[priorityOf(j.sub.Queue)] += j.initialNeed().total
		}
	}
	for i := range tasks {
		available -= float64(waiting[i])
		tasks[i] = max(int(available/p.typicalCPU), 0)
	}
	return tasks
}
