package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

const maxFails = 2

// durableJob returns the submission of a durable job with one step of this many tasks.
func (b *bench) keptJob(id string, tasks int) Submission {
	b.ref++
	return Submission{
		Ref: b.ref,
		Job: work.Job{ID: id, Kept: true, Steps: []work.Step{{
			Tasks: tasks, Each: work.Resources{CPU: 1}, Estimate: 100 * ms,
		}}},
		Queue: work.Queue{Name: "k", Service: "s", MaxAttempts: maxFails, Stretch: 2, Allowance: time.Second},
	}
}

// startDurableJob has a durable job of one task stored and started at target a.
func runKept(b *bench) work.Run {
	b.s.Resumed(b.now)
	b.usable("a", 4)
	b.do()
	b.s.Submit(b.now, b.keptJob("j", 1))
	b.do()
	b.s.Stored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	start := pickEffects[StartRun](b.do())[0]
	b.s.Started(b.now, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictDone, Clock: 5000})
	b.do()
	return start.Run
}

// heldWithCompletion returns a poll's answer that lists one completion and no runs.
func ended(number int64, run work.Run, kind work.EndKind) work.Held {
	return work.Held{Clock: 5100, Ended: []work.End{{Number: number, Run: run, Kind: kind}}}
}

// newestAcknowledged returns the newest completion that polls have acknowledged.
func seen(effects []Effect) int64 {
	newest := int64(0)
	for _, poll := range pickEffects[Look](effects) {
		newest = max(newest, poll.Seen)
	}
	return newest
}

// Nothing of a durable job starts before the store has it; then its caller is answered.
func TestKeptJobsAreStoredFirst(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 4)
	b.do()
	b.s.Submit(b.now, b.keptJob("j", 1))
	effects := b.do()
	must.SliceLen(t, 1, pickEffects[Keep](effects))
	must.SliceEmpty(t, pickEffects[Answer](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, 0, b.s.Pending()["k"])
	b.s.Stored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	must.Eq(t, 1, b.s.Pending()["k"])
	effects = b.do()
	must.Eq(t, work.Accepted, pickEffects[Answer](effects)[0].Outcome.Result)
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
	must.Eq(t, 0, b.s.Pending()["k"])
}

// A job that the store didn't take, or that another owner has, is not run.
func TestWhatIsNotStoredHereIsNotRun(t *testing.T) {
	for _, outcome := range []work.Outcome{{Result: work.Refused}, {Result: work.Accepted}, {Result: work.Unknown}} {
		b := newBench(t, Options{})
		b.usable("a", 4)
		b.s.Submit(b.now, b.keptJob("j", 1))
		b.do()
		b.s.Stored(b.now, "j", outcome, false)
		effects := b.pass(time.Second)
		must.Eq(t, outcome, pickEffects[Answer](effects)[0].Outcome)
		must.SliceEmpty(t, pickEffects[StartRun](effects))
		must.True(t, b.s.AtRest())
	}
}

// A job that is handed in several times runs once, and each request gets an answer.
func TestKeptJobsHandedInAgain(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 4)
	first, second, third := b.keptJob("j", 1), b.keptJob("j", 1), b.keptJob("j", 1)
	b.s.Submit(b.now, first)
	b.s.Submit(b.now, second)
	must.Eq(t, []Answer{{Ref: first.Ref, Outcome: work.Outcome{Result: work.Unknown, Reason: "the job was sent again"}}}, pickEffects[Answer](b.do()))
	b.s.Stored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	b.s.Submit(b.now, third)
	effects := b.do()
	must.Eq(t, []Answer{
		{Ref: second.Ref, Outcome: work.Outcome{Result: work.Accepted}}, {Ref: third.Ref, Outcome: work.Outcome{Result: work.Accepted}},
	}, pickEffects[Answer](effects))
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
}

// A completion is acknowledged only once the store has it.
func TestEndsAreAcknowledgedOnceNoted(t *testing.T) {
	b := newBench(t, Options{})
	run := runKept(b)
	b.look("a", ended(1, run, work.EndDone))
	effects := append(b.do(), b.pass(200*ms)...)
	must.Eq(t, 0, seen(effects))
	done := pickEffects[TaskDone](effects)
	must.Eq(t, []TaskDone{{Job: "j", Task: 0, End: EndRef{Target: "a", Number: 1}}}, done)
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCompleted}}, pickEffects[JobEnded](effects))
	must.False(t, b.s.AtRest())
	b.look("a", ended(1, run, work.EndDone))
	b.s.Noted(done[0].End)
	b.s.EndNoted("j")
	must.Eq(t, 1, seen(b.pass(200*ms)))
	must.True(t, b.s.AtRest())
}

