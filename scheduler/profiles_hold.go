package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/shares"
)

// Parameters of the targets that are held for tasks of profiles below their guarantee.
const (
	// holdDelay is how long a job waits before a target is held for it. Most jobs find one before, as
	// runs of all profiles end all the time.
	holdDelay = 30 * time.Millisecond
	// holdTimeout bounds a hold: the runs on the target may last. The next one begins holdTimeout later,
	// so that others get their turn.
	holdTimeout = time.Second
)

// hold is the reservation of a target for a step of a profile; st is nil while there is none.
type hold struct {
	st *step
	// until is when it ends at the latest, next when the next one may begin after that.
	until, next time.Duration
}

// holdTarget reserves a target for a step of a profile below its guarantee that fits nowhere. Otherwise
// smaller tasks of profiles above theirs would take each place as it becomes free. Each profile has at
// most one target held.
func (s *State) holdTarget(now time.Duration, j *job, st *step) {
	sh := j.pool.shares
	if sh == nil || now-j.submitted < holdDelay || sh.BandOf(j.account, sh.capacity) != shares.Guaranteed {
		return
	}
	if st.Gang || st.Background || st.LatencySensitive || st.advice != nil || st.runsOn != nil || st.hasSuspects {
		return
	}
	h := &sh.holds[j.account]
	if s.expireHold(now, h); h.st != nil || now < h.next {
		return
	}
	if t := j.pool.emptiestFit(st); t != nil {
		*h = hold{st: st, until: now + holdTimeout}
		st.evictionTarget, t.reservedFor = t, st
		s.markChanged(t)
	}
}

// expireHold ends a hold that has lasted for too long, or whose step or target no longer needs it.
func (s *State) expireHold(now time.Duration, h *hold) {
	switch {
	case h.st == nil:
	case now >= h.until:
		s.endHold(h)
		h.next = now + holdTimeout
	case h.st.job.ended || len(h.st.pending) == 0 || h.st.evictionTarget == nil || !h.st.evictionTarget.acceptsTasks():
		s.endHold(h)
	}
}

func (s *State) endHold(h *hold) {
	if h.st == nil {
		return
	}
	// Another reservation of the target stays.
	if t := h.st.evictionTarget; t != nil && t.reservedFor != h.st {
		h.st.evictionTarget = nil
	}
	s.unreserveForStep(h.st)
	h.st = nil
}

// isHeld reports whether a target is held for a step of a profile.
func (t *target) isHeld() bool {
	return t.reservedFor != nil && t.pool.shares != nil && slices.ContainsFunc(t.pool.shares.holds, func(h hold) bool { return h.st == t.reservedFor })
}

// expireHolds ends the holds that are not needed any more.
func (s *State) expireHolds(now time.Duration) {
	if !s.hasShares() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		sh := s.pools[service].shares
		for account := range sh.holds {
			s.expireHold(now, &sh.holds[account])
		}
	}
}

// endHolds ends all holds of a pool.
func (s *State) endHolds(p *pool) {
	if p.shares != nil {
		for account := range p.shares.holds {
			s.endHold(&p.shares.holds[account])
		}
	}
}

// endHoldOf ends the hold of a target that is removed.
func (s *State) endHoldOf(t *target) {
	if t.pool.shares == nil || t.reservedFor == nil {
		return
	}
	for account := range t.pool.shares.holds {
		if h := &t.pool.shares.holds[account]; h.st == t.reservedFor {
			s.endHold(h)
		}
	}
}

// emptiestFit returns an open target with the most free processor that could run a task of a step if it
// were empty; nil if there is none.
func (p *pool) emptiestFit(st *step) *target {
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		for _, t := range p.buckets[bucket] {
			if st.fitsEmpty(t) {
				return t
			}
		}
	}
	return nil
}
