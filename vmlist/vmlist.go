// Package vmlist keeps the newest list of the failure domain's VMs and passes it to the
// other duties.
//
// The platform's list lags and may be unreachable; the newest one seen stays in force,
// and an older one never replaces it. The member with the highest id reads the list and
// sends a new one to the others. The others read the list themselves while that member
// can't, and every followedReads intervals in any case. The member with the lowest id
// reads the configuration, so that no member has to do both.
package vmlist

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/uber-go/tally/v4"
)

// Options are the settings of a Duty.
type Options struct {
	Domain string
	Source tableservice.VMList
	// Self is the id of this VM.
	Self string
	// Peers returns the other members of the view; nil stands for none.
	Peers func() []Peer
	// Interval is the time between two reads of the platform's list by the member that
	// reads for all.
	Interval time.Duration
	// OnList is called with each newer list.
	OnList func(tableservice.List)
	// SetDigest sets the digest that heartbeats carry to the peers.
	SetDigest func(body []byte)
	// Send sends a message to a peer.
	Send  func(address string, incarnation uint64, duty peerpb.Duty, body []byte) bool
	Scope tally.Scope
	Log   *slog.Logger
}

// Peer is another member of the view.
type Peer struct {
	ID          string
	Incarnation uint64
	// Address is the IP and port of the peer interface.
	Address string
}

// followedReads is the number of intervals between two reads by a VM for which another
// one reads.
const followedReads = 10

// maxReaders is the number of known readers from which on those outside the view are
// dropped.
const maxReaders = 64

// Duty reads the list, passes newer ones on and serves it to peers.
type Duty struct {
	options Options
	reads   tally.Counter
	failed  tally.Counter

	mu   sync.Mutex
	list tableservice.List
	// readsForAll says that this VM reads for the others.
	readsForAll bool
	// readers holds the incarnations of other VMs that report that they read for all.
	readers map[string]uint64
	// published is the state that was published last. publishing says that a goroutine
	// publishes the state; it also publishes every change until it is done.
	published  digestState
	publishing bool
	// readFails says that the last read failed, so that only changes are logged.
	readFails bool
}

// digestState is the state in a VM's digest.
type digestState struct {
	version     uint64
	readsForAll bool
}

// New returns a duty.
func New(o Options) *Duty {
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Duty{
		options: o,
		reads:   o.Scope.Tagged(map[string]string{"kind": "platform"}).Counter("messages_sent"),
		failed:  o.Scope.Counter("vm_list_reads_failed"),
		readers: map[string]uint64{},
	}
}

// Run reads the list when that is due, until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	passed := 0
	for {
		if d.isDue(passed) {
			d.poll(ctx)
			passed = 0
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			passed++
		}
	}
}

// isDue reports whether to read the list when some intervals have passed since the last
// read.
func (d *Duty) isDue(passed int) bool {
	return passed >= followedReads || !d.follows()
}

// follows reports whether this VM has a list and the member with the highest id, another
// one, reports that it reads for all.
func (d *Duty) follows() bool {
	peers := d.options.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list.Version == 0 || d.isReader(peers) {
		return false
	}
	reader := slices.MaxFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	incarnation, ok := d.readers[reader.ID]
	return ok && incarnation == reader.Incarnation
}

// isReader reports whether this VM has the highest id. While members disagree there may
// be two readers or none, which only changes the number of reads.
func (d *Duty) isReader(peers []Peer) bool {
	return !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID > d.options.Self })
}

// poll reads the list and publishes it if it is newer.
func (d *Duty) poll(ctx context.Context) {
	d.reads.Inc(1)
	list, err := d.options.Source.VMs(ctx, d.options.Domain, d.Version())
	if err != nil {
		d.failed.Inc(1)
		d.logChange(true, err)
		d.setReadsForAll(false)
		return
	}
	d.logChange(false, nil)
	peers := d.options.Peers()
	reads := len(peers) > 0 && d.isReader(peers)
	if d.updateList(list) && reads {
		d.push(list, peers)
	}
	d.setReadsForAll(reads)
}

// push sends a new list to all members at once instead of with the next heartbeat.
func (d *Duty) push(list tableservice.List, peers []Peer) {
	body, err := json.Marshal(message{Version: list.Version, List: &list})
	if err != nil {
		return
	}
	for _, p := range peers {
		d.options.Send(p.Address, p.Incarnation, peerpb.Duty_DUTY_VM_LIST, body)
	}
}

