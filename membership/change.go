package membership

import (
	"slices"
	"time"

	pb "github.com/burdockward/burdockward/membership/membershippb"
)

// maxPromises bounds the promises that are remembered.
const maxPromises = 16

// proposal is a view change that this process leads.
type proposal struct {
	view     View
	promises map[string]*pb.Promise
	sentAt   time.Duration
}

// participants returns the processes whose promise is needed.
func (c *proposal) participants() []Member { return c.view.sources() }

func (c *proposal) isComplete() bool {
	return len(c.promises) == len(c.participants())
}

// tickChange continues the proposal of this process, or proposes a view when one is
// needed and this process is the proposer.
func (s *State) tickChange(now time.Duration) {
	s.leaveIfAlone()
	if s.left || s.view.ID.IsZero() || !s.isMember() {
		return
	}
	if s.proposal != nil {
		// Others have promised the proposal, so it continues also when this process
		// leaves.
		s.tickProposal(now)
		return
	}
	if s.leaving || s.isBehind(now) || !s.needsChange(now) {
		return
	}
	if leader := s.proposer(); !leader.Same(s.cfg.Self) {
		s.probe(now, leader)
		return
	}
	s.propose(now)
}

// proposer returns the member that proposes the next view: the one with the lowest id
// that is present and not leaving.
func (s *State) proposer() Member {
	for _, m := range s.view.Members {
		if m.Same(s.cfg.Self) || s.isStaying(m) {
			return m
		}
	}
	return s.cfg.Self
}

// probe asks a member for its status without waiting for the next heartbeat, so that a
// change or planned stop is not delayed when that member is lost.
func (s *State) probe(now time.Duration, m Member) {
	if p := s.peers[m.ID]; !p.awaitsAnswer && now-p.askedAt >= s.cfg.ProbeInterval {
		s.requestStatus(now, m)
	}
}

// isGone reports whether a process of the view is suspected, was restarted or went to
// another view.
func (s *State) isGone(m Member) bool {
	p := s.peers[m.ID]
	return p != nil && (s.IsLost(m) || s.isElsewhere(p))
}

// IsLost reports whether a process of the view is suspected or was restarted.
func (s *State) IsLost(m Member) bool {
	p := s.peers[m.ID]
	return p != nil && (p.suspected || p.member.Incarnation > m.Incarnation)
}

// isElsewhere reports whether a process of the view went to another view, from which it
// can't come to the installed one.
func (s *State) isElsewhere(p *peer) bool {
	if p.view == s.view.ID {
		return false
	}
	return p.view.Number >= s.view.ID.Number || p.refusedView == s.view.ID
}

// needsChange reports whether a new view is needed: a process is gone, a change is stuck
// or must be repeated, or in a settled view a member leaves or a candidate waits.
func (s *State) needsChange(now time.Duration) bool {
	if s.mustChange || slices.ContainsFunc(s.watched(), s.isGone) || s.isStuck(now) {
		return true
	}
	if !s.settled {
		return false
	}
	isLeaving := func(m Member) bool { return s.peers[m.ID] != nil && s.peers[m.ID].leaving }
	return slices.ContainsFunc(s.others(), isLeaving) || len(s.candidates(now)) > 0
}

// isStuck reports whether a member has promised a view that has not been installed
// within joinTimeout, because its proposer is gone.
func (s *State) isStuck(now time.Duration) bool {
	if len(s.promises) > 0 {
		return now-s.promisedAt > joinTimeout
	}
	return slices.ContainsFunc(s.others(), func(m Member) bool {
		p := s.peers[m.ID]
		return p != nil && p.view == s.view.ID && p.promised && now-s.installedAt > joinTimeout
	})
}

