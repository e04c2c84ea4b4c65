package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A target reports its capacity, which may change while it runs, and the start of its present
// incarnation, both in its registry entry and in its answers. The latest report counts.

// setCapacity updates a target's capacity. Its runs go on; a target with less capacity than its
// runs use gets nothing new until it has enough again.
func (s *State) setCapacity(t *target, capacity work.Resources) {
	if capacity == t.Capacity {
		return
	}
	s.emit(LogEvent{Message: "target capacity changed", Target: t.ID, Detail: fmt.Sprintf("cpu %d to %d, memory %d to %d MB, gpu %d to %d",
		t.Capacity.CPU, capacity.CPU, t.Capacity.MemoryMB, capacity.MemoryMB, t.Capacity.GPU, capacity.GPU)})
	t.free = t.free.Add(capacity).Sub(t.Capacity)
	t.Capacity = capacity
	s.markChanged(t)
}

// minClockStepBack is by how much a clock value must be behind the last known one for the clock to
// have restarted; answers that overtake each other differ by less.
const minClockStepBack = time.Second

// maxAckAge is how recently a target must have answered for a poll to acknowledge completions. A
// target that has restarted since would apply the numbers to its new completions. It is well below
// the time that a restart takes.
const maxAckAge = 250 * time.Millisecond

// clockRestarted reports whether an answer's clock value shows that the target's clock restarted.
func (t *target) clockRestarted(clock int64) bool {
	return t.Incarnation != 0 && !t.incarnationUnknown && clock != 0 && t.lease.known && clock+minClockStepBack.Milliseconds() < t.lease.clock
}

// updateClock takes the clock value of an answer to an order, which does not name its incarnation:
// a late answer may be of a previous one, whose clock was further ahead.
func (t *target) updateClock(now time.Duration, clock int64) {
	if t.Incarnation != 0 && (!t.lease.known || clock > t.lease.endAfter(now, minClockStepBack)) {
		return
	}
	t.lease.update(clock, now)
}

// acceptIncarnation takes the incarnation that a target's answer or registry entry names, and
// reports whether it is the present one.
func (s *State) acceptIncarnation(now time.Duration, t *target, incarnation int64) bool {
	switch {
	case incarnation == 0 || incarnation == t.Incarnation:
		return true
	case incarnation < t.Incarnation:
		return false
	case t.Incarnation != 0 && !t.incarnationUnknown:
		s.beginIncarnation(now, t, "it names a later start")
	}
	t.Incarnation, t.incarnationUnknown = incarnation, false
	return true
}

// beginIncarnation resets a target that has restarted under its ID: it has no state of the previous
// incarnation, and its clock and completion numbers start again. Listed runs are over. Either
// incarnation may have started the others; they are stopped in the new one.
func (s *State) beginIncarnation(now time.Duration, t *target, why string) {
	s.emit(LogEvent{Message: "target started again", Target: t.ID, Detail: why, Age: now - t.lease.readAt})
	for _, r := range t.runs {
		if !r.listed {
			// The new incarnation may have started it: that the other one ended shows nothing of it.
			r.state = uncertain
		}
	}
	s.endIncarnation(now, t)
	t.incarnations++
	t.incarnationUnknown = true
	t.lease, t.previousLease = lease{}, 0
	t.lastCompletion, t.ackedCompletion, t.ackSent = 0, 0, 0
	t.wholeListSentAt = 0
	s.awaitWholeList(t, false)
	t.poll, t.pollPending, t.answeredPollSentAt, t.lastAnswer, t.failedPolls = Poll{}, false, 0, 0, 0
	t.state, t.fenced, t.blockedUntil, t.incarnationAskedAt = adopting, false, 0, 0
	t.health = newHealth()
	s.recordFirstSeen(now, t)
	clear(t.unrecorded)
	clear(t.unknownRuns)
	clear(t.inheritedRuns)
	for _, r := range t.sortedRuns() {
		if r.listed {
			s.loseRun(now, r, "its target has started again")
			continue
		}
		// No known lease end bounds this run: only its stop ends it.
		r.state, r.leaseUntil, r.stop = uncertain, noLeaseEnd, nil
		s.stop(now, r)
	}
	s.markChanged(t)
}

