package configuration

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/profile"
)

// TestMain sets defaults of rapid's flags, with a fixed seed, so that every run
// has the same result. Flags of the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "nofailfile": "true", "steps": "50", "checks": "200", "shrinktime": "5s"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// check requires that no VM's version falls and that each VM holds exactly the
// objects that the store had at that version.
func (w *world) check() {
	for _, m := range w.living() {
		version := m.replica.Version()
		must.GreaterEq(w.t, m.version, version, must.Sprintf("%s went back", m.self.ID))
		m.version = version
		live := map[string]string{}
		for _, row := range m.replica.state.Live() {
			live[row.Key] = string(row.Value)
		}
		must.Eq(w.t, w.store.liveAt(version), live, must.Sprintf("%s at version %d", m.self.ID, version))
	}
}

// newChange draws a change of one or two objects.
func (w *world) newChange(current *Current) Change {
	w.changes++
	change := Change{ID: fmt.Sprintf("change-%d", w.changes), Operator: "fuzz"}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(w.t, "names")
	for _, name := range names {
		edit := Edit{Kind: KindProfile, Name: name, Profile: &profile.Profile{Name: name, QueueTasks: w.changes}}
		if current.Object(KindProfile, name).Exists() && rapid.IntRange(0, 3).Draw(w.t, "delete") == 0 {
			edit.Profile = nil
		}
		change.Edits = append(change.Edits, edit)
	}
	return change
}

// editor returns an editor whose waits may apply delayed commits, may run a
// change of another operator (unless nested) and may fail.
func (w *world) editor(nested bool) *Editor {
	return &Editor{Tables: w.store, Wait: func(context.Context, time.Duration) error {
		if rapid.Bool().Draw(w.t, "flush") {
			w.store.flush()
		}
		if !nested && rapid.IntRange(0, 2).Draw(w.t, "nested") == 0 {
			w.operate(true)
		}
		if rapid.IntRange(0, 9).Draw(w.t, "gives up") == 0 {
			return context.DeadlineExceeded
		}
		return nil
	}}
}

// operate makes one change and records its result.
func (w *world) operate(nested bool) {
	e := w.editor(nested)
	current, err := e.Read(context.Background())
	if err != nil {
		return
	}
	w.commit(e, current)
}

func (w *world) commit(e *Editor, current *Current) operatorResult {
	change := w.newChange(current)
	accepted, err := e.Commit(context.Background(), current, change)
	c := operatorResult{change.ID, accepted, err}
	w.results = append(w.results, c)
	return c
}

// checkResults compares the results reported to operators with the store's log.
func (w *world) checkResults() {
	w.store.flush()
	for _, c := range w.results {
		commits := w.store.commitsOf(c.id)
		switch {
		case c.err == nil:
			must.Eq(w.t, []uint64{c.accepted.Version}, commits, must.Sprintf("%s was reported as accepted", c.id))
		case errors.Is(c.err, ErrOutcomeUnknown):
			must.LessEq(w.t, 1, len(commits), must.Sprintf("%s took effect twice", c.id))
		default:
			must.SliceEmpty(w.t, commits, must.Sprintf("%s was reported as refused: %v", c.id, c.err))
		}
	}
}

// faults makes the store draw a fault for each commit and a lag for each read.
func (w *world) faults() {
	w.store.fault = func() commitFault {
		return rapid.SampledFrom([]commitFault{commitOK, commitOK, commitOK, commitRefused, commitAnswerLost, commitDelayed, commitLost}).Draw(w.t, "fault")
	}
	w.store.lag = func() uint64 {
		return rapid.SampledFrom([]uint64{0, 0, 0, 1, 2, 5}).Draw(w.t, "lag")
	}
}

// heal ends all faults and starts missing VMs.
func (w *world) heal() {
	w.store.fault, w.store.lag, w.store.down = nil, nil, false
	w.store.flush()
	w.cut = map[[2]string]bool{}
	for _, id := range w.ids() {
		if w.machines[id] == nil {
			w.start(id)
		}
		w.machines[id].cutOff = false
	}
	w.setMembers()
}

