package capacity

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
	"github.com/burdockward/burdockward/key"
)

const (
	// keepAll is the value of pool.keep while no recall is open.
	keepAll = -1
	// notListed is the value of pool.index outside the list of free slots.
	notListed = -1
)

// pool is this VM's state of one pool.
type pool struct {
	name     string
	kind     Kind
	capacity int
	// movable is Pool.Movable.
	movable bool
	// configured says that the pool was set by SetPool. Units of other pools are
	// returned to their home.
	configured bool
	// excluded says that the target takes no tasks of this VM.
	excluded bool

	// home is the id of the member that keeps the ledger.
	home string
	// ledger is set on the home only.
	ledger *ledger

	free, used int
	// stale is how many units of a limit pool were in use when this VM came back
	// after it had missed a view. Their reservation may be over and the units lent
	// again, so they are returned to the home instead of being used again.
	stale int
	// minFree is the smallest number of free units in the window.
	minFree int
	// keep is how many units an open recall lets this VM hold, or keepAll.
	keep int

	// index is the place in the list of free slots, or notListed.
	index int
	// counted is how many free units count as free slots.
	counted int
	// announced is the last argument of OnFree.
	announced bool

	demand demand
}

// demand is this VM's demand for units of a limit pool.
type demand struct {
	// want is how many units would be used now beside those in use.
	want int
	// asked is how many units the home was asked for and has not granted yet.
	asked int
	// nextAskAt is when a larger want may be sent.
	nextAskAt time.Duration
	// retryAt is when the same want is sent again, and retryInterval the time
	// between two such asks.
	retryAt, retryInterval time.Duration
}

// SetPool adds a pool or changes its capacity.
func (s *State) SetPool(now time.Duration, spec Pool) []Out {
	p := s.pool(spec.Name, spec.Kind)
	if p.configured && p.capacity == spec.Capacity && p.movable == spec.Movable {
		return nil
	}
	p.configured = true
	p.capacity = max(0, spec.Capacity)
	p.movable = spec.Movable
	s.updateFreeSlots(p)
	if p.ledger != nil {
		p.ledger.recallAt = 0
		s.freeUnused(now, p)
		s.balance(now, p)
	}
	return s.collect(now)
}

// RemovePool removes a pool. Units in use stay in use until Give is called.
func (s *State) RemovePool(now time.Duration, name string) []Out {
	p := s.pools[name]
	if p == nil || !p.configured {
		return nil
	}
	p.configured = false
	p.capacity = 0
	p.demand = demand{}
	s.updateFreeSlots(p)
	if p.ledger != nil {
		p.ledger.recallAt = 0
		s.balance(now, p)
	} else {
		s.sendHome(now, p, p.free)
	}
	s.dropIfUnused(p)
	return s.collect(now)
}

// SetExcluded sets whether the target takes no tasks of this VM, for instance
// in quarantine. The units of an excluded target neither count as free slots nor
// are asked for. One of them is kept, and can be taken, for probes.
func (s *State) SetExcluded(target string, excluded bool) {
	p := s.pools[target]
	if p == nil || p.kind != KindSlots {
		return
	}
	p.excluded = excluded
	s.updateFreeSlots(p)
}

// pool returns the named pool, and creates it when it is unknown.
func (s *State) pool(name string, kind Kind) *pool {
	if p := s.pools[name]; p != nil {
		return p
	}
	p := &pool{name: name, kind: kind, index: notListed, keep: keepAll}
	s.pools[name] = p
	at, _ := slices.BinarySearchFunc(s.ordered, name, comparePoolName)
	s.ordered = slices.Insert(s.ordered, at, p)
	if s.view.ID != "" {
		s.assignHome(p)
	}
	return p
}

func comparePoolName(p *pool, name string) int { return strings.Compare(p.name, name) }

// dropIfUnused deletes a pool that is not configured, of which this VM holds no
// unit and whose ledger, if it is here, is empty.
func (s *State) dropIfUnused(p *pool) {
	if p.configured || p.free > 0 || p.used > 0 {
		return
	}
	if p.ledger != nil && !p.ledger.isEmpty() {
		return
	}
	delete(s.pools, p.name)
	at, _ := slices.BinarySearchFunc(s.ordered, p.name, comparePoolName)
	s.ordered = slices.Delete(s.ordered, at, at+1)
}

