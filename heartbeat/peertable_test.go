package heartbeat

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/link/linkpb"
)

const ms = time.Millisecond

// longestGap simulates pings and their answers, of which some are lost. It returns the longest time
// for which the owner had no valid keepalive of the entry VM; negative if it always had one.
func longestGap(lost func(ping int) (pingLost, pongLost bool)) time.Duration {
	b := newPeerTable()
	b.setOwners(0, []Owner{{VM: "o", Incarnation: 1}})
	const latency = ms
	until, gap := time.Duration(0), -time.Hour
	for i := range 400 {
		now := time.Duration(i) * Interval
		pingLost, pongLost := lost(i)
		if pingLost {
			continue
		}
		if timestamp := b.views[1].Timestamp; timestamp > 0 {
			if until > 0 {
				gap = max(gap, now+latency-until)
			}
			until = time.Duration(timestamp) + KeepaliveTimeout
		}
		if !pongLost {
			b.recordPong(now+2*latency, &linkpb.Pong{Life: 1, Stamp: int64(now + latency)})
		}
	}
	return gap
}

// Three datagrams in a row may be lost without the owner giving up jobs that callers wait for; ten
// may not.
func TestKeepaliveSurvivesLostDatagrams(t *testing.T) {
	must.Less(t, 0, longestGap(func(int) (bool, bool) { return false, false }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return i%10 < 3, false }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return false, i%10 < 3 }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return i%10 == 0, i%10 == 1 || i%10 == 2 }))
	must.Greater(t, 0, longestGap(func(i int) (bool, bool) { return i%20 < 10, false }))
}

// An entry VM considers an owner lost only after the owner has given up the entry VM's jobs.
func TestOwnerGivesUpFirst(t *testing.T) {
	b := newPeerTable()
	b.setOwners(0, []Owner{{VM: "o", Incarnation: 1}})
	b.recordPong(100*ms, &linkpb.Pong{Life: 1, Stamp: int64(99 * ms)})
	keepaliveEnd := 99*ms + KeepaliveTimeout
	for now := 100 * ms; ; now += ms {
		b.expire(now)
		if b.views[1].Alive.Err() != nil {
			must.Greater(t, keepaliveEnd, now)
			return
		}
		must.Less(t, time.Second, now)
	}
}

func TestSilentOwnerIsAliveAfterNewAnswer(t *testing.T) {
	b := newPeerTable()
	b.setOwners(0, []Owner{{VM: "o", Incarnation: 1}})
	b.recordPong(0, &linkpb.Pong{Life: 1, Stamp: 1})
	first := b.views[1].Alive
	b.expire(time.Second)
	must.Error(t, first.Err())
	b.recordPong(2*time.Second, &linkpb.Pong{Life: 1, Stamp: 2})
	must.NoError(t, b.views[1].Alive.Err())
	must.Error(t, first.Err())
}

// An owner without a claim is pinged as long as it answers.
func TestPreviousOwnerIsPingedWhileItAnswers(t *testing.T) {
	b := newPeerTable()
	b.setOwners(0, []Owner{{VM: "a", Incarnation: 1}})
	b.recordPong(10*ms, &linkpb.Pong{Life: 1, Stamp: 1})
	b.setOwners(20*ms, []Owner{{VM: "b", Incarnation: 2}})
	must.MapLen(t, 2, b.views)
	b.setOwners(20*ms+2*SilenceTimeout, []Owner{{VM: "b", Incarnation: 2}})
	must.MapLen(t, 1, b.views)
}

func TestOldAnswersAreIgnored(t *testing.T) {
	b := newPeerTable()
	b.setOwners(0, []Owner{{VM: "a", Incarnation: 1}})
	b.recordPong(10*ms, &linkpb.Pong{Life: 1, Stamp: 20, ConfigurationVersion: 3})
	b.recordPong(11*ms, &linkpb.Pong{Life: 1, Stamp: 10, ConfigurationVersion: 2})
	must.Eq(t, 3, b.views[1].ConfigurationVersion)
	b.recordPong(12*ms, &linkpb.Pong{Life: 7, Stamp: 30})
	must.MapLen(t, 1, b.views)
}

