package claim

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// TestMain fixes the seed, so that each run gives the same result. Flags of the command
// line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	testDomain = "hall-a"
	testTick   = 50 * time.Millisecond
	// maxDeliveries is more messages than any step can cause.
	maxDeliveries = 20_000
)

// packet is a message on the network.
type packet struct {
	from    membership.Member
	address string
	duty    peerpb.Duty
	body    []byte
}

// vm is a process: its state and what the test has seen of it.
type vm struct {
	self   membership.Member
	state  *State
	paused bool
	skew   time.Duration
	grants []Hash
	ended  map[uint64]Done
}

// testCluster connects processes by a simulated network. Time passes in tick only.
type testCluster struct {
	now             time.Duration
	config          membership.Config
	nonce           uint64
	vms             map[string]*vm
	packets         []packet
	number          uint64
	lastIncarnation uint64
	calls           map[uint64]callInfo
	onDone          func(v *vm, d Done)
	// loses says which messages the network loses; nil loses none.
	loses func(p packet) bool
}

type callInfo struct {
	hash  Hash
	token string
	kind  callKind
}

func newCluster() *testCluster {
	return &testCluster{vms: map[string]*vm{}, calls: map[uint64]callInfo{}}
}

func vmAddress(id string) string { return "addr-" + id }

func (w *testCluster) nextNonce() uint64 {
	w.nonce++
	// Spread the bits, so that later nonces are not always larger.
	return w.nonce * 0x9e3779b97f4a7c15
}

// boot starts a process on a VM; it replaces an earlier one.
func (w *testCluster) boot(id string, seeds ...string) *vm {
	w.lastIncarnation++
	self := membership.Member{ID: id, Incarnation: w.lastIncarnation, Address: vmAddress(id)}
	v := &vm{self: self, ended: map[uint64]Done{}, skew: time.Duration(w.lastIncarnation) * 7 * time.Second}
	cfg := w.config
	cfg.Self = self
	cfg.Nonce = w.nextNonce
	for _, seed := range seeds {
		cfg.Seeds = append(cfg.Seeds, vmAddress(seed))
	}
	m := membership.New(cfg, w.now+v.skew)
	v.state = New(Config{}, m)
	w.vms[id] = v
	return v
}

func (w *testCluster) ids() []string { return slices.Sorted(maps.Keys(w.vms)) }

// flush collects the ended calls and outgoing messages of a process.
func (w *testCluster) flush(v *vm) {
	for _, d := range v.state.TakeDone() {
		v.ended[d.Waiter] = d
		if w.onDone != nil {
			w.onDone(v, d)
		}
	}
	w.enqueue(v, peerpb.Duty_DUTY_MEMBERSHIP, v.state.Membership().TakeOutgoing())
	w.enqueue(v, peerpb.Duty_DUTY_CLAIM, v.state.TakeOutgoing())
}

func (w *testCluster) enqueue(v *vm, duty peerpb.Duty, out []membership.Outgoing) {
	for _, o := range out {
		address := o.To.Address
		if address == "" {
			address = vmAddress(o.To.ID)
		}
		w.packets = append(w.packets, packet{from: v.self, address: address, duty: duty, body: o.Body})
	}
}

// deliver passes a message to the process at the address, which may be a successor of
// the intended one.
func (w *testCluster) deliver(p packet) {
	if w.loses != nil && w.loses(p) {
		return
	}
	for _, id := range w.ids() {
		v := w.vms[id]
		if v.self.Address != p.address || v.paused {
			continue
		}
		handle := v.state.HandleClaim
		if p.duty == peerpb.Duty_DUTY_MEMBERSHIP {
			handle = v.state.HandleMembership
		}
		if err := handle(w.now+v.skew, p.from.ID, p.from.Incarnation, p.body); err != nil {
			panic(err)
		}
		w.flush(v)
	}
}

func (w *testCluster) tick(d time.Duration) {
	w.now += d
	for _, id := range w.ids() {
		if v := w.vms[id]; !v.paused {
			v.state.Tick(w.now + v.skew)
			w.flush(v)
		}
	}
}

// drain delivers all messages in order, also those that they cause. It panics when
// messages answer each other endlessly.
func (w *testCluster) drain() {
	for n := 0; len(w.packets) > 0; n++ {
		if n > maxDeliveries {
			panic("messages never end:\n" + w.summary())
		}
		p := w.packets[0]
		w.packets = w.packets[1:]
		w.deliver(p)
	}
}

// run lets time pass on a network without faults.
func (w *testCluster) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.tick(testTick)
		w.drain()
	}
}

// call starts a call and returns its number.
func (w *testCluster) call(v *vm, kind callKind, token, unique string) uint64 {
	w.number++
	h := HashKey(key.Key{Domain: testDomain, Epoch: token, Unique: unique})
	w.calls[w.number] = callInfo{hash: h, token: token, kind: kind}
	v.state.startCall(w.now+v.skew, waiter{number: w.number, kind: kind}, token, h)
	w.flush(v)
	return w.number
}

// claim claims a key and lets the network answer the call.
func (w *testCluster) claim(v *vm, token, unique string) Done {
	return w.answer(v, kindClaim, token, unique)
}

// answer starts a call, delivers all messages and returns the end of the call.
func (w *testCluster) answer(v *vm, kind callKind, token, unique string) Done {
	number := w.call(v, kind, token, unique)
	w.drain()
	return v.ended[number]
}

func (w *testCluster) summary() string {
	out := ""
	for _, id := range w.ids() {
		v := w.vms[id]
		m := v.state.Membership()
		out += fmt.Sprintf("%s/%d view=%d/%x members=%v active=%v opened=%v settled=%v epoch=%s paused=%v\n",
			id, v.self.Incarnation, m.View().ID.Number, m.View().ID.Nonce, m.View().Members, m.Active(), v.state.Opened(), m.Settled(), m.CurrentEpoch(), v.paused)
	}
	return out
}