// propose starts a view change without the processes that are gone. Candidates join in a
// settled view only.
func (s *State) propose(now time.Duration) {
	members := []Member{s.cfg.Self}
	var leavers []Member
	for _, m := range s.others() {
		p := s.peers[m.ID]
		switch {
		case s.isGone(m):
		case p != nil && p.leaving:
			leavers = append(leavers, m)
		default:
			members = append(members, m)
		}
	}
	if s.settled {
		members = append(members, s.candidates(now)...)
	}
	sortMembers(members)
	s.proposal = &proposal{
		view: View{
			ID:      ViewID{Number: s.view.ID.Number + 1, Nonce: s.cfg.Nonce()},
			Parent:  s.view.ID,
			Members: members,
			Leavers: leavers,
		},
		promises: map[string]*pb.Promise{},
	}
	own := s.makePromise(now, s.proposal.view.ID)
	s.proposal.promises[s.cfg.Self.ID] = own
	s.sendProposal(now)
	s.installIfPromised(now)
}

// sendProposal sends the proposal to the participants that have not promised it.
func (s *State) sendProposal(now time.Duration) {
	c := s.proposal
	c.sentAt = now
	m := &pb.Message{Kind: &pb.Message_Propose{Propose: &pb.Propose{
		View:     c.view.ID.proto(),
		Parent:   c.view.Parent.proto(),
		Proposer: s.cfg.Self.proto(),
		Members:  membersProto(c.view.Members),
		Leavers:  membersProto(c.view.Leavers),
	}}}
	for _, to := range s.withoutSelf(c.participants()) {
		if c.promises[to.ID] != nil {
			continue
		}
		s.countProbe(now, to)
		s.send(to, m)
	}
}

// countProbe counts an unanswered proposal as a probe.
func (s *State) countProbe(now time.Duration, to Member) {
	p := s.peers[to.ID]
	if p == nil {
		p = s.newPeer(to)
		p.heard = now
	}
	if p.awaitsAnswer {
		p.probes++
	}
	p.awaitsAnswer = true
	p.askedAt = now
}

// tickProposal repeats the proposal. It gives the proposal up when a participant is gone
// or this process is behind; the next one is made without those that are gone.
func (s *State) tickProposal(now time.Duration) {
	c := s.proposal
	if now-c.sentAt < s.cfg.ProbeInterval {
		return
	}
	for _, m := range s.withoutSelf(c.participants()) {
		if c.promises[m.ID] != nil {
			continue
		}
		p := s.peers[m.ID]
		if p.awaitsAnswer && p.probes >= s.cfg.Probes {
			p.suspected = true
		}
		if s.isGone(m) || s.isBehind(now) {
			s.proposal = nil
			s.mustChange = true
			return
		}
	}
	s.sendProposal(now)
}

// makePromise records that this process leaves the installed view for another one, and
// returns the message that says so.
func (s *State) makePromise(now time.Duration, view ViewID) *pb.Promise {
	p := promise{view: view, installed: s.view.ID}
	if !slices.Contains(s.promises, p) {
		s.promises = append(s.promises, p)
		s.promises = s.promises[max(0, len(s.promises)-maxPromises):]
	}
	s.promisedAt = now
	return &pb.Promise{
		View:      view.proto(),
		Installed: s.view.ID.proto(),
		Settled:   s.settled,
	}
}

// handlePropose promises the proposed view if this process can, and gives up its own
// proposal. Else it answers with its status.
func (s *State) handlePropose(now time.Duration, p *peer, m *pb.Propose) {
	if proposer := memberFrom(m.GetProposer()); proposer.Same(p.member) {
		p.member = proposer
	}
	if !s.canPromise(p, m) {
		s.sendStatus(now, p.member, p, false)
		return
	}
	s.proposal = nil
	answer := s.makePromise(now, viewIDFrom(m.GetView()))
	if viewIDFrom(m.GetParent()) != s.view.ID {
		answer.Epochs = s.list.proto()
	}
	s.send(p.member, &pb.Message{Kind: &pb.Message_Promise{Promise: answer}})
}

// canPromise reports whether this process promises a proposal. The proposed view must
// include this process and be a child of the installed view or have a higher number.
func (s *State) canPromise(p *peer, m *pb.Propose) bool {
	id := viewIDFrom(m.GetView())
	participants := append(membersFrom(m.GetMembers()), membersFrom(m.GetLeavers())...)
	if !contains(participants, s.cfg.Self) || id == s.view.ID {
		return false
	}
	isChild := viewIDFrom(m.GetParent()) == s.view.ID
	if !isChild && id.Number <= s.view.ID.Number {
		return false
	}
	// Of two proposers in one view the one with the lower id continues.
	rival := s.proposal != nil && isChild && s.cfg.Self.ID < p.member.ID
	return !rival
}

