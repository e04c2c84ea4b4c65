package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// newRackHarness returns a harness with usable targets, two in each rack.
func newRackHarness(t *testing.T, targets int) *harness {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	for i := range targets {
		b.addRackTarget(i)
	}
	return b
}

// addRackTarget adds a usable target; two successive indexes share a rack.
func (b *harness) addRackTarget(i int) {
	id, rack := fmt.Sprintf("t%02d", i), fmt.Sprintf("r%d", i/2)
	b.listTarget(work.Target{ID: id, Rack: rack, Labels: []string{"kind", rack}, Capacity: work.Resources{CPU: 4}})
	b.effects()
	b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
}

// confirmStarts answers starts as done.
func (b *harness) confirmStarts(starts []StartRun) {
	for _, start := range starts {
		b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 5000})
	}
	b.effects()
}

// loseTargets loses targets at the same time, and returns the effects of the 20 ms after that.
func (b *harness) loseTargets(ids ...string) []Effect {
	for _, id := range ids {
		b.s.recordTargetLoss(b.now, b.s.targets[id])
	}
	for _, id := range ids {
		b.s.loseTarget(b.now, b.s.targets[id], "another incarnation answers at its address")
	}
	return b.advance(20 * ms)
}

// startStoredJob has a durable job stored and returns its first starts.
func (b *harness) startStoredJob(id string, tasks int) []StartRun {
	b.s.Submit(b.now, b.durableJob(id, tasks))
	b.effects()
	b.s.HandleJobStored(b.now, id, work.Outcome{Result: work.Accepted}, true)
	return pickEffects[StartRun](b.effects())
}

func TestTaskFailsAfterCrashingTwoTargets(t *testing.T) {
	b := newRackHarness(t, 8)
	starts := b.startStoredJob("j", 1)
	must.SliceLen(t, 1, starts)
	b.confirmStarts(starts)
	effects := b.loseTargets(starts[0].To.ID)
	must.SliceLen(t, 1, pickEffects[TaskCrashed](effects))
	starts = pickEffects[StartRun](effects)
	must.SliceLen(t, 1, starts)
	b.confirmStarts(starts)
	effects = b.loseTargets(starts[0].To.ID)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	ends := pickEffects[JobEnded](effects)
	must.SliceLen(t, 1, ends)
	must.Eq(t, work.StateFailed, ends[0].State)
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(5*time.Second)))
}

// A caller that sends a poisoned job again gets the failure again, and nothing is started.
func TestPoisonedJobIsNotAcceptedAgain(t *testing.T) {
	b := newRackHarness(t, 8)
	b.submit("j", 1, 1, "")
	for range 2 {
		starts := pickEffects[StartRun](b.effects())
		if len(starts) == 0 {
			starts = pickEffects[StartRun](b.advance(20 * ms))
		}
		must.SliceLen(t, 1, starts)
		b.confirmStarts(starts)
		b.s.recordTargetLoss(b.now, b.s.targets[starts[0].To.ID])
		b.s.loseTarget(b.now, b.s.targets[starts[0].To.ID], "gone")
	}
	b.effects()
	b.submit("j", 1, 1, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	answers := pickEffects[Answer](effects)
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Failed, answers[0].Outcome.Result)
	must.StrContains(t, answers[0].Outcome.Reason, "crashed the targets")
}

// Tasks that ran beside a poison task run isolated. Completing there clears them, and nothing else
// runs beside them.
func TestIsolatedRunsClearTasksBesidePoisonTask(t *testing.T) {
	b := newRackHarness(t, 1)
	starts := append(b.startStoredJob("crasher", 1), b.startStoredJob("neighbour", 2)...)
	for i := range 8 {
		b.addRackTarget(2 + i)
	}
	must.SliceLen(t, 3, starts)
	b.confirmStarts(starts)
	must.Eq(t, starts[0].To.ID, starts[1].To.ID)
	again := pickEffects[StartRun](b.loseTargets(starts[0].To.ID))
	must.SliceNotEmpty(t, again)
	on := map[string]int{}
	for _, start := range again {
		on[start.To.ID]++
	}
	for id, runs := range on {
		must.Eq(t, 1, runs, must.Sprint(id))
	}
	b.confirmStarts(again)
	other := b.startStoredJob("other", 1)
	must.SliceLen(t, 1, other)
	must.MapNotContainsKey(t, on, other[0].To.ID)
	for _, start := range again {
		if start.Run.Task == "crasher.0.0.0" {
			must.SliceLen(t, 1, pickEffects[JobEnded](b.loseTargets(start.To.ID)))
			continue
		}
		b.answerPoll(start.To.ID, pollWithCompletion(1, start.Run, work.CompletionDone))
	}
	var ends []JobEnded
	for range 4 {
		effects := b.advance(100 * ms)
		ends = append(ends, pickEffects[JobEnded](effects)...)
		for _, start := range pickEffects[StartRun](effects) {
			b.confirmStarts([]StartRun{start})
			b.answerPoll(start.To.ID, pollWithCompletion(2, start.Run, work.CompletionDone))
		}
	}
	must.SliceLen(t, 1, ends)
	must.Eq(t, "neighbour", ends[0].Job)
	must.Eq(t, work.StateCompleted, ends[0].State)
}

