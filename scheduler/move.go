package scheduler

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A durable job runs on the targets of one group. When none of them can hold a task whose turn has
// come, for example as those with its label have left, or nothing may start on them because their failure
// domain is cordoned, and targets of another group can, the whole job moves to that group: the store names
// the new group, whose owner then reads the job. A job moves only while no run of it can be in progress
// here, so that no task runs in both groups.

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
	// cordoned holds the failure domains where nothing may start, owned those whose owner is alive; nil
	// if that isn't known.
	cordoned, owned []string
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

// SetOwnedDomains sets the failure domains whose owner is alive: no job moves to another one.
func (s *State) SetOwnedDomains(domains []string) { s.foreign.owned = domains }

// HasMisplacedJobs reports whether a job may have to move, so that the owners of other failure domains
// matter.
func (s *State) HasMisplacedJobs() bool {
	return slices.ContainsFunc(s.waiting, func(j *job) bool { return j.misplacedSince > 0 })
}

// HandleJobMoved takes the result of a move. A moved job is forgotten here; another one goes on, or ends if
// it was cancelled meanwhile.
func (s *State) HandleJobMoved(now time.Duration, id string, moved bool) {
	j := s.jobsByKey[id]
	if j == nil || !j.moving {
		return
	}
	j.moving, j.emptying, j.misplacedSince = false, false, 0
	s.foreign.moving--
	switch {
	case moved:
		s.drop(j)
	case j.cancelled:
		s.finish(now, j, cancelledOutcome)
	default:
		s.enqueue(j)
	}
}

// stepNeed is what decides whether a target can hold a task of a step.
type stepNeed struct {
	pool          *pool
	label         string
	perTask       work.Resources
	backgroundCPU int64
	// gang is the number of tasks that have to run at once, 0 for a step that is no gang. perTarget
	// bounds how many of them one target may hold.
	gang, perTarget int
}

func (st *step) need() stepNeed {
	n := stepNeed{pool: st.job.pool, label: st.RequiredLabel, perTask: st.PerTask, backgroundCPU: st.backgroundCPU}
	if st.Gang {
		n.gang, n.perTarget = len(st.members), st.MaxPerTarget
	}
	return n
}

// countFitting returns how many of the given targets can hold a task of a step; 0 if they can't hold a
// gang as a whole.
func (st *step) countFitting(among []*target) int {
	fitting := slices.DeleteFunc(slices.Clone(among), func(t *target) bool { return t.Draining || t.retired || !st.fitsEmpty(t) })
	if st.Gang && capacityFor(st, fitting) < len(st.members) {
		return 0
	}
	return len(fitting)
}

// placeSearch is one search for jobs that other groups have to run. It remembers the answers for steps
// with equal needs.
type placeSearch struct {
	// here says whether this group's targets can hold a step, elsewhere how many targets of each other
	// group can.
	here      map[stepNeed]bool
	elsewhere map[stepNeed]map[string]int
	// foreign has the targets of the groups to which jobs may move, by group and service; nil before it is
	// needed.
	foreign map[capacityKey][]*target
	from    *foreignTargets
}

func (s *State) newPlaceSearch() *placeSearch {
	return &placeSearch{here: map[stepNeed]bool{}, elsewhere: map[stepNeed]map[string]int{}, from: &s.foreign}
}

// byGroup returns the targets of the groups to which jobs may move, by group and service.
func (f *foreignTargets) byGroup() map[capacityKey][]*target {
	groups := map[capacityKey][]*target{}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		t := f.targets[id]
		if !slices.Contains(f.cordoned, t.FailureDomain) && f.isOwned(t.FailureDomain) {
			key := capacityKey{t.FailureDomain, t.Service}
			groups[key] = append(groups[key], &target{Target: t})
		}
	}
	return groups
}

// isOwned reports whether a group has an owner that can adopt jobs, as far as that is known.
func (f *foreignTargets) isOwned(group string) bool {
	return f.owned == nil || slices.Contains(f.owned, group)
}

// fitsHere reports whether the targets of this group can hold a step.
func (p *placeSearch) fitsHere(st *step) bool {
	need := st.need()
	fits, known := p.here[need]
	if !known {
		fits = st.countFitting(st.job.pool.targets) > 0
		p.here[need] = fits
	}
	return fits
}

