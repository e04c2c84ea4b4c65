// Package capacity shares countable capacity between the VMs of a failure domain.
//
// A pool holds units: the slots of one target, the limit of a profile or the
// quota share of a team. A VM starts a task only while it holds one unit of each
// pool that the task needs. The home of a pool, the member of the view that
// ranks first for the pool's name, knows how many units exist.
//
// Units move in numbered items that are applied exactly once, so that lost,
// repeated and reordered messages neither create nor lose units inside a view.
// After a view change the homes count the units from the reports of all members.
//
// State is plain data: the time is an argument, messages are results. Only one
// goroutine may use a State.
package capacity

import (
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// Slots names all slot pools together in State.Want.
const Slots = ""

// ProfilePool is the name of the limit pool of a profile.
func ProfilePool(profile string) string { return "profile/" + profile }

// TeamPool is the name of the limit pool of a team's quota share.
func TeamPool(team string) string { return "team/" + team }

// Kind says who enforces a pool, and when the units of a lost VM are free again.
type Kind uint8

// The kinds of pool.
const (
	// KindSlots is the pool of one target's slots. The target itself refuses a
	// start beyond its slots, so a unit of a lost VM is free again at once.
	KindSlots Kind = iota + 1
	// KindLimit is the pool of a profile's limit or a team's quota. Only the VMs
	// enforce it, so a unit of a lost VM is free only after ReclaimAfter.
	KindLimit
)

// Pool describes one pool.
type Pool struct {
	// Name is unique over both kinds: the target's id, ProfilePool or TeamPool.
	Name string
	Kind Kind
	// Capacity is the number of units in the failure domain.
	Capacity int
	// Movable says that the capacity moves to other failure domains while it is
	// idle. The home then keeps idle units instead of lending each member a part.
	Movable bool
}

// Member is one process of an entry VM.
type Member struct {
	ID          string
	Incarnation uint64
	Address     string
}

// View is an installed view of the failure domain.
type View struct {
	// ID identifies the view; no two views share it.
	ID string
	// Parent is the ID of the view that this one replaced; empty for the first.
	Parent  string
	Members []Member
	// Leavers were members of the parent. They only hand over their ledgers.
	Leavers []Member
}

// Out is a message to send.
type Out struct {
	To  Member
	Msg *capacitypb.Message
}

// Options are the settings of a State. A zero duration takes the default.
type Options struct {
	// Self is this process.
	Self Member
	// ReclaimAfter is how long the limit units of a lost VM stay reserved. It
	// must cover the view lease, the target lease, the longest run of a task
	// and the transit time of a start together. Default 60 s.
	ReclaimAfter time.Duration
	// RevokeAfter is how long after the installation of a view a VM that was lost
	// may still decide on starts and take leases at targets: the view lease and
	// the longest delay of a start. Default 10 s.
	RevokeAfter time.Duration
	// IdleAfter is how long a unit must not have been needed before it is returned
	// to the home. Default 2 s.
	IdleAfter time.Duration
	// FlushDelay is how long freed units wait for others to be sent in the same
	// message. Default 10 ms.
	FlushDelay time.Duration
	// AckDelay is how long the acknowledgement of units in a reply waits to be
	// sent with another message. Default 2 s.
	AckDelay time.Duration
	// RetryAfter is the first interval at which unacknowledged items and
	// unanswered asks are sent again; it doubles up to MaxRetryAfter. Defaults
	// 500 ms and 8 s.
	RetryAfter    time.Duration
	MaxRetryAfter time.Duration
	// MessagesPerTask bounds the messages that move slots, in messages a started
	// task; budgetRate more a second are always allowed. Default 0.03.
	MessagesPerTask float64
	// LeaverTimeout is how long a view change waits for the ledgers of a VM that
	// leaves, before it counts as lost. Default 2 s.
	LeaverTimeout time.Duration
	// AskInterval is the minimum time between two asks to the same VM. Default
	// 5 ms.
	AskInterval time.Duration
	// OnFree is called when a slot pool gains its first free unit (true) or
	// loses its last one (false), excluded targets included. It must not call
	// the State. May be nil.
	OnFree func(target string, free bool)
}

const defaultMessagesPerTask = 0.03

func (o Options) withDefaults() Options {
	setDefault(&o.ReclaimAfter, time.Minute)
	setDefault(&o.RevokeAfter, 10*time.Second)
	setDefault(&o.IdleAfter, 2*time.Second)
	setDefault(&o.FlushDelay, 10*time.Millisecond)
	setDefault(&o.AckDelay, 2*time.Second)
	setDefault(&o.RetryAfter, 500*time.Millisecond)
	setDefault(&o.MaxRetryAfter, 8*time.Second)
	if o.MessagesPerTask == 0 {
		o.MessagesPerTask = defaultMessagesPerTask
	}
	setDefault(&o.LeaverTimeout, 2*time.Second)
	setDefault(&o.AskInterval, 5*time.Millisecond)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// State is the capacity duty of one VM.
type State struct {
	opts Options
	view View
	// installed is when the view was installed here.
	installed time.Duration
	// inherits says that the previous view here was the parent of this one.
	inherits bool
	// isMember says that this VM is a member and not a leaver.
	isMember bool
	// parentMembers are the members of the parent view, as far as known.
	parentMembers []Member
	// lease says that limit units may be used.
	lease bool
	// leaving says that the VM returns all its units.
	leaving bool

	pools map[string]*pool
	// ordered holds the pools sorted by name, for loops over all of them.
	ordered []*pool
	// unlistedBlockedUntil is until when a limit pool stays blocked of which no
	// member has handed over a ledger.
	unlistedBlockedUntil time.Duration
	// lossAt is when a view was last installed after a loss or without a parent,
	// and afterLoss says whether one was. Tasks of lost VMs may then still run under
	// limits that become known later.
	lossAt      time.Duration
	afterLoss   bool
	revocations revocations
	// resolved says that every member of the view has reported.
	resolved bool

	links map[string]*link
	// peers holds the links to other members sorted by id, leavers those to
	// leavers.
	peers, leavers []*link
	// leaversUntil is the end of the wait for the reports of leavers.
	leaversUntil time.Duration

	slots          slotState
	digestSequence uint64
	// windowEnd is the end of the window in which unneeded units are counted.
	windowEnd time.Duration
	// active says that units moved or were used in the window.
	active bool
	// nextExpiry is the next time at which a block, a reservation or the wait for
	// a recall or a leaver ends.
	nextExpiry time.Duration
}

// New returns the state of a VM that has no view yet.
func New(opts Options) *State {
	return &State{
		opts:       opts.withDefaults(),
		pools:      make(map[string]*pool),
		links:      make(map[string]*link),
		nextExpiry: never,

		revocations: revocations{targets: make(map[string]*revocation)},
	}
}

// SetLease sets whether the VM's view lease is valid. Units of limit pools are
// taken only while it is. It must be invalid once the VM has promised another
// view, even when it is the only member of its own.
func (s *State) SetLease(valid bool) { s.lease = valid }

// Free returns the number of units of the pool that can be taken.
func (s *State) Free(name string) int {
	p := s.pools[name]
	if p == nil || !s.canTake(p) {
		return 0
	}
	return p.free
}

// Held returns the number of units of the pool that the VM holds, and how many of
// them are in use.
func (s *State) Held(name string) (held, used int) {
	p := s.pools[name]
	if p == nil {
		return 0, 0
	}
	return p.free + p.used, p.used
}

// FreeSlots returns the number of free slot units on usable targets.
func (s *State) FreeSlots() int { return s.slots.free }

// FreeTargets calls visit for each usable target with free units until visit
// returns false.
func (s *State) FreeTargets(visit func(target string, free int) bool) {
	for _, p := range s.slots.list {
		if !visit(p.name, p.free) {
			return
		}
	}
}

// Take takes one unit for a task, and reports whether there was one.
func (s *State) Take(name string) bool {
	p := s.pools[name]
	if p == nil || p.free == 0 || !s.canTake(p) {
		return false
	}
	s.addUsed(p, 1)
	if p.kind == KindSlots {
		s.slots.budget.earn(s.opts.MessagesPerTask)
	}
	s.addFree(p, -1)
	return true
}

// canTake reports whether free units of the pool may be used now.
func (s *State) canTake(p *pool) bool {
	if p.kind == KindLimit {
		return s.lease && s.isMember
	}
	return p.configured
}

// Give returns the unit of a task that has ended or was not started.
func (s *State) Give(now time.Duration, name string) {
	p := s.pools[name]
	if p == nil || p.used == 0 {
		return
	}
	s.addUsed(p, -1)
	if p.stale > 0 {
		s.giveStale(now, p)
		return
	}
	if s.mustReturn(p) {
		s.sendUnits(now, s.links[p.home], p, 1)
		s.dropIfUnused(p)
		return
	}
	s.addFree(p, 1)
	if p.ledger != nil {
		s.balance(now, p)
		return
	}
	if p.kind == KindSlots {
		s.shareFreed(now, p)
	}
}

// giveStale returns a stale unit, which may be lent to another VM already, to its
// home.
func (s *State) giveStale(now time.Duration, p *pool) {
	p.stale--
	switch home := s.links[p.home]; {
	case p.ledger != nil:
		s.balance(now, p)
	case home != nil:
		home.addUnits(now+s.opts.FlushDelay, &capacitypb.Units{Pool: p.name, Count: 1, Kind: capacitypb.Kind(p.kind), Stale: true})
	}
	s.dropIfUnused(p)
}

// Leave returns every free unit to its home, and from now on each unit that comes
// free, so that nothing is reserved after a planned stop. The caller calls it when
// the VM admits no more work.
func (s *State) Leave(now time.Duration) []Out {
	s.leaving = true
	for _, p := range s.ordered {
		if p.ledger == nil {
			s.sendHome(now, p, p.free)
		}
	}
	return s.collect(now)
}

// HasHandedOver reports whether this VM is a leaver, and every member has acknowledged
// all that it had to hand over.
func (s *State) HasHandedOver() bool {
	for _, l := range s.peers {
		if len(l.items) > 0 {
			return false
		}
	}
	return !s.isMember
}

// mustReturn reports whether a unit that comes free must be returned to its home at
// once: the pool is not configured, the VM leaves, or a recall is open.
func (s *State) mustReturn(p *pool) bool {
	if p.ledger != nil || s.links[p.home] == nil {
		return false
	}
	if !p.configured || s.leaving {
		return true
	}
	if p.keep == keepAll {
		return false
	}
	if p.free+p.used < p.keep {
		p.keep = keepAll
		return false
	}
	return true
}
