package scheduler

import "time"

// Background tasks use the processor that others on their target leave unused, and disturb
// latency-sensitive tasks. The two never share a target: where a latency-sensitive task finds no
// other target, background tasks are stopped to free one.

// excludeBackgroundCPU removes the processor that background tasks want from what they reserve on
// their target.
func (st *step) excludeBackgroundCPU() {
	if st.Background {
		st.backgroundCPU, st.PerTask.CPU = st.PerTask.CPU, 0
	}
}

// canRunBeside reports whether tasks of a step may run beside the runs of a target.
func (st *step) canRunBeside(t *target) bool {
	switch {
	case st.Background:
		return t.latencySensitiveRuns == 0 && t.backgroundCPU+st.backgroundCPU <= t.Capacity.CPU
	case st.LatencySensitive:
		return t.backgroundRuns == 0
	}
	return true
}

// countSharing adds by to the target's counts of runs of the step's kind: 1 for a run that starts,
// -1 for one that has ended.
func (t *target) countSharing(st *step, by int) {
	if st.Background {
		t.backgroundRuns += by
		t.backgroundCPU += int64(by) * st.backgroundCPU
	}
	if st.LatencySensitive {
		t.latencySensitiveRuns += by
	}
}

// pickBackgroundTarget chooses the target with the most free processor for a background task.
func (s *State) pickBackgroundTarget(now time.Duration, j *job, st *step, tk *task) *target {
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		for _, t := range j.pool.buckets[bucket] {
			if s.canStart(now, t, j, st, tk) {
				return t
			}
		}
	}
	return s.pickSuspected(now, j, st, tk)
}

// evictBackground stops the background tasks of a target that a latency-sensitive step could use
// and reserves the target for it.
func (s *State) evictBackground(now time.Duration, j *job, st *step) {
	if st.evictionTarget != nil && now < st.evictedAt+evictionTimeout {
		return
	}
	s.unreserveForStep(st)
	for _, t := range j.pool.targets {
		if t.backgroundRuns == 0 || !t.isOpen() || t.reservedFor != nil || !st.PerTask.FitsIn(t.free) || !st.fitsEmpty(t) || !st.advice.allows(now, t.ID) {
			continue
		}
		st.evictionTarget, st.evictedAt, t.reservedFor = t, now, st
		s.markChanged(t)
		for _, r := range t.sortedRuns() {
			if r.task.step.Background {
				s.stop(now, r)
			}
		}
		return
	}
}

// unreserveForStep ends the reservation of a target for a latency-sensitive step.
func (s *State) unreserveForStep(st *step) {
	if st.evictionTarget == nil {
		return
	}
	st.evictionTarget.reservedFor = nil
	s.markChanged(st.evictionTarget)
	st.evictionTarget = nil
}

// evictionTimeout is the longest that the stops take, with the listing of their completions. A
// target that takes longer is released and another one is tried.
const evictionTimeout = 300 * time.Millisecond
