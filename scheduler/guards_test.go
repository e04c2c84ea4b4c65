package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// harness drives a State directly.
type harness struct {
	t   *testing.T
	s   *State
	now time.Duration
	ref Ref
	// starts counts, for each run that was ordered, the copies of its order.
	starts map[work.RunID]int
}

func newHarness(t *testing.T, o Options) *harness {
	b := &harness{t: t, s: New(o), now: 10 * time.Second, starts: map[work.RunID]int{}}
	b.s.RegistryRead()
	if harnessProfiles != nil {
		b.s.SetProfiles(b.now, harnessProfiles)
	}
	b.s.Tick(b.now)
	return b
}

func (b *harness) listTargetWithCPU(id string, cpu int64) {
	b.listTarget(work.Target{ID: id, Capacity: work.Resources{CPU: cpu}})
}

func (b *harness) listTarget(t work.Target) {
	t.Service = "s"
	b.s.TargetListed(b.now, t)
}

// addUsableTarget adds a target and answers its first poll.
func (b *harness) addUsableTarget(id string, cpu int64) {
	b.listTargetWithCPU(id, cpu)
	b.effects()
	b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
}

func (b *harness) answerPoll(id string, answer work.PollAnswer) {
	b.answerPollWith(id, answer, work.VerdictDone)
}

// answerPollWith answers the poll that is on its way, and its copies.
func (b *harness) answerPollWith(id string, answer work.PollAnswer, verdict work.Verdict) {
	t := b.s.targets[id]
	for range max(t.pollCopies.unanswered, 1) {
		b.s.HandlePollAnswer(b.now, id, t.poll.SentAt, answer, verdict)
	}
}

// effects returns the effects, except repeated copies of starts, which it counts.
func (b *harness) effects() []Effect {
	var effects []Effect
	for _, effect := range b.s.Effects(b.now) {
		if start, ok := effect.(StartRun); ok {
			if b.starts[start.Run]++; b.starts[start.Run] > 1 {
				continue
			}
		}
		effects = append(effects, effect)
	}
	return effects
}

// advance moves the time forward, with ticks.
func (b *harness) advance(d time.Duration) []Effect {
	var all []Effect
	for end := b.now + d; b.now < end; {
		b.now += min(20*ms, end-b.now)
		b.s.Tick(b.now)
		all = append(all, b.effects()...)
	}
	return all
}

// loseAnswers records a missed answer of each target, so that answers count as being lost.
func (b *harness) loseAnswers() {
	for _, t := range b.s.targets {
		b.s.recordMissedAnswer(b.now, t)
	}
}

func (b *harness) submit(id string, tasks int, cpu int64, entry string) Ref {
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Entry: entry,
		Job: work.Job{ID: id, Steps: []work.Step{{
			Tasks: tasks, PerTask: work.Resources{CPU: cpu}, DeclaredRunTime: 100 * ms,
		}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	return b.ref
}

// listing is a target's list of runs that have saved nothing.
func listing(runs ...work.RunID) []work.RunningRun {
	var list []work.RunningRun
	for _, run := range runs {
		list = append(list, work.RunningRun{Run: run})
	}
	return list
}

func pickEffects[E Effect](effects []Effect) []E {
	var picked []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			picked = append(picked, e)
		}
	}
	return picked
}

func doneAnswer(clock int64) work.OrderAnswer {
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: clock}
}

func TestNoStartBeforeFirstPoll(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.submit("j", 1, 1, "")
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

func TestUnknownRunsAreStoppedBeforeStarts(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.submit("j", 1, 1, "")
	b.effects()
	unknown := work.RunID{Task: "old.0.0.0", Number: 8}
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(unknown)})
	effects := b.effects()
	must.Eq(t, []StopRun{{To: work.TargetAddress{ID: "a"}, Run: unknown}}, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, 0, pickEffects[Poll](effects)[0].LeaseUntil)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5050})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// An unknown run that appears later also blocks starts and the renewal of the lease: a start that
// was lost under a previous owner may be carried out late.
func TestLateUnknownRunBlocksStartsAndLeaseRenewal(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5001, Running: listing(start.Run, work.RunID{Task: "old.0.0.0", Number: 8})})
	b.submit("k", 1, 1, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, 0, pickEffects[Poll](effects)[0].LeaseUntil)
}

func TestUnansweredStartIsStoppedBeforeRestart(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{})
	effects := b.advance(60 * ms)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, start.Run, pickEffects[StopRun](effects)[0].Run)
	b.s.HandleStopAnswer(b.now, "a", start.Run, doneAnswer(5100))
	effects = b.advance(120 * ms)
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
	must.Eq(t, "b", pickEffects[StartRun](effects)[0].To.ID)
	must.Greater(t, start.Run.Number, pickEffects[StartRun](effects)[0].Run.Number)
}

