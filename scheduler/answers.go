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

// HandlePollAnswer takes a target's answer to the poll that was first sent at the given time.
func (s *State) HandlePollAnswer(now time.Duration, id string, at time.Duration, answer work.PollAnswer, verdict work.Verdict) {
	s.resend.countAnswer(verdict)
	t := s.targets[id]
	if t == nil || !t.pollPending || at != t.poll.SentAt {
		return
	}
	t.pollCopies.unanswered--
	if isUnanswered(verdict) && t.pollCopies.unanswered > 0 && now-at < t.firstPollWait+answerTimeout {
		return
	}
	t.pollPending, t.incarnationAskedAt = false, 0
	s.markChanged(t)
	switch verdict {
	case work.VerdictDone:
		s.applyPoll(now, t, answer)
	case work.VerdictMisdirected, work.VerdictFenced:
		s.handleTargetVerdict(now, t, verdict)
	case work.VerdictStaleToken:
	default:
		s.recordMissedAnswer(now, t)
		if t.failedPolls++; t.failedPolls >= silentPolls {
			s.markSilent(now, t, "polls failed: "+verdict.String())
		}
	}
}

// silentPolls is how many polls in a row must fail before a target counts as silent. One may
// be lost on its way; the next one asks for an answer at once.
const silentPolls = 2

// applyPoll takes what a target reports in a poll's answer: its incarnation and capacity, new
// completions, and the runs in progress.
func (s *State) applyPoll(now time.Duration, t *target, answer work.PollAnswer) {
	sentAt := t.poll.SentAt
	if !s.acceptIncarnation(now, t, answer.Incarnation) {
		return
	}
	if answer.Capacity != nil {
		s.setCapacity(t, *answer.Capacity)
	}
	s.clearTargetLoss(t)
	t.failedPolls, t.doubtful = 0, false
	if !t.fenced {
		t.fenced, t.fencedAt = true, now
	}
	obeys := t.fencedAt == now
	switch {
	case !s.mayHaveForeignRuns(t):
	case sentAt >= s.succession.ownTokenSince:
		s.settle(now, t.ID, "it obeys this owner")
		obeys = true
	default:
		t.doubtful = true
	}
	t.ackedCompletion = t.ackSent
	t.answeredPollSentAt = sentAt
	t.lease.update(answer.ClockMS, now)
	if obeys {
		t.previousLease = t.lease.endAfter(now, maxDurableLease)
	}
	for _, end := range answer.Completions {
		if end.Number > t.lastCompletion {
			t.lastCompletion = end.Number
			s.handleCompletion(now, t, end)
		}
	}
	listed := make(map[work.RunID]bool, len(answer.Running))
	for _, entry := range answer.Running {
		listed[entry.Run] = true
		s.handleListedRun(now, t, entry)
	}
	whole := len(answer.Completions) < work.MaxListedCompletions
	if whole {
		t.wholeListSentAt = sentAt
		s.endUnlistedRuns(now, t, listed)
	}
	s.awaitWholeList(t, t.wholeListSentAt == 0)
	for unknown := range t.unknownRuns {
		if !listed[unknown] {
			delete(t.unknownRuns, unknown)
		}
	}
	for run := range t.inheritedRuns {
		if !listed[run] {
			delete(t.inheritedRuns, run)
		}
	}
	t.lastAnswer = now
	s.useIfReady(now, t)
	s.markChanged(t)
}

// useIfReady takes a target into use once it obeys this owner, nothing runs there that isn't
// this owner's, and it is known that nobody else owns the targets.
func (s *State) useIfReady(now time.Duration, t *target) {
	if t.state != usable && t.fenced && len(t.unknownRuns) == 0 && len(t.inheritedRuns) == 0 && s.hasConfirmedClaim(now, t) {
		s.noteUsable(now, t)
		t.state = usable
	}
}

