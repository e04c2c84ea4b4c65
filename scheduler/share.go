package scheduler

import "time"

// Tasks that fill take the processor that others on their target leave unused, and disturb
// those that serve users of their own. The two kinds are kept on targets of their own: where
// a serving task finds no other place, the filling ones make room.

// share takes what tasks that fill want of their target's processor off what counts
// against its room.
func (st *step) share() {
	if st.Fills {
		st.filling, st.Each.CPU = st.Each.CPU, 0
	}
}

// sharesWith reports whether tasks of a step may run beside what runs on a target.
func (st *step) sharesWith(t *target) bool {
	switch {
	case st.Fills:
		return t.serving == 0 && t.filled+st.filling <= t.Capacity.CPU
	case st.Serves:
		return t.fillers == 0
	}
	return true
}

// sharing counts a run that comes or goes.
func (t *target) sharing(st *step, by int) {
	if st.Fills {
		t.fillers += by
		t.filled += int64(by) * st.filling
	}
	if st.Serves {
		t.serving += by
	}
}

// pickFill chooses the target with the most room for a task that fills.
func (s *State) pickFill(now time.Duration, j *job, st *step, tk *task) *target {
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		for _, t := range j.pool.buckets[bucket] {
			if s.may(now, t, j, st, tk) {
				return t
			}
		}
	}
	return nil
}

// clear stops the filling tasks of a target that a serving one could have, and keeps the
// target for it meanwhile.
func (s *State) clear(now time.Duration, j *job, st *step) {
	if st.held != nil && now < st.cleared+clearPause {
		return
	}
	s.letGo(st)
	for _, t := range j.pool.targets {
		if t.fillers == 0 || !t.open() || t.reserved != nil || !st.Each.Fits(t.free) || !st.fitsOn(t) || !st.advice.allows(now, t.ID) {
			continue
		}
		st.held, st.cleared, t.reserved = t, now, st
		s.touch(t)
		for _, r := range t.sortedRuns() {
			if r.task.step.Fills {
				s.stop(now, r)
			}
		}
		return
	}
}

// letGo ends the keeping of a target for a serving step.
func (s *State) letGo(st *step) {
	if st.held == nil {
		return
	}
	st.held.reserved = nil
	s.touch(st.held)
	st.held = nil
}

// clearPause is what the stops take at most, with the listing of their ends; a target that
// takes longer is let go and another one tried.
const clearPause = 300 * time.Millisecond
