package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// orderedRun returns a harness with two targets and a job of one task, whose start has no answer
// yet.
func orderedRun(t *testing.T) (*harness, StartRun) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	return b, pickEffects[StartRun](b.effects())[0]
}

// copiesSentWithin counts the copies of a start that are sent within a time.
func copiesSentWithin(b *harness, start StartRun, d time.Duration) int {
	before := b.starts[start.Run]
	b.advance(d)
	return b.starts[start.Run] - before
}

// A start without an answer is sent again unchanged, and the first answer counts. The run is
// neither stopped nor started elsewhere.
func TestUnansweredStartIsSentAgain(t *testing.T) {
	b, start := orderedRun(t)
	must.Eq(t, 0, copiesSentWithin(b, start, 10*ms))
	must.Eq(t, 1, copiesSentWithin(b, start, 20*ms))
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.HandleStartAnswer(b.now+100*ms, "a", start.Run, work.OrderAnswer{})
	effects := b.advance(300 * ms)
	must.Eq(t, 2, b.starts[start.Run])
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
}

// At most maxCopies are sent. If none is answered, the run is stopped.
func TestStartCopiesAreBounded(t *testing.T) {
	b, start := orderedRun(t)
	b.advance(120 * ms)
	must.Eq(t, maxCopies, b.starts[start.Run])
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{})
	must.Eq(t, start.Run, pickEffects[StopRun](b.effects())[0].Run)
	must.Eq(t, 0, copiesSentWithin(b, start, 200*ms))
}

// A copy whose connection breaks doesn't end the wait for the others.
func TestBrokenCopyLeavesOthersPending(t *testing.T) {
	b, start := orderedRun(t)
	b.advance(40 * ms)
	must.Eq(t, 3, b.starts[start.Run])
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{})
	must.SliceEmpty(t, pickEffects[StopRun](b.effects()))
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	must.SliceEmpty(t, pickEffects[StopRun](b.advance(300*ms)))
}

// A target that refuses one of two copies may have started the run by the other. So the run is over
// only after its stop or its completion, and a target that has seen it end did start it.
func TestRefusedCopyDoesNotDecideOthers(t *testing.T) {
	for verdict, stopped := range map[work.Verdict]bool{
		work.VerdictNoCapacity: true, work.VerdictLeaseExpired: true, work.VerdictUnhealthy: true, work.VerdictInvalid: true, work.VerdictStaleRun: false,
	} {
		b, start := orderedRun(t)
		b.advance(40 * ms)
		b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: verdict, ClockMS: 5000})
		effects := b.effects()
		must.Eq(t, stopped, len(pickEffects[StopRun](effects)) > 0, must.Sprint(verdict))
		must.SliceEmpty(t, pickEffects[StartRun](effects), must.Sprint(verdict))
		if !stopped {
			b.answerPoll("a", work.PollAnswer{ClockMS: 5001, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
			must.Eq(t, work.Completed, pickEffects[Answer](b.effects())[0].Outcome.Result)
		}
	}
}

// If one of several copies is refused because the target obeys another owner or is another
// incarnation, another copy may still have started the run. So the job counts as started, and its
// caller gets Unknown.
func TestFencedCopyLeavesJobStarted(t *testing.T) {
	for _, verdict := range []work.Verdict{work.VerdictFenced, work.VerdictMisdirected} {
		b := newHarness(t, Options{})
		b.addUsableTarget("a", 1)
		b.submit("j", 1, 1, "")
		start := pickEffects[StartRun](b.effects())[0]
		b.advance(40 * ms)
		b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: verdict, ClockMS: 5000})
		deposed := pickEffects[Deposed](b.effects())
		must.Eq(t, verdict == work.VerdictFenced, len(deposed) > 0)
		b.s.Abandon(b.now)
		must.Eq(t, work.Unknown, pickEffects[Answer](b.effects())[0].Outcome.Result, must.Sprint(verdict))
	}
}

// After a tick that comes too late no copies are sent: the answers may be waiting to be read.
func TestNoCopiesAfterStall(t *testing.T) {
	b, start := orderedRun(t)
	b.now += 60 * ms
	b.s.Tick(b.now)
	b.effects()
	must.Eq(t, 1, b.starts[start.Run])
	must.Eq(t, 1, copiesSentWithin(b, start, 20*ms))
}

// An unanswered stop is first sent again as soon as any order, so that the target's lease can be
// extended again soon.
func TestUnansweredStopIsSentAgainSoon(t *testing.T) {
	b, start := orderedRun(t)
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	b.s.Cancel(b.now, 1)
	stops := pickEffects[StopRun](b.advance(100 * ms))
	must.Greater(t, 3, len(stops))
	must.SliceEmpty(t, pickEffects[StopRun](b.advance(60*ms)))
}

