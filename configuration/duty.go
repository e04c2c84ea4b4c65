// Package configuration holds the profiles and team quotas in force on one VM
// and spreads changes between VMs, and it writes operators' changes.
//
// State is the configuration at one version, Replica decides when to read the
// store and which peer to ask, Duty is the goroutine around them, and Editor
// writes changes for operators. docs/CONFIGURATION.md describes the design.
package configuration

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 250 * time.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = time.Second
	// inboxSize is the most messages of peers that wait for the duty.
	inboxSize = 256
)

// Store is the part of the table service that VMs read.
type Store interface {
	// Changes returns the rows of a table written after a commit.
	Changes(ctx context.Context, table string, since uint64) (tableservice.Changes, error)
}

// Sender sends messages to peers. It never blocks and reports whether there was
// room.
type Sender interface {
	Send(address string, incarnation uint64, duty peerpb.Duty, body []byte) bool
}

// Options are the settings of a Duty.
type Options struct {
	// Self identifies this process.
	Self peer.Sender
	// Times are the intervals; zero takes DefaultTimes.
	Times  Times
	Store  Store
	Sender Sender
	// Now is the monotonic time since the start of the process.
	Now func() time.Duration
	// Log gets changes of state; nil is silent.
	Log *slog.Logger
	// Scope gets counters; nil is none.
	Scope tally.Scope
}

// Duty keeps the configuration of one VM.
type Duty struct {
	options  Options
	inbox    *ring.Ring[request]
	reads    chan readResult
	wake     chan struct{}
	stopped  chan struct{}
	onChange []func(*Snapshot)
	snapshot atomic.Pointer[Snapshot]
	public   atomic.Pointer[public]

	mu      sync.Mutex
	members []Member
	remotes []string
	// membersSet and remotesSet say that new ones wait to be taken.
	membersSet, remotesSet bool

	// replica and reported are used by the goroutine of Run alone.
	replica  *Replica
	reported Counts
	failing  bool
}

// request is messages of one peer with the way back for the answers.
type request struct {
	from    peer.Sender
	bodies  [][]byte
	replies chan [][]byte
}

// readResult is the answer of the store to one read.
type readResult struct {
	sentAt  time.Duration
	since   uint64
	changes tableservice.Changes
	err     error
}

// public is what other goroutines see of the replica.
type public struct {
	digest digest
	ready  bool
	err    error
}

// New makes a duty. Run starts it.
func New(options Options) *Duty {
	if options.Times == (Times{}) {
		options.Times = DefaultTimes()
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	d := &Duty{
		options: options,
		inbox:   ring.New[request](inboxSize),
		reads:   make(chan readResult, 1),
		wake:    make(chan struct{}, 1),
		stopped: make(chan struct{}),
		replica: NewReplica(options.Self, options.Times, options.Now()),
	}
	d.snapshot.Store(d.replica.Snapshot())
	d.public.Store(&public{})
	return d
}

// Snapshot returns the configuration in force, never nil.
func (d *Duty) Snapshot() *Snapshot { return d.snapshot.Load() }

// OnChange adds a function that gets each new snapshot, in the order of
// versions. It runs in the duty's goroutine and must not block. Add all before
// Run.
func (d *Duty) OnChange(f func(*Snapshot)) { d.onChange = append(d.onChange, f) }

// SetMembers sets the entry VMs of the failure domain. Before the first view,
// those of the platform's VM list serve, with incarnation 0.
func (d *Duty) SetMembers(members []Member) {
	d.mu.Lock()
	d.members, d.membersSet = members, true
	d.mu.Unlock()
	d.signal()
}

// SetRemotes sets the peer addresses of entry VMs of other failure domains.
func (d *Duty) SetRemotes(addresses []string) {
	d.mu.Lock()
	d.remotes, d.remotesSet = addresses, true
	d.mu.Unlock()
	d.signal()
}

func (d *Duty) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Digest is the message to put into every heartbeat, for DUTY_CONFIGURATION.
func (d *Duty) Digest() []byte {
	digest := d.public.Load().digest
	digest.sentAt = d.options.Now()
	return digest.encode()
}

// Ready says whether the VM has caught up enough to serve; see Replica.Ready.
func (d *Duty) Ready() bool { return d.public.Load().ready }

// Status is the configuration's part of the admin port's status.
func (d *Duty) Status() adminapi.Configuration {
	snapshot, public := d.Snapshot(), d.public.Load()
	status := adminapi.Configuration{
		Version:        snapshot.Version(),
		Loaded:         snapshot.Loaded(),
		StoreReadAgeMS: -1,
		Invalid:        snapshot.Invalid(),
	}
	if public.digest.hasRead {
		status.StoreReadAgeMS = (d.options.Now() - public.digest.readAt).Milliseconds()
	}
	if public.err != nil {
		status.StoreError = public.err.Error()
	}
	return status
}

// HandlePeer takes messages of another VM and returns the answers. Messages are
// dropped when too many wait; heartbeats repeat what they say.
func (d *Duty) HandlePeer(ctx context.Context, from peer.Sender, bodies [][]byte) [][]byte {
	r := request{from: from, bodies: bodies, replies: make(chan [][]byte, 1)}
	if !d.inbox.Offer(r) {
		d.options.Scope.Counter("configuration_messages_dropped").Inc(int64(len(bodies)))
		return nil
	}
	select {
	case replies := <-r.replies:
		return replies
	case <-ctx.Done():
		return nil
	case <-d.stopped:
		return nil
	}
}

// Run keeps the configuration until the context ends, then returns nil. It runs
// once.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var reading sync.WaitGroup
	defer reading.Wait()
	for {
		d.takeAddresses()
		d.act(ctx, &reading, d.replica.Tick(d.options.Now()))
		d.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.wake:
		case result := <-d.reads:
			d.act(ctx, &reading, d.readDone(result))
		case r := <-d.inbox.Items():
			d.serve(ctx, &reading, r)
		}
	}
}

