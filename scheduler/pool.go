package scheduler

import (
	"slices"
	"time"
)

// pool holds the targets of a service. Open targets, those that take new tasks, are indexed by
// their free processor, so that finding a target and summing free capacity need not visit all.
type pool struct {
	targets []*target
	// arrivingCount counts the targets that are being taken over and will take tasks.
	arrivingCount int
	// blocked says that nothing may be started on the targets.
	blocked bool
	// isolations counts isolated runs of suspect tasks and the targets reserved for one.
	isolations int
	// suspectTargets are the targets whose health is suspected.
	suspectTargets []*target
	buckets        [bucketCount][]*target
	// openCPU is the total processor of open targets; releaseRate is the processor that their runs
	// free per millisecond.
	openCPU     int64
	releaseRate float64
	// fits is kept for the corrected forecast; nil without it.
	fits *fitRates
	// returns is what refused callers are promised.
	returns returnPlan
	// medianSpeed is the median of the targets' health.speed.
	medianSpeed float64
	// typicalCPU is the moving average of a task's need, in thousandths of a core; 0 before the
	// first.
	typicalCPU float64
	// demand is the recently accepted work by priority, in thousandths of a core times seconds, as
	// of demandAt.
	demand [Priorities]float64
	// arrivedCPU is the processor of the recently accepted tasks by priority, in thousandths of a core,
	// arrivedJobs the number of their jobs; both as of demandAt.
	arrivedCPU, arrivedJobs [Priorities]float64
	demandAt                time.Duration
	// placeByEnd is Options.PlaceByEnd.
	placeByEnd bool
	// reservedFor is the gang that targets are reserved for since reservedAt; nil for none.
	reservedFor *step
	reservedAt  time.Duration
	// shares divides the targets' processor among the operator's profiles; nil without profiles.
	shares *poolShares
}

// Sizes of the index of open targets.
const (
	// bucketWidth is small compared with the need of a task, in thousandths of a core.
	bucketWidth = 1000
	// bucketCount covers targets of 128 cores; targets with more free processor share the last one.
	bucketCount = 128
)

func bucketOf(cpu int64) int { return int(min(max(cpu, 0)/bucketWidth, bucketCount-1)) }

// indexEntry is what a pool has recorded of a target, and where.
type indexEntry struct {
	open        bool
	arriving    bool
	suspected   bool
	bucket      int
	position    int
	cpu         int64
	releaseRate float64
}

// isOpen reports whether a target takes new tasks without restriction.
func (t *target) isOpen() bool {
	return t.acceptsTasks() && !t.health.suspected && t.reservedFor == nil && t.isolated == nil
}

// acceptsTasks reports whether a target takes any new tasks at all.
func (t *target) acceptsTasks() bool {
	return t.state == usable && !t.Draining && !t.retired && !t.doubtful && !t.pool.blocked
}

// markChanged updates a target's index entry and has the next Effects check whether to poll it.
func (s *State) markChanged(t *target) {
	t.pool.remove(t)
	if s.targets[t.ID] == t {
		t.pool.insert(t)
	}
	s.syncShares(t)
	s.checkPoll(t)
}

// checkPoll has the next Effects check whether to poll a target.
func (s *State) checkPoll(t *target) {
	if !t.dirty {
		t.dirty = true
		s.dirty = append(s.dirty, t)
	}
}

func (p *pool) insert(t *target) {
	if t.health.suspected {
		t.indexed.suspected = true
		p.suspectTargets = append(p.suspectTargets, t)
	}
	if t.isArriving() {
		t.indexed.arriving = true
		p.arrivingCount++
	}
	if !t.isOpen() {
		return
	}
	bucket := bucketOf(t.free.CPU)
	t.indexed = indexEntry{open: true, bucket: bucket, position: len(p.buckets[bucket]), cpu: t.Capacity.CPU, releaseRate: t.releaseRate}
	p.buckets[bucket] = append(p.buckets[bucket], t)
	p.openCPU += t.indexed.cpu
	p.releaseRate += t.indexed.releaseRate
	p.fits.add(t)
}