// A poll that should have been answered is sent again and asks for an answer at once. An answer to
// an earlier poll does not count for a later one: it may miss runs that have started since.
func TestUnansweredPollIsSentAgain(t *testing.T) {
	b, start := orderedRun(t)
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	first := b.s.targets["a"].poll
	must.Eq(t, DefaultPollWait, first.Wait)
	must.SliceEmpty(t, pickEffects[Poll](b.advance(DefaultPollWait)))
	again := pickEffects[Poll](b.advance(20 * ms))
	must.SliceLen(t, 1, again)
	must.Eq(t, Poll{To: first.To, SentAt: first.SentAt, LeaseUntil: first.LeaseUntil, AckUpTo: first.AckUpTo}, again[0])
	b.s.HandlePollAnswer(b.now, "a", first.SentAt, work.PollAnswer{ClockMS: 5400, Running: listing(start.Run)}, work.VerdictDone)
	b.effects()
	b.s.HandlePollAnswer(b.now, "a", first.SentAt, work.PollAnswer{ClockMS: 5400}, work.VerdictDone)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	must.True(t, b.s.targets["a"].pollPending)
}

// While answers are being lost, a second poll waits beside the first one, so that a completion is
// reported even if one of them is lost. Otherwise there is no second poll.
func TestSecondPollWaitsWhileAnswersAreLost(t *testing.T) {
	for name, lost := range map[string]bool{"answers are lost": true, "no answers are lost": false} {
		b, start := orderedRun(t)
		if lost {
			b.loseAnswers()
		}
		b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
		b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(start.Run)})
		b.effects()
		polls := pickEffects[Poll](b.advance(40 * ms))
		if !lost {
			must.SliceEmpty(t, polls, must.Sprint(name))
			continue
		}
		must.SliceLen(t, 1, polls)
		must.Eq(t, shortPollWait, polls[0].Wait)
		first := b.s.targets["a"].poll.SentAt
		b.s.HandlePollAnswer(b.now, "a", first, work.PollAnswer{ClockMS: 5040, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}}, work.VerdictDone)
		must.Eq(t, work.Completed, pickEffects[Answer](b.effects())[0].Outcome.Result)
	}
}

// An owner that lacks CPU sends no second polls and no copies, because they would delay its answers
// further. It sends them once it has CPU again, however many targets it owns.
func TestNoCopiesWithoutSpareCPU(t *testing.T) {
	for _, targets := range []int{2, 240} {
		b, start := orderedRun(t)
		for i := 2; i < targets; i++ {
			b.addUsableTarget(fmt.Sprint("t", i), 1)
		}
		b.loseAnswers()
		must.True(t, b.s.needsSecondPoll(b.now))
		for range 500 {
			b.s.RecordAnswerTime(2 * promptAnswer)
		}
		must.False(t, b.s.needsSecondPoll(b.now))
		must.Eq(t, 0, copiesSentWithin(b, start, 60*ms))
		for range 500 {
			b.s.RecordAnswerTime(promptAnswer / 4)
		}
		must.Eq(t, 1, copiesSentWithin(b, start, 20*ms))
	}
}

// Ticks that are late again and again show a lack of CPU, even if none is late enough alone.
func TestNoCopiesWhileTicksAreLate(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	lateTicks := func(n int) {
		for range n {
			b.now += stallGap - ms
			b.s.Tick(b.now)
			b.effects()
		}
	}
	lateTicks(8)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	lateTicks(3)
	must.Eq(t, 1, b.starts[start.Run])
	b.advance(300 * ms)
	must.Eq(t, maxCopies, b.starts[start.Run])
}

// While CPU is lacking, polls wait longer, up to their usual wait. With ample CPU they get short
// again.
func TestPollWaitFollowsSpareCPU(t *testing.T) {
	b, _ := orderedRun(t)
	b.loseAnswers()
	must.Eq(t, shortPollWait, b.s.pollWait(b.now))
	for range 500 {
		b.s.RecordAnswerTime(2 * promptAnswer)
	}
	b.advance(100 * ms)
	must.Eq(t, DefaultPollWait, b.s.pollWait(b.now))
	for range 500 {
		b.s.RecordAnswerTime(promptAnswer / 4)
	}
	b.advance(400 * ms)
	must.Eq(t, shortPollWait, b.s.pollWait(b.now))
}

