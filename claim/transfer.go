package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/claim/claimpb"
	"github.com/burdockward/burdockward/membership"
)

// chunkRecords is the largest number of records in one transfer message.
const chunkRecords = 4096

// outgoingTransfer holds the records that one receiver needs.
type outgoingTransfer struct {
	to    membership.Member
	moves []move
	// index is the chunk that the receiver has to acknowledge next.
	index   uint32
	sent    bool
	sentAt  time.Duration
	allDone bool
}

// incomingTransfer counts the chunks of one sender.
type incomingTransfer struct {
	// next is the index of the chunk that is stored next.
	next    uint32
	allDone bool
}

// move is a record in a transfer.
type move struct {
	token string
	hash  Hash
	rec   record
}

// installView plans the transfers for the view that membership has just installed, and
// asks again for all pending keys.
func (s *State) installView(now time.Duration) {
	view := s.m.View()
	before := s.ranking
	hadView := before != nil
	s.view = view.ID
	s.ranking = newRanking(view)
	s.purgedSequence = 0
	s.purgedMovedRecords = false
	s.opened = false
	if !s.m.CameFromParent() {
		s.forgetOnJoin(hadView)
		before = nil
	}
	if !view.ParentSettled {
		before = nil
	}
	s.planTransfers(view, before)
	s.tickTransfers(now)
	s.openIfComplete(now)
	s.resendPending(now)
}

// forgetOnJoin drops records of open epochs when this process did not come to the view
// from its parent. The survivors of the parent have the valid records, and a grant that
// was never accepted may be void. Accepted grants stay. So do keys whose home is this
// process: no other process grants them or needs a record of them.
//
// This process may have dropped its records of an epoch that it did not list any more.
// So it claims no keys of that epoch.
func (s *State) forgetOnJoin(hadView bool) {
	if !hadView {
		return
	}
	blocked := map[string]bool{}
	epochs := s.m.Epochs().Epochs
	for _, e := range epochs {
		token := e.Token()
		if !e.Open {
			continue
		}
		s.forgetUnaccepted(token)
		blocked[token] = s.blocked[token] || !s.listed[token]
	}
	// The newest epoch was created for this view, so no records of it have been dropped.
	delete(blocked, epochs[len(epochs)-1].Token())
	s.blocked = blocked
}

// forgetUnaccepted drops an epoch's records of grants that no call here accepted and
// whose home is another process.
func (s *State) forgetUnaccepted(token string) {
	own := homeTag(s.m.Self())
	for h, rec := range s.records.epochs[token] {
		if !rec.handedOut && s.records.home(rec) != own {
			s.records.remove(token, h)
		}
	}
}

// planTransfers lists for each member the records that it must hold and may lack. It
// expects a transfer from every other member and leaver.
func (s *State) planTransfers(view *membership.View, before *ranking) {
	s.outgoing = map[string]*outgoingTransfer{}
	s.incoming = map[string]*incomingTransfer{}
	self := s.m.Self()
	for _, m := range view.Members {
		if m.ID != self.ID {
			s.outgoing[m.ID] = &outgoingTransfer{to: m}
		}
	}
	for _, m := range slices.Concat(view.Members, view.Leavers) {
		if m.ID != self.ID {
			s.incoming[m.ID] = &incomingTransfer{}
		}
	}
	for _, token := range slices.Sorted(maps.Keys(s.records.epochs)) {
		if _, ok := s.m.Epochs().Find(token); !ok {
			continue
		}
		for h, rec := range s.records.epochs[token] {
			s.planMove(view, before, move{token: token, hash: h, rec: rec})
		}
	}
	for _, o := range s.outgoing {
		sortMoves(o.moves)
	}
}

// planMove adds a record to the transfers of its new holders. Before is the ranking of
// a settled parent view, else nil. With a settled parent the record's former holders
// have it already, and the first surviving one sends it.
func (s *State) planMove(view *membership.View, before *ranking, mv move) {
	runner := s.records.runner(mv.rec)
	home := s.records.home(mv.rec)
	if s.leavesOutcome(view, mv.rec) {
		// The other holders have the record without its outcome.
		before = nil
	}
	var had []string
	if before != nil {
		for _, m := range before.holders(home, mv.hash, runner) {
			if m.ID != "" && view.Survived(m.ID) {
				had = append(had, m.ID)
			}
		}
		if len(had) > 0 && had[0] != s.m.Self().ID {
			return
		}
	}
	for _, m := range s.ranking.holders(home, mv.hash, runner) {
		if o := s.outgoing[m.ID]; o != nil && !slices.Contains(had, m.ID) {
			o.moves = append(o.moves, mv)
		}
	}
}

