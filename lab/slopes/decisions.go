package slopes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/capacity/capacitypb"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/placement"
	"github.com/burdockward/burdockward/profile"
)

func decisionExperiments() []experiment {
	return []experiment{
		{
			name:     "decide-placement",
			title:    "one choice of a target, with its end, against targets; no network",
			variable: "targets",
			points:   []float64{16, 50, 212, 1000, 4000},
			alone:    true,
			measure:  decision(benchPlacement),
		},
		{
			name:     "decide-admission",
			title:    "one task handed out and finished against waiting tasks; no network",
			variable: "waiting tasks",
			points:   []float64{170, 1700, 17_000, 170_000},
			alone:    true,
			measure:  decision(benchAdmission),
		},
		{
			name:     "decide-profiles",
			title:    "one task handed out and finished against profiles with waiting tasks; no network",
			variable: "profiles",
			points:   []float64{4, 40, 100, 400},
			alone:    true,
			measure:  decision(benchProfiles),
		},
		{
			name:     "decide-limits",
			title:    "the look at all limits and quotas that each round of the dispatch duty takes, against profiles with a limit, and a team for every four; no network",
			variable: "profiles",
			alone:    true,
			points:   []float64{4, 40, 100, 400},
			measure:  decision(benchLimits),
		},
		{
			name:     "decide-capacity",
			title:    "one slot unit taken and given back, in a view of one VM, against targets; no network",
			variable: "targets",
			points:   []float64{16, 50, 212, 1000, 4000},
			alone:    true,
			measure:  decision(benchCapacity),
		},
	}
}

// decision returns the function that measures a benchmark at one size: the time and allocations of
// one decision, and the memory of the state that it works on. build makes that state and returns
// the decision.
func decision(build func(size int) func()) func(context.Context, *runner, float64) (costs, error) {
	return func(_ context.Context, r *runner, x float64) (costs, error) {
		if err := r.setBenchTime(); err != nil {
			return nil, err
		}
		before := liveHeap()
		decide := build(int(x))
		after := liveHeap()
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				decide()
			}
		})
		if result.N == 0 {
			return nil, fmt.Errorf("the benchmark did not run")
		}
		return costs{
			"ns_a_decision":          float64(result.T.Nanoseconds()) / float64(result.N),
			"allocations_a_decision": float64(result.AllocsPerOp()),
			"state_kb":               float64(after-before) / 1024,
		}, nil
	}
}

// setBenchTime sets the least time of a benchmark. Package testing reads it only from a flag.
func (r *runner) setBenchTime() error {
	testing.Init()
	length := fullBench
	if r.short {
		length = shortBench
	}
	return flag.Set("test.benchtime", length)
}

// liveHeap returns the size of the heap after a garbage collection, in bytes.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// benchPlacement returns a decision that picks a target, and records the start and the successful
// end of a task there.
func benchPlacement(targets int) func() {
	rng := rand.New(rand.NewPCG(1, 1))
	s := placement.New(placement.Options{})
	var list []placement.Target
	for i := range targets {
		list = append(list, placement.Target{ID: fmt.Sprintf("t%05d", i), Rack: fmt.Sprintf("r%d", i/8)})
	}
	s.SetTargets(0, list)
	for _, t := range list {
		s.SetFree(t.ID, true)
	}
	now, n := time.Duration(0), 0
	return func() {
		now += time.Millisecond
		n++
		t, ok := s.Pick(now, rng)
		if !ok {
			panic("no target is free")
		}
		job := submissionNames[n%len(submissionNames)]
		s.RecordStart(now, t, "class", job)
		s.RecordEnd(now, placement.Result{
			Target:     t,
			Class:      "class",
			Submission: job,
			Runtime:    100 * time.Millisecond,
			Outcome:    placement.OutcomeDone,
		})
	}
}

// submissionNames are made beforehand, so that benchmarks don't measure the formatting.
var submissionNames = func() []string {
	names := make([]string, 1024)
	for i := range names {
		names[i] = fmt.Sprintf("a.epoch.%d", i)
	}
	return names
}()

