package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
)

// sharedStore is a table service that duties call from their goroutines.
type sharedStore struct {
	mu    sync.Mutex
	store *store
	reads int
	// down makes every call fail. loseAnswers makes commits take effect and return an
	// unknown outcome.
	down, loseAnswers bool
}

func (s *sharedStore) Changes(context.Context, string, uint64) (tableservice.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return tableservice.Changes{}, tableservice.ErrUnavailable.Errorf("down")
	}
	return s.store.past[len(s.store.past)-1], nil
}

func (s *sharedStore) Commit(_ context.Context, c tableservice.Commit) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, tableservice.ErrUnavailable.Errorf("down")
	}
	if !s.store.apply(c) {
		return 0, &tableservice.ConflictError{}
	}
	if s.loseAnswers {
		return 0, tableservice.ErrUnknownOutcome.Errorf("lost")
	}
	return s.store.version, nil
}

func (s *sharedStore) set(down, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseAnswers = down, loseAnswers
}

// calls returns the number of commits that took effect and of reads.
func (s *sharedStore) calls() (commits uint64, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.version, s.reads
}

// busyPools is the home of a pool of which wants units are wanted in total.
type busyPools struct {
	mu              sync.Mutex
	wants, capacity int
}

func (p *busyPools) Usages([]string) (map[string]Usage, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := min(p.wants, p.capacity)
	return map[string]Usage{team1: {Home: true, Valid: true, Known: true, Capacity: p.capacity, Out: out, Want: p.wants - out}}, testReserve
}

func (p *busyPools) SetShares(shares map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = shares[team1]
}

func (p *busyPools) want(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wants = n
}

func (p *busyPools) share() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity
}

// runPair runs a duty of each failure domain over one store until the test ends.
func runPair(t *testing.T) (s *sharedStore, a, b *busyPools) {
	s = &sharedStore{store: newStore()}
	a, b = &busyPools{}, &busyPools{}
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	for domain, pools := range map[string]*busyPools{"a": a, "b": b} {
		d := NewDuty(DutyOptions{
			State: Options{Domain: domain, Self: "vm-" + domain},
			Store: s,
			Pools: pools,
			Now:   func() time.Duration { return time.Since(start) },
		})
		d.SetTeams([]Team{{Name: team1, Base: pairBase}})
		go func() { _ = d.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return s, a, b
}

func TestDutiesMoveSharesAndReturnThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, b := runPair(t)
		time.Sleep(20 * time.Second)
		must.Eq(t, 8, a.share())
		must.Eq(t, 4, b.share())
		b.want(12)
		// The answers of some commits are lost.
		s.set(false, true)
		time.Sleep(5 * time.Second)
		s.set(false, false)
		time.Sleep(30 * time.Second)
		must.Eq(t, 8, b.share())
		must.Eq(t, 4, a.share())
		a.want(8)
		time.Sleep(30 * time.Second)
		must.Eq(t, 8, a.share())
		must.Eq(t, 4, b.share())
	})
}

func TestStoreOutageEndsOnlyBorrowedUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, a, b := runPair(t)
		time.Sleep(20 * time.Second)
		b.want(12)
		time.Sleep(30 * time.Second)
		must.Eq(t, 8, b.share())
		s.set(true, false)
		time.Sleep(DefaultLease + tickInterval)
		must.Eq(t, 4, b.share())
		must.Eq(t, 4, a.share())
		s.set(false, false)
		time.Sleep(DefaultRenewInterval)
		must.Eq(t, 8, b.share())
	})
}

func TestIdleDutiesCommitNothingAndReadRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := runPair(t)
		time.Sleep(time.Minute)
		commits, reads := s.calls()
		time.Sleep(10 * time.Minute)
		commitsAfter, readsAfter := s.calls()
		must.Eq(t, commits, commitsAfter)
		must.Eq(t, 2*int(10*time.Minute/idleReadInterval), readsAfter-reads)
	})
}
