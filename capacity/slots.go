package capacity

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// slotState is this VM's state of all slot pools together.
type slotState struct {
	// list holds the usable slot pools with free units, in no particular order.
	list []*pool
	// free counts their units, and used the slot units in use.
	free, used int
	// minFree is the smallest number of free units in the window: that many were
	// not needed.
	minFree int
	// want is how many slot units would be used now beside those in use.
	want int
	// cursor is where the next batch starts in list.
	cursor int
	// divert alternates between keeping and giving units that come free while
	// this VM and a VM that holds fewer both want some.
	divert bool
	// retryAt is when VMs without free units are asked again, and retryInterval
	// the time between two such asks.
	retryAt, retryInterval time.Duration
	// budget bounds the messages, and budgetAt is when it may have credit again.
	budget   budget
	budgetAt time.Duration
	// missingSince is since when this VM lacks slot units.
	missingSince time.Duration
	// shareAt is when spare units are given to peers that want some; 0 when not due.
	shareAt time.Duration
	// spareSince is since when a peer wants units while this VM has spare ones.
	spareSince time.Duration
}

// peerSlots is the state of a peer's slots by its newest digest and asks.
type peerSlots struct {
	sequence           uint64
	free, wanted, held int
	excluded           []string
	// asked is how many units the peer was asked for without an answer yet.
	asked int
	// askAt is when it may be asked again.
	askAt time.Duration
}

// Want sets how many units this VM would use now beside those in use, free ones
// included: of the named limit pool, or slot units of any target for Slots. The
// caller calls it whenever that changes.
func (s *State) Want(now time.Duration, name string, n int) []Out {
	n = max(0, n)
	if name != Slots {
		s.wantLimit(now, name, n)
		return s.collect(now)
	}
	if n == 0 && s.slots.want == 0 {
		return nil
	}
	if s.missing() == 0 {
		s.slots.missingSince = now
	}
	s.slots.want = n
	if n == 0 {
		s.scheduleShare(now)
		return nil
	}
	s.askSlots(now)
	return s.collect(now)
}

// wantLimit sets the wanted units of a limit pool.
func (s *State) wantLimit(now time.Duration, name string, n int) {
	p := s.pools[name]
	if p == nil || p.kind != KindLimit {
		return
	}
	d := &p.demand
	if n == 0 && d.want == 0 {
		return
	}
	d.want = n
	if n == 0 {
		d.retryInterval = 0
		d.retryAt = 0
		return
	}
	if p.ledger != nil {
		s.balance(now, p)
		return
	}
	s.askLimit(now, p)
}

// askLimit asks the home for the missing units when the want has grown, or again
// after the retry interval.
func (s *State) askLimit(now time.Duration, p *pool) {
	d := &p.demand
	l := s.links[p.home]
	missing := d.want - p.free
	if l == nil || s.leaving || !s.isMember || missing <= 0 {
		return
	}
	grown := missing > d.asked && now >= d.nextAskAt
	if !grown && now < d.retryAt {
		return
	}
	d.asked = missing
	d.nextAskAt = now + s.opts.AskInterval
	d.retryInterval = backoff(d.retryInterval, s.opts.RetryAfter, s.opts.MaxRetryAfter)
	d.retryAt = now + d.retryInterval
	l.asks = append(l.asks, &capacitypb.Ask{Pool: p.name, Count: uint32(missing)})
}

// missing returns how many slot units this VM lacks.
func (s *State) missing() int { return max(0, s.slots.want-s.slots.free) }

// held returns how many usable slot units this VM holds.
func (s *State) held() int { return s.slots.free + s.slots.used }

// serveSlotAsk gives spare units to a peer that asks for slot units, and records how
// many more it wants.
func (s *State) serveSlotAsk(now time.Duration, l *link, a *capacitypb.Ask) {
	l.slots.excluded = a.Excluded
	l.slots.wanted = max(l.slots.wanted, int(a.Count))
	s.grantSlots(now, l, min(int(a.Count), s.spare()))
}

// spare returns how many free slot units this VM does not want itself and may give
// away. Later tasks use units that come free, or ask.
func (s *State) spare() int { return max(0, s.slots.free-s.slots.want) }

