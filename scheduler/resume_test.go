package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// takeOverTimes is how often a takeover is repeated to show the order of a map.
const takeOverTimes = 30

// The completions that no job claims after a takeover are acknowledged in the same order each time.
func TestTakeoverAcknowledgesInOneOrder(t *testing.T) {
	polls := func() string {
		b := newHarness(t, Options{})
		for i := range 6 {
			id := fmt.Sprintf("t%d", i)
			b.addUsableTarget(id, 1)
			b.s.TargetListed(b.now, work.Target{ID: id, Service: "s", Address: id, Capacity: work.Resources{CPU: 1}})
			b.s.handleUnknownCompletion(b.now, b.s.targets[id], work.Completion{Number: 1, Run: work.RunID{Task: fmt.Sprintf("j%d.0.0.0", i), Number: 33}, Kind: work.CompletionDone})
			b.s.targets[id].lastCompletion = 1
		}
		b.s.Effects(b.now)
		b.now += time.Second
		b.s.FinishResume(b.now)
		return fmt.Sprint(pickEffects[Poll](b.effects()))
	}
	first := polls()
	for range takeOverTimes {
		must.Eq(t, first, polls())
	}
}

// Of several tasks that crashed the same target, the same one is named each time as the reason for
// which the job fails.
func TestTakeoverNamesOnePoisonTask(t *testing.T) {
	outcome := func() string {
		b := newRackHarness(t, 2)
		crashes := []Crash{{Target: "x", Isolated: true, Begun: true, Confirmed: true}, {Target: "y", Isolated: true, Begun: true, Confirmed: true}}
		b.s.ResumeJob(b.now, b.durableJob("j", 4), Progress{Crashed: map[int][]Crash{0: crashes, 1: crashes, 2: crashes, 3: crashes}})
		b.s.RegistryRead()
		return fmt.Sprint(pickEffects[LogEvent](b.advance(40 * ms)))
	}
	first := outcome()
	must.StrContains(t, first, "task crashes targets")
	for range takeOverTimes {
		must.Eq(t, first, outcome())
	}
}

// The store has one saved state of a gang: the newest that any member reported.
func TestStoreHasNewestSavedStateOfGang(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 2)
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("j", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true})))
	must.SliceLen(t, 2, starts)
	b.answerStarts(starts)
	for i, saved := range []string{"older", "newer"} {
		run := b.s.targets["a"].runs[starts[i].Run.Task]
		b.s.recordSaved(run.task, run.Number, saved)
	}
	stored := map[int]string{}
	for _, e := range pickEffects[TaskSaved](b.effects()) {
		stored[e.Task] = e.Saved
	}
	must.Eq(t, map[int]string{0: "newer"}, stored)
}
