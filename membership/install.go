package membership

import (
	"slices"
	"time"

	pb "github.com/burdockward/burdockward/membership/membershippb"
)

// repeatInstall sends the view again to a process that has not installed it yet, at most
// once per probe interval.
func (s *State) repeatInstall(now time.Duration, p *peer) {
	if p.installResentAt != 0 && now-p.installResentAt < s.cfg.ProbeInterval {
		return
	}
	p.installResentAt = now
	s.sendInstall(p.member)
}

func (s *State) sendInstall(to Member) {
	s.send(to, &pb.Message{Kind: &pb.Message_Install{Install: s.installMessage}})
}

// handleInstall installs a view that this process has promised, else refuses it.
func (s *State) handleInstall(now time.Duration, p *peer, m *pb.Install) {
	view := viewFrom(m)
	if view.ID == s.view.ID {
		return
	}
	promised := promise{view: view.ID, installed: s.view.ID}
	if !slices.Contains(s.promises, promised) || !contains(view.sources(), s.cfg.Self) {
		s.refuse(now, p, view.ID)
		return
	}
	s.installView(now, view, epochListFrom(m.GetEpochs()))
}

// refuse notifies the sender of a view that this process can't install it, because it
// went to another view after its promise.
func (s *State) refuse(now time.Duration, p *peer, view ViewID) {
	st := s.statusFor(now, p)
	st.Refuses = view.proto()
	s.send(p.member, &pb.Message{Kind: &pb.Message_Status{Status: st}})
}

// installView puts a view and its epoch list in force, and starts watching its processes.
func (s *State) installView(now time.Duration, view View, list EpochList) {
	for _, m := range s.others() {
		if !contains(view.Members, m) {
			s.addContact(m.Address, learnedContactLifetime)
		}
	}
	s.cameFromParent = !s.view.ID.IsZero() && view.Parent == s.view.ID
	s.view = view
	s.installMessage = installProto(&view, &list)
	s.promises = nil
	s.proposal = nil
	s.opened = false
	s.settled = false
	s.behind = false
	s.committedSequence = 0
	s.mustChange = false
	s.installedAt = now
	s.useList(now, list)
	for _, m := range s.withoutSelf(view.sources()) {
		s.watchPeer(now, m)
	}
}

// watchPeer starts watching a process of the new view.
func (s *State) watchPeer(now time.Duration, m Member) {
	p := s.peers[m.ID]
	if p == nil || p.member.Incarnation < m.Incarnation {
		p = s.newPeer(m)
		p.heard = now
	}
	if p.member.Same(m) {
		p.member = m
		p.opened = p.opened && p.view == s.view.ID
		if p.view != s.view.ID {
			p.listSeq = 0
		}
		s.requestStatus(now, m)
	}
}
