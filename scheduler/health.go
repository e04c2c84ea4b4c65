package scheduler

import (
	"slices"
	"time"
)

// health is the evidence that a target is faulty. Failures of a single job may be that job's own
// fault and are not enough.
type health struct {
	// speed is the moving average of run time divided by expected run time; higher is slower.
	speed float64
	// usualSpeed is a slower moving average of the same, which a few unusual runs hardly change.
	usualSpeed float64
	// failures holds, by job, the last failure here since the last successful run.
	failures map[string]time.Duration
	// probeAfter is when the target may be probed by tasks of callers, durableProbeAfter when by those of
	// durable jobs; backoff is how long it gets no task after the next suspicion.
	probeAfter, durableProbeAfter, backoff time.Duration
	// suspectedSince is when the target came under suspicion.
	suspectedSince time.Duration
	// suspected targets get single tasks from probeAfter on; see probe.go. hung ones came under suspicion
	// for a run that doesn't end.
	suspected, hung bool
}

// Parameters of suspicion.
const (
	// minFailedJobs is how many jobs must have had failures on a target.
	minFailedJobs = 2
	// minBackoff and maxBackoff bound how long a suspected target gets no task.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// failureRetention is how long a failure counts.
	failureRetention = 3 * time.Second
	// speedWeight is the weight of the newest run in the moving average.
	speedWeight = 0.3
	// slowSpeed is the speed above which a target is used only where a job can still be on time
	// there: twice the normal variation of successful runs.
	slowSpeed = 2.0
	// overdueFactor and overdueSlack bound how long a run may take before it counts as a failure of
	// its target. Run times vary by up to four times their mean, but only one in a hundred exceeds
	// 2.5 times.
	overdueFactor = 2.5
	overdueSlack  = 30 * time.Millisecond
	// maxSuspectedShare is the share of a service's targets that may be suspected at one time.
	maxSuspectedShare = 0.34
)

func newHealth() health {
	return health{speed: 1, usualSpeed: 1, failures: map[string]time.Duration{}, backoff: minBackoff}
}

func (h *health) markSuspected(now time.Duration) {
	if !h.suspected {
		h.suspected, h.suspectedSince = true, now
	}
	h.probeAfter, h.durableProbeAfter = now+h.backoff, now+h.backoff
	h.backoff = min(2*h.backoff, maxBackoff)
}

// recordFailure counts a failed run or a lost answer against a target.
func (s *State) recordFailure(now time.Duration, t *target, j *job) {
	h := &t.health
	if _, known := h.failures[j.sub.Job.ID]; known && !h.suspected {
		return
	}
	h.failures[j.sub.Job.ID] = now
	for job, at := range h.failures {
		if now-at > failureRetention {
			delete(h.failures, job)
		}
	}
	if h.suspected {
		h.markSuspected(now)
		return
	}
	defer s.markChanged(t)
	if len(h.failures) >= minFailedJobs && s.canSuspect(t.pool) {
		s.emit(LogEvent{Message: "target suspected", Target: t.ID, Job: j.sub.Job.ID})
		h.markSuspected(now)
	}
}

// recordFailedRun counts a failed run against its target, unless the job fails on several targets.
func (s *State) recordFailedRun(now time.Duration, t *target, j *job) {
	j.failedTargets[t.ID] = true
	if len(j.failedTargets) >= minFailedJobs {
		for id := range j.failedTargets {
			if other := s.targets[id]; other != nil {
				delete(other.health.failures, j.sub.Job.ID)
			}
		}
		return
	}
	s.recordFailure(now, t, j)
}

func (s *State) canSuspect(p *pool) bool {
	return float64(len(p.suspectTargets)+1) <= maxSuspectedShare*float64(len(p.targets))
}

// recordSuccess updates a target's speed and clears its failures after a successful run.
func (s *State) recordSuccess(now time.Duration, t *target, r *run) {
	h := &t.health
	if r.adopted || r.cold || r.task.step.Background {
		// These runs say nothing of the target's speed: the start of adopted runs is not known,
		// cold targets are slow for a while, and background tasks get only processor that others
		// leave unused.
		if r.task.job.isDurable() {
			s.endSuspicion(t)
		}
		return
	}
	took := now - r.ordered
	if s.losesAnswers(now) && now-t.pollCopies.lastSent < promptPollTime {
		// The run had ended before the poll, at some time since it was last listed. Assume the
		// expected time where that is possible.
		took = min(took, max(t.lastAnswer-r.ordered, r.expected))
	}
	speed := float64(took) / float64(r.expected)
	h.speed += speedWeight * (min(speed, maxSampleSpeed) - h.speed)
	h.observeUsual(speed)
	if !h.suspected && !t.isSlow() {
		r.task.job.estimate.observe(took, r.task.step.DeclaredRunTime)
	}
	if speed > overdueFactor && !r.task.job.isDurable() {
		return
	}
	s.endSuspicion(t)
}

// isSlow reports whether a target takes much longer than the median one. Where all targets do, the
// declared run times are wrong.
func (t *target) isSlow() bool { return t.health.speed > slowSpeed*max(t.pool.medianSpeed, 1) }

// isCold reports whether a target is still slow after its start. That is no fault: its runs do
// not count for its speed, and other targets with capacity are preferred.
func (t *target) isCold(now time.Duration) bool { return now < t.warmAt }

