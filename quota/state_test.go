package quota

import (
	"testing"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
)

// pair is two failure domains that share one team's quota, a with 8 units and b with 4.
type pair struct {
	t     *testing.T
	store *store
	now   time.Duration
	a, b  *State
}

var pairBase = map[string]int{"a": 8, "b": 4}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, store: newStore(), a: newState("a", "vm1"), b: newState("b", "vm2")}
	p.use(p.a, 0, 0)
	p.use(p.b, 0, 0)
	p.now = DefaultTakeoverAfter
	p.round(p.a)
	p.round(p.b)
	return p
}

func newState(domain, self string) *State {
	s := New(Options{Domain: domain, Self: self})
	s.SetTeams([]Team{{Name: team1, Base: pairBase}}, testReserve)
	return s
}

// use records usage at a state, with the share that it allows as the capacity.
func (p *pair) use(s *State, out, want int) {
	for range 2 {
		s.RecordUsage(p.now, team1, Usage{Home: true, Valid: true, Known: true, Capacity: p.share(s), Out: out, Want: want})
	}
}

func (p *pair) share(s *State) int {
	share, ok := s.Share(p.now, team1)
	must.True(p.t, ok)
	return share
}

func (p *pair) read(s *State) { s.Read(p.now, p.now, p.store.past[len(p.store.past)-1]) }

// next reads the table and returns the next attempt; the test fails without one.
func (p *pair) next(s *State) (Attempt, tableservice.Commit) {
	p.t.Helper()
	p.read(s)
	a, ok := s.NextAttempt(p.now)
	must.True(p.t, ok)
	commit, err := a.Commit()
	must.NoError(p.t, err)
	return a, commit
}

// round reads the table and makes the next commit.
func (p *pair) round(s *State) {
	p.t.Helper()
	a, commit := p.next(s)
	must.True(p.t, p.store.apply(commit))
	s.RecordResult(p.now, a, Applied, p.store.version)
}

// lend makes a lend units to b, which wants 10.
func (p *pair) lend() {
	p.t.Helper()
	p.now += DefaultWantInterval
	p.use(p.b, 4, 10)
	p.round(p.b)
	p.read(p.a)
	p.use(p.a, 0, 0)
	p.round(p.a)
}

func TestSharesMoveOnDemandAndBack(t *testing.T) {
	p := newPair(t)
	must.Eq(t, 8, p.share(p.a))
	must.Eq(t, 4, p.share(p.b))
	p.lend()
	must.Eq(t, 4, p.share(p.a))
	p.use(p.b, 4, 10)
	p.round(p.b)
	must.Eq(t, 8, p.share(p.b))
	// The lender wants its units back. The borrower returns them when tasks end.
	p.now += DefaultWantInterval
	p.use(p.a, 4, 3)
	p.round(p.a)
	p.read(p.b)
	p.use(p.b, 8, 0)
	must.Eq(t, 5, p.share(p.b))
	_, ok := p.b.NextAttempt(p.now)
	must.False(t, ok)
	p.use(p.b, 5, 0)
	p.round(p.b)
	p.round(p.a)
	must.Eq(t, 7, p.share(p.a))
	must.Eq(t, 5, p.share(p.b))
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	p := newPair(t)
	p.lend()
	p.use(p.b, 4, 10)
	a, commit := p.next(p.b)
	sent := p.now
	must.True(t, p.store.apply(commit))
	p.now += 5 * time.Second
	p.b.RecordResult(p.now, a, Applied, p.store.version)
	p.now = sent + DefaultLease - 1
	must.Eq(t, 8, p.share(p.b))
	p.now = sent + DefaultLease
	must.Eq(t, 4, p.share(p.b))
}

func TestUnitsAreClaimedOnce(t *testing.T) {
	p := newPair(t)
	p.lend()
	// Both decide by the same rows: the lender takes back the units that the other
	// borrows.
	p.use(p.b, 4, 10)
	p.use(p.a, 4, 10)
	_, borrow := p.next(p.b)
	_, takeBack := p.next(p.a)
	must.True(t, p.store.apply(borrow))
	must.False(t, p.store.apply(takeBack))
}

func TestUncertainCommitKeepsTheShareLow(t *testing.T) {
	p := newPair(t)
	p.now += DefaultWantInterval
	p.use(p.b, 4, 10)
	p.round(p.b)
	p.read(p.a)
	p.use(p.a, 0, 0)
	a, late := p.next(p.a)
	p.a.RecordResult(p.now, a, Unknown, 0)
	must.Eq(t, 4, p.share(p.a))
	// The next attempt is refused, but the first one may still take effect.
	a, _ = p.next(p.a)
	p.a.RecordResult(p.now, a, Refused, 0)
	must.Eq(t, 4, p.share(p.a))
	p.use(p.a, 8, 5)
	must.Eq(t, 4, p.share(p.a))
	must.True(t, p.store.apply(late))
	p.read(p.a)
	must.Eq(t, 4, p.share(p.a))
}

