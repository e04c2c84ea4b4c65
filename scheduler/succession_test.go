package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// newSuccessor returns an owner that finds a record of targets: "a" and "b" are listed, "c" is not.
func newSuccessor(t *testing.T, earlier time.Duration) *harness {
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
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now - 10*ms, HasPredecessor: true, Targets: recorded, EarlierUntil: b.now + earlier})
	b.s.AdoptTargets(b.now)
	return b
}

// resume reads the previous owner's jobs: one of one task.
func (b *harness) resume() {
	b.s.ResumeJob(b.now, b.durableJob("old", 1), Progress{})
	b.s.FinishResume(b.now)
}

// confirmedUntil confirms the claim, as the store does, while time passes, and returns the effects.
func (b *harness) confirmedUntil(end time.Duration) []Effect {
	var all []Effect
	for b.now < end {
		b.s.ClaimConfirmed(b.now, b.now)
		all = append(all, b.advance(min(100*ms, end-b.now))...)
		for id, target := range b.s.targets {
			if target.fenced && target.pollPending {
				b.answerPoll(id, work.PollAnswer{ClockMS: 5000 + (b.now - 10*time.Second).Milliseconds()})
			}
		}
	}
	return all
}

// confirmRecords has the store record all targets that it was asked to.
func (b *harness) confirmRecords() {
	for _, e := range pickEffects[RecordTarget](b.effects()) {
		b.s.TargetRecorded(e.Target.ID, e.Number)
	}
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
	b := newSuccessor(t, 0)
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

// Nothing of a job that was taken over starts while a recorded target doesn't answer, until the leases of all
// previous owners are over. Other jobs start at once.
func TestJobsTakenOverWaitForUnreachableTarget(t *testing.T) {
	b := newSuccessor(t, 0)
	b.effects()
	b.settleTargets("a", "b")
	b.resume()
	began := b.now
	must.SliceEmpty(t, pickEffects[StartRun](b.confirmedUntil(began+time.Second)))
	starts := b.startStoredJob("new", 1)
	must.SliceLen(t, 1, starts)
	b.answerStarts(starts)
	b.answerPoll(starts[0].To.ID, pollWithCompletion(1, starts[0].Run, work.CompletionDone))
	must.SliceEmpty(t, pickEffects[StartRun](b.confirmedUntil(began+PredecessorValidity-100*ms)))
	must.SliceNotEmpty(t, pickEffects[StartRun](b.confirmedUntil(began+PredecessorValidity+200*ms)))
}

// The wait ends once the target answers, its incarnation has ended, or the predecessor has ended and its leases
// are over. An earlier predecessor's leases count on.
func TestWaitForUnreachableTargetEnds(t *testing.T) {
	for name, test := range map[string]struct {
		earlier time.Duration
		end     func(b *harness)
		within  time.Duration
		not     time.Duration
	}{
		"the target answers":           {0, func(b *harness) { b.settleTargets("c") }, 40 * ms, 0},
		"another incarnation answers":  {0, func(b *harness) { b.answerPollWith("c", work.PollAnswer{}, work.VerdictMisdirected) }, 40 * ms, 0},
		"the predecessor has ended":    {0, func(b *harness) { b.s.PredecessorEnded(b.now) }, predecessorLeaseTime + 200*ms, predecessorLeaseTime - 100*ms},
		"an earlier one may have runs": {5 * time.Second, func(b *harness) { b.s.PredecessorEnded(b.now) }, 5200 * ms, 4900 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSuccessor(t, test.earlier)
			b.effects()
			b.settleTargets("a", "b")
			b.resume()
			b.effects()
			began := b.now
			test.end(b)
			must.SliceEmpty(t, pickEffects[StartRun](b.confirmedUntil(began+test.not)))
			must.SliceLen(t, 1, pickEffects[StartRun](b.confirmedUntil(began+test.within)))
		})
	}
}

