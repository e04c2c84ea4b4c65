// Package heartbeat lets entry VMs and the owners of targets know of each other's
// life, by datagrams.
//
// An entry VM pings each owner; the owner answers with a stamp of its own clock,
// which the next ping brings back. So the owner knows, on its own clock, until
// when it may count on the entry VM: for Vouch after the stamp. The entry VM gives
// up an owner, and what it runs, only when it has heard nothing for Silence, which
// is longer. What an entry VM has given up is therefore being stopped already.
package heartbeat

import (
	"context"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/link/linkpb"
)

// Figures of the heartbeat.
const (
	// Interval is the time between two pings.
	Interval = 50 * time.Millisecond
	// Vouch outlasts the loss of three datagrams in a row, with room for delays.
	Vouch = 320 * time.Millisecond
	// Silence is Vouch with the time for a stop at a target.
	Silence = 420 * time.Millisecond
	// givenUpMemory repeats a given up job in three pings.
	givenUpMemory = 3 * Interval
	// pingerMemory is how long an entry VM counts as live.
	pingerMemory = Silence
	// maxPingers bounds the entry VMs that are remembered.
	maxPingers = 4096
)

// Owner is the owner of targets as its claim names it.
type Owner struct {
	VM        string
	Life      uint64
	Heartbeat string
	Control   string
}

// View is what an entry VM knows of an owner.
type View struct {
	Owner
	// Stamp is the newest of the owner's clock, 0 before the first answer.
	Stamp int64
	Loads []*linkpb.Load
	// Pending counts the owner's kept jobs of which nothing has begun, by queue.
	Pending map[string]int32
	// Heard is when the newest answer came.
	Heard time.Duration
	// Alive ends when the owner has been silent for too long or another has its
	// place.
	Alive context.Context
	// ConfigurationVersion is the owner's.
	ConfigurationVersion int64
}

// Pinger is an entry VM as its pings tell.
type Pinger struct {
	VM                 string
	Life               uint64
	FailureDomain      string
	Control, Heartbeat string
	// CPUShare is what it has of a core, in thousandths.
	CPUShare             int32
	Leaving              bool
	ConfigurationVersion int64
	// First and Heard are when the first and the newest ping came.
	First, Heard time.Duration
}

// EntryID names one life of an entry VM.
func EntryID(vm string, life uint64) string { return vm + "/" + strconv.FormatUint(life, 16) }

// book is the state of the duty.
type book struct {
	views   map[uint64]*view
	pingers map[string]*Pinger
	givenUp map[string]time.Duration
}

type view struct {
	View
	since time.Duration
	end   context.CancelFunc
	// wanted views are of owners that hold a claim.
	wanted bool
}

func newBook() *book {
	return &book{views: map[uint64]*view{}, pingers: map[string]*Pinger{}, givenUp: map[string]time.Duration{}}
}

// follow sets the owners to ping.
func (b *book) follow(now time.Duration, owners []Owner) {
	wanted := map[uint64]bool{}
	for _, owner := range owners {
		wanted[owner.Life] = true
		if b.views[owner.Life] == nil {
			b.views[owner.Life] = newView(now, owner)
		}
	}
	for life, v := range b.views {
		v.wanted = wanted[life]
	}
	b.expire(now)
}

func newView(now time.Duration, owner Owner) *view {
	v := &view{View: View{Owner: owner}, since: now}
	v.Alive, v.end = context.WithCancel(context.Background())
	return v
}

// answered takes an owner's answer, and returns the time since the last one.
func (b *book) answered(now time.Duration, pong *linkpb.Pong) (gap time.Duration) {
	v := b.views[pong.GetLife()]
	if v == nil || pong.GetStamp() < v.Stamp {
		return 0
	}
	if v.Heard > 0 {
		gap = now - v.Heard
	}
	if v.Alive.Err() != nil {
		v.Alive, v.end = context.WithCancel(context.Background())
	}
	v.Stamp = pong.GetStamp()
	v.Heard = now
	v.Loads = pong.GetLoads()
	v.Pending = pong.GetPending()
	v.ConfigurationVersion = pong.GetConfigurationVersion()
	return gap
}

// expire gives up silent owners and forgets what is old.
func (b *book) expire(now time.Duration) {
	for life, v := range b.views {
		if now-max(v.Heard, v.since) <= Silence {
			continue
		}
		v.end()
		// One that hands over still answers for what it runs.
		if !v.wanted {
			delete(b.views, life)
		}
	}
	for id, p := range b.pingers {
		if now-p.Heard > pingerMemory {
			delete(b.pingers, id)
		}
	}
	for id, at := range b.givenUp {
		if now-at > givenUpMemory {
			delete(b.givenUp, id)
		}
	}
}

// pinged takes an entry VM's ping, and returns the time since the last one.
func (b *book) pinged(now time.Duration, ping *linkpb.Ping) (gap time.Duration) {
	id := EntryID(ping.GetVm(), ping.GetLife())
	p := b.pingers[id]
	if p == nil {
		if len(b.pingers) >= maxPingers {
			return 0
		}
		p = &Pinger{VM: ping.GetVm(), Life: ping.GetLife(), First: now}
		b.pingers[id] = p
	} else {
		gap = now - p.Heard
	}
	p.FailureDomain = ping.GetFailureDomain()
	p.Control, p.Heartbeat = ping.GetControl(), ping.GetHeartbeat()
	p.CPUShare, p.Leaving = ping.GetCpuShare(), ping.GetLeaving()
	p.ConfigurationVersion = ping.GetConfigurationVersion()
	p.Heard = now
	return gap
}