// A target that is lost with others of its rack doesn't count against the tasks that ran there.
func TestCorrelatedLossesDoNotCount(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	for i := range 4 {
		id := fmt.Sprintf("t%02d", i)
		b.listTarget(work.Target{ID: id, Rack: "r", Labels: []string{"kind", "r"}, Capacity: work.Resources{CPU: 4}})
		b.effects()
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
	}
	for i := range 4 {
		b.addRackTarget(10 + i)
	}
	starts := b.startStoredJob("j", 1)
	b.confirmStarts(starts)
	b.s.targets[starts[0].To.ID].Rack = "r"
	b.loseTargets("t00", "t01", "t02", "t03")
	must.SliceEmpty(t, b.s.jobsByKey["j"].tasks[0].currentLosses())
}

func TestSilentTargetThatAnswersAgainClearsLosses(t *testing.T) {
	b := newRackHarness(t, 8)
	starts := b.startStoredJob("j", 1)
	b.confirmStarts(starts)
	id := starts[0].To.ID
	for range silentPolls {
		b.answerPollWith(id, work.PollAnswer{}, work.VerdictUnknown)
		b.advance(120 * ms)
	}
	b.advance(1500 * ms)
	task := b.s.jobsByKey["j"].tasks[0]
	must.SliceLen(t, 1, task.currentLosses())
	b.answerPoll(id, work.PollAnswer{ClockMS: 9000})
	must.SliceEmpty(t, task.currentLosses())
}

// A job of many poison tasks first loses all targets that run it. After that its suspects run
// isolated, on at most a quarter of the service's targets at a time.
func TestIsolatedSuspectsTakeBoundedShareOfTargets(t *testing.T) {
	b := newRackHarness(t, 40)
	starts := b.startStoredJob("j", 32)
	must.SliceLen(t, 32, starts)
	b.confirmStarts(starts)
	lost := map[string]bool{}
	for _, start := range starts {
		lost[start.To.ID] = true
	}
	must.Eq(t, 8, len(lost))
	ids := []string{}
	for id := range lost {
		ids = append(ids, id)
	}
	again := pickEffects[StartRun](b.loseTargets(ids...))
	must.LessEq(t, int(isolationShare*32), len(again))
	must.SliceNotEmpty(t, again)
	b.confirmStarts(again)
	must.SliceLen(t, 1, pickEffects[JobEnded](b.loseTargets(again[0].To.ID)))
}

// A target whose capacity shrinks below what runs there takes nothing until that fits. A target
// without any capacity is not faulty. New capacity is used at once.
func TestStartsFollowCapacityChanges(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.submit("j", 4, 1, "")
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 4, starts)
	b.confirmStarts(starts)
	b.listTargetWithCPU("a", 2)
	b.submit("k", 1, 1, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: starts[0].Run, Kind: work.CompletionDone}, {Number: 2, Run: starts[1].Run, Kind: work.CompletionDone}},
		Running: listing(starts[2].Run, starts[3].Run)})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	b.listTargetWithCPU("a", 0)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5150, Capacity: &work.Resources{CPU: 3}, Running: listing(starts[2].Run, starts[3].Run)})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	// The registry entry was read before, so its capacity is not new.
	b.listTargetWithCPU("a", 0)
	must.Eq(t, 3, b.s.targets["a"].Capacity.CPU)
}

// A target that restarts under its ID counts as another one: its runs are over, its completions are
// numbered from the start, and a late entry or answer of the old incarnation changes nothing.
func TestRestartedTargetCountsAsNewIncarnation(t *testing.T) {
	b := newHarness(t, Options{})
	listed := work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100}
	b.listTarget(listed)
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Incarnation: 100})
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5010, Incarnation: 100, Running: listing(start.Run), Completions: []work.Completion{{Number: 7, Run: work.RunID{Task: "x", Number: 2}, Kind: work.CompletionDone}}})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 200})
	again := pickEffects[StartRun](b.advance(20 * ms))
	must.SliceLen(t, 1, again)
	must.Eq(t, int64(200), b.s.targets["a"].Incarnation)
	must.Eq(t, 0, b.s.targets["a"].lastCompletion)
	b.listTarget(listed)
	must.Eq(t, int64(200), b.s.targets["a"].Incarnation)
	b.s.HandleStartAnswer(b.now, "a", again[0].Run, doneAnswer(30))
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 60, Incarnation: 200, Completions: []work.Completion{{Number: 1, Run: again[0].Run, Kind: work.CompletionDone}}})
	must.SliceLen(t, 1, pickEffects[Answer](b.effects()))
}

