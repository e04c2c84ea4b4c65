package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// The tasks of a gang can work only while all of them run. They are started at once under one run
// number, or none of them is. When a member ends for another reason than that the work is done, all
// are stopped and start again together.

// Parameters of gangs.
const (
	// gangReserveDelay is how long a gang waits for capacity to become free by itself. Then as
	// many targets as it needs are reserved for it.
	gangReserveDelay = 100 * time.Millisecond
	// maxReservation bounds how long targets are reserved: a target that hangs frees nothing.
	maxReservation = 3 * time.Second
)

// failedRuns counts the failed runs of a task, or of all tasks of its gang.
func (st *step) failedRuns(t *task) int {
	if !st.Gang {
		return t.fails
	}
	fails := 0
	for _, member := range st.members {
		fails += member.fails
	}
	return fails
}

// placeGang starts all tasks of a gang, or none.
func (s *State) placeGang(now time.Duration, j *job, st *step, failed *failedPlacements) {
	if len(st.pending) < len(st.members) {
		// Some run of the last try has not ended yet.
		return
	}
	if st.waitingSince == 0 {
		st.waitingSince = now
	}
	places := s.findPlaces(now, j, st)
	if places == nil {
		failed.count++
		s.reserveForGang(now, j, st)
		return
	}
	s.unreserveForGang(j.pool, st)
	st.waitingSince = 0
	number := s.nextRunNumber(now, j.isDurable())
	for i, tk := range st.pending {
		s.startRun(now, places[i], tk, number)
	}
	st.pending = nil
}

// findPlaces returns a target for each pending task of a gang; nil if there is not enough capacity
// for all. A gang that wants one rack gets targets of one rack, unless no rack is large enough.
// Suspected targets are used if the others could not hold the gang.
func (s *State) findPlaces(now time.Duration, j *job, st *step) []*target {
	probing := j.pool.needsSuspected(now, st)
	if st.PreferOneRack {
		for _, rack := range j.pool.racks() {
			if places := s.findPlacesOn(now, j, st, usableByGang(now, j.pool.onRack(rack), probing)); places != nil {
				return places
			}
		}
		if j.pool.rackCanHoldGang(st) {
			return nil
		}
	}
	return s.findPlacesOn(now, j, st, usableByGang(now, j.pool.targets, probing))
}

// findPlacesOn is findPlaces among the given targets.
func (s *State) findPlacesOn(now time.Duration, j *job, st *step, among []*target) []*target {
	taken := map[*target]int{}
	var places []*target
	for _, tk := range st.pending {
		t := s.bestFit(now, j, st, tk, among, taken)
		if t == nil {
			return nil
		}
		taken[t]++
		places = append(places, t)
	}
	return places
}

// bestFit returns the target that one more task of a gang fits most tightly; nil if there is none.
// taken counts the gang's tasks that are to run on each target.
func (s *State) bestFit(now time.Duration, j *job, st *step, tk *task, among []*target, taken map[*target]int) *target {
	var best *target
	for _, t := range among {
		if !st.fitsBeside(t, t.free, taken[t]) || !s.canStart(now, t, j, st, tk) {
			continue
		}
		if best == nil || fitsBetter(now, t, best, st, tk) {
			best = t
		}
	}
	return best
}

// fitsBetter reports whether target t suits the task better than another one: first by rank, then
// by the tighter fit.
func fitsBetter(now time.Duration, t, than *target, st *step, tk *task) bool {
	if a, b := t.rank(now, st, tk), than.rank(now, st, tk); a != b {
		return a < b
	}
	return t.free.CPU < than.free.CPU
}

// fitsBeside reports whether one more task fits into the given capacity of a target, beside some
// others of its step.
func (st *step) fitsBeside(t *target, capacity work.Resources, others int) bool {
	if st.MaxPerTarget > 0 && st.runsOn[t.ID]+others >= st.MaxPerTarget {
		return false
	}
	for range others {
		capacity = capacity.Sub(st.PerTask)
	}
	return st.PerTask.FitsIn(capacity)
}

// canHoldGang reports whether the pool's targets could hold a gang if nothing else ran there.
func (p *pool) canHoldGang(st *step) bool { return capacityFor(st, p.targets) >= len(st.members) }

// rackCanHoldGang reports whether a single rack could hold a gang if nothing else ran there.
func (p *pool) rackCanHoldGang(st *step) bool {
	return slices.ContainsFunc(p.racks(), func(rack string) bool {
		return capacityFor(st, p.onRack(rack)) >= len(st.members)
	})
}

