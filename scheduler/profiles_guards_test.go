package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// Guards against a job that ended since the last round, and is still listed, keeping the number of an
// account that the new profiles don't have.
func TestFewerProfilesWhileEndedJobIsListed(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Limit: 1}, shares.Profile{Name: "bank", Limit: 1})
	b.addUsableTarget("a", 1)
	b.submitToQueue("other", 1, 1)
	b.effects()
	ref := b.submitToQueue("other", 1, 1)
	b.s.Cancel(b.now, ref)
	b.setProfiles(shares.Profile{Name: "tills", Limit: 1})
	must.Eq(t, 0, b.s.ProfileUses()[1].Waiting)
}

// Guards against profiles without a limit holding a profile back while its tasks fill the targets:
// nothing would be delegated, and gangs would get no reserved targets.
func TestNoLimitHoldsNothingBack(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "nobody", Limit: 1})
	b.addUsableTarget("a", 2)
	b.addUsableTarget("b", 2)
	b.submitToQueue("k", 4, 1)
	b.effects()
	b.acceptAndStore(b.jobOfSteps("gang", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true}))
	b.advance(3 * gangReserveDelay)
	must.NotNil(t, b.s.pools["s"].reservedFor)
	must.False(t, b.s.pools["s"].shares.heldBack[1])
}

// Guards against refusing jobs for good by a limit of a capacity that is momentarily missing: while all
// targets drain, or some of them.
func TestLimitReasonIgnoresMomentaryCapacity(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.5})
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	reason := func(cpu int64) string {
		j := b.s.newJob(b.now, Submission{
			Ref: 99, Job: work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: cpu}, DeclaredRunTime: 100 * ms}}},
			Queue: work.Queue{Name: "batch", Service: "s", MaxAttempts: 2},
		})
		return b.s.profileLimitReason(j)
	}
	must.NotEq(t, "", reason(5))
	must.Eq(t, "", reason(4))
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Draining: true})
	must.Eq(t, "", reason(4))
	b.listTarget(work.Target{ID: "b", Capacity: work.Resources{CPU: 4}, Draining: true})
	must.Eq(t, "", reason(5))
	b.listTargetWithCPU("a", 4)
	must.NotEq(t, "", reason(5))
	b.s.cordon.known = false
	must.Eq(t, "", reason(5))
}

// Guards against refusing a job whose objective can't be met any more while targets are idle, or before
// their capacity is known: without profiles it starts at once.
func TestLateJobStartsOnIdleTargets(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "nobody", Limit: 1}, shares.Profile{Name: "batch", Limit: 0.5})
	b.s.registryRead = false
	b.submitWith("other", 1, 1, 0)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.s.RegistryRead()
	b.addUsableTarget("b", 4)
	b.submitWith("other", 1, 1, 0)
	b.submitWith("batch", 1, 1, 0)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
}

// harnessProfiles are in force in each new harness; nil for none.
var harnessProfiles *shares.Profiles

// Guards against profiles changing how queues in no profile are served: with a row whose only profile has
// no queue of the tests, no limit and no guarantee, these tests hold as without a row.
func TestProfileOfNobodyChangesNothing(t *testing.T) {
	harnessProfiles = &shares.Profiles{Version: 1, Profiles: []shares.Profile{{Name: "nobody", Queues: []string{"nobody"}, Limit: 1, Weight: 1}}}
	t.Cleanup(func() { harnessProfiles = nil })
	for name, test := range map[string]func(*testing.T){
		"arriving targets":         TestNewOwnerCountsArrivingTargets,
		"forecast":                 TestOverloadedOwnerRefusesWithRetryTime,
		"small beside large":       TestSmallJobIsAcceptedBesideWaitingLargeJobs,
		"late jobs":                TestHopelesslyLateJobIsRefused,
		"delegation":               TestTasksAreDelegatedAndReturned,
		"delegated parts":          TestPartStartsAtOnceOrIsRefused,
		"gangs and small tasks":    TestGangIsNotStarvedBySmallTasks,
		"gangs and racks":          TestGangWaitsForItsRack,
		"latency-sensitive steps":  TestBackgroundTasksYieldToLatencySensitiveOnes,
		"unknown cordon":           TestNothingStartsWhileCordonIsUnknown,
		"cordon":                   TestCordonReturnsUnstartedJobsAndDelegatesTheRest,
		"gang reservations":        TestCordonReleasesGangReservation,
		"unservable jobs":          TestUnservableJobIsRefused,
		"returning callers":        TestReturningLateCallerIsPlacedBehind,
		"draining and full target": TestDrainingAndFullTargetsAreNotUsed,
		"inherited runs":           TestSuccessorContinuesInheritedRuns,
	} {
		t.Run(name, test)
	}
}

