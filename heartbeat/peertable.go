package heartbeat

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/link/linkpb"
)

// Parameters of the heartbeat.
const (
	// Interval is the time between two pings.
	Interval = 50 * time.Millisecond
	// KeepaliveTimeout is how long after its timestamp a keepalive is valid. It outlasts the loss
	// of three datagrams in a row, with a margin for delays.
	KeepaliveTimeout = 320 * time.Millisecond
	// SilenceTimeout is how long an owner may be silent before it is considered lost:
	// KeepaliveTimeout and the time that a stop at a target takes.
	SilenceTimeout = 420 * time.Millisecond
	// givenUpRetention is how long a request that was given up is named in pings, and givenUpPings in
	// how many of them at least, as datagrams get lost.
	givenUpRetention = 3 * Interval
	givenUpPings     = 3
	// maxGivenUpPerPing bounds the requests that a ping names, so that it fits into maxDatagram.
	maxGivenUpPerPing = 100
	// maxGivenUp bounds the requests of an owner that wait to be named. The owner also notices that
	// the connection of a request has ended.
	maxGivenUp = 4096
	// pingerTimeout is how long an entry VM counts as alive after its last ping.
	pingerTimeout = SilenceTimeout
	// maxPingers bounds the entry VMs that are kept in memory.
	maxPingers = 4096
)

// Owner is the owner of a group of targets as its claim names it.
type Owner struct {
	VM               string
	Incarnation      uint64
	HeartbeatAddress string
	ControlAddress   string
	// SameGroup says that the owner is that of this VM's own group.
	SameGroup bool
}

// View is what an entry VM knows of an owner.
type View struct {
	Owner
	// Timestamp is the newest reading of the owner's clock; 0 before the first answer.
	Timestamp int64
	Loads     []*linkpb.Load
	// PendingJobs counts the owner's durable jobs of which nothing has started, by queue.
	PendingJobs map[string]int32
	// LastHeard is when the newest answer arrived.
	LastHeard time.Duration
	// Alive ends when the owner has been silent for SilenceTimeout.
	Alive context.Context
	// ConfigurationVersion and ProfilesVersion are the versions in force at the owner.
	ConfigurationVersion, ProfilesVersion int64
}

// Pinger is an entry VM as its pings describe it.
type Pinger struct {
	VM                               string
	Incarnation                      uint64
	FailureDomain                    string
	ControlAddress, HeartbeatAddress string
	// CPUShare is the VM's share of a core, in thousandths.
	CPUShare             int32
	Limits               Limits
	Leaving              bool
	ConfigurationVersion int64
	ProfilesVersion      int64
	// FirstHeard and LastHeard are when the first and the newest ping arrived.
	FirstHeard, LastHeard time.Duration
}

// Limits are the resources that a VM's settings give it; 0 where unknown, as with VMs of older builds.
type Limits struct {
	// DeclaredCPUShare is the share of a core in thousandths, whatever the VM really gets.
	DeclaredCPUShare int32
	Sockets          int32
	// LinkMbps is the bandwidth of the VM's link in megabits a second.
	LinkMbps int32
}

// EntryID names one incarnation of an entry VM.
func EntryID(vm string, incarnation uint64) string {
	return vm + "/" + strconv.FormatUint(incarnation, 16)
}

// peerTable holds what pings and answers have reported. It is not safe for concurrent use.
type peerTable struct {
	// views holds the owners by their incarnation.
	views map[uint64]*view
	// pingers holds the entry VMs by their EntryID.
	pingers map[string]*Pinger
	// givenUp holds, for each owner, the requests there that were given up.
	givenUp map[uint64]map[GivenUp]*givenUpState
}

// GivenUp names a request to run a job that its sender has given up.
type GivenUp struct {
	Job string
	// Request is the request's number at its sender; 0 from VMs of older builds, which name the job
	// alone.
	Request uint64
}

// givenUpState says when a request was given up, and how many pings have named it.
type givenUpState struct {
	at    time.Duration
	pings int
}

// view is a View with its bookkeeping.
type view struct {
	View
	// pingedSince is when pinging the owner began.
	pingedSince time.Duration
	// cancelAlive ends View.Alive.
	cancelAlive context.CancelFunc
	// pages collects the owner's pending jobs.
	pages pendingPages
	// hasClaim says that the owner still holds a claim.
	hasClaim bool
}

func newPeerTable() *peerTable {
	return &peerTable{views: map[uint64]*view{}, pingers: map[string]*Pinger{}, givenUp: map[uint64]map[GivenUp]*givenUpState{}}
}

// setOwners sets the owners that hold claims. Previous owners stay until they are silent.
func (t *peerTable) setOwners(now time.Duration, owners []Owner) {
	claimed := map[uint64]bool{}
	for _, owner := range owners {
		claimed[owner.Incarnation] = true
		if t.views[owner.Incarnation] == nil {
			t.views[owner.Incarnation] = newView(now, owner)
		}
	}
	for incarnation, v := range t.views {
		v.hasClaim = claimed[incarnation]
	}
	t.expire(now)
}