// computeMedianSpeed returns the median speed of a pool's targets.
func (p *pool) computeMedianSpeed() float64 {
	if len(p.targets) == 0 {
		return 1
	}
	speeds := make([]float64, 0, len(p.targets))
	for _, t := range p.targets {
		speeds = append(speeds, t.health.speed)
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// maxSampleSpeed bounds what one run can add to the moving average.
const maxSampleSpeed = 10.0

// promptPollTime is the time within which a target answers a poll that need not wait.
const promptPollTime = 10 * time.Millisecond

// checkRuns handles the runs of a target that should have ended.
func (s *State) checkRuns(now time.Duration, t *target) {
	runningUntil := s.lastKnownRunning(now, t)
	for _, r := range t.sortedRuns() {
		if r.state != running || r.stop != nil || r.task.job.dropped {
			continue
		}
		if r.task.step.Background && r.isStuck(runningUntil) {
			s.stopStuck(now, r)
		}
		if !r.isOverdue(now) || !r.isOverdue(runningUntil) {
			continue
		}
		s.recordOverdue(now, t, r)
		if r.isHung(runningUntil) && !t.health.suspected && s.canSuspect(t.pool) {
			s.emit(LogEvent{Message: "target suspected", Target: t.ID, Task: r.Task, Detail: "a run does not end", Age: now - r.ordered})
			t.health.markSuspected(now)
			t.health.hung = true
			s.markChanged(t)
		}
		if r.isStuck(runningUntil) {
			s.stopStuck(now, r)
		}
	}
	if !t.health.suspected {
		return
	}
	if t.hasSurvivingProbe(now) {
		s.endSuspicion(t)
		return
	}
	for _, r := range t.sortedRuns() {
		if r.state == running && r.stop == nil && s.shouldMove(now, runningUntil, t, r) {
			s.emit(LogEvent{Message: "run moved", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered})
			s.stop(now, r)
		}
	}
}

// recordOverdue counts an overdue run against its target. While it stays overdue it keeps tasks of callers
// away, which might hang as well. It postpones a probe by a durable job once: the run may just be long.
func (s *State) recordOverdue(now time.Duration, t *target, r *run) {
	probeAfter := t.health.durableProbeAfter
	s.recordFailure(now, t, r.task.job)
	if r.overdueNoted {
		t.health.durableProbeAfter = probeAfter
	}
	r.overdueNoted = true
}

// stopStuck stops a run that has taken too long, so that its task is placed again.
func (s *State) stopStuck(now time.Duration, r *run) {
	s.emit(LogEvent{Message: "run takes too long", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Age: now - r.ordered})
	r.task.stuckRuns++
	s.stop(now, r)
}

// lastKnownRunning returns until when a target's listed runs are known to be running. A polled
// target reports completions at once. While answers get lost its silence proves nothing: good
// targets would be suspected for completions that were reported and lost.
func (s *State) lastKnownRunning(now time.Duration, t *target) time.Duration {
	if s.losesAnswers(now) {
		return t.lastAnswer
	}
	return now
}

// isOverdue reports whether a run should have ended. Lasting tasks never should, and background
// tasks have no predictable run time.
func (r *run) isOverdue(now time.Duration) bool {
	return !r.task.step.Lasting && !r.task.step.Background && now-r.ordered > time.Duration(overdueFactor*float64(r.allowedTime()))+overdueSlack
}

// coldFactor is how many times as long a run may take on a cold target.
const coldFactor = 3

// allowedTime is the expected run time, longer where the target was cold.
func (r *run) allowedTime() time.Duration {
	if r.cold {
		return coldFactor * r.expected
	}
	return r.expected
}

// hungFactor covers the longest run times, four times their mean, even where the mean is 1.5 times
// the declared time.
const hungFactor = 6

// isHung reports whether a run has taken so long that it alone makes its target suspect.
func (r *run) isHung(now time.Duration) bool {
	return now-r.ordered > hungFactor*r.allowedTime()+overdueSlack
}

// Parameters of stuck runs.
const (
	// minStuckTime is the least time after which a durable job's run counts as stuck. By then the other
	// runs of its target have shown whether the target is at fault.
	minStuckTime = 2 * time.Second
	// backgroundStuckFactor and minBackgroundStuckTime are in place of hungFactor and minStuckTime for
	// background runs, which may get little processor for a while.
	backgroundStuckFactor  = 30
	minBackgroundStuckTime = 12 * time.Second
)

// isStuck reports whether a durable job's run should be stopped and placed again on any target: no
// caller gives the job up. The limit doubles each time, as the run may just be long.
func (r *run) isStuck(now time.Duration) bool {
	if !r.task.job.isDurable() || r.task.step.Lasting {
		return false
	}
	limit := max(hungFactor*r.expected, minStuckTime)
	if r.task.step.Background {
		limit = max(backgroundStuckFactor*r.expected, minBackgroundStuckTime)
	}
	return now-r.ordered > limit<<min(r.task.stuckRuns, maxDoublings)
}

// maxDoublings bounds the limit for a stuck run at minutes.
const maxDoublings = 6

// shouldMove reports whether a run on a suspected target would end earlier elsewhere, while its
// answer is still of use.
func (s *State) shouldMove(now, runningUntil time.Duration, t *target, r *run) bool {
	if r.task.step.Lasting || r.task.step.Gang || r.task.step.Background || r.task.job.dropped {
		return false
	}
	elsewhere := now + s.options.StopTimeout + r.expected
	if elsewhere > r.task.job.usefulUntil && !r.task.job.isDurable() || !s.hasCapacityElsewhere(now, t, r.task.step) {
		return false
	}
	if r.ordered > t.health.suspectedSince {
		// This run probes whether the target has recovered.
		return r.isOverdue(runningUntil)
	}
	speed := max(t.health.speed, float64(runningUntil-r.ordered)/float64(r.expected))
	here := r.ordered + time.Duration(speed*float64(r.expected))
	return r.isOverdue(runningUntil) || speed > slowSpeed && here > elsewhere+r.expected/2
}
