package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// fakeJobStore is the store of durable jobs. Only the owner that holds the store's fence writes to
// it.
type fakeJobStore struct {
	holder      *fakeOwner
	jobs        map[string]*jobRecord
	unavailable bool
	records     fakeRecords
}

// jobRecord is a durable job in the store.
type jobRecord struct {
	sub   Submission
	done  map[int]bool
	fails map[int]int
	saved map[int]string
	// lastFailed is the number of each task's last failed run.
	lastFailed map[int]int64
	crashed    map[int][]Crash
	state      work.JobState
	// cancelRequested is set once a caller has cancelled the job.
	cancelRequested bool
	// group is the failure domain that runs the job in a fleet.
	group string
}

// maxStoreDelay bounds the time in ms until the store has a record.
const maxStoreDelay = 60

// writeLater carries out a write of an owner after a while if the owner still holds the fence, and
// then calls confirm. While the store is away it tries again.
func (w *world) writeLater(o *fakeOwner, write func(), confirm func()) {
	w.after(time.Duration(1+w.random.IntN(maxStoreDelay))*ms, func() {
		switch {
		case w.durableStore.holder != o:
		case !w.reachesStore(o):
			w.writeLater(o, write, confirm)
		default:
			write()
			w.after(ms, func() { w.deliver(o, confirm) })
		}
	})
}

// writeOfJobLater is writeLater for a record of a job, which is dropped if the job has moved.
func (w *world) writeOfJobLater(o *fakeOwner, id string, write func(*jobRecord), confirm func()) {
	o.unwritten[id]++
	w.writeLater(o, func() {
		o.unwritten[id]--
		if r := w.durableStore.jobs[id]; r.group == w.group {
			write(r)
		}
	}, confirm)
}

// takeOverJobs has an owner take the store's fence and the jobs, once it has fenced other owners
// off the targets or has waited for 2.5 s.
func (w *world) takeOverJobs(o *fakeOwner, began time.Duration) {
	if o.dead || w.durableStore.holder != nil && w.durableStore.holder.token > o.token {
		return
	}
	if o.frozen || !w.reachesStore(o) || !o.state.HasAdoptedTargets() || !o.state.TargetsFenced() && w.now-began < 2500*ms {
		w.after(20*ms, func() { w.takeOverJobs(o, began) })
		return
	}
	w.durableStore.holder = o
	for _, id := range slices.Sorted(maps.Keys(w.durableStore.jobs)) {
		if r := w.durableStore.jobs[id]; !r.state.IsFinal() && r.group == w.group {
			w.resumeJob(o, r)
		}
	}
	o.state.FinishResume(w.now)
	o.accepting = true
	w.applyEffects(o)
}

// resumeJob has an owner continue a stored job.
func (w *world) resumeJob(o *fakeOwner, r *jobRecord) {
	w.refs++
	sub := r.sub
	sub.Ref = w.refs
	delete(o.fails, sub.Job.ID)
	o.state.ResumeJob(w.now, sub, Progress{Done: slices.Sorted(maps.Keys(r.done)), Fails: maps.Clone(r.fails), LastFailed: maps.Clone(r.lastFailed), Saved: maps.Clone(r.saved), Crashed: maps.Clone(r.crashed)})
}

