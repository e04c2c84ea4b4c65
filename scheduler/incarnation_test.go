package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// incarnationHarness has one idle target that names its incarnation and has just answered.
func incarnationHarness(t *testing.T) *harness {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.ListedAtStart("a", 100)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Incarnation: 100})
	b.effects()
	return b
}

// An idle target that may have restarted unnoticed gets no start before it has answered, and none
// at all in a new incarnation while another owner may have claimed.
func TestRestartedTargetGetsNoStartUnasked(t *testing.T) {
	b := incarnationHarness(t)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, start)
	must.Eq(t, b.now+incarnationProofTime, start[0].SendBy)
	b.s.HandleStartAnswer(b.now, "a", start[0].Run, doneAnswer(5000))
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5001, Incarnation: 100, Completions: []work.Completion{{Number: 1, Run: start[0].Run, Kind: work.CompletionDone}}})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5002, Incarnation: 100})
	b.advance(incarnationProofTime + ms)
	b.submit("k", 2, 1, "")
	asked := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](asked))
	must.SliceLen(t, 1, pickEffects[Poll](asked))
	must.Eq(t, 0, pickEffects[Poll](asked)[0].Wait)
	b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 200})
	after := b.advance(100 * ms)
	must.SliceEmpty(t, pickEffects[StartRun](after))
	must.SliceNotEmpty(t, pickEffects[ConfirmClaim](after))
	b.answerPoll("a", work.PollAnswer{ClockMS: 110, Incarnation: 200})
	b.s.ClaimConfirmed(b.now, b.now)
	must.SliceLen(t, 2, pickEffects[StartRun](b.effects()))
}

// A poll that waits at a busy target doesn't keep another task from starting there.
func TestWaitingPollDelaysNoStart(t *testing.T) {
	b := incarnationHarness(t)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	must.Positive(t, b.s.targets["a"].poll.Wait)
	b.advance(incarnationProofTime + ms)
	b.submit("k", 1, 1, "")
	asked := pickEffects[Poll](b.effects())
	must.SliceLen(t, 1, asked)
	must.Eq(t, 0, asked[0].Wait)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5160, Incarnation: 100, Running: listing(start.Run)})
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// No copy of a start is sent once its target may have restarted.
func TestRestartedTargetGetsNoCopy(t *testing.T) {
	b := incarnationHarness(t)
	b.advance(incarnationProofTime)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())
	must.SliceLen(t, 1, start)
	b.advance(100 * ms)
	must.Eq(t, 1, b.starts[start[0].Run])
	b.s.HandleStartAnswer(b.now, "a", start[0].Run, work.OrderAnswer{Verdict: work.VerdictConnectionLost})
	b.effects()
	must.Eq(t, 1, b.starts[start[0].Run])
}

// A target without incarnation is neither asked nor waited for.
func TestTargetWithoutIncarnationGetsStartsUnasked(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 4)
	b.advance(time.Second)
	b.submit("j", 1, 1, "")
	effects := b.effects()
	starts := pickEffects[StartRun](effects)
	must.SliceLen(t, 1, starts)
	must.Eq(t, 0, starts[0].SendBy)
	must.SliceLen(t, 1, pickEffects[Poll](effects))
	must.Positive(t, pickEffects[Poll](effects)[0].Wait)
}

// A previous owner that began while all targets were down starts nothing at the first one that
// comes back: its successor began before that, and has the job's tasks done elsewhere.
func TestFirstTargetAfterStartWaitsForClaimConfirmation(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 100})
	after := b.advance(100 * ms)
	must.SliceEmpty(t, pickEffects[StartRun](after))
	must.SliceNotEmpty(t, pickEffects[ConfirmClaim](after))
	b.answerPoll("a", work.PollAnswer{ClockMS: 110, Incarnation: 100})
	b.s.ClaimConfirmed(b.now, b.now)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// A target that was listed at the start and has restarted before its previous owner released it knows
// no token.
func TestTargetRestartedDuringHandoverWaitsForClaimConfirmation(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true})
	b.s.ListedAtStart("a", 100)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 200})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 10, Incarnation: 200})
	b.submit("j", 1, 1, "")
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(100*ms)))
	b.answerPoll("a", work.PollAnswer{ClockMS: 110, Incarnation: 200})
	b.s.ClaimConfirmed(b.now, b.now)
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}
