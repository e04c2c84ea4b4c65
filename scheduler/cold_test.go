package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A cold target, as in a failure domain that was cordoned, is used where no warm one has capacity.
// Its slow runs do not make it suspect, and change neither its speed nor the queue's estimate.
func TestColdTargetRunsDoNotAffectHealthOrEstimates(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2000)
	b.addUsableTarget("b", 1000)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 2000}, WarmUpLeft: 10 * time.Second})
	b.submit("warm", 1, 1000, "")
	first := pickEffects[StartRun](b.effects())
	must.Eq(t, "b", first[0].To.ID)
	b.submit("cold", 1, 1000, "")
	second := pickEffects[StartRun](b.effects())
	must.Eq(t, "a", second[0].To.ID)
	b.answerStarts(second)
	ratio := b.s.estimateOf("q").runtimeRatio
	b.advance(700 * ms)
	must.False(t, b.s.targets["a"].health.suspected)
	must.MapEmpty(t, b.s.targets["a"].health.failures)
	b.answerPoll("a", pollWithCompletion(1, second[0].Run, work.CompletionDone))
	must.Eq(t, 1, b.s.targets["a"].health.speed)
	must.Eq(t, ratio, b.s.estimateOf("q").runtimeRatio)
	b.now += 10 * time.Second
	must.False(t, b.s.targets["a"].isCold(b.now))
}
