package membership

import (
	"slices"
	"time"

	pb "github.com/burdockward/burdockward/membership/membershippb"
)

// peer is the state of the newest known process on another VM.
type peer struct {
	member Member
	// heard is when its last message arrived.
	heard time.Duration

	// Contents of its last status.
	view      ViewID
	size      uint32
	promised  bool
	opened    bool
	leaving   bool
	listSeq   uint64
	retire    uint64
	refuses   ViewID
	hasStatus bool
	// installResentAt is when the view was last sent to the peer again.
	installedAt time.Duration

	// Unanswered messages.
	waiting   bool
	probes    int
	askedAt   time.Duration
	suspected bool

	// timestamp is the newest timestamp of the peer. echoedSentAt is the newest sending
	// time of this process that the peer has echoed as a member of the same view.
	stamp    uint64
	acked    time.Duration
	hasAcked bool

	// sentDigests is the newest digest version of this process that the peer has.
	digestSeen uint64
	// receivedDigests is the newest digest version of the peer that this process has.
	digestHave uint64
}

// markHeard records that a process sent a message. It returns nil for a process that a
// newer one has replaced.
func (s *State) hear(now time.Duration, from Member) *peer {
	p := s.peers[from.ID]
	if p != nil && from.Incarnation < p.member.Incarnation {
		return nil
	}
	if p == nil || from.Incarnation > p.member.Incarnation {
		p = s.newPeer(from)
	}
	p.heard = now
	p.waiting = false
	p.probes = 0
	p.suspected = false
	return p
}

// newPeer adds or replaces the peer of a VM. The view may supply its address.
func (s *State) newPeer(m Member) *peer {
	if m.Address == "" {
		if known, ok := find(s.view.sources(), m.ID); ok && known.Same(m) {
			m = known
		}
	}
	p := &peer{member: m}
	s.peers[m.ID] = p
	return p
}

// Suspect probes a VM at once, because another duty gets no answer from it.
func (s *State) Suspect(now time.Duration, id string) {
	m, ok := s.view.Member(id)
	p := s.peers[id]
	if !ok || id == s.cfg.Self.ID || p == nil || p.waiting {
		return
	}
	s.ask(now, m)
}

// tickPeers sends heartbeats and probes to members, and to leavers until the view is
// settled.
func (s *State) tickPeers(now time.Duration) {
	for _, m := range s.watched() {
		p := s.peers[m.ID]
		if p == nil {
			p = s.newPeer(m)
			p.heard = now
		}
		if p.member.Incarnation > m.Incarnation {
			continue
		}
		s.tickPeer(now, m, p)
	}
}

// tickPeer sends a heartbeat that is due, or repeats an unanswered message as a probe. A
// process is suspected after Probes unanswered probes, or after one if the platform lists
// it as leaving or gone.
func (s *State) tickPeer(now time.Duration, m Member, p *peer) {
	switch {
	case p.waiting && now-p.askedAt < s.cfg.ProbeInterval:
	case p.waiting && (p.probes >= s.cfg.Probes || p.probes > 0 && s.isListedGone(m.ID)):
		p.suspected = true
		// A suspected member is still asked once per heartbeat interval, because it may
		// come back.
		if now-p.askedAt >= s.cfg.Interval {
			s.ask(now, m)
		}
	case p.waiting:
		p.probes++
		s.ask(now, m)
	case s.heartbeatDue(now, m, p):
		s.ask(now, m)
	}
}

// isHeartbeatDue reports whether to send a heartbeat to a member. Of two members the one
// with the lower id sends heartbeats, and the other one only when it hears nothing. A
// leaver waits for all members and asks often, because the message that it leaves may be
// lost too.
func (s *State) heartbeatDue(now time.Duration, m Member, p *peer) bool {
	if s.leaving {
		return now-p.askedAt >= s.cfg.ProbeInterval
	}
	if s.cfg.Self.ID < m.ID {
		return now-p.askedAt >= s.cfg.Interval
	}
	return now-max(p.heard, p.askedAt) >= s.cfg.Interval+2*s.cfg.ProbeInterval
}

// watched returns the processes whose loss causes a view change: the members and, until
// the view is settled, the leavers.
func (s *State) watched() []Member {
	if s.settled {
		return s.others()
	}
	return s.without(s.view.sources())
}

// requestStatus sends a status and asks for one in return.
func (s *State) ask(now time.Duration, m Member) {
	p := s.peers[m.ID]
	if p == nil {
		p = s.newPeer(m)
		p.heard = now
	}
	p.waiting = true
	p.askedAt = now
	s.sendStatus(now, m, p, true)
}

// sendUpdate sends a status that needs no answer.
func (s *State) tell(now time.Duration, m Member) {
	if m.ID == s.cfg.Self.ID || m.ID == "" {
		return
	}
	p := s.peers[m.ID]
	if p == nil {
		p = s.newPeer(m)
		p.heard = now
	}
	s.sendStatus(now, m, p, false)
}

func (s *State) sendStatus(now time.Duration, to Member, p *peer, ask bool) {
	st := s.statusFor(now, p)
	st.Ask = ask
	s.send(to, &pb.Message{Kind: &pb.Message_Status{Status: st}})
}