// capacityFor counts the tasks of a step that targets could hold at one time if nothing else ran
// there.
func capacityFor(st *step, among []*target) int {
	total := 0
	for _, t := range among {
		if st.RequiredLabel != "" && !slices.Contains(t.Labels, st.RequiredLabel) {
			continue
		}
		n := 0
		for n < len(st.members) && (st.MaxPerTarget == 0 || n < st.MaxPerTarget) {
			capacity := t.Capacity
			for range n {
				capacity = capacity.Sub(st.PerTask)
			}
			if !st.PerTask.FitsIn(capacity) {
				break
			}
			n++
		}
		total += n
	}
	return total
}

// racks returns the racks of the pool's targets, sorted.
func (p *pool) racks() []string {
	var racks []string
	for _, t := range p.targets {
		if !slices.Contains(racks, t.Rack) {
			racks = append(racks, t.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// onRack returns the pool's targets on a rack.
func (p *pool) onRack(rack string) []*target {
	var on []*target
	for _, t := range p.targets {
		if t.Rack == rack {
			on = append(on, t)
		}
	}
	return on
}

// reserveForGang reserves targets for a gang that has waited for gangReserveDelay. Otherwise small
// tasks would take each place as it becomes free. One gang of a pool has targets reserved at a
// time.
func (s *State) reserveForGang(now time.Duration, j *job, st *step) {
	p := j.pool
	s.expireGangReservation(now, p)
	if p.reservedFor != nil || now-st.waitingSince < gangReserveDelay {
		return
	}
	chosen := s.chooseTargets(now, j, st)
	if chosen == nil {
		return
	}
	// If this doesn't succeed, others get their turn before the next attempt.
	st.waitingSince = now + maxReservation
	p.reservedFor, p.reservedAt = st, now
	for _, t := range chosen {
		t.reservedFor = st
		s.markChanged(t)
	}
}

// expireGangReservation ends the reservation of targets for a gang that has not started in time.
func (s *State) expireGangReservation(now time.Duration, p *pool) {
	if p.reservedFor != nil && now-p.reservedAt > maxReservation {
		s.unreserveForGang(p, p.reservedFor)
	}
}

// expireReservations ends the reservations that have lasted too long. Their jobs need not be placed
// meanwhile, as those that move or wait for the store are not.
func (s *State) expireReservations(now time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[service]
		s.expireGangReservation(now, p)
		for _, t := range p.targets {
			if st := t.reservedFor; st != nil && st.evictionTarget == t && !t.isHeld() && now >= st.evictedAt+evictionTimeout {
				s.unreserveForStep(st)
			}
			if tk := t.isolated; tk != nil && tk.reservedTarget == t && (tk.job.moving || tk.job.emptying) {
				s.unreserveForSuspect(tk)
			}
		}
	}
}

// chooseTargets returns the targets to reserve for a gang: those with the most free CPU, of one
// rack if the gang wants that and a rack can hold it. It returns nil if no choice can hold the
// gang.
func (s *State) chooseTargets(now time.Duration, j *job, st *step) []*target {
	among, probing := j.pool.targets, j.pool.needsSuspected(now, st)
	if st.PreferOneRack {
		for _, rack := range j.pool.racks() {
			if on := j.pool.onRack(rack); capacityFor(st, s.availableTargets(now, usableByGang(now, on, probing))) >= len(st.members) {
				among = on
				break
			}
		}
	}
	available := s.availableTargets(now, usableByGang(now, among, probing))
	slices.SortStableFunc(available, func(a, b *target) int { return int(b.free.CPU - a.free.CPU) })
	for n := range available {
		if capacityFor(st, available[:n+1]) >= len(st.members) {
			return available[:n+1]
		}
	}
	return nil
}

// availableTargets returns those of the given targets that take new tasks, are neither isolated nor held,
// and may have their lease extended.
func (s *State) availableTargets(now time.Duration, among []*target) []*target {
	var available []*target
	for _, t := range among {
		if t.acceptsTasks() && t.isolated == nil && !t.isHeld() && s.canRenewLease(now, t) {
			available = append(available, t)
		}
	}
	return available
}

// unreserveForGang frees the targets that are reserved for a gang.
func (s *State) unreserveForGang(p *pool, st *step) {
	if p.reservedFor != st {
		return
	}
	p.reservedFor = nil
	for _, t := range p.targets {
		if t.reservedFor == st {
			t.reservedFor = nil
			s.markChanged(t)
		}
	}
}

// unreserveJob frees all targets that are reserved for a job's steps.
func (s *State) unreserveJob(j *job) {
	if st := j.pool.reservedFor; st != nil && st.job == j {
		s.unreserveForGang(j.pool, st)
	}
	for _, st := range j.currentSteps() {
		s.unreserveForStep(st)
	}
}

// stopGang stops the remaining runs of a gang after it lost a member.
func (s *State) stopGang(now time.Duration, st *step) {
	for _, member := range st.members {
		if member.run != nil && !member.done {
			s.stop(now, member.run)
		}
	}
}
