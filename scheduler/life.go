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
func (s *State) resize(t *target, capacity work.Resources) {
	if capacity == t.Capacity {
		return
	}
	s.emit(Note{What: "target capacity changed", Target: t.ID, Detail: fmt.Sprintf("cpu %d to %d, memory %d to %d MB, gpu %d to %d",
		t.Capacity.CPU, capacity.CPU, t.Capacity.MemoryMB, capacity.MemoryMB, t.Capacity.GPU, capacity.GPU)})
	t.free = t.free.Add(capacity).Sub(t.Capacity)
	t.Capacity = capacity
	s.touch(t)
}

// minClockStepBack is by how much a clock value must be behind the last known one for the clock to
// have restarted; answers that overtake each other differ by less.
const clockRestart = time.Second

// maxAckAge is how recently a target must have answered for a poll to acknowledge completions. A
// target that has restarted since would apply the numbers to its new completions. It is well below
// the time that a restart takes.
const lifeTold = 250 * time.Millisecond

// clockRestarted reports whether an answer's clock value shows that the target's clock restarted.
func (t *target) restarted(clock int64) bool {
	return t.Incarnation != 0 && !t.reborn && clock != 0 && t.lease.known && clock+clockRestart.Milliseconds() < t.lease.clock
}

// updateClock takes the clock value of an answer to an order, which does not name its incarnation:
// a late answer may be of a previous one, whose clock was further ahead.
func (t *target) readClock(now time.Duration, clock int64) {
	if t.Incarnation != 0 && (!t.lease.known || clock > t.lease.end(now, clockRestart)) {
		return
	}
	t.lease.read(clock, now)
}

// acceptIncarnation takes the incarnation that a target's answer or registry entry names, and
// reports whether it is the present one.
func (s *State) tellsLife(now time.Duration, t *target, life int64) bool {
	switch {
	case life == 0 || life == t.Incarnation:
		return true
	case life < t.Incarnation:
		return false
	case t.Incarnation != 0 && !t.reborn:
		s.renew(now, t, "it names a later start")
	}
	t.Incarnation, t.reborn = life, false
	return true
}

// beginIncarnation resets a target that has restarted under its ID: it has no state of the previous
// incarnation, and its clock and completion numbers start again. Listed runs are over. Either
// incarnation may have started the others; they are stopped in the new one.
func (s *State) renew(now time.Duration, t *target, why string) {
	s.emit(Note{What: "target started again", Target: t.ID, Detail: why, Age: now - t.lease.at})
	s.lifeOver(now, t)
	t.lives++
	t.reborn = true
	t.lease = lease{}
	t.seen, t.told, t.asked = 0, 0, 0
	t.look, t.looking, t.answered, t.heard, t.failedLooks = Look{}, false, 0, 0, 0
	t.state, t.barred, t.blocked = adopting, false, 0
	t.health = newHealth()
	s.comesLater(now, t)
	clear(t.unnoted)
	clear(t.strangers)
	clear(t.guests)
	for _, r := range t.sortedRuns() {
		if r.listed {
			s.lost(now, r, "its target has started again")
			continue
		}
		// No known lease end bounds this run: only its stop ends it.
		r.state, r.until, r.stop = doubtful, noLease, nil
		s.stop(now, r)
	}
	s.touch(t)
}

// noLeaseEnd is the lease end of a run that either of two incarnations may have started: the
// present one's clock does not tell when it is over.
const noLease = math.MaxInt64

// hasOnlyUnleasedRuns reports whether all runs of a target have no known lease end.
func (t *target) unleased() bool {
	for _, r := range t.runs {
		if r.until != noLease {
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
const confirmPause = 200 * time.Millisecond

// ClaimConfirmed reports that the claim was this owner's as of a given time.
func (s *State) ClaimConfirmed(now, asOf time.Duration) {
	s.claimed = max(s.claimed, asOf)
	s.useProven(now)
}

// ListedAtStart records that a target was listed when this owner started. It obeys a previous
// owner's token, and any successor reaches it too, however late this owner learns of it.
func (s *State) ListedEarly(id string) { s.early[id] = true }

// recordFirstSeen records when an incarnation was first seen, and whether its use needs a later
// confirmation of the claim.
func (s *State) comesLater(now time.Duration, t *target) {
	t.since, t.later = now, t.lives > 0
	if !s.options.ConfirmClaims || s.early[t.ID] && t.lives == 0 {
		t.later = false
		return
	}
	for _, other := range s.targets {
		t.later = t.later || other != t && other.barred
	}
}

// hasConfirmedClaim reports whether this owner is known to be the only one of a target, and
// otherwise asks for a confirmation of the claim.
func (s *State) proven(now time.Duration, t *target) bool {
	if !t.later || s.claimed >= t.since {
		return true
	}
	if !slices.Contains(s.unproven, t) {
		s.unproven = append(s.unproven, t)
	}
	if s.confirming == 0 || now-s.confirming >= confirmPause {
		s.confirming = now
		s.emit(ConfirmClaim{})
	}
	return false
}

// awaitsClaim reports whether a target needs nothing but the confirmed claim to be used.
func (t *target) awaitsClaim(s *State) bool {
	return t.state == adopting && t.barred && t.later && s.claimed < t.since && len(t.strangers) == 0 && len(t.guests) == 0
}

// retryAwaitingClaim puts targets into use whose claim is confirmed by now, and asks again for the
// others.
func (s *State) useProven(now time.Duration) {
	waiting := s.unproven
	s.unproven = nil
	for _, t := range waiting {
		if s.targets[t.ID] == t && t.state == adopting {
			s.use(now, t)
			s.touch(t)
		}
	}
}

// completionRef identifies a completion of the target's present incarnation.
func (t *target) endRef(number int64) EndRef {
	return EndRef{Target: t.ID, Number: number, Life: t.lives}
}