// handleListedRun takes a run that the target lists as running.
func (s *State) handleListedRun(now time.Duration, t *target, listed work.RunningRun) {
	if r := t.runs[listed.Run.Task]; r != nil && r.RunID == listed.Run {
		r.listed = true
		if listed.SavedState != "" {
			r.saved = listed.SavedState
		}
		if r.state != running && r.stop == nil {
			s.markRunning(now, r)
		} else if r.state == uncertain {
			// Its stop is on the way; the target will list its completion.
			s.markRunning(now, r)
		}
		return
	}
	t.markSharing()
	if !s.continueListedRun(now, t, listed) {
		s.stopUnknownRun(now, t, listed.Run)
	}
}

// stopUnknownRun stops a run whose owner or job this owner does not know.
func (s *State) stopUnknownRun(now time.Duration, t *target, unknown work.RunID) {
	if t.unknownRuns[unknown] == nil {
		s.emit(LogEvent{Message: "stranger stopped", Task: unknown.Task, Target: t.ID, Run: t.facts(now, unknown.Number)})
		s.noteStranger(now, t, unknown)
		t.unknownRuns[unknown] = &stopTry{first: now, last: now}
		s.emit(StopRun{To: t.address(), Run: unknown})
	}
}

// endUnlistedRuns ends the runs that the target should list and doesn't: their completions
// were lost, or they never started and can't start any more. Only a poll that was sent after a run
// was known to have started shows that the run is missing: its start order may be carried out any
// time after it was decided.
func (s *State) endUnlistedRuns(now time.Duration, t *target, listed map[work.RunID]bool) {
	for _, r := range t.sortedRuns() {
		if listed[r.RunID] {
			continue
		}
		switch {
		case r.state == running && r.runningSince < t.poll.SentAt:
			s.loseRun(now, r, "its target doesn't list it")
		case r.state == uncertain && t.lease.hasLapsed(t.poll.SentAt, r.leaseUntil):
			s.loseRun(now, r, "it can't begin any more")
		}
	}
}

// handleCompletion takes a completion that a target reports.
func (s *State) handleCompletion(now time.Duration, t *target, end work.Completion) {
	r := t.runs[end.Run.Task]
	if r == nil || r.RunID != end.Run {
		s.noteLateCompletion(now, t, end)
		s.handleUnknownCompletion(now, t, end)
		return
	}
	r.endListed = true
	if end.SavedState != "" {
		r.saved = end.SavedState
	}
	switch {
	case r.task.step.Lasting:
		s.clearSurvivor(now, r, end.Kind)
		s.loseRun(now, r, "it ended: "+string(end.Kind))
	case end.Kind == work.CompletionDone:
		s.recordCompletion(t, r, end.Number, false)
		s.completeRun(now, t, r)
	case end.Kind == work.CompletionFailed:
		s.recordCompletion(t, r, end.Number, true)
		s.failRun(now, t, r)
	default:
		s.loseRun(now, r, string(end.Kind))
	}
}

// completeRun takes the completion of a run that did its task's work.
func (s *State) completeRun(now time.Duration, t *target, r *run) {
	s.releaseRun(r)
	s.recordSuccess(now, t, r)
	j := r.task.job
	if j.ended || r.task.done {
		s.noteEndAfterJob(now, r, string(work.CompletionDone))
		return
	}
	j.recordRun(now, "done", r, "")
	j.markDone(r.task)
	switch {
	case j.openTasks == 0:
		s.finish(now, j, work.Outcome{Result: work.Completed})
	case r.task.step.openTasks == 0:
		s.enqueue(j)
	}
}