// benchAdmission returns a decision that starts and ends a task, with waiting tasks of one profile.
func benchAdmission(waiting int) func() { return benchOrder(waiting, 1) }

// benchProfiles returns the same decision with waiting tasks of many profiles.
func benchProfiles(profiles int) func() { return benchOrder(profiles*tasksOfBenchJob*4, profiles) }

const (
	tasksOfBenchJob = 10
	benchDeadline   = 10 * time.Hour
)

// benchOrder returns a decision that takes the next waiting task, starts and ends it, and admits
// jobs so that about the same number of tasks waits.
func benchOrder(waiting, profiles int) func() {
	s := admission.New(admission.Config{Domain: baseDomain, Domains: []string{baseDomain}, MaxQueuedTasks: 1 << 30})
	list := manyProfiles(profiles)
	for i := range list {
		list[i].QueueTasks = 1 << 29
		list[i].MaxDeadlineMS = benchDeadline.Milliseconds()
		list[i].Team = ""
	}
	s.SetProfiles(0, list, nil)
	manySlots := admission.Capacity{Slots: 1 << 20, Share: 1}
	s.SetCapacity(manySlots)
	now, n := time.Duration(0), 0
	durations := make([]time.Duration, tasksOfBenchJob)
	admit := func() {
		n++
		failure := s.Admit(now, admission.Submission{
			ID:         admission.ID(fmt.Sprintf("a.epoch.%d", n)),
			Profile:    list[n%profiles].Name,
			DeadlineAt: now + benchDeadline,
			Tasks:      durations,
		}, manySlots)
		if failure != nil {
			panic(failure)
		}
	}
	for s.QueueLen() < waiting {
		admit()
	}
	usable := func(string) bool { return true }
	return func() {
		now += time.Microsecond
		if s.QueueLen() < waiting {
			admit()
		}
		ref, ok := s.Next(now, usable)
		if !ok {
			panic("no task waits")
		}
		s.RecordStart(now, ref)
		s.RecordEnd(now, ref, 100*time.Millisecond, admission.OutcomeDone)
	}
}

// benchLimits returns a decision that reports to the capacity duty, for all limits and quotas, that
// no task waits for them.
func benchLimits(profiles int) func() {
	self := capacity.Member{ID: "vm-0", Incarnation: 1}
	s := dispatch.NewShared(dispatch.SharedOptions{
		Capacity:   capacity.Options{Self: self},
		Domain:     baseDomain,
		Domains:    []string{baseDomain},
		Send:       func(capacity.Member, *capacitypb.Message) {},
		LeaseValid: func() bool { return true },
		SetDigest:  func([]byte) {},
		RNG:        rand.New(rand.NewPCG(1, 1)),
	})
	s.SetView(0, capacity.View{ID: "1", Members: []capacity.Member{self}})
	list := limitedProfiles(profiles)
	var teams []profile.Team
	for i := 0; i < profiles; i += profilesOfTeam {
		teams = append(teams, profile.Team{Name: list[i].Team, QuotaSlots: quotaSlots})
	}
	s.SetProfiles(0, list, teams)
	now := time.Duration(0)
	waiting := func(string) int { return 0 }
	return func() {
		now += time.Microsecond
		s.WantLimits(now, waiting)
	}
}

// benchCapacity returns a decision that takes a unit of a target that this VM holds, and returns
// it.
func benchCapacity(targets int) func() {
	self := capacity.Member{ID: "vm-0", Incarnation: 1}
	s := capacity.New(capacity.Options{Self: self})
	s.SetView(0, capacity.View{ID: "1", Members: []capacity.Member{self}})
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprintf("t%05d", i)
		s.SetPool(0, capacity.Pool{Name: names[i], Kind: capacity.KindSlots, Capacity: baseSlots})
	}
	now, n := time.Duration(0), 0
	return func() {
		now += time.Microsecond
		n++
		name := names[n%targets]
		if !s.Take(name) {
			panic("no unit is free: " + name)
		}
		s.Give(now, name)
	}
}
