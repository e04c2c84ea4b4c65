package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFastFailingTargetGetsFewTasks(t *testing.T) {
	f := newFleet(8)
	f.saturate(2*time.Second, good)
	bad := targetID(3)
	starts := f.saturate(10*time.Second, func(target string) (time.Duration, Outcome) {
		if target == bad {
			return time.Millisecond, OutcomeFailed
		}
		return good(target)
	})
	must.LessEq(t, 10, starts[bad])
	must.Eq(t, "quarantine", f.use(3))
}

// Two of four targets fail, of which one may be in quarantine. The other one must
// get no more tasks than a working one.
func TestFailingTargetBeyondTheCapIsNotPreferred(t *testing.T) {
	f := newFleet(4)
	f.saturate(2*time.Second, good)
	starts := f.saturate(10*time.Second, func(target string) (time.Duration, Outcome) {
		if target == targetID(1) || target == targetID(2) {
			return time.Millisecond, OutcomeFailed
		}
		return good(target)
	})
	must.LessEq(t, starts[targetID(0)]+10, starts[targetID(1)]+starts[targetID(2)])
	must.Eq(t, 1, f.s.quarantined)
}

func TestJobsFailingEverywhereQuarantineNoTarget(t *testing.T) {
	f := newFleet(16)
	f.saturate(2*time.Second, good)
	bad := func(string) (time.Duration, Outcome) { return 10 * time.Millisecond, OutcomeFailed }
	for range 20 {
		job := f.job()
		for range 30 {
			f.task(job, bad)
		}
		for range 50 {
			f.task(f.job(), good)
		}
		must.Eq(t, 0, f.s.quarantined)
	}
	for i := range 16 {
		must.Eq(t, "normal", f.use(i))
	}
}

func TestFailingClassQuarantinesAtMostOneTarget(t *testing.T) {
	f := newFleet(16)
	f.saturate(2*time.Second, good)
	coin := func(string) (time.Duration, Outcome) {
		if f.rng.IntN(3) == 0 {
			return 50 * time.Millisecond, OutcomeFailed
		}
		return good("")
	}
	f.saturate(5*time.Second, coin)
	f.saturate(60*time.Second, coin)
	must.LessEq(t, 1, f.s.quarantined)
}

func TestAllTargetsOfFailingRackAreQuarantined(t *testing.T) {
	f := newFleet(16)
	f.saturate(2*time.Second, good)
	inRack := func(target string) bool { return target >= targetID(4) && target < targetID(8) }
	f.saturate(20*time.Second, func(target string) (time.Duration, Outcome) {
		if inRack(target) {
			return 5 * time.Millisecond, OutcomeFailed
		}
		return good(target)
	})
	for i := range 16 {
		want := "normal"
		if inRack(targetID(i)) {
			want = "quarantine"
		}
		must.Eq(t, want, f.use(i))
	}
	f.saturate(3*time.Minute, good)
	must.Eq(t, 0, f.s.quarantined)
}

func TestFleetWideFailureKeepsTargetsInUse(t *testing.T) {
	f := newFleet(16)
	f.saturate(2*time.Second, good)
	starts := f.saturate(10*time.Second, func(string) (time.Duration, Outcome) {
		return 5 * time.Millisecond, OutcomeFailed
	})
	must.LessEq(t, 4, f.s.quarantined)
	must.Greater(t, 10, starts[targetID(0)]+starts[targetID(15)])
	f.saturate(3*time.Minute, good)
	for i := range 16 {
		must.Eq(t, "normal", f.use(i))
	}
}

func TestSlowTargetIsTheLastResort(t *testing.T) {
	f := newFleet(8)
	slow := func(target string) (time.Duration, Outcome) {
		if target == targetID(3) {
			return 500 * time.Millisecond, OutcomeDone
		}
		return good(target)
	}
	for range 400 {
		f.task(f.job(), slow)
	}
	must.Eq(t, "last_resort", f.use(3))
	picks := 0
	for range 1000 {
		if f.task(f.job(), slow) == targetID(3) {
			picks++
		}
	}
	must.LessEq(t, 5, picks)
	for range 3000 {
		f.now += 100 * time.Millisecond
		f.task(f.job(), good)
	}
	must.Eq(t, "normal", f.use(3))
}

