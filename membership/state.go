package membership

import (
	"maps"
	"slices"
	"time"

	pb "github.com/burdockward/burdockward/membership/membershippb"
	"github.com/zeebo/errs/v2"
	"google.golang.org/protobuf/proto"
)

// Outgoing is a message to send.
type Outgoing struct {
	// To has an empty id and incarnation 0 when only the address is known.
	To   Member
	Body []byte
}

// DigestChange is a new digest of a peer.
type DigestChange struct {
	Member Member
	Duty   int32
	Body   []byte
}

// State is one process's view, epoch list and records of its peers. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	started time.Duration

	// The installed view and its epoch list.
	view              View
	installMessage    *pb.Install
	list              EpochList
	committedSequence uint64
	currentToken      string
	opened            bool
	settled           bool
	// cameFromParent says that this process came to the view from its parent.
	cameFromParent bool
	installedAt    time.Duration
	// timedAt is when this process first saw the newest timed epoch.
	timedAt time.Duration
	// repeatedAt is when unacknowledged updates of the epoch list were last repeated.
	repeatedAt time.Duration

	// promises are the proposed views for which this process has promised to leave its
	// installed view.
	promises   []promise
	promisedAt time.Duration
	proposal   *proposal
	// mustChange says that a proposal was given up after it was promised.
	mustChange bool
	// behind says that there is a view to which the installed one yields, and behindAt
	// when a peer last reported such a view.
	behindAt time.Duration
	behind   bool

	// leaving says that a planned stop has begun, left that it is complete.
	leaving bool
	left    bool
	// retireEpoch is the epoch that this process asks to retire early, 0 if none.
	retireEpoch uint64

	peers    map[string]*peer
	contacts map[string]*contact
	listed   map[string]listing

	digests       map[int32]digest
	digestVersion uint64

	out           []Outgoing
	digestChanges []DigestChange
}

// promise says that this process leaves the installed view for view.
type promise struct {
	view      ViewID
	installed ViewID
}

// digest is a digest of this process. Its version orders it among all changes.
type digest struct {
	version uint64
	body    []byte
}

// ErrMessage is the class of errors about malformed messages.
var ErrMessage = errs.Tag("membership message")

// New returns the state of a process that knows no other process yet.
func New(cfg Config, now time.Duration) *State {
	cfg.setDefaults()
	s := &State{
		cfg:      cfg,
		started:  now,
		peers:    map[string]*peer{},
		contacts: map[string]*contact{},
		listed:   map[string]listing{},
		digests:  map[int32]digest{},
	}
	for _, address := range cfg.Seeds {
		s.addContact(address, noExpiry)
	}
	return s
}

// Self returns this process.
func (s *State) Self() Member { return s.cfg.Self }

// View returns the installed view; its id is zero while there is none. The caller must
// not change it.
func (s *State) View() *View { return &s.view }

// Epochs returns the epoch list in use. The caller must not change it.
func (s *State) Epochs() *EpochList { return &s.list }

// CurrentEpoch returns the token for new keys; it is empty while there is none.
func (s *State) CurrentEpoch() string { return s.currentToken }

// Active reports whether this process takes part in its installed view: it is a
// member and has promised no other view.
func (s *State) Active() bool {
	return !s.view.ID.IsZero() && len(s.promises) == 0 && s.isMember()
}

// CameFromParent reports whether this process came to its view from the parent view, so
// that it still has its records of that view.
func (s *State) CameFromParent() bool { return s.cameFromParent }

// Settled reports whether every member is known to have opened the view.
func (s *State) Settled() bool { return s.settled }

// CommittedSequence returns the sequence number of the newest epoch list that every
// member is known to use.
func (s *State) CommittedSequence() uint64 { return s.committedSequence }

// Retired reports whether this process takes part in no view any more.
func (s *State) Retired() bool { return s.left || s.leaving && !s.isMember() }

// Left reports whether this process has left the view permanently.
func (s *State) Left() bool { return s.left }

// TakeOutgoing returns the messages to send and removes them from the state.
func (s *State) TakeOutgoing() []Outgoing {
	out := s.out
	s.out = nil
	return out
}

