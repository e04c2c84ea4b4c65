package membership

import (
	"slices"
	"time"
)

// contact is an address where a process outside the view may be found.
type contact struct {
	// nextAttempt is when the address is asked again.
	nextAttempt time.Duration
	// expiresAt is when attempts end. Until the first attempt of a learned contact it
	// holds learnedContactLifetime.
	expiresAt time.Duration
}

// listing is the platform's last report of a VM.
type listing struct {
	address string
	live    bool
	leaving bool
}

const (
	// noExpiry is the end of contacts that the settings or the platform name.
	noExpiry = time.Duration(1<<63 - 1)
	// learnedContactLifetime is how long an address that a peer named is tried.
	learnedContactLifetime = 10 * time.Minute
	// eagerContactInterval is the time between attempts of a process that has no
	// view or must join another one.
	eagerContactInterval = 250 * time.Millisecond
	// joinTimeout is how long a process waits to be admitted to a view to which its own
	// one yields, and how long a promise may stay without the promised view.
	joinTimeout = 3 * time.Second
	// peerRetention is how long a silent process outside the view is remembered.
	peerRetention = time.Minute
)

// ListedVM is an entry VM that the platform lists as live.
type ListedVM struct {
	ID string
	// Address is the IP and port of the peer interface.
	Address string
}

// SetListed takes the platform's list of the entry VMs of the failure domain: the live
// ones, and the ids of those that are leaving. The list lags, so it never admits or
// removes a VM by itself. Live VMs are contacted, and a silent VM that is leaving or not
// listed any more is removed sooner.
func (s *State) SetListed(live []ListedVM, leaving []string) {
	for id, l := range s.listed {
		s.listed[id] = listing{address: l.address}
	}
	for _, vm := range live {
		s.listed[vm.ID] = listing{address: vm.Address, live: true}
		if vm.ID != s.cfg.Self.ID {
			s.addContact(vm.Address, noExpiry)
		}
	}
	for _, id := range leaving {
		s.listed[id] = listing{address: s.listed[id].address, leaving: true}
	}
	s.dropUnlisted()
}

// dropUnlisted drops the contacts of VMs that are not listed any more, and their listing
// when they are not members.
func (s *State) dropUnlisted() {
	for id, l := range s.listed {
		if l.live || l.leaving {
			continue
		}
		if !slices.Contains(s.cfg.Seeds, l.address) {
			delete(s.contacts, l.address)
		}
		if _, ok := s.view.Member(id); !ok {
			delete(s.listed, id)
		}
	}
}

// isListedGone reports whether the platform lists a VM as leaving or has removed it from
// the list. A VM that was never listed may be new.
func (s *State) isListedGone(id string) bool {
	l, ok := s.listed[id]
	return ok && !l.live
}

// addContact adds an address, unless it is known already.
func (s *State) addContact(address string, expiresAt time.Duration) {
	if address == "" || address == s.cfg.Self.Address {
		return
	}
	if s.contacts[address] == nil {
		s.contacts[address] = &contact{expiresAt: expiresAt}
	}
}

// tickContacts asks contact addresses for their status. In a view that yields to no
// other, the coordinator alone does so, and leaves out the members.
func (s *State) tickContacts(now time.Duration) {
	eager := s.view.ID.IsZero() || s.isBehind(now)
	if !eager && !s.isCoordinator() {
		return
	}
	interval := s.cfg.ContactInterval
	if eager {
		interval = eagerContactInterval
	}
	for _, address := range sortedKeys(s.contacts) {
		c := s.contacts[address]
		if c.expiresAt == learnedContactLifetime {
			c.expiresAt += now
		}
		if now > c.expiresAt {
			delete(s.contacts, address)
			continue
		}
		if now < c.nextAttempt && c.nextAttempt-now <= interval || s.isMemberAddress(address) && !eager {
			continue
		}
		c.nextAttempt = now + interval
		s.sendStatus(now, Member{Address: address}, nil, true)
	}
}

// isMemberAddress reports whether an address belongs to a member.
func (s *State) isMemberAddress(address string) bool {
	return slices.ContainsFunc(s.view.Members, func(m Member) bool { return m.Address == address })
}

// isBehind reports whether this process waits to be admitted to another view.
func (s *State) isBehind(now time.Duration) bool {
	s.behind = s.behind && now-s.behindAt < joinTimeout
	return s.behind
}

// tickStart forms a view of this process alone when it has found no other process. Of
// several processes that start together, the one with the lowest id does so and admits
// the others.
func (s *State) tickStart(now time.Duration) {
	if !s.view.ID.IsZero() || now-s.started < s.cfg.StartWait || s.leaving {
		return
	}
	if s.isBehind(now) || len(s.promises) > 0 && now-s.promisedAt < joinTimeout {
		return
	}
	for _, id := range sortedKeys(s.peers) {
		if now-s.peers[id].heard < s.cfg.StartWait && id < s.cfg.Self.ID {
			return
		}
	}
	s.formAlone(now)
}

// formAlone installs a view of this process alone with a first epoch.
func (s *State) formAlone(now time.Duration) {
	view := View{
		ID:      ViewID{Number: 1, Nonce: s.cfg.Nonce()},
		Members: []Member{s.cfg.Self},
	}
	list := EpochList{Sequence: 1, Epochs: []Epoch{s.newEpoch(0, false)}}
	s.installView(now, view, list)
}

// candidates returns the processes that can join the view: those that have none, or one
// that yields to this one.
func (s *State) candidates(now time.Duration) []Member {
	var out []Member
	for _, id := range sortedKeys(s.peers) {
		p := s.peers[id]
		if contains(s.view.Members, p.member) || !p.hasStatus || p.member.Address == "" {
			continue
		}
		quiet := now-p.heard > s.cfg.HeartbeatInterval
		if quiet || p.suspected || p.leaving || p.view == s.view.ID || s.yieldsTo(p.view, p.viewSize) {
			continue
		}
		out = append(out, p.member)
	}
	return out
}

// Leave starts a planned stop: the other members form a view without this
// process, and it hands its records over.
func (s *State) Leave(now time.Duration) {
	if s.leaving {
		return
	}
	s.leaving = true
	if s.view.ID.IsZero() {
		s.left = true
		return
	}
	for _, m := range s.withoutSelf(s.view.sources()) {
		s.requestStatus(now, m)
	}
	s.leaveIfAlone()
}

// MarkHandedOver is called when every member of the view has this leaver's records.
func (s *State) MarkHandedOver() {
	if s.leaving && !s.isMember() {
		s.left = true
	}
}

// leaveIfAlone ends a planned stop when there is no process to hand records to: every
// other member of the view leaves as well or is gone. Leaving members propose no view,
// so no process will ask for the records.
func (s *State) leaveIfAlone() {
	if s.leaving && !slices.ContainsFunc(s.others(), s.isStaying) {
		s.left = true
	}
}

// isStaying reports whether a member of the view is present and not leaving.
func (s *State) isStaying(m Member) bool { return !s.isGone(m) && !s.peers[m.ID].leaving }

// forgetPeers drops processes outside the view that have been silent for peerRetention.
func (s *State) forgetPeers(now time.Duration) {
	for id, p := range s.peers {
		if now-p.heard > peerRetention && !contains(s.view.sources(), p.member) {
			delete(s.peers, id)
		}
	}
}
