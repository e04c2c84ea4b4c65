package quota

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result; a flag on the
// command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	team1 = "payments"
	// longestRun is the longest run of a task in the world, and testReserve covers it.
	longestRun  = 10 * time.Second
	testReserve = 2 * longestRun
	viewLease   = 5 * time.Second
)

// lateCommit is a commit of unknown outcome that may take effect at a later time.
type lateCommit struct {
	at     time.Duration
	commit tableservice.Commit
}

// store simulates the table service, with its past states for stale reads.
type store struct {
	version uint64
	rows    map[string]tableservice.Row
	past    []tableservice.Changes
	late    []lateCommit
}

func newStore() *store {
	return &store{rows: map[string]tableservice.Row{}, past: []tableservice.Changes{{}}}
}

// apply makes a commit take effect, if its expectations hold.
func (s *store) apply(c tableservice.Commit) bool {
	for _, e := range c.Expect {
		if s.rows[e.Key].Version != e.Version {
			return false
		}
	}
	s.version++
	for _, w := range c.Writes {
		s.rows[w.Key] = tableservice.Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	state := tableservice.Changes{Version: s.version}
	for _, r := range s.rows {
		state.Rows = append(state.Rows, r)
	}
	slices.SortFunc(state.Rows, func(a, b tableservice.Row) int { return int(a.Version) - int(b.Version) })
	s.past = append(s.past, state)
	return true
}

// domainWorld simulates one failure domain: its homes, of which the newest grants units,
// and the end times of its running tasks.
type domainWorld struct {
	name     string
	homes    []*home
	ends     []time.Duration
	wants    int
	capacity int
	cutOff   bool
}

// home is a process that is or was the home of the team's pool.
type home struct {
	state *State
	// out is the number of units out at the end of a previous home's term. The newest
	// home uses the number of running tasks instead.
	out int
	// validUntil is when the view lease of a previous home ends.
	validUntil time.Duration
}

type world struct {
	t       *rapid.T
	now     time.Duration
	base    map[string]int
	quota   int
	domains []*domainWorld
	store   *store
	homes   int
	moved   bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, base: map[string]int{}, store: newStore()}
	for i := range rapid.IntRange(2, 4).Draw(t, "domains") {
		d := &domainWorld{name: fmt.Sprint("d", i)}
		w.base[d.name] = rapid.IntRange(1, 10).Draw(t, "base")
		w.quota += w.base[d.name]
		w.domains = append(w.domains, d)
	}
	for _, d := range w.domains {
		w.newHome(d)
	}
	return w
}

// newHome replaces the home. The previous one continues under its view lease, but members
// no longer take units from it.
func (w *world) newHome(d *domainWorld) {
	if n := len(d.homes); n > 0 {
		previous := d.homes[n-1]
		previous.out = len(d.ends)
		previous.validUntil = w.now + viewLease
	}
	w.homes++
	s := New(Options{Domain: d.name, Self: fmt.Sprint("vm", w.homes)})
	s.SetTeams([]Team{{Name: team1, Base: w.base}}, testReserve)
	d.homes = append(d.homes, &home{state: s})
	d.homes = d.homes[max(0, len(d.homes)-3):]
	d.capacity, _ = s.Share(w.now, team1)
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, domain := range w.domains {
		domain.ends = slices.DeleteFunc(domain.ends, func(end time.Duration) bool { return end <= w.now })
	}
	var waiting []lateCommit
	for _, l := range w.store.late {
		if l.at > w.now {
			waiting = append(waiting, l)
			continue
		}
		w.store.apply(l.commit)
	}
	w.store.late = waiting
}

