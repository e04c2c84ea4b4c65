package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A start may leave this process, or a relay, long after it was decided. A poll that the target
// answered before it carried out the start doesn't show that the run is missing.
func TestLateStartIsNotTakenForMissing(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.advance(310 * ms)
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5310})
	b.effects()
	b.advance(20 * ms)
	b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, doneAnswer(5330))
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5312})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(100*ms)))
	// A poll that was sent after the answer was read shows it.
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5430, Running: listing(start.Run)})
	b.effects()
	b.advance(20 * ms)
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5450})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}