// reservations counts the targets that are reserved for a step or a suspect.
func (b *harness) reservations() (n int) {
	for _, target := range b.s.sortedTargets() {
		if target.reservedFor != nil || target.isolated != nil {
			n++
		}
	}
	return n
}

// Guards against targets that stay reserved for work which a limit keeps from starting: they would be
// idle until the limit is raised.
func TestReservationsEndAtLimit(t *testing.T) {
	b := newHarness(t, Options{})
	b.addUsableTarget("a", 2)
	b.addUsableTarget("b", 2)
	b.submitWith("other", 4, 1, 10*time.Second)
	b.effects()
	b.acceptAndStore(b.jobOfSteps("gang", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true}))
	b.advance(3 * gangReserveDelay)
	must.Positive(t, b.reservations())
	b.setProfiles(shares.Profile{Name: "k", Limit: 1})
	must.Eq(t, 0, b.reservations())
	b.s.reserveForGang(b.now+2*maxReservation, b.s.waiting[0], b.s.waiting[0].steps[0])
	must.Positive(t, b.reservations())
	ledger := b.s.pools["s"].shares.Ledger
	*ledger = *shares.NewLedger([]shares.Profile{{Name: "k", Queues: []string{"k"}, Limit: 0.25, Weight: 1}})
	b.s.placeWaiting(b.now)
	must.Eq(t, 0, b.reservations())
}

// Guards against the jobs of one profile that fit nowhere ending the round for the other profiles.
func TestFailedPlacementsCountByProfile(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 1})
	b.addUsableTarget("a", 100)
	b.submitToQueue("other", 10, 10)
	must.Eq(t, map[string]int{"other": 10}, b.startedQueues())
	for i := range maxFailedPlacements {
		b.submitWith("batch", 1, int64(60-i), 10*time.Second)
	}
	b.submitWith("other", 1, 5, 20*time.Second)
	b.submitWith("other", 1, 5, 20*time.Second)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.endRuns("a", "other", 1)
	must.Eq(t, map[string]int{"other": 2}, b.startedQueues())
}

// Guards against a gang that takes a held target over, and against the end of a hold that frees a target
// which is reserved for another step by then.
func TestHoldAndGangLeaveEachOthersTargets(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.5, Limit: 1})
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	b.submitWith("other", 4, 2, 10*time.Second)
	b.effects()
	b.submitWith("tills", 1, 4, 10*time.Second)
	b.advance(2 * holdDelay)
	h := &b.s.pools["s"].shares.holds[0]
	must.NotNil(t, h.st)
	held, st := h.st.evictionTarget, h.st
	must.Eq(t, 1, len(b.s.availableTargets(b.now, b.s.pools["s"].targets)))
	gang := &step{job: st.job}
	held.reservedFor = gang
	b.s.endHold(h)
	must.Eq(t, gang, held.reservedFor)
	must.Nil(t, st.evictionTarget)
}

// Guards against a profile's waiting work staying too low when tasks of a waiting job come back: the
// forecast would accept jobs for which there is no capacity.
func TestReturnedTaskCountsAsWaiting(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Limit: 1})
	b.addUsableTarget("a", 1)
	b.submitToQueue("tills", 3, 1)
	start := pickEffects[StartRun](b.effects())[0]
	must.Eq(t, 2, b.s.ProfileUses()[0].Waiting)
	b.s.HandleStartAnswer(b.now, "a", start.Run, work.OrderAnswer{Verdict: work.VerdictNoCapacity, ClockMS: 5000})
	must.Eq(t, 3, b.s.ProfileUses()[0].Waiting)
}

// A run that a successor continues waits no longer, also before the next round.
func TestContinuedRunWaitsNoLonger(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "k", Limit: 1})
	b.s.ResumeJob(b.now, b.durableJob("j", 2), Progress{})
	b.s.FinishResume(b.now)
	b.listTargetWithCPU("a", 4)
	b.effects()
	must.Eq(t, 2, b.s.ProfileUses()[0].Waiting)
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(work.RunID{Task: "j.0.0.0", Number: 33})})
	must.Eq(t, 1, b.s.ProfileUses()[0].Waiting)
}

// Guards against leaving free capacity of other owners out of a forecast: it adds to what the profile can
// expect here.
func TestForecastCountsCapacityElsewhere(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "nobody", Limit: 1})
	b.addUsableTarget("a", 4)
	b.submitToQueue("other", 4, 1)
	b.effects()
	j := b.s.newJob(b.now, Submission{
		Ref: 99, Job: work.Job{ID: "j", Steps: []work.Step{{Tasks: 8, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "other", Service: "s", MaxAttempts: 2, Allowance: time.Second},
	})
	before, _ := b.s.forecastStart(b.now, j)
	b.s.CapacityReported(b.now, "owner", "s", FreeCapacity{Tasks: [Priorities]int{4, 4, 4}})
	after, _ := b.s.forecastStart(b.now, j)
	must.Between(t, before/3, after, before*2/3)
}
