package scheduler

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// replayWorld plays one world from its seed, with all checks of its fuzz test.
func replayWorld(t *testing.T, seed string, play func(rt *rapid.T)) {
	t.Helper()
	setChecks(t, 1)
	must.NoError(t, flag.Set("rapid.seed", seed))
	defer func() { _ = flag.Set("rapid.seed", "1") }()
	rapid.Check(t, play)
}

// No task of a caller's job fails it as poisoned where other jobs crash all targets.
func TestCallersJobIsPoisonedByOthers(t *testing.T) {
	replayWorld(t, "1312393", func(rt *rapid.T) { playOwnership(rt, nil) })
}

// No harmless job fails as poisoned beside jobs that crash their targets.
func TestHarmlessJobIsPoisonedBesidePoisonJobs(t *testing.T) {
	replayWorld(t, "34898", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}

// Every durable job ends once the faults are over.
func TestDurableJobsWaitForever(t *testing.T) {
	replayWorld(t, "514593", func(rt *rapid.T) { playDurableJobs(rt, nil) })
}

// Every durable job ends once the faults are over, in a world with several takeovers.
func TestDurableJobWaitsAfterTakeovers(t *testing.T) {
	replayWorld(t, "233222", func(rt *rapid.T) { playDurableJobs(rt, nil) })
}

// A repeated job ends after its targets were lost.
func TestRepeatedJobWaitsAfterLostTargets(t *testing.T) {
	replayWorld(t, "182303", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}

// No durable job fails as poisoned for one run at a target that restarts again and again.
func TestRestartsOfOneTargetPoisonJob(t *testing.T) {
	replayWorld(t, "1226759", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}

// A caller's job does not fail as poisoned for one lost target and one that was gone before.
func TestTargetGoneBeforePoisonsJob(t *testing.T) {
	replayWorld(t, "1118918", func(rt *rapid.T) { playOwnership(rt, nil) })
}

// No harmless job fails as poisoned at an owner that doesn't know of its successor.
func TestSuccessorUsesTargetOfIsolatedRun(t *testing.T) {
	replayWorld(t, "2022369", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}

// A caller's job fails as poisoned if two targets crashed while the same task ran there.
func TestTwoLostTargetsPoisonJob(t *testing.T) {
	replayWorld(t, "35134428", func(rt *rapid.T) { playOwnership(rt, nil) })
}

// No harmless job fails as poisoned for a run that began after an unnoticed restart of its target.
func TestRunAfterUnnoticedRestartPoisonsJob(t *testing.T) {
	replayWorld(t, "81022794", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}

// A task of a durable job that failed as often as its queue allows is not started again.
func TestTaskStartsBeyondItsFailures(t *testing.T) {
	replayWorld(t, "124199160", func(rt *rapid.T) { playDurableJobs(rt, nil) })
}

// A completion that a target lists while the store can't answer is not lost: its task is done, and
// doesn't start again once the store answers.
func TestTaskStartsAfterCompletionIsAcknowledged(t *testing.T) {
	replayWorld(t, "4376179", func(rt *rapid.T) { playRestartsBesidePreviousOwners(rt, nil) })
}

// A completion isn't acknowledged after its task has started again elsewhere.
func TestCompletionIsAcknowledgedAfterTaskStartsAgain(t *testing.T) {
	replayWorld(t, "6732689", func(rt *rapid.T) { playRestartsBesidePreviousOwners(rt, nil) })
}

// A run that a successor takes over isn't given up while the lease lasts that its predecessor asked for.
func TestInheritedRunIsGivenUpBeforeItsLease(t *testing.T) {
	replayWorld(t, "3404", func(rt *rapid.T) { playRestartsBesidePreviousOwners(rt, nil) })
}

// A durable job ends although one of its runs never ends on a target that hung for a moment: the run is
// stopped as stuck and started again.
func TestDurableJobEndsBesideStuckRun(t *testing.T) {
	replayWorld(t, "124032", func(rt *rapid.T) { playSuccessions(rt, nil) })
}

// No task of a durable job crashes more targets than allowed, where few others can run it and their crashes are
// noticed late.
func TestDurableJobCrashesOneTargetTooMany(t *testing.T) {
	replayWorld(t, "670111", func(rt *rapid.T) { playCrashing(rt, true, nil) })
}