func TestSilentTargetIsQuarantinedUntilItAnswers(t *testing.T) {
	f := newFleet(8)
	f.saturate(2*time.Second, good)
	silent := targetID(3)
	open := 0
	for range 4000 {
		id, ok := f.s.Pick(f.now, f.rng)
		must.True(t, ok)
		f.s.RecordStart(f.now, id, "class", f.job())
		f.now += 10 * time.Millisecond
		if id == silent {
			open++
			continue
		}
		f.s.RecordEnd(f.now, Result{Target: id, Class: "class", Submission: "j", Runtime: 100 * time.Millisecond, Outcome: OutcomeDone})
	}
	must.Eq(t, "quarantine", f.use(3))
	must.LessEq(t, 20, open)
	for range open {
		f.s.RecordEnd(f.now, Result{Target: silent, Class: "class", Submission: f.job(), Runtime: 100 * time.Millisecond, Outcome: OutcomeDone})
	}
	must.Eq(t, "normal", f.use(3))
}

func TestHangingJobQuarantinesNoTarget(t *testing.T) {
	f := newFleet(8)
	f.saturate(2*time.Second, good)
	job := f.job()
	for range 80 {
		id, ok := f.s.Pick(f.now, f.rng)
		must.True(t, ok)
		f.s.RecordStart(f.now, id, "class", job)
		f.now += time.Second
	}
	must.Eq(t, 0, f.s.quarantined)
}

func TestUnreachableTargetIsQuarantinedAtOnce(t *testing.T) {
	f := newFleet(8)
	f.s.RecordStart(0, targetID(3), "class", "job")
	f.s.RecordRefusal(0, targetID(3), RefusedUnreachable)
	must.Eq(t, "quarantine", f.use(3))
	for range 100 {
		f.now += 20 * time.Millisecond
		f.task(f.job(), good)
	}
	must.Eq(t, "normal", f.use(3))
}

func TestLeavingLastsUntilListShowsLeavingAndLive(t *testing.T) {
	f := newFleet(1)
	list := func(leaving bool) []Target { return []Target{{ID: targetID(0), Rack: "0", Leaving: leaving}} }
	usable := func() bool { _, ok := f.s.Pick(f.now, f.rng); return ok }
	must.True(t, usable())
	f.s.MarkLeaving(targetID(0))
	must.False(t, usable())
	f.s.SetTargets(f.now, list(false))
	must.False(t, usable())
	f.s.SetTargets(f.now, list(true))
	must.False(t, usable())
	f.s.SetTargets(f.now, list(false))
	must.True(t, usable())
}

func TestUnlistedTargetWithUnitsIsNotPicked(t *testing.T) {
	s := New(Options{})
	s.SetFree("t", true)
	_, ok := s.Pick(0, rand.New(rand.NewPCG(1, 1)))
	must.False(t, ok)
	s.SetTargets(0, []Target{{ID: "t"}})
	_, ok = s.Pick(0, rand.New(rand.NewPCG(1, 1)))
	must.True(t, ok)
}

// end starts and ends a task at target i.
func (f *fleet) end(i int, job string, runtime time.Duration, outcome Outcome) {
	f.s.RecordStart(f.now, targetID(i), "class", job)
	f.now += time.Millisecond
	f.s.RecordEnd(f.now, Result{Target: targetID(i), Class: "class", Submission: job, Runtime: runtime, Outcome: outcome})
}

func (f *fleet) doneAt(targets ...int) {
	for _, i := range targets {
		f.end(i, f.job(), 100*time.Millisecond, OutcomeDone)
	}
}

func TestProbesMustSucceedInARow(t *testing.T) {
	f := newFleet(8)
	for range 4 {
		f.doneAt(0, 1, 2)
		f.end(3, f.job(), time.Millisecond, OutcomeFailed)
	}
	must.Eq(t, "quarantine", f.use(3))
	f.doneAt(3, 3)
	f.end(3, f.job(), time.Millisecond, OutcomeFailed)
	f.doneAt(3, 3)
	must.Eq(t, "quarantine", f.use(3))
	f.doneAt(3)
	must.Eq(t, "normal", f.use(3))
}

