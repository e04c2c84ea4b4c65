package capacity

import (
	"math"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// ledger is the home's record of the units of a pool that it doesn't hold.
type ledger struct {
	// known says that lentTotal is complete: every member has reported.
	known bool
	// blockedUntil is until when units that nobody reported stay unusable,
	// because a lost VM may use them.
	blockedUntil time.Duration
	blocked      bool
	// lent counts units by the id of the holder, in transit included, and lentTotal
	// is their sum. Slot units move between holders without a message to the home,
	// so only the sum is meaningful for them.
	lent      map[string]int
	lentTotal int
	// reservations hold units of lost VMs.
	reservations []reservation
	// wants counts the units of a limit pool that members ask for.
	wants map[string]int
	// recallAt is when units may be recalled again, and recallInterval the time
	// between two recalls.
	recallAt, recallInterval time.Duration
}

// reservation keeps the units of a lost VM while its tasks may still run.
type reservation struct {
	units int
	until time.Duration
}

func newLedger() *ledger {
	return &ledger{lent: make(map[string]int), wants: make(map[string]int)}
}

// isEmpty reports whether all units of the pool are known to be at the home.
func (l *ledger) isEmpty() bool {
	return l.known && !l.blocked && l.lentTotal == 0 && len(l.reservations) == 0
}

// addLent adds n units, or subtracts them when n is negative, to those lent to the
// holder.
func (l *ledger) addLent(holder string, n int) {
	l.lent[holder] += n
	l.lentTotal += n
}

// block makes units that nobody reported unusable until the given time.
func (l *ledger) block(until time.Duration) {
	l.blocked = true
	l.blockedUntil = max(l.blockedUntil, until)
}

// reserved returns the number of reserved units.
func (l *ledger) reserved() int {
	sum := 0
	for _, r := range l.reservations {
		sum += r.units
	}
	return sum
}

// expire ends blocks and reservations that have run out, and returns the next
// time at which one does.
func (l *ledger) expire(now time.Duration) time.Duration {
	next := never
	if l.blocked && l.blockedUntil <= now {
		l.blocked = false
	}
	if l.blocked {
		next = l.blockedUntil
	}
	kept := l.reservations[:0]
	for _, r := range l.reservations {
		if r.until <= now {
			continue
		}
		kept = append(kept, r)
		next = min(next, r.until)
	}
	l.reservations = kept
	return next
}

// updateFree sets the home's free units to the capacity less the lent, reserved and
// used ones. It returns by how many units those exceed the capacity.
func (s *State) updateFree(p *pool) int {
	l := p.ledger
	if !l.known || l.blocked {
		return 0
	}
	free := p.capacity - l.lentTotal - l.reserved() - p.used
	s.addFree(p, max(0, free)-p.free)
	return max(0, -free)
}

// balance updates the free units of a pool of this home, grants them to the members
// that want some, and recalls units when there are too few.
func (s *State) balance(now time.Duration, p *pool) {
	excess := s.updateFree(p)
	if p.kind == KindLimit && len(p.ledger.wants) > 0 {
		s.serveWants(now, p)
	}
	s.recall(now, p, excess)
}

// serveWants grants free units to the members that want them, one at a time to the
// one that holds the fewest. Units that this VM wants count as granted to it.
func (s *State) serveWants(now time.Duration, p *pool) {
	l := p.ledger
	grants := make(map[*link]int)
	own := 0
	for left := p.free; left > 0; left-- {
		best := s.nextGrantee(p, p.used+own, p.demand.want > own)
		if best == nil && p.demand.want <= own {
			break
		}
		if best == nil {
			own++
			continue
		}
		id := best.member.ID
		grants[best]++
		l.lent[id]++
		l.wants[id]--
		if l.wants[id] == 0 {
			delete(l.wants, id)
		}
	}
	for _, peer := range s.peers {
		n := grants[peer]
		if n == 0 {
			continue
		}
		l.lent[peer.member.ID] -= n
		s.addFree(p, -n)
		s.sendUnits(now, peer, p, n)
	}
}

// nextGrantee returns the link of the wanting member that holds the fewest units;
// nil when this VM holds no more and wants some, or when no member wants any.
func (s *State) nextGrantee(p *pool, ownHeld int, ownWants bool) *link {
	var best *link
	held := math.MaxInt
	if ownWants {
		held = ownHeld
	}
	for _, peer := range s.peers {
		id := peer.member.ID
		if p.ledger.wants[id] == 0 {
			continue
		}
		if p.ledger.lent[id] < held {
			best = peer
			held = p.ledger.lent[id]
		}
	}
	return best
}

// recall asks holders to return units that others want, down to an equal share, or
// that exceed the capacity. It repeats this at a growing interval.
func (s *State) recall(now time.Duration, p *pool, excess int) {
	l := p.ledger
	short := len(l.wants) > 0 || p.kind == KindLimit && p.demand.want > p.free
	if !short && excess == 0 {
		l.recallInterval = 0
		return
	}
	if now < l.recallAt {
		return
	}
	l.recallInterval = backoff(l.recallInterval, s.opts.RetryAfter, s.opts.MaxRetryAfter)
	l.recallAt = now + l.recallInterval
	s.nextExpiry = min(s.nextExpiry, l.recallAt)
	keep := s.equalShare(p)
	for _, peer := range s.peers {
		id := peer.member.ID
		if p.kind == KindLimit && l.lent[id] == 0 {
			continue
		}
		if excess == 0 && l.wants[id] > 0 && l.lent[id] <= keep {
			continue
		}
		peer.recalls = append(peer.recalls, &capacitypb.Recall{Pool: p.name, Keep: uint32(keep)})
	}
}

// equalShare returns the part of a limit pool for each member that uses it. It is 0
// for slots: their holders are unknown, so all units are recalled.
func (s *State) equalShare(p *pool) int {
	if p.kind == KindSlots {
		return 0
	}
	users := 0
	if p.used > 0 || p.demand.want > 0 {
		users++
	}
	for _, peer := range s.peers {
		id := peer.member.ID
		// A member that holds only its standing units may not need any.
		if p.ledger.lent[id] > s.standing(p) || p.ledger.wants[id] > 0 {
			users++
		}
	}
	return p.capacity / max(1, users)
}

// receiveRecall returns units that the home recalls: idle ones at once, others when
// they come free.
func (s *State) receiveRecall(now time.Duration, r *capacitypb.Recall) {
	p := s.pools[r.Pool]
	if p == nil || p.ledger != nil {
		return
	}
	surplus := p.free + p.used - int(r.Keep)
	idle := min(p.free, max(0, surplus))
	if p.kind == KindLimit {
		idle = max(idle, p.free-p.demand.want)
	}
	s.sendHome(now, p, idle)
	if surplus > idle {
		p.keep = int(r.Keep)
	}
}

// backoff returns the interval after last: first, and then twice the last one, up to
// most.
func backoff(last, first, most time.Duration) time.Duration {
	if last == 0 {
		return first
	}
	return min(2*last, most)
}
