package capacity

// Usage is the use of a limit pool, as its home records it.
type Usage struct {
	// Known says that Out is complete: every member has reported, and the pool is
	// not blocked for unreported units.
	Known bool
	// Capacity is the number of units that the home lends at most.
	Capacity int
	// Out is the number of units that are lent, in use at the home or reserved.
	Out int
	// Want is how many more units members and the home would use.
	Want int
}

// Usage returns the use of a limit pool; false when this VM is not its home.
func (s *State) Usage(name string) (Usage, bool) {
	p := s.pools[name]
	if p == nil || p.ledger == nil || p.kind != KindLimit || !s.isMember {
		return Usage{}, false
	}
	l := p.ledger
	u := Usage{
		Known:    l.known && !l.blocked,
		Capacity: p.capacity,
		Out:      l.lentTotal + l.reserved() + p.used,
		Want:     max(0, p.demand.want-p.free),
	}
	for _, n := range l.wants {
		u.Want += n
	}
	return u, true
}