func TestRefusedLoweringRestoresTheShare(t *testing.T) {
	p := newPair(t)
	p.now += DefaultWantInterval
	p.use(p.b, 4, 10)
	p.round(p.b)
	p.read(p.a)
	p.use(p.a, 0, 0)
	a, _ := p.next(p.a)
	must.Eq(t, 4, p.share(p.a))
	p.a.RecordResult(p.now, a, Refused, 0)
	must.Eq(t, 8, p.share(p.a))
}

func TestLostBorrowersUnitsAreReclaimedAfterItsTasksEnd(t *testing.T) {
	p := newPair(t)
	p.lend()
	p.use(p.b, 4, 10)
	p.round(p.b)
	p.read(p.a)
	seen := p.now
	p.now += DefaultWantInterval
	p.use(p.a, 4, 4)
	p.round(p.a)
	p.now = seen + DefaultLease + testReserve + reclaimMargin - 1
	p.read(p.a)
	_, ok := p.a.NextAttempt(p.now)
	must.False(t, ok)
	p.now++
	p.round(p.a)
	p.round(p.a)
	must.Eq(t, 8, p.share(p.a))
	// The borrower reads that it no longer holds the row.
	p.read(p.b)
	must.Eq(t, MinShare(pairBase["b"]), p.share(p.b))
	p.use(p.b, 0, 0)
	p.round(p.b)
	must.Eq(t, pairBase["b"], p.share(p.b))
}

func TestNewTermTakesTheRowOver(t *testing.T) {
	p := newPair(t)
	other := Usage{}
	p.a.RecordUsage(p.now, team1, other)
	must.Eq(t, 4, p.share(p.a))
	p.use(p.a, 0, 0)
	must.Eq(t, 4, p.share(p.a))
	p.read(p.a)
	p.now += DefaultTakeoverAfter - 1
	_, ok := p.a.NextAttempt(p.now)
	must.False(t, ok)
	p.now++
	p.a.RecordUsage(p.now, team1, Usage{Home: true, Known: true, Capacity: 4})
	_, ok = p.a.NextAttempt(p.now)
	must.False(t, ok, must.Sprint("without view lease"))
	p.use(p.a, 0, 0)
	p.round(p.a)
	must.Eq(t, 8, p.share(p.a))
}

func TestPreviousHomeDoesNotTakeTheRowBack(t *testing.T) {
	p := newPair(t)
	successor := newState("a", "vm3")
	p.use(successor, 0, 0)
	p.now += DefaultTakeoverAfter
	p.round(successor)
	p.read(p.a)
	must.Eq(t, 4, p.share(p.a))
	_, ok := p.a.NextAttempt(p.now)
	must.False(t, ok)
}

func TestReadOfOlderVersionIsIgnored(t *testing.T) {
	p := newPair(t)
	old := p.store.past[len(p.store.past)-1]
	p.now += DefaultWantInterval
	p.use(p.b, 4, 10)
	p.round(p.b)
	p.b.Read(p.now, p.now, old)
	must.Eq(t, 10, p.b.teams[team1].rows["b"].entry.Want)
}

func TestBorrowersShareReducedLending(t *testing.T) {
	r := rows{
		"a": {entry: Entry{Delta: -4}},
		"b": {entry: Entry{Delta: 3}},
		"c": {entry: Entry{Delta: 1}},
	}
	base := map[string]int{"a": 8, "b": 4, "c": 4}
	must.Eq(t, 3, r.borrowed("b", base))
	// The operators have reduced the lender's base share: it lends at most two.
	base["a"] = 4
	must.Eq(t, 1, r.borrowed("b", base))
	must.Eq(t, 0, r.borrowed("c", base))
	must.Eq(t, 0, r.unclaimed(base))
}

func TestRowRemovedByHandIsRecreated(t *testing.T) {
	p := newPair(t)
	p.store.version++
	gone := tableservice.Changes{Version: p.store.version, Rows: []tableservice.Row{{Key: rowKey(team1, "a"), Version: p.store.version}}}
	delete(p.store.rows, rowKey(team1, "a"))
	p.store.past = append(p.store.past, gone)
	p.read(p.a)
	must.Eq(t, 4, p.share(p.a))
	p.round(p.a)
	must.Eq(t, 8, p.share(p.a))
}
