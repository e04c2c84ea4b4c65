package work

// State is what is known of a kept job.
type State int

// The states of kept jobs. The last three are final.
const (
	// StateAbsent says that there is no such job.
	StateAbsent State = iota
	// StateQueued jobs have no task that has begun.
	StateQueued
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// Final reports whether a state stays as it is.
func (s State) Final() bool { return s >= StateCompleted }

var stateNames = map[State]string{
	StateAbsent: "absent", StateQueued: "queued", StateRunning: "running",
	StateCompleted: "completed", StateFailed: "failed", StateCancelled: "cancelled",
}

// String names the state in logs and to callers.
func (s State) String() string { return stateNames[s] }
