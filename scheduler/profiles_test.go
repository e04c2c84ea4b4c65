package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// setProfiles puts profiles in force that differ from the last ones.
func (b *harness) setProfiles(profiles ...shares.Profile) {
	for i := range profiles {
		profiles[i].Queues, profiles[i].Weight = []string{profiles[i].Name}, max(profiles[i].Weight, 1)
	}
	next := shares.Profiles{Version: 1, Profiles: profiles}
	must.NoError(b.t, next.Check())
	b.s.SetProfiles(b.now, &next)
}

// submitTo submits a job of a queue whose tasks take 100 ms, and which may wait for a second.
func (b *harness) submitToQueue(queue string, tasks int, cpu int64) Ref {
	return b.submitWith(queue, tasks, cpu, time.Second)
}

func (b *harness) submitWith(queue string, tasks int, cpu int64, allowance time.Duration) Ref {
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Job: work.Job{ID: fmt.Sprintf("%s%d", queue, b.ref), Steps: []work.Step{{Tasks: tasks, PerTask: work.Resources{CPU: cpu}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: queue, Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: allowance},
	})
	return b.ref
}

// startedQueues applies the effects, and counts the starts by queue.
func (b *harness) startedQueues() map[string]int {
	started := map[string]int{}
	for _, start := range pickEffects[StartRun](b.effects()) {
		started[b.s.targets[start.To.ID].runs[start.Run.Task].task.job.sub.Queue.Name]++
	}
	return started
}

// endRuns ends a number of a queue's runs on a target.
func (b *harness) endRuns(target, queue string, n int) {
	t := b.s.targets[target]
	for _, r := range t.sortedRuns() {
		if r.task.job.sub.Queue.Name == queue && n > 0 {
			n--

			b.s.completeRun(b.now, t, r)
		}
	}
}

// A job of a profile below its guarantee starts before more urgent ones of a profile above its own.
func TestProfileBelowGuaranteeGoesFirst(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.25, Limit: 1}, shares.Profile{Name: "bank", Guarantee: 0.25, Limit: 1})
	b.addUsableTarget("a", 4)
	b.submitToQueue("other", 4, 1)
	must.Eq(t, map[string]int{"other": 4}, b.startedQueues(), must.Sprint("unused capacity is lent at once"))
	b.submitToQueue("other", 2, 1)
	b.submitWith("tills", 4, 1, 2*time.Second)
	b.submitWith("bank", 1, 1, 3*time.Second)
	must.MapEmpty(t, b.startedQueues())
	b.endRuns("a", "other", 3)
	must.Eq(t, map[string]int{"tills": 2, "bank": 1}, b.startedQueues(), must.Sprint("a job yields to one below its guarantee"))
}

// Nothing starts beyond a limit. Tasks start again as those before end, and a limit of one profile
// holds up no other.
func TestNothingStartsBeyondLimit(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.5})
	b.addUsableTarget("a", 6)
	b.submitToQueue("batch", 4, 1)
	b.submitToQueue("other", 1, 1)
	must.Eq(t, map[string]int{"batch": 3, "other": 1}, b.startedQueues())
	b.endRuns("a", "batch", 1)
	must.Eq(t, map[string]int{"batch": 1}, b.startedQueues())
}

// Gangs and parts of other owners keep to the limit as well.
func TestLimitHoldsForGangsAndParts(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "k", Limit: 0.5})
	b.addUsableTarget("a", 6)
	starts := pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("first", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true})))
	must.SliceLen(t, 2, starts)
	must.SliceEmpty(t, pickEffects[StartRun](b.acceptAndStore(b.jobOfSteps("second", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true}))))
	b.ref++
	b.s.Submit(b.now, Submission{
		Ref: b.ref, Part: []string{"j.0.0.0"}, Job: work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 2}, DeclaredRunTime: 100 * ms}}},
		Queue: work.Queue{Name: "k", Service: "s", MaxAttempts: 2, Stretch: 2, Allowance: time.Second},
	})
	answer := pickEffects[Answer](b.effects())[0]
	must.Eq(t, work.Refused, answer.Outcome.Result)
}