// If a single target of many doesn't answer, the others aren't polled more often; if a hundredth of
// all answers is missing, they are. Answers missing from a silent target don't count.
func TestFewMissedAnswersKeepPollsLong(t *testing.T) {
	b, _ := orderedRun(t)
	lost := b.s.targets["a"]
	for range 199 {
		b.s.resend.countAnswer(work.VerdictDone)
	}
	b.s.recordMissedAnswer(b.now, lost)
	must.False(t, b.s.losesAnswers(b.now))
	b.s.recordMissedAnswer(b.now, lost)
	b.s.recordMissedAnswer(b.now, lost)
	must.True(t, b.s.losesAnswers(b.now))
	b = newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.s.targets["a"].state = silent
	b.loseAnswers()
	must.False(t, b.s.losesAnswers(b.now))
}

// Answers that get slower show that more polls would slow them further. That ends second polls long
// before the process lacks the CPU for copies.
func TestSecondPollsStopBeforeCopies(t *testing.T) {
	b, _ := orderedRun(t)
	b.loseAnswers()
	for range 500 {
		b.s.RecordAnswerTime(2 * ms)
	}
	must.True(t, b.s.needsSecondPoll(b.now))
	for range 500 {
		b.s.RecordAnswerTime(6 * ms)
	}
	must.True(t, b.s.resend.hasSpareCPU())
	must.False(t, b.s.needsSecondPoll(b.now))
}

// While answers are being lost, a target is polled for a run that should have ended, even though a
// poll waits there. Otherwise the waiting poll reports it.
func TestDueRunIsPolledFor(t *testing.T) {
	for name, lost := range map[string]bool{"answers are lost": true, "no answers are lost": false} {
		b, start := orderedRun(t)
		b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
		b.s.resend.pollWait = DefaultPollWait
		b.s.options.PollWait = DefaultPollWait
		b.advance(140 * ms)
		if lost {
			b.loseAnswers()
		}
		polls := pickEffects[Poll](b.advance(20 * ms))
		must.Eq(t, lost, len(polls) > 0, must.Sprint(name))
		if lost {
			must.Eq(t, 0, polls[0].Wait)
			must.Eq(t, b.s.targets["a"].poll.SentAt, polls[0].SentAt)
		}
	}
}

// A burst of answers, the last of which are read late, doesn't count as a lack of CPU.
func TestBurstOfAnswersShowsNoLackOfCPU(t *testing.T) {
	b, _ := orderedRun(t)
	b.loseAnswers()
	for range 100 {
		b.s.RecordAnswerTime(promptAnswer / 4)
	}
	for i := range 32 {
		b.s.RecordAnswerTime(time.Duration(i) * ms / 4)
	}
	must.True(t, b.s.needsSecondPoll(b.now))
}

// Without any answers, the copies to all targets together are bounded. The copies of a takeover's
// first polls would otherwise take the CPU that its first answers need.
func TestCopiesWithoutAnswersAreBounded(t *testing.T) {
	b := newHarness(t, Options{})
	for i := range 240 {
		b.listTargetWithCPU(fmt.Sprint("t", i), 1)
	}
	must.SliceLen(t, 240, pickEffects[Poll](b.effects()))
	must.SliceLen(t, maxBudget, pickEffects[Poll](b.advance(100*ms)))
}

func TestResendIntervalFollowsAnswerTimes(t *testing.T) {
	r := &resendPolicy{}
	must.Eq(t, minResendInterval, r.resendInterval())
	for range 100 {
		r.observe(2 * ms)
	}
	must.Eq(t, minResendInterval, r.resendInterval())
	for range 100 {
		r.observe(20 * ms)
	}
	must.Between(t, 20*ms, r.resendInterval(), maxResendInterval)
	for range 100 {
		r.observe(90 * ms)
	}
	must.Eq(t, maxResendInterval, r.resendInterval())
}

// A start whose connection breaks is sent again at once, because no answer to it will come.
func TestBrokenStartIsSentAgainAtOnce(t *testing.T) {
	b, start := orderedRun(t)
	broken := work.OrderAnswer{Verdict: work.VerdictConnectionLost}
	for copies := 1; copies < maxCopies; copies++ {
		b.s.HandleStartAnswer(b.now, "a", start.Run, broken)
		must.SliceEmpty(t, b.effects())
		must.Eq(t, copies+1, b.starts[start.Run])
	}
	b.s.HandleStartAnswer(b.now, "a", start.Run, broken)
	must.Eq(t, start.Run, pickEffects[StopRun](b.effects())[0].Run)
}

// A start whose connection breaks only when its answer was due is stopped.
func TestStartThatBreaksLateIsStopped(t *testing.T) {
	b, start := orderedRun(t)
	b.s.HandleStartAnswer(b.now+answerTimeout, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictConnectionLost})
	must.Eq(t, start.Run, pickEffects[StopRun](b.effects())[0].Run)
}
