package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// newRackBench returns a bench with usable targets, two in each rack.
func crashBench(t *testing.T, targets int) *bench {
	b := newBench(t, Options{})
	b.s.Resumed(b.now)
	for i := range targets {
		b.rackTarget(i)
	}
	return b
}

// addRackTarget adds a usable target; two successive indexes share a rack.
func (b *bench) rackTarget(i int) {
	id, rack := fmt.Sprintf("t%02d", i), fmt.Sprintf("r%d", i/2)
	b.listed(work.Target{ID: id, Rack: rack, Labels: []string{"kind", rack}, Capacity: work.Resources{CPU: 4}})
	b.do()
	b.look(id, work.Held{Clock: 5000})
}

// confirmStarts answers starts as done.
func (b *bench) begin(starts []StartRun) {
	for _, start := range starts {
		b.s.Started(b.now, start.To.ID, start.Run, work.OrderAnswer{Verdict: work.VerdictDone, Clock: 5000})
	}
	b.do()
}

// loseTargets loses targets at the same time, and returns the effects of the 20 ms after that.
func (b *bench) falls(ids ...string) []Effect {
	for _, id := range ids {
		b.s.fallsSilent(b.now, b.s.targets[id])
	}
	for _, id := range ids {
		b.s.lose(b.now, b.s.targets[id], "another incarnation answers at its address")
	}
	return b.pass(20 * ms)
}

// startStoredJob has a durable job stored and returns its first starts.
func (b *bench) storedJob(id string, tasks int) []StartRun {
	b.s.Submit(b.now, b.keptJob(id, tasks))
	b.do()
	b.s.Stored(b.now, id, work.Outcome{Result: work.Accepted}, true)
	return pickEffects[StartRun](b.do())
}

func TestATaskThatCrashesTwoTargetsIsGivenUp(t *testing.T) {
	b := crashBench(t, 8)
	starts := b.storedJob("j", 1)
	must.SliceLen(t, 1, starts)
	b.begin(starts)
	effects := b.falls(starts[0].To.ID)
	must.SliceLen(t, 1, pickEffects[TaskCrashed](effects))
	starts = pickEffects[StartRun](effects)
	must.SliceLen(t, 1, starts)
	b.begin(starts)
	effects = b.falls(starts[0].To.ID)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	ends := pickEffects[JobEnded](effects)
	must.SliceLen(t, 1, ends)
	must.Eq(t, work.StateFailed, ends[0].State)
	must.SliceEmpty(t, pickEffects[StartRun](b.pass(5*time.Second)))
}

// A caller that sends a poisoned job again gets the failure again, and nothing is started.
func TestAJobThatCrashesTargetsIsNotTakenAgain(t *testing.T) {
	b := crashBench(t, 8)
	b.submit("j", 1, 1, "")
	for range 2 {
		starts := pickEffects[StartRun](b.do())
		if len(starts) == 0 {
			starts = pickEffects[StartRun](b.pass(20 * ms))
		}
		must.SliceLen(t, 1, starts)
		b.begin(starts)
		b.s.fallsSilent(b.now, b.s.targets[starts[0].To.ID])
		b.s.lose(b.now, b.s.targets[starts[0].To.ID], "gone")
	}
	b.do()
	b.submit("j", 1, 1, "")
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	answers := pickEffects[Answer](effects)
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Failed, answers[0].Outcome.Result)
	must.StrContains(t, answers[0].Outcome.Reason, "crashed the targets")
}

