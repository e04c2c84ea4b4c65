package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// submitTo submits a job of 100 ms tasks to a queue of a priority, and reports whether it was
// accepted. It has to start within a slack.
func (b *harness) submitTo(priority, tasks int, cpu int64, slack time.Duration) bool {
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref:   b.ref,
		Job:   work.Job{ID: fmt.Sprintf("job%d", b.ref), Steps: []work.Step{{Tasks: tasks, PerTask: work.Resources{CPU: cpu}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1, Allowance: slack, RequestTimeout: 10 * time.Second},
	})
	return len(pickEffects[Answer](b.effects())) == 0
}

// occupy adds targets of 32 cores and fills each with two runs of 16 cores.
func (b *harness) occupy(targets int) {
	for i := range targets {
		b.addUsableTarget(fmt.Sprintf("t%02d", i), 32000)
		must.True(b.t, b.submitTo(0, 2, 16000, time.Second))
	}
}

var corrected = Options{CorrectAdmission: true}

// A forecast that counted all processor that runs free would accept a job whose tasks fit nowhere, as
// smaller tasks take the places one by one.
func TestLargeTasksDontCountTooSmallPlaces(t *testing.T) {
	for name, test := range map[string]struct {
		options  Options
		cpu      int64
		accepted bool
	}{
		"small tasks":           {corrected, 16000, true},
		"large tasks":           {corrected, 20000, false},
		"large tasks, part off": {Options{}, 20000, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.options)
			b.occupy(20)
			for range 30 {
				must.True(t, b.submitTo(0, 2, 16000, time.Second))
			}
			must.Eq(t, test.accepted, b.submitTo(0, 4, test.cpu, 140*ms))
		})
	}
}

// A forecast that subtracted more urgent work as a share of all processor would accept jobs which then
// find no place: urgent tasks take as many places as they free.
func TestUrgentArrivalsTakeFreedPlaces(t *testing.T) {
	for name, test := range map[string]struct {
		options  Options
		accepted bool
	}{"part on": {corrected, false}, "part off": {Options{}, true}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, test.options)
			b.occupy(20)
			for range 40 {
				must.True(t, b.submitTo(0, 2, 16000, time.Second))
			}
			must.Eq(t, test.accepted, b.submitTo(1, 4, 16000, 700*ms))
		})
	}
}

// An accepted job that can't give way any more has its capacity before a later, more urgent job of
// another queue. One with time to spare gives way.
func TestAcceptedJobIsNotPushedOut(t *testing.T) {
	for name, test := range map[string]struct {
		slack    time.Duration
		accepted bool
	}{"no time to spare": {380 * ms, false}, "time to spare": {5 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, corrected)
			b.addUsableTarget("t", 32000)
			must.True(t, b.submitTo(2, 2, 16000, time.Second))
			b.s.pools["s"].arrivedCPU = [Priorities]float64{}
			must.True(t, b.submitTo(2, 6, 16000, test.slack))
			must.Eq(t, test.accepted, b.submitTo(0, 2, 16000, 150*ms))
		})
	}
}

// Capacity elsewhere that is reported in small tasks holds fewer large ones.
func TestCapacityElsewhereCountsWhereTasksFit(t *testing.T) {
	b := newHarness(t, corrected)
	b.occupy(1)
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{4, 4, 4}})
	j := &job{pool: b.s.pools["s"], sub: Submission{Queue: work.Queue{Service: "s"}}}
	must.Eq(t, 64000, b.s.fittingElsewhere(b.now, j, need{each: 16000, total: 64000}))
	must.Eq(t, 64000, b.s.fittingElsewhere(b.now, j, need{each: 32000, total: 64000}))
	must.Eq(t, 60000, b.s.fittingElsewhere(b.now, j, need{each: 20000, total: 80000}))
}

// An owner that has accepted no job must not count capacity elsewhere as none: it would refuse each job
// and never learn a typical size.
func TestCapacityElsewhereCountsAtNewOwner(t *testing.T) {
	b := newHarness(t, corrected)
	b.addUsableTarget("a", 32000)
	b.s.RegistryRead()
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 32000}, Draining: true})
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{9, 9, 9}})
	must.True(t, b.submitTo(0, 2, 16000, time.Second))
}

// Targets that are being taken over hold the smaller tasks that wait as well as the new large one. A
// forecast that counted them for large tasks only would refuse jobs after each takeover.
func TestArrivingTargetsHoldSmallerTasks(t *testing.T) {
	b := newHarness(t, corrected)
	for i := range 20 {
		b.listTargetWithCPU(fmt.Sprintf("t%02d", i), 32000)
	}
	for range 7 {
		must.True(t, b.submitTo(0, 2, 16000, 50*ms))
	}
	must.True(t, b.submitTo(0, 1, 20000, 60*ms))
}