// logChange logs when reading the platform's list begins to fail and when it works again.
func (d *Duty) logChange(down bool, err error) {
	d.mu.Lock()
	changed := d.readFails != down
	d.readFails = down
	d.mu.Unlock()
	if !changed {
		return
	}
	if down {
		d.options.Log.Warn("the VM list can't be read, the last one stays in force", "error", err)
		return
	}
	d.options.Log.Info("the VM list can be read again")
}

// updateList puts a list in force if it is newer, and reports whether it is. A delayed
// answer must not bring back a VM that has left.
func (d *Duty) updateList(list tableservice.List) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Version <= d.list.Version {
		return false
	}
	d.list = list
	d.publish()
	return true
}

// setReadsForAll records whether this VM reads for the others, and publishes a change.
func (d *Duty) setReadsForAll(reads bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readsForAll = reads
	d.publish()
}

// publish sets the digest and passes a newer list to the other duties. The caller holds
// mu, which is released meanwhile. Lists may come from the platform and from peers
// concurrently. Only one goroutine at a time publishes, so that an older list is not
// passed on after a newer one.
func (d *Duty) publish() {
	if d.publishing {
		return
	}
	d.publishing = true
	for d.published != d.digestState() {
		newest, state := d.list, d.digestState()
		isNewer := state.version > d.published.version
		d.mu.Unlock()
		d.options.SetDigest(digest(state))
		if isNewer {
			d.options.OnList(newest)
		}
		d.mu.Lock()
		d.published = state
	}
	d.publishing = false
}

func (d *Duty) digestState() digestState {
	return digestState{version: d.list.Version, readsForAll: d.readsForAll}
}

// Version returns the version of the list in force, or 0 if there is none.
func (d *Duty) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Version
}

// message is a message or a digest of a peer.
type message struct {
	// Version is that of the sender's list.
	Version uint64 `json:"version"`
	// Ask asks for the receiver's list.
	Ask bool `json:"ask,omitempty"`
	// Reads says, in a digest, that the sender reads the list for all.
	Reads bool `json:"reads,omitempty"`
	// List is the sender's list.
	List *tableservice.List `json:"list,omitempty"`
}

// digest encodes the state for heartbeats.
func digest(n digestState) []byte {
	body, err := json.Marshal(message{Version: n.version, Reads: n.readsForAll})
	if err != nil {
		// The message holds only numbers and booleans, so it can always be encoded.
		panic(err)
	}
	return body
}

// OnDigest handles a peer's digest: it asks for the peer's list if that is newer.
func (d *Duty) OnDigest(from Peer, body []byte) {
	var m message
	if json.Unmarshal(body, &m) != nil {
		return
	}
	d.recordReader(from, m.Reads)
	if m.Version <= d.Version() {
		return
	}
	ask, err := json.Marshal(message{Version: d.Version(), Ask: true})
	if err != nil {
		return
	}
	d.options.Send(from.Address, from.Incarnation, peerpb.Duty_DUTY_VM_LIST, ask)
}

// recordReader records whether a peer reads for all.
func (d *Duty) recordReader(from Peer, reads bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reads {
		delete(d.readers, from.ID)
		return
	}
	if len(d.readers) >= maxReaders {
		d.dropOutsideReaders()
	}
	d.readers[from.ID] = from.Incarnation
}

// dropOutsideReaders drops the readers outside the view. It runs only when there are
// maxReaders, because a VM that is about to join reports only once that it reads.
func (d *Duty) dropOutsideReaders() {
	peers := d.options.Peers()
	for id := range d.readers {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id }) {
			delete(d.readers, id)
		}
	}
}

// HandlePeer implements peer.Handler.
func (d *Duty) HandlePeer(_ context.Context, _ peer.Sender, bodies [][]byte) [][]byte {
	var replies [][]byte
	for _, body := range bodies {
		if reply := d.handle(body); reply != nil {
			replies = append(replies, reply)
		}
	}
	return replies
}

func (d *Duty) handle(body []byte) []byte {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return nil
	}
	if m.List != nil {
		d.updateList(*m.List)
	}
	if !m.Ask || m.Version >= d.Version() {
		return nil
	}
	d.mu.Lock()
	list := d.list
	d.mu.Unlock()
	reply, err := json.Marshal(message{Version: list.Version, List: &list})
	if err != nil {
		return nil
	}
	return reply
}
