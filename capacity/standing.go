package capacity

import "time"

// Standing units: the home of an idle limit pool lends an equal part to each
// member, so that all can still start tasks while the home is lost or restarts.

// standing returns how many units of a limit pool each member may hold without
// wanting any.
func (s *State) standing(p *pool) int {
	if p.movable {
		return 0
	}
	return p.capacity / (len(s.peers) + 1)
}

// lendStanding lends each member its standing units of a pool of this home, unless
// some member wants units.
func (s *State) lendStanding(now time.Duration, p *pool) {
	l := p.ledger
	if p.kind != KindLimit || !l.known || l.blocked || len(l.wants) > 0 || p.demand.want > 0 || s.leaving {
		return
	}
	each := s.standing(p)
	for _, peer := range s.peers {
		spare := p.free + p.used - each
		n := min(each-l.lent[peer.member.ID], spare, p.free)
		if n <= 0 {
			continue
		}
		s.addFree(p, -n)
		s.sendUnits(now, peer, p, n)
	}
}
