package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// orderedRun returns a bench with two targets and a job of one task, whose start has no answer yet.
func orderedRun(t *testing.T) (*bench, StartRun) {
	b := newBench(t, Options{})
	b.usable("a", 1)
	b.usable("b", 1)
	b.submit("j", 1, 1, "")
	return b, pickEffects[StartRun](b.do())[0]
}

// copiesSentWithin counts the copies of a start that are sent within a time.
func copiesIn(b *bench, start StartRun, d time.Duration) int {
	before := b.starts[start.Run]
	b.pass(d)
	return b.starts[start.Run] - before
}

// A start without an answer is sent again unchanged, and the first answer counts. The run is
// neither stopped nor started elsewhere.
func TestStartsWithoutAnAnswerAreSentAgain(t *testing.T) {
	b, start := orderedRun(t)
	must.Eq(t, 0, copiesIn(b, start, 10*ms))
	must.Eq(t, 1, copiesIn(b, start, 20*ms))
	b.s.Started(b.now, "a", start.Run, done(5000))
	b.s.Started(b.now+100*ms, "a", start.Run, work.OrderAnswer{})
	effects := b.pass(300 * ms)
	must.Eq(t, 2, b.starts[start.Run])
	must.SliceEmpty(t, pickEffects[StopRun](effects))
	must.SliceEmpty(t, pickEffects[StartRun](effects))
}

// At most maxCopies are sent. If none is answered, the run is stopped.
func TestCopiesAreBounded(t *testing.T) {
	b, start := orderedRun(t)
	b.pass(120 * ms)
	must.Eq(t, maxCopies, b.starts[start.Run])
	b.s.Started(b.now, "a", start.Run, work.OrderAnswer{})
	must.Eq(t, start.Run, pickEffects[StopRun](b.do())[0].Run)
	must.Eq(t, 0, copiesIn(b, start, 200*ms))
}

// A copy whose connection breaks doesn't end the wait for the others.
func TestABrokenCopyLeavesTheOthers(t *testing.T) {
	b, start := orderedRun(t)
	b.pass(40 * ms)
	must.Eq(t, 3, b.starts[start.Run])
	b.s.Started(b.now, "a", start.Run, work.OrderAnswer{})
	must.SliceEmpty(t, pickEffects[StopRun](b.do()))
	b.s.Started(b.now, "a", start.Run, done(5000))
	must.SliceEmpty(t, pickEffects[StopRun](b.pass(300*ms)))
}

// A target that refuses one of two copies may have started the run by the other. So the run is over
// only after its stop or its completion, and a target that has seen it end did start it.
func TestARefusedCopyTellsNothingOfTheOthers(t *testing.T) {
	for verdict, stopped := range map[work.Verdict]bool{
		work.VerdictRoom: true, work.VerdictLate: true, work.VerdictUnhealthy: true, work.VerdictInvalid: true, work.VerdictOld: false,
	} {
		b, start := orderedRun(t)
		b.pass(40 * ms)
		b.s.Started(b.now, "a", start.Run, work.OrderAnswer{Verdict: verdict, Clock: 5000})
		effects := b.do()
		must.Eq(t, stopped, len(pickEffects[StopRun](effects)) > 0, must.Sprint(verdict))
		must.SliceEmpty(t, pickEffects[StartRun](effects), must.Sprint(verdict))
		if !stopped {
			b.look("a", work.Held{Clock: 5001, Ended: []work.End{{Number: 1, Run: start.Run, Kind: work.EndDone}}})
			must.Eq(t, work.Completed, pickEffects[Answer](b.do())[0].Outcome.Result)
		}
	}
}

// If one of several copies is refused because the target obeys another owner or is another
// incarnation, another copy may still have started the run. So the job counts as started, and its
// caller is told Unknown.
func TestACopyThatMeetsAnotherOwnerLeavesTheJobBegun(t *testing.T) {
	for _, verdict := range []work.Verdict{work.VerdictFenced, work.VerdictGone} {
		b := newBench(t, Options{})
		b.usable("a", 1)
		b.submit("j", 1, 1, "")
		start := pickEffects[StartRun](b.do())[0]
		b.pass(40 * ms)
		b.s.Started(b.now, "a", start.Run, work.OrderAnswer{Verdict: verdict, Clock: 5000})
		deposed := pickEffects[Deposed](b.do())
		must.Eq(t, verdict == work.VerdictFenced, len(deposed) > 0)
		b.s.Abandon(b.now)
		must.Eq(t, work.Unknown, pickEffects[Answer](b.do())[0].Outcome.Result, must.Sprint(verdict))
	}
}

// After a tick that comes too late no copies are sent: the answers may be waiting to be read.
func TestNoCopiesAfterAStall(t *testing.T) {
	b, start := orderedRun(t)
	b.now += 60 * ms
	b.s.Tick(b.now)
	b.do()
	must.Eq(t, 1, b.starts[start.Run])
	must.Eq(t, 1, copiesIn(b, start, 20*ms))
}