// grantSlots gives up to n free units to a peer, spread over the targets that the peer
// does not exclude.
func (s *State) grantSlots(now time.Duration, l *link, n int) {
	each := 1
	if len(s.slots.list) > 0 {
		each = max(1, n/len(s.slots.list))
	}
	for misses := 0; n > 0 && misses < len(s.slots.list); {
		s.slots.cursor = (s.slots.cursor + 1) % len(s.slots.list)
		p := s.slots.list[s.slots.cursor]
		if slices.Contains(l.slots.excluded, p.name) {
			misses++
			continue
		}
		give := min(each, n, p.free)
		s.giveSlots(now, l, p, give)
		n -= give
		misses = 0
	}
}

// giveSlots sends n free units of a pool to a peer.
func (s *State) giveSlots(now time.Duration, l *link, p *pool, n int) {
	s.addFree(p, -n)
	s.sendUnits(now, l, p, n)
	l.slots.wanted = max(0, l.slots.wanted-n)
	l.slots.held += n
}

// scheduleShare sets the time to share spare units when some peer wants units.
func (s *State) scheduleShare(now time.Duration) {
	if s.slots.shareAt > 0 {
		return
	}
	if s.spare() == 0 || len(s.wantingPeers()) == 0 {
		s.slots.spareSince = now
		return
	}
	s.slots.shareAt = now + s.opts.FlushDelay
}

// wantingPeers returns the peers that want slot units, the one that holds the fewest
// first.
func (s *State) wantingPeers() []*link {
	var wanting []*link
	for _, l := range s.peers {
		if l.slots.wanted > 0 {
			wanting = append(wanting, l)
		}
	}
	slices.SortStableFunc(wanting, func(a, b *link) int { return a.slots.held - b.slots.held })
	return wanting
}

// shareWaitFactor is how many times longer spare units wait than a want that asks for
// units: the VM that wants them has units of its own that come free.
const shareWaitFactor = 4

// share gives spare units to the peers that want some, in equal parts.
func (s *State) share(now time.Duration) {
	s.slots.shareAt = 0
	wanting := s.wantingPeers()
	spare := s.spare()
	for i, l := range wanting {
		n := min(l.slots.wanted, spare/(len(wanting)-i))
		if n == 0 || !s.slots.budget.spend(now, n, s.slots.used, (now-s.slots.spareSince)/shareWaitFactor) {
			continue
		}
		spare -= n
		s.grantSlots(now, l, n)
	}
}

// handoverDelay is how much longer than FlushDelay the units that shareFreed gives
// wait for others to be sent in the same message.
const handoverDelay = 30 * time.Millisecond

// shareFreed decides on a slot unit that came free. While this VM wants units itself,
// it gives every other one to the peer that wants some and holds the fewest, if that
// holds fewer than this VM.
func (s *State) shareFreed(now time.Duration, p *pool) {
	if s.slots.free > s.slots.want {
		s.scheduleShare(now)
		return
	}
	s.slots.divert = !s.slots.divert
	if !s.slots.divert {
		return
	}
	var best *link
	for _, l := range s.peers {
		if l.slots.wanted == 0 || l.slots.held+1 >= s.held() {
			continue
		}
		if best == nil || l.slots.held < best.slots.held {
			best = l
		}
	}
	if best != nil && !slices.Contains(best.slots.excluded, p.name) {
		s.giveSlots(now+handoverDelay, best, p, 1)
	}
}

// newDigest makes a digest of this VM's current slots.
func (s *State) newDigest() *capacitypb.Digest {
	s.digestSequence++
	return &capacitypb.Digest{
		Sequence: s.digestSequence,
		Free:     uint32(s.spare()),
		Wanted:   uint32(s.missing()),
		Held:     uint32(s.held()),
	}
}

// Digest returns the encoded digest of this VM's slots, for the heartbeats to other
// members.
func (s *State) Digest() []byte {
	b, err := proto.Marshal(s.newDigest())
	if err != nil {
		return nil
	}
	return b
}

// SetDigest stores the digest in a heartbeat of a member. Digests of unknown members
// and unreadable ones are ignored.
func (s *State) SetDigest(member string, digest []byte) {
	l := s.links[member]
	if l == nil {
		return
	}
	var d capacitypb.Digest
	if proto.Unmarshal(digest, &d) != nil {
		return
	}
	s.applyDigest(l, &d)
}

// applyDigest stores a digest that is newer than the last one of the peer.
func (s *State) applyDigest(l *link, d *capacitypb.Digest) {
	if d == nil || d.Sequence <= l.slots.sequence {
		return
	}
	l.slots.sequence = d.Sequence
	l.slots.free = int(d.Free)
	l.slots.wanted = int(d.Wanted)
	l.slots.held = int(d.Held)
}