// Tasks that ran beside a poison task run isolated. Completing there clears them, and nothing else
// runs beside them.
func TestInnocentTasksAreToldApart(t *testing.T) {
	b := crashBench(t, 1)
	starts := append(b.storedJob("crasher", 1), b.storedJob("neighbour", 2)...)
	for i := range 8 {
		b.rackTarget(2 + i)
	}
	must.SliceLen(t, 3, starts)
	b.begin(starts)
	must.Eq(t, starts[0].To.ID, starts[1].To.ID)
	again := pickEffects[StartRun](b.falls(starts[0].To.ID))
	must.SliceNotEmpty(t, again)
	on := map[string]int{}
	for _, start := range again {
		on[start.To.ID]++
	}
	for id, runs := range on {
		must.Eq(t, 1, runs, must.Sprint(id))
	}
	b.begin(again)
	other := b.storedJob("other", 1)
	must.SliceLen(t, 1, other)
	must.MapNotContainsKey(t, on, other[0].To.ID)
	for _, start := range again {
		if start.Run.Task == "crasher.0.0.0" {
			must.SliceLen(t, 1, pickEffects[JobEnded](b.falls(start.To.ID)))
			continue
		}
		b.look(start.To.ID, ended(1, start.Run, work.EndDone))
	}
	var ends []JobEnded
	for range 4 {
		effects := b.pass(100 * ms)
		ends = append(ends, pickEffects[JobEnded](effects)...)
		for _, start := range pickEffects[StartRun](effects) {
			b.begin([]StartRun{start})
			b.look(start.To.ID, ended(2, start.Run, work.EndDone))
		}
	}
	must.SliceLen(t, 1, ends)
	must.Eq(t, "neighbour", ends[0].Job)
	must.Eq(t, work.StateCompleted, ends[0].State)
}

// A target that is lost with others of its rack doesn't count against the tasks that ran there.
func TestTargetsThatFallTogetherBlameNoTask(t *testing.T) {
	b := newBench(t, Options{})
	b.s.Resumed(b.now)
	for i := range 4 {
		id := fmt.Sprintf("t%02d", i)
		b.listed(work.Target{ID: id, Rack: "r", Labels: []string{"kind", "r"}, Capacity: work.Resources{CPU: 4}})
		b.do()
		b.look(id, work.Held{Clock: 5000})
	}
	for i := range 4 {
		b.rackTarget(10 + i)
	}
	starts := b.storedJob("j", 1)
	b.begin(starts)
	b.s.targets[starts[0].To.ID].Rack = "r"
	b.falls("t00", "t01", "t02", "t03")
	must.SliceEmpty(t, b.s.byID["j"].tasks[0].fallen())
}

func TestASilentTargetThatAnswersAgainClearsItsTasks(t *testing.T) {
	b := crashBench(t, 8)
	starts := b.storedJob("j", 1)
	b.begin(starts)
	id := starts[0].To.ID
	for range silentLooks {
		b.looked(id, work.Held{}, work.VerdictUnknown)
		b.pass(120 * ms)
	}
	b.pass(1500 * ms)
	task := b.s.byID["j"].tasks[0]
	must.SliceLen(t, 1, task.fallen())
	b.look(id, work.Held{Clock: 9000})
	must.SliceEmpty(t, task.fallen())
}

// A job of many poison tasks first loses all targets that run it. After that its suspects run
// isolated, on at most a quarter of the service's targets at a time.
func TestSuspectsTakeABoundedShareOfTheTargets(t *testing.T) {
	b := crashBench(t, 40)
	starts := b.storedJob("j", 32)
	must.SliceLen(t, 32, starts)
	b.begin(starts)
	lost := map[string]bool{}
	for _, start := range starts {
		lost[start.To.ID] = true
	}
	must.Eq(t, 8, len(lost))
	ids := []string{}
	for id := range lost {
		ids = append(ids, id)
	}
	again := pickEffects[StartRun](b.falls(ids...))
	must.LessEq(t, int(trialShare*32), len(again))
	must.SliceNotEmpty(t, again)
	b.begin(again)
	must.SliceLen(t, 1, pickEffects[JobEnded](b.falls(again[0].To.ID)))
}