// A target that names its incarnation may restart under its ID, which nobody notices while it is
// idle, and then obeys any owner. So it gets a start only while it can't have restarted since it
// answered, and is polled first otherwise. A target without incarnation has another ID after a
// restart, and refuses orders that name the old one.

const (
	// minRestartTime is the least time from the end of an incarnation to the start of the next one.
	minRestartTime = 300 * time.Millisecond
	// maxOrderTime is how long an order may be on its way to its target once it was sent.
	maxOrderTime = 120 * time.Millisecond
	// restartMargin allows for clocks and for the time between the last check and the sending.
	restartMargin = 30 * time.Millisecond
	// incarnationProofTime is for how long after it was sent an answered poll shows that a start
	// that is sent reaches the incarnation that answered, or none.
	incarnationProofTime = minRestartTime - maxOrderTime - restartMargin
	// maxIncarnationAsks bounds the targets that are asked for their incarnation at a time.
	maxIncarnationAsks = 32
)

// incarnationKnownUntil is until when a start may be sent to a target; 0 for no limit.
func (t *target) incarnationKnownUntil() time.Duration {
	if t.Incarnation == 0 {
		return 0
	}
	return t.answeredPollSentAt + incarnationProofTime
}

// mayHaveRestarted reports whether a start that is sent now might reach a later incarnation than
// the known one.
func (t *target) mayHaveRestarted(now time.Duration) bool {
	return t.Incarnation != 0 && now > t.incarnationKnownUntil()
}

// askIncarnation has a target polled at once that a task would fit. As many targets as tasks may
// wait are asked at a time; one that doesn't answer soon makes way for others.
func (s *State) askIncarnation(now time.Duration, t *target, tasks int) {
	s.awaitsIncarnation = true
	if t.incarnationAskedAt != 0 {
		return
	}
	s.targetsAsked = slices.DeleteFunc(s.targetsAsked, func(other *target) bool {
		return other.incarnationAskedAt == 0 || now-other.incarnationAskedAt >= maxResendInterval
	})
	if len(s.targetsAsked) >= min(max(tasks, len(s.waiting)), maxIncarnationAsks) {
		return
	}
	t.incarnationAskedAt = now
	s.targetsAsked = append(s.targetsAsked, t)
	s.checkPoll(t)
}

// isHeldBack reports whether the answer to the pending poll may be held back although the target's
// incarnation is asked for, so that another poll must replace it.
func (t *target) isHeldBack(now time.Duration) bool {
	return t.incarnationAskedAt != 0 && t.poll.Wait > 0 && now > t.poll.SentAt
}

// noLeaseEnd is the lease end of a run that either of two incarnations may have started: the
// present one's clock does not show when it is over.
const noLeaseEnd = math.MaxInt64

// hasOnlyExpiredRuns reports whether all runs of a target have no known lease end, and began so long ago
// that their lease is over, however long the target granted it.
func (s *State) hasOnlyExpiredRuns(now time.Duration, t *target) bool {
	if now-t.firstSeen <= maxOrderTime+slowest(s.options.MaxLease) {
		return false
	}
	for _, r := range t.runs {
		if r.leaseUntil != noLeaseEnd {
			return false
		}
	}
	return true
}

// A target that appears later, or has restarted, knows no fencing token. A previous owner that does
// not know of its successor could still order starts there. The target is used once the claim is
// confirmed to be this owner's as of a later time: a successor that claims after that finds the
// target listed and fences it.

// ConfirmClaim asks for the newest claim on the targets; the answer goes to ClaimConfirmed.
type ConfirmClaim struct{}

