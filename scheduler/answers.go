package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// ResolveVerdict returns VerdictStaleToken for an order that was fenced by this owner's own newer
// token, and any other verdict unchanged: only another owner's token deposes this owner. sent is
// the token of the order. current is the owner's token when the answer came. The token rises when
// the owner writes a claim that it was handed over by message, while orders under the old token
// are still on their way.
func ResolveVerdict(verdict work.Verdict, sent, current int64) work.Verdict {
	if verdict == work.VerdictFenced && sent < current {
		return work.VerdictStaleToken
	}
	return verdict
}

// HandleStartAnswer takes a target's answer to a StartRun.
func (s *State) HandleStartAnswer(now time.Duration, id string, order work.RunID, answer work.OrderAnswer) {
	s.resend.countAnswer(answer.Verdict)
	t := s.targets[id]
	if t == nil {
		return
	}
	if t.clockRestarted(answer.ClockMS) {
		s.beginIncarnation(now, t, "its clock restarted")
	}
	t.updateClock(now, answer.ClockMS)
	r := t.runs[order.Task]
	if r == nil || r.RunID != order {
		s.handleTargetVerdict(now, t, answer.Verdict)
		return
	}
	r.copies.unanswered--
	r.route = answer.Route
	switch verdict := answer.Verdict; {
	case verdict == work.VerdictDone:
		s.markRunning(now, r)
	case verdict == work.VerdictConnectionLost && s.resendBrokenStart(now, r):
	case isUnanswered(verdict):
		if r.copies.unanswered <= 0 || now-r.ordered >= answerTimeout {
			s.stopUnanswered(now, t, r)
		}
	case r.copies.count > 1:
		s.handleCopyRefusal(now, t, r, verdict)
	default:
		s.handleStartRefused(now, t, r, verdict)
	}
}

// isUnanswered reports whether a verdict says that no answer came, so that the order may have been
// carried out.
func isUnanswered(verdict work.Verdict) bool {
	return verdict == work.VerdictUnknown || verdict == work.VerdictConnectionLost
}

// handleCopyRefusal takes the refusal of one of several copies of a start. The refusal shows
// nothing about the others: if the run has already ended, another copy started it, and the
// target lists its completion.
func (s *State) handleCopyRefusal(now time.Duration, t *target, r *run, verdict work.Verdict) {
	switch {
	case verdict == work.VerdictMisdirected || verdict == work.VerdictFenced:
		// Another copy may have started the run in the previous incarnation or under the
		// previous token: the job still counts as started.
		s.handleTargetVerdict(now, t, verdict)
	case r.state != ordered:
	case verdict == work.VerdictStaleRun && r.stop == nil:
		s.markRunning(now, r)
	case verdict == work.VerdictUnsent && r.copies.unanswered > 0:
	default:
		s.stopUnanswered(now, t, r)
	}
}

// handleTargetVerdict takes what an answer says of the target itself: that another incarnation
// answers, or that the target obeys another owner.
func (s *State) handleTargetVerdict(now time.Duration, t *target, verdict work.Verdict) {
	switch verdict {
	case work.VerdictMisdirected:
		s.loseTarget(now, t, "another incarnation answers at its address")
	case work.VerdictFenced:
		if s.mayBelongToOtherGroup(t) {
			s.leaveToOtherOwner(now, t)
			return
		}
		s.emit(Deposed{Target: t.ID})
	}
}

// mayBelongToOtherGroup reports whether a target that obeys another owner may be in another
// group, so that its answer doesn't depose this owner. That holds if its registry entry is
// gone from the group, or if it has never obeyed this owner while other targets do.
func (s *State) mayBelongToOtherGroup(t *target) bool {
	if t.unlistedSince != 0 {
		return true
	}
	if t.fenced {
		return false
	}
	for _, other := range s.targets {
		if other.fenced {
			return true
		}
	}
	return false
}

