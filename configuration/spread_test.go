package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	spreadVMs = 9
	// spreadDomains is the number of failure domains of the planned deployment size.
	spreadDomains = 24
	spreadStep    = 10 * time.Millisecond
	spreadRead    = 50 * time.Millisecond
	// spreadHeartbeat is the heartbeat interval of the membership, and
	// spreadSuspect the time until it removes a dead VM.
	spreadHeartbeat = 2 * time.Second
	spreadSuspect   = 6 * time.Second
	// readBudget is the share of the store's 2,000 reads a second that the
	// configuration may take.
	readBudget = 100
)

// scenario is a setup under which a change spreads.
type scenario struct {
	name       string
	times      Times
	heartbeats bool
	// leaderDies kills the leader when the change is made.
	leaderDies bool
	// readFails makes each VM's first read after the change time out.
	readFails bool
	// noPulls drops announcements and requests for changes, so that every VM
	// depends on its own reads.
	noPulls bool
	// maxDelay is the longest delay allowed.
	maxDelay time.Duration
}

// spread simulates one failure domain in steps of spreadStep, with a store that
// answers.
type spread struct {
	scenario scenario
	store    fakeStore
	vms      []*Replica
	dead     map[int]bool
	failed   map[int]bool
	reads    int
	// due holds the scheduled events by their time.
	due map[time.Duration][]func(now time.Duration)
}

func (s *spread) member(i int) Member {
	id := fmt.Sprintf("vm-%d", i)
	return Member{ID: id, Incarnation: 1, Address: id}
}

func (s *spread) schedule(when time.Duration, f func(time.Duration)) {
	s.due[when] = append(s.due[when], f)
}

func (s *spread) send(now time.Duration, from int, address string, body []byte, reply bool) {
	var to int
	_, _ = fmt.Sscanf(address, "vm-%d", &to)
	s.schedule(now+spreadStep, func(now time.Duration) {
		if s.dead[to] {
			return
		}
		self := peer.Sender{ID: s.member(from).ID, Incarnation: 1}
		answer, out := s.vms[to].HandlePeer(now, self, body)
		if answer != nil && !reply {
			s.send(now, to, s.member(from).Address, answer, true)
		}
		s.act(now, to, out)
	})
}

func (s *spread) act(now time.Duration, i int, out Output) {
	for _, m := range out.Sends {
		if s.scenario.noPulls {
			break
		}
		s.send(now, i, m.Address, m.Body, false)
	}
	if !out.Read {
		return
	}
	s.reads++
	changes, err := s.store.Changes(context.Background(), Table, out.Since)
	took := spreadRead
	if s.scenario.readFails && s.store.version > 1 && !s.failed[i] {
		s.failed[i] = true
		err, took = tableservice.ErrUnavailable.Errorf("slow"), readTimeout
	}
	s.schedule(now+took, func(done time.Duration) {
		s.act(done, i, s.vms[i].ReadDone(done, now, changes.Version, changeSet(out.Since, changes), err))
	})
}

func newSpread(w scenario) *spread {
	s := &spread{scenario: w, dead: map[int]bool{}, failed: map[int]bool{}, due: map[time.Duration][]func(time.Duration){}}
	s.put(1)
	var members []Member
	for i := range spreadVMs {
		members = append(members, s.member(i))
	}
	for i := range spreadVMs {
		r := NewReplica(peer.Sender{ID: s.member(i).ID, Incarnation: 1}, w.times, 0)
		r.SetMembers(members)
		s.vms = append(s.vms, r)
	}
	return s
}

func (s *spread) put(version uint64) {
	row := profileRow("a", version)
	_, _ = s.store.apply(tableservice.Commit{Writes: []tableservice.Write{{Table: Table, Key: row.Key, Value: row.Value}}})
}