func (d *Duty) takeAddresses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.membersSet {
		d.replica.SetMembers(d.members)
	}
	if d.remotesSet {
		d.replica.SetRemotes(d.remotes)
	}
	d.membersSet, d.remotesSet = false, false
}

func (d *Duty) serve(ctx context.Context, reading *sync.WaitGroup, r request) {
	var replies [][]byte
	for _, body := range r.bodies {
		reply, out := d.replica.HandlePeer(d.options.Now(), r.from, body)
		if reply != nil {
			replies = append(replies, reply)
		}
		d.act(ctx, reading, out)
	}
	r.replies <- replies
}

// act does what the replica asks for.
func (d *Duty) act(ctx context.Context, reading *sync.WaitGroup, out Output) {
	if out.Changed {
		d.changed()
	}
	for _, s := range out.Sends {
		d.options.Sender.Send(s.Address, s.Incarnation, peerpb.Duty_DUTY_CONFIGURATION, s.Body)
	}
	if out.Read {
		sentAt := d.options.Now()
		reading.Go(func() { d.read(ctx, sentAt, out.Since) })
	}
}

// read is the only other goroutine: the store may take long, and peers' messages
// must not wait for it. One read runs at a time, so the result always has room.
func (d *Duty) read(ctx context.Context, sentAt time.Duration, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changes, err := d.options.Store.Changes(ctx, Table, since)
	d.reads <- readResult{sentAt: sentAt, since: since, changes: changes, err: err}
}

func (d *Duty) readDone(result readResult) Output {
	set := changeSet(result.since, result.changes)
	return d.replica.ReadDone(d.options.Now(), result.sentAt, result.changes.Version, set, result.err)
}

// changeSet takes the rows of a read. Its version is that of the newest row, not
// the newest commit of the store, which counts other tables too.
func changeSet(since uint64, changes tableservice.Changes) ChangeSet {
	set := ChangeSet{Since: since, Version: since}
	for _, row := range changes.Rows {
		set.Rows = append(set.Rows, Row{Key: row.Key, Version: row.Version, Value: row.Value})
		set.Version = max(set.Version, row.Version)
	}
	return set
}

func (d *Duty) changed() {
	snapshot := d.replica.Snapshot()
	d.snapshot.Store(snapshot)
	d.show()
	if invalid := snapshot.Invalid(); len(invalid) > 0 {
		d.options.Log.Warn("configuration rows can't be read and are left out; apply them again", "version", snapshot.Version(), "rows", invalid)
	}
	for _, f := range d.onChange {
		f(snapshot)
	}
}

// publish shows the replica's state and counts.
func (d *Duty) publish() {
	if d.replica.Loaded() && !d.Snapshot().Loaded() {
		// The configuration is known to be empty.
		d.changed()
	}
	d.show()
	d.logStore(d.replica.reads.err)
	d.count(d.replica.Counts())
}

// show makes the replica's state visible to other goroutines. It comes before
// the functions of OnChange, which may ask for the digest.
func (d *Duty) show() {
	r := d.replica
	d.public.Store(&public{
		digest: digest{version: r.Version(), readAt: r.reads.doneAt, hasRead: r.reads.done},
		ready:  r.Ready(d.options.Now()),
		err:    r.reads.err,
	})
}

// logStore writes a line when the store stops or starts to answer.
func (d *Duty) logStore(err error) {
	if failing := err != nil; failing != d.failing {
		d.failing = failing
		if failing {
			d.options.Log.Warn("configuration store can't be read; the held version stays in force", "error", err)
			return
		}
		d.options.Log.Info("configuration store can be read again")
	}
}

func (d *Duty) count(c Counts) {
	for _, counter := range []struct {
		name      string
		now, then uint64
	}{
		{"configuration_reads", c.Reads, d.reported.Reads},
		{"configuration_reads_failed", c.ReadsFailed, d.reported.ReadsFailed},
		{"configuration_reads_stale", c.ReadsStale, d.reported.ReadsStale},
		{"configuration_pulls", c.Pulls, d.reported.Pulls},
		{"configuration_remote_pulls", c.RemotePulls, d.reported.RemotePulls},
		{"configuration_applied", c.Applied, d.reported.Applied},
		{"configuration_ignored", c.Ignored, d.reported.Ignored},
		{"configuration_rejected", c.Rejected, d.reported.Rejected},
	} {
		if counter.now > counter.then {
			d.options.Scope.Counter(counter.name).Inc(int64(counter.now - counter.then))
		}
	}
	d.reported = c
}