// An unanswered stop is first sent again as soon as any order, so that the target's lease can be
// extended again soon.
func TestStopsAreSentAgainSoon(t *testing.T) {
	b, start := orderedRun(t)
	b.s.Started(b.now, "a", start.Run, done(5000))
	b.s.Cancel(b.now, 1)
	stops := pickEffects[StopRun](b.pass(100 * ms))
	must.Greater(t, 3, len(stops))
	must.SliceEmpty(t, pickEffects[StopRun](b.pass(60*ms)))
}

// A poll that should have been answered is sent again and asks for an answer at once. An answer to
// an earlier poll does not count for a later one: it may miss runs that have started since.
func TestLooksWithoutAnAnswerAreSentAgain(t *testing.T) {
	b, start := orderedRun(t)
	b.s.Started(b.now, "a", start.Run, done(5000))
	first := b.s.targets["a"].look
	must.Eq(t, DefaultLookWait, first.Wait)
	must.SliceEmpty(t, pickEffects[Look](b.pass(DefaultLookWait)))
	again := pickEffects[Look](b.pass(20 * ms))
	must.SliceLen(t, 1, again)
	must.Eq(t, Look{To: first.To, At: first.At, Until: first.Until, Seen: first.Seen}, again[0])
	b.s.Looked(b.now, "a", first.At, work.Held{Clock: 5400, Running: listing(start.Run)}, work.VerdictDone)
	b.do()
	b.s.Looked(b.now, "a", first.At, work.Held{Clock: 5400}, work.VerdictDone)
	must.SliceEmpty(t, pickEffects[StartRun](b.do()))
	must.True(t, b.s.targets["a"].looking)
}

// While answers are being lost, a second poll waits beside the first one, so that a completion is
// reported even if one of them is lost. Otherwise there is no second poll.
func TestASecondLookWaitsWhileAnswersGetLost(t *testing.T) {
	for name, lost := range map[string]bool{"answers are lost": true, "no answers are lost": false} {
		b, start := orderedRun(t)
		if lost {
			b.disturb()
		}
		b.s.Started(b.now, "a", start.Run, done(5000))
		b.look("a", work.Held{Clock: 5000, Running: listing(start.Run)})
		b.do()
		polls := pickEffects[Look](b.pass(40 * ms))
		if !lost {
			must.SliceEmpty(t, polls, must.Sprint(name))
			continue
		}
		must.SliceLen(t, 1, polls)
		must.Eq(t, disturbedWait, polls[0].Wait)
		first := b.s.targets["a"].look.At
		b.s.Looked(b.now, "a", first, work.Held{Clock: 5040, Ended: []work.End{{Number: 1, Run: start.Run, Kind: work.EndDone}}}, work.VerdictDone)
		must.Eq(t, work.Completed, pickEffects[Answer](b.do())[0].Outcome.Result)
	}
}

// An owner that lacks CPU sends no second polls and no copies, because they would delay its answers
// further. It sends them once it has CPU again, however many targets it owns.
func TestNoCopiesForWantOfProcessor(t *testing.T) {
	for _, targets := range []int{2, 240} {
		b, start := orderedRun(t)
		for i := 2; i < targets; i++ {
			b.usable(fmt.Sprint("t", i), 1)
		}
		b.disturb()
		must.True(t, b.s.looksTwice(b.now))
		for range 500 {
			b.s.Answered(2 * promptAnswer)
		}
		must.False(t, b.s.looksTwice(b.now))
		must.Eq(t, 0, copiesIn(b, start, 60*ms))
		for range 500 {
			b.s.Answered(promptAnswer / 4)
		}
		must.Eq(t, 1, copiesIn(b, start, 20*ms))
	}
}

// Ticks that are late again and again show a lack of CPU, even if none is late enough alone.
func TestNoCopiesWhileTicksComeLate(t *testing.T) {
	b := newBench(t, Options{})
	b.usable("a", 1)
	lateTicks := func(n int) {
		for range n {
			b.now += stallGap - ms
			b.s.Tick(b.now)
			b.do()
		}
	}
	lateTicks(8)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.do())[0]
	lateTicks(3)
	must.Eq(t, 1, b.starts[start.Run])
	b.pass(300 * ms)
	must.Eq(t, maxCopies, b.starts[start.Run])
}

// While CPU is lacking, polls wait longer, up to their usual wait. With ample CPU they get short
// again.
func TestShortLooksFollowTheProcessor(t *testing.T) {
	b, _ := orderedRun(t)
	b.disturb()
	must.Eq(t, disturbedWait, b.s.lookWait(b.now))
	for range 500 {
		b.s.Answered(2 * promptAnswer)
	}
	b.pass(100 * ms)
	must.Eq(t, DefaultLookWait, b.s.lookWait(b.now))
	for range 500 {
		b.s.Answered(promptAnswer / 4)
	}
	b.pass(400 * ms)
	must.Eq(t, disturbedWait, b.s.lookWait(b.now))
}

