package configuration

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	step = 250 * time.Millisecond
	// maxChangeDelay is the time within which an accepted change is in force.
	maxChangeDelay = 6 * time.Second
)

// machine is one entry VM of the fuzz test.
type machine struct {
	replica *Replica
	self    peer.Sender
	domain  int
	born    time.Duration
	cutOff  bool // from the store
	version uint64
	// read is the store's answer that has not arrived yet.
	read *pendingRead
}

type pendingRead struct {
	sentAt  time.Duration
	since   uint64
	changes tableservice.Changes
	err     error
}

// envelope is one message in flight; process is the incarnation it is meant for.
type envelope struct {
	from    peer.Sender
	to      string
	process uint64
	body    []byte
	reply   bool
}

// operatorResult is the result of a change as reported to the operator.
type operatorResult struct {
	id       string
	accepted Accepted
	err      error
}

// world simulates the entry VMs of several failure domains and a store.
type world struct {
	t        *rapid.T
	now      time.Duration
	store    *fakeStore
	machines map[string]*machine
	process  uint64
	domains  int
	perVM    int
	inFlight []envelope
	// delivered are messages with change sets, to be delivered again.
	delivered []envelope
	cut       map[[2]string]bool
	results   []operatorResult
	changes   int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, store: &fakeStore{}, machines: map[string]*machine{}, domains: 2, perVM: 3, cut: map[[2]string]bool{}}
	for _, id := range w.ids() {
		w.start(id)
	}
	w.setMembers()
	return w
}

func (w *world) ids() []string {
	var ids []string
	for d := range w.domains {
		for i := range w.perVM {
			ids = append(ids, fmt.Sprintf("d%d-vm%d", d, i))
		}
	}
	return ids
}

func (w *world) start(id string) {
	w.process++
	m := &machine{self: peer.Sender{ID: id, Incarnation: w.process}, domain: int(id[1] - '0'), born: w.now}
	m.replica = NewReplica(m.self, DefaultTimes(), w.localTime(m))
	w.machines[id] = m
}

// localTime is the time since the start of a VM's process.
func (w *world) localTime(m *machine) time.Duration { return w.now - m.born }

// setMembers gives every VM the living VMs of its domain.
func (w *world) setMembers() {
	for _, m := range w.living() {
		var members []Member
		var remotes []string
		for _, other := range w.living() {
			if other.domain == m.domain {
				members = append(members, Member{ID: other.self.ID, Incarnation: other.self.Incarnation, Address: other.self.ID})
				continue
			}
			remotes = append(remotes, other.self.ID)
		}
		m.replica.SetMembers(members)
		m.replica.SetRemotes(remotes)
	}
}

// living lists the VMs by id.
func (w *world) living() []*machine {
	var list []*machine
	for _, id := range w.ids() {
		if m := w.machines[id]; m != nil {
			list = append(list, m)
		}
	}
	return list
}

func (w *world) act(m *machine, out Output) {
	for _, s := range out.Sends {
		w.inFlight = append(w.inFlight, envelope{from: m.self, to: s.Address, process: s.Incarnation, body: s.Body})
	}
	if out.Read {
		w.startRead(m, out.Since)
	}
}

// startRead takes the store's answer now; finishRead delivers it.
func (w *world) startRead(m *machine, since uint64) {
	must.Nil(w.t, m.read)
	read := &pendingRead{sentAt: w.localTime(m), since: since}
	read.changes, read.err = w.store.Changes(context.Background(), Table, since)
	if m.cutOff {
		read.err = tableservice.ErrUnavailable.Errorf("cut off")
	}
	m.read = read
}

func (w *world) finishRead(m *machine) {
	read := m.read
	if read == nil {
		return
	}
	m.read = nil
	set := changeSet(read.since, read.changes)
	w.act(m, m.replica.ReadDone(w.localTime(m), read.sentAt, read.changes.Version, set, read.err))
}

func (w *world) deliver(e envelope) {
	if message, err := decode(e.body); err == nil && message.GetChanges() != nil {
		w.delivered = append(w.delivered, e)
	}
	m := w.machines[e.to]
	wrongProcess := m != nil && e.process != 0 && e.process != m.self.Incarnation
	if m == nil || wrongProcess || w.cut[[2]string{e.from.ID, e.to}] {
		return
	}
	reply, out := m.replica.HandlePeer(w.localTime(m), e.from, e.body)
	if reply != nil && !e.reply {
		w.inFlight = append(w.inFlight, envelope{from: m.self, to: e.from.ID, process: e.from.Incarnation, body: reply, reply: true})
	}
	w.act(m, out)
}

// deliverSome delivers up to n messages in a drawn order and keeps copies of some
// for a second delivery.
func (w *world) deliverSome(n int) {
	for range n {
		if len(w.inFlight) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message")
		e := w.inFlight[i]
		if rapid.IntRange(0, 4).Draw(w.t, "keep a copy") > 0 {
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		}
		w.deliver(e)
	}
}

// heartbeats sends every VM's digest to the other VMs of its domain.
func (w *world) heartbeats() {
	for _, m := range w.living() {
		for _, other := range w.living() {
			if other != m && other.domain == m.domain {
				w.act(m, Output{Sends: []Send{{Address: other.self.ID, Body: m.replica.Digest(w.localTime(m))}}})
			}
		}
	}
}

func (w *world) tick(d time.Duration) {
	w.now += d
	for _, m := range w.living() {
		w.act(m, m.replica.Tick(w.localTime(m)))
	}
}
