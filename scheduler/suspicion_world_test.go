package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

const (
	// finishTime is how long after the end of all faults a job may have nothing running.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running after that while there is capacity for it.
	idleTime = 3 * time.Second
)

// fitting lists the targets that could hold a task of a step.
func (w *world) fitting(st work.Step) []*fakeTarget {
	var fit []*fakeTarget
	for _, id := range w.targetIDs() {
		t := w.targets[id]
		if !t.down && !t.ofOtherOwner && (st.RequiredLabel == "" || slices.Contains(t.labels, st.RequiredLabel)) {
			fit = append(fit, t)
		}
	}
	return fit
}

// waitsBesideCapacity reports whether a job has a task whose turn has come and nothing running, or a
// lasting task that doesn't run, while there is capacity for the job twice over and under half of all
// capacity is in use.
func (w *world) waitsBesideCapacity(r *jobRecord) bool {
	running := false
	for task, n := range w.running {
		record, _ := w.parseTask(task)
		running = running || n > 0 && record == r
	}
	if r.state.IsFinal() || running && !r.sub.Job.Steps[0].Lasting || r.sub.Job.Steps[0].Lasting && w.allTasksRun(r) {
		return false
	}
	need, free := int64(0), int64(1)<<32
	for _, st := range r.sub.Job.Steps {
		need = max(need, int64(st.Tasks)*st.PerTask.CPU)
		here := int64(0)
		for _, t := range w.fitting(st) {
			here += t.freeFor(st)
		}
		free = min(free, here)
	}
	all, used := int64(0), int64(0)
	for _, t := range w.fitting(work.Step{}) {
		all, used = all+t.capacity, used+t.capacity-t.free
	}
	return free >= 2*need && 2*used < all
}

// freeFor returns the processor of the target that is left for a step.
func (t *fakeTarget) freeFor(st work.Step) int64 {
	if !st.Background {
		return t.free
	}
	free := t.capacity
	for _, r := range t.runs {
		free -= 1 - r.cpu
	}
	return free
}

// jobsLeftWaiting lists the jobs that waitsBesideCapacity reports for idleTime, finishTime after the end
// of all faults.
func (w *world) jobsLeftWaiting() []string {
	w.run(finishTime)
	waiting := map[string]bool{}
	for id := range w.durableStore.jobs {
		waiting[id] = true
	}
	for range int(idleTime / (50 * ms)) {
		w.run(50 * ms)
		for id := range waiting {
			if !w.waitsBesideCapacity(w.durableStore.jobs[id]) {
				delete(waiting, id)
			}
		}
	}
	var left []string
	for id := range waiting {
		left = append(left, id)
	}
	slices.Sort(left)
	return left
}

// failAll has a target fail all that it starts for a while.
func (t *fakeTarget) failAll(length time.Duration) {
	t.failsAll = true
	t.world.after(length, func() { t.failsAll = false })
}

// rareTarget returns the target with the rare label.
func (w *world) rareTarget() *fakeTarget { return w.fitting(work.Step{RequiredLabel: rareLabel})[0] }

// drawRareJob draws a job of any kind, mostly one that only the target with the rare label can run.
func (w *world) drawRareJob(rt *rapid.T) work.Job {
	w.lasting = len(w.durableStore.jobs)%3 > 0
	job := w.drawJob(rt)
	rare := rapid.IntRange(0, 3).Draw(rt, "rare") > 0
	background := len(job.Steps) == 1 && !job.Steps[0].Gang && !job.Steps[0].Lasting && rapid.IntRange(0, 4).Draw(rt, "background") == 0
	for i := range job.Steps {
		if rare {
			job.Steps[i].RequiredLabel = rareLabel
		}
		job.Steps[i].Background = background
		job.Steps[i].Tasks = min(job.Steps[i].Tasks, 2)
	}
	return job
}

// Whatever a target has failed, jobs that only it can run are started again once it is sound: plain jobs,
// gangs, lasting, background and repeated ones, beside each other. Suspicion of a target must end in each of
// these worlds.
func TestFuzzSuspectedTargets(t *testing.T) {
	setChecks(t, 300)
	rapid.Check(t, func(rt *rapid.T) { playSuspicions(rt) })
}

