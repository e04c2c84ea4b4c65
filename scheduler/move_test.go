package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// newLabelledHarness returns a harness with two usable targets of this group, of which t00 has the
// label, and a target of another failure domain with it.
func newLabelledHarness(t *testing.T) *harness {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.s.RegistryRead()
	for id, labels := range map[string][]string{"t00": {"b", "r1"}, "t01": {"a", "r1"}} {
		b.listTarget(work.Target{ID: id, Labels: labels, Capacity: work.Resources{CPU: 4}})
		b.effects()
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000})
	}
	b.s.ForeignTargetListed(work.Target{ID: "x", Service: "s", FailureDomain: "hall-b", Labels: []string{"b", "r9"}, Capacity: work.Resources{CPU: 4}})
	return b
}

// startLabelled has a stored job run whose steps need the given labels, and returns its starts.
func (b *harness) startLabelled(labels ...string) []StartRun {
	var steps []work.Step
	for _, label := range labels {
		steps = append(steps, work.Step{Tasks: 1, PerTask: work.Resources{CPU: 1}, Lasting: true, RequiredLabel: label})
	}
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", steps...)))
	b.confirmStarts(starts)
	return starts
}

// removeLabelled has the target with the label drain and leave.
func (b *harness) removeLabelled() {
	entry := b.s.targets["t00"].Target
	entry.Draining = true
	b.s.TargetListed(b.now, entry)
	b.s.loseTarget(b.now, b.s.targets["t00"], "it has left")
}

// tick advances the time in steps of 20 ms in which the targets answer polls, and returns the effects.
func (b *harness) tick(length time.Duration) []Effect {
	var all []Effect
	for end := b.now + length; b.now < end; {
		effects := b.advance(20 * ms)
		for _, poll := range pickEffects[Poll](effects) {
			b.answerPoll(poll.To.ID, work.PollAnswer{ClockMS: 5000 + b.now.Milliseconds()})
		}
		all = append(all, effects...)
	}
	return all
}

// A durable job whose label only targets of another failure domain have any more moves there.
func TestJobMovesWhereItsLabelIs(t *testing.T) {
	b := newLabelledHarness(t)
	must.SliceLen(t, 1, b.startLabelled("b"))
	must.SliceEmpty(t, pickEffects[MoveJob](b.tick(2*moveDelay)))
	b.removeLabelled()
	moves := pickEffects[MoveJob](b.tick(moveDelay + 2*moveCheckInterval))
	must.Eq(t, []MoveJob{{Job: "j", Group: "hall-b"}}, moves)
	must.Eq(t, CancelPending, b.s.CancelJob(b.now, "j"))
	b.s.HandleJobMoved(b.now, "j", true)
	must.SliceEmpty(t, pickEffects[JobEnded](b.effects()), must.Sprint("the job is cancelled here after it has moved"))
	must.MapNotContainsKey(t, b.s.jobsByKey, "j")
}

