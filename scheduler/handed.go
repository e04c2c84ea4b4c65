package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Successor identifies the owner that takes running jobs over.
type Successor struct {
	// Owner is its name, as in Delegate.
	Owner string
	// Token and Passed are those of its claim. A VM may own the group again later in the same
	// incarnation, and doesn't know then what became of jobs that it took before.
	Token  int64
	Passed int32
}

// Handover is what a leaving owner passes to its successor.
type Handover struct {
	// From is the entry ID of the leaving VM. Its keepalives count for all jobs.
	From string
	// Ago is how long before the answer the handover was made. All other times are relative to then.
	Ago time.Duration
	// Targets are the targets that were released with runs on them, or that were known without any.
	Targets []HandedTarget
	Jobs    []HandedJob
	// Keepalives is for how much longer the keepalives of entry VMs count.
	Keepalives map[string]time.Duration
	// LastRun is the highest run number that the leaving owner gave.
	LastRun int64
}

// HandedTarget is a target with what the leaving owner knows of its clock and its lease.
type HandedTarget struct {
	work.Target
	// Unlisted says that the registry has no entry of the target.
	Unlisted bool
	// Clock is a value that the target's clock has reached; 0 if it isn't known. LeaseUntil is the
	// latest lease end that was asked for.
	Clock, LeaseUntil int64
	// AllRunsKnown says that the leaving owner knew all runs there and renewed their lease.
	AllRunsKnown bool
	// AnsweredAgo is how long ago the newest answered poll was sent; 0 if there was none.
	AnsweredAgo time.Duration
}

// HandedJob is a job, or what remains of one. The Part of its Submission names the open tasks.
type HandedJob struct {
	Submission Submission
	// Ended says that the job has ended, EndedAgo how long ago; its runs are being stopped.
	Ended    bool
	EndedAgo time.Duration
	// Fails counts the failed runs of tasks, Saved is the work that they have saved, both by the
	// index of the task.
	Fails map[int]int
	Saved map[int]string
	Runs  []HandedRun
}

// RunPhase says what the leaving owner knows of a run.
type RunPhase int

const (
	// PhaseOrdered runs have no answer to their start yet.
	PhaseOrdered RunPhase = iota
	// PhaseRunning runs have begun.
	PhaseRunning
	// PhaseUncertain runs may have begun or may still begin, and are to be stopped.
	PhaseUncertain
	// PhaseStopping runs have begun and are to be stopped.
	PhaseStopping
)

// HandedRun is a run of a task on a target.
type HandedRun struct {
	// Task is the index of the task.
	Task   int
	Number int64
	Target string
	Phase  RunPhase
	// LeaseUntil is the lease end that its start asked for, on the target's clock.
	LeaseUntil int64
	// OrderedAgo is how long ago it was ordered, RunningAgo how long it has been known to run.
	OrderedAgo, RunningAgo time.Duration
	// ResumeFrom is the saved work that it continues from, Saved what it has saved itself.
	ResumeFrom, Saved string
}

// maxHandedBytes bounds the jobs of a handover. A link of 100 Mbit/s carries them in 0.34 s, and the
// successor waits 0.4 s for an answer.
const maxHandedBytes = 4 << 20

// Sizes of a job and of a task in a handover without payload and saved work, rounded up.
const (
	handedJobBytes  = 512
	handedTaskBytes = 128
)

// handoverFilter returns a function that reports whether a job is handed over: the successor can run it,
// and it is among the first ones that fit into maxHandedBytes.
func (s *State) handoverFilter(elsewhere tasksElsewhere) func(*job) bool {
	fits, size := map[*job]bool{}, 0
	for _, j := range s.jobsOnTargets() {
		if !elsewhere.canHandOver(j) {
			continue
		}
		size += handedSize(j)
		fits[j] = size <= maxHandedBytes
	}
	return func(j *job) bool { return fits[j] }
}

// handedSize returns about how many bytes a job takes in a handover.
func handedSize(j *job) int {
	size := handedJobBytes + len(j.sub.Job.Payload)
	for _, t := range j.tasks {
		size += handedTaskBytes + len(t.savedState().value)
		if t.run != nil {
			size += len(t.run.resumeFrom) + len(t.run.saved)
		}
	}
	return size
}
