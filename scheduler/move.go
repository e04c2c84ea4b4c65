package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A durable job runs on the targets of one group. When none of them can hold a task whose turn has
// come, for example as those with its label have left, and targets of another group can, the whole
// job moves to that group: the store names the new group, whose owner then reads the job. A job
// moves only while no run of it can be in progress here, so that no task runs in both groups.

// Parameters of moves.
const (
	// moveDelay is how long a task must have found no target that can hold it: targets that are
	// replaced or were out of reach come back meanwhile.
	moveDelay = 1500 * time.Millisecond
	// moveCheckInterval is the time between two searches for such tasks.
	moveCheckInterval = 250 * time.Millisecond
	// maxMoves bounds the jobs whose moves are being stored.
	maxMoves = 64
)

// MoveJob has the store give a durable job to another group; the result goes to HandleJobMoved.
type MoveJob struct {
	Job   string
	Group string
}

func (MoveJob) effect() {}

// foreignTargets are the targets of other groups, as the registry lists them.
type foreignTargets struct {
	targets map[string]work.Target
	// cordoned holds the failure domains where nothing may start.
	cordoned []string
	// nextCheck is when jobs to move are looked for again, moving how many moves are being stored.
	nextCheck time.Duration
	moving    int
}

// ForeignTargetListed takes the registry's entry of another group's target.
func (s *State) ForeignTargetListed(target work.Target) { s.foreign.targets[target.ID] = target }

// ForeignTargetUnlisted takes that the registry has no entry of another group's target any more.
func (s *State) ForeignTargetUnlisted(id string) { delete(s.foreign.targets, id) }

// SetCordonedDomains sets the failure domains to which no job moves.
func (s *State) SetCordonedDomains(domains []string) { s.foreign.cordoned = domains }

// HandleJobMoved takes the result of a move. A moved job is forgotten here; another one goes on.
func (s *State) HandleJobMoved(id string, moved bool) {
	j := s.jobsByKey[id]
	if j == nil || !j.moving {
		return
	}
	j.moving, j.misplacedSince = false, 0
	s.foreign.moving--
	if moved {
		s.drop(j)
		return
	}
	s.enqueue(j)
}

// stepNeed is what decides whether a target can hold a task of a step.
type stepNeed struct {
	pool          *pool
	label         string
	perTask       work.Resources
	backgroundCPU int64
}

// moveMisplaced moves the jobs that wait for targets that only other groups have.
func (s *State) moveMisplaced(now time.Duration) {
	if s.leaving || !s.registryRead || now < s.foreign.nextCheck {
		return
	}
	s.foreign.nextCheck = now + moveCheckInterval
	fitsHere := map[stepNeed]bool{}
	for _, j := range s.waiting {
		st := misplacedStep(j, fitsHere)
		switch {
		case st == nil:
			j.misplacedSince = 0
		case j.misplacedSince == 0:
			j.misplacedSince = now
		case now-j.misplacedSince >= moveDelay && s.foreign.moving < maxMoves && s.canMove(now, j):
			if group := s.groupThatFits(j, st); group != "" {
				s.move(now, j, group)
			}
		}
	}
}

// misplacedStep returns a step of a durable job whose turn has come and whose tasks no target of its
// group can hold; nil if there is none.
func misplacedStep(j *job, fitsHere map[stepNeed]bool) *step {
	if !j.stored || j.ended || j.moving {
		return nil
	}
	for _, st := range j.currentSteps() {
		if len(st.pending) == 0 || !j.isReady(st) {
			continue
		}
		need := stepNeed{j.pool, st.RequiredLabel, st.PerTask, st.backgroundCPU}
		fits, known := fitsHere[need]
		if !known {
			fits = slices.ContainsFunc(j.pool.targets, func(t *target) bool { return !t.Draining && !t.retired && st.fitsEmpty(t) })
			fitsHere[need] = fits
		}
		if !fits {
			return st
		}
	}
	return nil
}

// canMove reports whether no run of a job can be in progress here, and none can have ended without
// this owner knowing it.
func (s *State) canMove(now time.Duration, j *job) bool {
	if s.stoppingRuns[j.sub.Job.ID] > 0 || !s.mayStartNow(now, j) || s.isHeldBack(j) || j.pool.hasUnusableTargets() {
		return false
	}
	for _, t := range j.pool.targets {
		for _, r := range t.runs {
			if r.task.job == j {
				return false
			}
		}
	}
	return true
}

// groupThatFits returns the group with the most targets that can hold tasks of a step. Groups that
// can hold all open steps of the job come first.
func (s *State) groupThatFits(j *job, st *step) string {
	fitting, complete := s.fittingTargets(j, st), map[string]bool{}
	for group := range fitting {
		complete[group] = true
	}
	for _, other := range j.steps {
		if other.openTasks > 0 && other != st {
			holds := s.fittingTargets(j, other)
			maps.DeleteFunc(complete, func(group string, _ bool) bool { return holds[group] == 0 })
		}
	}
	best := ""
	for _, group := range slices.Sorted(maps.Keys(fitting)) {
		switch {
		case slices.Contains(s.foreign.cordoned, group):
		case best == "", complete[group] && !complete[best], complete[group] == complete[best] && fitting[group] > fitting[best]:
			best = group
		}
	}
	return best
}

// fittingTargets counts by group the targets elsewhere that can hold a task of a step.
func (s *State) fittingTargets(j *job, st *step) map[string]int {
	fitting := map[string]int{}
	for _, t := range s.foreign.targets {
		if t.Service == j.sub.Queue.Service && !t.Draining && st.fitsEmpty(&target{Target: t}) {
			fitting[t.FailureDomain]++
		}
	}
	return fitting
}

// move has the store give a job to another group. Nothing of it starts here from now on.
func (s *State) move(now time.Duration, j *job, group string) {
	j.moving = true
	s.foreign.moving++
	s.unreserveJob(j)
	j.record(now, "moves", "", "", group)
	s.emit(LogEvent{Message: "job moves to another failure domain", Job: j.sub.Job.ID, Detail: group, Age: now - j.misplacedSince})
	s.emit(MoveJob{Job: j.sub.Job.ID, Group: group})
}