// failRun takes the completion of a run that failed. It fails the job once the task has failed as
// often as its queue allows, and otherwise has the task run again.
func (s *State) failRun(now time.Duration, t *target, r *run) {
	j := r.task.job
	s.releaseRun(r)
	s.emit(LogEvent{Message: "run failed", Job: j.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered, Run: r.facts(now)})
	j.recordRun(now, "failed", r, "")
	s.recordFailedRun(now, t, j)
	if j.ended || r.task.done {
		s.noteEndAfterJob(now, r, string(work.CompletionFailed))
		return
	}
	j.hasRerun = true
	s.recordSaved(r.task, r.Number, r.saved)
	r.task.countFailure(r.Number)
	if r.task.step.failedRuns(r.task) >= j.sub.Queue.MaxAttempts {
		s.finish(now, j, work.Outcome{Result: work.Failed, Reason: "a task failed as often as its queue allows"})
		return
	}
	s.requeue(now, r)
}

// pollIfNeeded sends a target the poll that it needs, if any and if none is on its way.
func (s *State) pollIfNeeded(now time.Duration, t *target) {
	if t.pollPending && !t.isHeldBack(now) || t.failedPolls >= silentPolls && now < t.poll.SentAt+silentPollInterval {
		return
	}
	if t.awaitsClaim(s) && now < t.poll.SentAt+claimRetryInterval {
		return
	}
	unrecorded := len(t.unrecorded) > 0
	if unrecorded && t.incarnationAskedAt == 0 && now < t.poll.SentAt+unrecordedPollInterval {
		return
	}
	poll := Poll{To: t.address(), SentAt: now, AckUpTo: t.acknowledgeable()}
	if t.Incarnation != 0 && (t.failedPolls > 0 || now-t.lease.readAt > maxAckAge) {
		poll.AckUpTo = 0
	}
	switch {
	case t.state == silent:
	case t.state == adopting && !t.lease.known:
	case len(t.unknownRuns) > 0:
		poll.Wait = s.options.StopTimeout
	case len(t.inheritedRuns) > 0:
		poll.Wait = s.options.StopTimeout
		if s.mayRenewInherited(now) {
			s.renewLease(now, t, &poll)
		}
	case t.state == adopting:
		if s.mayRenewAtFirst(now, t) {
			s.renewLease(now, t, &poll)
		}
	case len(t.runs) > 0:
		if t.failedPolls == 0 && !unrecorded && t.incarnationAskedAt == 0 {
			poll.Wait = s.pollWait(now)
		}
		if s.canRenewLease(now, t) {
			t.renewalWithheld = false
			s.renewLease(now, t, &poll)
		} else {
			s.noteRenewalWithheld(now, t)
		}
	case t.ackedCompletion < poll.AckUpTo, t.doubtful, t.incarnationAskedAt != 0:
	default:
		return
	}
	t.pollPending = true
	t.ackSent = poll.AckUpTo
	t.poll, t.firstPollWait = poll, poll.Wait
	t.pollCopies = orderCopies{}
	t.pollCopies.add(now)
	s.emit(poll)
}

// Parameters of polls while answers are being lost.
const (
	// lossPeriod is how long after a lost answer more losses are expected.
	lossPeriod = 2 * time.Second
	// shortPollWait bounds how long a completion stays unknown when a poll is lost, if this
	// process has CPU to spare.
	shortPollWait = 60 * time.Millisecond
)

// pollWait returns how long a poll may wait at its target. It is short while answers are being
// lost, as far as this process has CPU for more polls: a lost poll shows only after its wait.
func (s *State) pollWait(now time.Duration) time.Duration {
	if s.losesAnswers(now) && !s.resend.noCopies {
		return s.resend.pollWait
	}
	return s.options.PollWait
}

// losesAnswers reports whether so many answers were lost lately that more losses are expected.
func (s *State) losesAnswers(now time.Duration) bool {
	r := &s.resend
	return s.lastMissedAnswer > 0 && now-s.lastMissedAnswer < lossPeriod && r.missed >= lossShare*(r.missed+r.answered)
}

// silentPollInterval is the least time between two polls of a target that doesn't answer.
const silentPollInterval = 100 * time.Millisecond