// If a single target of many doesn't answer, the others aren't polled more often; if a hundredth of
// all answers is missing, they are. Answers missing from a silent target don't count.
func TestFewMissedAnswersDisturbNobody(t *testing.T) {
	b, _ := orderedRun(t)
	lost := b.s.targets["a"]
	for range 199 {
		b.s.resend.heard(work.VerdictDone)
	}
	b.s.missAnswer(b.now, lost)
	must.False(t, b.s.unsettled(b.now))
	b.s.missAnswer(b.now, lost)
	b.s.missAnswer(b.now, lost)
	must.True(t, b.s.unsettled(b.now))
	b = newBench(t, Options{})
	b.usable("a", 1)
	b.s.targets["a"].state = silent
	b.disturb()
	must.False(t, b.s.unsettled(b.now))
}

// Answers that get slower show that more polls would slow them further. That ends second polls long
// before the process lacks the CPU for copies.
func TestLooksEndBeforeCopies(t *testing.T) {
	b, _ := orderedRun(t)
	b.disturb()
	for range 500 {
		b.s.Answered(2 * ms)
	}
	must.True(t, b.s.looksTwice(b.now))
	for range 500 {
		b.s.Answered(6 * ms)
	}
	must.True(t, b.s.resend.spare())
	must.False(t, b.s.looksTwice(b.now))
}

// While answers are being lost, a target is polled for a run that should have ended, even though a
// poll waits there. Otherwise the waiting poll reports it.
func TestDueEndsAreAskedFor(t *testing.T) {
	for name, lost := range map[string]bool{"answers are lost": true, "no answers are lost": false} {
		b, start := orderedRun(t)
		b.s.Started(b.now, "a", start.Run, done(5000))
		b.s.resend.look = DefaultLookWait
		b.s.options.LookWait = DefaultLookWait
		b.pass(140 * ms)
		if lost {
			b.disturb()
		}
		polls := pickEffects[Look](b.pass(20 * ms))
		must.Eq(t, lost, len(polls) > 0, must.Sprint(name))
		if lost {
			must.Eq(t, 0, polls[0].Wait)
			must.Eq(t, b.s.targets["a"].look.At, polls[0].At)
		}
	}
}

// A burst of answers, the last of which are read late, doesn't count as a lack of CPU.
func TestABurstOfAnswersIsNoWantOfProcessor(t *testing.T) {
	b, _ := orderedRun(t)
	b.disturb()
	for range 100 {
		b.s.Answered(promptAnswer / 4)
	}
	for i := range 32 {
		b.s.Answered(time.Duration(i) * ms / 4)
	}
	must.True(t, b.s.looksTwice(b.now))
}

// Without any answers, the copies to all targets together are bounded. The copies of a takeover's
// first polls would otherwise take the CPU that its first answers need.
func TestCopiesWithoutAnyAnswerAreBounded(t *testing.T) {
	b := newBench(t, Options{})
	for i := range 240 {
		b.target(fmt.Sprint("t", i), 1)
	}
	must.SliceLen(t, 240, pickEffects[Look](b.do()))
	must.SliceLen(t, maxBudget, pickEffects[Look](b.pass(100*ms)))
}

func TestPauseFollowsTheAnswers(t *testing.T) {
	r := &resending{}
	must.Eq(t, leastResend, r.pause())
	for range 100 {
		r.learn(2 * ms)
	}
	must.Eq(t, leastResend, r.pause())
	for range 100 {
		r.learn(20 * ms)
	}
	must.Between(t, 20*ms, r.pause(), mostResend)
	for range 100 {
		r.learn(90 * ms)
	}
	must.Eq(t, mostResend, r.pause())
}

// A start whose connection breaks is sent again at once, because no answer to it will come.
func TestABrokenStartIsSentAgainAtOnce(t *testing.T) {
	b, start := orderedRun(t)
	broken := work.OrderAnswer{Verdict: work.VerdictBroken}
	for copies := 1; copies < maxCopies; copies++ {
		b.s.Started(b.now, "a", start.Run, broken)
		must.SliceEmpty(t, b.do())
		must.Eq(t, copies+1, b.starts[start.Run])
	}
	b.s.Started(b.now, "a", start.Run, broken)
	must.Eq(t, start.Run, pickEffects[StopRun](b.do())[0].Run)
}

// A start whose connection breaks only when its answer was due is stopped.
func TestAStartThatBreaksLateIsStopped(t *testing.T) {
	b, start := orderedRun(t)
	b.s.Started(b.now+answerTime, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictBroken})
	must.Eq(t, start.Run, pickEffects[StopRun](b.do())[0].Run)
}