// fitsElsewhere counts by group the targets elsewhere that can hold a task of a step.
func (p *placeSearch) fitsElsewhere(st *step) map[string]int {
	need := st.need()
	fitting, known := p.elsewhere[need]
	if known {
		return fitting
	}
	if p.foreign == nil {
		p.foreign = p.from.byGroup()
	}
	fitting = map[string]int{}
	for key, targets := range p.foreign {
		if n := st.countFitting(targets); n > 0 && key.service == st.job.sub.Queue.Service {
			fitting[key.owner] = n
		}
	}
	p.elsewhere[need] = fitting
	return fitting
}

// moveMisplaced moves the jobs that wait for targets that only other groups have, or that may not start
// anything here because the failure domain is cordoned.
func (s *State) moveMisplaced(now time.Duration) {
	if s.leaving || !s.registryRead || now < s.foreign.nextCheck {
		return
	}
	s.foreign.nextCheck = now + moveCheckInterval
	search := s.newPlaceSearch()
	for _, j := range s.waiting {
		st := s.misplacedStep(j, search)
		switch {
		case st == nil:
			j.misplacedSince, j.emptying = 0, false
		case j.misplacedSince == 0:
			j.misplacedSince = now
		case now-j.misplacedSince >= moveDelay && s.foreign.moving < maxMoves:
			s.moveIfPossible(now, j, st, search)
		}
	}
}

// moveIfPossible moves a job for a misplaced step. Lasting tasks that run here never end by themselves:
// they are stopped if the other group can run all of the job.
func (s *State) moveIfPossible(now time.Duration, j *job, st *step, search *placeSearch) {
	group, complete := chooseGroup(j, st, search)
	switch {
	case group == "":
		j.emptying = false
	case !s.canMove(now, j):
	case !j.hasRuns():
		s.move(now, j, group)
	case complete && j.canBeStopped():
		s.stopToMove(now, j)
	}
}

// misplacedStep returns a step of a durable job whose turn has come and whose tasks can't start on any
// target of the group; nil if there is none.
func (s *State) misplacedStep(j *job, search *placeSearch) *step {
	if !j.stored || j.ended || j.moving {
		return nil
	}
	for _, st := range j.currentSteps() {
		if len(st.pending) > 0 && j.isReady(st) && (s.cordon.isCordoned() || !search.fitsHere(st)) {
			return st
		}
	}
	return nil
}

// canBeStopped reports whether all runs of a job that are in progress are of lasting tasks that may be down
// together for a while.
func (j *job) canBeStopped() bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool {
		st := t.step
		return t.run != nil && (!st.Lasting || st.KeepAvailable)
	})
}

// stopToMove stops the runs of a job that is to move. Nothing of it starts here until it has moved, or
// can start here again.
func (s *State) stopToMove(now time.Duration, j *job) {
	if !j.emptying {
		j.emptying = true
		s.unreserveJob(j)
		j.record(now, "stopped to move", "", "", "")
		s.emit(LogEvent{Message: "job stopped to move to another failure domain", Job: j.sub.Job.ID, Age: now - j.misplacedSince})
	}
	for _, t := range j.tasks {
		if t.run != nil {
			s.stop(now, t.run)
		}
	}
}

// canMove reports whether no run of a job can have ended, or be in progress, without this owner knowing
// it.
func (s *State) canMove(now time.Duration, j *job) bool {
	heldBack := s.isHeldBack(j) && !s.cordon.isCordoned()
	return s.stoppingRuns[j.sub.Job.ID] == 0 && s.mayStartNow(now, j) && !heldBack && !j.pool.hasUnusableTargets()
}

// hasRuns reports whether a run of a job may be in progress.
func (j *job) hasRuns() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.run != nil })
}

// chooseGroup returns the group that a job moves to for a step; empty if there is none. Groups that can
// hold all open steps of the job come first. Among equal ones the job's ID decides, so that the jobs of a
// group spread over the others by the number of their targets.
func chooseGroup(j *job, st *step, search *placeSearch) (group string, complete bool) {
	fitting := search.fitsElsewhere(st)
	holdsAll := func(group string) bool {
		return !slices.ContainsFunc(j.steps, func(other *step) bool {
			return other.openTasks > 0 && search.fitsElsewhere(other)[group] == 0
		})
	}
	var groups []string
	for _, group := range slices.Sorted(maps.Keys(fitting)) {
		switch all := holdsAll(group); {
		case all && !complete:
			groups, complete = []string{group}, true
		case all == complete:
			groups = append(groups, group)
		}
	}
	total := 0
	for _, group := range groups {
		total += fitting[group]
	}
	if total == 0 {
		return "", false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(j.sub.Job.ID))
	at := int(hash.Sum32()) % total
	for _, group := range groups {
		if at -= fitting[group]; at < 0 {
			return group, complete
		}
	}
	return groups[len(groups)-1], complete
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
