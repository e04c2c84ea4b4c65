// Package configuration holds the profiles and team quotas in force on one VM,
// spreads changes between VMs and writes operators' changes.
//
// State is the configuration at one version; the version never falls, and a
// change set applies as a whole or not at all. Replica decides, from the time,
// the results of reads and peers' messages, when to read the store and which
// peer to ask. Duty is the goroutine that runs a Replica. Editor writes changes
// for operators; of changes based on the same version of an object, at most one
// takes effect. docs/CONFIGURATION.md describes the design.
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
	// tickInterval is the time between two calls of Replica.Tick.
	tickInterval = 250 * time.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = time.Second
	// inboxSize is the most requests of peers that wait for the duty.
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
	// Log receives changes of state; nil discards them.
	Log *slog.Logger
	// Scope receives counters; nil discards them.
	Scope tally.Scope
}

// Duty keeps the configuration of one VM up to date.
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
	// membersSet and remotesSet say that members and remotes are not yet passed
	// to the replica.
	membersSet, remotesSet bool

	// replica, reported and failing are used only by the goroutine of Run.
	replica  *Replica
	reported Counts
	failing  bool
}

// request is the messages of one peer and the channel for the replies.
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

// public is the replica's state as published to other goroutines.
type public struct {
	digest digest
	ready  bool
	err    error
}

// New returns a duty that does nothing until Run.
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

// OnChange adds a function that is called with each new snapshot, in the order
// of versions. It runs in the duty's goroutine and must not block. All functions
// must be added before Run.
func (d *Duty) OnChange(f func(*Snapshot)) { d.onChange = append(d.onChange, f) }

// SetMembers sets the entry VMs of the failure domain. Before the first view,
// callers pass those of the platform's VM list, with incarnation 0.
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

// signal wakes Run.
func (d *Duty) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Digest encodes the message that every heartbeat carries for DUTY_CONFIGURATION.
func (d *Duty) Digest() []byte {
	digest := d.public.Load().digest
	digest.sentAt = d.options.Now()
	return digest.encode()
}

// Ready reports whether the VM may serve; see Replica.Ready.
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

// HandlePeer passes messages of another VM to the duty and returns the replies.
// Messages are dropped when the inbox is full; later heartbeats repeat their
// content.
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

// Run keeps the configuration up to date until the context ends, then returns
// nil. It must be called at most once.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var reading sync.WaitGroup
	defer reading.Wait()
	for {
		d.takeAddresses()
		d.execute(ctx, &reading, d.replica.Tick(d.options.Now()))
		d.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.wake:
		case result := <-d.reads:
			d.execute(ctx, &reading, d.readDone(result))
		case r := <-d.inbox.Items():
			d.serve(ctx, &reading, r)
		}
	}
}

// takeAddresses passes newly set members and remotes to the replica.
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

// serve passes one peer's messages to the replica and returns its replies.
func (d *Duty) serve(ctx context.Context, reading *sync.WaitGroup, r request) {
	var replies [][]byte
	for _, body := range r.bodies {
		reply, out := d.replica.HandlePeer(d.options.Now(), r.from, body)
		if reply != nil {
			replies = append(replies, reply)
		}
		d.execute(ctx, reading, out)
	}
	r.replies <- replies
}

// execute publishes a change, sends the messages and starts the read of out.
func (d *Duty) execute(ctx context.Context, reading *sync.WaitGroup, out Output) {
	if out.Changed {
		d.publishSnapshot()
	}
	for _, s := range out.Sends {
		d.options.Sender.Send(s.Address, s.Incarnation, peerpb.Duty_DUTY_CONFIGURATION, s.Body)
	}
	if out.Read {
		sentAt := d.options.Now()
		reading.Go(func() { d.read(ctx, sentAt, out.Since) })
	}
}

// read reads the store, in a goroutine of its own: the store may take long, and
// peers' messages must not wait for it. One read runs at a time, so sending the
// result never blocks.
func (d *Duty) read(ctx context.Context, sentAt time.Duration, since uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changes, err := d.options.Store.Changes(ctx, Table, since)
	d.reads <- readResult{sentAt: sentAt, since: since, changes: changes, err: err}
}

// readDone passes the result of a read to the replica.
func (d *Duty) readDone(result readResult) Output {
	set := changeSet(result.since, result.changes)
	return d.replica.ReadDone(d.options.Now(), result.sentAt, result.changes.Version, set, result.err)
}

// changeSet converts the rows of a read. The set's version is that of the newest
// row, not the newest commit of the store, which counts other tables too.
func changeSet(since uint64, changes tableservice.Changes) ChangeSet {
	set := ChangeSet{Since: since, Version: since}
	for _, row := range changes.Rows {
		set.Rows = append(set.Rows, Row{Key: row.Key, Version: row.Version, Value: row.Value})
		set.Version = max(set.Version, row.Version)
	}
	return set
}

// publishSnapshot publishes the new configuration and calls the functions of
// OnChange.
func (d *Duty) publishSnapshot() {
	snapshot := d.replica.Snapshot()
	d.snapshot.Store(snapshot)
	d.publishState()
	if invalid := snapshot.Invalid(); len(invalid) > 0 {
		d.options.Log.Warn("configuration rows can't be read and are left out; apply them again", "version", snapshot.Version(), "rows", invalid)
	}
	for _, f := range d.onChange {
		f(snapshot)
	}
}

// publish publishes the replica's state, logs changes of the store's
// availability and updates the counters.
func (d *Duty) publish() {
	if d.replica.Loaded() && !d.Snapshot().Loaded() {
		// The first read found an empty configuration, which is no change of
		// version, so that publishSnapshot has not run.
		d.publishSnapshot()
	}
	d.publishState()
	d.logStore(d.replica.reads.err)
	d.reportCounts(d.replica.Counts())
}

// publishState makes the replica's state visible to other goroutines. It must
// run before the functions of OnChange, which may read the digest.
func (d *Duty) publishState() {
	r := d.replica
	d.public.Store(&public{
		digest: digest{version: r.Version(), readAt: r.reads.doneAt, hasRead: r.reads.done},
		ready:  r.Ready(d.options.Now()),
		err:    r.reads.err,
	})
}

// logStore logs when reads of the store begin to fail or succeed again.
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

// reportCounts adds the increase since the last call to the counters.
func (d *Duty) reportCounts(c Counts) {
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
