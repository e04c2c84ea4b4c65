package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result. A flag of the command
// line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fixture is one duty with its platform, its peers and a record of its calls.
type fixture struct {
	duty *Duty
	mu   sync.Mutex
	// list and err are the platform's answer; since holds the versions of the requests.
	list  tableservice.List
	err   error
	since []uint64
	// published holds the versions that OnList got, each added after onList.
	published []uint64
	onList    func(tableservice.List)
	digest    []byte
	sent      [][]byte
	// pushed counts the messages to other VMs of newDomain.
	pushed int
	log    bytes.Buffer
}

func (w *fixture) VMs(_ context.Context, domain string, since uint64) (tableservice.List, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = append(w.since, since)
	if domain != "a" {
		return tableservice.List{}, errors.New("wrong failure domain")
	}
	return w.list, w.err
}

func newFixture() *fixture {
	w := &fixture{onList: func(tableservice.List) {}}
	w.duty = New(Options{
		Domain: "a", Source: w, Interval: time.Second,
		OnList: func(l tableservice.List) {
			w.onList(l)
			w.published = append(w.published, l.Version)
		},
		SetDigest: func(body []byte) { w.digest = body },
		Send: func(_ string, _ uint64, duty peerpb.Duty, body []byte) bool {
			if duty == peerpb.Duty_DUTY_VM_LIST {
				w.sent = append(w.sent, body)
			}
			return true
		},
		Log: slog.New(slog.NewTextHandler(&w.log, nil)),
	})
	return w
}

func listOf(version uint64) tableservice.List {
	return tableservice.List{Version: version, VMs: []tableservice.VM{{ID: "vm" + string(rune('0'+version))}}}
}

func encode(t must.T, m message) []byte {
	body, err := json.Marshal(m)
	must.NoError(t, err)
	return body
}

func (w *fixture) handle(bodies ...[]byte) [][]byte {
	return w.duty.HandlePeer(context.Background(), peer.Sender{}, bodies)
}

// Lists come from the platform and from peers in random order. The list in force never
// gets older, and peers with an older one get it.
func TestNewestListStaysInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, newest := newFixture(), uint64(0)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			version := rapid.Uint64Range(0, 9).Draw(rt, "version")
			list := listOf(version)
			switch rapid.SampledFrom([]string{"platform", "peer", "digest", "ask"}).Draw(rt, "step") {
			case "platform":
				w.list, w.err = list, nil
				if rapid.Bool().Draw(rt, "down") {
					w.err, list.Version = errors.New("down"), 0
				}
				w.duty.poll(context.Background())
				must.Eq(rt, newest, w.since[len(w.since)-1])
				newest = max(newest, list.Version)
			case "peer":
				must.SliceEmpty(rt, w.handle([]byte("no message"), encode(rt, message{List: &list})))
				newest = max(newest, version)
			case "digest":
				w.sent = nil
				w.duty.OnDigest(Peer{ID: "vm", Incarnation: 1, Address: "address"}, encode(rt, message{Version: version}))
				if version > newest {
					must.Eq(rt, [][]byte{encode(rt, message{Version: newest, Ask: true})}, w.sent)
				} else {
					must.SliceEmpty(rt, w.sent)
				}
			case "ask":
				replies, held := w.handle(encode(rt, message{Version: version, Ask: true})), listOf(newest)
				if version < newest {
					must.Eq(rt, [][]byte{encode(rt, message{Version: newest, List: &held})}, replies)
				} else {
					must.SliceEmpty(rt, replies)
				}
			}
			must.Eq(rt, newest, w.duty.Version())
			if newest > 0 {
				must.Eq(rt, newest, w.published[len(w.published)-1])
				must.Eq(rt, encode(rt, message{Version: newest}), w.digest)
			}
		}
		for i := 1; i < len(w.published); i++ {
			must.Less(rt, w.published[i], w.published[i-1])
		}
	})
}

// A newer list arrives while an older one is being published.
func TestListsArePublishedInOrder(t *testing.T) {
	w := newFixture()
	w.onList = func(l tableservice.List) {
		newer := listOf(l.Version + 1)
		if newer.Version < 4 {
			w.handle(encode(t, message{List: &newer}))
		}
	}
	w.list = listOf(1)
	w.duty.poll(context.Background())
	must.Eq(t, []uint64{1, 2, 3}, w.published)
}

func TestListStaysInForceWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newFixture()
		w.list = listOf(3)
		go func() { _ = w.duty.Run(ctx) }()
		for _, err := range []error{nil, errors.New("down"), nil} {
			synctest.Wait()
			w.mu.Lock()
			w.err = err
			w.mu.Unlock()
			time.Sleep(5 * time.Second)
		}
		synctest.Wait()
		must.Eq(t, []uint64{3}, w.published)
		must.Len(t, 16, w.since)
		must.Eq(t, 1, strings.Count(w.log.String(), "can't be read"))
		must.Eq(t, 1, strings.Count(w.log.String(), "can be read again"))
		cancel()
		synctest.Wait()
	})
}