// A target that isn't listed and doesn't answer isn't taken for gone while a previous owner may have runs there.
func TestUnlistedTargetOfPredecessorIsNotLost(t *testing.T) {
	b := newSuccessor(t, 0)
	b.effects()
	b.settleTargets("a", "b")
	b.resume()
	began := b.now
	b.confirmedUntil(began + 2*unlistedTimeout)
	must.NotNil(t, b.s.targets["c"])
	effects := b.confirmedUntil(began + PredecessorValidity + 200*ms)
	must.Nil(t, b.s.targets["c"])
	must.Eq(t, []ForgetTarget{{ID: "c"}}, pickEffects[ForgetTarget](effects))
}

// Tasks of durable jobs start only at recorded targets; those of other jobs start at any.
func TestDurableTaskStartsOnceTargetIsRecorded(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now})
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
	b.s.TargetRecorded("a", records[0].Number)
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(40*ms)))
}

// An owner whose claim isn't confirmed any more stops the runs of durable jobs before it may extend their lease no
// more, and no lease that it asks for ends later. Other runs go on.
func TestUnconfirmedOwnerStopsDurableRuns(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now})
	b.s.AdoptTargets(b.now)
	began := b.now
	clock := func() int64 { return 5000 + (b.now - began).Milliseconds() }
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	long := b.durableJob("j", 1)
	long.Job.Steps[0].DeclaredRunTime = time.Minute
	b.s.Submit(b.now, long)
	b.confirmRecords()
	b.s.HandleJobStored(b.now, "j", work.Outcome{Result: work.Accepted}, true)
	durable := pickEffects[StartRun](b.effects())[0]
	other := b.durableJob("loose", 1)
	other.Job = work.Job{ID: "loose", Steps: long.Job.Steps}
	b.s.Submit(b.now, other)
	loose := pickEffects[StartRun](b.effects())[0]
	b.answerStarts([]StartRun{durable, loose})
	running := listing(durable.Run, loose.Run)
	var stoppedAt time.Duration
	asked := 0
	for b.now < began+claimValidity+time.Second {
		for _, effect := range b.advance(20 * ms) {
			switch e := effect.(type) {
			case ConfirmClaim:
				asked++
			case Poll:
				must.True(t, stoppedAt > 0 || e.LeaseUntil <= 5000+claimValidity.Milliseconds(), must.Sprint(b.now-began))
			case StopRun:
				must.Eq(t, durable.Run, e.Run)
				if stoppedAt == 0 {
					stoppedAt = b.now
					running = listing(loose.Run)
				}
				b.s.HandleStopAnswer(b.now, "a", e.Run, doneAnswer(clock()))
			case StartRun:
				t.Fatalf("%v starts at %v", e.Run, b.now-began)
			}
		}
		answer := work.PollAnswer{ClockMS: clock(), Running: running}
		if stoppedAt > 0 {
			answer.Completions = []work.Completion{{Number: 1, Run: durable.Run, Kind: work.CompletionStopped}}
		}
		b.answerPoll("a", answer)
	}
	must.Between(t, claimValidity-validityReserve, stoppedAt-began, claimValidity-validityReserve+60*ms)
	must.Between(t, 5, asked, 20)
	must.NotNil(t, b.s.targets["a"].runs[loose.Run.Task])
	b.s.ClaimConfirmed(b.now, b.now-10*ms)
	must.SliceLen(t, 1, pickEffects[StartRun](b.advance(100*ms)))
}

