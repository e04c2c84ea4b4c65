package scheduler

import (
	"math"
	"time"
)

// lease tracks a target's clock and the lease of its runs.
type lease struct {
	// clock is the newest known value of the target's clock; the target read it at readAt or
	// earlier.
	clock  int64
	readAt time.Duration
	known  bool
	// until is the latest end ever requested.
	until int64
}

// minClockRate is the slowest that a target's clock may run relative to true time. The platform
// guarantees 2 % and this allows as much again for this VM's own clock.
const minClockRate = 0.96

// slowest returns how long a time span of the slowest clock lasts at most.
func slowest(span time.Duration) time.Duration { return time.Duration(float64(span) / minClockRate) }

func (l *lease) update(clock int64, at time.Duration) {
	if clock == 0 || l.known && clock < l.clock {
		return
	}
	l.clock, l.readAt, l.known = clock, at, true
}

// endAfter returns the target's clock value for a time span from now.
func (l *lease) endAfter(now, length time.Duration) int64 {
	return l.clock + (now - l.readAt + length).Milliseconds()
}

// hasLapsed reports whether an end has certainly passed on the target's clock.
func (l *lease) hasLapsed(now time.Duration, until int64) bool {
	return l.known && l.clockAt(now) > until
}

// clockAt returns a value that the target's clock has reached by a time, however slow it is.
func (l *lease) clockAt(at time.Duration) int64 {
	return l.clock + int64(minClockRate*float64((at-l.readAt).Milliseconds()))
}

// A lease covers all runs of its target, and ends them when nothing else does. So it must not outlast
// the evidence that the callers of these runs still wait: a caller whose connection broke sends its
// job again, maybe through other VMs, and the runs of its first request have to be over by then.

// resendMargin is how long before the caller may send its job again the lease ends: a target takes a
// moment to end its runs.
const resendMargin = 50 * time.Millisecond

// mustEndBy returns by when the runs of a job have to be over: for durable jobs, which nobody waits
// for, that depends on the claim alone. It is noTimeLimit for jobs whose caller is connected to this
// VM: their leases aren't renewed once this process has ended.
func (s *State) mustEndBy(j *job) time.Duration {
	if j.isDurable() {
		return s.durableUntil()
	}
	if j.sub.Entry == "" && !j.ended {
		return noTimeLimit
	}
	evidence := noTimeLimit
	if j.ended {
		// The caller may have left as long ago as this process may be behind without noticing.
		evidence = j.endedAt - s.options.PauseThreshold
	}
	if j.sub.Entry != "" {
		evidence = min(evidence, s.lastKeepalive(j)-s.options.KeepaliveTimeout)
	}
	if j.handedAt > 0 && !j.attached {
		// The leaving VM may have answered its caller at once, or have noticed late that it left.
		evidence = min(evidence, j.handedAt-s.options.PauseThreshold)
	}
	return evidence + s.options.ResendDelay - resendMargin
}

// noTimeLimit is the limit of runs that may go on as long as their leases are renewed.
const noTimeLimit = time.Duration(math.MaxInt64)

// lastKeepalive returns until when the keepalives of a job from another VM count.
func (s *State) lastKeepalive(j *job) time.Duration {
	until := s.keepalives[j.sub.Entry]
	if j.sub.Origin != "" {
		until = min(until, s.keepalives[j.sub.Origin])
	}
	for _, voucher := range j.sub.Vouchers {
		until = min(until, s.keepalives[voucher])
	}
	return until
}

// leaseEnd returns the lease end to ask for at a target, on its clock, with a run of a job that is to
// start there; nil for none.
func (s *State) leaseEnd(now time.Duration, t *target, starting *job) int64 {
	end := t.lease.endAfter(now, s.options.Lease)
	if starting != nil {
		end = s.limitLease(t, starting, end)
	}
	for _, r := range t.runs {
		end = s.limitLease(t, r.task.job, end)
	}
	return end
}

// limitLease returns a lease end that is not later than the runs of a job may go on.
func (s *State) limitLease(t *target, j *job, end int64) int64 {
	if by := s.mustEndBy(j); by != noTimeLimit {
		return min(end, t.lease.clockAt(by))
	}
	return end
}

// canRenewLease reports whether the target's lease may be renewed. It may not while the target does
// not answer, has unknown runs or an overdue stop, or has runs that were left to another owner
// longer ago than droppedRenewTime, or if so little is left until one of its runs has to be over that
// other runs there would end as well.
func (s *State) canRenewLease(now time.Duration, t *target) bool {
	if t.state != usable || t.failedPolls > 0 {
		return false
	}
	for _, r := range t.runs {
		if r.stop != nil && r.stop.isOverdue(now) || r.task.job.dropped && now-s.dropped > s.droppedRenewTime {
			return false
		}
	}
	return len(t.unknownRuns) == 0 && s.leaseEnd(now, t, nil) >= t.lease.endAfter(now, s.options.Lease/minLeaseDivisor)
}

// minLeaseDivisor is by how much shorter than usual a lease may be: it still outlasts a poll.
const minLeaseDivisor = 2

// renewLease has a poll extend the lease of all that runs at its target.
func (s *State) renewLease(now time.Duration, t *target, poll *Poll) {
	poll.LeaseUntil = s.leaseEnd(now, t, nil)
	t.lease.until = max(t.lease.until, poll.LeaseUntil)
}
