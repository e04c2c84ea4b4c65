package claim

import (
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/claim/claimpb"
	"github.com/burdockward/burdockward/membership"
	"github.com/zeebo/errs/v2"
	"google.golang.org/protobuf/proto"
)

// Config holds the settings of a State. Zero values stand for the defaults.
type Config struct {
	// MaxRecords is the number of records beyond which the oldest epoch is
	// retired early. No key is granted beyond MaxRecords plus a quarter.
	MaxRecords int
	// CallTimeout is how long a call waits for an answer, view changes included.
	CallTimeout time.Duration
	// RetryInterval is the time between two requests for the same key.
	RetryInterval time.Duration
	// SuspectAfter is how long a VM may leave a request unanswered before it is
	// probed.
	SuspectAfter time.Duration
}

// Defaults of Config.
const (
	DefaultMaxRecords    = 1_000_000
	DefaultCallTimeout   = 5 * time.Second
	DefaultRetryInterval = 200 * time.Millisecond
	DefaultSuspectAfter  = time.Second
)

const (
	// transferRetryInterval is the time between repetitions of an unacknowledged chunk.
	transferRetryInterval = 50 * time.Millisecond
	// minCompactLength is the table length from which on unused entries are dropped.
	minCompactLength = 1024
)

// Done is the end of a call of Claim, Burn or Lookup.
type Done struct {
	// Waiter is the number that the call was given.
	Waiter uint64
	Result Result
	// Failure is set when the key is refused.
	Failure *api.Failure
}

// State holds one process's records of keys, its membership state and its unfinished
// calls and transfers. It is not safe for concurrent use.
type State struct {
	cfg Config
	m   *membership.State

	records *records
	// view is the view for which transfers of the records were planned last.
	view    membership.ViewID
	ranking *ranking
	// purgedSequence is the epoch list by which records were last dropped.
	// purgedMovedRecords says that the records which other members hold in the settled
	// view were dropped.
	purgedSequence     uint64
	purgedMovedRecords bool
	opened             bool
	// blocked are the open epochs of which this process may have dropped records.
	blocked map[string]bool
	// listed holds the tokens of the epoch list listSeen, which Sync saw last.
	listed   map[string]bool
	listSeen listID

	pending  map[Hash]*pending
	outgoing map[string]*outgoingTransfer
	incoming map[string]*incomingTransfer

	out  []membership.Outgoing
	done []Done
}

// ErrMessage is the class of errors about malformed messages.
var ErrMessage = errs.Tag("claim message")

// New returns the state of a process that knows no keys. From then on the caller
// passes messages and ticks for m to this state, which follows the changes of m.
func New(cfg Config, m *membership.State) *State {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = DefaultSuspectAfter
	}
	return &State{
		cfg:      cfg,
		m:        m,
		records:  newRecords(),
		blocked:  map[string]bool{},
		pending:  map[Hash]*pending{},
		outgoing: map[string]*outgoingTransfer{},
		incoming: map[string]*incomingTransfer{},
	}
}

// Membership returns the membership state. Call Sync after any call that changes it.
func (s *State) Membership() *membership.State { return s.m }

// Records returns the number of keys that this process has records of.
func (s *State) Records() int { return s.records.count }

// Opened reports whether this process has the records that it must hold.
func (s *State) Opened() bool { return s.opened }

// TakeOutgoing returns the messages to send and removes them from the state.
func (s *State) TakeOutgoing() []membership.Outgoing {
	out := s.out
	s.out = nil
	return out
}

// TakeDone returns the calls that have ended and removes them from the state.
func (s *State) TakeDone() []Done {
	done := s.done
	s.done = nil
	return done
}

// HandleMembership handles a peer's message for the membership duty.
func (s *State) HandleMembership(now time.Duration, id string, incarnation uint64, body []byte) error {
	err := s.m.Handle(now, id, incarnation, body)
	s.Sync(now)
	return err
}

