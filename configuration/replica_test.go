package configuration

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/peer"
)

var (
	errDown = errors.New("down")
	first   = peer.Sender{ID: "vm-1", Incarnation: 1}
	second  = peer.Sender{ID: "vm-2", Incarnation: 2}
	both    = []Member{{"vm-1", 1, "a1"}, {"vm-2", 2, "a2"}}
)

// snapshotAt is a snapshot with one profile, written at the version.
func snapshotAt(version uint64) ChangeSet {
	return ChangeSet{Version: version, Rows: []Row{profileRow("a", version)}}
}

// loadedReplica returns a replica that has read a version at time 0.
func loadedReplica(self peer.Sender, version uint64) *Replica {
	r := NewReplica(self, DefaultTimes(), 0)
	r.SetMembers(both)
	r.Tick(0)
	r.ReadDone(0, 0, version, snapshotAt(version), nil)
	return r
}

func TestLeaderPollsAndOthersTakeOver(t *testing.T) {
	times := DefaultTimes()
	leader, other := loadedReplica(first, 5), loadedReplica(second, 5)
	must.False(t, leader.Tick(times.Poll-1).Read)
	must.True(t, leader.Tick(times.Poll).Read)
	must.False(t, other.Tick(times.Takeover-1).Read)
	must.True(t, other.Tick(times.Takeover).Read)
	must.False(t, other.Tick(times.Takeover+1).Read, must.Sprint("one read at a time"))
}

func TestPeerReadPostponesOwnRead(t *testing.T) {
	times := DefaultTimes()
	leader, other := loadedReplica(first, 5), loadedReplica(second, 5)
	leader.ReadDone(3*time.Second, 3*time.Second, 6, ChangeSet{Since: 5, Version: 5}, nil)
	other.HandlePeer(3*time.Second, first, leader.Digest(3*time.Second))
	must.False(t, other.Tick(times.Takeover).Read)
	must.True(t, other.Tick(3*time.Second+times.Takeover).Read)
}

func TestDelayedDigestDoesNotLookFresh(t *testing.T) {
	times := DefaultTimes()
	leader, other := loadedReplica(first, 5), loadedReplica(second, 5)
	other.HandlePeer(0, first, leader.Digest(0))
	leader.ReadDone(time.Second, time.Second, 6, ChangeSet{Since: 5, Version: 5}, nil)
	delayed := leader.Digest(time.Second)
	other.HandlePeer(4*time.Second, first, delayed)
	must.True(t, other.Tick(time.Second+times.Takeover).Read)
}

func TestDigestOfPeerAheadDoesNotPostponeRead(t *testing.T) {
	times := DefaultTimes()
	other := loadedReplica(second, 5)
	ahead := loadedReplica(first, 5)
	ahead.ReadDone(3*time.Second, 3*time.Second, 6, ChangeSet{Since: 5, Version: 6, Rows: []Row{profileRow("b", 6)}}, nil)
	other.HandlePeer(3*time.Second, first, ahead.Digest(3*time.Second))
	must.True(t, other.Tick(times.Takeover).Read)
}

func TestStaleReadIsNotFresh(t *testing.T) {
	r := loadedReplica(first, 5)
	r.ReadDone(time.Second, time.Second, 9, ChangeSet{Since: 5, Version: 5}, nil)
	r.Tick(2 * time.Second)
	r.ReadDone(2*time.Second, 2*time.Second, 8, ChangeSet{Since: 5, Version: 5}, nil)
	must.True(t, r.Tick(2*time.Second+DefaultTimes().RetryMin).Read)
	must.Eq(t, 1, r.Counts().ReadsStale)
}

func TestFailedReadsBackOff(t *testing.T) {
	times := DefaultTimes()
	r := NewReplica(first, times, 0)
	now := time.Duration(0)
	for _, wait := range []time.Duration{times.RetryMin, 2 * times.RetryMin, 4 * times.RetryMin, times.RetryMax, times.RetryMax} {
		must.True(t, r.Tick(now).Read)
		r.ReadDone(now, now, 0, ChangeSet{}, errDown)
		must.False(t, r.Tick(now+wait-1).Read)
		now += wait
	}
}

func TestOnePullAtATime(t *testing.T) {
	// The pull sent at the start has timed out by then.
	now := DefaultTimes().PullTimeout
	r := loadedReplica(second, 5)
	ahead := loadedReplica(first, 6).Digest(now)
	_, out := r.HandlePeer(now, first, ahead)
	must.Eq(t, []Send{{Address: "a1", Incarnation: 1, Body: encodePull(5)}}, out.Sends)
	_, out = r.HandlePeer(now+1, first, ahead)
	must.SliceEmpty(t, out.Sends)
	_, out = r.HandlePeer(now+DefaultTimes().PullTimeout, first, ahead)
	must.SliceLen(t, 1, out.Sends, must.Sprint("the first answer was lost"))
}

