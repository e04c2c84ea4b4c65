package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// weak and strong are shares of a core that VMs have.
const (
	weak   = 0.192
	strong = 0.8
)

// vms creates VMs with the same share of a core.
func vms(n int, cpu float64) []VM {
	list := make([]VM, n)
	for i := range list {
		list[i] = VM{Name: fmt.Sprintf("vm%02d", i), Incarnation: uint64(i + 1), CPU: cpu}
	}
	return list
}

func budget(cpu float64) Budget { return Budget{CPU: cpu, Sockets: 3900, MemoryMB: 184} }

// An owner with enough capacity for its targets uses no relays, however many candidates there are.
func TestFewTargetsNeedNoRelays(t *testing.T) {
	for _, test := range []struct {
		cpu  float64
		load Load
	}{
		{0.4, Load{Targets: 16, Calls: 400}},
		{0.4, Load{Targets: 48, Calls: 400}},
		{strong, Load{Targets: 117, Calls: 2000}},
		{strong, Load{Targets: 220, Calls: 1800}},
		{2, Load{Targets: 300, Calls: 1500}},
	} {
		must.SliceEmpty(t, Plan{}.Next(0, budget(test.cpu), test.load, vms(40, weak)).Relays, must.Sprint(test))
	}
}

// The number of relays follows from the targets that exceed the owner's capacity, whether its
// processor, its sockets or its memory is the limit.
func TestRelaysCoverWhatExceedsOwnCapacity(t *testing.T) {
	for name, test := range map[string]struct {
		own   Budget
		load  Load
		least int
		most  int
	}{
		"a weak owner":                    {budget(weak), Load{Targets: 117, Calls: 2000}, 2, 8},
		"a weak owner of many":            {budget(weak), Load{Targets: 500, Calls: 1600}, 12, 20},
		"a strong owner of many":          {budget(strong), Load{Targets: 500, Calls: 1600}, 5, 10},
		"a strong owner of a thousand":    {budget(strong), Load{Targets: 1000, Calls: 3200}, 20, 30},
		"one that was slowed down":        {budget(strong / 8), Load{Targets: 220, Calls: 1800}, 4, 10},
		"one with few sockets":            {Budget{CPU: 4, Sockets: 800, MemoryMB: 1000}, Load{Targets: 300}, 6, 12},
		"one with little memory":          {Budget{CPU: 4, Sockets: 16000, MemoryMB: 100}, Load{Targets: 500}, 6, 12},
		"one whose targets are very busy": {budget(strong), Load{Targets: 117, Calls: 20000}, 40, 46},
	} {
		plan := Plan{}.Next(0, test.own, test.load, vms(46, weak))
		must.Between(t, test.least, len(plan.Relays), test.most, must.Sprint(name, " has ", len(plan.Relays)))
	}
	must.SliceEmpty(t, Plan{}.Next(0, budget(weak), Load{Targets: 500}, nil).Relays)
}

// A target keeps its relay while that relay is a candidate. When a relay leaves, few other targets
// move, and small changes of capacity or load move none.
func TestTargetsKeepTheirRelays(t *testing.T) {
	load := Load{Targets: 1000, Calls: 3000}
	candidates := vms(46, weak)
	plan := Plan{}.Next(0, budget(weak), load, candidates)
	before, own := map[string]uint64{}, 0
	for i := range load.Targets {
		id := fmt.Sprintf("t%04d", i)
		if at := plan.RelayIndex(id, load.coresPerTarget()); at >= 0 {
			before[id] = plan.Relays[at].Incarnation
		} else {
			own++
		}
	}
	must.Between(t, 20, own, 120)
	gone := plan.Relays[3].Incarnation
	after := plan.Next(time.Second, budget(weak), load, append(candidates[:3:3], candidates[4:]...))
	moved := 0
	for id, incarnation := range before {
		at := after.RelayIndex(id, load.coresPerTarget())
		if at < 0 || after.Relays[at].Incarnation != incarnation {
			moved++
			must.True(t, incarnation == gone || at >= 0 && after.Relays[at].Incarnation != gone)
		}
	}
	// The targets of the relay that has left move, and a share of all to its replacement.
	must.Less(t, 3*len(before)/len(plan.Relays), moved)
	// Small changes leave the assignment as it is.
	candidates[5].CPU *= 0.9
	must.True(t, plan.SameAssignment(plan.Next(2*time.Second, budget(0.9*weak), Load{Targets: 980, Calls: 3100}, candidates)))
}