// assignHome sets the home of a pool that became known after the view change.
func (s *State) assignHome(p *pool) {
	p.home = homeOf(s.view.Members, p.name)
	if p.home != s.opts.Self.ID {
		return
	}
	p.ledger = newLedger()
	p.ledger.known = s.resolved
	if p.kind == KindLimit {
		s.blockLedger(p.ledger, s.unlistedBlockedUntil)
	}
}

// homeOf returns the id of the member that ranks first for the name.
func homeOf(members []Member, name string) string {
	var home string
	var best uint64
	for _, m := range members {
		rank := key.Rank(name, m.ID)
		if home == "" || rank > best || rank == best && m.ID < home {
			home = m.ID
			best = rank
		}
	}
	return home
}

// addUsed changes the number of units in use.
func (s *State) addUsed(p *pool, n int) {
	p.used += n
	if p.kind == KindSlots {
		s.slots.used += n
	}
}

// addFree changes the number of free units.
func (s *State) addFree(p *pool, n int) {
	if n == 0 {
		return
	}
	p.free += n
	p.minFree = min(p.minFree, p.free)
	s.active = true
	s.updateFreeSlots(p)
}

// updateFreeSlots updates the list and the count of free slots after a change of
// one pool.
func (s *State) updateFreeSlots(p *pool) {
	if p.kind != KindSlots {
		return
	}
	counted := 0
	if p.configured && !p.excluded {
		counted = p.free
	}
	s.slots.free += counted - p.counted
	s.slots.minFree = min(s.slots.minFree, s.slots.free)
	p.counted = counted
	s.announce(p)
	listed := p.index != notListed
	switch {
	case counted > 0 && !listed:
		p.index = len(s.slots.list)
		s.slots.list = append(s.slots.list, p)
	case counted == 0 && listed:
		s.unlist(p)
	}
}

// announce calls OnFree when the pool has gained its first free unit or lost its
// last one.
func (s *State) announce(p *pool) {
	takeable := p.configured && p.free > 0
	if takeable == p.announced {
		return
	}
	p.announced = takeable
	if s.opts.OnFree != nil {
		s.opts.OnFree(p.name, takeable)
	}
}

// unlist removes a pool from the list of free slots in constant time.
func (s *State) unlist(p *pool) {
	last := len(s.slots.list) - 1
	moved := s.slots.list[last]
	s.slots.list[p.index] = moved
	moved.index = p.index
	s.slots.list = s.slots.list[:last]
	p.index = notListed
}

// sendHome moves free units to the home of their pool.
func (s *State) sendHome(now time.Duration, p *pool, n int) {
	l := s.links[p.home]
	if l == nil || n <= 0 {
		return
	}
	s.addFree(p, -n)
	s.sendUnits(now, l, p, n)
}

// sendUnits adds units, which no longer count as held, to the batch of the link. A
// home counts them as lent from now on.
func (s *State) sendUnits(now time.Duration, l *link, p *pool, n int) {
	if p.ledger != nil {
		p.ledger.addLent(l.member.ID, n)
	}
	l.addUnits(now+s.opts.FlushDelay, &capacitypb.Units{Pool: p.name, Count: uint32(n), Kind: capacitypb.Kind(p.kind)})
}

// receiveUnits applies units that a peer has sent: a grant, or a return to this
// home. Stale ones become free only by the ledger.
func (s *State) receiveUnits(now time.Duration, l *link, u *capacitypb.Units) {
	p, n := s.pool(u.Pool, Kind(u.Kind)), int(u.Count)
	p.demand.asked = max(0, p.demand.asked-n)
	if !u.Stale {
		s.addFree(p, n)
	}
	if p.ledger != nil {
		p.ledger.addLent(l.member.ID, -n)
		s.balance(now, p)
		return
	}
	p.keep = keepAll
	if s.leaving {
		s.sendHome(now, p, p.free)
	}
}