// A completion that comes after the job's end is acknowledged once the store has the end.
func TestEndsAfterTheJobsEndWaitForIt(t *testing.T) {
	b := newBench(t, Options{})
	run := runKept(b)
	must.True(t, b.s.CancelKept(b.now, "j"))
	effects := b.do()
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCancelled}}, pickEffects[JobEnded](effects))
	must.SliceLen(t, 1, pickEffects[StopRun](effects))
	b.look("a", ended(1, run, work.EndDone))
	must.Eq(t, 0, seen(b.pass(200*ms)))
	b.look("a", ended(1, run, work.EndDone))
	b.s.EndNoted("j")
	must.Eq(t, 1, seen(b.pass(200*ms)))
	must.False(t, b.s.CancelKept(b.now, "j"))
}

// A deposed owner acknowledges no completions of durable jobs: its successor needs them listed.
func TestAnOwnerWithoutItsPlaceAcknowledgesNothing(t *testing.T) {
	for name, unknown := range map[string]bool{"its own run": false, "a run it does not know": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{})
			run := runKept(b)
			if unknown {
				run.Number += 2
			}
			b.s.Abandon(b.now)
			b.do()
			b.look("a", ended(1, run, work.EndDone))
			effects := append(b.do(), b.pass(time.Second)...)
			must.Eq(t, 0, seen(effects))
			must.SliceEmpty(t, pickEffects[TaskDone](effects))
		})
	}
}

// A run whose start has no answer may have completed before it was stopped. Only a poll sent after
// the stop shows that.
func TestAStoppedRunMayHaveBeenDone(t *testing.T) {
	for name, done := range map[string]bool{"run completed": true, "run never started": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.s.Resumed(b.now)
			b.usable("a", 4)
			b.do()
			b.s.Submit(b.now, b.keptJob("j", 1))
			b.do()
			b.s.Stored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
			run := pickEffects[StartRun](b.do())[0].Run
			b.now += 100 * ms
			b.s.Started(b.now, "a", run, work.OrderAnswer{})
			must.SliceLen(t, 1, pickEffects[StopRun](b.do()))
			b.s.Stopped(b.now, "a", run, work.OrderAnswer{Verdict: work.VerdictDone, Clock: 5100})
			must.SliceEmpty(t, pickEffects[StartRun](b.pass(200*ms)))
			// The poll that was on its way all the while says nothing of the stop.
			b.look("a", work.Held{Clock: 5200})
			must.SliceEmpty(t, pickEffects[StartRun](b.pass(40*ms)))
			if done {
				b.look("a", ended(1, run, work.EndDone))
			} else {
				b.look("a", work.Held{Clock: 5300})
			}
			effects := append(b.do(), b.pass(100*ms)...)
			must.Eq(t, done, len(pickEffects[JobEnded](effects)) == 1)
			must.Eq(t, done, len(pickEffects[StartRun](effects)) == 0)
		})
	}
}

// A job that is taken over continues from its stored progress.
func TestResumedJobs(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 4)
	b.do()
	b.s.Resume(b.now, b.keptJob("j", 3), Progress{Done: []int{1}, Fails: map[int]int{2: 1}})
	b.s.Resumed(b.now)
	starts := pickEffects[StartRun](b.do())
	must.SliceLen(t, 2, starts)
	must.Eq(t, "j.0.0.0", starts[0].Run.Task)
	must.Eq(t, "j.0.0.2", starts[1].Run.Task)
	must.True(t, b.s.Begun("j"))
	// With the failure before the takeover, the task has now failed too often.
	b.look("a", ended(1, starts[1].Run, work.EndFailed))
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateFailed}}, pickEffects[JobEnded](b.do()))
}

// A job whose tasks had all ended, or failed too often, ends when it is taken over.
func TestResumedJobsThatAreOver(t *testing.T) {
	for name, test := range map[string]struct {
		done  []int
		fails map[int]int
		want  work.State
	}{
		"done":   {[]int{0, 1}, nil, work.StateCompleted},
		"failed": {[]int{0}, map[int]int{1: maxFails}, work.StateFailed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.usable("a", 4)
			b.s.Resume(b.now, b.keptJob("j", 2), Progress{Done: test.done, Fails: test.fails})
			effects := b.do()
			must.Eq(t, []JobEnded{{Job: "j", State: test.want}}, pickEffects[JobEnded](effects))
			must.SliceEmpty(t, pickEffects[StartRun](effects))
		})
	}
}