// leavesOutcome reports whether this process leaves and is the only one that knows how
// the key ended.
func (s *State) leavesOutcome(view *membership.View, rec record) bool {
	return s.isSelf(rec) && rec.outcome != OutcomeNone && !view.Has(s.m.Self().ID, s.m.Self().Incarnation)
}

func sortMoves(moves []move) {
	slices.SortFunc(moves, func(a, b move) int { return slices.Compare(a.hash[:], b.hash[:]) })
}

// tickTransfers sends chunks for the first time or again when they are due.
func (s *State) tickTransfers(now time.Duration) {
	s.finishHandOver()
	for _, id := range slices.Sorted(maps.Keys(s.outgoing)) {
		o := s.outgoing[id]
		if o.allDone || o.sent && now-o.sentAt < transferRetryInterval {
			continue
		}
		s.sendChunk(now, o)
	}
}

// sendChunk sends the next chunk of a transfer, which may be empty.
func (s *State) sendChunk(now time.Duration, o *outgoingTransfer) {
	o.sent = true
	o.sentAt = now
	moves := o.moves[min(len(o.moves), int(o.index)*chunkRecords):]
	last := len(moves) <= chunkRecords
	moves = moves[:min(len(moves), chunkRecords)]
	t := s.encodeMoves(moves)
	t.ViewNumber = s.view.Number
	t.ViewNonce = s.view.Nonce
	t.Index = o.index
	t.Last = last
	s.send(o.to, &claimpb.Message{Kind: &claimpb.Message_Transfer{Transfer: t}})
}

// encodeMoves writes records as columns with tables of epochs, runners and homes.
func (s *State) encodeMoves(moves []move) *claimpb.Transfer {
	t := &claimpb.Transfer{}
	epochs := map[string]uint32{}
	runners := map[uint32]uint32{}
	homes := map[uint32]uint32{}
	for _, mv := range moves {
		epoch, ok := epochs[mv.token]
		if !ok {
			epoch = uint32(len(t.Epochs))
			epochs[mv.token] = epoch
			t.Epochs = append(t.Epochs, mv.token)
		}
		runner, ok := runners[mv.rec.runner]
		if !ok {
			runner = uint32(len(t.Runners))
			runners[mv.rec.runner] = runner
			t.Runners = append(t.Runners, runnerProto(s.records.runner(mv.rec)))
		}
		t.Keys = append(t.Keys, mv.hash[:]...)
		t.Epoch = append(t.Epoch, epoch)
		t.Runner = append(t.Runner, runner)
		home, ok := homes[mv.rec.home]
		if !ok {
			home = uint32(len(t.Homes))
			homes[mv.rec.home] = home
			t.Homes = append(t.Homes, s.records.home(mv.rec))
		}
		t.Home = append(t.Home, home)
		t.Outcomes = append(t.Outcomes, byte(mv.rec.outcome))
	}
	return t
}

// handleTransfer stores the chunk that is next and acknowledges it. A repeated chunk is
// only acknowledged again.
func (s *State) handleTransfer(now time.Duration, from membership.Member, t *claimpb.Transfer) {
	in := s.incoming[from.ID]
	if !s.isCurrentSource(from, t.GetViewNumber(), t.GetViewNonce()) || in == nil || t.GetIndex() > in.next {
		return
	}
	if t.GetIndex() == in.next && !in.allDone {
		s.storeMoves(t)
		in.next++
		in.allDone = t.GetLast()
	}
	s.send(from, &claimpb.Message{Kind: &claimpb.Message_TransferAck{TransferAck: &claimpb.TransferAck{
		ViewNumber: t.GetViewNumber(),
		ViewNonce:  t.GetViewNonce(),
		Index:      t.GetIndex(),
	}}})
	s.openIfComplete(now)
}

