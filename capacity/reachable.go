package capacity

import "time"

// Reachable returns how many slots this VM could use at once: those that it holds,
// and the free ones in the digests of the other members.
func (s *State) Reachable() int {
	reachable := s.held()
	for _, l := range s.peers {
		reachable += l.slots.free
	}
	return reachable
}

// SetReclaimAfter changes Options.ReclaimAfter for units that are lost from now on,
// and for limit pools that become known from now on. Tasks of lost VMs may still run
// under a limit that was unknown when the VMs were lost.
func (s *State) SetReclaimAfter(now, d time.Duration) {
	s.opts.ReclaimAfter = d
	until := s.lossAt + d
	if !s.afterLoss || until <= now {
		return
	}
	s.unlistedBlockedUntil = max(s.unlistedBlockedUntil, until)
	s.nextExpiry = min(s.nextExpiry, s.unlistedBlockedUntil)
}