// tick lets one home record its usage, read and commit, in the order of Duty.
func (w *world) tick(d *domainWorld, h *home) {
	newest := h == d.homes[len(d.homes)-1]
	u := Usage{Home: true, Valid: newest || w.now < h.validUntil, Known: true, Out: h.out}
	if newest {
		u.Out, u.Want = len(d.ends), max(0, d.wants-len(d.ends))
		u.Capacity = d.capacity
	}
	h.state.RecordUsage(w.now, team1, u)
	w.grant(d, h, newest)
	if newest {
		// The usage is recorded again with the new capacity.
		u.Out, u.Capacity = len(d.ends), d.capacity
		h.state.RecordUsage(w.now, team1, u)
	}
	if !d.cutOff {
		w.read(h)
	}
	if a, ok := h.state.NextAttempt(w.now); ok {
		w.commit(d, h, a)
	}
	w.grant(d, h, newest)
}

// grant sets the capacity to the share of the newest home, and starts waiting tasks.
func (w *world) grant(d *domainWorld, h *home, newest bool) {
	if !newest {
		return
	}
	d.capacity, _ = h.state.Share(w.now, team1)
	for len(d.ends) < min(d.capacity, d.wants) {
		run := time.Duration(rapid.IntRange(1, int(longestRun/time.Second)).Draw(w.t, "run in s")) * time.Second
		d.ends = append(d.ends, w.now+run)
	}
	w.moved = w.moved || d.capacity > w.base[d.name]
}

func (w *world) read(h *home) {
	past := w.store.past
	at := len(past) - 1
	if rapid.IntRange(0, 5).Draw(w.t, "stale read") == 0 {
		at = rapid.IntRange(0, at).Draw(w.t, "read of state")
	}
	h.state.Read(w.now, w.now, past[at])
}

func (w *world) commit(d *domainWorld, h *home, a Attempt) {
	commit, err := a.Commit()
	must.NoError(w.t, err)
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate of the commit")
	if d.cutOff {
		fate = rapid.IntRange(6, 9).Draw(w.t, "fate of the commit while cut off")
	}
	switch fate {
	case 9:
		h.state.RecordResult(w.now, a, Refused, 0)
	case 8:
		h.state.RecordResult(w.now, a, Unknown, 0)
	case 7:
		late := time.Duration(rapid.IntRange(1, 200).Draw(w.t, "late by s")) * time.Second
		w.store.late = append(w.store.late, lateCommit{at: w.now + late, commit: commit})
		h.state.RecordResult(w.now, a, Unknown, 0)
	case 6:
		w.store.apply(commit)
		h.state.RecordResult(w.now, a, Unknown, 0)
	default:
		if !w.store.apply(commit) {
			h.state.RecordResult(w.now, a, Refused, 0)
			return
		}
		h.state.RecordResult(w.now, a, Applied, w.store.version)
	}
}

// check is the oracle: no more tasks run than the quota allows.
func (w *world) check() {
	running := 0
	for _, d := range w.domains {
		running += len(d.ends)
	}
	must.LessEq(w.t, w.quota, running)
}

// Moves shares under lost and late commits, stale reads, network cuts and changes of
// homes.
func TestFuzzQuotaHolds(t *testing.T) {
	moved := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(50, 250).Draw(rt, "steps") {
			d := rapid.SampledFrom(w.domains).Draw(rt, "domain")
			switch rapid.IntRange(0, 39).Draw(rt, "event") {
			case 0:
				w.newHome(d)
			case 1, 2:
				d.cutOff = !d.cutOff
			case 3, 4, 5, 6:
				d.wants = rapid.SampledFrom([]int{0, 1, w.quota / 2, w.quota}).Draw(rt, "wants")
			case 7:
				w.advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "long pause in s")) * time.Second)
			case 8, 9, 10:
				w.tick(d, rapid.SampledFrom(d.homes).Draw(rt, "home"))
			default:
				w.advance(time.Duration(rapid.IntRange(0, 6).Draw(rt, "pause in s")) * time.Second)
				for _, d := range w.domains {
					w.tick(d, d.homes[len(d.homes)-1])
				}
			}
			w.check()
		}
		if w.moved {
			moved++
		}
	})
	// Without moved shares the oracle would check nothing.
	must.Greater(t, 100, moved)
	t.Logf("shares moved in %d histories", moved)
}