// The unrecorded completions of a previous owner are stored with their job, and acknowledged at
// once if that job no longer exists.
func TestEndsOfAFormerOwner(t *testing.T) {
	b := newBench(t, Options{})
	b.target("a", 4)
	b.do()
	b.look("a", work.Held{Clock: 5000, Ended: []work.End{
		{Number: 1, Run: work.Run{Task: "j.0.0.0", Number: 31}, Kind: work.EndDone},
		{Number: 2, Run: work.Run{Task: "gone.0.0.0", Number: 33}, Kind: work.EndDone},
		{Number: 3, Run: work.Run{Task: "other.0.0.0", Number: 34}, Kind: work.EndDone},
	}})
	must.Eq(t, 0, seen(b.pass(100*ms)))
	b.s.Resume(b.now, b.keptJob("j", 2), Progress{})
	b.s.Resumed(b.now)
	effects := b.do()
	must.Eq(t, []TaskDone{{Job: "j", Task: 0, End: EndRef{Target: "a", Number: 1}}}, pickEffects[TaskDone](effects))
	must.Eq(t, "j.0.0.1", pickEffects[StartRun](effects)[0].Run.Task)
	b.look("a", work.Held{Clock: 5100})
	must.Eq(t, 0, seen(b.pass(100*ms)))
	b.s.Noted(EndRef{Target: "a", Number: 1})
	b.look("a", work.Held{Clock: 5200})
	must.Eq(t, 3, seen(b.pass(100*ms)))
}

// A job that is taken over counts as pending until something shows that it has started.
func TestResumedJobsMayBePending(t *testing.T) {
	for name, test := range map[string]struct {
		progress Progress
		held     work.Held
		pending  int
	}{
		"nothing is known":       {Progress{}, work.Held{Clock: 5000}, 1},
		"a task is done":         {Progress{Done: []int{0}}, work.Held{Clock: 5000}, 0},
		"a run had failed":       {Progress{Fails: map[int]int{0: 1}}, work.Held{Clock: 5000}, 0},
		"a task has saved work":  {Progress{Saved: map[int]string{0: "c"}}, work.Held{Clock: 5000}, 0},
		"a run is in progress":   {Progress{}, work.Held{Clock: 5000, Running: listing(work.Run{Task: "j.0.0.0", Number: 31})}, 0},
		"a completion is listed": {Progress{}, work.Held{Clock: 5000, Ended: []work.End{{Number: 1, Run: work.Run{Task: "j.0.0.0", Number: 31}, Kind: work.EndDone}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.target("a", 4)
			b.do()
			b.look("a", test.held)
			b.s.Resume(b.now, b.keptJob("j", 2), test.progress)
			b.s.Resumed(b.now)
			must.Eq(t, test.pending, int(b.s.Pending()["k"]))
			must.Eq(t, test.pending == 0, b.s.Begun("j"))
			must.SliceEmpty(t, pickEffects[JobEnded](b.do()))
			must.Eq(t, 0, b.s.Pending()["k"])
		})
	}
}

// A failed run counts once if the previous owner stored it but didn't acknowledge it.
func TestFailedRunsAreCountedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		noted int64
		ended bool
	}{"the stored one": {31, false}, "another one": {29, true}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.target("a", 4)
			b.do()
			b.look("a", ended(1, work.Run{Task: "j.0.0.0", Number: 31}, work.EndFailed))
			b.s.Resume(b.now, b.keptJob("j", 1), Progress{Fails: map[int]int{0: 1}, LastFailed: map[int]int64{0: test.noted}})
			b.s.Resumed(b.now)
			effects := b.do()
			must.Eq(t, test.ended, len(pickEffects[JobEnded](effects)) == 1)
			must.Eq(t, test.ended, len(pickEffects[TaskFailed](effects)) == 1)
			must.Eq(t, !test.ended, len(pickEffects[StartRun](effects)) == 1)
			must.SliceEmpty(t, b.s.orphans["j.0.0.0"])
		})
	}
}

