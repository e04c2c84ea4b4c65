package capacity

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// SetView installs a view. Units that this VM holds stay usable, and it reports them
// to their homes. The sender drops units in transit; the receiver reports them if it
// got them.
func (s *State) SetView(now time.Duration, v View) []Out {
	if v.ID == s.view.ID {
		return nil
	}
	s.inherits = v.Parent != "" && v.Parent == s.view.ID
	old := s.view
	s.view = v
	s.installed = now
	s.isMember = slices.ContainsFunc(v.Members, s.opts.Self.isSame)
	s.parentMembers = nil
	if s.inherits {
		s.parentMembers = old.Members
		s.extendUnlistedBlock(now)
	} else {
		s.dropFree()
	}
	s.restartRevocations()
	reports := s.moveHomes(now)
	s.connect(now, reports)
	s.resolve(now)
	s.windowEnd = now + s.opts.IdleAfter
	s.active = true
	return s.collect(now)
}

// extendUnlistedBlock blocks limit pools without ledger for ReclaimAfter when the
// previous view is replaced before all its members have reported, since this VM then
// does not know all units.
func (s *State) extendUnlistedBlock(now time.Duration) {
	if !s.resolved {
		s.unlistedBlockedUntil = now + s.opts.ReclaimAfter
	}
}

// dropFree drops the free units and ledgers of a VM that missed a view: others may
// have counted its units as lost. Units in use are reported.
func (s *State) dropFree() {
	for _, p := range s.ordered {
		s.addFree(p, -p.free)
		if p.kind == KindLimit {
			p.stale = p.used
		}
		p.ledger = nil
	}
	s.unlistedBlockedUntil = 0
}

// moveHomes assigns every pool to its home in the new view, reserves the units of
// lost members and returns the reports for the other members.
func (s *State) moveHomes(now time.Duration) map[string]*capacitypb.Report {
	reports := make(map[string]*capacitypb.Report, len(s.view.Members))
	for _, m := range s.view.Members {
		reports[m.ID] = s.newReport(now)
	}
	for _, p := range s.ordered {
		p.keep = keepAll
		p.demand = demand{want: p.demand.want}
		p.home = homeOf(s.view.Members, p.name)
		s.reserveLost(now, p)
		if p.home == s.opts.Self.ID {
			s.prepareLedger(p)
			continue
		}
		report := reports[p.home]
		if p.ledger != nil && p.kind == KindLimit {
			report.Ledgers = append(report.Ledgers, s.handOver(now, p))
		}
		p.ledger = nil
		if !s.isMember {
			// A leaver needs no free units; the new home counts them as free.
			s.addFree(p, -p.free)
		}
		if held := p.free + p.used; held > 0 {
			u := &capacitypb.Units{Pool: p.name, Count: uint32(held), Kind: capacitypb.Kind(p.kind)}
			report.Holdings = append(report.Holdings, u)
		}
	}
	return reports
}

// newReport makes a report without holdings and ledgers. It names the parent view
// only when this VM comes from it.
func (s *State) newReport(now time.Duration) *capacitypb.Report {
	if !s.inherits {
		return &capacitypb.Report{}
	}
	r := &capacitypb.Report{
		Parent:            s.view.Parent,
		UnlistedBlockedMs: remainingMS(now, s.unlistedBlockedUntil),
	}
	for _, m := range s.parentMembers {
		r.ParentMembers = append(r.ParentMembers, &capacitypb.Member{Id: m.ID, Incarnation: m.Incarnation})
	}
	return r
}

// handOver returns the ledger of a limit pool for its new home.
func (s *State) handOver(now time.Duration, p *pool) *capacitypb.Ledger {
	l := p.ledger
	h := &capacitypb.Ledger{Pool: p.name}
	if !l.known {
		h.BlockedMs = remainingMS(0, s.opts.ReclaimAfter)
		return h
	}
	if l.blocked {
		h.BlockedMs = remainingMS(now, l.blockedUntil)
	}
	for _, r := range l.reservations {
		h.Reservations = append(h.Reservations, &capacitypb.Reservation{
			Units:       uint32(r.units),
			RemainingMs: remainingMS(now, r.until),
		})
	}
	return h
}

