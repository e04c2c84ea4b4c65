package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockward/burdockward/peer"
)

// Member is an entry VM of the same failure domain.
type Member struct {
	ID string
	// Incarnation identifies the process; 0 matches any, for VMs known only from
	// the platform's VM list.
	Incarnation uint64
	// Address is the peer address, "IP:port".
	Address string
}

// Times are the intervals of a Replica. docs/CONFIGURATION.md derives them.
type Times struct {
	// Poll is the time between two reads of the store by the leader, the member
	// with the lowest id.
	Poll time.Duration
	// Takeover is the age of the newest known read at which any VM reads the
	// store itself. It exceeds Poll plus a heartbeat interval.
	Takeover time.Duration
	// RetryMin is the wait after a failed read; it doubles with each further
	// failure up to RetryMax.
	RetryMin, RetryMax time.Duration
	// PullTimeout is the wait for a peer's changes before the next pull.
	PullTimeout time.Duration
	// ReadyWait is how long a new VM waits for its peers' versions before it
	// serves without them.
	ReadyWait time.Duration
}

// DefaultTimes keeps the delay of a change under 6 s at every VM that reaches
// the store, with a heartbeat interval of 2 s.
func DefaultTimes() Times {
	return Times{
		Poll:        time.Second,
		Takeover:    3250 * time.Millisecond,
		RetryMin:    250 * time.Millisecond,
		RetryMax:    2 * time.Second,
		PullTimeout: time.Second,
		ReadyWait:   5 * time.Second,
	}
}

// Send is a message to a peer.
type Send struct {
	Address string
	// Incarnation identifies the receiving process; 0 matches any.
	Incarnation uint64
	Body        []byte
}

// Output is what a Replica asks its driver to do.
type Output struct {
	// Read asks for a read of the store for the changes after Since. The driver
	// must report the result, also an error, with ReadDone.
	Read  bool
	Since uint64
	Sends []Send
	// Changed says that the version rose.
	Changed bool
}

// Replica holds the configuration of one VM and decides when to read the store
// and which peer to ask. It has no clock and sends nothing itself: every call
// takes the monotonic time since the start of the process.
type Replica struct {
	self    peer.Sender
	times   Times
	state   State
	loaded  bool
	members []Member
	// membersKnown says that SetMembers has been called.
	membersKnown bool
	remotes      []string

	// freshAt is a time at which the held version was the newest of the store,
	// as far as known; only valid with fresh.
	fresh   bool
	freshAt time.Duration
	reads   reads
	pull    pull
	peers   map[string]*peerClock
	// highest is the highest version that a member's digest named.
	highest uint64
	ready   bool
	started time.Duration
	// nextMember and nextRemote rotate through the VMs to ask.
	nextMember, nextRemote int
	counts                 Counts
}

// reads is the state of reading the store.
type reads struct {
	pending bool
	// notBefore delays the next read after a failure.
	notBefore time.Duration
	failures  int
	// storeVersion is the newest commit that a read has returned.
	storeVersion uint64
	// done says that a read has succeeded; doneAt is when the newest successful
	// one was sent.
	done   bool
	doneAt time.Duration
	err    error
}

// pull is a request for changes that is under way.
type pull struct {
	active bool
	until  time.Duration
}

// Counts are totals since the process started, for metrics.
type Counts struct {
	Reads, ReadsFailed, ReadsStale uint64
	Pulls, RemotePulls             uint64
	// Ignored counts change sets that were not newer, Rejected those with a gap
	// or a contradiction and unreadable messages.
	Applied, Ignored, Rejected uint64
}

// NewReplica returns a replica that holds no configuration.
func NewReplica(self peer.Sender, times Times, now time.Duration) *Replica {
	return &Replica{self: self, times: times, started: now, peers: map[string]*peerClock{}}
}

// Version is the version in force.
func (r *Replica) Version() uint64 { return r.state.Version() }

// Loaded reports whether a configuration has come from the store or a peer.
func (r *Replica) Loaded() bool { return r.loaded }

// Snapshot returns the configuration in force.
func (r *Replica) Snapshot() *Snapshot { return newSnapshot(&r.state, r.loaded) }

// Counts returns the totals.
func (r *Replica) Counts() Counts { return r.counts }