func (p *pool) remove(t *target) {
	if t.indexed.suspected {
		p.suspectTargets = slices.DeleteFunc(p.suspectTargets, func(other *target) bool { return other == t })
	}
	if t.indexed.arriving {
		p.arrivingCount--
	}
	if t.indexed.open {
		list := p.buckets[t.indexed.bucket]
		last := len(list) - 1
		list[t.indexed.position] = list[last]
		list[t.indexed.position].indexed.position = t.indexed.position
		list[last] = nil
		p.buckets[t.indexed.bucket] = list[:last]
		p.openCPU -= t.indexed.cpu
		p.releaseRate -= t.indexed.releaseRate
		p.fits.remove(t)
	}
	t.indexed = indexEntry{}
}

// freeCPU returns the free processor of open targets that tasks of a given size can use now.
func (p *pool) freeCPU(each int64) int64 {
	total := int64(0)
	for bucket := bucketOf(each); bucket < bucketCount; bucket++ {
		list := p.buckets[bucket]
		if len(list) == 0 {
			continue
		}
		if bucket == bucketOf(each) || bucket == bucketCount-1 {
			for _, t := range list {
				total += cpuForWholeTasks(t.free.CPU, each)
			}
			continue
		}
		total += int64(len(list)) * cpuForWholeTasks(int64(bucket)*bucketWidth, each)
	}
	return total
}

func cpuForWholeTasks(free, each int64) int64 {
	if each <= 0 {
		return free
	}
	return free / each * each
}

// pickTarget chooses the target with the least free processor that fits a task, so that large tasks
// find capacity elsewhere. A target with a worse rank is chosen only if no better one fits.
func (s *State) pickTarget(now time.Duration, j *job, st *step, tk *task) *target {
	if st.Background {
		return s.pickBackgroundTarget(now, j, st, tk)
	}
	if st.evictionTarget != nil && s.canStart(now, st.evictionTarget, j, st, tk) {
		return st.evictionTarget
	}
	if tk.reservedTarget != nil {
		return nil
	}
	p := j.pool
	var best *target
	for bucket := bucketOf(st.PerTask.CPU); bucket < bucketCount; bucket++ {
		for _, t := range p.buckets[bucket] {
			if !s.canStart(now, t, j, st, tk) || best != nil && best.rank(now, st, tk) <= t.rank(now, st, tk) {
				continue
			}
			if best = t; t.rank(now, st, tk) == 0 {
				return t
			}
		}
	}
	if best != nil {
		return best
	}
	return s.pickSuspected(now, j, st, tk)
}

// canFit reports whether any target is large enough for a step.
func (p *pool) canFit(st *step) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return st.fitsEmpty(t)
	})
}

// hasUnusableTargets reports whether a target is not usable yet, or not any more.
func (p *pool) hasUnusableTargets() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.state != usable })
}

// arrivingCPU returns the processor that tasks of a given size will have on targets that are being
// taken over. A new owner has all of them within a few round trips, and callers refused meanwhile
// would be refused while targets are free.
func (p *pool) arrivingCPU(each int64) int64 {
	if p.arrivingCount == 0 {
		return 0
	}
	total := int64(0)
	for _, t := range p.targets {
		if t.isArriving() {
			total += cpuForWholeTasks(t.Capacity.CPU, each)
		}
	}
	return total
}

// isArriving reports whether a target is being taken over, or asked whether it is still there, and
// will take tasks.
func (t *target) isArriving() bool {
	return (t.state == adopting || t.state == usable && t.doubtful) && t.failedPolls == 0 && !t.Draining && !t.retired && !t.pool.blocked
}

// supply returns the processor that tasks of a given size can have now, and the processor that runs
// free per millisecond.
func (p *pool) supply(now time.Duration, each int64) (free int64, rate float64) {
	free = p.freeCPU(each)
	for _, t := range p.suspectTargets {
		if t.acceptsTasks() && t.health.canProbe(now, t) {
			free += min(t.free.CPU, each)
		}
	}
	return free, max(p.releaseRate, 0)
}

// hasCapacityElsewhere reports whether another open target could run a task of a step now.
func (s *State) hasCapacityElsewhere(now time.Duration, t *target, st *step) bool {
	for bucket := bucketOf(st.PerTask.CPU); bucket < bucketCount; bucket++ {
		for _, other := range t.pool.buckets[bucket] {
			if other != t && st.fitsBeside(other, other.free, 0) && st.fitsEmpty(other) && st.advice.allows(now, other.ID) {
				return true
			}
		}
	}
	return false
}