// A job whose move can't be stored goes on where it is, and moves later.
func TestFailedMoveIsTriedAgain(t *testing.T) {
	b := newLabelledHarness(t)
	b.startLabelled("b")
	b.removeLabelled()
	must.SliceLen(t, 1, pickEffects[MoveJob](b.tick(moveDelay+2*moveCheckInterval)))
	b.s.HandleJobMoved(b.now, "j", false)
	must.SliceLen(t, 1, pickEffects[MoveJob](b.tick(moveDelay+2*moveCheckInterval)))
	b.s.HandleJobMoved(b.now, "j", false)
	b.listTarget(work.Target{ID: "t02", Labels: []string{"b", "r2"}, Capacity: work.Resources{CPU: 4}})
	b.effects()
	b.answerPoll("t02", work.PollAnswer{ClockMS: 5000})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// No job moves while a run of it may be in progress, while no other domain can run it, or to a
// cordoned domain.
func TestJobStaysInItsDomain(t *testing.T) {
	for name, c := range map[string]struct {
		labels  []string
		prepare func(b *harness)
	}{
		"runs":          {[]string{"b", "a"}, func(*harness) {}},
		"silent target": {[]string{"b"}, func(b *harness) { b.s.targets["t01"].state = silent }},
		"cordoned":      {[]string{"b"}, func(b *harness) { b.s.SetCordonedDomains([]string{"hall-b"}) }},
		"draining":      {[]string{"b"}, func(b *harness) { b.s.foreign.targets["x"] = work.Target{ID: "x", Service: "s", Draining: true} }},
		"gone":          {[]string{"b"}, func(b *harness) { b.s.ForeignTargetUnlisted("x") }},
		"too small": {[]string{"b"}, func(b *harness) {
			b.s.ForeignTargetListed(work.Target{ID: "x", Service: "s", FailureDomain: "hall-b", Labels: []string{"b"}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLabelledHarness(t)
			b.startLabelled(c.labels...)
			b.removeLabelled()
			c.prepare(b)
			var moves []MoveJob
			for range 15 {
				moves = append(moves, pickEffects[MoveJob](b.advance(200*ms))...)
			}
			must.SliceEmpty(t, moves)
		})
	}
}

// No job moves to a failure domain without an owner that could adopt it: nothing would run it there.
func TestJobMovesOnlyWhereAnOwnerIsAlive(t *testing.T) {
	b := newLabelledHarness(t)
	b.startLabelled("b")
	b.removeLabelled()
	b.s.SetOwnedDomains([]string{"hall-a"})
	must.SliceEmpty(t, pickEffects[MoveJob](b.tick(2*moveDelay)))
	must.True(t, b.s.HasMisplacedJobs())
	b.s.SetOwnedDomains([]string{"hall-a", "hall-b"})
	must.SliceLen(t, 1, pickEffects[MoveJob](b.tick(2*moveCheckInterval)))
}

// A gang moves where all of it fits at once, although its own domain could hold one of its tasks.
func TestGangMovesWhereAllOfItFits(t *testing.T) {
	b := newLabelledHarness(t)
	first := work.Step{Tasks: 1, RequiredLabel: "a", PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}
	gang := work.Step{Tasks: 2, Gang: true, DependsOn: []int{0}, PerTask: work.Resources{CPU: 3}, DeclaredRunTime: 100 * ms}
	b.s.ForeignTargetListed(work.Target{ID: "y", Service: "s", FailureDomain: "hall-c", Capacity: work.Resources{CPU: 6}})
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", first, gang)))
	must.SliceLen(t, 1, starts)
	b.confirmStarts(starts)
	b.removeLabelled()
	b.answerPoll(starts[0].To.ID, pollWithCompletion(1, starts[0].Run, work.CompletionDone))
	must.Eq(t, []MoveJob{{Job: "j", Group: "hall-c"}}, pickEffects[MoveJob](b.tick(moveDelay+2*moveCheckInterval)))
}

// Lasting tasks are stopped for the sake of one of them that can't run here any more, unless the caller
// said that they must not all be down at one time.
func TestLastingTasksAreStoppedToMoveUnlessTheyMustStayUp(t *testing.T) {
	for _, keep := range []bool{false, true} {
		b := newLabelledHarness(t)
		b.s.ForeignTargetListed(work.Target{ID: "x", Service: "s", FailureDomain: "hall-b", Capacity: work.Resources{CPU: 4}})
		b.s.SetCordonedDomains(nil)
		starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", work.Step{Tasks: 2, Lasting: true, KeepAvailable: keep, PerTask: work.Resources{CPU: 3}})))
		must.SliceLen(t, 2, starts)
		b.confirmStarts(starts)
		b.s.CordonReported(b.now, true)
		failed, other := starts[0], starts[1]
		b.answerPoll(failed.To.ID, pollWithCompletion(1, failed.Run, work.CompletionFailed))
		stops := func() (stops []StopRun, moves []MoveJob) {
			for range 25 {
				effects := b.advance(100 * ms)
				stops, moves = append(stops, pickEffects[StopRun](effects)...), append(moves, pickEffects[MoveJob](effects)...)
				b.answerPoll(failed.To.ID, work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()})
				answer := work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds(), Running: listing(other.Run)}
				if len(stops) > 0 {
					answer.Running, answer.Completions = nil, []work.Completion{{Number: 1, Run: other.Run, Kind: work.CompletionStopped}}
				}
				b.answerPoll(other.To.ID, answer)
			}
			return stops, moves
		}
		stopped, moves := stops()
		if keep {
			must.SliceEmpty(t, stopped)
			must.SliceEmpty(t, moves)
			continue
		}
		must.Eq(t, other.Run, stopped[0].Run)
		must.Eq(t, []MoveJob{{Job: "j", Group: "hall-b"}}, moves)
	}
}