// SetMembers sets the other members of the failure domain's view; this VM is
// left out when it is among them.
func (r *Replica) SetMembers(members []Member) {
	r.membersKnown = true
	r.members = nil
	for _, m := range members {
		if m.ID != r.self.ID {
			r.members = append(r.members, m)
		}
	}
	slices.SortFunc(r.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	r.prunePeers()
}

// SetRemotes sets peer addresses of entry VMs of other failure domains, which
// are asked while the store can't be read.
func (r *Replica) SetRemotes(addresses []string) { r.remotes = slices.Clone(addresses) }

// Tick starts a read of the store when one is due, and, while nothing is loaded,
// a pull from the next member.
func (r *Replica) Tick(now time.Duration) Output {
	out := Output{}
	if r.isReadDue(now) {
		r.reads.pending = true
		r.counts.Reads++
		out.Read, out.Since = true, r.Version()
	}
	if !r.loaded && len(r.members) > 0 && r.canPull(now) {
		m := r.members[r.nextMember%len(r.members)]
		r.nextMember++
		out.Sends = append(out.Sends, r.startPull(now, m))
	}
	return out
}

// isReadDue reports whether to read the store now: the leader after Poll, other
// members after Takeover.
func (r *Replica) isReadDue(now time.Duration) bool {
	if r.reads.pending || now < r.reads.notBefore {
		return false
	}
	if !r.fresh {
		return true
	}
	most := r.times.Takeover
	if r.isLeader() {
		most = r.times.Poll
	}
	return now-r.freshAt >= most
}

// isLeader reports whether this VM has the lowest id of its view. Two leaders,
// or none, change only the number of reads.
func (r *Replica) isLeader() bool {
	return len(r.members) == 0 || r.self.ID < r.members[0].ID
}

// ReadDone takes the result of the read that was sent at sentAt: the newest
// commit of the store and the changes after since, or an error.
func (r *Replica) ReadDone(now, sentAt time.Duration, storeVersion uint64, set ChangeSet, err error) Output {
	r.reads.pending = false
	r.reads.err = err
	if err != nil {
		return r.readFailed(now)
	}
	if storeVersion < r.reads.storeVersion || storeVersion < r.Version() {
		r.counts.ReadsStale++
		r.backOff(now)
		return Output{}
	}
	changed, ok := r.apply(set)
	if !ok {
		r.backOff(now)
		return Output{}
	}
	r.loaded = true
	r.reads.storeVersion = storeVersion
	r.reads.failures = 0
	r.reads.done, r.reads.doneAt = true, sentAt
	r.setFresh(sentAt)
	if !changed {
		return Output{}
	}
	return Output{Changed: true, Sends: r.announce(now)}
}

// readFailed asks a VM of another failure domain when the store can't be read.
// The leader alone does so: the others learn from its heartbeats.
func (r *Replica) readFailed(now time.Duration) Output {
	r.counts.ReadsFailed++
	r.backOff(now)
	overdue := !r.fresh || now-r.freshAt >= r.times.Takeover
	if !overdue || !r.isLeader() || len(r.remotes) == 0 {
		return Output{}
	}
	address := r.remotes[r.nextRemote%len(r.remotes)]
	r.nextRemote++
	r.counts.RemotePulls++
	return Output{Sends: []Send{{Address: address, Body: encodePull(r.Version())}}}
}

// backOff delays the next read; the wait doubles with each failure up to
// RetryMax.
func (r *Replica) backOff(now time.Duration) {
	wait := r.times.RetryMin
	for range r.reads.failures {
		wait = min(2*wait, r.times.RetryMax)
	}
	r.reads.failures++
	r.reads.notBefore = now + wait
}

// setFresh records that the held version was the newest of the store at a time.
func (r *Replica) setFresh(at time.Duration) {
	if !r.fresh || at > r.freshAt {
		r.fresh, r.freshAt = true, at
	}
}

// apply applies a change set and reports whether the version rose, and whether
// the set was valid.
func (r *Replica) apply(set ChangeSet) (changed, ok bool) {
	changed, err := r.state.Apply(set)
	switch {
	case err != nil:
		r.counts.Rejected++
	case changed:
		r.counts.Applied++
	default:
		r.counts.Ignored++
	}
	return changed, err == nil
}

// announce sends the new version to every member without waiting for the next
// heartbeat. Each member then pulls the changes that it lacks.
func (r *Replica) announce(now time.Duration) []Send {
	body := r.Digest(now)
	sends := make([]Send, 0, len(r.members))
	for _, m := range r.members {
		sends = append(sends, Send{Address: m.Address, Incarnation: m.Incarnation, Body: body})
	}
	return sends
}
