package capacity

import (
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// NextTick returns the latest time of the next call of Tick; false when none is
// needed until another call changes the state.
func (s *State) NextTick() (time.Duration, bool) {
	next := s.nextExpiry
	if s.active {
		next = min(next, s.windowEnd)
	}
	if s.slots.shareAt > 0 {
		next = min(next, s.slots.shareAt)
	}
	if s.missing() > 0 {
		next = min(next, s.nextAsk())
	}
	for _, l := range s.peers {
		next = min(next, l.nextDue())
	}
	return next, next != never
}

// nextAsk returns when slots may be asked for again.
func (s *State) nextAsk() time.Duration {
	next := s.slots.retryAt
	for _, l := range s.peers {
		switch {
		case l.slots.asked > 0:
			next = min(next, l.slots.askAt+s.opts.RetryAfter)
		case l.slots.free > 0:
			next = min(next, l.slots.askAt)
		}
	}
	return max(next, s.slots.budgetAt)
}

// Tick does the work that is due and returns the messages to send.
func (s *State) Tick(now time.Duration) []Out {
	if s.view.ID == "" {
		return nil
	}
	if now >= s.nextExpiry {
		s.expireLedgers(now)
	}
	if s.slots.shareAt > 0 && now >= s.slots.shareAt {
		s.share(now)
	}
	if s.missing() > 0 {
		s.askSlots(now)
	}
	if s.active && now >= s.windowEnd {
		s.endWindow(now)
	}
	s.scheduleShare(now)
	return s.collect(now)
}

// expireLedgers ends blocks and reservations that have run out, and repeats recalls.
func (s *State) expireLedgers(now time.Duration) {
	s.nextExpiry = never
	if now >= s.unlistedBlockedUntil {
		s.unlistedBlockedUntil = 0
	}
	if s.unlistedBlockedUntil > 0 {
		s.nextExpiry = s.unlistedBlockedUntil
	}
	if !s.resolved {
		s.resolve(now)
	}
	for _, p := range append([]*pool(nil), s.ordered...) {
		l := p.ledger
		if l == nil {
			continue
		}
		s.nextExpiry = min(s.nextExpiry, l.expire(now))
		s.balance(now, p)
		s.dropIfUnused(p)
	}
}

// endWindow returns units that were not needed in the window to their homes, and
// begins the next window.
func (s *State) endWindow(now time.Duration) {
	s.active = false
	s.windowEnd = now + s.opts.IdleAfter
	s.returnIdleSlots(now)
	for _, p := range append([]*pool(nil), s.ordered...) {
		s.endPoolWindow(now, p)
	}
	idle := s.slots.minFree
	s.slots.minFree = s.slots.free
	if idle < s.slots.free {
		// The next window shows whether the other free units are idle too.
		s.active = true
	}
}

// returnIdleSlots returns half of the slot units that were not needed, so that some
// are still here when the load returns.
func (s *State) returnIdleSlots(now time.Duration) {
	idle := (s.slots.minFree - s.slots.want + 1) / 2
	for _, p := range append([]*pool(nil), s.slots.list...) {
		if idle <= 0 {
			return
		}
		if p.ledger != nil {
			continue
		}
		n := min(idle, p.free)
		s.sendHome(now, p, n)
		idle -= n
	}
}

// endPoolWindow returns idle limit units and unusable slot units to the home, and
// cancels an ask for units that are no longer wanted. The home lends standing units
// instead.
func (s *State) endPoolWindow(now time.Duration, p *pool) {
	if p.ledger == nil {
		s.sendHome(now, p, s.unneeded(p))
		s.cancelAsk(p)
	} else {
		s.lendStanding(now, p)
	}
	p.minFree = p.free
	if p.ledger == nil && s.unneeded(p) > 0 {
		s.active = true
	}
	s.dropIfUnused(p)
}

// unneeded returns how many units of the pool are returned to the home. It is 0 for
// slots of usable targets, which returnIdleSlots counts together.
func (s *State) unneeded(p *pool) int {
	switch {
	case p.kind == KindLimit && p.configured:
		return min(p.minFree-p.demand.want, p.free+p.used-s.standing(p))
	case !p.configured:
		return p.minFree - p.demand.want
	case p.excluded:
		return p.minFree - 1
	}
	return 0
}

// cancelAsk withdraws the ask for units of a pool that this VM no longer wants.
func (s *State) cancelAsk(p *pool) {
	l := s.links[p.home]
	if l == nil || p.demand.asked == 0 || p.demand.want > 0 {
		return
	}
	p.demand.asked = 0
	l.asks = append(l.asks, &capacitypb.Ask{Pool: p.name})
}
