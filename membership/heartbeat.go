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
	view        ViewID
	viewSize    uint32
	promised    bool
	opened      bool
	leaving     bool
	listSeq     uint64
	retire      uint64
	refusedView ViewID
	hasStatus   bool
	// installResentAt is when the view was last sent to the peer again.
	installResentAt time.Duration

	// Unanswered messages.
	awaitsAnswer bool
	probes       int
	askedAt      time.Duration
	suspected    bool

	// timestamp is the newest timestamp of the peer. echoedSentAt is the newest sending
	// time of this process that the peer has echoed as a member of the same view.
	timestamp    uint64
	echoedSentAt time.Duration
	hasEcho      bool

	// sentDigests is the newest digest version of this process that the peer has.
	sentDigests uint64
	// receivedDigests is the newest digest version of the peer that this process has.
	receivedDigests uint64
}

// markHeard records that a process sent a message. It returns nil for a process that a
// newer one has replaced.
func (s *State) markHeard(now time.Duration, from Member) *peer {
	p := s.peers[from.ID]
	if p != nil && from.Incarnation < p.member.Incarnation {
		return nil
	}
	if p == nil || from.Incarnation > p.member.Incarnation {
		p = s.newPeer(from)
	}
	p.heard = now
	p.awaitsAnswer = false
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
	if !ok || id == s.cfg.Self.ID || p == nil || p.awaitsAnswer {
		return
	}
	s.requestStatus(now, m)
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
	case p.awaitsAnswer && now-p.askedAt < s.cfg.ProbeInterval:
	case p.awaitsAnswer && (p.probes >= s.cfg.Probes || p.probes > 0 && s.isListedGone(m.ID)):
		p.suspected = true
		// A suspected member is still asked once per heartbeat interval, because it may
		// come back.
		if now-p.askedAt >= s.cfg.HeartbeatInterval {
			s.requestStatus(now, m)
		}
	case p.awaitsAnswer:
		p.probes++
		s.requestStatus(now, m)
	case s.isHeartbeatDue(now, m, p):
		s.requestStatus(now, m)
	}
}

// isHeartbeatDue reports whether to send a heartbeat to a member. Of two members the one
// with the lower id sends heartbeats, and the other one only when it hears nothing. A
// leaver waits for all members and asks often, because the message that it leaves may be
// lost too.
func (s *State) isHeartbeatDue(now time.Duration, m Member, p *peer) bool {
	if s.leaving {
		return now-p.askedAt >= s.cfg.ProbeInterval
	}
	if s.cfg.Self.ID < m.ID {
		return now-p.askedAt >= s.cfg.HeartbeatInterval
	}
	return now-max(p.heard, p.askedAt) >= s.cfg.HeartbeatInterval+2*s.cfg.ProbeInterval
}

// watched returns the processes whose loss causes a view change: the members and, until
// the view is settled, the leavers.
func (s *State) watched() []Member {
	if s.settled {
		return s.others()
	}
	return s.withoutSelf(s.view.sources())
}

// requestStatus sends a status and asks for one in return.
func (s *State) requestStatus(now time.Duration, m Member) {
	p := s.peers[m.ID]
	if p == nil {
		p = s.newPeer(m)
		p.heard = now
	}
	p.awaitsAnswer = true
	p.askedAt = now
	s.sendStatus(now, m, p, true)
}

// sendUpdate sends a status that needs no answer.
func (s *State) sendUpdate(now time.Duration, m Member) {
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
		st.Echo = p.timestamp
		st.DigestSeen = p.receivedDigests
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
		CommittedSequence: s.committedSequence,
		Retire:            s.retireEpoch,
		// Timestamps start at 1, because 0 means that there is none.
		Stamp: uint64(now.Milliseconds()) + 1,
	}
}

