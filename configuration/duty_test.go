package configuration

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/tableservice"
)

// lockedStore is a fakeStore for concurrent reads and writes. With hangs, reads
// block until their context ends.
type lockedStore struct {
	mu    sync.Mutex
	store fakeStore
	hangs bool
}

func (s *lockedStore) Changes(ctx context.Context, table string, since uint64) (tableservice.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hangs {
		<-ctx.Done()
		return tableservice.Changes{}, ctx.Err()
	}
	return s.store.Changes(ctx, table, since)
}

func (s *lockedStore) put(t *testing.T, row Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := tableservice.Write{Table: Table, Key: row.Key, Value: json.RawMessage(row.Value)}
	_, err := s.store.apply(tableservice.Commit{Writes: []tableservice.Write{write}})
	must.NoError(t, err)
}

// dutyNetwork delivers messages between duties by address.
type dutyNetwork struct {
	ctx    context.Context
	duties map[string]*Duty
}

// dutySender sends one duty's messages over the network and returns the replies
// to it.
type dutySender struct {
	network *dutyNetwork
	self    peer.Sender
}

func (s dutySender) Send(address string, _ uint64, duty peerpb.Duty, body []byte) bool {
	to := s.network.duties[address]
	if to == nil || duty != peerpb.Duty_DUTY_CONFIGURATION {
		return false
	}
	go func() {
		replies := to.HandlePeer(s.network.ctx, s.self, [][]byte{body})
		from := s.network.duties["a1"]
		if s.self.ID == second.ID {
			from = s.network.duties["a2"]
		}
		from.HandlePeer(s.network.ctx, to.options.Self, replies)
	}()
	return true
}

func newTestDuty(n *dutyNetwork, self peer.Sender, store Store) *Duty {
	start := time.Now()
	return New(Options{
		Self:   self,
		Store:  store,
		Sender: dutySender{n, self},
		Now:    func() time.Duration { return time.Since(start) },
	})
}

// TestDutiesSpreadChanges runs two duties on fake time, one with a store that
// answers and one whose store hangs: both get every change in time.
func TestDutiesSpreadChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &dutyNetwork{ctx: ctx, duties: map[string]*Duty{}}
		store, hanging := &lockedStore{}, &lockedStore{hangs: true}
		a, b := newTestDuty(n, first, store), newTestDuty(n, second, hanging)
		n.duties["a1"], n.duties["a2"] = a, b
		var versions []uint64
		b.OnChange(func(s *Snapshot) {
			versions = append(versions, s.Version())
			message, err := decode(b.Digest())
			must.NoError(t, err)
			must.Eq(t, s.Version(), message.GetDigest().GetVersion(), must.Sprint("OnChange runs after the digest has the new version"))
		})
		var running sync.WaitGroup
		for _, d := range n.duties {
			d.SetMembers(both)
			running.Go(func() { must.NoError(t, d.Run(ctx)) })
		}
		store.put(t, profileRow("a", 1))
		store.put(t, profileRow("b", 2))
		<-time.After(maxChangeDelay)
		synctest.Wait()
		must.Eq(t, 2, a.Snapshot().Version())
		must.Eq(t, 2, b.Snapshot().Version())
		must.True(t, b.Ready())
		must.NotEq(t, "", b.Status().StoreError)
		must.Eq(t, -1, b.Status().StoreReadAgeMS)
		must.Eq(t, "", a.Status().StoreError)

		store.put(t, deletedRow("a", 3))
		<-time.After(maxChangeDelay)
		synctest.Wait()
		_, there := b.Snapshot().Profile("a")
		must.False(t, there)
		cancel()
		running.Wait()
		must.Eq(t, 3, versions[len(versions)-1])
		must.Nil(t, b.HandlePeer(context.Background(), first, nil), must.Sprint("the duty has ended"))
	})
}

// TestEmptyStoreIsLoaded requires that a read of an empty store counts as loaded,
// unlike a configuration that was never read.
func TestEmptyStoreIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &dutyNetwork{ctx: ctx, duties: map[string]*Duty{}}
		d := newTestDuty(n, first, &lockedStore{})
		must.False(t, d.Snapshot().Loaded())
		var running sync.WaitGroup
		running.Go(func() { must.NoError(t, d.Run(ctx)) })
		synctest.Wait()
		must.True(t, d.Snapshot().Loaded())
		must.False(t, d.Ready())
		d.SetMembers(both[:1])
		synctest.Wait()
		must.True(t, d.Ready())
		cancel()
		running.Wait()
	})
}
