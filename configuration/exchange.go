package configuration

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/configuration/configurationpb"
	"github.com/burdockward/burdockward/peer"
)

// peerClock relates the clock of a peer's process to ours.
type peerClock struct {
	incarnation uint64
	// offset is the smallest difference seen between our time of arrival and
	// the peer's time of sending. With the smallest one, a message that was
	// delayed on the way can't make an old read look recent.
	offset time.Duration
}

// Digest encodes which version this VM has in force.
func (r *Replica) Digest(now time.Duration) []byte {
	return digest{
		version: r.Version(),
		sentAt:  now,
		readAt:  r.reads.doneAt,
		hasRead: r.reads.done,
	}.encode()
}

// HandlePeer handles one message of another VM. The reply is nil when there is
// none.
func (r *Replica) HandlePeer(now time.Duration, from peer.Sender, body []byte) (reply []byte, out Output) {
	message, err := decode(body)
	if err != nil {
		r.counts.Rejected++
		return nil, Output{}
	}
	switch content := message.GetContent().(type) {
	case *configurationpb.Message_Digest:
		return nil, r.handleDigest(now, from, decodeDigest(content.Digest))
	case *configurationpb.Message_Pull:
		return r.handlePull(now, content.Pull.GetSince()), Output{}
	case *configurationpb.Message_Changes:
		return nil, r.handleChanges(now, decodeChanges(content.Changes))
	}
	return nil, Output{}
}

// handleDigest pulls a member's version when it is higher. Otherwise the
// member's newest read of the store counts as a read of this VM. Digests of
// processes that are not members are ignored.
func (r *Replica) handleDigest(now time.Duration, from peer.Sender, d digest) Output {
	i := slices.IndexFunc(r.members, func(m Member) bool {
		return m.ID == from.ID && (m.Incarnation == 0 || m.Incarnation == from.Incarnation)
	})
	if i < 0 {
		return Output{}
	}
	clock := r.peerClock(now, from, d.sentAt)
	r.highest = max(r.highest, d.version)
	if d.version > r.Version() {
		return r.pullFrom(now, r.members[i])
	}
	if d.hasRead {
		// The member held the newest version when it read, and this VM holds
		// at least that.
		r.setFresh(min(d.readAt+clock.offset, now))
	}
	return Output{}
}

// peerClock returns the clock of a process, updated by a new message.
func (r *Replica) peerClock(now time.Duration, from peer.Sender, sentAt time.Duration) *peerClock {
	offset := now - sentAt
	clock := r.peers[from.ID]
	if clock == nil || clock.incarnation != from.Incarnation {
		clock = &peerClock{incarnation: from.Incarnation, offset: offset}
		r.peers[from.ID] = clock
	}
	clock.offset = min(clock.offset, offset)
	return clock
}

// prunePeers forgets the clocks of VMs that are no longer members.
func (r *Replica) prunePeers() {
	for id := range r.peers {
		if !slices.ContainsFunc(r.members, func(m Member) bool { return m.ID == id }) {
			delete(r.peers, id)
		}
	}
}

// pullFrom asks a member for changes unless a pull is under way.
func (r *Replica) pullFrom(now time.Duration, m Member) Output {
	if !r.canPull(now) {
		return Output{}
	}
	return Output{Sends: []Send{r.startPull(now, m)}}
}

// canPull reports whether no pull is under way or the last one timed out. One
// pull at a time keeps several peers from sending the same rows.
func (r *Replica) canPull(now time.Duration) bool {
	return !r.pull.active || now >= r.pull.until
}

// startPull records a pull and returns its message.
func (r *Replica) startPull(now time.Duration, m Member) Send {
	r.pull = pull{active: true, until: now + r.times.PullTimeout}
	r.counts.Pulls++
	return Send{Address: m.Address, Incarnation: m.Incarnation, Body: encodePull(r.Version())}
}

// handlePull replies with the changes after since, or with this VM's digest when
// there are none.
func (r *Replica) handlePull(now time.Duration, since uint64) []byte {
	set, newer := r.state.Changes(since)
	if !newer {
		return r.Digest(now)
	}
	return encodeChanges(set)
}

// handleChanges applies the answer to a pull, which ends the pull.
func (r *Replica) handleChanges(_ time.Duration, set ChangeSet) Output {
	r.pull = pull{}
	changed, _ := r.apply(set)
	if changed {
		r.loaded = true
	}
	return Output{Changed: changed}
}

// Ready reports whether this VM may serve: it holds a configuration, and it has
// no peers, has reached the highest version of those heard, or has waited
// ReadyWait. The wait keeps a replaced VM from serving an older version than its
// predecessor did because of a stale read. Once ready, a VM stays ready.
func (r *Replica) Ready(now time.Duration) bool {
	if r.ready || !r.loaded {
		return r.ready
	}
	alone := r.membersKnown && len(r.members) == 0
	heard := len(r.peers) > 0 && r.Version() >= r.highest
	waited := now-r.started >= r.times.ReadyWait
	r.ready = alone || heard || waited
	return r.ready
}
