package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// wideJob is a job of many tasks that no target has capacity for at the moment.
func wideJob(id string, tasks int) work.Job {
	return work.Job{ID: id, Steps: []work.Step{{Tasks: tasks, PerTask: work.Resources{CPU: 1000}, DeclaredRunTime: time.Second}}}
}

// outcomesOf returns the outcomes of submissions among the effects.
func outcomesOf(effects []Effect) map[Ref]work.Outcome {
	outcomes := map[Ref]work.Outcome{}
	for _, effect := range effects {
		if answer, ok := effect.(Answer); ok {
			outcomes[answer.Ref] = answer.Outcome
		}
	}
	return outcomes
}

func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	limit := 2*memoryOf(wideJob("1", 100)) + memoryOf(wideJob("1", 1))
	s := New(Options{MaxJobBytes: limit})
	s.FinishResume(0)
	for ref := range 3 {
		s.Submit(0, Submission{Ref: Ref(ref + 1), Job: wideJob(fmt.Sprint(ref), 100), Queue: work.Queue{Service: "s", MaxAttempts: 1, Stretch: 100, Allowance: time.Hour}})
	}
	outcomes := outcomesOf(s.Effects(0))
	must.MapLen(t, 1, outcomes)
	must.Eq(t, work.Refused, outcomes[3].Result)
	must.Positive(t, outcomes[3].RetryAfter)
	// A small job still fits, and so does a large one after another has ended.
	s.Submit(0, Submission{Ref: 4, Job: wideJob("4", 1), Queue: work.Queue{Service: "s", MaxAttempts: 1, Stretch: 100, Allowance: time.Hour}})
	must.MapEmpty(t, outcomesOf(s.Effects(0)))
	s.Cancel(0, 1)
	s.Submit(0, Submission{Ref: 5, Job: wideJob("5", 100), Queue: work.Queue{Service: "s", MaxAttempts: 1, Stretch: 100, Allowance: time.Hour}})
	must.MapNotContainsKey(t, outcomesOf(s.Effects(0)), Ref(5))
}

// A job larger than the memory for all is taken while there is no other.
func TestLargestJobIsTakenAlone(t *testing.T) {
	s := New(Options{MaxJobBytes: 1})
	s.FinishResume(0)
	s.Submit(0, Submission{Ref: 1, Job: wideJob("1", 100), Queue: work.Queue{Service: "s", MaxAttempts: 1, Stretch: 100, Allowance: time.Hour}})
	must.MapEmpty(t, outcomesOf(s.Effects(0)))
}

// Whatever is submitted and cancelled, the memory counted is that of the jobs that have not ended, and at most one
// job is beyond the bound.
func TestFuzzJobMemoryIsThatOfOpenJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(100_000)
		s := New(Options{MaxJobBytes: limit})
		s.FinishResume(0)
		now := time.Duration(0)
		for ref := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "submit") {
				job := wideJob(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), rapid.IntRange(1, 200).Draw(t, "tasks"))
				queue := work.Queue{Service: "s", MaxAttempts: 1, Stretch: 3, Allowance: time.Duration(rapid.IntRange(1, 5).Draw(t, "allowance")) * time.Second}
				s.Submit(now, Submission{Ref: Ref(ref + 1), Job: job, Queue: queue})
			} else {
				s.Cancel(now, Ref(rapid.IntRange(1, ref+1).Draw(t, "ref")))
			}
			s.Tick(now)
			held := int64(0)
			for _, j := range s.jobsByKey {
				held += memoryOf(j.sub.Job)
			}
			must.Eq(t, held, s.jobBytes)
			if len(s.jobsByKey) > 1 {
				must.LessEq(t, limit, held)
			}
			s.Effects(now)
		}
	})
}

// A job that repeats takes memory for the tasks of all its occurrences from the start, though none is due.
func TestRepeatedJobsBeyondTheMemoryAreRefused(t *testing.T) {
	repeated := wideJob("1", 1)
	repeated.Durable = true
	repeated.Recurrence = work.Recurrence{Count: 7200, FirstDue: time.Hour, Interval: 10 * time.Second}
	must.Greater(t, 7200*taskStateBytes, memoryOf(repeated))
	s := New(Options{MaxJobBytes: 3 * memoryOf(repeated)})
	s.FinishResume(0)
	for ref := range 5 {
		job := repeated
		job.ID = fmt.Sprint(ref)
		s.Submit(0, Submission{Ref: Ref(ref + 1), Job: job, Queue: work.Queue{Service: "s", MaxAttempts: 1, Stretch: 3, Allowance: time.Second}})
	}
	refused := outcomesOf(s.Effects(0))
	must.MapLen(t, 2, refused)
	for ref := range refused {
		must.Eq(t, work.Refused, refused[ref].Result)
	}
}