// Relays are released after the owner could do without them for releaseDelay.
func TestRelaysAreReleasedAfterDelay(t *testing.T) {
	plan := Plan{}.Next(0, budget(strong/8), Load{Targets: 100, Calls: 900}, vms(10, weak))
	must.SliceNotEmpty(t, plan.Relays)
	load := Load{Targets: 100, Calls: 900}
	plan = plan.Next(time.Second, budget(strong), load, vms(10, weak))
	must.SliceNotEmpty(t, plan.Relays)
	plan = plan.Next(time.Second+releaseDelay+1, budget(strong), load, vms(10, weak))
	must.SliceEmpty(t, plan.Relays)
}

// An owner whose process is busy with other work has relays send what its processor doesn't suffice for. Its own calls
// aren't other work, and an unknown usage changes nothing.
func TestOtherWorkLeavesLessForTargets(t *testing.T) {
	load := Load{Targets: 117, Calls: 2000, OwnCalls: 2000}
	own := load.OwnCalls * callCost.Seconds()
	for name, test := range map[string]struct {
		cpu, used   float64
		least, most int
	}{
		"unknown":              {strong, 0, 0, 0},
		"its own calls":        {strong, own, 0, 0},
		"some other work":      {strong, own + 0.4, 0, 0},
		"much other work":      {strong, own + 0.5, 1, 5},
		"more than it has":     {strong, own + strong, 4, 12},
		"weak, no other work":  {weak, own, 2, 8},
		"weak, its other work": {weak, own + weak, 6, 16},
	} {
		b := budget(test.cpu)
		b.Used = test.used
		plan := Plan{}.Next(0, b, load, vms(46, weak))
		must.Between(t, test.least, len(plan.Relays), test.most, must.Sprint(name, " has ", len(plan.Relays)))
	}
}

// An owner whose process is busy with callers keeps a few targets with few calls to itself: relays wouldn't relieve it.
func TestFewCallsNeedNoRelaysUnderOtherWork(t *testing.T) {
	for _, load := range []Load{{Targets: 3, Calls: 10, OwnCalls: 10}, {Targets: 6, Calls: 100, OwnCalls: 100}} {
		for _, used := range []float64{0.8, 1, 1.2} {
			b := budget(weak)
			b.Used = used * weak
			must.SliceEmpty(t, Plan{}.Next(0, b, load, vms(5, weak)).Relays)
		}
	}
}

// When relays have taken over targets, the other work is the same as before, and the plan stays as it is.
func TestPlanIsStableUnderOtherWork(t *testing.T) {
	const others = 0.55
	load := Load{Targets: 117, Calls: 2000, OwnCalls: 2000}
	plan, changes := Plan{}, 0
	for i := range 100 {
		b := budget(strong)
		b.Used = others + load.OwnCalls*callCost.Seconds()
		next := plan.Next(time.Duration(i)*planInterval, b, load, vms(46, weak))
		if !next.SameAssignment(plan) {
			changes++
		}
		plan = next
		load.OwnCalls = load.Calls * plan.OwnTargets / float64(load.Targets)
	}
	must.SliceNotEmpty(t, plan.Relays)
	must.Eq(t, 1, changes)
}

// Orders and polls that the owner sends itself are counted apart from those that relays send.
func TestOwnCallsAreCounted(t *testing.T) {
	r := NewRouter(Options{Direct: &fakeTargets{}, StoreAge: func() time.Duration { return 0 }, Count: func(string, string) {}})
	r.Start(t.Context(), address(1), work.StartOrder{}, 1)
	r.Stop(t.Context(), address(1), work.RunID{}, 1)
	r.Poll(t.Context(), address(1), 1, 0, 0, 0)
	must.Eq(t, 3, r.ownCalls.Load())
}
