package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

func TestUnservableJobIsRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.submit("j", 1, 5, "")
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, work.Refused, answer.Outcome.Result)
	must.StrContains(t, answer.Outcome.Reason, "ask for less")
}

// A job that fits beside the waiting ones is accepted, since these cannot use the free capacity.
func TestSmallJobIsAcceptedBesideWaitingLargeJobs(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 10)
	b.submit("first", 1, 8, "")
	b.effects()
	for i := range 40 {
		b.submit(string(rune('A'+i)), 1, 8, "")
	}
	must.SliceNotEmpty(t, pickEffects[Answer](b.effects()))
	b.submit("large", 1, 8, "")
	must.SliceLen(t, 1, pickEffects[Answer](b.effects()))
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref,
		Job: work.Job{ID: "small", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 2}, DeclaredRunTime: 100 * ms}}},
		// It is placed after all others, and has no time to wait for them.
		Queue: work.Queue{Name: "q", Service: "s", Priority: 5, MaxAttempts: 2, Stretch: 2, Allowance: 100 * ms},
	})
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[Answer](effects))
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
}

// A suspected target that drains gets no probe.
func TestDrainingSuspectedTargetIsNotProbed(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.targets["a"].health.markSuspected(b.now)
	b.s.markChanged(b.s.targets["a"])
	b.addUsableTarget("b", 1)
	b.submit("first", 1, 1, "")
	b.effects()
	b.submit("second", 1, 1, "")
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 1}, Draining: true})
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(minBackoff+40*ms)))
}

// Tasks that another owner may still run are not run here.
func TestLostPartEndsJobAsUnknown(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	ref := b.submit("j", 2, 1, "")
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{2, 2, 2}})
	delegated := pickEffects[Delegate](b.effects())[0]
	b.s.PartReturned(b.now, delegated.Part, work.Outcome{Result: work.Unknown})
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, ref, answer.Ref)
	must.Eq(t, work.Unknown, answer.Outcome.Result)
}

// A part that cannot start goes back while its owner can still find it another target.
func TestPartThatCannotStartIsRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.submit("first", 1, 1, "")
	b.effects()
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Part: []string{"j.0.0.3"},
		Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
	answers := pickEffects[Answer](b.advance(partStartTimeout + 40*ms))
	must.SliceLen(t, 1, answers)
	must.Eq(t, work.Refused, answers[0].Outcome.Result)
}

// Recently accepted urgent jobs count in the forecast of less urgent ones, which they would
// overtake.
func TestUrgentDemandReducesShareOfLessUrgent(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 10)
	p := b.s.poolOf("s")
	must.Eq(t, 1, p.shareLeft(b.now, 1))
	for range 4 {
		b.submit("u", 10, 1, "")
		b.effects()
		b.s.Cancel(b.now, b.ref)
	}
	must.Eq(t, 1, p.shareLeft(b.now, 0))
	must.Less(t, 0.8, p.shareLeft(b.now, 1))
	must.Greater(t, 0.99, p.shareLeft(b.now+10*demandWindow, 1))
}

func TestOverloadedOwnerRefusesWithRetryTime(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	refused := 0
	for i := range 60 {
		b.submit(string(rune('A'+i)), 1, 1, "")
		for _, answer := range pickEffects[Answer](b.effects()) {
			must.Eq(t, work.Refused, answer.Outcome.Result)
			must.Positive(t, answer.Outcome.RetryAfter)
			refused++
		}
	}
	must.Between(t, 40, refused, 55)
}

// Jobs that become late after their targets are lost are refused then, and not only when their
// answer is of no use any more. Those that can still be served wait.
func TestHopelesslyLateJobIsRefused(t *testing.T) {
	for name, lost := range map[string]bool{"capacity is lost": true, "capacity stays": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.addUsableTarget("a", 1)
			b.addUsableTarget("b", 1)
			for _, id := range []string{"x", "y", "j"} {
				b.submit(id, 1, 1, "")
			}
			starts := pickEffects[StartRun](b.effects())
			must.SliceLen(t, 2, starts)
			for _, start := range starts {
				b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, doneAnswer(5000))
			}
			if lost {
				for _, id := range []string{"a", "b"} {
					b.s.targets[id].health.markSuspected(b.now + time.Hour)
					b.s.markChanged(b.s.targets[id])
				}
			}
			// The job has to start within 1.1 s to be on time, and is of use for 3.6 s.
			must.SliceEmpty(t, pickEffects[Answer](b.advance(time.Second)))
			answers := pickEffects[Answer](b.advance(200 * ms))
			if !lost {
				must.SliceEmpty(t, answers)
				return
			}
			must.SliceLen(t, 1, answers)
			must.Eq(t, b.ref, answers[0].Ref)
			must.Eq(t, work.Refused, answers[0].Outcome.Result)
			must.Positive(t, answers[0].Outcome.RetryAfter)
		})
	}
}