func TestPullIsAnsweredWithChanges(t *testing.T) {
	ahead, behind := loadedReplica(first, 6), loadedReplica(second, 5)
	reply, _ := ahead.HandlePeer(0, second, encodePull(5))
	_, out := behind.HandlePeer(0, first, reply)
	must.True(t, out.Changed)
	must.Eq(t, 6, behind.Version())
	reply, _ = ahead.HandlePeer(0, second, encodePull(6))
	must.Eq(t, ahead.Digest(0), reply)
}

func TestNewVersionIsAnnounced(t *testing.T) {
	r := loadedReplica(first, 5)
	r.Tick(time.Second)
	out := r.ReadDone(time.Second, time.Second, 6, ChangeSet{Since: 5, Version: 6, Rows: []Row{profileRow("b", 6)}}, nil)
	must.True(t, out.Changed)
	must.Eq(t, []Send{{Address: "a2", Incarnation: 2, Body: r.Digest(time.Second)}}, out.Sends)
}

func TestDigestsOfNonMembersAreIgnored(t *testing.T) {
	r := loadedReplica(second, 5)
	now := DefaultTimes().PullTimeout
	ahead := loadedReplica(first, 6).Digest(now)
	for _, nonMember := range []peer.Sender{{ID: "vm-1", Incarnation: 9}, {ID: "vm-9", Incarnation: 1}} {
		_, out := r.HandlePeer(now, nonMember, ahead)
		must.SliceEmpty(t, out.Sends)
	}
	_, out := r.HandlePeer(0, first, []byte("garbage"))
	must.Eq(t, Output{}, out)
	must.Eq(t, 1, r.Counts().Rejected)
}

func TestLeaderAsksOtherDomainsWithoutTheStore(t *testing.T) {
	late := DefaultTimes().Takeover
	leader, other := loadedReplica(first, 5), loadedReplica(second, 5)
	for _, r := range []*Replica{leader, other} {
		r.SetRemotes([]string{"r1", "r2"})
		must.SliceEmpty(t, r.ReadDone(1, 1, 0, ChangeSet{}, errDown).Sends, must.Sprint("not overdue yet"))
	}
	must.Eq(t, []Send{{Address: "r1", Body: encodePull(5)}}, leader.ReadDone(late, 0, 0, ChangeSet{}, errDown).Sends)
	must.Eq(t, []Send{{Address: "r2", Body: encodePull(5)}}, leader.ReadDone(late, 0, 0, ChangeSet{}, errDown).Sends)
	must.SliceEmpty(t, other.ReadDone(late, 0, 0, ChangeSet{}, errDown).Sends)
	remote := encodeChanges(ChangeSet{Since: 5, Version: 6, Rows: []Row{profileRow("b", 6)}})
	_, out := leader.HandlePeer(late, peer.Sender{ID: "elsewhere", Incarnation: 7}, remote)
	must.True(t, out.Changed)
}

// TestNewVMStartsFromPeers loads the configuration of a new VM from a peer while
// the store can't be read.
func TestNewVMStartsFromPeers(t *testing.T) {
	r := NewReplica(second, DefaultTimes(), 0)
	r.SetMembers(both)
	out := r.Tick(0)
	must.Eq(t, []Send{{Address: "a1", Incarnation: 1, Body: encodePull(0)}}, out.Sends)
	r.ReadDone(0, 0, 0, ChangeSet{}, errDown)
	must.False(t, r.Loaded())
	reply, _ := loadedReplica(first, 6).HandlePeer(0, second, out.Sends[0].Body)
	r.HandlePeer(0, first, reply)
	must.True(t, r.Loaded())
	must.Eq(t, 6, r.Version())
}

// TestReadyWaitsForPeers starts a VM with a stale read while a peer holds a newer
// version.
func TestReadyWaitsForPeers(t *testing.T) {
	ahead := loadedReplica(first, 9)
	r := loadedReplica(second, 5)
	must.False(t, r.Ready(0), must.Sprint("no digest of a peer has arrived"))
	r.HandlePeer(0, first, ahead.Digest(0))
	must.False(t, r.Ready(0), must.Sprint("behind a peer"))
	r.HandlePeer(0, first, encodeChanges(snapshotAt(9)))
	must.True(t, r.Ready(0))

	silent := loadedReplica(second, 5)
	must.True(t, silent.Ready(DefaultTimes().ReadyWait))
	must.False(t, NewReplica(second, DefaultTimes(), 0).Ready(time.Hour), must.Sprint("holds nothing"))
	unknown := NewReplica(second, DefaultTimes(), 0)
	unknown.ReadDone(0, 0, 5, snapshotAt(5), nil)
	must.False(t, unknown.Ready(0), must.Sprint("members not known yet"))
}