// HandleClaim handles a peer's message for the claim duty.
func (s *State) HandleClaim(now time.Duration, id string, incarnation uint64, body []byte) error {
	var m claimpb.Message
	if err := proto.Unmarshal(body, &m); err != nil {
		return ErrMessage.Wrap(err)
	}
	from := membership.Member{ID: id, Incarnation: incarnation}
	switch kind := m.GetKind().(type) {
	case *claimpb.Message_Request:
		s.handleRequest(from, kind.Request)
	case *claimpb.Message_Answer:
		s.handleAnswer(now, from, kind.Answer)
	case *claimpb.Message_Transfer:
		s.handleTransfer(now, from, kind.Transfer)
	case *claimpb.Message_TransferAck:
		s.handleTransferAck(now, from, kind.TransferAck)
	}
	s.Sync(now)
	return nil
}

// Tick does what is due in both states.
func (s *State) Tick(now time.Duration) {
	s.m.Tick(now)
	s.Sync(now)
	s.tickTransfers(now)
	s.tickPending(now)
	s.tickRecordLimit(now)
}

// Sync follows changes of the membership state: it installs a new view and drops
// records that this process need not hold any more.
func (s *State) Sync(now time.Duration) {
	if s.m.View().ID != s.view {
		s.installView(now)
	}
	s.updateListed()
	s.purgeEpochs()
	s.purgeMoved()
}

// listID identifies an epoch list.
type listID struct {
	view     membership.ViewID
	sequence uint64
}

// updateListed remembers the tokens of the epoch list in use.
func (s *State) updateListed() {
	id := listID{view: s.view, sequence: s.m.Epochs().Sequence}
	if id == s.listSeen {
		return
	}
	s.listSeen = id
	s.listed = map[string]bool{}
	for _, e := range s.m.Epochs().Epochs {
		s.listed[e.Token()] = true
	}
}

// purgeEpochs drops the records of epochs that no member lists any more.
func (s *State) purgeEpochs() {
	if s.purgedSequence == s.m.CommittedSequence() || s.m.CommittedSequence() != s.m.Epochs().Sequence {
		return
	}
	s.purgedSequence = s.m.CommittedSequence()
	for token := range s.records.epochs {
		if _, ok := s.m.Epochs().Find(token); !ok {
			s.records.dropEpoch(token)
		}
	}
	s.records.compactTables(minCompactLength)
}

// purgeMoved drops the records that other members hold, once every member has the
// records that it must hold.
func (s *State) purgeMoved() {
	if s.purgedMovedRecords || !s.m.Settled() || !s.m.Active() {
		return
	}
	s.purgedMovedRecords = true
	self := s.m.Self()
	for token, epoch := range s.records.epochs {
		for h, rec := range epoch {
			holders := s.ranking.holders(s.records.home(rec), h, s.records.runner(rec))
			if !holders[0].Same(self) && !holders[1].Same(self) && !rec.handedOut {
				s.records.remove(token, h)
			}
		}
	}
}

// tickRecordLimit asks for early retirement of the oldest epoch when there are too
// many records.
func (s *State) tickRecordLimit(now time.Duration) {
	var retire uint64
	if list := s.m.Epochs(); s.records.count > s.cfg.MaxRecords && len(list.Epochs) > 0 {
		retire = list.Epochs[0].Number
	}
	s.m.SetRetire(now, retire)
}

func (s *State) isFull() bool { return s.records.count >= s.cfg.MaxRecords+s.cfg.MaxRecords/4 }

func (s *State) send(to membership.Member, m *claimpb.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		panic("claim: can't encode a message: " + err.Error())
	}
	s.out = append(s.out, membership.Outgoing{To: to, Body: body})
}

// isCurrent reports whether a message belongs to the view that this process
// takes part in.
func (s *State) isCurrent(number, nonce uint64) bool {
	return s.m.Active() && s.view == membership.ViewID{Number: number, Nonce: nonce}
}
