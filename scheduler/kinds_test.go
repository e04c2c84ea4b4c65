package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// jobOfSteps returns a durable job of these steps.
func (b *harness) jobOfSteps(id string, steps ...work.Step) Submission {
	sub := b.durableJob(id, 1)
	for i := range steps {
		if steps[i].PerTask == (work.Resources{}) {
			steps[i].PerTask = work.Resources{CPU: 1}
		}
		if steps[i].DeclaredRunTime == 0 {
			steps[i].DeclaredRunTime = 100 * ms
		}
	}
	sub.Job.Steps = steps
	return sub
}

// acceptAndStore submits a durable job, reports it as stored, and returns the effects.
func (b *harness) acceptAndStore(sub Submission) []Effect {
	b.s.Submit(b.now, sub)
	b.effects()
	b.s.HandleJobStored(b.now, sub.Job.ID, work.Outcome{Result: work.Accepted}, true)
	return b.effects()
}

// answerStarts answers starts as done.
func (b *harness) answerStarts(starts []StartRun) {
	for _, start := range starts {
		b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 5000})
	}
	b.effects()
}

// A task continues from the work that its last run had saved, however that run ended.
func TestTaskContinuesFromSavedWork(t *testing.T) {
	for name, harm := range map[string]func(b *harness, run work.RunID) []Effect{
		"listed as it ended": func(b *harness, run work.RunID) []Effect {
			b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: run, Kind: work.CompletionFailed, SavedState: "c7"}}})
			return b.effects()
		},
		"listed before its target was lost": func(b *harness, run work.RunID) []Effect {
			b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Running: []work.RunningRun{{Run: run, SavedState: "c7"}}})
			b.effects()
			b.answerPollWith("a", work.PollAnswer{}, work.VerdictMisdirected)
			effects := b.effects()
			b.addUsableTarget("b", 1)
			return append(effects, b.effects()...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			run := startDurableJob(b)
			effects := append(harm(b, run), b.advance(100*ms)...)
			must.Eq(t, []TaskSaved{{Job: "j", Task: 0, Saved: "c7"}}, pickEffects[TaskSaved](effects))
			starts := pickEffects[StartRun](effects)
			must.SliceLen(t, 1, starts)
			must.Eq(t, "c7", starts[0].SavedState)
		})
	}
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{Saved: map[int]string{0: "c9"}})
	must.Eq(t, "c9", pickEffects[StartRun](b.effects())[0].SavedState)
}

// A lasting task is started again however it ends, after a delay that grows with each short run.
// Its completions are not stored.
func TestLastingTaskRestartsWithBackoff(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	run := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", work.Step{Tasks: 1, Lasting: true})))[0].Run
	var pauses []time.Duration
	for i, kind := range []work.CompletionKind{work.CompletionDone, work.CompletionFailed, work.CompletionFailed, work.CompletionFailed, work.CompletionFailed, "lapsed"} {
		b.answerStarts([]StartRun{{To: work.TargetAddress{ID: "a"}, StartOrder: work.StartOrder{Run: run}}})
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Completions: []work.Completion{{Number: int64(i + 1), Run: run, Kind: kind}}})
		over := b.now
		effects := b.effects()
		for len(pickEffects[StartRun](effects)) == 0 {
			effects = append(effects, b.advance(20*ms)...)
			b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()})
		}
		must.SliceEmpty(t, pickEffects[JobEnded](effects))
		must.SliceEmpty(t, pickEffects[TaskFailed](effects))
		must.SliceEmpty(t, pickEffects[TaskDone](effects))
		pauses = append(pauses, b.now-over)
		run = pickEffects[StartRun](effects)[0].Run
	}
	for i := 1; i < len(pauses); i++ {
		must.GreaterEq(t, pauses[i-1], pauses[i])
	}
	must.Greater(t, 4*minRestartDelay, pauses[len(pauses)-1])
	must.LessEq(t, maxRestartDelay+40*ms, pauses[len(pauses)-1])
	must.Eq(t, CancelEnding, b.s.CancelJob(b.now, "j"))
	must.SliceLen(t, 1, pickEffects[StopRun](b.effects()))
}