// carryOutStoreEffect carries out the effects of an owner that write to the store or ask the
// adviser.
func (w *world) carryOutStoreEffect(o *fakeOwner, effect Effect) {
	switch e := effect.(type) {
	case StoreJob:
		id := e.Submission.Job.ID
		w.storing = append(w.storing, id)
		w.writeLater(o, func() {
			if w.durableStore.jobs[id] == nil {
				w.durableStore.jobs[id] = &jobRecord{cancelRequested: w.cancelledWhileStored[id] != nil, sub: e.Submission, done: map[int]bool{}, fails: map[int]int{}, saved: map[int]string{}, lastFailed: map[int]int64{}, crashed: map[int][]Crash{}, state: work.StateQueued, group: w.group}
			}
		}, func() {
			w.storing = slices.DeleteFunc(w.storing, func(other string) bool { return other == id })
			o.state.HandleJobStored(w.now, id, work.Outcome{Result: work.Accepted}, true)
			if w.cancelledWhileStored[id] == o && o.state.jobsByKey[id] != nil {
				w.violations = append(w.violations, id+" goes on, though it was cancelled while it was being stored")
			}
		})
	case TaskDone:
		w.writeOfJobLater(o, e.Job, func(r *jobRecord) { r.done[e.Task] = true }, func() { o.state.HandleCompletionStored(e.Completion) })
	case TaskFailed:
		// An owner writes all that it knows of a job. So a write that is stored before an older one
		// includes that one, and an older write never hides a newer one.
		if o.fails[e.Job] == nil {
			o.fails[e.Job] = maps.Clone(w.durableStore.jobs[e.Job].fails)
		}
		o.fails[e.Job][e.Task]++
		count := o.fails[e.Job][e.Task]
		w.writeOfJobLater(o, e.Job, func(stored *jobRecord) {
			stored.fails[e.Task] = max(stored.fails[e.Task], count)
			stored.lastFailed[e.Task] = max(stored.lastFailed[e.Task], e.Run)
		}, func() { o.state.HandleCompletionStored(e.Completion) })
	case AskAdviser:
		w.advise(o, e)
	case TaskSaved:
		w.writeOfJobLater(o, e.Job, func(r *jobRecord) { r.saved[e.Task] = e.Saved }, func() {})
	case TaskCrashed:
		w.writeOfJobLater(o, e.Job, func(r *jobRecord) {
			r.crashed[e.Task] = append(slices.DeleteFunc(r.crashed[e.Task], e.isSame), e.Crash)
		}, func() {})
	case TaskCleared:
		w.writeOfJobLater(o, e.Job, func(r *jobRecord) {
			r.crashed[e.Task] = slices.DeleteFunc(r.crashed[e.Task], e.isSame)
		}, func() {})
	case MoveJob:
		w.fleet.move(w, o, e)
	case JobEnded:
		w.writeOfJobLater(o, e.Job, func(r *jobRecord) {
			if e.State == work.StateCancelled && !r.cancelRequested {
				w.violations = append(w.violations, e.Job+" was cancelled but no caller asked for it")
			}
			if e.State == work.StateFailed && !w.hasFailed(r) && !w.mayBePoisoned(e.Job) {
				w.violations = append(w.violations, e.Job+" is stored as failed, but no task failed that often")
			}
			r.state = e.State
		}, func() { o.state.HandleJobEndStored(e.Job) })
	}
}

// submitDurable has a caller submit a durable job to the current owner.
func (w *world) submitDurable(job work.Job, advised bool) {
	o := w.owner()
	if o.dead || o.frozen || o.cut || !o.accepting {
		return
	}
	w.submitDurableTo(o, job, advised)
}

// submitDurableTo submits a durable job to the given owner.
func (w *world) submitDurableTo(o *fakeOwner, job work.Job, advised bool) {
	w.refs++
	job.ID, job.Durable = fmt.Sprintf("kept%d", w.refs), true
	o.state.Submit(w.now, Submission{
		Ref: w.refs, Job: job,
		Queue: work.Queue{Name: "k", Service: "s", MaxAttempts: 3, Stretch: 10, Allowance: 500 * ms, RequiresAdvice: advised},
	})
	w.applyEffects(o)
}

// cancelStoring has a caller cancel the newest job that is being stored.
func (w *world) cancelStoring() {
	o := w.owner()
	if len(w.storing) == 0 || o.dead || o.frozen || o.cut {
		return
	}
	id := w.storing[len(w.storing)-1]
	if o.state.CancelJob(w.now, id) != CancelUnknown {
		w.cancelledWhileStored[id] = o
		if r := w.durableStore.jobs[id]; r != nil {
			r.cancelRequested = true
		}
	}
	w.applyEffects(o)
}

// checkNotCancelled records a violation if the owner of a job starts a task of it after its cancellation was
// recorded.
func (w *world) checkNotCancelled(o *fakeOwner, e StartRun) {
	if r, _ := w.parseTask(e.Run.Task); r != nil && r.state == work.StateCancelled && w.durableStore.holder == o {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts, though its job was cancelled", w.now, e.Run.Task))
	}
}

// cancelDurable has a caller cancel the first durable job that hasn't ended.
func (w *world) cancelDurable() {
	o := w.owner()
	for _, id := range slices.Sorted(maps.Keys(w.durableStore.jobs)) {
		if r := w.durableStore.jobs[id]; !r.state.IsFinal() && !o.dead && !o.frozen && !o.cut {
			r.cancelRequested = true
			o.state.CancelJob(w.now, id)
			w.applyEffects(o)
			return
		}
	}
}

// checkDurableStart checks the start of a durable job's task.
func (w *world) checkDurableStart(task string) {
	w.startedAt[task] = w.now
	if w.acknowledged[task] {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts after its completion was acknowledged: %s", w.now, task, w.acknowledgedBy[task]))
	}
	id, _, _ := strings.Cut(task, ".")
	if !strings.HasPrefix(id, "kept") {
		return
	}
	if w.durableStore.jobs[id] == nil {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts but is not stored", w.now, task))
		return
	}
	w.checkStartOrder(task)
}

