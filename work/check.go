package work

import (
	"math"
	"time"

	"github.com/zeebo/errs/v2"
)

// ErrInvalidJob means that a job can't be run as it is. The error says what to change.
const ErrInvalidJob = errs.Tag("invalid job")

// Limits of a job.
const (
	// MaxTasks bounds the tasks of all steps of one occurrence, well above the 170 tasks that jobs are
	// expected to have.
	MaxTasks = 1000
	// MaxAllTasks bounds the tasks of all occurrences. The list of finished tasks has to fit a row of the
	// store, 64 KB, at five bytes a task.
	MaxAllTasks = 8000
	// MaxAmount bounds each resource of a task or a target, so that sums over all of them don't overflow.
	MaxAmount = 1 << 40
	// MaxRunTime bounds the declared run time that counts, maxObjective the objective of a job: multiples of
	// them don't overflow.
	MaxRunTime   = 7 * 24 * time.Hour
	maxObjective = 50 * MaxRunTime
)

// Check reports why a job can't be run: its counts, amounts or dependencies are out of range.
func (j Job) Check() error {
	tasks := 0
	for i, step := range j.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		if tasks += step.Tasks; tasks > MaxTasks {
			return ErrInvalidJob.Errorf("the job has more than %d tasks: send fewer", MaxTasks)
		}
	}
	repeats := j.Recurrence
	if repeats.Count < 0 || repeats.FirstDue < 0 || repeats.Interval < 0 {
		return ErrInvalidJob.Errorf("the job repeats %d times from %v on every %v: send no negative number", repeats.Count, repeats.FirstDue, repeats.Interval)
	}
	if j.Occurrences() > MaxAllTasks || tasks*j.Occurrences() > MaxAllTasks {
		return ErrInvalidJob.Errorf("the job has more than %d tasks in all its occurrences: send fewer", MaxAllTasks)
	}
	return nil
}

// check reports why a step can't be run, which is the job's step of this index.
func (s Step) check(index int) error {
	switch {
	case s.Tasks < 1:
		return ErrInvalidJob.Errorf("step %d has %d tasks: send at least 1", index, s.Tasks)
	case s.Tasks > MaxTasks:
		return ErrInvalidJob.Errorf("step %d has %d tasks: send 1 to %d", index, s.Tasks, MaxTasks)
	case !s.PerTask.IsValid(), s.DeclaredRunTime < 0, s.MaxPerTarget < 0:
		return ErrInvalidJob.Errorf("step %d has a negative amount, or one above %d", index, int64(MaxAmount))
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return ErrInvalidJob.Errorf("step %d comes after step %d: name earlier steps only", index, before)
		}
	}
	return nil
}

// IsValid reports whether all amounts are from 0 to MaxAmount.
func (r Resources) IsValid() bool {
	for _, amount := range []int64{r.CPU, r.MemoryMB, r.GPU} {
		if amount < 0 || amount > MaxAmount {
			return false
		}
	}
	return true
}

// Duration converts a number of units to a duration, the longest one where it would overflow.
func Duration(units float64, unit time.Duration) time.Duration {
	switch d := units * float64(unit); {
	case d >= math.MaxInt64:
		return math.MaxInt64
	case d <= math.MinInt64:
		return math.MinInt64
	default:
		return time.Duration(d)
	}
}

// addDurations returns the sum of two durations, the longest one where it would overflow.
func addDurations(a, b time.Duration) time.Duration {
	switch sum := a + b; {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}