// A leaving owner hands over all durable jobs. Their runs continue for the successor: they aren't
// stopped and their completions aren't acknowledged. Their leases are extended only for as long as
// the successor waits for a target that it can't reach.
func TestLeavingOwnersHandKeptJobsBack(t *testing.T) {
	b := newBench(t, Options{})
	run := runKept(b)
	b.s.Submit(b.now, b.keptJob("late", 1))
	b.do()
	b.s.Leave(b.now)
	must.Eq(t, []string{"a"}, b.s.Idle())
	b.s.Stored(b.now, "late", work.Outcome{Result: work.Accepted}, true)
	effects := b.do()
	must.Eq(t, work.Accepted, pickEffects[Answer](effects)[0].Outcome.Result)
	effects = append(effects, b.pass(100*ms)...)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.Eq(t, 0, b.s.Jobs())
	b.look("a", work.Held{Clock: 5100, Running: listing(run)})
	must.Positive(t, pickEffects[Look](b.do())[0].Until)
	b.pass(leavingLease)
	b.look("a", ended(1, run, work.EndDone))
	effects = append(b.do(), b.pass(time.Second)...)
	must.Eq(t, 0, seen(effects))
	must.SliceEmpty(t, pickEffects[TaskDone](effects))
	must.True(t, b.s.AtRest())
}

// A deposed owner extends no lease of a run that its successor may start again.
func TestAnOwnerWithoutItsPlaceProlongsNothing(t *testing.T) {
	b := newBench(t, Options{})
	run := runKept(b)
	b.s.Abandon(b.now)
	b.pass(20 * ms)
	b.look("a", work.Held{Clock: 5100, Running: listing(run)})
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.Eq(t, 0, pickEffects[Look](effects)[0].Until)
}

// A job that was taken over too late to be of use runs after a job that can be on time, but it does
// run.
func TestUselessBacklogGoesBehind(t *testing.T) {
	b := newBench(t, Options{})
	b.s.Resumed(b.now)
	b.listed(work.Target{ID: "x", Capacity: work.Resources{CPU: 1}, Draining: true})
	old := b.keptJob("old", 1)
	old.Age = 8 * time.Second
	b.s.Resume(b.now, old, Progress{})
	b.s.Submit(b.now, b.keptJob("new", 1))
	b.do()
	b.s.Stored(b.now, "new", work.Outcome{Result: work.Accepted}, true)
	b.pass(40 * ms)
	b.usable("a", 1)
	first := pickEffects[StartRun](b.do())
	must.SliceLen(t, 1, first)
	must.Eq(t, "new.0.0.0", first[0].Run.Task)
	b.begun(first)
	b.look("a", ended(1, first[0].Run, work.EndDone))
	must.Eq(t, "old.0.0.0", pickEffects[StartRun](b.do())[0].Run.Task)
}

// A durable job is done however late it is and whether or not anybody waits.
func TestKeptJobsAreNeverGivenUp(t *testing.T) {
	b := newBench(t, Options{})
	b.s.Resumed(b.now)
	sub := b.keptJob("j", 1)
	sub.Entry, sub.Wait = "e", time.Second
	b.usable("a", 0)
	b.s.Resume(b.now, sub, Progress{})
	b.s.Cancel(b.now, sub.Ref)
	b.s.GiveUp(b.now, "e", "j")
	b.now += time.Minute
	effects := b.pass(time.Second)
	must.SliceEmpty(t, pickEffects[JobEnded](effects))
	b.usable("b", 1)
	must.SliceLen(t, 1, pickEffects[StartRun](b.do()))
}

// A run that doesn't end is stopped and started again; each time the timeout grows.
func TestStuckRunsBeginAnew(t *testing.T) {
	b := newBench(t, Options{})
	run := runKept(b)
	listed := func() {
		b.look("a", work.Held{Clock: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(run)})
	}
	var stopped []time.Duration
	for range 60 {
		listed()
		effects := b.pass(100 * ms)
		if len(pickEffects[StopRun](effects)) > 0 {
			stopped = append(stopped, b.now)
			b.look("a", ended(int64(len(stopped)), run, work.EndStopped))
			run = pickEffects[StartRun](b.do())[0].Run
			b.s.Started(b.now, "a", run, work.OrderAnswer{Verdict: work.VerdictDone, Clock: 5000 + (b.now - 10*time.Second).Milliseconds()})
			b.do()
		}
	}
	must.SliceLen(t, 1, stopped)
	must.Between(t, stuckTime, stopped[0]-10*time.Second, stuckTime+300*ms)
}