func TestJobCountsOnceAtATarget(t *testing.T) {
	f := newFleet(8)
	f.doneAt(0, 1, 2, 3, 4, 5, 6, 7)
	job := f.job()
	for range 10 {
		f.end(3, job, time.Millisecond, OutcomeFailed)
	}
	must.Eq(t, "normal", f.use(3))
}

func TestJobFailingInManyRacksQuarantinesNoTarget(t *testing.T) {
	f := newFleet(32)
	for range 5 {
		f.doneAt(1, 5, 9, 13, 17, 21, 25, 29)
		job := f.job()
		for _, i := range []int{3, 5, 9, 13, 17, 21} {
			f.end(i, job, time.Millisecond, OutcomeFailed)
		}
	}
	must.Eq(t, 0, f.s.quarantined)
}

func TestJobsFailingInOneRackQuarantineItsTargets(t *testing.T) {
	f := newFleet(16)
	for range 4 {
		f.doneAt(0, 1, 2, 3, 8, 9, 10, 11, 12)
		job := f.job()
		for i := 4; i < 8; i++ {
			f.end(i, job, time.Millisecond, OutcomeFailed)
		}
	}
	must.Eq(t, 4, f.s.quarantined)
}

func TestOneJobMakesNoTargetSlow(t *testing.T) {
	f := newFleet(8)
	f.doneAt(0, 1, 2, 3, 4, 5, 6, 7)
	job := f.job()
	for range 20 {
		f.doneAt(0, 1, 2)
		f.end(3, job, time.Second, OutcomeDone)
	}
	must.Eq(t, "normal", f.use(3))
}

func TestEndedTaskRestartsAnswerTimeout(t *testing.T) {
	f := newFleet(8)
	f.saturate(2*time.Second, good)
	for range 3 {
		f.s.RecordStart(f.now, targetID(3), "class", f.job())
	}
	for range 200 {
		f.now += 50 * time.Millisecond
		f.doneAt(3)
		f.s.RecordStart(f.now, targetID(3), "class", f.job())
		f.s.RecordStart(f.now, targetID(3), "class", f.job())
		_, ok := f.s.Pick(f.now, f.rng)
		must.True(t, ok)
	}
	must.Eq(t, "normal", f.use(3))
}

func TestFasterOfTwoIsPicked(t *testing.T) {
	f := newFleet(2)
	for range 100 {
		f.end(0, f.job(), 100*time.Millisecond, OutcomeDone)
		f.end(1, f.job(), 150*time.Millisecond, OutcomeDone)
	}
	picks := make(map[string]int)
	for range 1000 {
		id, _ := f.s.Pick(f.now, f.rng)
		picks[id]++
	}
	must.Between(t, 700, picks[targetID(0)], 800)
}

// A rack is lost with its tasks. The lost tasks must not raise the failure rate of
// the class, which would hide a failing target elsewhere: no newer outcome could
// replace them.
func TestFailingTargetIsFoundAfterRackLoss(t *testing.T) {
	f := newFleet(8)
	for i := 4; i < 8; i++ {
		f.s.RecordStart(f.now, targetID(i), "class", f.job())
		f.s.RecordEnd(f.now, Result{Target: targetID(i), Class: "class", Submission: f.job(), Outcome: OutcomeLost})
		f.s.RecordStart(f.now, targetID(i), "class", f.job())
		f.s.RecordRefusal(f.now, targetID(i), RefusedUnreachable)
	}
	bad := targetID(0)
	picks := 0
	for range 500 {
		id, ok := f.s.Pick(f.now, f.rng)
		must.True(t, ok)
		job := f.job()
		f.s.RecordStart(f.now, id, "class", job)
		f.now += 10 * time.Millisecond
		switch {
		case id >= targetID(4):
			f.s.RecordRefusal(f.now, id, RefusedUnreachable)
		case id == bad:
			picks++
			f.s.RecordEnd(f.now, Result{Target: id, Class: "class", Submission: job, Runtime: time.Millisecond, Outcome: OutcomeFailed})
		default:
			f.s.RecordEnd(f.now, Result{Target: id, Class: "class", Submission: job, Runtime: 10 * time.Millisecond, Outcome: OutcomeDone})
		}
	}
	must.NotEq(t, UseNormal, f.use(0))
	must.LessEq(t, 20, picks)
}