// A lease with runs of durable jobs isn't longer than a successor counts with, and lasts until the next poll, also
// where the target's clock was read long ago and may be slow: the target is polled first.
func TestDurableLeaseOfIdleTargetIsBounded(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now})
	b.s.AdoptTargets(b.now)
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	b.s.startRecording()
	b.confirmRecords()
	for _, idle := range []time.Duration{maxClockAge - 100*ms, 25 * time.Second} {
		read := b.now
		b.now += idle
		b.s.ClaimConfirmed(b.now, b.now)
		starts := b.startStoredJob(fmt.Sprint("j", idle), 1)
		clock := b.s.targets["a"].lease.clock + idle.Milliseconds()
		if idle > maxClockAge {
			must.SliceEmpty(t, starts)
			b.answerPoll("a", work.PollAnswer{ClockMS: clock})
			starts, read = pickEffects[StartRun](b.effects()), b.now
		}
		must.SliceLen(t, 1, starts)
		slowest := b.s.targets["a"].lease.clock + int64(minClockRate*float64((b.now-read).Milliseconds()))
		must.LessEq(t, slowest+int64(minClockRate*float64(maxDurableLease.Milliseconds())), starts[0].LeaseUntilMS)
		must.GreaterEq(t, clock+DefaultPollWait.Milliseconds(), starts[0].LeaseUntilMS)
		b.answerPoll("a", work.PollAnswer{ClockMS: clock, Completions: []work.Completion{{Number: b.s.targets["a"].lastCompletion + 1, Run: starts[0].Run, Kind: work.CompletionDone}}})
		b.effects()
	}
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

// A leaving owner keeps the record of its targets for its successor.
func TestLeavingOwnerForgetsNoTarget(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now})
	b.s.AdoptTargets(b.now)
	b.s.FinishResume(b.now)
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	b.s.startRecording()
	b.confirmRecords()
	b.s.loseTarget(b.now, b.s.targets["b"], "another incarnation answers at its address")
	must.Eq(t, []ForgetTarget{{ID: "b"}}, pickEffects[ForgetTarget](b.effects()))
	b.s.Leave(b.now)
	b.s.ReleaseTargets([]string{"a"})
	must.SliceEmpty(t, pickEffects[ForgetTarget](b.effects()))
}

// Targets that have answered under a token that the previous owner has as well may still obey it. They count once
// they have answered under this owner's own token, and get nothing before.
func TestTargetUnderSharedTokenIsNotSettled(t *testing.T) {
	b := newHarness(t, Options{ConfirmClaims: true, RecordTargets: true})
	b.s.ListedAtStart("a", 0)
	b.listTargetWithCPU("a", 4)
	b.effects()
	b.settleTargets("a")
	b.now += 40 * ms
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now, HasPredecessor: true, SharedToken: true, Targets: []work.Target{{ID: "a", Service: "s"}}})
	b.s.AdoptTargets(b.now)
	must.False(t, b.s.TargetsFenced())
	b.submit("loose", 1, 1, "")
	effects := b.effects()
	must.SliceEmpty(t, pickEffects[StartRun](effects))
	must.SliceLen(t, 1, pickEffects[Poll](effects))
	b.settleTargets("a")
	must.True(t, b.s.TargetsFenced())
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
}

// A target whose answer is on its way when the record of targets is read obeys this owner with it: it isn't waited for
// any longer.
func TestAnswerUnderWayWhenRecordIsReadSettlesTarget(t *testing.T) {
	for shared, settled := range map[bool]bool{false: true, true: false} {
		b := newHarness(t, Options{ConfirmClaims: true, RecordTargets: true})
		b.s.ListedAtStart("a", 0)
		b.listTargetWithCPU("a", 4)
		must.SliceLen(t, 1, pickEffects[Poll](b.effects()))
		b.now += ms
		b.s.InheritTargets(b.now, Inheritance{HasPredecessor: true, SharedToken: shared, Targets: []work.Target{{ID: "a", Service: "s"}}})
		b.s.AdoptTargets(b.now)
		b.settleTargets("a")
		must.Eq(t, settled, b.s.TargetsFenced())
		b.advance(40 * ms)
		b.settleTargets("a")
		must.True(t, b.s.TargetsFenced())
	}
}