// remainingMS returns the time until a moment in milliseconds. It rounds up, so that
// a reservation does not become shorter when it is handed over.
func remainingMS(now, until time.Duration) int64 {
	if until <= now {
		return 0
	}
	return int64((until-now)/time.Millisecond) + 1
}

// reserveLost reserves the limit units that members hold who are not in the new
// view.
func (s *State) reserveLost(now time.Duration, p *pool) {
	l := p.ledger
	if l == nil || p.kind != KindLimit {
		return
	}
	for _, m := range s.parentMembers {
		if slices.ContainsFunc(s.view.Members, m.isSame) {
			continue
		}
		if units := l.lent[m.ID]; units > 0 {
			s.reserve(l, units, now+s.opts.ReclaimAfter)
		}
		l.lentTotal -= l.lent[m.ID]
		delete(l.lent, m.ID)
	}
}

// reserve adds a reservation to the ledger.
func (s *State) reserve(l *ledger, units int, until time.Duration) {
	l.reservations = append(l.reservations, reservation{units: units, until: until})
	s.nextExpiry = min(s.nextExpiry, until)
}

// isSame reports whether both are the same process.
func (m Member) isSame(other Member) bool {
	return m.ID == other.ID && m.Incarnation == other.Incarnation
}

// prepareLedger prepares the ledger of a pool whose home is here. The ledger of a
// limit pool is kept when this VM was its home before: the survivors hold no more
// units than it lent. Any other pool gets a new ledger.
func (s *State) prepareLedger(p *pool) {
	if p.ledger != nil && p.kind == KindLimit {
		clear(p.ledger.wants)
		p.ledger.recallAt = 0
		return
	}
	p.ledger = newLedger()
}

// blockLedger blocks a ledger until the given time; 0 does nothing.
func (s *State) blockLedger(l *ledger, until time.Duration) {
	if until <= 0 {
		return
	}
	l.block(until)
	s.nextExpiry = min(s.nextExpiry, until)
}

// connect opens the links of the view; the first item on each is the report.
func (s *State) connect(now time.Duration, reports map[string]*capacitypb.Report) {
	s.peers = nil
	s.leavers = nil
	clear(s.links)
	s.resolved = false
	for _, m := range s.view.Members {
		if m.ID == s.opts.Self.ID {
			continue
		}
		l := &link{member: m}
		l.appendItem(&capacitypb.Item{Report: reports[m.ID]})
		s.links[m.ID] = l
		s.peers = append(s.peers, l)
	}
	for _, m := range s.view.Leavers {
		if m.ID == s.opts.Self.ID || s.links[m.ID] != nil {
			continue
		}
		l := &link{member: m, leaver: true}
		s.links[m.ID] = l
		s.leavers = append(s.leavers, l)
		s.leaversUntil = now + s.opts.LeaverTimeout
		s.nextExpiry = min(s.nextExpiry, s.leaversUntil)
	}
	slices.SortFunc(s.peers, func(a, b *link) int {
		return strings.Compare(a.member.ID, b.member.ID)
	})
}

// receiveReport records a peer's holdings in the ledgers of this home, and completes
// the ledgers when it is the last report.
func (s *State) receiveReport(now time.Duration, l *link, r *capacitypb.Report) {
	if l.hasReported() {
		return
	}
	l.report = r
	id := l.member.ID
	for _, p := range s.ordered {
		if p.ledger != nil && p.kind == KindLimit {
			p.ledger.addLent(id, -p.ledger.lent[id])
		}
	}
	for _, u := range r.Holdings {
		s.receiveHolding(now, l, u)
	}
	if len(s.parentMembers) == 0 && r.Parent != "" && r.Parent == s.view.Parent {
		for _, m := range r.ParentMembers {
			s.parentMembers = append(s.parentMembers, Member{ID: m.Id, Incarnation: m.Incarnation})
		}
	}
	s.resolve(now)
}

// receiveHolding records the units that a peer holds of a pool of this home. A leaver
// uses its units only until its tasks end, so those are reserved.
func (s *State) receiveHolding(now time.Duration, l *link, u *capacitypb.Units) {
	p := s.pool(u.Pool, Kind(u.Kind))
	switch {
	case p.ledger == nil:
	case !l.leaver:
		p.ledger.addLent(l.member.ID, int(u.Count))
	case p.kind == KindLimit && !p.ledger.known:
		s.reserve(p.ledger, int(u.Count), now+s.opts.ReclaimAfter)
	}
}