func (ConfirmClaim) effect() {}

// claimRetryInterval is the pause between two requests to confirm the claim.
const claimRetryInterval = 200 * time.Millisecond

// ClaimConfirmed reports that the claim was this owner's as of a given time.
func (s *State) ClaimConfirmed(now, asOf time.Duration) {
	s.claimConfirmedAt = max(s.claimConfirmedAt, asOf)
	s.succession.confirmedAt = max(s.succession.confirmedAt, asOf)
	s.retryVerdicts(now)
	s.retryAwaitingClaim(now)
}

// ListedAtStart records that an incarnation of a target was listed when this owner started. It
// obeys a previous owner's token, and any successor reaches it too, however late this owner learns
// of it.
func (s *State) ListedAtStart(id string, incarnation int64) { s.listedAtStart[id] = incarnation }

// wasListedAtStart reports whether the present incarnation of a target was listed when this owner
// started.
func (s *State) wasListedAtStart(t *target) bool {
	incarnation, listed := s.listedAtStart[t.ID]
	return listed && incarnation == t.Incarnation && t.incarnations == 0
}

// recordFirstSeen records when an incarnation was first seen, and whether its use needs a later
// confirmation of the claim. That no target was usable until now is no reason to do without: a
// successor may have begun while all of them were down.
func (s *State) recordFirstSeen(now time.Duration, t *target) {
	t.firstSeen = now
	t.needsClaim = s.options.ConfirmClaims && !s.wasListedAtStart(t)
}

// hasConfirmedClaim reports whether this owner is known to be the only one of a target, and
// otherwise asks for a confirmation of the claim.
func (s *State) hasConfirmedClaim(now time.Duration, t *target) bool {
	if !t.needsClaim || s.claimConfirmedAt >= t.firstSeen {
		return true
	}
	if !slices.Contains(s.targetsAwaitingClaim, t) {
		s.targetsAwaitingClaim = append(s.targetsAwaitingClaim, t)
	}
	s.askForClaim(now)
	return false
}

// noteUsable logs and counts on which fact a target is taken for this owner's alone.
func (s *State) noteUsable(now time.Duration, t *target) {
	line := LogEvent{Message: "target is usable", Target: t.ID, Detail: "no claim needed"}
	switch {
	case t.needsClaim:
		line.Detail, line.Age = "claim confirmed", now-s.claimConfirmedAt
	case s.wasListedAtStart(t):
		line.Detail = "listed at start"
	}
	s.emit(Count{Name: "targets_used", Kind: line.Detail})
	s.emit(line)
}

// askForClaim asks for a confirmation of the claim, unless it did so just now.
func (s *State) askForClaim(now time.Duration) {
	if s.claimAskedAt == 0 || now-s.claimAskedAt >= claimRetryInterval {
		s.claimAskedAt = now
		s.emit(ConfirmClaim{})
	}
}

// awaitsClaim reports whether a target needs nothing but the confirmed claim to be used.
func (t *target) awaitsClaim(s *State) bool {
	return t.state == adopting && t.fenced && t.needsClaim && s.claimConfirmedAt < t.firstSeen && len(t.unknownRuns) == 0 && len(t.inheritedRuns) == 0
}

// retryAwaitingClaim puts targets into use whose claim is confirmed by now, and asks again for the
// others.
func (s *State) retryAwaitingClaim(now time.Duration) {
	waiting := s.targetsAwaitingClaim
	s.targetsAwaitingClaim = nil
	for _, t := range waiting {
		if s.targets[t.ID] == t && t.state == adopting {
			s.useIfReady(now, t)
			s.markChanged(t)
		}
	}
}

// completionRef identifies a completion of the target's present incarnation.
func (t *target) completionRef(number int64) CompletionRef {
	return CompletionRef{Target: t.ID, Number: number, Restarts: t.incarnations}
}