// A lasting task never counts as stuck or slow, and its target doesn't count as one that will give
// its capacity back.
func TestLastingTaskIsNeverStuck(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	start := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", work.Step{Tasks: 1, Lasting: true})))
	b.answerStarts(start)
	for range 100 {
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(start[0].Run)})
		must.SliceEmpty(t, pickEffects[StopRun](b.advance(200*ms)))
	}
	must.Eq(t, 0, b.s.Summary().Suspected)
	must.Eq(t, 0.0, b.s.pools["s"].releaseRate)
}

// Occurrences start when they are due and may overlap. The job ends with the last one.
func TestOccurrencesStartWhenDue(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	wall := 1000 * time.Hour
	b.s.SetWallClock(b.now, wall)
	sub := b.jobOfSteps("j", work.Step{Tasks: 1}, work.Step{Tasks: 1, DependsOn: []int{0}})
	sub.Job.Recurrence = work.Recurrence{Count: 2, FirstDue: wall + 300*ms, Interval: 200 * ms}
	effects := append(b.acceptAndStore(sub), b.advance(280*ms)...)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	first := pickEffects[StartRun](b.advance(40 * ms))
	must.SliceLen(t, 1, first)
	must.Eq(t, "j.0.0.0", first[0].Run.Task)
	second := pickEffects[StartRun](b.advance(200 * ms))
	must.SliceLen(t, 1, second)
	must.Eq(t, "j.1.0.0", second[0].Run.Task)
	b.answerStarts(append(first, second...))
	number := int64(0)
	end := func(runs ...work.RunID) []Effect {
		answer := work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()}
		for _, run := range runs {
			number++
			answer.Completions = append(answer.Completions, work.Completion{Number: number, Run: run, Kind: work.CompletionDone})
		}
		b.answerPoll("a", answer)
		return b.effects()
	}
	rest := pickEffects[StartRun](end(first[0].Run, second[0].Run))
	must.SliceLen(t, 2, rest)
	must.Eq(t, "j.0.1.0", rest[0].Run.Task)
	must.Eq(t, "j.1.1.0", rest[1].Run.Task)
	b.answerStarts(rest)
	must.SliceLen(t, 1, pickEffects[JobEnded](end(runsOf(rest)...)))
}

// A successor continues the runs of the jobs that it takes over. It extends their leases at once,
// starts nothing at their targets before it has the jobs, and starts no task twice.
func TestSuccessorContinuesInheritedRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 2)
	b.effects()
	on := work.RunID{Task: "j.0.0.0", Number: 31}
	gone := work.RunID{Task: "gone.0.0.0", Number: 33}
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: []work.RunningRun{{Run: on, SavedState: "c1"}, {Run: gone}}})
	b.submit("loose", 1, 1, "")
	effects := b.effects()
	must.True(t, b.s.TargetsFenced())
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Positive(t, pickEffects[Poll](effects)[0].LeaseUntil)
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	effects = b.effects()
	must.Eq(t, []StopRun{{To: work.TargetAddress{ID: "a"}, Run: gone}}, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5050, Running: listing(on)})
	effects = b.effects()
	starts := pickEffects[StartRun](effects)
	must.SliceLen(t, 1, starts)
	must.Eq(t, "loose.0.0.0", starts[0].Run.Task)
	b.answerStarts(starts)
	b.answerPoll("a", pollWithCompletion(1, on, work.CompletionDone))
	must.Eq(t, []JobEnded{{Job: "j", State: work.StateCompleted}}, pickEffects[JobEnded](b.effects()))
}