// A target that was listed when the owner began knows the previous owner's token, so that it needs
// no confirmed claim even if it is seen late.
func TestTargetListedEarlyNeedsNoClaimConfirmation(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.ListedAtStart("a", 0)
	b.s.ListedAtStart("b", 0)
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 4)
	must.Eq(t, usable, b.s.targets["b"].state)
	must.SliceEmpty(t, pickEffects[ConfirmClaim](b.effects()))
}

// A target that comes later is used only once the claim was confirmed since.
func TestLaterTargetWaitsForClaimConfirmation(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.ListedAtStart("a", 0)
	b.addUsableTarget("a", 1)
	must.Eq(t, usable, b.s.targets["a"].state)
	b.listTargetWithCPU("b", 4)
	b.effects()
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	must.SliceLen(t, 1, pickEffects[ConfirmClaim](b.effects()))
	must.Eq(t, adopting, b.s.targets["b"].state)
	// Meanwhile it is polled at most twice.
	must.LessEq(t, 2, len(pickEffects[Poll](b.advance(claimRetryInterval))))
	b.s.ClaimConfirmed(b.now, b.s.targets["b"].firstSeen-1)
	must.Eq(t, adopting, b.s.targets["b"].state)
	b.s.ClaimConfirmed(b.now, b.now)
	must.Eq(t, usable, b.s.targets["b"].state)
}

// A suspect waits only for a target that its adviser allows, and for another one once the adviser
// excludes that.
func TestSuspectWaitsForTargetThatAdviserAllows(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("b", 1)
	b.submit("other", 1, 1, "")
	others := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, others)
	b.addUsableTarget("a", 1)
	sub := b.durableJob("j", 1)
	sub.Queue.RequiresAdvice = true
	b.s.ResumeJob(b.now, sub, Progress{Crashed: map[int][]Crash{0: {{Target: "x"}}}})
	asks := pickEffects[AskAdviser](b.advance(20 * ms))
	must.SliceLen(t, 1, asks)
	b.s.Advised(b.now, asks[0], map[string]string{"b": "tb"}, time.Second, true)
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(20*ms)))
	must.Nil(t, b.s.targets["a"].isolated)
	must.NotNil(t, b.s.targets["b"].isolated)
	b.s.adviserRequests["j.0.0"] = b.s.jobsByKey["j"].steps[0]
	b.s.Advised(b.now, AskAdviser{Step: "j.0.0", Targets: []string{"a", "b"}}, map[string]string{"a": "ta"}, time.Second, true)
	starts := pickEffects[StartRun](b.advance(20 * ms))
	must.SliceLen(t, 1, starts)
	must.Eq(t, "a", starts[0].To.ID)
}

// A lasting task that runs for longer than it took to lose its targets is no suspect any more once
// it ends by itself. A stop or an earlier end shows nothing.
func TestLastingTaskIsClearedByRunThatEnds(t *testing.T) {
	for _, c := range []struct {
		ran     time.Duration
		kind    work.CompletionKind
		cleared bool
	}{
		{600 * ms, work.CompletionFailed, true},
		{600 * ms, work.CompletionStopped, false},
		{400 * ms, work.CompletionFailed, false},
	} {
		b := newHarness(t, Options{})
		b.s.FinishResume(b.now)
		b.addUsableTarget("a", 1)
		starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", work.Step{Tasks: 1, Lasting: true})))
		must.SliceLen(t, 1, starts)
		b.answerStarts(starts)
		tk := b.s.jobsByKey["j"].tasks[0]
		tk.losses = []*targetLoss{{Crash: Crash{Target: "x", Confirmed: true}, after: 500 * ms, task: tk}}
		b.now += c.ran
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + c.ran.Milliseconds(), Completions: []work.Completion{{Number: 1, Run: starts[0].Run, Kind: c.kind}}})
		must.Eq(t, c.cleared, !tk.isSuspect(), must.Sprintf("%+v", c))
	}
}