// isCurrentSource reports whether a message belongs to the installed view and comes
// from one of its members or leavers.
func (s *State) isCurrentSource(from membership.Member, number, nonce uint64) bool {
	view := s.m.View()
	isSource := func(m membership.Member) bool { return m.Same(from) }
	return s.view == membership.ViewID{Number: number, Nonce: nonce} &&
		(slices.ContainsFunc(view.Members, isSource) || slices.ContainsFunc(view.Leavers, isSource))
}

func (s *State) storeMoves(t *claimpb.Transfer) {
	for i := range t.GetEpoch() {
		if mv, ok := s.readMove(t, i); ok {
			s.storeMove(mv)
		}
	}
}

// readMove decodes one record of a transfer. It returns false if it is malformed.
func (s *State) readMove(t *claimpb.Transfer, i int) (move, bool) {
	if len(t.GetKeys()) < (i+1)*hashBytes || min(len(t.GetRunner()), len(t.GetOutcomes()), len(t.GetHome())) <= i {
		return move{}, false
	}
	epoch, runner, home := int(t.GetEpoch()[i]), int(t.GetRunner()[i]), int(t.GetHome()[i])
	if epoch >= len(t.GetEpochs()) || runner >= len(t.GetRunners()) || home >= len(t.GetHomes()) {
		return move{}, false
	}
	return move{
		token: t.GetEpochs()[epoch],
		hash:  Hash(t.GetKeys()[i*hashBytes:]),
		rec: record{
			runner:  s.records.internRunner(runnerFrom(t.GetRunners()[runner])),
			home:    s.records.internHome(t.GetHomes()[home]),
			outcome: Outcome(t.GetOutcomes()[i]),
		},
	}, true
}

// storeMove adds a received record of a listed epoch, or its outcome.
func (s *State) storeMove(mv move) {
	if _, ok := s.m.Epochs().Find(mv.token); !ok {
		return
	}
	known, ok := s.records.get(mv.token, mv.hash)
	switch {
	case !ok:
		s.records.put(mv.token, mv.hash, mv.rec)
	case known.runner == mv.rec.runner && known.outcome == OutcomeNone:
		known.outcome = mv.rec.outcome
		s.records.put(mv.token, mv.hash, known)
	case known.runner != mv.rec.runner && !known.handedOut:
		// Only views that existed side by side can disagree. Either runner may have
		// started the key.
		s.records.put(mv.token, mv.hash, record{runner: noRunner, home: mv.rec.home})
	}
}

// handleTransferAck sends the next chunk, or ends the transfer after the last one.
func (s *State) handleTransferAck(now time.Duration, from membership.Member, ack *claimpb.TransferAck) {
	o := s.outgoing[from.ID]
	if !s.isCurrentSource(from, ack.GetViewNumber(), ack.GetViewNonce()) || o == nil || ack.GetIndex() != o.index {
		return
	}
	o.index++
	if int(o.index)*chunkRecords >= len(o.moves) {
		o.allDone = true
		o.moves = nil
		s.finishHandOver()
		return
	}
	s.sendChunk(now, o)
}

// openIfComplete opens the view when every other member and leaver has sent its records.
func (s *State) openIfComplete(now time.Duration) {
	if s.opened {
		return
	}
	for _, in := range s.incoming {
		if !in.allDone {
			return
		}
	}
	s.opened = true
	s.m.MarkOpened(now)
	s.resendPending(now)
}

// finishHandOver lets a leaver stop when every member that is not lost has its records.
// The leaver also waits for a member that went to another view without them, so that the
// hand-over fails visibly.
func (s *State) finishHandOver() {
	for _, o := range s.outgoing {
		if !o.allDone && !s.m.IsLost(o.to) {
			return
		}
	}
	s.m.MarkHandedOver()
}

func runnerProto(m membership.Member) *claimpb.Runner {
	return &claimpb.Runner{Id: m.ID, Incarnation: m.Incarnation, Address: m.Address}
}

func runnerFrom(p *claimpb.Runner) membership.Member {
	return membership.Member{ID: p.GetId(), Incarnation: p.GetIncarnation(), Address: p.GetAddress()}
}