// statusFor returns the status for a peer, or for an unknown process when p is nil.
func (s *State) statusFor(now time.Duration, p *peer) *pb.Status {
	st := s.status(now)
	if p != nil {
		st.Echo = p.stamp
		st.DigestSeen = p.digestHave
		s.addDigests(st, p)
	}
	if p == nil || p.view != s.view.ID || s.view.ID.IsZero() {
		st.Sender = s.cfg.Self.proto()
		st.Size = uint32(len(s.view.Members))
		if !s.view.ID.IsZero() {
			st.Coordinator = s.view.Coordinator().proto()
		}
	}
	return st
}

// status returns the parts of the status that are the same for all receivers.
func (s *State) status(now time.Duration) *pb.Status {
	return &pb.Status{
		View:              s.view.ID.proto(),
		Promised:          len(s.promises) > 0,
		Opened:            s.opened,
		Settled:           s.settled,
		Leaving:           s.leaving,
		ListSequence:      s.list.Sequence,
		CommittedSequence: s.committed,
		Retire:            s.retire,
		// Timestamps start at 1, because 0 means that there is none.
		Stamp: uint64(now.Milliseconds()) + 1,
	}
}

// addDigests adds the digests that a peer has not acknowledged yet.
func (s *State) addDigests(st *pb.Status, p *peer) {
	if p.digestSeen == s.digestVersion {
		return
	}
	st.DigestVersion = s.digestVersion
	for _, duty := range s.dutiesWithDigest() {
		if d := s.digests[duty]; d.version > p.digestSeen {
			st.Digests = append(st.Digests, &pb.Digest{Duty: duty, Body: d.body})
		}
	}
}

func (s *State) dutiesWithDigest() []int32 {
	duties := make([]int32, 0, len(s.digests))
	for duty := range s.digests {
		duties = append(duties, duty)
	}
	slices.Sort(duties)
	return duties
}

// handleStatus records a peer's status, acts on its view and answers it if asked.
func (s *State) handleStatus(now time.Duration, p *peer, st *pb.Status) {
	s.noteSender(p, st)
	s.noteStatus(p, st)
	s.noteDigests(p, st)
	s.noteEcho(now, p, st)
	s.noteView(now, p, st)
	if st.GetAsk() {
		s.sendStatus(now, p.member, p, false)
	}
}

// recordSender records the peer's address, and the address of another view's coordinator
// as a contact.
func (s *State) noteSender(p *peer, st *pb.Status) {
	if sender := member(st.GetSender()); sender.Same(p.member) {
		p.member = sender
	}
	if c := member(st.GetCoordinator()); c.Address != "" && viewID(st.GetView()) != s.view.ID {
		s.addContact(c.Address, learnedContacts)
	}
}

// recordStatus records the contents of a status, unless it is older than the last one.
func (s *State) noteStatus(p *peer, st *pb.Status) {
	id := viewID(st.GetView())
	if id.Number < p.view.Number {
		// Messages may overtake each other, but view numbers only increase.
		return
	}
	p.view = id
	p.size = st.GetSize()
	p.promised = st.GetPromised()
	p.opened = st.GetOpened()
	p.leaving = p.leaving || st.GetLeaving()
	p.listSeq = max(st.GetListSequence(), p.listSeq)
	if p.view != s.view.ID {
		p.listSeq = 0
	}
	p.retire = st.GetRetire()
	if refused := viewID(st.GetRefuses()); !refused.IsZero() {
		p.refuses = refused
	}
	p.hasStatus = true
}

// recordDigests records which digests the peer has, and takes its newer digests.
func (s *State) noteDigests(p *peer, st *pb.Status) {
	p.digestSeen = max(p.digestSeen, min(st.GetDigestSeen(), s.digestVersion))
	if st.GetDigestVersion() <= p.digestHave {
		return
	}
	p.digestHave = st.GetDigestVersion()
	for _, d := range st.GetDigests() {
		s.changes = append(s.changes, DigestChange{Member: p.member, Duty: d.GetDuty(), Body: d.GetBody()})
	}
}

// recordEcho records the newest sending time that a peer has echoed in the same view.
func (s *State) noteEcho(now time.Duration, p *peer, st *pb.Status) {
	p.stamp = max(p.stamp, st.GetStamp())
	if st.GetEcho() == 0 || viewID(st.GetView()) != s.view.ID {
		return
	}
	sent := time.Duration(st.GetEcho()-1) * time.Millisecond
	if sent <= now && (!p.hasAcked || sent > p.acked) {
		p.acked = sent
		p.hasAcked = true
	}
}

// handlePeerView compares the view of a peer with the installed one. It resends the
// installed view to a source that lacks it, and records that this process is behind.
func (s *State) noteView(now time.Duration, p *peer, st *pb.Status) {
	id := viewID(st.GetView())
	if s.view.ID.IsZero() && id.IsZero() {
		return
	}
	if id == s.view.ID {
		s.noteSameView(now, p, st)
		return
	}
	if contains(s.view.sources(), p.member) && id.Number < s.view.ID.Number {
		s.repeatInstall(now, p)
		return
	}
	if s.isBelow(id, st.GetSize()) {
		s.behind = true
		s.behindAt = now
	}
}

// yieldsTo reports whether the members of the installed view wait to be admitted to
// another view. The view with the higher number wins, then the larger one, then the one
// with the higher nonce.
func (s *State) isBelow(id ViewID, size uint32) bool {
	own := s.view.ID
	if id.Number != own.Number {
		return id.Number > own.Number
	}
	if int(size) != len(s.view.Members) {
		return int(size) > len(s.view.Members)
	}
	return id.Nonce > own.Nonce
}