// An idle target that the registry has dropped gets no task before it has answered once more.
func TestUnlistedIdleTargetIsAskedFirst(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	must.SliceEmpty(t, pickEffects[Poll](b.effects()))
	b.s.TargetUnlisted(b.now, "a")
	b.submit("j", 1, 1, "")
	effects := b.effects()
	must.SliceLen(t, 1, pickEffects[Poll](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// A run does not count as isolated once its target has listed a run of another owner.
func TestRunBesideOtherOwnersRunIsNotIsolated(t *testing.T) {
	for _, listed := range []bool{false, true} {
		b := newRackHarness(t, 8)
		starts := b.startStoredJob("j", 1)
		b.confirmStarts(starts)
		starts = pickEffects[StartRun](b.loseTargets(starts[0].To.ID))
		must.SliceLen(t, 1, starts)
		b.confirmStarts(starts)
		if listed {
			b.answerPoll(starts[0].To.ID, work.PollAnswer{ClockMS: 5020, Running: listing(starts[0].Run, work.RunID{Task: "theirs.0.0.0", Number: 1 << 20})})
			b.effects()
		}
		must.Eq(t, !listed, len(pickEffects[JobEnded](b.loseTargets(starts[0].To.ID))) == 1)
	}
}

// A run whose start has no answer counts one loss, however often its target restarts before the run
// is known to be over.
func TestRestartsCountOneLossForEachRun(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Incarnation: 100})
	must.SliceLen(t, 1, b.startStoredJob("j", 1))
	for restart := range int64(4) {
		b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 200 + restart})
		b.advance(200 * ms)
		must.SliceLen(t, 1, b.s.jobsByKey["j"].tasks[0].currentLosses())
	}
}

// The loss of a target that has not answered a task's start counts only towards maxLosses.
func TestUnansweredStartIsNoEvidenceForIsolatedLoss(t *testing.T) {
	b := newRackHarness(t, 12)
	starts := b.startStoredJob("j", 1)
	for lost := 1; lost <= maxLosses; lost++ {
		must.SliceLen(t, 1, starts)
		if lost > 1 {
			b.confirmStarts(starts)
		}
		effects := b.loseTargets(starts[0].To.ID)
		must.Eq(t, lost == maxLosses, len(pickEffects[JobEnded](effects)) == 1)
		starts = pickEffects[StartRun](effects)
	}
}

// An owner that may have a successor fails no job for a target that the successor may have used. The
// task isn't started meanwhile.
func TestPoisonVerdictWaitsForClaim(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.FinishResume(b.now)
	for i := range 8 {
		b.s.ListedAtStart(fmt.Sprintf("t%02d", i), 0)
		b.addRackTarget(i)
	}
	starts := b.startStoredJob("j", 1)
	for range lossesToFail {
		must.SliceLen(t, 1, starts)
		b.confirmStarts(starts)
		starts = pickEffects[StartRun](b.loseTargets(starts[0].To.ID))
	}
	before := b.now - time.Second
	b.s.ClaimConfirmed(b.now, before)
	effects := b.advance(time.Second)
	must.SliceNotEmpty(t, pickEffects[ConfirmClaim](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceEmpty(t, pickEffects[JobEnded](effects))
	b.s.ClaimConfirmed(b.now, b.now)
	must.SliceLen(t, 1, pickEffects[JobEnded](b.effects()))
}

// A run that its target has not listed before a restart is noticed may have begun after it, so the
// restart does not confirm a suspect.
func TestUnnoticedRestartDoesNotConfirmSuspect(t *testing.T) {
	for _, seen := range []bool{false, true} {
		b := newHarness(t, Options{})
		b.s.FinishResume(b.now)
		b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100})
		b.effects()
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Incarnation: 100})
		b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Crashed: map[int][]Crash{0: {{Target: "x", Begun: true, Confirmed: true}}}})
		starts := pickEffects[StartRun](b.advance(40 * ms))
		must.SliceLen(t, 1, starts)
		b.confirmStarts(starts)
		if seen {
			b.answerPoll("a", work.PollAnswer{ClockMS: 5050, Incarnation: 100, Running: listing(starts[0].Run)})
			b.effects()
		}
		b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 200})
		must.Eq(t, seen, len(pickEffects[JobEnded](b.advance(40*ms))) == 1)
	}
}

// A target that is reserved for a suspect is free again once the suspect's job is to move.
func TestReservationForSuspectOfMovingJobEnds(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 2)
	b.submit("s0", 1, 1, "")
	b.answerStarts(pickEffects[StartRun](b.effects()))
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Crashed: map[int][]Crash{0: {{Target: "x"}}}})
	b.advance(20 * ms)
	j := b.s.jobsByKey["j"]
	must.Eq(t, j.tasks[0], b.s.targets["a"].isolated)
	j.moving = true
	b.advance(20 * ms)
	b.submit("s1", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}
