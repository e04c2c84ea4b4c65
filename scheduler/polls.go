package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

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
