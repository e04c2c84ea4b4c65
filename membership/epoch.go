package membership

import (
	"slices"
	"time"

	pb "github.com/burdockward/burdockward/membership/membershippb"
)

// handleSameView handles the status of a process with the same view. The coordinator
// notifies members that don't know yet that the view is settled or the list committed;
// the others learn it from the coordinator.
func (s *State) handleSameView(now time.Duration, p *peer, st *pb.Status) {
	if s.isCoordinator() {
		s.tickCommit(now)
		if s.settled && !st.GetAsk() && (!st.GetSettled() || st.GetCommittedSequence() < s.committedSequence) {
			s.sendUpdate(now, p.member)
		}
		return
	}
	if !p.member.Same(s.view.Coordinator()) {
		return
	}
	if st.GetSettled() {
		s.settled = true
	}
	if st.GetCommittedSequence() == s.list.Sequence {
		s.commitList()
	}
}

// tickCommit commits the coordinator's list once every member uses it and has opened the
// view. The view is settled from then on.
func (s *State) tickCommit(now time.Duration) {
	if !s.opened || s.settled && s.committedSequence == s.list.Sequence {
		return
	}
	s.repeatUpdates(now)
	if !s.isCoordinator() {
		return
	}
	for _, m := range s.others() {
		p := s.peers[m.ID]
		if p == nil || !p.member.Same(m) || p.view != s.view.ID || !p.opened || p.listSeq < s.list.Sequence {
			return
		}
	}
	s.settled = true
	s.commitList()
	for _, m := range s.others() {
		s.sendUpdate(now, m)
	}
}

// repeatUpdates repeats messages that may have been lost: a member's status to the
// coordinator, and the coordinator's list to members that don't use it yet.
func (s *State) repeatUpdates(now time.Duration) {
	if now-s.repeatedAt < s.cfg.ProbeInterval {
		return
	}
	s.repeatedAt = now
	if !s.isCoordinator() {
		s.sendUpdate(now, s.view.Coordinator())
		return
	}
	for _, m := range s.others() {
		p := s.peers[m.ID]
		if p != nil && p.view == s.view.ID && p.listSeq < s.list.Sequence {
			s.sendEpochs(m)
		}
	}
}

// commitList records that every member uses the list. Its newest open epoch may now be
// given to callers.
func (s *State) commitList() {
	s.committedSequence = s.list.Sequence
	for _, e := range s.list.Epochs {
		if e.Open {
			s.currentToken = e.Token()
		}
	}
}

// tickEpochs adds a timed epoch, and drops old ones, when one is due or a member asks for
// early retirement. The coordinator alone does so, while its last list is committed.
func (s *State) tickEpochs(now time.Duration) {
	if !s.isCoordinator() || !s.settled || s.committedSequence != s.list.Sequence || len(s.promises) > 0 {
		return
	}
	retire := s.isRetireRequested()
	if now-s.timedAt < s.cfg.EpochLength && !retire {
		return
	}
	list := s.list.clone()
	list.Sequence++
	list.Epochs = append(list.Epochs, s.newEpoch(list.newest(), true))
	list.Epochs = s.retained(list.Epochs)
	if retire && len(list.Epochs) > 1 {
		list.Epochs = list.Epochs[1:]
	}
	s.useList(now, list)
	s.repeatedAt = now
	for _, m := range s.others() {
		s.sendEpochs(m)
	}
	s.tickCommit(now)
}

// isRetireRequested reports whether a member asks to drop the oldest epoch.
func (s *State) isRetireRequested() bool {
	oldest := s.list.Epochs[0].Number
	if s.retireEpoch == oldest {
		return true
	}
	return slices.ContainsFunc(s.others(), func(m Member) bool {
		p := s.peers[m.ID]
		return p != nil && p.view == s.view.ID && p.retire == oldest
	})
}

// retained returns the epochs that are not older than the retained timed ones. An epoch
// that a view change created is dropped with the timed epoch before it.
func (s *State) retained(epochs []Epoch) []Epoch {
	timed := 0
	for i, e := range slices.Backward(epochs) {
		if !e.Timed {
			continue
		}
		timed++
		if timed == s.cfg.RetainedEpochs {
			epochs = epochs[i:]
			break
		}
	}
	return epochs[max(0, len(epochs)-maxEpochs):]
}

// newEpoch returns an open epoch with a higher number than newest.
func (s *State) newEpoch(newest uint64, timed bool) Epoch {
	return Epoch{Number: max(newest+1, s.cfg.EpochBase), Nonce: s.cfg.Nonce(), Open: true, Timed: timed}
}

// useList puts an epoch list in use. CurrentEpoch is empty until the next commit if its
// epoch is closed or dropped.
func (s *State) useList(now time.Duration, list EpochList) {
	if list.newestTimed() != s.list.newestTimed() {
		s.timedAt = now
	}
	s.list = list
	if e, ok := list.Find(s.currentToken); !ok || !e.Open {
		s.currentToken = ""
	}
}

func (s *State) sendEpochs(to Member) {
	s.send(to, &pb.Message{Kind: &pb.Message_Epochs{Epochs: &pb.Epochs{
		View:   s.view.ID.proto(),
		Epochs: s.list.proto(),
	}}})
}

// handleEpochs uses a newer list of the coordinator and confirms it.
func (s *State) handleEpochs(now time.Duration, p *peer, m *pb.Epochs) {
	list := epochListFrom(m.GetEpochs())
	if viewIDFrom(m.GetView()) != s.view.ID || !p.member.Same(s.view.Coordinator()) {
		return
	}
	if len(s.promises) > 0 {
		// A committed list must be one that every proposer uses. So a process that has
		// promised a view takes no newer list, as it may be a proposer.
		return
	}
	if list.Sequence > s.list.Sequence {
		s.useList(now, list)
	}
	s.sendUpdate(now, p.member)
}