func TestPingersAreBoundedAndExpire(t *testing.T) {
	b := newPeerTable()
	for incarnation := range uint64(maxPingers + 10) {
		b.recordPing(0, &linkpb.Ping{Vm: "v", Life: incarnation})
	}
	must.MapLen(t, maxPingers, b.pingers)
	b.expire(pingerTimeout + ms)
	must.MapEmpty(t, b.pingers)
}

// A restarted owner is pinged under its new incarnation in each round, even while the previous one
// is still in the table under the same address. The previous one is removed without a change of
// claims.
func TestRestartedOwnerIsPingedInEachRound(t *testing.T) {
	s := &Service{listener: silentListener{}, peers: newPeerTable()}
	s.peers.setOwners(0, []Owner{{VM: "o", Incarnation: 1, HeartbeatAddress: "o:1"}})
	s.peers.recordPong(10*ms, &linkpb.Pong{Life: 1, Stamp: 1})
	s.peers.setOwners(20*ms, []Owner{{VM: "o", Incarnation: 2, HeartbeatAddress: "o:1"}})
	for range 50 {
		incarnations := map[uint64]bool{}
		for _, p := range s.preparePings(func(uint64) bool { return true }) {
			incarnations[p.ping.GetOwnerLife()] = true
		}
		must.True(t, incarnations[2])
	}
	s.peers.recordPong(400*ms, &linkpb.Pong{Life: 2, Stamp: 1})
	s.peers.expire(20*ms + SilenceTimeout)
	must.MapLen(t, 1, s.peers.views)
}

type silentListener struct{}

func (silentListener) ReceiveKeepalive(string, time.Duration, []GivenUp) {}
func (silentListener) Loads() []*linkpb.Load                             { return nil }
func (silentListener) ConfigurationVersion() int64                       { return 0 }
func (silentListener) ProfilesVersion() int64                            { return 0 }
func (silentListener) PendingJobs() map[string]int32                     { return nil }

func (silentListener) Leaving() bool                             { return false }
func (silentListener) CPUShare() int32                           { return 0 }
func (silentListener) Claim() *linkpb.Owned                      { return nil }
func (silentListener) ReceiveLoads(uint64, []*linkpb.Load)       {}
func (silentListener) ReceiveClaim(*linkpb.Owned)                {}
func (silentListener) Cordons() *linkpb.Cordons                  { return nil }
func (silentListener) ReceiveCordons(string, *linkpb.Cordons)    {}
func (silentListener) ReportLateHeartbeat(string, time.Duration) {}
func (silentListener) ReportLargeHeartbeat()                     {}
func (silentListener) Succession() *linkpb.Succession            { return nil }
func (silentListener) ReceiveSuccession(uint64, *linkpb.Succession) {
}

// The limits of a VM are known from its pings; a VM of an older build reports none.
func TestPingsCarryLimits(t *testing.T) {
	limits := Limits{DeclaredCPUShare: 800, Sockets: 3900, LinkMbps: 250}
	s := &Service{self: Self{VM: "v", Incarnation: 1, Limits: limits}, listener: silentListener{}, peers: newPeerTable()}
	s.peers.setOwners(0, []Owner{{VM: "o", Incarnation: 2, SameGroup: true}, {VM: "p", Incarnation: 3}})
	pings := s.preparePings(func(incarnation uint64) bool { return incarnation == 2 })
	must.SliceLen(t, 1, pings)
	at := newPeerTable()
	at.recordPing(ms, pings[0].ping)
	at.recordPing(ms, &linkpb.Ping{Vm: "old", Life: 3, CpuShare: 500})
	must.Eq(t, limits, at.pingers[EntryID("v", 1)].Limits)
	must.Eq(t, Limits{}, at.pingers[EntryID("old", 3)].Limits)
	other := s.preparePings(func(incarnation uint64) bool { return incarnation == 3 })
	must.Zero(t, other[0].ping.GetDeclaredCpuShare())
}
