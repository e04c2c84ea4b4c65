// Package api defines the JSON messages of the HTTP interface for callers.
//
// docs/API.md describes the interface with examples.
package api

import "encoding/json"

// Header names of the callers' interface.
const (
	// HeaderEpoch carries, on every response, the epoch token for new keys.
	HeaderEpoch = "Burdockward-Epoch"
	// HeaderDomain carries, on every response, the failure domain of the VM.
	HeaderDomain = "Burdockward-Failure-Domain"
	// HeaderRunner names the VM that ran or refused the submission.
	HeaderRunner = "Burdockward-Runner"
)

// Limits of one submission. A larger body is refused before it is read whole.
const (
	// MaxTasks is the largest number of tasks of one submission.
	MaxTasks = 170
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 4 << 20
)

// Submission is the body of POST /v1/submissions.
type Submission struct {
	// Key identifies the submission: "<failure domain>.<epoch>.<unique>".
	Key string `json:"key"`
	// Profile names the profile that the service picked.
	Profile string `json:"profile"`
	// DeadlineMS bounds the time to the answer in milliseconds; 0 takes the
	// profile's deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent says that the caller may safely submit the work again under a
	// new key. It changes only the remedy that a failure names, never the number
	// of starts.
	Idempotent bool `json:"idempotent,omitempty"`
	// Tasks are run in parallel; results keep their order.
	Tasks Tasks `json:"tasks"`
}

// Task is one unit of work of a submission.
type Task struct {
	// Payload is passed to the target unchanged.
	Payload json.RawMessage `json:"payload"`
	// ExpectedMS is the caller's estimate of the run time in milliseconds; 0 is
	// unknown. Such estimates are often far off, so they serve only as the start
	// value of the learned run time.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
}

// Answer is the body of a successful response. It always holds every result.
type Answer struct {
	Key     string            `json:"key"`
	Results []json.RawMessage `json:"results"`
}

// RunState says whether any task of a failed submission was started.
type RunState string

// The run states of a failure.
const (
	// NotRun means that no task was started, and none will be under this key.
	NotRun RunState = "not_run"
	// Failed means that tasks were started and the submission failed.
	Failed RunState = "failed"
	// OutcomeUnknown means that the VM can't know whether tasks were started.
	OutcomeUnknown RunState = "outcome_unknown"
	// Completed means that every task ran, but the answer is no longer kept.
	Completed RunState = "completed"
)

// Kind is the type of a failure. docs/API.md lists the kinds with their remedies.
type Kind string

// The kinds of failure.
const (
	KindMalformed        Kind = "malformed"
	KindTooLarge         Kind = "too_large"
	KindInvalidKey       Kind = "invalid_key"
	KindKeyExpired       Kind = "key_expired"
	KindKeyConflict      Kind = "key_conflict"
	KindWrongDomain      Kind = "wrong_failure_domain"
	KindUnknownProfile   Kind = "unknown_profile"
	KindNeverRunnable    Kind = "never_runnable"
	KindDeadlineTooShort Kind = "deadline_too_short"
	KindOverloaded       Kind = "overloaded"
	KindDraining         Kind = "draining"
	KindUnavailable      Kind = "unavailable"
	KindDeadlineExceeded Kind = "deadline_exceeded"
	KindTaskFailed       Kind = "task_failed"
	KindTargetLost       Kind = "target_lost"
	KindRunnerLost       Kind = "runner_lost"
	KindCancelled        Kind = "cancelled"
	KindNotFound         Kind = "not_found"
	KindAnswerExpired    Kind = "answer_expired"
	KindInternal         Kind = "internal"
)

// Failure is a typed failure whose message names the remedy.
type Failure struct {
	Kind    Kind     `json:"kind"`
	Message string   `json:"message"`
	Run     RunState `json:"run"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; 0 means
	// that a retry does not help. The Retry-After header carries it in seconds.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Key          string `json:"key,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Message }

// FailureBody is the body of every unsuccessful response.
type FailureBody struct {
	Error *Failure `json:"error"`
}

// Status is the body of GET /v1/submissions/{key}.
type Status struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Runner string `json:"runner,omitempty"`
	Tasks  int    `json:"tasks,omitempty"`
	Done   int    `json:"done,omitempty"`
}