// A target without an entry isn't removed while it lists a run whose job isn't read yet: the run would start again.
func TestUnlistedTargetWithInheritedRunIsNotLost(t *testing.T) {
	b := newHarness(t, Options{})
	b.listTargetWithCPU("a", 1)
	b.listTargetWithCPU("b", 1)
	b.effects()
	b.answerPoll("b", work.PollAnswer{ClockMS: 5000})
	b.s.TargetUnlisted(b.now, "a")
	b.advance(unlistedTimeout - 40*ms)
	on := work.RunID{Task: "j.0.0.0", Number: 31}
	b.answerPoll("a", work.PollAnswer{ClockMS: 7400, Running: listing(on)})
	b.advance(100 * ms)
	b.s.ResumeJob(b.now, b.durableJob("j", 1), Progress{})
	b.s.FinishResume(b.now)
	must.SliceEmpty(t, pickEffects[StartRun](b.effects()))
}

// A start that the next incarnation of its target may have carried out has a lease of unknown end. Its run isn't
// given up before the longest lease that a target grants is over, also where the registry has lost the target.
func TestRunOfUnknownIncarnationKeepsLongestLease(t *testing.T) {
	const longest = 6 * time.Second
	b := newHarness(t, Options{MaxLease: longest})
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Incarnation: 100})
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 9000, Incarnation: 100})
	b.submit("j", 1, 1, "")
	must.SliceLen(t, 1, pickEffects[StartRun](b.effects()))
	b.s.TargetListed(b.now, work.Target{ID: "a", Service: "s", Capacity: work.Resources{CPU: 4}, Incarnation: 10_000})
	b.s.TargetUnlisted(b.now, "a")
	restarted := b.now
	silent := func(until time.Duration) {
		for b.now < until {
			b.advance(20 * ms)
			if b.s.targets["a"] != nil && b.s.targets["a"].pollPending {
				b.answerPollWith("a", work.PollAnswer{}, work.VerdictUnknown)
			}
		}
	}
	silent(restarted + longest)
	must.NotNil(t, b.s.targets["a"])
	must.MapLen(t, 1, b.s.targets["a"].runs)
	silent(restarted + slowest(longest) + time.Second)
	must.Nil(t, b.s.targets["a"])
}

// The record of a target that was removed says nothing of a later target of the same ID, whose own record isn't
// written yet.
func TestRecordOfEarlierTargetDoesNotCount(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now})
	b.s.AdoptTargets(b.now)
	b.s.FinishResume(b.now)
	b.s.startRecording()
	b.addUsableTarget("a", 4)
	b.s.loseTarget(b.now, b.s.targets["a"], "another incarnation answers at its address")
	b.effects()
	b.s.TargetListed(b.now, work.Target{ID: "a", Service: "s", Capacity: work.Resources{CPU: 4}})
	again := pickEffects[RecordTarget](b.effects())
	must.SliceLen(t, 1, again)
	b.s.TargetRecorded("a", again[0].Number-1)
	must.False(t, b.s.targets["a"].recorded)
	b.s.TargetRecorded("a", again[0].Number)
	must.True(t, b.s.targets["a"].recorded)
}

// An owner renews no lease of a run that it may take over later than a successor counts with.
func TestInheritedRunIsNotRenewedWithoutClaim(t *testing.T) {
	b := newHarness(t, Options{RecordTargets: true})
	b.now += claimValidity
	b.listTargetWithCPU("a", 1)
	b.effects()
	on := listing(work.RunID{Task: "j.0.0.0", Number: 31})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: on})
	must.Eq(t, 0, pickEffects[Poll](b.effects())[0].LeaseUntil)
	b.s.InheritTargets(b.now, Inheritance{AsOf: b.now - claimValidity + validityReserve})
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: on})
	must.Eq(t, 0, pickEffects[Poll](b.effects())[0].LeaseUntil)
	b.s.ClaimConfirmed(b.now, b.now)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: on})
	must.Positive(t, pickEffects[Poll](b.effects())[0].LeaseUntil)
}
