// Package work defines the types that the other packages share: jobs with their steps and
// tasks, the queues that callers submit them to, the targets that run the tasks, the orders
// sent to targets with the answers, and the outcomes that callers get.
//
// It decides nothing and does no I/O. Times of day are durations since 1970. The JSON names of
// Job, Step, Recurrence and Queue are those of stored jobs.
package work

import "time"

// Resources is an amount of each resource that a target divides among its runs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64
	// MemoryMB is in megabytes.
	MemoryMB int64
	// GPU is in whole accelerators.
	GPU int64
}

// FitsIn reports whether the free resources include the resources r.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Sub returns r less the other amount.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Step is a group of equal tasks of a job.
type Step struct {
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// PerTask is what one task takes of its target.
	PerTask Resources `json:"Each"`
	// DeclaredRunTime is the caller's estimate of a task's run time; it may be far off.
	DeclaredRunTime time.Duration `json:"Estimate"`
	// DependsOn lists the indexes of earlier steps, whose tasks must all be done first.
	DependsOn []int `json:"After"`
	// RequiredLabel must be among the target's labels; empty means any target.
	RequiredLabel string `json:"Label"`
	// PreferredRack is the label of the rack where the task's data lies; empty means any.
	PreferredRack string `json:"Rack"`
	// MaxPerTarget bounds the step's tasks on one target; 0 means no bound.
	MaxPerTarget int `json:"Spread"`
	// Gang tasks work only together: all of them run, or none does.
	Gang bool
	// PreferOneRack is set for gangs that take much longer on more than one rack.
	PreferOneRack bool `json:"OneRack"`
	// Background tasks use the processor time that others leave unused. Their processor
	// isn't counted against a target's capacity.
	Background bool `json:"Fills"`
	// LatencySensitive tasks have users of their own, whom background tasks on the same
	// target would slow down.
	LatencySensitive bool `json:"Serves"`
	// Lasting tasks run until their job is cancelled, and are restarted however they end.
	Lasting bool
	// KeepAvailable is set if not all lasting tasks of the step may be down at a time by decisions of this
	// system.
	KeepAvailable bool `json:",omitempty"`
}

// Job is what a caller submits.
type Job struct {
	// ID is chosen by the caller; two submissions with one ID are the same job.
	ID string
	// Payload is given to each task unchanged.
	Payload string
	// Steps has at least one step.
	Steps []Step
	// Recurrence has the steps run at set times; the zero value runs them once, immediately.
	Recurrence Recurrence `json:"Repeats"`
	// Durable jobs are stored before they are accepted, and are finished whichever VM or
	// target fails. Their callers ask for their state later. All other jobs are answered
	// when they have ended.
	Durable bool `json:"Kept"`
}

// Recurrence says when the steps of a job run. Occurrences may overlap.
type Recurrence struct {
	// Count is the number of occurrences; 0 means a single one that is due immediately.
	Count int
	// FirstDue is when the first occurrence is due, since 1970.
	FirstDue time.Duration `json:"First"`
	// Interval is the time from one occurrence to the next.
	Interval time.Duration
}

// DueAt returns when an occurrence, counted from 0, is due, since 1970; 0 means immediately.
func (r Recurrence) DueAt(occurrence int) time.Duration {
	if r.Count == 0 {
		return 0
	}
	return addDurations(r.FirstDue, Duration(float64(occurrence), r.Interval))
}

// Occurrences returns how many times the steps of the job run.
func (j Job) Occurrences() int { return max(j.Recurrence.Count, 1) }

// TaskCount returns the number of tasks in all steps of one occurrence.
func (j Job) TaskCount() int {
	tasks := 0
	for _, step := range j.Steps {
		tasks += step.Tasks
	}
	return tasks
}

// What a job takes in memory beside its texts.
const (
	jobBytes  = 512
	stepBytes = 256
)

// Bytes returns about how much memory the job takes, without the state of its tasks.
func (j Job) Bytes() int64 {
	bytes := jobBytes + len(j.ID) + len(j.Payload)
	for _, step := range j.Steps {
		bytes += stepBytes + len(step.RequiredLabel) + len(step.PreferredRack) + 8*len(step.DependsOn)
	}
	return int64(bytes)
}

// CriticalPath returns the declared run time of the longest chain of dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, step := range j.Steps {
		begin := time.Duration(0)
		for _, before := range step.DependsOn {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + min(step.DeclaredRunTime, MaxRunTime)
		longest = max(longest, ends[i])
	}
	return longest
}

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name string
	// Service names the targets that run the queue's tasks.
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch times the critical path, plus Allowance, is the objective for the time from
	// the caller's first send to the answer.
	Stretch   float64
	Allowance time.Duration
	// RequestTimeout bounds the time of a request; 0 means no bound.
	RequestTimeout time.Duration `json:"Timeout"`
	// RequiresAdvice has tasks run only on targets that the adviser allows.
	RequiresAdvice bool `json:"Advised"`
}

// Objective returns the time within which a job with this critical path should be answered.
func (q Queue) Objective(criticalPath time.Duration) time.Duration {
	return min(addDurations(Duration(q.Stretch, criticalPath), q.Allowance), maxObjective)
}

// Target is one incarnation of a process that runs tasks.
type Target struct {
	// ID may be the same for several incarnations: Incarnation tells them apart.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Capacity      Resources
	// Labels are the labels of the target's kind and of its rack.
	Labels []string
	// Rack is the label of the rack alone.
	Rack string
	// Draining targets take no new tasks.
	Draining bool
	// WarmUpLeft is how much longer the target is slow after its start.
	WarmUpLeft time.Duration
	// Incarnation is when the target started, in milliseconds since 1970; 0 if the platform
	// doesn't report it. A target that restarts under its ID has forgotten its runs, its
	// completions and the fencing token.
	Incarnation int64
}

// Result is how a submission ended.
type Result int

// The results of a submission.
const (
	// Unknown means that tasks may have run and that nobody will finish the rest. The caller
	// may send the job again.
	Unknown Result = iota
	// Completed means that all tasks are done.
	Completed
	// Failed means that a task failed as often as its queue allows.
	Failed
	// Refused means that nothing was started and nothing will be.
	Refused
	// Moved means that nothing was started here and that another VM now owns the targets.
	// Callers never see it.
	Moved
	// Accepted means that a durable job is in the store.
	Accepted
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	switch r {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Moved:
		return "moved"
	case Accepted:
		return "accepted"
	default:
		return "unknown"
	}
}

// Outcome is the result of a submission with the reason for it.
type Outcome struct {
	Result Result
	// Reason says why in a few words, for logs and callers.
	Reason string
	// RetryAfter is how soon a refused job is likely to be accepted; 0 means not known.
	RetryAfter time.Duration
	// ForecastWait is the wait that was forecast for a refused job, where RetryAfter is a return time
	// and not that wait; else 0.
	ForecastWait time.Duration
}
