package capacity

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// maxExcluded is the maximum number of excluded targets in an ask.
const maxExcluded = 64

// askDivisor is the divisor of the held units that gives the smallest want for which
// peers are asked that are not known to have free units.
const askDivisor = 8

// askSlots asks peers for the missing slot units: those that are known to have free
// units, the one with the most first. When there are none, it asks one that may have
// some. A want that lasts is sent to all peers, which record it.
func (s *State) askSlots(now time.Duration) {
	missing := s.missing() - s.pendingAsked(now)
	if missing <= 0 || s.leaving || !s.isMember {
		return
	}
	for _, l := range s.byFree() {
		if l.slots.free == 0 || l.slots.asked > 0 || now < l.slots.askAt || missing <= 0 {
			continue
		}
		n := min(missing, l.slots.free)
		if !s.spendAsk(now, n) {
			return
		}
		s.askSlotsOf(now, l, n)
		missing -= n
	}
	if missing < s.missing() {
		return
	}
	if now >= s.slots.retryAt {
		s.askAll(now)
		return
	}
	s.askUnasked(now)
}

// pendingAsked returns how many units peers were asked for without an answer yet. It
// drops asks that are older than RetryAfter.
func (s *State) pendingAsked(now time.Duration) int {
	sum := 0
	for _, l := range s.peers {
		if now >= l.slots.askAt+s.opts.RetryAfter {
			// The ask or its answer is lost.
			l.slots.asked = 0
		}
		sum += l.slots.asked
	}
	return sum
}

// spendAsk takes a message for n units from the budget, and reports whether there was
// credit for it.
func (s *State) spendAsk(now time.Duration, n int) bool {
	if s.slots.budget.spend(now, n, s.slots.used, now-s.slots.missingSince) {
		return true
	}
	s.slots.budgetAt = now + reserveDecay
	return false
}

// askUnasked asks the peer that holds the most units of those that were not asked
// since units are missing: its digest may be out of date. It does so only for a want
// of at least 1 / askDivisor of the units that this VM holds; units for a smaller one
// soon come free here.
func (s *State) askUnasked(now time.Duration) {
	missing := s.missing()
	var most *link
	for _, l := range s.peers {
		if l.slots.askAt <= s.slots.missingSince && (most == nil || l.slots.held > most.slots.held) {
			most = l
		}
	}
	if most != nil && askDivisor*missing >= s.held() && s.spendAsk(now, missing) {
		s.askSlotsOf(now, most, missing)
	}
}

// askAll sends the want to all peers, which record it, since their digests may be out
// of date. The interval grows while the want lasts.
func (s *State) askAll(now time.Duration) {
	if now > s.slots.retryAt+s.slots.retryInterval {
		s.slots.retryInterval = 0
	}
	s.slots.retryInterval = backoff(s.slots.retryInterval, s.opts.RetryAfter, s.opts.MaxRetryAfter)
	s.slots.retryAt = now + s.slots.retryInterval
	for _, l := range s.peers {
		s.askSlotsOf(now, l, s.missing())
	}
}

// askSlotsOf adds an ask for n slot units to the next message of the link.
func (s *State) askSlotsOf(now time.Duration, l *link, n int) {
	l.slots.asked = n
	l.slots.askAt = now + s.opts.AskInterval
	l.asks = append(l.asks, &capacitypb.Ask{Count: uint32(n), Excluded: s.excludedTargets()})
}

// byFree returns the links with the most free units first.
func (s *State) byFree() []*link {
	sorted := slices.Clone(s.peers)
	slices.SortStableFunc(sorted, func(a, b *link) int { return b.slots.free - a.slots.free })
	return sorted
}

// excludedTargets returns the excluded targets, at most maxExcluded.
func (s *State) excludedTargets() []string {
	var names []string
	for _, p := range s.ordered {
		if p.kind == KindSlots && p.excluded && len(names) < maxExcluded {
			names = append(names, p.name)
		}
	}
	return names
}
