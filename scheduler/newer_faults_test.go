package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// A poll that overtakes a start shows nothing about its run, however long ago the start was decided.
func TestStartAfterPollIsNotRunTwice(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.addUsableTarget("b", 1)
	b.submit("j", 1, 1, "")
	start := pickEffects[StartRun](b.effects())[0]
	// The process is held up before it sends the order, and goes on with the next poll.
	b.now += 310 * ms
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5310})
	must.SliceLen(t, 1, pickEffects[Poll](b.effects()))
	// The target answers the poll first and carries the start out then.
	b.now += ms
	b.s.HandleStartAnswer(b.now, start.To.ID, start.Run, doneAnswer(5311))
	b.answerPoll(start.To.ID, work.PollAnswer{ClockMS: 5311})
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
}

// A request that waited while a later one for the same part was refused doesn't start the part.
func TestOvertakenRequestDoesNotStartRefusedPart(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	busy := b.submitFrom("busy", "e")
	start := pickEffects[StartRun](b.effects())[0]
	b.s.HandleStartAnswer(b.now, "a", start.Run, doneAnswer(5000))
	part := busy
	part.Job.ID, part.Part = "j", []string{"j.0.0.0"}
	second, third := b.askedAgain(part), b.askedAgain(part)
	must.Eq(t, Absent, b.s.Rejoin(b.now, third, 40*ms, true))
	refusal := pickEffects[Answer](b.effects())[0]
	must.Eq(t, work.Refused, refusal.Outcome.Result)
	b.now += 20 * ms
	b.answerPoll("a", work.PollAnswer{ClockMS: 5020, Completions: []work.Completion{{Number: 1, Run: start.Run, Kind: work.CompletionDone}}})
	b.s.Rejoin(b.now, second, 20*ms, true)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
}

// An outcome that is older than the request that broke belongs to an earlier request for the job: a
// job that an owner has handed back may run elsewhere by now.
func TestRejoinIgnoresOutcomeOfEarlierRequest(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 1)
	b.submitFrom("busy", "e")
	b.effects()
	sub := b.submitFrom("j", "e")
	b.s.Leave(b.now)
	b.effects()
	b.now += 500 * ms
	b.s.EntryKeepalive("e", b.now+time.Hour)
	must.NotEq(t, Present, b.s.Rejoin(b.now, b.askedAgain(sub), 300*ms, false))
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
}

// A start that a cut holds up may be carried out by the next incarnation of its target, whose clock
// starts again: the lease end on the earlier clock is far ahead there.
func TestStartHeldUpBehindRestartIsNotRunTwice(t *testing.T) {
	for seed := range uint64(20) {
		w := newVMWorld(seed, 1, 1, 2, true)
		w.longest = 2500
		w.run(2 * time.Second)
		restarted := w.targets["t00"]
		w.restartTarget(restarted, 300*ms, 3*time.Second)
		w.run(350 * ms)
		w.cut("vm0", restarted.id, 1050*ms)
		w.addClient(1, 5*time.Second)
		w.run(3 * time.Second)
		must.SliceEmpty(t, w.violations, must.Sprint(strings.Join(w.trace, "\n")))
	}
}
