package scheduler

import (
	"slices"
	"time"
)

// A suspected target gets single tasks that show whether it has recovered. Each kind of task of a durable job
// can be such a probe, and each kind can end the suspicion: the tasks that wait may all be of one kind, or may
// all have failed there.

// Parameters of probes.
const (
	// probeTime is how long a suspected target gets no other task while a run there has not ended. Runs may
	// last for minutes.
	probeTime = 2500 * time.Millisecond
	// firstProbeDelay is how long a task that has failed once waits before it may run on a suspected target,
	// laterProbeDelay how long one that has failed more often. A task may fail only a few times: its runs
	// should not all meet the same fault.
	firstProbeDelay = 2 * time.Second
	laterProbeDelay = 8 * time.Second
)

// canProbe reports whether a suspected target may get a task of a caller, whose time would be lost: only
// if nothing else runs there.
func (h *health) canProbe(now time.Duration, t *target) bool {
	return now >= h.probeAfter && len(t.runs) == 0
}

// canDurableProbe reports whether a suspected target may get a task of a durable job.
func (h *health) canDurableProbe(now time.Duration, t *target) bool {
	if now < h.durableProbeAfter {
		return false
	}
	for _, r := range t.runs {
		if now-r.ordered < r.probeTime() {
			return false
		}
	}
	return true
}

// probeTime is how long a run keeps a suspected target from getting another task. Lasting runs never
// succeed; a healthy one lasts for shortRun.
func (r *run) probeTime() time.Duration {
	if r.task.step.Lasting {
		return shortRun
	}
	return probeTime
}

// mayProbe reports whether a task may run on a suspected target.
func (t *task) mayProbe(now time.Duration) bool {
	switch t.step.failedRuns(t) {
	case 0:
		return true
	case 1:
		return now >= t.step.lastFailure(t)+firstProbeDelay
	default:
		return now >= t.step.lastFailure(t)+laterProbeDelay
	}
}

// lastFailure returns when a run of a task, or of a task of its gang, was last known to have failed.
func (st *step) lastFailure(t *task) time.Duration {
	last := t.failedAt
	for _, member := range st.members {
		if st.Gang {
			last = max(last, member.failedAt)
		}
	}
	return last
}

// pickSuspected chooses a suspected target that may get a task; nil if there is none.
func (s *State) pickSuspected(now time.Duration, j *job, st *step, tk *task) *target {
	for _, t := range j.pool.suspectTargets {
		may := t.health.canProbe(now, t) || j.isDurable() && t.health.canDurableProbe(now, t)
		if may && tk.mayProbe(now) && s.canStart(now, t, j, st, tk) {
			return t
		}
	}
	return nil
}

// mayUseSlow reports whether a task of a step may start on a slow target: its job can still be on time
// there, or nothing else runs there, so that its run shows whether the target is still slow. A durable job
// takes what there is once it has waited.
func (s *State) mayUseSlow(now time.Duration, t *target, j *job, st *step) bool {
	switch {
	case now+time.Duration(t.health.speed*float64(st.expectedRuntime)) <= j.objective:
		return true
	case j.isDurable() && now-j.arrived >= probeTime:
		return true
	}
	return len(t.runs) == 0
}

// needsSuspected reports whether a gang may run on suspected targets: its job is durable, and the other
// targets could not hold it even if nothing else ran there.
func (p *pool) needsSuspected(now time.Duration, st *step) bool {
	if !st.job.isDurable() || len(p.suspectTargets) == 0 || len(st.pending) == 0 || !st.pending[0].mayProbe(now) {
		return false
	}
	trusted := slices.DeleteFunc(usableByGang(now, p.targets, false), func(t *target) bool { return !t.acceptsTasks() })
	return capacityFor(st, trusted) < len(st.members)
}

// usableByGang returns those of the given targets that a gang may use as far as their health goes: the
// trusted ones and, if it is a probe, those that may be probed now.
func usableByGang(now time.Duration, among []*target, probing bool) []*target {
	var usable []*target
	for _, t := range among {
		if !t.health.suspected || probing && t.health.canDurableProbe(now, t) {
			usable = append(usable, t)
		}
	}
	return usable
}

// hasSurvivingProbe reports whether a lasting task that began on a suspected target runs like a healthy
// one. Where other runs don't end, that shows nothing.
func (t *target) hasSurvivingProbe(now time.Duration) bool {
	if t.health.hung {
		return false
	}
	for _, r := range t.runs {
		if r.task.step.Lasting && r.state == running && r.listed && r.stop == nil && r.ordered >= t.health.suspectedSince && now-r.ordered >= shortRun {
			return true
		}
	}
	return false
}

// endSuspicion clears the failures of a target after a run that went well.
func (s *State) endSuspicion(t *target) {
	h := &t.health
	clear(h.failures)
	h.backoff = minBackoff
	if !h.suspected {
		return
	}
	s.emit(LogEvent{Message: "target trusted again", Target: t.ID})
	h.suspected, h.hung = false, false
	h.speed = min(h.speed, slowSpeed)
	s.markChanged(t)
}