// When a limit is lowered far below the load, runs go on, the newest waiting jobs are refused at once,
// and nothing starts until the profile is below its limit.
func TestLoweredLimitRefusesNewestWaitingJobs(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 1})
	b.addUsableTarget("a", 10)
	b.submitToQueue("batch", 4, 1)
	must.Eq(t, map[string]int{"batch": 4}, b.startedQueues())
	b.submitToQueue("other", 6, 1)
	must.Eq(t, map[string]int{"other": 6}, b.startedQueues())
	first, second, third := b.submitToQueue("batch", 2, 1), b.submitToQueue("batch", 2, 1), b.submitToQueue("batch", 2, 1)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.7})
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 2, answers)
	for i, ref := range []Ref{third, second} {
		must.Eq(t, ref, answers[i].Ref)
		must.Eq(t, work.Refused, answers[i].Outcome.Result)
	}
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.2})
	answers = pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Eq(t, first, answers[0].Ref)
	must.SliceEmpty(t, pickEffects[StopRun](b.effects()))
	b.submitWith("batch", 1, 1, 3*time.Second)
	b.endRuns("a", "batch", 2)
	must.MapEmpty(t, b.startedQueues())
	b.endRuns("a", "batch", 1)
	must.Eq(t, map[string]int{"batch": 1}, b.startedQueues())
}

// A job that the limit of its profile never lets start is refused with a reason.
func TestTaskAboveLimitIsRefused(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.2})
	b.addUsableTarget("a", 10)
	b.submitToQueue("batch", 1, 3)
	must.StrContains(t, pickEffects[Answer](b.effects())[0].Outcome.Reason, "the limit of profile batch")
}

// A job within its profile's guarantee isn't refused because of the waiting work of others, and one
// beyond it is.
func TestGuaranteedJobIsNotRefusedForOthers(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.5, Limit: 1})
	b.addUsableTarget("a", 10)
	b.submitToQueue("other", 10, 1)
	must.Eq(t, map[string]int{"other": 10}, b.startedQueues())
	for range 10 {
		b.submitWith("other", 10, 1, 500*ms)
	}
	must.SliceNotEmpty(t, pickEffects[Answer](b.effects()), must.Sprint("the others have as much waiting work as is accepted"))
	b.submitWith("tills", 1, 1, 510*ms)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()), must.Sprint("the others' jobs are more urgent"))
	ref := b.submitWith("tills", 3, 1, 100*ms)
	must.SliceEmpty(t, pickEffects[Answer](b.effects()))
	b.submitWith("other", 4, 1, 100*ms)
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Eq(t, ref+1, answers[0].Ref)
	b.submitWith("tills", 40, 1, 100*ms)
	effects := b.effects()
	must.Eq(t, ref+2, pickEffects[Answer](effects)[0].Ref)
	must.SliceContains(t, pickEffects[Count](effects), Count{"profile_refused", "tills"})
}

// A profile at its limit gets what its own long runs free, however fast those of others end.
func TestForecastAtLimitFollowsOwnRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "batch", Limit: 0.2})
	b.addUsableTarget("a", 10)
	submit := func(queue string, tasks int, runs, allowance time.Duration) {
		b.ref++
		b.s.Submit(b.now, Submission{
			Ref: b.ref, Job: work.Job{ID: fmt.Sprint(b.ref), Steps: []work.Step{{Tasks: tasks, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: runs}}},
			Queue: work.Queue{Name: queue, Service: "s", MaxAttempts: 2, Stretch: 1, Allowance: allowance},
		})
	}
	submit("batch", 2, 2*time.Second, time.Second)
	submit("other", 7, 10*ms, time.Second)
	must.Eq(t, map[string]int{"batch": 2, "other": 7}, b.startedQueues())
	submit("batch", 1, 2*time.Second, 300*ms)
	answers := pickEffects[Answer](b.effects())
	must.SliceLen(t, 1, answers)
	must.Between(t, 500*ms, answers[0].Outcome.RetryAfter, 2*time.Second)
}

// A successor counts the runs that it continues: the profile is at its limit at once.
func TestSuccessorCountsContinuedRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "k", Limit: 0.5})
	b.s.ResumeJob(b.now, b.durableJob("j", 2), Progress{})
	b.s.FinishResume(b.now)
	b.listTargetWithCPU("a", 4)
	b.effects()
	b.answerPoll("a", work.PollAnswer{ClockMS: 5000, Running: listing(work.RunID{Task: "j.0.0.0", Number: 33}, work.RunID{Task: "j.0.0.1", Number: 33})})
	must.SliceEmpty(t, pickEffects[StartRun](b.acceptAndStore(b.durableJob("second", 1))))
	must.Eq(t, []ProfileUse{{Service: "s", Profile: "k", Share: 0.5, Waiting: 1}, {Service: "s", Profile: shares.RestName}}, b.s.ProfileUses())
}

