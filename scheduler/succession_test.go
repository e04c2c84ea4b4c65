package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// newSuccessor returns an owner that finds a record of targets: "a" and "b" are listed, "c" is not.
func newSuccessor(t *testing.T) *harness {
	b := newHarness(t, Options{ConfirmClaims: true, RecordTargets: true})
	for _, id := range []string{"a", "b"} {
		b.s.ListedAtStart(id, 0)
		b.listTargetWithCPU(id, 4)
	}
	b.effects()
	var recorded []work.Target
	for _, id := range []string{"a", "b", "c"} {
		recorded = append(recorded, work.Target{ID: id, Service: "s", Address: "at-" + id})
	}
	b.s.InheritTargets(b.now, Inheritance{Targets: recorded})
	b.s.AdoptTargets(b.now)
	return b
}

// resume reads the previous owner's jobs: one of one task.
func (b *harness) resume() {
	b.s.ResumeJob(b.now, b.durableJob("old", 1), Progress{})
	b.s.FinishResume(b.now)
}

// settleTargets has targets obey the owner.
func (b *harness) settleTargets(ids ...string) {
	for _, id := range ids {
		b.answerPoll(id, work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()})
	}
}

// A successor polls a recorded target that the registry doesn't list at its recorded address, and continues the
// run there. It starts nothing new there.
func TestRecordedTargetIsPolledWithoutEntry(t *testing.T) {
	b := newSuccessor(t)
	polls := map[string]bool{}
	for _, poll := range pickEffects[Poll](b.effects()) {
		polls[poll.To.Address] = true
	}
	must.True(t, polls["at-c"])
	b.settleTargets("a", "b")
	must.False(t, b.s.TargetsFenced())
	run := work.RunID{Task: "old.0.0.0", Number: 31}
	b.answerPoll("c", work.PollAnswer{ClockMS: 5000, Running: listing(run)})
	must.Positive(t, pickEffects[Poll](b.effects())[0].LeaseUntil)
	must.True(t, b.s.TargetsFenced())
	b.resume()
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	must.False(t, b.s.targets["c"].acceptsTasks())
	b.answerPoll("c", pollWithCompletion(1, run, work.CompletionDone))
	must.Eq(t, []JobEnded{{Job: "old", State: work.StateCompleted}}, pickEffects[JobEnded](b.effects()))
}

// Tasks of durable jobs start only at recorded targets; those of other jobs start at any.
func TestDurableTaskStartsOnceTargetIsRecorded(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{})
	b.s.AdoptTargets(b.now)
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	b.submit("loose", 1, 1, "")
	loose := b.effects()
	must.SliceLen(t, 1, pickEffects[StartRun](loose))
	must.SliceEmpty(t, pickEffects[RecordTarget](loose))
	b.s.Submit(b.now, b.durableJob("j", 1))
	records := pickEffects[RecordTarget](b.effects())
	must.SliceLen(t, 1, records)
	must.Eq(t, "a", records[0].Target.ID)
	b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
	b.submit("other", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	b.s.TargetRecorded("a")
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(40*ms)))
}

// A leaving owner keeps the record of its targets for its successor.
func TestLeavingOwnerForgetsNoTarget(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{})
	b.s.AdoptTargets(b.now)
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	b.s.startRecording()
	b.s.TargetRecorded("a")
	b.s.TargetRecorded("b")
	b.effects()
	b.s.loseTarget(b.now, b.s.targets["b"], "another incarnation answers at its address")
	must.Eq(t, []ForgetTarget{{ID: "b"}}, pickEffects[ForgetTarget](b.effects()))
	b.s.Leave(b.now)
	b.s.ReleaseTargets([]string{"a"})
	must.SliceEmpty(t, pickEffects[ForgetTarget](b.effects()))
}

// A run that this owner took over isn't given up while the lease lasts that its predecessor asked for.
func TestRunTakenOverKeepsItsPreviousLease(t *testing.T) {
	b := newHarness(t, Options{})
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	b.listTargetWithCPU("a", 1)
	b.listTargetWithCPU("b", 1)
	b.effects()
	b.s.targets["a"].needsClaim, b.s.options.ConfirmClaims = true, true
	b.s.targets["a"].firstSeen = b.now
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(work.RunID{Task: "j.0.0.0", Number: 31})})
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	must.SliceEmpty(t, pickEffects[StartRun](b.advance(maxDurableLease-20*ms)))
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(200*ms)))
}