// An inherited run whose job can't be read is stopped after inheritedRunTimeout, so that its target
// can do other work.
func TestInheritedRunTimesOut(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 2)
	b.effects()
	on := work.RunID{Task: "j.0.0.0", Number: 31}
	var stops []StopRun
	for begun := b.now; b.now-begun < inheritedRunTimeout+200*ms && len(stops) == 0; {
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - begun).Milliseconds(), Running: listing(on)})
		stops = pickEffects[StopRun](b.advance(100 * ms))
	}
	must.SliceNotEmpty(t, stops)
	must.Eq(t, on, stops[0].Run)
	must.False(t, b.s.TargetsFenced())
}

// A gang that a successor finds with a member missing is restarted.
func TestIncompleteGangRestartsAfterTakeover(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 2)
	b.effects()
	on := work.RunID{Task: "j.0.0.0", Number: 31}
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(on)})
	b.s.ResumeJob(b.now, b.jobOfSteps("j", gangStep(2)), Progress{})
	b.s.FinishResume(b.now)
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, on, pickEffects[StopRun](effects)[0].Run)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5050, Completions: []work.Completion{{Number: 1, Run: on, Kind: work.CompletionStopped}}})
	must.SliceLen(t, 2, pickEffects[StartRun](append(b.effects(), b.advance(40*ms)...)))
}

// A step of an advised queue starts only on targets that the adviser names, with each target's
// ticket and while the ticket is valid. When those targets are full, more targets are asked about.
func TestAdvisedStepsStartWithTickets(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	for _, id := range []string{"a", "b", "c"} {
		b.addUsableTarget(id, 1)
	}
	sub := b.jobOfSteps("j", work.Step{Tasks: 3})
	sub.Queue.RequiresAdvice = true
	effects := b.acceptAndStore(sub)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	asks := pickEffects[AskAdviser](effects)
	must.Eq(t, []AskAdviser{{Step: "j.0.0", Targets: []string{"a", "b", "c"}}}, asks)
	b.s.Advised(b.now, asks[0], map[string]string{"a": "ta", "b": "tb"}, time.Second, true)
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 2, starts)
	tickets := map[string]string{}
	for _, start := range starts {
		tickets[start.To.ID] = start.Ticket
	}
	must.Eq(t, map[string]string{"a": "ta", "b": "tb"}, tickets)
	b.answerStarts(starts)
	// All named targets are full; another one appears.
	b.addUsableTarget("d", 1)
	asks = pickEffects[AskAdviser](b.advance(adviserRetryInterval + 20*ms))
	must.Eq(t, []AskAdviser{{Step: "j.0.0", Targets: []string{"d"}}}, asks)
	b.s.Advised(b.now, asks[0], map[string]string{"d": "td"}, ticketMargin, true)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
}

// A ticket that its target refuses is requested again. After a request without an answer the
// adviser gets none for adviserRetryInterval.
func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	sub := b.jobOfSteps("j", work.Step{Tasks: 1})
	sub.Queue.RequiresAdvice = true
	ask := pickEffects[AskAdviser](b.acceptAndStore(sub))[0]
	b.s.Advised(b.now, ask, nil, 0, false)
	must.SliceEmpty(t, pickEffects[AskAdviser](b.advance(adviserRetryInterval-40*ms)))
	must.SliceLen(t, 1, pickEffects[AskAdviser](b.advance(80*ms)))
	b.s.Advised(b.now, ask, map[string]string{"a": "t1"}, time.Second, true)
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictInvalidTicket, ClockMS: 5000})
	must.SliceLen(t, 1, pickEffects[AskAdviser](b.effects()))
}

// At most maxOpenRequests requests to the adviser are open at a time.
func TestAdviserRequestsAreBounded(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 1)
	var asks []AskAdviser
	for i := range 2 * maxOpenRequests {
		sub := b.jobOfSteps("j"+string(rune('a'+i)), work.Step{Tasks: 1})
		sub.Queue.RequiresAdvice = true
		asks = append(asks, pickEffects[AskAdviser](b.acceptAndStore(sub))...)
	}
	must.SliceLen(t, maxOpenRequests, asks)
	b.s.Advised(b.now, asks[0], nil, 0, true)
	must.SliceLen(t, 1, pickEffects[AskAdviser](b.effects()))
}