// The runs of a target that leaves count no more than its capacity.
func TestLeavingTargetTakesItsRunsAlong(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.5, Limit: 1})
	b.addUsableTarget("a", 4)
	b.submitToQueue("tills", 4, 1)
	b.startedQueues()
	b.addUsableTarget("b", 4)
	must.Eq(t, 0.5, b.s.ProfileUses()[0].Share)
	b.listTarget(work.Target{ID: "a", Capacity: work.Resources{CPU: 4}, Draining: true})
	must.Eq(t, 0, b.s.ProfileUses()[0].Share)
	b.submitToQueue("other", 3, 1)
	b.submitToQueue("tills", 2, 1)
	must.Eq(t, map[string]int{"tills": 2, "other": 2}, b.startedQueues())
}

// A profile below its guarantee gets a place for a large task, although smaller tasks of others fit into
// each place that becomes free.
func TestLargeTaskOfGuaranteedProfileGetsPlace(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.5, Limit: 1})
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	b.submitToQueue("other", 4, 2)
	must.Eq(t, map[string]int{"other": 4}, b.startedQueues())
	b.submitToQueue("tills", 1, 4)
	for range 6 {
		b.submitWith("other", 2, 2, 10*time.Second)
	}
	b.effects()
	b.advance(2 * holdDelay)
	started := map[string]int{}
	for range 3 {
		for _, target := range []string{"a", "b"} {
			b.endRuns(target, "other", 1)
			for queue, n := range b.startedQueues() {
				started[queue] += n
			}
		}
	}
	must.Eq(t, 1, started["tills"])
	must.Greater(t, 2, started["other"], must.Sprint("the other target isn't held"))
}

// A hold ends with its target, and after a while where the target's runs last.
func TestHoldEnds(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Guarantee: 0.5, Limit: 1})
	b.addUsableTarget("a", 4)
	b.addUsableTarget("b", 4)
	b.submitWith("other", 4, 2, 10*time.Second)
	b.effects()
	b.submitWith("tills", 1, 4, 10*time.Second)
	b.advance(2 * holdDelay)
	held := func() (ids []string) {
		for _, target := range b.s.sortedTargets() {
			if target.reservedFor != nil {
				ids = append(ids, target.ID)
			}
		}
		return ids
	}
	must.SliceLen(t, 1, held())
	st := b.s.targets[held()[0]].reservedFor
	b.s.loseTarget(b.now, b.s.targets[held()[0]], "gone")
	must.Nil(t, st.evictionTarget)
	b.advance(40 * ms)
	must.SliceLen(t, 1, held())
	b.s.expireHold(b.now+holdTimeout, &b.s.pools["s"].shares.holds[0])
	must.SliceEmpty(t, held())
	b.s.holdTarget(b.now+holdTimeout, st.job, st)
	must.SliceEmpty(t, held())
	b.s.holdTarget(b.now+2*holdTimeout, st.job, st)
	must.SliceLen(t, 1, held())
	b.s.SetProfiles(b.now, &shares.Profiles{Version: 9})
	must.SliceEmpty(t, held())
}

// BenchmarkTaskWithProfiles measures the same decisions as BenchmarkTask under as many profiles as are
// allowed.
func BenchmarkTaskWithProfiles(b *testing.B) {
	p := &shares.Profiles{Version: 1}
	for i := range shares.MaxProfiles {
		p.Profiles = append(p.Profiles, shares.Profile{Name: fmt.Sprint(i), Queues: []string{fmt.Sprint(i)}, Guarantee: 0.5 / shares.MaxProfiles, Limit: 1, Weight: 1})
	}
	p.Profiles[0].Queues = []string{"q"}
	for _, targets := range []int{117, 1167} {
		b.Run(fmt.Sprintf("places=%d", 3*targets), func(b *testing.B) { benchmarkTasks(b, targets, Options{}, p) })
	}
}
