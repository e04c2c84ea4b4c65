package work

// JobState is the state of a durable job.
type JobState int

// The states of durable jobs. Those from StateCompleted on are final.
const (
	// StateAbsent means that there is no such job.
	StateAbsent JobState = iota
	// StateQueued means that no task of the job has started.
	StateQueued
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
	// StateWithdrawn means that the job was cancelled before it was stored, and will never be. Callers
	// are told that there is no such job.
	StateWithdrawn
)

// IsFinal reports whether the state can't change any more.
func (s JobState) IsFinal() bool { return s >= StateCompleted }

var stateNames = map[JobState]string{
	StateAbsent: "absent", StateQueued: "queued", StateRunning: "running",
	StateCompleted: "completed", StateFailed: "failed", StateCancelled: "cancelled", StateWithdrawn: "withdrawn",
}

// String returns the name of the state in logs and in answers to callers.
func (s JobState) String() string { return stateNames[s] }
