package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracle records by simple rules which picks and quarantines are allowed.
type oracle struct {
	t   *rapid.T
	s   *State
	rng *rand.Rand
	now time.Duration
	// listed, leaving, said and free are by target; said means that the target
	// itself reported leaving since the list last showed it as leaving.
	listed, leaving, said, free map[string]bool
	running                     []oracleTask
	// failures are the submissions that failed at a target since it was last in
	// normal use.
	failures    map[string]map[string]bool
	unreachable map[string]bool
	jobs        int
}

type oracleTask struct {
	target, job, class string
	started            time.Duration
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t:           t,
		s:           New(Options{}),
		rng:         rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		free:        make(map[string]bool),
		said:        make(map[string]bool),
		failures:    make(map[string]map[string]bool),
		unreachable: make(map[string]bool),
	}
	o.list(t)
	for _, id := range o.ids() {
		o.setFree(id, true)
	}
	return o
}

// list draws a list of targets.
func (o *oracle) list(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "targets")
	var list []Target
	o.listed = make(map[string]bool)
	o.leaving = make(map[string]bool)
	for i := range n {
		spec := Target{ID: targetID(i), Rack: fmt.Sprint(i / 3), Leaving: o.rng.IntN(8) == 0}
		list = append(list, spec)
		o.listed[spec.ID] = true
		o.leaving[spec.ID] = spec.Leaving
		if spec.Leaving {
			delete(o.said, spec.ID)
		}
	}
	o.s.SetTargets(o.now, list)
	for i := range 12 {
		if id := targetID(i); !o.listed[id] {
			o.forget(id)
		}
	}
	o.check()
}

// ids returns the listed targets in order.
func (o *oracle) ids() []string { return slices.Sorted(maps.Keys(o.listed)) }

// forget removes the records of a target that is no longer listed.
func (o *oracle) forget(id string) {
	delete(o.said, id)
	delete(o.free, id)
	delete(o.failures, id)
	delete(o.unreachable, id)
	kept := o.running[:0]
	for _, k := range o.running {
		if k.target != id {
			kept = append(kept, k)
		}
	}
	o.running = kept
}

func (o *oracle) setFree(id string, free bool) {
	o.free[id] = free
	o.s.SetFree(id, free)
}

// use returns the State's explanation of the target.
func (o *oracle) use(id string) Explanation {
	e, ok := o.s.Explain(id)
	if !ok {
		o.t.Fatalf("%s is listed, but unknown to the State", id)
	}
	return e
}

func (o *oracle) start(t *rapid.T) {
	before := make(map[string]Explanation)
	for _, id := range o.ids() {
		before[id] = o.use(id)
	}
	id, ok := o.s.Pick(o.now, o.rng)
	if !ok {
		o.checkNothing()
		return
	}
	if !o.listed[id] || o.leaving[id] || o.said[id] || !o.free[id] {
		t.Fatalf("%s was picked: listed %v, leaving %v, reported leaving %v, free %v", id, o.listed[id], o.leaving[id], o.said[id], o.free[id])
	}
	k := oracleTask{target: id, class: fmt.Sprint("class", o.rng.IntN(2)), started: o.now}
	if o.use(id).Use == "quarantine" {
		o.checkProbe(before[id])
	}
	if o.jobs == 0 || o.rng.IntN(3) == 0 {
		o.jobs++
	}
	k.job = fmt.Sprint("job", o.jobs)
	o.s.RecordStart(o.now, id, k.class, k.job)
	o.running = append(o.running, k)
	if o.rng.IntN(3) == 0 {
		o.setFree(id, false)
	}
	o.check()
}

// checkProbe fails the test unless the time of the probe has come and no task runs
// at the target.
func (o *oracle) checkProbe(before Explanation) {
	if before.NextProbe > o.now {
		o.t.Fatalf("%s was probed %v too early", before.Target, before.NextProbe-o.now)
	}
	for _, k := range o.running {
		if k.target == before.Target {
			o.t.Fatalf("%s was probed while a task runs", k.target)
		}
	}
}

// checkNothing fails the test if a target could be picked: one that is listed, has
// free units, is not leaving, not in quarantine and does not back off.
func (o *oracle) checkNothing() {
	for _, id := range o.ids() {
		usable := !o.leaving[id] && !o.said[id] && o.free[id]
		if t := o.s.targets[id]; usable && !t.isQuarantined() && !t.backingOff {
			o.t.Fatalf("no target was picked, but %s is free: %+v", id, o.use(id))
		}
	}
}

func (o *oracle) end(t *rapid.T) {
	if len(o.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(o.running)-1).Draw(t, "task")
	k := o.running[at]
	o.running = append(o.running[:at], o.running[at+1:]...)
	o.finish(k, rapid.IntRange(0, 9).Draw(t, "end"))
	o.setFree(k.target, true)
	o.check()
}

