package work

// JobState is the state of a durable job.
type State int

// The states of durable jobs. The last three are final.
const (
	// StateAbsent means that there is no such job.
	StateAbsent State = iota
	// StateQueued means that no task of the job has started.
	StateQueued
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// IsFinal reports whether the state can't change any more.
func (s State) Final() bool { return s >= StateCompleted }

var stateNames = map[State]string{
	StateAbsent: "absent", StateQueued: "queued", StateRunning: "running",
	StateCompleted: "completed", StateFailed: "failed", StateCancelled: "cancelled",
}

// String returns the name of the state in logs and in answers to callers.
func (s State) String() string { return stateNames[s] }
