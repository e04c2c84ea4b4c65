package placement

import (
	"math"
	"time"
)

// Evidence against a target is a sequential likelihood ratio, in nats: a failure
// adds log(pBad / pClass), a success adds log((1-pBad) / (1-pClass)), and the sum
// never falls below zero. pBad is the failure rate of a bad target, and pClass the
// failure rate of the class of work elsewhere, at least leastRate. A failure in a
// class that fails as often elsewhere as at a bad target adds nothing.
const (
	badTargetRate = 0.5
	leastRate     = 0.01
	// maxRateForSuccess bounds pClass for successes, so that a success in a failing
	// class still lowers the evidence.
	maxRateForSuccess = 0.4
	// quarantineEvidence and quarantineJobs are the evidence and the number of
	// submissions that put a target into quarantine: three failures in a row of a
	// class that does not fail elsewhere.
	quarantineEvidence = 10.0
	quarantineJobs     = 3
	// doubtedEvidence is the evidence from which a target is used only as the last
	// resort.
	doubtedEvidence = quarantineEvidence / 2
)

// recordSuccess lowers the evidence against a target that returned a result.
func (s *State) recordSuccess(now time.Duration, t *target, c *class) {
	t.done++
	c.recordOutcome(t, outcomeGood)
	rate := math.Min(c.rateElsewhere(t), maxRateForSuccess)
	t.evidence = max(0, t.evidence+math.Log((1-badTargetRate)/(1-rate)))
	if t.evidence == 0 {
		t.failedJobs = t.failedJobs[:0]
	}
	s.updateDoubted(now, t)
	s.updateProbe(now, t, probeSucceeded)
}

// rateElsewhere returns the failure rate of the class: the higher of its mean rate
// and of the part of the targets in other racks that failed it last.
func (c *class) rateElsewhere(t *target) float64 {
	return min(1, max(leastRate, c.failureRate, c.badElsewhere(t)))
}

// recordFailure adds the failure of a started task to the evidence. A submission
// counts once at a target. The more racks it failed in, the less it counts, since
// the submission itself is then the likely cause.
func (s *State) recordFailure(now time.Duration, t *target, c *class, r Result) {
	t.failed++
	rate := c.rateElsewhere(t)
	c.recordOutcome(t, outcomeBad)
	weight := math.Max(0, math.Log(badTargetRate/rate))
	s.addFailure(now, t, r.Submission, weight)
	if rest := c.mean() - r.Runtime; rest > 0 {
		// A target that fails fast must not be free sooner than a working one.
		s.backOff(t, now+rest)
	}
	s.updateProbe(now, t, probeFailed)
	if t.evidence >= quarantineEvidence && len(t.failedJobs) >= quarantineJobs {
		s.quarantine(now, t, CauseFailures)
	}
}

// recordUnreachable records that no connection could be made. The outcomes at the
// target no longer count for their classes: its tasks that were lost would count
// as failures of the class, and no newer outcome can replace them.
func (s *State) recordUnreachable(now time.Duration, t *target) {
	t.failed++
	for _, c := range s.classes {
		c.forget(t)
	}
	s.updateProbe(now, t, probeFailed)
	if t.isQuarantined() {
		return
	}
	t.evidence = max(t.evidence, quarantineEvidence)
	s.updateDoubted(now, t)
	if !s.quarantine(now, t, CauseUnreachable) {
		s.backOff(t, now+s.opts.UnreachableProbeInterval)
	}
}

// checkUnresponsive puts a target that has stopped answering into quarantine, or
// lets it back off when too many targets are there. It reports whether the target
// may not be picked now.
func (s *State) checkUnresponsive(now time.Duration, t *target) bool {
	if t.isQuarantined() || !t.isUnresponsive(now) {
		return false
	}
	if s.quarantine(now, t, CauseUnresponsive) {
		return true
	}
	s.backOff(t, now+s.opts.ProbeInterval)
	s.updateBucket(t)
	return t.bucket == nil
}

// quarantineLimit returns how many targets may be in quarantine at once.
func (s *State) quarantineLimit() int {
	n := len(s.targets)
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*s.opts.MaxQuarantined))
}

// quarantine puts a target into quarantine, unless quarantineLimit targets are there
// already. It reports whether the target is in quarantine.
func (s *State) quarantine(now time.Duration, t *target, cause Cause) bool {
	if t.isQuarantined() {
		return true
	}
	if s.quarantined >= s.quarantineLimit() {
		return false
	}
	s.quarantined++
	t.cause = cause
	t.since = now
	t.backingOff = false
	t.probeDue = false
	t.probeSuccesses = 0
	t.probeInterval = s.opts.ProbeInterval
	if cause == CauseUnreachable {
		t.probeInterval = s.opts.UnreachableProbeInterval
	}
	s.scheduleProbe(t, now+t.probeInterval)
	s.setExcluded(t, true)
	s.updateBucket(t)
	return true
}

// endBackOff ends the backoff of a target.
func (s *State) endBackOff(t *target) {
	if t.backingOff {
		t.backingOff = false
		s.setExcluded(t, false)
	}
}