// Background tasks take no capacity from others, go to the targets with the most free capacity, and
// don't run beside latency-sensitive tasks: they are stopped to free a target for those.
func TestBackgroundTasksYieldToLatencySensitiveOnes(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4000)
	b.addUsableTarget("b", 2000)
	background := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("f", work.Step{Tasks: 3, Background: true, PerTask: work.Resources{CPU: 2000}})))
	must.SliceLen(t, 3, background)
	must.Eq(t, "a", background[0].To.ID)
	must.Eq(t, "a", background[1].To.ID)
	must.Eq(t, "b", background[2].To.ID)
	b.answerStarts(background)
	plain := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("p", work.Step{Tasks: 1, PerTask: work.Resources{CPU: 2000}})))
	must.SliceLen(t, 1, plain)
	must.Eq(t, "b", plain[0].To.ID)
	b.answerStarts(plain)
	effects := b.acceptAndStore(b.jobOfSteps("s", work.Step{Tasks: 1, LatencySensitive: true, PerTask: work.Resources{CPU: 4000}}))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceLen(t, 2, pickEffects[StopRun](effects))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Completions: []work.Completion{
		{Number: 1, Run: background[0].Run, Kind: work.CompletionStopped}, {Number: 2, Run: background[1].Run, Kind: work.CompletionStopped},
	}})
	sensitive := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, sensitive)
	must.Eq(t, "s.0.0.0", sensitive[0].Run.Task)
	b.answerStarts(sensitive)
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(100*ms)))
	must.Eq(t, 0, b.s.targets["a"].backgroundRuns)
	// A background task never counts as stuck.
	for range 20 {
		b.answerPoll("b", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(background[2].Run, plain[0].Run)})
		for _, stop := range pickEffects[StopRun](b.advance(500 * ms)) {
			must.NotEq(t, background[2].Run, stop.Run)
		}
	}
}

// A target whose background tasks were stopped for a latency-sensitive one is free for others in time even
// if that one's job is not placed meanwhile.
func TestReservationForSensitiveTaskThatIsNotPlacedEnds(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4000)
	background := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("f", work.Step{Tasks: 1, Background: true, PerTask: work.Resources{CPU: 2000}})))
	b.answerStarts(background)
	b.acceptAndStore(b.jobOfSteps("s", work.Step{Tasks: 1, LatencySensitive: true, PerTask: work.Resources{CPU: 4000}}))
	sensitive := b.s.jobsByKey["s"]
	must.Eq(t, sensitive.steps[0], b.s.targets["a"].reservedFor)
	sensitive.moving = true
	b.advance(evictionTimeout + 40*ms)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Completions: []work.Completion{
		{Number: 1, Run: background[0].Run, Kind: work.CompletionStopped},
	}})
	b.effects()
	b.submit("p", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](append(b.effects(), b.advance(40*ms)...)))
}

// A durable background run on a hung target, which makes no progress and saves nothing, must be stopped and
// placed again. Callers expect the job to end within 14 s of the end of the load.
func TestHungBackgroundRunIsRestarted(t *testing.T) {
	const patience = 14 * time.Second
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4000)
	b.addUsableTarget("b", 2000)
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("f", work.Step{Tasks: 1, Background: true, PerTask: work.Resources{CPU: 2000}})))
	must.SliceLen(t, 1, starts)
	b.answerStarts(starts)
	var stops []StopRun
	began := b.now
	for b.now-began < patience && len(stops) == 0 {
		b.answerPoll(starts[0].To.ID, work.PollAnswer{ClockMS: 5000 + (b.now - began).Milliseconds(), Running: listing(starts[0].Run)})
		stops = pickEffects[StopRun](b.advance(100 * ms))
	}
	must.SliceNotEmpty(t, stops)
}