// run makes a change at changeAt and returns the delay at the slowest VM and the
// reads a second before the change.
func (s *spread) run(changeAt time.Duration) (worst time.Duration, reads float64) {
	for now := time.Duration(0); ; now += spreadStep {
		if now == changeAt {
			reads = float64(s.reads-spreadVMs) / changeAt.Seconds()
			s.put(2)
			s.dead[0] = s.scenario.leaderDies
		}
		if s.dead[0] && now == changeAt+spreadSuspect {
			s.removeLeader()
		}
		for i, r := range s.vms {
			s.stepVM(now, i, r)
		}
		for _, f := range s.due[now] {
			f(now)
		}
		delete(s.due, now)
		if now > changeAt && s.allUpdated() {
			return now - changeAt, reads
		}
	}
}

// stepVM runs a VM's ticks and heartbeats that are due, with a phase that
// differs between VMs.
func (s *spread) stepVM(now time.Duration, i int, r *Replica) {
	if s.dead[i] {
		return
	}
	phase := time.Duration(i) * 70 * time.Millisecond
	if (now+phase)%tickInterval < spreadStep {
		s.act(now, i, r.Tick(now))
	}
	if !s.scenario.heartbeats || (now+3*phase)%spreadHeartbeat >= spreadStep {
		return
	}
	for j := range s.vms {
		if j != i {
			s.send(now, i, s.member(j).Address, r.Digest(now), false)
		}
	}
}

// removeLeader installs a view without VM 0.
func (s *spread) removeLeader() {
	var members []Member
	for i := 1; i < spreadVMs; i++ {
		members = append(members, s.member(i))
	}
	for _, r := range s.vms {
		r.SetMembers(members)
	}
}

// allUpdated reports whether every living VM has the change.
func (s *spread) allUpdated() bool {
	for i, r := range s.vms {
		if !s.dead[i] && r.Version() < 2 {
			return false
		}
	}
	return true
}

// TestChangeReachesAllVMsInTime bounds the delay of a change at the slowest VM,
// over changes at every phase of the polls, and the reads a second at the planned
// deployment size. Time is simulated. docs/CONFIGURATION.md shows the figures.
func TestChangeReachesAllVMsInTime(t *testing.T) {
	everyPolls := DefaultTimes()
	everyPolls.Poll, everyPolls.Takeover = 2*time.Second, 2*time.Second
	for _, w := range []scenario{
		{name: "each VM polls every 2 s", times: everyPolls, maxDelay: maxChangeDelay},
		{name: "each VM polls every 2 s, first read fails", times: everyPolls, readFails: true, maxDelay: maxChangeDelay},
		{name: "leader polls", times: DefaultTimes(), heartbeats: true, maxDelay: 2 * time.Second},
		{name: "leader polls and dies", times: DefaultTimes(), heartbeats: true, leaderDies: true, maxDelay: maxChangeDelay},
		{name: "leader polls and dies, first reads fail", times: DefaultTimes(), heartbeats: true, leaderDies: true, readFails: true, maxDelay: maxChangeDelay},
		{name: "heartbeats alone", times: DefaultTimes(), heartbeats: true, noPulls: true, maxDelay: maxChangeDelay},
		{name: "heartbeats alone, first reads fail", times: DefaultTimes(), heartbeats: true, noPulls: true, readFails: true, maxDelay: maxChangeDelay},
		{name: "no heartbeats", times: DefaultTimes(), maxDelay: maxChangeDelay},
	} {
		var worst time.Duration
		var reads float64
		for phase := time.Duration(0); phase < 4*time.Second; phase += 170 * time.Millisecond {
			delay, rate := newSpread(w).run(40*time.Second + phase.Truncate(spreadStep))
			worst, reads = max(worst, delay), max(reads, rate)
		}
		t.Logf("%-45s worst delay %5.2f s, %5.1f reads/s", w.name, worst.Seconds(), reads*spreadDomains)
		must.LessEq(t, w.maxDelay, worst, must.Sprint(w.name))
		if w.heartbeats {
			must.LessEq(t, readBudget, reads*spreadDomains, must.Sprint(w.name))
		}
	}
}