// reinstate returns a target to normal use, without evidence.
func (s *State) reinstate(t *target) {
	if t.isQuarantined() {
		s.quarantined--
		s.setExcluded(t, false)
	}
	t.cause = CauseNone
	t.evidence = 0
	t.failedJobs = t.failedJobs[:0]
	t.probeDue = false
	s.endBackOff(t)
	s.wakes.cancel(t)
	s.updateBucket(t)
}

// enforceQuarantineLimit reinstates targets when the list has become shorter, those
// first that have been in quarantine longest.
func (s *State) enforceQuarantineLimit(time.Duration) {
	for s.quarantined > s.quarantineLimit() {
		var oldest *target
		for _, t := range s.ordered {
			if t.isQuarantined() && (oldest == nil || t.since < oldest.since) {
				oldest = t
			}
		}
		s.reinstate(oldest)
	}
}

// probeOutcome is the result of a probe.
type probeOutcome uint8

const (
	probeSucceeded probeOutcome = iota + 1
	probeFailed
	probeUndecided
)

// updateProbe schedules the next probe of a target after the end of one of its
// tasks. A target in quarantine is reinstated after enough successes in a row, and
// a failure doubles its probe interval.
func (s *State) updateProbe(now time.Duration, t *target, outcome probeOutcome) {
	switch {
	case t.cause == CauseDoubted && outcome == probeSucceeded:
		s.scheduleProbe(t, now)
	case t.isLastResort() && t.probeAt <= now && !t.probeDue:
		s.scheduleProbe(t, now+s.opts.ProbeInterval)
	}
	if !t.isQuarantined() {
		return
	}
	t.probeDue = false
	switch outcome {
	case probeSucceeded:
		t.probeSuccesses++
		if t.probeSuccesses >= s.opts.ProbeSuccesses {
			s.reinstate(t)
			return
		}
		s.scheduleProbe(t, now)
	case probeFailed:
		t.probeSuccesses = 0
		t.probeInterval = min(2*t.probeInterval, s.opts.MaxProbeInterval)
		s.scheduleProbe(t, now+t.probeInterval)
	case probeUndecided:
		s.scheduleProbe(t, now+t.probeInterval)
	}
}

// updateDoubted moves a target between normal use and use as the last resort by the
// evidence of failures.
func (s *State) updateDoubted(now time.Duration, t *target) {
	doubted := t.evidence >= doubtedEvidence
	switch {
	case doubted && t.cause == CauseNone:
		t.cause = CauseDoubted
		t.since = now
		s.scheduleProbe(t, now+s.opts.ProbeInterval)
	case !doubted && t.cause == CauseDoubted:
		t.cause = CauseNone
		t.probeDue = false
		s.endBackOff(t)
		s.wakes.cancel(t)
	}
	s.updateBucket(t)
}

// updateSlow moves a target between normal use and use as the last resort by its
// run times. For a slow target only the newest task counts, so that a few good ones
// in a row reinstate it.
func (s *State) updateSlow(now time.Duration, t *target) {
	limit := math.Log(s.opts.SlowRatio)
	if t.cause == CauseSlow {
		s.endSlowProbe(now, t, t.newestRatio < limit/2)
		return
	}
	proved := t.tasks >= slowTasks && len(t.ratioJobs) >= slowSubmissions
	if t.cause != CauseNone || !proved || t.logRatio < limit {
		return
	}
	t.cause = CauseSlow
	t.since = now
	s.endBackOff(t)
	t.probeSuccesses = 0
	t.probeInterval = s.opts.ProbeInterval
	s.scheduleProbe(t, now+t.probeInterval)
}

// endSlowProbe schedules the next probe of a slow target, or reinstates it after
// enough good tasks in a row.
func (s *State) endSlowProbe(now time.Duration, t *target, good bool) {
	if !good {
		t.probeSuccesses = 0
		if t.probeAt <= now && !t.probeDue {
			t.probeInterval = min(2*t.probeInterval, s.opts.MaxProbeInterval)
			s.scheduleProbe(t, now+t.probeInterval)
		}
		return
	}
	t.probeSuccesses++
	if t.probeSuccesses < s.opts.ProbeSuccesses {
		s.scheduleProbe(t, now)
		return
	}
	t.logRatio = 0
	t.tasks = 0
	t.ratioJobs = t.ratioJobs[:0]
	s.reinstate(t)
}

// Exclusion says whether units of a target are of use to this VM.
type Exclusion struct {
	Target   string
	Excluded bool
}

// TakeExclusions returns the changes since the last call, for the capacity duty.
func (s *State) TakeExclusions() []Exclusion {
	changes := s.exclusions
	s.exclusions = nil
	return changes
}

// setExcluded records an exclusion or its end for TakeExclusions.
func (s *State) setExcluded(t *target, excluded bool) {
	s.exclusions = append(s.exclusions, Exclusion{Target: t.id, Excluded: excluded})
}

// requestProbeUnit ends the exclusion of a target in quarantine of which the VM
// holds no free unit, so that the VM requests one for the probe.
func (s *State) requestProbeUnit(t *target) {
	if t.isQuarantined() && !t.free {
		s.setExcluded(t, false)
	}
}