// addDigests adds the digests that a peer has not acknowledged yet.
func (s *State) addDigests(st *pb.Status, p *peer) {
	if p.sentDigests == s.digestVersion {
		return
	}
	st.DigestVersion = s.digestVersion
	for _, duty := range s.dutiesWithDigest() {
		if d := s.digests[duty]; d.version > p.sentDigests {
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
	s.recordSender(p, st)
	s.recordStatus(p, st)
	s.recordDigests(p, st)
	s.recordEcho(now, p, st)
	s.handlePeerView(now, p, st)
	if st.GetAsk() {
		s.sendStatus(now, p.member, p, false)
	}
}

// recordSender records the peer's address, and the address of another view's coordinator
// as a contact.
func (s *State) recordSender(p *peer, st *pb.Status) {
	if sender := memberFrom(st.GetSender()); sender.Same(p.member) {
		p.member = sender
	}
	if c := memberFrom(st.GetCoordinator()); c.Address != "" && viewIDFrom(st.GetView()) != s.view.ID {
		s.addContact(c.Address, learnedContactLifetime)
	}
}

// recordStatus records the contents of a status, unless it is older than the last one.
func (s *State) recordStatus(p *peer, st *pb.Status) {
	id := viewIDFrom(st.GetView())
	if id.Number < p.view.Number {
		// Messages may overtake each other, but view numbers only increase.
		return
	}
	p.view = id
	p.viewSize = st.GetSize()
	p.promised = st.GetPromised()
	p.opened = st.GetOpened()
	p.leaving = p.leaving || st.GetLeaving()
	p.listSeq = max(st.GetListSequence(), p.listSeq)
	if p.view != s.view.ID {
		p.listSeq = 0
	}
	p.retire = st.GetRetire()
	if refused := viewIDFrom(st.GetRefuses()); !refused.IsZero() {
		p.refusedView = refused
	}
	p.hasStatus = true
}

// recordDigests records which digests the peer has, and takes its newer digests.
func (s *State) recordDigests(p *peer, st *pb.Status) {
	p.sentDigests = max(p.sentDigests, min(st.GetDigestSeen(), s.digestVersion))
	if st.GetDigestVersion() <= p.receivedDigests {
		return
	}
	p.receivedDigests = st.GetDigestVersion()
	for _, d := range st.GetDigests() {
		s.digestChanges = append(s.digestChanges, DigestChange{Member: p.member, Duty: d.GetDuty(), Body: d.GetBody()})
	}
}

// recordEcho records the newest sending time that a peer has echoed in the same view.
func (s *State) recordEcho(now time.Duration, p *peer, st *pb.Status) {
	p.timestamp = max(p.timestamp, st.GetStamp())
	if st.GetEcho() == 0 || viewIDFrom(st.GetView()) != s.view.ID {
		return
	}
	sent := time.Duration(st.GetEcho()-1) * time.Millisecond
	if sent <= now && (!p.hasEcho || sent > p.echoedSentAt) {
		p.echoedSentAt = sent
		p.hasEcho = true
	}
}

// handlePeerView compares the view of a peer with the installed one. It resends the
// installed view to a source that lacks it, and records that this process is behind.
func (s *State) handlePeerView(now time.Duration, p *peer, st *pb.Status) {
	id := viewIDFrom(st.GetView())
	if s.view.ID.IsZero() && id.IsZero() {
		return
	}
	if id == s.view.ID {
		s.handleSameView(now, p, st)
		return
	}
	if contains(s.view.sources(), p.member) && id.Number < s.view.ID.Number {
		s.repeatInstall(now, p)
		return
	}
	if s.yieldsTo(id, st.GetSize()) {
		s.behind = true
		s.behindAt = now
	}
}

// yieldsTo reports whether the members of the installed view wait to be admitted to
// another view. The view with the higher number wins, then the larger one, then the one
// with the higher nonce.
func (s *State) yieldsTo(id ViewID, size uint32) bool {
	own := s.view.ID
	if id.Number != own.Number {
		return id.Number > own.Number
	}
	if int(size) != len(s.view.Members) {
		return int(size) > len(s.view.Members)
	}
	return id.Nonce > own.Nonce
}