func (o *oracle) finish(k oracleTask, end int) {
	result := Result{Target: k.target, Class: k.class, Submission: k.job, Runtime: o.now - k.started + time.Millisecond}
	switch end {
	case 0:
		o.s.RecordRefusal(o.now, k.target, RefusedFull)
	case 1:
		o.s.RecordRefusal(o.now, k.target, RefusedLease)
	case 2:
		o.unreachable[k.target] = true
		o.s.RecordRefusal(o.now, k.target, RefusedUnreachable)
	case 3:
		result.Outcome = OutcomeStopped
		o.s.RecordEnd(o.now, result)
	case 4, 5, 6:
		o.noteFailure(k)
		result.Outcome = OutcomeFailed
		o.s.RecordEnd(o.now, result)
	default:
		result.Outcome = OutcomeDone
		o.s.RecordEnd(o.now, result)
	}
}

func (o *oracle) noteFailure(k oracleTask) {
	if o.failures[k.target] == nil {
		o.failures[k.target] = make(map[string]bool)
	}
	o.failures[k.target][k.job] = true
}

// check fails the test if a target is in quarantine without its cause, or if too
// many targets are.
func (o *oracle) check() {
	out := 0
	for _, id := range o.ids() {
		e := o.use(id)
		switch e.Cause {
		case "failures":
			out++
			if len(o.failures[id]) < 3 {
				o.t.Fatalf("%s is in quarantine by %d submissions", id, len(o.failures[id]))
			}
		case "unreachable":
			out++
			if !o.unreachable[id] {
				o.t.Fatalf("%s is in quarantine as unreachable, but never was", id)
			}
		case "unresponsive":
			out++
		}
		if e.Use == "quarantine" && e.Cause == "none" {
			o.t.Fatalf("%s is in quarantine without a cause", id)
		}
	}
	if most := max(1, len(o.listed)/4); out > most || out > 0 && len(o.listed) == 1 {
		o.t.Fatalf("%d of %d targets are in quarantine", out, len(o.listed))
	}
	o.checkTables()
}

// checkTables compares the counts of each class with a new count of its outcomes.
func (o *oracle) checkTables() {
	for name, c := range o.s.classes {
		seen, bad := 0, 0
		for _, t := range o.s.ordered {
			if t.index >= len(c.lastOutcomes) || c.lastOutcomes[t.index] == outcomeUnseen {
				continue
			}
			seen++
			if c.lastOutcomes[t.index] == outcomeBad {
				bad++
			}
		}
		if seen != c.allSeen || bad != c.allBad {
			o.t.Fatalf("%s counts %d bad of %d targets, but there are %d of %d", name, c.allBad, c.allSeen, bad, seen)
		}
	}
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"start":      o.start,
		"start more": o.start,
		"end":        o.end,
		"end more":   o.end,
		"pass": func(t *rapid.T) {
			o.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second}).Draw(t, "time")
		},
		"list": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
				o.list(t)
			}
		},
		"say leaving": func(t *rapid.T) {
			id := targetID(rapid.IntRange(0, 11).Draw(t, "target"))
			if o.listed[id] && rapid.IntRange(0, 9).Draw(t, "really") == 0 {
				o.said[id] = true
				o.s.MarkLeaving(id)
			}
		},
		"say staying": func(t *rapid.T) {
			id := targetID(rapid.IntRange(0, 11).Draw(t, "target"))
			delete(o.said, id)
			o.s.MarkStaying(id)
		},
		"free": func(t *rapid.T) {
			id := targetID(rapid.IntRange(0, 11).Draw(t, "target"))
			if o.listed[id] {
				o.setFree(id, !o.free[id])
			}
		},
	}
}

// recover makes every task succeed, and fails the test unless all targets return to
// normal use.
func (o *oracle) recover() {
	for len(o.running) > 0 {
		k := o.running[0]
		o.running = o.running[1:]
		o.finish(k, 9)
	}
	for _, id := range o.ids() {
		delete(o.said, id)
		o.s.MarkStaying(id)
		o.setFree(id, true)
	}
	for range 20000 {
		o.now += 50 * time.Millisecond
		id, ok := o.s.Pick(o.now, o.rng)
		if !ok {
			continue
		}
		o.jobs++
		job := fmt.Sprint("job", o.jobs)
		o.s.RecordStart(o.now, id, "class0", job)
		o.s.RecordEnd(o.now, Result{Target: id, Class: "class0", Submission: job, Runtime: 20 * time.Millisecond, Outcome: OutcomeDone})
	}
	for _, id := range o.ids() {
		if e := o.use(id); !o.leaving[id] && e.Use != "normal" {
			o.t.Fatalf("%s works, but is not in normal use: %+v", id, e)
		}
	}
}

func TestPlacementAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(o.actions())
		o.recover()
	})
}
