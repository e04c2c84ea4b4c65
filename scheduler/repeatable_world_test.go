package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// worldTrace holds all events and effects of a world in order, each with its time.
type worldTrace struct{ lines []string }

func (tr *worldTrace) addEvent(e pendingEvent) {
	if tr != nil {
		tr.lines = append(tr.lines, fmt.Sprintf("%v event %d", e.at, e.seq))
	}
}

func (tr *worldTrace) addEffect(w *world, o *fakeOwner, e Effect) {
	if tr == nil {
		return
	}
	facts := ""
	if line, ok := e.(LogEvent); ok && line.Run != nil {
		facts = fmt.Sprintf("%+v", *line.Run)
		line.Run = nil
		e = line
	}
	tr.lines = append(tr.lines, fmt.Sprintf("%v %s %T %+v %s", w.now, o.name, e, e, facts))
}

// traceWorld plays a world and returns its trace. A world that breaks an invariant is traced up to
// there.
func traceWorld(seed int, play func(rt *rapid.T, trace *worldTrace)) []string {
	trace := &worldTrace{}
	rapid.Custom(func(rt *rapid.T) int {
		defer func() { _ = recover() }()
		play(rt, trace)
		return 0
	}).Example(seed)
	return trace.lines
}

// firstDifference returns the first place at which two traces differ; empty if they are equal.
func firstDifference(a, b []string) string {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("line %d of %d and %d:\n%s\n%s", i, len(a), len(b), a[i], b[i])
		}
	}
	if len(a) != len(b) {
		return fmt.Sprintf("%d lines and %d lines", len(a), len(b))
	}
	return ""
}

// Seeds and plays of each world. The order of a map of two shows in half of the repeated plays.
const (
	repeatedSeeds = 5
	repeatedPlays = 5
)

// A world that is played again from the same seed has the same events and effects at the same
// times. Otherwise a failure can't be played again.
func TestWorldsAreRepeatable(t *testing.T) {
	for name, world := range map[string]struct {
		firstSeed int
		play      func(rt *rapid.T, trace *worldTrace)
	}{
		"ownership":            {1, playOwnership},
		"durable jobs":         {18, playDurableJobs},
		"crashing tasks":       {1075, func(rt *rapid.T, trace *worldTrace) { playCrashing(rt, true, trace) }},
		"beside a predecessor": {1075, func(rt *rapid.T, trace *worldTrace) { playCrashing(rt, false, trace) }},
		"cordons":              {1, func(rt *rapid.T, trace *worldTrace) { playCordons(rt, trace) }},
		"capacity":             {1, playCapacity},
		"profiles":             {1, playProfiles},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := world.firstSeed; seed < world.firstSeed+repeatedSeeds; seed++ {
				first := traceWorld(seed, world.play)
				must.SliceNotEmpty(t, first)
				for range repeatedPlays {
					must.Eq(t, "", firstDifference(first, traceWorld(seed, world.play)), must.Sprintf("seed %d", seed))
				}
			}
		})
	}
}