// Three VMs get each other's digests at once. First all can read the platform's list,
// then all but the reader, then the reader again.
func TestOneVMReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		vms := newDomain("c", "b", "a")
		for _, w := range vms {
			w.list = listOf(3)
			go func() { _ = w.duty.Run(ctx) }()
		}
		reads := func(seconds time.Duration) []int {
			var before, counts []int
			for _, w := range vms {
				before = append(before, w.reads())
			}
			time.Sleep(seconds * time.Second)
			synctest.Wait()
			for i, w := range vms {
				counts = append(counts, w.reads()-before[i])
			}
			return counts
		}
		reads(2)
		vms[0].pushed = 0
		must.Eq(t, []int{20, 2, 2}, reads(20))
		must.Eq(t, 0, vms[0].pushed, must.Sprint("a list was sent again"))
		vms[0].answer(listOf(4), nil)
		reads(1)
		for _, w := range vms {
			must.Eq(t, 4, w.duty.Version(), must.Sprint("a VM did not get the reader's new list"))
		}
		vms[0].answer(listOf(4), errors.New("down"))
		reads(2)
		must.Eq(t, []int{20, 20, 20}, reads(20))
		vms[0].answer(listOf(4), nil)
		reads(2)
		must.Eq(t, []int{20, 2, 2}, reads(20))
		cancel()
		synctest.Wait()
	})
}

// newDomain returns VMs of one view.
func newDomain(ids ...string) []*fixture {
	vms := make([]*fixture, len(ids))
	for i := range vms {
		vms[i] = newFixture()
	}
	for i, w := range vms {
		self := Peer{ID: ids[i], Incarnation: 1, Address: ids[i]}
		w.duty.options.Self = self.ID
		w.duty.options.Peers = func() []Peer {
			var peers []Peer
			for _, id := range ids {
				if id != self.ID {
					peers = append(peers, Peer{ID: id, Incarnation: 1, Address: id})
				}
			}
			return peers
		}
		w.duty.options.SetDigest = func(body []byte) {
			for k, other := range vms {
				if k != i {
					other.duty.OnDigest(self, body)
				}
			}
		}
		w.duty.options.Send = func(address string, _ uint64, _ peerpb.Duty, body []byte) bool {
			w.mu.Lock()
			w.pushed++
			w.mu.Unlock()
			vms[slices.Index(ids, address)].handle(body)
			return true
		}
	}
	return vms
}

func (w *fixture) reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.since)
}

func (w *fixture) answer(list tableservice.List, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list, w.err = list, err
}

// The digests of others decide whether a VM reads the list itself.
func TestVMFollowsOnlyReaderWithHighestID(t *testing.T) {
	peers := []Peer{{ID: "a", Incarnation: 1}, {ID: "c", Incarnation: 2}}
	reads, silent := encode(t, message{Version: 1, Reads: true}), encode(t, message{Version: 1})
	for _, c := range []struct {
		name    string
		self    string
		version uint64
		from    []Peer
		bodies  [][]byte
		want    bool
	}{
		{"the highest reads", "b", 1, []Peer{peers[1]}, [][]byte{reads}, true},
		{"the highest has sent no digest", "b", 1, nil, nil, false},
		{"the highest has stopped", "b", 1, []Peer{peers[1], peers[1]}, [][]byte{reads, silent}, false},
		{"another one reads", "b", 1, []Peer{peers[0]}, [][]byte{reads}, false},
		{"a predecessor of the highest read", "b", 1, []Peer{{ID: "c", Incarnation: 1}}, [][]byte{reads}, false},
		{"no list yet", "b", 0, []Peer{peers[1]}, [][]byte{reads}, false},
		{"this VM is the highest", "d", 1, []Peer{peers[1]}, [][]byte{reads}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture()
			w.duty.options.Self = c.self
			w.duty.options.Peers = func() []Peer { return peers }
			w.duty.updateList(listOf(c.version))
			for i, from := range c.from {
				w.duty.OnDigest(from, c.bodies[i])
			}
			must.Eq(t, c.want, w.duty.follows())
			must.Eq(t, !c.want, w.duty.isDue(0))
			must.True(t, w.duty.isDue(followedReads))
		})
	}
}

func TestReadersOutsideTheViewAreBounded(t *testing.T) {
	w := newFixture()
	member := Peer{ID: "member", Incarnation: 1}
	w.duty.options.Peers = func() []Peer { return []Peer{member} }
	w.duty.OnDigest(member, encode(t, message{Reads: true}))
	for i := range 3 * maxReaders {
		w.duty.OnDigest(Peer{ID: strconv.Itoa(i)}, encode(t, message{Reads: true}))
		must.LessEq(t, maxReaders, len(w.duty.readers))
	}
	must.MapContainsKey(t, w.duty.readers, "member")
}
