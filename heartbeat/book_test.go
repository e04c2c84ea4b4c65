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
	b := newBook()
	b.follow(0, []Owner{{VM: "o", Life: 1}})
	const latency = ms
	until, gap := time.Duration(0), -time.Hour
	for i := range 400 {
		now := time.Duration(i) * Interval
		pingLost, pongLost := lost(i)
		if pingLost {
			continue
		}
		if timestamp := b.views[1].Stamp; timestamp > 0 {
			if until > 0 {
				gap = max(gap, now+latency-until)
			}
			until = time.Duration(timestamp) + Vouch
		}
		if !pongLost {
			b.answered(now+2*latency, &linkpb.Pong{Life: 1, Stamp: int64(now + latency)})
		}
	}
	return gap
}

// Three datagrams in a row may be lost without the owner giving up jobs that callers wait for; ten
// may not.
func TestLostDatagramsAreNoSilence(t *testing.T) {
	must.Less(t, 0, longestGap(func(int) (bool, bool) { return false, false }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return i%10 < 3, false }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return false, i%10 < 3 }))
	must.Less(t, 0, longestGap(func(i int) (bool, bool) { return i%10 == 0, i%10 == 1 || i%10 == 2 }))
	must.Greater(t, 0, longestGap(func(i int) (bool, bool) { return i%20 < 10, false }))
}

// An entry VM considers an owner lost only after the owner has given up the entry VM's jobs.
func TestOwnerGivesUpFirst(t *testing.T) {
	b := newBook()
	b.follow(0, []Owner{{VM: "o", Life: 1}})
	b.answered(100*ms, &linkpb.Pong{Life: 1, Stamp: int64(99 * ms)})
	keepaliveEnd := 99*ms + Vouch
	for now := 100 * ms; ; now += ms {
		b.expire(now)
		if b.views[1].Alive.Err() != nil {
			must.Greater(t, keepaliveEnd, now)
			return
		}
		must.Less(t, time.Second, now)
	}
}

func TestOwnerComesBack(t *testing.T) {
	b := newBook()
	b.follow(0, []Owner{{VM: "o", Life: 1}})
	b.answered(0, &linkpb.Pong{Life: 1, Stamp: 1})
	first := b.views[1].Alive
	b.expire(time.Second)
	must.Error(t, first.Err())
	b.answered(2*time.Second, &linkpb.Pong{Life: 1, Stamp: 2})
	must.NoError(t, b.views[1].Alive.Err())
	must.Error(t, first.Err())
}

// An owner without a claim is pinged as long as it answers.
func TestFormerOwnerIsFollowed(t *testing.T) {
	b := newBook()
	b.follow(0, []Owner{{VM: "a", Life: 1}})
	b.answered(10*ms, &linkpb.Pong{Life: 1, Stamp: 1})
	b.follow(20*ms, []Owner{{VM: "b", Life: 2}})
	must.MapLen(t, 2, b.views)
	b.follow(20*ms+2*Silence, []Owner{{VM: "b", Life: 2}})
	must.MapLen(t, 1, b.views)
}

func TestOldAnswersAreIgnored(t *testing.T) {
	b := newBook()
	b.follow(0, []Owner{{VM: "a", Life: 1}})
	b.answered(10*ms, &linkpb.Pong{Life: 1, Stamp: 20, ConfigurationVersion: 3})
	b.answered(11*ms, &linkpb.Pong{Life: 1, Stamp: 10, ConfigurationVersion: 2})
	must.Eq(t, 3, b.views[1].ConfigurationVersion)
	b.answered(12*ms, &linkpb.Pong{Life: 7, Stamp: 30})
	must.MapLen(t, 1, b.views)
}

func TestPingersAreBoundedAndForgotten(t *testing.T) {
	b := newBook()
	for incarnation := range uint64(maxPingers + 10) {
		b.pinged(0, &linkpb.Ping{Vm: "v", Life: incarnation})
	}
	must.MapLen(t, maxPingers, b.pingers)
	b.expire(pingerMemory + ms)
	must.MapEmpty(t, b.pingers)
}

// A restarted owner is pinged under its new incarnation in each round, even while the previous one
// is still in the table under the same address. The previous one is removed without a change of
// claims.
func TestFormerLifeHidesNoPing(t *testing.T) {
	s := &Service{listener: silentListener{}, book: newBook()}
	s.book.follow(0, []Owner{{VM: "o", Life: 1, Heartbeat: "o:1"}})
	s.book.answered(10*ms, &linkpb.Pong{Life: 1, Stamp: 1})
	s.book.follow(20*ms, []Owner{{VM: "o", Life: 2, Heartbeat: "o:1"}})
	for range 50 {
		incarnations := map[uint64]bool{}
		for _, p := range s.pings(func(uint64) bool { return true }) {
			incarnations[p.ping.GetOwnerLife()] = true
		}
		must.True(t, incarnations[2])
	}
	s.book.answered(400*ms, &linkpb.Pong{Life: 2, Stamp: 1})
	s.book.expire(20*ms + Silence)
	must.MapLen(t, 1, s.book.views)
}

type silentListener struct{}

func (silentListener) Vouched(string, time.Duration, []string) {}
func (silentListener) Loads() []*linkpb.Load                   { return nil }
func (silentListener) ConfigurationVersion() int64             { return 0 }
func (silentListener) Pending() map[string]int32               { return nil }

func (silentListener) Leaving() bool                    { return false }
func (silentListener) CPUShare() int32                  { return 0 }
func (silentListener) Owned() *linkpb.Owned             { return nil }
func (silentListener) Heard(uint64, []*linkpb.Load)     {}
func (silentListener) Learned(*linkpb.Owned)            {}
func (silentListener) Cordons() *linkpb.Cordons         { return nil }
func (silentListener) Cordoned(string, *linkpb.Cordons) {}
func (silentListener) Late(string, time.Duration)       {}