// unendedJobs lists the stored jobs that haven't ended, except lasting ones that run.
func (w *world) unendedJobs() []string {
	var open []string
	for id, r := range w.durableStore.jobs {
		if !r.state.IsFinal() && !(r.sub.Job.Steps[0].Lasting && w.allTasksRun(r)) {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// Whatever faults owners, targets, orders and the store have: no task of a durable job has two runs
// at a time, or a run after its completion was acknowledged; nothing runs of a job that isn't
// stored; and every stored job ends once the faults are over.
func TestFuzzDurableJobs(t *testing.T) {
	setChecks(t, 600)
	rapid.Check(t, func(rt *rapid.T) { playDurableJobs(rt, nil) })
}

// Jobs that are cancelled while they are being stored end as cancelled, and nothing of a cancelled job starts
// after that is recorded, whatever faults come beside it.
func TestFuzzCancelledJobs(t *testing.T) {
	setChecks(t, 300)
	rapid.Check(t, func(rt *rapid.T) {
		playDurableWorld(rt, nil, func(w *world) {
			if rapid.IntRange(0, 2).Draw(rt, "cancel storing") == 0 {
				w.submitDurable(w.drawJob(rt), false)
				w.run(time.Duration(rapid.IntRange(0, maxStoreDelay).Draw(rt, "before")) * ms)
				w.cancelStoring()
			}
		})
	})
}

// playDurableJobs plays one random history of durable jobs.
func playDurableJobs(rt *rapid.T, trace *worldTrace) { playDurableWorld(rt, trace, func(*world) {}) }

// playDurableWorld plays one random history of durable jobs, with a step of the caller's beside each.
func playDurableWorld(rt *rapid.T, trace *worldTrace, step func(*world)) {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 6).Draw(rt, name)) / 100 }
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "targets"), worldFaults{
		lostOrders: share("lost"), lateOrders: share("late"), lostAnswers: share("answers"), failing: 4 * share("failing"),
	})
	w.trace = trace
	w.longest = rapid.SampledFrom([]int{100, 800}).Draw(rt, "longest")
	w.takeOver()
	w.run(200 * ms)
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		injectDurableStep(rt, w)
		step(w)
		w.run(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("invariants broken: %v", w.violations)
		}
	}
	w.durableStore.unavailable = false
	w.faults = worldFaults{}
	w.takeOver()
	w.runUntilJobsEnd()
	must.SliceEmpty(rt, w.violations, must.Sprint(w.violations))
	must.SliceEmpty(rt, w.unendedJobs(), must.Sprint(w.unendedJobs()))
	for range w.durableStore.jobs {
		w.cancelDurable()
		w.run(2 * maxStoreDelay * ms)
	}
	w.run(time.Second)
	must.SliceEmpty(rt, w.runningDurable(), must.Sprint(w.runningDurable()))
	must.SliceEmpty(rt, w.violations, must.Sprint(w.violations))
}

// runUntilJobsEnd lets time pass until all stored jobs have ended: up to 4 s for each job, and the
// time for a target that doesn't answer.
func (w *world) runUntilJobsEnd() {
	// What is on its way is stored by then, or never.
	w.run(time.Second)
	for end := w.now + time.Duration(5+len(w.durableStore.jobs))*4*time.Second; w.now < end && (len(w.unendedJobs()) > 0 || !w.owner().accepting); {
		w.run(200 * ms)
	}
}

// checksAsked reports whether the command line says how many histories to play. It looks before the
// first test sets the flag.
var checksAsked = sync.OnceValue(func() bool {
	asked := false
	flag.Visit(func(f *flag.Flag) { asked = asked || f.Name == "rapid.checks" })
	return asked
})

// setChecks sets how many histories the test plays, unless the command line does.
func setChecks(t *testing.T, count int) {
	t.Helper()
	if checksAsked() {
		return
	}
	must.NoError(t, flag.Set("rapid.checks", strconv.Itoa(count)))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", "100") })
}

// injectDurableStep plays one random event: a durable job is submitted or cancelled, or a fault
// occurs.
func injectDurableStep(rt *rapid.T, w *world) {
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "submit", "cancel", "store", "leave", "other"}).Draw(rt, "action") {
	case "submit":
		w.submitDurable(w.drawJob(rt), rapid.IntRange(0, 3).Draw(rt, "advised") == 0)
	case "cancel":
		w.cancelDurable()
	case "store":
		w.durableStore.unavailable = !w.durableStore.unavailable
	case "leave":
		// A planned stop: the successor waits until the leaving owner is at rest.
		o := w.owner()
		if o.dead || o.frozen {
			return
		}
		o.state.Leave(w.now)
		w.applyEffects(o)
		for range 100 {
			if o.state.IsIdle() || o.dead {
				break
			}
			w.run(50 * ms)
		}
		w.takeOver()
	case "other":
		injectEvent(rt, w)
	}
}