// A target whose capacity shrinks below what runs there takes nothing until that fits. A target
// without any capacity is not faulty. New capacity is used at once.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 4)
	b.submit("j", 4, 1, "")
	starts := pickEffects[StartRun](b.do())
	must.SliceLen(t, 4, starts)
	b.begin(starts)
	b.target("a", 2)
	b.submit("k", 1, 1, "")
	effects := b.do()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	b.look("a", work.Held{Clock: 5100, Ended: []work.End{{Number: 1, Run: starts[0].Run, Kind: work.EndDone}, {Number: 2, Run: starts[1].Run, Kind: work.EndDone}},
		Running: listing(starts[2].Run, starts[3].Run)})
	must.SliceEmpty(t, pickEffects[StartRun](b.do()))
	b.target("a", 0)
	must.SliceEmpty(t, pickEffects[StartRun](b.do()))
	b.look("a", work.Held{Clock: 5150, Capacity: &work.Resources{CPU: 3}, Running: listing(starts[2].Run, starts[3].Run)})
	must.SliceLen(t, 1, pickEffects[StartRun](b.do()))
	// The registry entry was read before and tells nothing new.
	b.target("a", 0)
	must.Eq(t, 3, b.s.targets["a"].Capacity.CPU)
}

// A target that restarts under its ID counts as another one: its runs are over, its completions are
// numbered from the start, and a late entry or answer of the old incarnation changes nothing.
func TestATargetThatStartsAgainUnderItsID(t *testing.T) {
	b := newBench(t, Options{})
	listed := work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Life: 100}
	b.listed(listed)
	b.do()
	b.look("a", work.Held{Clock: 5000, Life: 100})
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.do())[0]
	b.s.Started(b.now, "a", start.Run, done(5000))
	b.do()
	b.look("a", work.Held{Clock: 5010, Life: 100, Running: listing(start.Run), Ended: []work.End{{Number: 7, Run: work.Run{Task: "x", Number: 2}, Kind: work.EndDone}}})
	b.do()
	b.look("a", work.Held{Clock: 10, Life: 200})
	again := pickEffects[StartRun](b.pass(20 * ms))
	must.SliceLen(t, 1, again)
	must.Eq(t, int64(200), b.s.targets["a"].Life)
	must.Eq(t, 0, b.s.targets["a"].seen)
	b.listed(listed)
	must.Eq(t, int64(200), b.s.targets["a"].Life)
	b.s.Started(b.now, "a", again[0].Run, done(30))
	b.do()
	b.look("a", work.Held{Clock: 60, Life: 200, Ended: []work.End{{Number: 1, Run: again[0].Run, Kind: work.EndDone}}})
	must.SliceLen(t, 1, pickEffects[Answer](b.do()))
}

// A target that was listed when the owner began knows the previous owner's token, so that it needs
// no confirmed claim even if it is seen late.
func TestATargetThatIsGivenLateDoesNotWaitForTheClaim(t *testing.T) {
	b := newBench(t, Options{ConfirmClaims: true})
	b.s.ListedEarly("a")
	b.s.ListedEarly("b")
	b.usable("a", 1)
	b.usable("b", 4)
	must.Eq(t, usable, b.s.targets["b"].state)
	must.SliceEmpty(t, pickEffects[ConfirmClaim](b.do()))
}

// A target that comes later is used only once the claim was confirmed since.
func TestALaterTargetWaitsForTheClaim(t *testing.T) {
	b := newBench(t, Options{ConfirmClaims: true})
	b.usable("a", 1)
	must.Eq(t, usable, b.s.targets["a"].state)
	b.target("b", 4)
	b.do()
	b.look("b", work.Held{Clock: 5000})
	must.SliceLen(t, 1, pickEffects[ConfirmClaim](b.do()))
	must.Eq(t, adopting, b.s.targets["b"].state)
	// Meanwhile it is polled at most twice.
	must.LessEq(t, 2, len(pickEffects[Look](b.pass(confirmPause))))
	b.s.ClaimConfirmed(b.now, b.s.targets["b"].since-1)
	must.Eq(t, adopting, b.s.targets["b"].state)
	b.s.ClaimConfirmed(b.now, b.now)
	must.Eq(t, usable, b.s.targets["b"].state)
}