// handlePromise records a participant's promise of the proposed view.
func (s *State) handlePromise(now time.Duration, p *peer, m *pb.Promise) {
	c := s.proposal
	if c == nil || viewIDFrom(m.GetView()) != c.view.ID || !contains(c.participants(), p.member) {
		return
	}
	c.promises[p.member.ID] = m
	s.installIfPromised(now)
}

// installIfPromised installs the proposed view when every participant has promised it.
func (s *State) installIfPromised(now time.Duration) {
	c := s.proposal
	if !c.isComplete() {
		return
	}
	view := c.view
	view.Survivors = s.survivors(c)
	view.Leavers = slices.DeleteFunc(slices.Clone(view.Leavers), func(m Member) bool {
		return !view.Survived(m.ID)
	})
	for _, id := range view.Survivors {
		view.ParentSettled = view.ParentSettled || c.promises[id].GetSettled()
	}
	s.fence(&view)
	list := s.nextEpochList(c, &view)
	s.installView(now, view, list)
	for _, m := range s.withoutSelf(view.sources()) {
		s.sendInstall(m)
	}
}

// survivors returns the ids of the participants that had the parent installed.
func (s *State) survivors(c *proposal) []string {
	var ids []string
	for _, m := range c.participants() {
		if viewIDFrom(c.promises[m.ID].GetInstalled()) == s.view.ID && contains(s.view.Members, m) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// fence decides whether the new view may treat a key of an earlier epoch as new when it
// has no record of it. If not, the view is fenced: the earlier epochs are closed.
//
// Two processes have a record of every grant: two processes of the view in which it was
// made, or two members of the last settled view if it is older. So the records are
// complete as long as at most one such process is lost. Two unfenced children of one
// view share a survivor, which installs only one of them. The other child never opens,
// and the survivor counts as lost there.
func (s *State) fence(view *View) {
	survived := func(m Member) bool { return view.Survived(m.ID) }
	var lost []Member
	before := s.view.Members
	if !view.ParentSettled {
		lost = slices.Clone(s.view.Lost)
		before = s.view.sources()
	}
	for _, m := range before {
		if !survived(m) && !contains(lost, m) {
			lost = append(lost, m)
		}
	}
	fewSurvivors := len(view.Survivors) < 2 && len(view.Survivors) < len(s.view.Members)
	if len(lost) > 1 || fewSurvivors {
		// Keys of earlier epochs can't be granted any more, so no missing record matters
		// and Lost stays empty.
		view.Fenced = true
		return
	}
	sortMembers(lost)
	view.Lost = lost
}

// nextEpochList returns the epoch list of the new view: the proposer's epochs, closed when
// the view is fenced, the epochs of processes that join from other views, closed, and a
// new epoch. Another survivor may have a newer list. It is not committed, because the
// proposer doesn't use it: no caller has keys of its new epoch, and no process has
// dropped the keys of the epoch that it leaves out.
func (s *State) nextEpochList(c *proposal, view *View) EpochList {
	list := s.list.clone()
	if view.Fenced {
		for i := range list.Epochs {
			list.Epochs[i].Open = false
		}
	}
	for _, m := range view.Members {
		if !view.Survived(m.ID) {
			list.addClosed(epochListFrom(c.promises[m.ID].GetEpochs()))
		}
	}
	list.Sequence++
	list.Epochs = append(list.Epochs, s.newEpoch(list.newest(), false))
	list.Epochs = list.Epochs[max(0, len(list.Epochs)-maxEpochs):]
	return list
}

// addClosed adds the epochs of another list as closed ones.
func (l *EpochList) addClosed(other EpochList) {
	for _, e := range other.Epochs {
		if l.has(e) {
			continue
		}
		e.Open = false
		l.Epochs = append(l.Epochs, e)
	}
	slices.SortStableFunc(l.Epochs, func(a, b Epoch) int {
		if a.Number != b.Number {
			return compare(a.Number, b.Number)
		}
		return compare(a.Nonce, b.Nonce)
	})
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