// TakeDigestChanges returns the new digests of peers and removes them from the state.
func (s *State) TakeDigestChanges() []DigestChange {
	changes := s.digestChanges
	s.digestChanges = nil
	return changes
}

// Handle handles a message from a peer.
func (s *State) Handle(now time.Duration, id string, incarnation uint64, body []byte) error {
	var m pb.Message
	if err := proto.Unmarshal(body, &m); err != nil {
		return ErrMessage.Wrap(err)
	}
	if id == s.cfg.Self.ID || s.left {
		return nil
	}
	p := s.markHeard(now, Member{ID: id, Incarnation: incarnation})
	if p == nil {
		return nil
	}
	switch kind := m.GetKind().(type) {
	case *pb.Message_Status:
		s.handleStatus(now, p, kind.Status)
	case *pb.Message_Propose:
		s.handlePropose(now, p, kind.Propose)
	case *pb.Message_Promise:
		s.handlePromise(now, p, kind.Promise)
	case *pb.Message_Install:
		s.handleInstall(now, p, kind.Install)
	case *pb.Message_Epochs:
		s.handleEpochs(now, p, kind.Epochs)
	}
	return nil
}

// Tick does what is due. Call it several times per ProbeInterval.
func (s *State) Tick(now time.Duration) {
	if s.left {
		return
	}
	s.tickContacts(now)
	s.tickStart(now)
	s.tickPeers(now)
	s.tickEpochs(now)
	s.tickCommit(now)
	s.tickChange(now)
	s.forgetPeers(now)
}

// MarkOpened is called when this process has the records that it must hold in the view.
func (s *State) MarkOpened(now time.Duration) {
	if s.opened || s.view.ID.IsZero() {
		return
	}
	s.opened = true
	s.sendUpdate(now, s.view.Coordinator())
	s.tickCommit(now)
}

// LeaseEnd returns when the view lease lapses. Until then every member of the view has
// answered a message that was sent within the view lease.
func (s *State) LeaseEnd() time.Duration {
	if !s.Active() || !s.opened {
		return 0
	}
	end := noExpiry
	for _, m := range s.others() {
		p := s.peers[m.ID]
		if p == nil || !p.member.Same(m) || !p.hasEcho {
			return 0
		}
		end = min(end, p.echoedSentAt+s.cfg.ViewLease)
	}
	return end
}

// SetDigest sets the digest of a duty that heartbeats carry to all members.
func (s *State) SetDigest(duty int32, body []byte) {
	s.digestVersion++
	s.digests[duty] = digest{version: s.digestVersion, body: body}
}

// SetRetire asks the coordinator to drop the epoch with this number early, if it is the
// oldest; 0 withdraws the request.
func (s *State) SetRetire(now time.Duration, number uint64) {
	if number == s.retireEpoch {
		return
	}
	s.retireEpoch = number
	if number != 0 && !s.view.ID.IsZero() {
		s.sendUpdate(now, s.view.Coordinator())
	}
}

func (s *State) isMember() bool { return s.view.Has(s.cfg.Self.ID, s.cfg.Self.Incarnation) }

func (s *State) isCoordinator() bool {
	return !s.view.ID.IsZero() && s.view.Coordinator().Same(s.cfg.Self)
}

// others returns the members of the view without this process.
func (s *State) others() []Member { return s.withoutSelf(s.view.Members) }

// withoutSelf returns the members without this process.
func (s *State) withoutSelf(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.ID != s.cfg.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

func (s *State) send(to Member, m *pb.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		panic("membership: can't encode a message: " + err.Error())
	}
	s.out = append(s.out, Outgoing{To: to, Body: body})
}

// sortedKeys returns the keys in order, so that decisions don't depend on the random
// order of maps.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Address returns the peer address of a process, or "" when it isn't known.
func (s *State) Address(m Member) string {
	if known, ok := find(s.view.sources(), m.ID); ok && known.Same(m) {
		return known.Address
	}
	if p := s.peers[m.ID]; p != nil && p.member.Same(m) {
		return p.member.Address
	}
	return ""
}

// Leaving reports whether this process has begun a planned stop.
func (s *State) Leaving() bool { return s.leaving }
