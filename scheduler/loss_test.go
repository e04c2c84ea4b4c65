package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// silence has a target leave polls unanswered until its runs are over.
func (b *harness) silence(id string) []Effect {
	for range silentPolls {
		b.answerPollWith(id, work.PollAnswer{}, work.VerdictUnknown)
		b.advance(120 * ms)
	}
	return b.advance(1500 * ms)
}

// A target that was only out of reach doesn't count against its tasks with a successor either, not
// even after it has left as planned.
func TestSuccessorForgetsClearedLosses(t *testing.T) {
	b := newRackHarness(t, 8)
	starts := b.startStoredJob("j", 1)
	b.confirmStarts(starts)
	id := starts[0].To.ID
	crashed := pickEffects[TaskCrashed](b.silence(id))
	must.SliceLen(t, 1, crashed)
	must.False(t, crashed[0].Confirmed)
	b.answerPoll(id, work.PollAnswer{ClockMS: 9000})
	cleared := pickEffects[TaskCleared](b.advance(20 * ms))
	must.SliceLen(t, 1, cleared)
	must.True(t, cleared[0].isSame(crashed[0].Crash))
}

// The loss of a target that is gone when a successor begins shows nothing: the target may have left as
// planned. The task goes on, isolated.
func TestSuccessorConfirmsNoLossOfGoneTarget(t *testing.T) {
	b := newRackHarness(t, 8)
	crashes := []Crash{{Target: "x", Begun: true}, {Target: "y", Begun: true}, {Target: "z", Begun: true}}
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Crashed: map[int][]Crash{0: crashes}})
	b.s.RegistryRead()
	effects := b.advance(lossTimeout + time.Second)
	must.SliceEmpty(t, pickEffects[JobEnded](effects))
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
	must.True(t, b.s.jobsByKey["j"].tasks[0].isSuspect())
}

// A successor counts what a previous owner has confirmed.
func TestSuccessorCountsConfirmedLosses(t *testing.T) {
	b := newRackHarness(t, 8)
	crashes := []Crash{{Target: "x", Begun: true, Confirmed: true}, {Target: "y", Begun: true, Confirmed: true, Isolated: true}}
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Crashed: map[int][]Crash{0: crashes}})
	b.s.RegistryRead()
	must.SliceLen(t, 1, pickEffects[JobEnded](b.advance(40*ms)))
}

// A target that was given up while it was cut off, and then returns in the same incarnation, doesn't
// count against its tasks.
func TestReturnOfLostTargetClearsConfirmedLosses(t *testing.T) {
	b := newRackHarness(t, 8)
	starts := b.startStoredJob("j", 1)
	b.confirmStarts(starts)
	id := starts[0].To.ID
	lost := *b.s.targets[id]
	b.s.recordTargetLoss(b.now, b.s.targets[id])
	b.s.loseTarget(b.now, b.s.targets[id], "it is not listed any more")
	task := b.s.jobsByKey["j"].tasks[0]
	must.SliceLen(t, 1, task.currentLosses())
	b.listTarget(lost.Target)
	b.effects()
	b.answerPoll(id, work.PollAnswer{ClockMS: 9000})
	must.SliceEmpty(t, task.currentLosses())
	must.SliceLen(t, 1, pickEffects[TaskCleared](b.advance(20*ms)))
}

// A target that reports that it is draining after it has been silent was up all the while.
func TestDrainingTargetClearsLosses(t *testing.T) {
	b := newRackHarness(t, 8)
	starts := b.startStoredJob("j", 1)
	b.confirmStarts(starts)
	id := starts[0].To.ID
	b.silence(id)
	task := b.s.jobsByKey["j"].tasks[0]
	must.SliceLen(t, 1, task.currentLosses())
	entry := b.s.targets[id].Target
	entry.Draining = true
	b.s.TargetListed(b.now, entry)
	must.SliceEmpty(t, task.currentLosses())
}

// TestFuzzCutTargets plays targets that are cut off for seconds and later leave as planned, while one
// owner follows another. No target crashes, so no job may fail, and all of them end.
func TestFuzzCutTargets(t *testing.T) {
	setChecks(t, 150)
	rapid.Check(t, func(rt *rapid.T) { playCutTargets(rt, nil) })
}

// playCutTargets plays one random history of cuts, departures and successions.
func playCutTargets(rt *rapid.T, trace *worldTrace) {
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(3, 6).Draw(rt, "targets"), worldFaults{})
	w.trace, w.singleOwner = trace, true
	w.longest = rapid.SampledFrom([]int{800, 4000}).Draw(rt, "longest")
	w.takeOver()
	w.run(200 * ms)
	w.lasting = true
	w.submitDurable(work.Job{Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, Lasting: true}}}, false)
	w.run(200 * ms)
	for range rapid.IntRange(5, 40).Draw(rt, "steps") {
		injectCutStep(rt, w)
		w.run(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("broken: %v%s", w.violations, w.describeOpenJobs())
		}
	}
	w.run(10 * time.Second)
	w.takeOver()
	w.runUntilJobsEnd()
	for end := w.now + time.Duration(1+len(w.durableStore.jobs))*30*time.Second; w.now < end && len(w.unendedJobs()) > 0; {
		w.run(time.Second)
	}
	must.SliceEmpty(rt, w.violations, must.Sprint(w.violations, w.describeOpenJobs()))
	must.SliceEmpty(rt, w.unendedJobs(), must.Sprint(w.unendedJobs(), w.describeOpenJobs()))
}

func injectCutStep(rt *rapid.T, w *world) {
	// Most faults meet the target of the lasting job, so that they add up under one task.
	target := w.busiestTarget(w.targets[rapid.SampledFrom(w.targetIDs()).Draw(rt, "target")])
	if task := rapid.IntRange(0, 3).Draw(rt, "lasting"); task > 0 {
		target = w.lastingTarget(target)
	}
	length := time.Duration(rapid.IntRange(1000, 9000).Draw(rt, "length")) * ms
	switch rapid.SampledFrom([]string{"job", "cut", "cut", "cut", "long cut", "leave", "succession"}).Draw(rt, "what") {
	case "job":
		w.submitDurable(w.drawJob(rt), false)
	case "cut":
		target.cut(length)
	case "long cut":
		// The registry drops a target that can't reach it either.
		const entryLapse = 4500 * ms
		target.cut(entryLapse + length)
		w.after(entryLapse, func() { w.lapseEntry(target, length) })
	case "leave":
		for _, id := range w.targetIDs() {
			if t := w.targets[id]; t.wasCut && !t.silent {
				t.leave(2500 * ms)
			}
		}
	case "succession":
		w.takeOver()
	}
}

// lastingTarget returns the target that runs a lasting task, or another one while there is none.
func (w *world) lastingTarget(other *fakeTarget) *fakeTarget {
	for _, id := range w.targetIDs() {
		for _, task := range sortedTasks(w.targets[id].runs) {
			if w.isLasting(task) {
				return w.targets[id]
			}
		}
	}
	return other
}

// cut has no order reach a target for a while. The target runs on until its lease ends.
func (t *fakeTarget) cut(length time.Duration) {
	if t.silent {
		return
	}
	t.silent, t.wasCut = true, true
	t.world.after(length, func() { t.silent = false })
}