// playSuspicions plays one random history in which the only target with a label fails, hangs and is
// replaced.
func playSuspicions(rt *rapid.T) {
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), 3, worldFaults{
		lostOrders: float64(rapid.IntRange(0, 3).Draw(rt, "lost")) / 100, failing: float64(rapid.IntRange(0, 10).Draw(rt, "failing")) / 100,
	})
	w.addTarget(rareLabel, "r1")
	w.longest = rapid.SampledFrom([]int{100, 800, 4000}).Draw(rt, "longest")
	w.takeOver()
	w.run(200 * ms)
	for range rapid.IntRange(5, 40).Draw(rt, "steps") {
		switch rapid.SampledFrom([]string{"submit", "submit", "submit", "fail", "fail", "hang", "replace", "depose", "cancel"}).Draw(rt, "action") {
		case "submit":
			w.submitDurable(w.drawRareJob(rt), false)
		case "fail":
			w.rareTarget().failAll(time.Duration(rapid.IntRange(200, 6500).Draw(rt, "length")) * ms)
		case "hang":
			rare := w.rareTarget()
			rare.hung = true
			w.after(time.Second, func() { rare.hung = false })
		case "replace":
			w.rareTarget().leave(time.Second)
		case "depose":
			w.takeOver()
		case "cancel":
			w.cancelDurable()
		}
		w.run(time.Duration(rapid.IntRange(0, 600).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("broken: %v", w.violations)
		}
	}
	w.faults = worldFaults{}
	for _, target := range w.targets {
		target.failsAll = false
	}
	left := w.jobsLeftWaiting()
	must.SliceEmpty(rt, left, must.Sprint(left, w.describeOpenJobs()))
	must.SliceEmpty(rt, w.violations, must.Sprint(w.violations))
}

// Kept tasks that have failed once on the only target that suits them run again there once it is sound.
// Nothing else would end its suspicion: the job would wait for ever beside free capacity.
func TestFailedTasksEndSuspicionOfTheirOnlyTarget(t *testing.T) {
	for kind, st := range map[string]work.Step{
		"plain":      {Tasks: 1},
		"gang":       {Tasks: 2, Gang: true},
		"background": {Tasks: 1, Background: true},
	} {
		t.Run(kind, func(t *testing.T) {
			w := newWorld(1, 3, worldFaults{})
			rare := w.addTarget(rareLabel, "r1")
			w.takeOver()
			w.run(200 * ms)
			st.RequiredLabel, st.PerTask, st.DeclaredRunTime = rareLabel, work.Resources{CPU: 1}, 50*ms
			rare.failAll(5 * time.Second)
			for range 4 {
				w.submitDurable(work.Job{Steps: []work.Step{st}}, false)
			}
			w.run(5 * time.Second)
			left := w.jobsLeftWaiting()
			must.SliceEmpty(t, left, must.Sprint(left, w.describeOpenJobs()))
			must.SliceEmpty(t, w.unendedJobs())
			for id, r := range w.durableStore.jobs {
				must.Eq(t, work.StateCompleted, r.state, must.Sprintf("%s used up its attempts while the target failed", id))
			}
		})
	}
}

// A lasting task on a suspected target keeps no other one away, and ends the suspicion by running on.
func TestLastingTasksEndSuspicionOfTheirOnlyTarget(t *testing.T) {
	w := newWorld(1, 3, worldFaults{})
	rare := w.addTarget(rareLabel, "r1")
	w.takeOver()
	w.run(200 * ms)
	rare.failAll(5 * time.Second)
	step := work.Step{Tasks: 1, RequiredLabel: rareLabel, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 50 * ms}
	for range 2 {
		w.submitDurable(work.Job{Steps: []work.Step{step}}, false)
	}
	w.run(time.Second)
	step.Lasting = true
	w.submitDurable(work.Job{Steps: []work.Step{step}}, false)
	w.run(4 * time.Second)
	left := w.jobsLeftWaiting()
	must.SliceEmpty(t, left, must.Sprint(left, w.describeOpenJobs()))
	must.SliceEmpty(t, w.unendedJobs(), must.Sprint(fmt.Sprint(w.unendedJobs()), w.describeOpenJobs()))
}
