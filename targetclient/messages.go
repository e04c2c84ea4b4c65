package targetclient

import (
	"encoding/json"
	"fmt"
	"time"
)

// Load is the state of a target; every answer of a target contains it.
type Load struct {
	// Running is the number of tasks that run, Slots the largest number that may.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Leaving says that the target takes no new tasks.
	Leaving bool `json:"leaving"`
}

type leaseRequest struct {
	Holder string `json:"holder"`
}

type leaseRefusal struct {
	Reason Reason `json:"reason"`
}

// Holder returns the name of an entry VM's process as a holder of leases.
func Holder(vmID string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", vmID, incarnation)
}

// Lease permits its holder to start tasks at a target. Each start renews it.
type Lease struct {
	// ID is sent with each start.
	ID string `json:"lease"`
	// TTLMS is the time to live in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	Load
}

// TTL returns the time to live of the lease.
func (l Lease) TTL() time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// StartRequest asks a target to run one task.
type StartRequest struct {
	// Submission is the submission key and Task the task's index in it.
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	// Lease is the id of the holder's lease at this target.
	Lease string `json:"lease"`
	// RunLimitMS is the run time after which the target stops the task, in milliseconds;
	// 0 means never.
	RunLimitMS int64 `json:"run_limit_ms"`
	// Limits names the limits and quotas of which the task holds a unit. The target only
	// repeats them in answers to Revoke. It is never nil.
	Limits []string `json:"limits"`
	// Payload is the caller's payload, unchanged.
	Payload json.RawMessage `json:"payload"`
}

// Outcome says how a started task ended.
type Outcome string

// The outcomes of a started task.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"

	outcomeNotStarted Outcome = "not_started"
)

// StartResponse reports the end of a started task.
type StartResponse struct {
	Outcome Outcome
	// Result is set when the outcome is OutcomeDone.
	Result json.RawMessage
	// Error is set when the outcome is OutcomeFailed.
	Error string
	Load
}

type startAnswer struct {
	Submission string          `json:"submission"`
	Task       *int            `json:"task"`
	Outcome    Outcome         `json:"outcome"`
	Reason     Reason          `json:"reason"`
	Result     json.RawMessage `json:"result"`
	Error      string          `json:"error"`
	Load
}

// TaskID names a task of a submission.
type TaskID struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
}

type stopRequest struct {
	Tasks      []TaskID `json:"tasks"`
	Checkpoint bool     `json:"checkpoint"`
}

type stopAnswer struct {
	Stopped int `json:"stopped"`
}

// Reason says why a task was not started or a lease was refused.
type Reason string

// The reasons. A target gives the first three, this client the others.
const (
	ReasonLeaseLapsed Reason = "lease_lapsed"
	ReasonLeaving     Reason = "leaving"
	ReasonFull        Reason = "full"
	// ReasonUnreachable means that no connection could be opened or written to.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCancelled means that the caller's context ended before the first byte.
	ReasonCancelled Reason = "cancelled"
)

// NotStartedError means that the task has not begun and will not begin. It may be started
// at another target.
type NotStartedError struct {
	Address string
	Reason  Reason
	// Load is the target's state when the target refused the task, else nil.
	Load *Load
	// Err is the cause when the request was not sent, else nil.
	Err error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	text := fmt.Sprintf("target %s did not start the task (%s): place it elsewhere", e.Address, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// UnknownOutcomeError means that the task may have begun. It must not be started again.
type UnknownOutcomeError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("target %s may have run the task, do not start it again: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// LeaseRefusedError means that a target refused a lease.
type LeaseRefusedError struct {
	Address string
	Reason  Reason
}

// Error implements error.
func (e *LeaseRefusedError) Error() string {
	return fmt.Sprintf("target %s refused a lease (%s): use another target", e.Address, e.Reason)
}