// While a stop has no answer, the lease of its target must run out.
func TestLeaseIsNotRenewedDuringUnansweredStop(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.submit("j", 1, 1, "")
	other := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", other.Run, doneAnswer(5000))
	ref := b.submit("k", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.Cancel(b.now, ref)
	b.advance(200 * ms)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5200, Running: listing(other.Run, start.Run)})
	must.Eq(t, 0, pickEffects[Poll](b.effects())[0].LeaseUntil)
	b.s.HandleStopAnswer(b.now, "a", start.Run, doneAnswer(5201))
	b.answerPoll("a", work.PollAnswer{ClockMS: 5201, Running: listing(other.Run), Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionStopped}}})
	must.Positive(t, pickEffects[Poll](b.effects())[0].LeaseUntil)
}

// The run of a silent target is over once its lease has lapsed on a clock that is 2 % slow, and not
// before.
func TestTaskOfSilentTargetRestartsAfterLeaseLapses(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
	must.Eq(t, []Poll{{To: work.TargetAddress{ID: "a"}, SentAt: b.now}}, pickEffects[Poll](b.effects()))
	b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
	slow := DefaultLease * 102 / 100
	effects := b.advance(slow)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	for _, poll := range pickEffects[Poll](effects) {
		must.Eq(t, 0, poll.LeaseUntil)
	}
	effects = b.advance(100 * ms)
	must.SliceLen(t, 1, pickEffects[StartRun](effects))
}

func TestJobEndsWithoutKeepalive(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.s.EntryKeepalive("e", b.now+300*ms)
	ref := b.submit("j", 1, 1, "e")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	effects := b.advance(340 * ms)
	must.Eq(t, start.Run, pickEffects[StopRun](effects)[0].Run)
	must.Eq(t, ref, pickEffects[Answer](effects)[0].Ref)
	must.Eq(t, work.Unknown, pickEffects[Answer](effects)[0].Outcome.Result)
}

func TestNothingStartsWithoutKeepalive(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.EntryKeepalive("e", b.now+10*ms)
	b.listTargetWithCPU("a", 4)
	b.submit("j", 1, 1, "e")
	b.effects()
	b.now += 15 * ms
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
}

func TestJobsEndAfterPause(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 4)
	b.submit("j", 1, 1, "")
	b.effects()
	b.now += DefaultPauseThreshold + 100*ms
	b.s.Tick(b.now)
	must.SliceLen(t, 1, pickEffects[Answer](b.effects()))
}

// A job that was sent again waits until the runs of its first submission are over.
func TestResubmittedJobWaitsForEarlierRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	ref := b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.Cancel(b.now, ref)
	b.submit("j", 1, 1, "")
	effects := b.advance(40 * ms)
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, start.Run, pickEffects[StopRun](effects)[0].Run)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5040, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionStopped}}})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// A job that is sent again while it runs goes on for the later request.
func TestResubmittedRunningJobAnswersLaterCaller(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	first := b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	second := b.submit("j", 1, 1, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.Eq(t, first, pickEffects[Answer](effects)[0].Ref)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5100, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, second, answer.Ref)
	must.Eq(t, work.Completed, answer.Outcome.Result)
}

func TestCancelStopsRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	ref := b.submit("j", 2, 1, "")
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 2, starts)
	b.s.HandleStartAnswer(b.now, "a", starts[0].Run, doneAnswer(5000))
	b.s.Cancel(b.now, ref)
	must.SliceLen(t, 2, pickEffects[StopRun](b.effects()))
}

func TestDrainingAndFullTargetsAreNotUsed(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Draining: true})
	b.addUsableTarget("b", 1)
	b.submit("j", 2, 1, "")
	starts := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, starts)
	must.Eq(t, "b", starts[0].To.ID)
}

// Runs get higher numbers than those of the same task under a previous owner, whose machine may
// have been booted earlier.
func TestRunNumbersFollowSharedClock(t *testing.T) {
	number := func(clock, now time.Duration) int64 {
		b := newHarness(t, Options{})
		b.now = now
		b.s.SetRunClock(now, now+clock)
		b.addUsableTarget("a", 4)
		b.submit("j", 1, 1, "")
		return pickEffects[StartRun](b.effects())[0].Run.Number
	}
	must.Greater(t, number(5*time.Second, 10*time.Second), number(-3*time.Second, 20*time.Second))
}

func TestStartedJobIsNotRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.EntryKeepalive("e", b.now+10*time.Minute)
	ref := b.submit("j", 2, 1, "e")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.Leave(b.now)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.s.Abandon(b.now)
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, ref, answer.Ref)
	must.Eq(t, work.Unknown, answer.Outcome.Result)
}

// A refused start did nothing: its job may still be refused.
func TestJobWithOnlyRefusedStartsCanBeRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictNoCapacity, ClockMS: 5000})
	b.s.Leave(b.now)
	must.Eq(t, work.Moved, pickEffects[Answer](b.effects())[0].Outcome.Result)
}

// While answers get lost, a lost poll must not hide completions for its whole wait.
func TestPollsAreShortWhileAnswersGetLost(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 2, 1, "")
	effects := b.effects()
	for _, poll := range pickEffects[Poll](effects) {
		must.Eq(t, DefaultPollWait, poll.Wait)
	}
	start := pickEffects[StartRun](effects)[0]
	b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, work.OrderAnswer{})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(start.Run)})
	polls := pickEffects[Poll](b.effects())
	must.SliceNotEmpty(t, polls)
	must.Eq(t, shortPollWait, polls[0].Wait)
	other := pickEffects[StartRun](effects)[1]
	b.s.HandleStartAnswer(b.now, other.To.ID, other.Run, doneAnswer(5000))
	for end := b.now + lossPeriod + 20*ms; b.now < end; {
		b.advance(20 * ms)
		for id := range b.s.targets {
			b.answerPoll(id, work.PollAnswer{ClockMS: 5000, Running: listing(start.Run, other.Run)})
		}
	}
	must.Eq(t, DefaultPollWait, b.s.pollWait(b.now))
}

// A target that answers but stays unlisted may only be cut off from the registry. It takes nothing
// new, and its runs are neither lost nor started elsewhere. Listed again it is used; otherwise it
// is removed once it has no runs.
func TestUnlistedAnsweringTargetKeepsItsRuns(t *testing.T) {
	for name, back := range map[string]bool{"listed again": true, "stays unlisted": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.addUsableTarget("a", 2)
			b.submit("j", 1, 1, "")
			start := pickEffects[StartRun](b.effects())[0]
			b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
			// The run may take as long as the test, so that it does not count as a failure.
			b.s.targets["a"].runs[start.Run.Task].expected = 5 * time.Second
			b.effects()
			b.s.TargetUnlisted(b.now, "a")
			b.addUsableTarget("b", 2)
			var effects []Effect
			for range 20 {
				b.answerPoll("a", work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(start.Run)})
				effects = append(effects, b.advance(200*ms)...)
			}
			must.SliceEmpty(t, pickEffects[StartRun](effects))
			must.SliceEmpty(t, pickEffects[StopRun](effects))
			must.MapContainsKey(t, b.s.targets, "a")
			b.submit("k", 2, 1, "")
			b.submit("l", 1, 1, "")
			for _, other := range pickEffects[StartRun](b.effects()) {
				must.Eq(t, "b", other.To.ID)
			}
			if back {
				b.listTargetWithCPU("a", 2)
				must.Eq(t, "a", pickEffects[StartRun](b.effects())[0].To.ID)
				return
			}
			b.answerPoll("a", work.PollAnswer{ClockMS: 9000, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
			must.SliceLen(t, 1, pickEffects[Answer](b.effects()))
			b.advance(100 * ms)
			must.MapNotContainsKey(t, b.s.targets, "a")
		})
	}
}

// While answers get lost, an overdue run counts as a failure of its target only if the target has
// listed it since. Its time is not taken from when its completion was reported.
func TestOverdueRunIsNoFailureWhileAnswersGetLost(t *testing.T) {
	for name, lost := range map[string]bool{"answers get lost": true, "no answer is lost": false} {
		b := newHarness(t, Options{})
		b.addUsableTarget("a", 1)
		b.submit("j", 1, 1, "")
		start := pickEffects[StartRun](b.effects())[0]
		b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
		if lost {
			b.loseAnswers()
		}
		b.advance(300 * ms)
		counted := len(b.s.targets["a"].health.failures) > 0
		must.Eq(t, !lost, counted, must.Sprint(name))
		if !lost {
			continue
		}
		b.loseAnswers()
		b.answerPollWith("a", work.PollAnswer{ClockMS: 5300, Running: listing(start.Run)}, work.VerdictDone)
		b.advance(20 * ms)
		must.MapLen(t, 1, b.s.targets["a"].health.failures)
		b.loseAnswers()
		b.answerPoll("a", work.PollAnswer{ClockMS: 5400, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
		must.Eq(t, 1+speedWeight*2, b.s.targets["a"].health.speed)
	}
}