// A job fails once one of its tasks has failed as often as its queue allows. Before that the task
// is tried on other targets.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	ref := b.submit("j", 1, 1, "")
	first := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, first.To.ID, first.Run, doneAnswer(5000))
	b.answerPoll(first.To.ID, work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: first.Run, Kind: work.CompletionFailed}}})
	second := pickEffects[StartRun](b.effects())[0]
	must.NotEq(t, first.To.ID, second.To.ID)
	b.s.HandleStartAnswer(b.now, second.To.ID, second.Run, doneAnswer(5000))
	b.answerPoll(second.To.ID, work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: second.Run, Kind: work.CompletionFailed}}})
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, ref, answer.Ref)
	must.Eq(t, work.Failed, answer.Outcome.Result)
}

// A job that fails on all targets makes none suspect; a target on which several jobs fail becomes
// suspect.
func TestTargetIsSuspectedAfterFailuresOfSeveralJobs(t *testing.T) {
	b := newHarness(t, Options{})
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		b.addUsableTarget(id, 1)
	}
	fail := func(id string, j *job) { b.s.recordFailedRun(b.now, b.s.targets[id], j) }
	poison := b.s.newJob(b.now, Submission{Job: work.Job{ID: "p", Steps: []work.Step{{Tasks: 1}}}})
	fail("a", poison)
	fail("b", poison)
	other := b.s.newJob(b.now, Submission{Job: work.Job{ID: "o", Steps: []work.Step{{Tasks: 1}}}})
	fail("a", other)
	must.False(t, b.s.targets["a"].health.suspected)
	third := b.s.newJob(b.now, Submission{Job: work.Job{ID: "t", Steps: []work.Step{{Tasks: 1}}}})
	fail("a", third)
	must.True(t, b.s.targets["a"].health.suspected)
}

// A probe on a suspected target is not moved before it is overdue.
func TestProbeIsNotMovedBeforeOverdue(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.s.targets["a"].health.speed = 5
	b.s.targets["a"].health.markSuspected(b.now)
	b.s.targets["b"].Draining = true
	effects := b.advance(minBackoff + 20*ms)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.targets["b"].Draining = false
	must.SliceEmpty(t, pickEffects[StopRun](b.advance(100*ms)))
}

// Tasks that find no target go to an owner with free capacity, and come back if it refuses them.
func TestTasksAreDelegatedAndReturned(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	ref := b.submit("j", 3, 1, "")
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{2, 2, 2}})
	effects := b.effects()
	start := pickEffects[StartRun](effects)[0]
	delegated := pickEffects[Delegate](effects)
	must.SliceLen(t, 1, delegated)
	must.Eq(t, []string{"j.0.0.1", "j.0.0.2"}, delegated[0].Submission.Part)
	b.s.PartReturned(b.now, delegated[0].Part, work.Outcome{Result: work.Refused})
	must.SliceEmpty(t, pickEffects[Delegate](b.effects()))
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{2, 2, 2}})
	again := pickEffects[Delegate](b.effects())
	must.SliceLen(t, 1, again)
	b.s.PartReturned(b.now, again[0].Part, work.Outcome{Result: work.Completed})
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, ref, answer.Ref)
	must.Eq(t, work.Completed, answer.Outcome.Result)
}

// A delegated part is withdrawn with its job, and its runs count as stopping for a while.
func TestDelegatedPartIsWithdrawnWithItsJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	ref := b.submit("j", 2, 1, "")
	b.s.CapacityReported(b.now, "other", "s", FreeCapacity{Tasks: [Priorities]int{2, 2, 2}})
	effects := b.effects()
	start, delegated := pickEffects[StartRun](effects)[0], pickEffects[Delegate](effects)[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.Cancel(b.now, ref)
	must.Eq(t, delegated.Part, pickEffects[Withdraw](b.effects())[0].Part)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionStopped}}})
	b.submit("j", 1, 1, "")
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(withdrawTimeout-50*ms)))
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(100*ms)))
}

func TestPartStartsAtOnceOrIsRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	part := func(name string) {
		b.ref++
		b.s.Submit(b.now, Submission{
			Ref: b.ref, Part: []string{name},
			Job:   work.Job{ID: name[:1], Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
			Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
		})
	}
	b.submit("x", 1, 1, "")
	b.effects()
	part("j.0.0.3")
	must.Eq(t, work.Refused, pickEffects[Answer](b.effects())[0].Outcome.Result)
	b.s.Cancel(b.now, 1)
	b.advance(40 * ms)
	run := b.s.targets["a"].sortedRuns()[0]
	b.answerPoll("a", work.PollAnswer{ClockMS: 5040, Completions: []work.Completion{{Number: 1, Run: run.RunID, Kind: work.CompletionStopped}}})
	part("j.0.0.3")
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, starts)
	must.Eq(t, "j.0.0.3", starts[0].Run.Task)
}

func TestStepWaitsForEarlierStep(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.s.Submit(b.now, Submission{
		Ref: 1,
		Job: work.Job{ID: "j", Steps: []work.Step{
			{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms},
			{Tasks: 2, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms, DependsOn: []int{0}},
		}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	first := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, first)
	b.s.HandleStartAnswer(b.now, "a", first[0].Run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5010, Completions: []work.Completion{{Number: 1, Run: first[0].Run, Kind: work.CompletionDone}}})
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
}

func TestPlacementHonorsLabelAndSpread(t *testing.T) {
	b := newHarness(t, Options{})
	for _, id := range []string{"a", "b"} {
		b.listTarget(work.Target{ID: id, Capacity: work.Resources{CPU: 4}, Labels: []string{"fast"}})
		b.effects()
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
	}
	b.addUsableTarget("c", 4)
	b.s.Submit(b.now, Submission{
		Ref: 1,
		Job: work.Job{ID: "j", Steps: []work.Step{
			{Tasks: 3, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms, RequiredLabel: "fast", MaxPerTarget: 1},
		}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 2, starts)
	must.NotEq(t, starts[0].To.ID, starts[1].To.ID)
	for _, start := range starts {
		must.NotEq(t, "c", start.To.ID)
	}
}

// A target whose entry lapsed is used while it answers. After a timeout it is removed, once its
// runs have ended or its lease has lapsed without an answer.
func TestUnlistedTargetIsRemoved(t *testing.T) {
	for name, silent := range map[string]bool{"target answers": false, "target stays silent": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.addUsableTarget("a", 4)
			b.s.TargetUnlisted(b.now, "a")
			b.submit("j", 1, 1, "")
			must.SliceLen(t, 1, pickEffects[Poll](b.effects()))
			b.answerPoll("a", work.PollAnswer{ClockMS: 5000})
			starts := pickEffects[StartRun](b.effects())
			must.SliceLen(t, 1, starts)
			b.s.HandleStartAnswer(b.now, "a", starts[0].Run, doneAnswer(5000))
			b.effects()
			if silent {
				for range silentPolls {
					b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
					b.advance(silentPollInterval)
				}
			} else {
				b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{{Number: 1, Run: starts[0].Run, Kind: work.CompletionDone}}})
			}
			b.advance(unlistedTimeout + 40*ms)
			must.MapEmpty(t, b.s.targets)
		})
	}
}

func TestFencedPollReportsDeposed(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.effects()
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictFenced)
	must.Eq(t, []Deposed{{Target: "a"}}, pickEffects[Deposed](b.effects()))
}

// A target that obeys another group's owner says nothing about this group's owner: a registry entry
// may name the wrong failure domain.
func TestTargetOfAnotherGroupDoesNotDepose(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.listTargetWithCPU("theirs", 4)
	b.effects()
	b.answerPollWith("theirs", work.PollAnswer{}, work.VerdictFenced)
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[Deposed](effects))
	must.SliceEmpty(t, pickEffects[Poll](effects), must.Sprint("polls of it are paced"))
	b.submit("j", 2, 1, "")
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, starts)
	must.Eq(t, "a", starts[0].To.ID)
}

// A target whose entry has moved to another group while tasks run there doesn't depose this group's
// owner either. Its runs are over once its lease has lapsed.
func TestTargetMovedToAnotherGroupDoesNotDepose(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.addUsableTarget("b", 1)
	b.s.TargetUnlisted(b.now, "a")
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictFenced)
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[Deposed](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects), must.Sprint("its run may still execute"))
	starts := pickEffects[StartRun](b.advance(1200 * ms))
	must.SliceLen(t, 1, starts)
	must.Eq(t, "b", starts[0].To.ID)
}

func TestNewIncarnationEndsAllRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictMisdirected)
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, starts)
	must.Eq(t, "b", starts[0].To.ID)
}