// Smaller tasks that can't start take nothing of what runs free. A forecast that counted them would
// refuse large tasks for as long as such a backlog waits.
func TestTasksThatCantStartTakeNothing(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(b *harness, j *job)
		accepted bool
	}{
		"can start":             {func(*harness, *job) {}, false},
		"waits for the adviser": {func(_ *harness, j *job) { j.steps[0].advice = newAdvice() }, true},
		"has been advised": {func(b *harness, j *job) {
			j.steps[0].advice = newAdvice()
			b.s.adviserRequests["x"] = j.steps[0]
			b.s.Advised(b.now, AskAdviser{Step: "x"}, map[string]string{"elsewhere": "t"}, time.Second, true)
		}, false},
		"restarts later": {func(b *harness, j *job) {
			j.steps[0].Lasting = true
			for _, tk := range j.tasks {
				tk.notBefore = b.now + time.Second
			}
		}, true},
		"claim unconfirmed": {func(b *harness, _ *job) { b.s.options.RecordTargets = true }, true},
		"late":              {func(_ *harness, j *job) { j.late = true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, corrected)
			b.occupy(20)
			sub := b.durableJob("d", 60)
			sub.Queue.Allowance = time.Hour
			sub.Job.Steps[0].PerTask.CPU = 8000
			b.acceptAndStore(sub)
			must.SliceLen(t, 1, b.s.waiting)
			test.change(b, b.s.waiting[0])
			must.Eq(t, test.accepted, b.submitTo(0, 4, 20000, 140*ms))
		})
	}
}

// A forecast looks at a bounded number of waiting jobs. Without the estimate for the others, a job behind
// a long queue would be accepted; without the bound, each forecast would cost more than it is worth.
func TestLongQueueIsEstimated(t *testing.T) {
	const waiting = 4 * maxJobsCounted
	b := newHarness(t, corrected)
	newJob := func(i int, cpu int64) *job {
		return b.s.newJob(b.now, Submission{
			Ref:   Ref(i),
			Job:   work.Job{Steps: []work.Step{{Tasks: 2, PerTask: work.Resources{CPU: cpu}}}},
			Queue: work.Queue{Name: "q", Service: "s", Allowance: time.Duration(i) * ms},
		})
	}
	for i := range waiting {
		b.s.enqueue(newJob(i+1, 16000))
	}
	for _, j := range b.s.waiting[maxJobsCounted:] {
		j.steps[0].PerTask.CPU = 1
	}
	for name, test := range map[string]struct {
		place int
		cpu   int64
		ahead aheadCPU
	}{
		"first":             {0, 16000, aheadCPU{}},
		"counted":           {maxJobsCounted / 2, 16000, aheadCPU{larger: maxJobsCounted / 2 * 32000}},
		"behind all":        {waiting, 16000, aheadCPU{larger: waiting * 32000}},
		"behind all, large": {waiting, 20000, aheadCPU{smaller: waiting * 32000, waitingSmaller: waiting * 32000}},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJob(test.place, test.cpu)
			j.sub.Ref = waiting + 1
			must.Eq(t, test.ahead, b.s.reservedAhead(b.now, j, j.initialNeed(), &[Priorities]float64{1, 1, 1}))
		})
	}
}

// checkFits fails if a pool's fitRates differ from what its open targets' runs give.
func (b *harness) checkFits() {
	fresh := fitRates{}
	p := b.s.pools["s"]
	for _, list := range p.buckets {
		for _, t := range list {
			counted := t.fits
			t.fits = nil
			fresh.add(t)
			t.fits = counted
		}
	}
	must.Eq(b.t, fresh, *p.fits)
}

// Several targets leave and come back at the same moment; what their runs free counts only while they
// take tasks.
func TestFitRatesFollowTargets(t *testing.T) {
	b := newHarness(t, corrected)
	b.occupy(6)
	b.checkFits()
	before := b.s.pools["s"].fits.total
	for _, draining := range []bool{true, false} {
		for i := range 4 {
			b.listTarget(work.Target{ID: fmt.Sprintf("t%02d", i), Capacity: work.Resources{CPU: 32000}, Draining: draining})
		}
		b.checkFits()
		must.Eq(t, draining, b.s.pools["s"].fits.total < before)
	}
	b.s.loseTarget(b.now, b.s.targets["t00"], "test")
	b.checkFits()
}