// resolve completes the ledgers once every member of the view has reported.
func (s *State) resolve(now time.Duration) {
	for _, l := range s.peers {
		if !l.hasReported() {
			return
		}
	}
	for _, l := range s.leavers {
		if !l.hasReported() && now < s.leaversUntil {
			return
		}
	}
	s.blockUnlisted(now)
	for _, l := range s.reporters() {
		for _, h := range l.report.Ledgers {
			s.pool(h.Pool, KindLimit)
		}
	}
	// The pools that only handed-over ledgers name were created above, and inherit
	// their ledgers below.
	s.resolved = true
	for _, p := range slices.Clone(s.ordered) {
		if p.ledger == nil {
			continue
		}
		if !p.ledger.known && p.kind == KindLimit {
			s.inheritLedger(now, p)
		}
		p.ledger.known = true
		s.balance(now, p)
		s.dropIfUnused(p)
	}
}

// blockUnlisted sets until when limit pools are blocked that no handed-over ledger
// names.
func (s *State) blockUnlisted(now time.Duration) {
	until := s.unlistedBlockedUntil
	if len(s.parentMembers) == 0 || slices.ContainsFunc(s.parentMembers, s.isLost) {
		until = max(until, s.installed+s.opts.ReclaimAfter)
		s.afterLoss = true
		s.lossAt = s.installed
	}
	for _, l := range s.reporters() {
		if ms := l.report.UnlistedBlockedMs; ms > 0 {
			until = max(until, now+time.Duration(ms)*time.Millisecond)
		}
	}
	s.unlistedBlockedUntil = until
	s.revocations.needed = until > now
	if until > 0 {
		s.nextExpiry = min(s.nextExpiry, until)
	}
}

// reporters returns the links to members and leavers that have reported.
func (s *State) reporters() []*link {
	all := slices.Concat(s.peers, s.leavers)
	return slices.DeleteFunc(all, func(l *link) bool { return !l.hasReported() })
}

// isLost reports whether a member of the parent view has not reported in this one.
func (s *State) isLost(m Member) bool {
	if m.isSame(s.opts.Self) {
		return false
	}
	l := s.links[m.ID]
	return l == nil || !m.isSame(l.member) || !l.hasReported()
}

// inheritLedger takes over the ledger of a limit pool from its home in the parent
// view. When that home has not handed it over, the units that no survivor reported
// count as held by lost VMs until ReclaimAfter has passed.
func (s *State) inheritLedger(now time.Duration, p *pool) {
	home := homeOf(s.parentMembers, p.name)
	if home == s.opts.Self.ID && s.inherits {
		s.blockLedger(p.ledger, s.unlistedBlockedUntil)
		return
	}
	source := s.links[home]
	if source == nil || !source.hasReported() || !s.descends(source) {
		s.blockLedger(p.ledger, s.installed+s.opts.ReclaimAfter)
		return
	}
	at := slices.IndexFunc(source.report.Ledgers, func(h *capacitypb.Ledger) bool { return h.Pool == p.name })
	if at < 0 {
		s.blockUnlistedBy(now, p.ledger, source)
		return
	}
	h := source.report.Ledgers[at]
	if h.BlockedMs > 0 {
		s.blockLedger(p.ledger, now+time.Duration(h.BlockedMs)*time.Millisecond)
	}
	for _, r := range h.Reservations {
		until := now + time.Duration(r.RemainingMs)*time.Millisecond
		s.reserve(p.ledger, int(r.Units), until)
	}
}

// blockUnlistedBy blocks a pool of which its previous home had no ledger for as long
// as that home blocks such pools.
func (s *State) blockUnlistedBy(now time.Duration, l *ledger, source *link) {
	if ms := source.report.UnlistedBlockedMs; ms > 0 {
		s.blockLedger(l, now+time.Duration(ms)*time.Millisecond)
	}
}

// descends reports whether the peer comes from the parent view and was a member of
// it.
func (s *State) descends(l *link) bool {
	return l.report.Parent != "" && l.report.Parent == s.view.Parent && slices.ContainsFunc(s.parentMembers, l.member.isSame)
}