// leaveToOtherOwner takes a target out of use that obeys the owner of another group. What this
// owner started there ends with its lease: the other owner extends the lease only after it has
// stopped those runs.
func (s *State) leaveToOtherOwner(now time.Duration, t *target) {
	s.emit(LogEvent{Message: "target obeys another owner", Target: t.ID, Age: now - t.lease.readAt})
	t.failedPolls = silentPolls
	s.markSilent(now, t, "it obeys another owner")
	s.markChanged(t)
}

// markRunning records that a run has certainly started.
func (s *State) markRunning(now time.Duration, r *run) {
	if r.state != running {
		r.state, r.runningSince = running, now
	}
}

// stopUnanswered stops a run whose start has no answer. The stop also keeps the target from
// starting the run later.
func (s *State) stopUnanswered(now time.Duration, t *target, r *run) {
	if r.state != ordered {
		return
	}
	r.state = uncertain
	s.recordMissedAnswer(now, t)
	r.task.job.recordRun(now, "start unanswered", r, "")
	s.emit(LogEvent{Message: "start unanswered", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered, Run: r.facts(now)})
	s.stop(now, r)
	if r.task.step.Gang {
		s.stopGang(now, r.task.step)
	}
}

// handleStartRefused takes back a run that the target certainly did not start.
func (s *State) handleStartRefused(now time.Duration, t *target, r *run, verdict work.Verdict) {
	j := r.task.job
	s.emit(LogEvent{Message: "start refused", Job: j.sub.Job.ID, Task: r.Task, Target: t.ID, Detail: verdict.String(), Age: now - r.ordered, Run: r.facts(now)})
	j.recordRun(now, "start refused", r, verdict.String())
	s.evidence.addLostRun(now, r.RunID, "start refused: "+verdict.String())
	j.possibleStarts--
	if verdict == work.VerdictInvalidTicket {
		r.task.step.dropTicket(t.ID)
	}
	s.releaseRun(r)
	if !j.ended && !r.task.done {
		s.requeue(now, r)
	}
	s.applyRefusal(now, t, verdict)
}

// applyRefusal updates the state of a target after it refused an order.
func (s *State) applyRefusal(now time.Duration, t *target, verdict work.Verdict) {
	switch verdict {
	case work.VerdictMisdirected, work.VerdictFenced:
		s.handleTargetVerdict(now, t, verdict)
	case work.VerdictUnsent:
		s.markSilent(now, t, "no connection")
	case work.VerdictUnhealthy, work.VerdictInvalid:
		t.health.markSuspected(now)
		s.markChanged(t)
	case work.VerdictStaleToken, work.VerdictInvalidTicket:
	default:
		t.blockedUntil = now + refusalPause
	}
}

// refusalPause blocks starts at a target that had less free capacity than assumed. By then
// the next poll reports what has ended there.
const refusalPause = 30 * time.Millisecond

// HandleStopAnswer takes a target's answer to a StopRun.
func (s *State) HandleStopAnswer(now time.Duration, id string, order work.RunID, answer work.OrderAnswer) {
	s.resend.countAnswer(answer.Verdict)
	t := s.targets[id]
	if t == nil {
		return
	}
	if t.clockRestarted(answer.ClockMS) {
		s.beginIncarnation(now, t, "its clock restarted")
	}
	t.updateClock(now, answer.ClockMS)
	agreed := answer.Verdict == work.VerdictDone || answer.Verdict == work.VerdictStaleRun
	if try := t.unknownRuns[order]; try != nil && agreed {
		try.acked = now
	}
	if r := t.runs[order.Task]; r != nil && r.RunID == order && r.stop != nil && agreed && r.stop.acked == 0 {
		r.stop.acked = now
	}
	if answer.Verdict == work.VerdictStaleToken {
		s.emit(StopRun{To: t.address(), Run: order})
	}
	s.handleTargetVerdict(now, t, answer.Verdict)
}

// markSilent takes a target out of use until it answers a poll.
func (s *State) markSilent(now time.Duration, t *target, why string) {
	if t.state == usable {
		s.emit(LogEvent{Message: "target is silent", Target: t.ID, Detail: why, Age: now - t.lease.readAt})
		t.state = silent
		s.recordTargetLoss(now, t)
		s.markChanged(t)
	}
}

// Parameters of polls while answers are being lost.
