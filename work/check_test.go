package work

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawCount draws a count or an amount, often one at which sums overflow.
func drawCount(t *rapid.T, name string) int {
	return rapid.SampledFrom([]int{0, 1, 2, 7, 170, MaxTasks, MaxTasks + 1, MaxAllTasks, 1 << 31, 1 << 62, math.MaxInt64, -1, math.MinInt64}).Draw(t, name)
}

// A job that passes its check has few tasks in all, each of which asks for what sums can hold. A count that
// overflows would have an owner make as many tasks as memory holds.
func TestFuzzCheckedJobsHaveFewTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		job := Job{Recurrence: Recurrence{Count: drawCount(rt, "occurrences")}}
		for range rapid.IntRange(0, 5).Draw(rt, "steps") {
			job.Steps = append(job.Steps, Step{
				Tasks: drawCount(rt, "tasks"), PerTask: Resources{CPU: int64(drawCount(rt, "cpu")), MemoryMB: int64(drawCount(rt, "memory")), GPU: int64(drawCount(rt, "gpu"))},
				DeclaredRunTime: time.Duration(drawCount(rt, "run time")), MaxPerTarget: drawCount(rt, "spread"),
			})
		}
		if err := job.Check(); err != nil {
			must.ErrorIs(rt, err, ErrInvalidJob)
			return
		}
		must.GreaterEq(rt, 1, job.Occurrences())
		must.LessEq(rt, MaxAllTasks, job.Occurrences())
		all := 0
		for _, step := range job.Steps {
			must.Between(rt, 1, step.Tasks, MaxTasks)
			must.True(rt, step.PerTask.IsValid())
			all += step.Tasks
		}
		must.LessEq(rt, MaxTasks, all)
		must.LessEq(rt, MaxAllTasks, all*job.Occurrences())
		must.GreaterEq(rt, 0, job.CriticalPath())
	})
}

// Times beyond what a duration holds count as the longest one: a job that is due in the year 9999 is not due now.
func TestTimesBeyondRangeAreTheLongest(t *testing.T) {
	must.Eq(t, math.MaxInt64, Duration(253402300799000, time.Millisecond))
	must.Eq(t, math.MinInt64, Duration(-1e300, time.Second))
	must.Eq(t, 1500*time.Microsecond, Duration(1.5, time.Millisecond))
	far := Recurrence{Count: 3, FirstDue: math.MaxInt64 - time.Hour, Interval: time.Hour}
	must.Eq(t, math.MaxInt64-time.Hour, far.DueAt(0))
	must.Eq(t, math.MaxInt64, far.DueAt(1))
	must.Eq(t, math.MaxInt64, far.DueAt(2))
	must.Eq(t, math.MaxInt64, Recurrence{Count: 9, Interval: math.MaxInt64 / 2}.DueAt(8))
	must.Eq(t, maxObjective, Queue{Stretch: 1e300, Allowance: time.Second}.Objective(time.Second))
	must.Eq(t, 3*time.Second, Queue{Stretch: 2, Allowance: time.Second}.Objective(time.Second))
	steps := []Step{{DeclaredRunTime: math.MaxInt64}, {DeclaredRunTime: math.MaxInt64, DependsOn: []int{0}}}
	must.Eq(t, 2*MaxRunTime, Job{Steps: steps}.CriticalPath())
}
