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