// converge heals the system, runs it for maxChangeDelay and requires that every
// VM then has the store's version.
func (w *world) converge() {
	w.heal()
	for elapsed := time.Duration(0); elapsed < maxChangeDelay; elapsed += step {
		w.tick(step)
		if elapsed%(2*time.Second) == 0 {
			w.heartbeats()
		}
		for _, m := range w.living() {
			w.finishRead(m)
		}
		for len(w.inFlight) > 0 {
			e := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.deliver(e)
		}
		w.check()
	}
	for _, m := range w.living() {
		must.Eq(w.t, w.store.configurationVersion(), m.replica.Version(), must.Sprintf("%s after the promised time", m.self.ID))
	}
}

func (w *world) pick() *machine { return rapid.SampledFrom(w.living()).Draw(w.t, "vm") }

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check() },
		"time": func(t *rapid.T) {
			w.tick(time.Duration(rapid.IntRange(1, 16).Draw(t, "steps")) * step)
		},
		"read": func(*rapid.T) { w.finishRead(w.pick()) },
		"reads": func(*rapid.T) {
			for _, m := range w.living() {
				w.finishRead(m)
			}
		},
		"heartbeats": func(*rapid.T) { w.heartbeats() },
		"deliver":    func(t *rapid.T) { w.deliverSome(rapid.IntRange(1, 12).Draw(t, "messages")) },
		"round": func(*rapid.T) {
			w.tick(step)
			w.finishRead(w.pick())
			w.heartbeats()
			w.deliverSome(len(w.inFlight))
		},
		"replay": func(t *rapid.T) {
			if len(w.delivered) > 0 {
				w.deliver(rapid.SampledFrom(w.delivered).Draw(t, "old message"))
			}
		},
		"drop": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				w.inFlight = w.inFlight[rapid.IntRange(0, len(w.inFlight)).Draw(t, "dropped"):]
			}
		},
		"operate": func(*rapid.T) { w.operate(false) },
		"race": func(t *rapid.T) {
			e := w.editor(true)
			current, err := e.Read(context.Background())
			if err == nil {
				w.commit(e, current)
				w.commit(e, current)
			}
		},
		"store":   func(*rapid.T) { w.store.down = !w.store.down },
		"flush":   func(*rapid.T) { w.store.flush() },
		"cut off": func(*rapid.T) { m := w.pick(); m.cutOff = !m.cutOff },
		"cut": func(*rapid.T) {
			pair := [2]string{w.pick().self.ID, w.pick().self.ID}
			w.cut[pair] = !w.cut[pair]
		},
		"kill": func(*rapid.T) {
			if len(w.living()) > 1 {
				delete(w.machines, w.pick().self.ID)
			}
		},
		"replace": func(*rapid.T) { w.start(rapid.SampledFrom(w.ids()).Draw(w.t, "id")) },
		"members": func(*rapid.T) { w.setMembers() },
	}
}

// TestFuzzConfigurationConverges runs VMs, operators and the store through drawn
// faults. No VM may go back or hold anything but the store's state at its version,
// all VMs converge after the faults, and every reported result is true.
func TestFuzzConfigurationConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faults()
		t.Repeat(w.actions())
		w.converge()
		w.checkResults()
	})
}

// TestConcurrentChangesHaveOneWinner commits changes of one object that are based
// on the same state, while answers and commits are lost or delayed: at most one is
// accepted, and the others end as conflicts or with an unknown outcome.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: &fakeStore{}}
		w.store.fault = func() commitFault {
			return rapid.SampledFrom([]commitFault{commitOK, commitAnswerLost, commitDelayed, commitLost}).Draw(t, "fault")
		}
		e := &Editor{Tables: w.store, Wait: func(context.Context, time.Duration) error { w.store.flush(); return nil }}
		current, err := e.Read(context.Background())
		must.NoError(t, err)
		accepted := 0
		for i := range rapid.IntRange(2, 5).Draw(t, "operators") {
			edit := Edit{Kind: KindProfile, Name: "a", Profile: &profile.Profile{Name: "a", QueueTasks: i + 1}}
			change := Change{ID: fmt.Sprintf("change-%d", i), Operator: "fuzz", Edits: []Edit{edit}}
			a, err := e.Commit(context.Background(), current, change)
			w.results = append(w.results, operatorResult{change.ID, a, err})
			if err == nil {
				accepted++
				continue
			}
			must.True(t, isConflict(err) || errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
		}
		w.checkResults()
		must.LessEq(t, 1, accepted)
		must.SliceLen(t, 1, w.store.rows(Table, 0, w.store.version))
	})
}