// newView creates the view of an owner that has not answered yet.
func newView(now time.Duration, owner Owner) *view {
	v := &view{View: View{Owner: owner}, pingedSince: now}
	v.Alive, v.cancelAlive = context.WithCancel(context.Background())
	return v
}

// recordPong takes an owner's answer and returns the time since the last one. It ignores answers of
// unknown owners and those that are older than the newest.
func (t *peerTable) recordPong(now time.Duration, pong *linkpb.Pong) (gap time.Duration) {
	v := t.views[pong.GetLife()]
	if v == nil || pong.GetStamp() < v.Timestamp {
		return 0
	}
	if v.LastHeard > 0 {
		gap = now - v.LastHeard
	}
	if v.Alive.Err() != nil {
		v.Alive, v.cancelAlive = context.WithCancel(context.Background())
	}
	v.Timestamp = pong.GetStamp()
	v.LastHeard = now
	v.Loads = pong.GetLoads()
	v.recordPending(pong)
	v.ConfigurationVersion, v.ProfilesVersion = pong.GetConfigurationVersion(), pong.GetProfilesVersion()
	return gap
}

// recordPending takes the pending jobs of an owner's answer.
func (v *view) recordPending(pong *linkpb.Pong) {
	page := pong.GetPendingPage()
	if page == nil {
		v.PendingJobs, v.pages = pong.GetPending(), pendingPages{}
		return
	}
	if pending, complete := v.pages.take(pong.GetPending(), page); complete {
		v.PendingJobs = pending
	}
}

// giveUp has the next pings to an owner name a request.
func (t *peerTable) giveUp(now time.Duration, owner uint64, given GivenUp) {
	requests := t.givenUp[owner]
	if requests == nil {
		requests = map[GivenUp]*givenUpState{}
		t.givenUp[owner] = requests
	}
	if len(requests) < maxGivenUp {
		requests[given] = &givenUpState{at: now}
	}
}

// takeGivenUp returns the requests that a ping to an owner names: those first that the fewest pings
// have named.
func (t *peerTable) takeGivenUp(owner uint64) []GivenUp {
	requests := t.givenUp[owner]
	if len(requests) == 0 {
		return nil
	}
	named := slices.SortedFunc(maps.Keys(requests), func(a, b GivenUp) int {
		return cmp.Or(cmp.Compare(requests[a].pings, requests[b].pings), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Job, b.Job))
	})
	named = named[:min(len(named), maxGivenUpPerPing)]
	for _, given := range named {
		requests[given].pings++
	}
	return named
}

// expire ends Alive of silent owners, and removes silent previous owners, silent entry VMs and
// requests that were given up and named often enough, or at an owner that is gone.
func (t *peerTable) expire(now time.Duration) {
	for incarnation, v := range t.views {
		if now-max(v.LastHeard, v.pingedSince) <= SilenceTimeout {
			continue
		}
		v.cancelAlive()
		// An owner that has handed over its claim is kept only while it answers: until then it
		// may still run jobs.
		if !v.hasClaim {
			delete(t.views, incarnation)
		}
	}
	for id, p := range t.pingers {
		if now-p.LastHeard > pingerTimeout {
			delete(t.pingers, id)
		}
	}
	for owner, requests := range t.givenUp {
		gone := t.views[owner] == nil
		maps.DeleteFunc(requests, func(_ GivenUp, state *givenUpState) bool {
			age := now - state.at
			return age > givenUpRetention && (gone || state.pings >= givenUpPings || age > SilenceTimeout)
		})
		if len(requests) == 0 {
			delete(t.givenUp, owner)
		}
	}
}

// recordPing takes an entry VM's ping and returns the time since the last one. It ignores unknown
// entry VMs beyond maxPingers.
func (t *peerTable) recordPing(now time.Duration, ping *linkpb.Ping) (gap time.Duration) {
	id := EntryID(ping.GetVm(), ping.GetLife())
	p := t.pingers[id]
	if p == nil {
		if len(t.pingers) >= maxPingers {
			return 0
		}
		p = &Pinger{VM: ping.GetVm(), Incarnation: ping.GetLife(), FirstHeard: now}
		t.pingers[id] = p
	} else {
		gap = now - p.LastHeard
	}
	p.FailureDomain = ping.GetFailureDomain()
	p.ControlAddress, p.HeartbeatAddress = ping.GetControl(), ping.GetHeartbeat()
	p.CPUShare, p.Leaving = ping.GetCpuShare(), ping.GetLeaving()
	p.Limits = Limits{DeclaredCPUShare: ping.GetDeclaredCpuShare(), Sockets: ping.GetSockets(), LinkMbps: ping.GetLinkMbps()}
	p.ConfigurationVersion, p.ProfilesVersion = ping.GetConfigurationVersion(), ping.GetProfilesVersion()
	p.LastHeard = now
	return gap
}
