package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// gangStep returns a gang step of this many tasks.
func gangStep(tasks int) work.Step { return work.Step{Tasks: tasks, Gang: true} }

// A gang starts under one run number once there is capacity for all of it.
func TestGangStartsTogether(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 2)
	b.listTargetWithCPU("b", 2)
	b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", gangStep(3)))))
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 3, starts)
	for _, start := range starts {
		must.Eq(t, starts[0].Run.Number, start.Run.Number)
	}
}

// A gang that the targets can't hold is refused at once.
func TestGangThatFitsNowhereIsRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.s.Submit(b.now, b.jobOfSteps("j", gangStep(3)))
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Refused, answers[0].Outcome.Result)
}

// If a member can't start or fails, the other members are stopped. All members start again together
// once the last run has ended.
func TestGangRestartsTogether(t *testing.T) {
	for name, harm := range map[string]func(b *harness, start StartRun){
		"refused": func(b *harness, start StartRun) {
			b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, work.OrderAnswer{Verdict: work.VerdictNoCapacity, ClockMS: 5000})
		},
		"unanswered": func(b *harness, start StartRun) {
			b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, work.OrderAnswer{})
		},
		"failed": func(b *harness, start StartRun) {
			b.answerPoll(start.To.ID, pollWithCompletion(1, start.Run, work.CompletionFailed))
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.s.FinishResume(b.now)
			b.addUsableTarget("a", 1)
			b.addUsableTarget("b", 1)
			starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", gangStep(2))))
			must.SliceLen(t, 2, starts)
			b.answerStarts(starts[1:])
			harm(b, starts[0])
			effects := b.effects()
			must.SliceEmpty(t, pickEffects[StartRun](effects))
			stops := pickEffects[StopRun](effects)
			must.Eq(t, starts[1].Run, stops[len(stops)-1].Run)
			if name == "unanswered" {
				return
			}
			must.SliceEmpty(t, pickEffects[StartRun](b.advance(100*ms)))
			b.answerPoll(starts[1].To.ID, work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: starts[1].Run, Kind: work.CompletionStopped}}})
			again := pickEffects[StartRun](append(b.effects(), b.advance(100*ms)...))
			must.SliceLen(t, 2, again)
			must.Greater(t, starts[0].Run.Number, again[0].Run.Number)
			must.Eq(t, again[0].Run.Number, again[1].Run.Number)
		})
	}
}

// One member's completion completes the gang. The failed runs of all members count together.
func TestGangEndsTogether(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", gangStep(2))))
	b.answerStarts(starts)
	b.answerPoll(starts[0].To.ID, pollWithCompletion(1, starts[0].Run, work.CompletionDone))
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCompleted}}, pickEffects[JobEnded](b.effects()))

	b = newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.s.ResumeJob(b.now, b.jobOfSteps("j", gangStep(2)), Progress{Fails: map[int]int{0: 1, 1: maxAttempts - 1}})
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateFailed}}, pickEffects[JobEnded](b.effects()))
}

// A steady stream of small tasks doesn't starve a gang.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 2)
	var small []StartRun
	b.submit("s0", 1, 1, "")
	small = append(small, pickEffects[StartRun](b.effects())...)
	b.answerStarts(small)
	b.acceptAndStore(b.jobOfSteps("j", gangStep(2)))
	for i := range 10 {
		b.submit("s"+string(rune('1'+i)), 1, 1, "")
		starts := pickEffects[StartRun](b.advance(40 * ms))
		for _, start := range starts {
			if start.Run.Task == "j.0.0.0" {
				return
			}
		}
		b.answerStarts(starts)
		small = append(small, starts...)
		// The oldest small task ends.
		b.answerPoll("a", work.PollAnswer{
			ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(runsOf(small[1:])...),
			Completions: []work.Completion{{Number: int64(i + 1), Run: small[0].Run, Kind: work.CompletionDone}},
		})
		small = small[1:]
		if len(small) == 0 {
			small = append(small, pickEffects[StartRun](b.effects())...)
			if len(small) > 0 && small[0].Run.Task == "j.0.0.0" {
				return
			}
		}
	}
	t.Fatal("the gang never started")
}

func runsOf(starts []StartRun) []work.RunID {
	var runs []work.RunID
	for _, start := range starts {
		runs = append(runs, start.Run)
	}
	return runs
}

// A gang that wants one rack gets one if a rack can hold it, and is spread over racks otherwise.
func TestGangPrefersOneRack(t *testing.T) {
	for name, test := range map[string]struct {
		tasks int
		racks []string
	}{
		"one can hold it": {2, []string{"r2", "r2"}},
		"none can":        {3, []string{"r1", "r2", "r2"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.s.FinishResume(b.now)
			racks := map[string]string{"a": "r1", "b": "r2", "c": "r2"}
			for _, id := range []string{"a", "b", "c"} {
				b.listTarget(work.Target{ID: id, Capacity: work.Resources{CPU: 1}, Labels: []string{"k", racks[id]}, Rack: racks[id]})
				b.effects()
				b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
			}
			step := gangStep(test.tasks)
			step.PreferOneRack = true
			var used []string
			for _, start := range pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", step))) {
				used = append(used, racks[start.To.ID])
			}
			must.SliceContainsAll(t, test.racks, used)
		})
	}
}

// A gang that wants one rack waits for capacity there while the rack could hold it.
func TestGangWaitsForItsRack(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	for id, rack := range map[string]string{"a": "r1", "b": "r2", "c": "r2"} {
		b.listTarget(work.Target{ID: id, Capacity: work.Resources{CPU: 1}, Labels: []string{"k", rack}, Rack: rack})
		b.effects()
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
	}
	small := b.durableJob("small", 1)
	small.Job.Steps[0].RequiredLabel = "r2"
	busy := pickEffects[StartRun](b.acceptAndStore(small))
	must.SliceLen(t, 1, busy)
	b.answerStarts(busy)
	step := gangStep(2)
	step.PreferOneRack = true
	must.SliceEmpty(t, pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", step))))
	b.answerPoll(busy[0].To.ID, pollWithCompletion(1, busy[0].Run, work.CompletionDone))
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
}

// Targets that are reserved for a gang are free again in time even if its job is not placed meanwhile.
func TestReservationOfGangThatIsNotPlacedEnds(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 2)
	b.submit("s0", 1, 1, "")
	small := pickEffects[StartRun](b.effects())
	b.answerStarts(small)
	b.acceptAndStore(b.jobOfSteps("j", gangStep(2)))
	b.advance(gangReserveDelay + 40*ms)
	gang := b.s.jobsByKey["j"]
	must.Eq(t, gang.steps[0], b.s.targets["a"].reservedFor)
	gang.moving = true
	for end := b.now + maxReservation + 100*ms; b.now < end; {
		b.advance(40 * ms)
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(small[0].Run)})
	}
	b.submit("s1", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](append(b.effects(), b.advance(40*ms)...)))
}
