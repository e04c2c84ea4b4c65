package work

import "time"

// Verdict classifies the result of an order, which is a start, a stop or a poll that an owner
// sends to a target.
type Verdict int

// The verdicts of orders.
const (
	// VerdictUnknown means that no usable answer came: the target may have carried out the
	// order, or may still do so.
	VerdictUnknown Verdict = iota
	// VerdictDone means that the target carried out the order, now or earlier.
	VerdictDone
	// VerdictUnsent means that the order never left this VM.
	VerdictUnsent
	// VerdictFenced means that the target has seen a higher fencing token.
	VerdictFenced
	// VerdictStaleRun means that on this target the run, or a later run of its task, has
	// already ended.
	VerdictStaleRun
	// VerdictLeaseExpired means that the requested lease is already over on the target's clock.
	VerdictLeaseExpired
	// VerdictNoCapacity means that the task doesn't fit on the target.
	VerdictNoCapacity
	// VerdictMisdirected means that another incarnation of the target answers at its address.
	VerdictMisdirected
	// VerdictUnhealthy means that the target did nothing and asks for no orders for now.
	VerdictUnhealthy
	// VerdictInvalid means that the target rejects the order as malformed.
	VerdictInvalid
	// VerdictStaleToken means that the target did nothing, because it has seen a newer
	// token of the same owner. The order can be sent again.
	VerdictStaleToken
	// VerdictInvalidTicket means that the target doesn't accept the adviser's ticket.
	VerdictInvalidTicket
	// VerdictConnectionLost means the same as VerdictUnknown, and that no answer will come,
	// because the connection broke.
	VerdictConnectionLost
)

var verdictNames = map[Verdict]string{
	VerdictUnknown: "unknown", VerdictDone: "done", VerdictUnsent: "unsent", VerdictFenced: "fenced",
	VerdictStaleRun: "old", VerdictLeaseExpired: "late", VerdictNoCapacity: "room", VerdictMisdirected: "gone",
	VerdictUnhealthy: "unhealthy", VerdictInvalid: "invalid", VerdictStaleToken: "overtaken",
	VerdictInvalidTicket: "ticket", VerdictConnectionLost: "broken",
}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// TargetAddress identifies one incarnation of a target and says where to reach it.
type TargetAddress struct {
	ID, Address string
}

// RunID identifies one start of a task. Later runs of a task have higher numbers.
type RunID struct {
	Task   string
	Number int64
}

// StartOrder tells a target to start a run.
type StartOrder struct {
	Run RunID
	// Payload is the payload of the job.
	Payload string
	// SavedState is what an earlier run of the task saved of its work; empty if none did.
	SavedState string
	// Ticket is the adviser's ticket for this target; empty if the queue needs no advice.
	Ticket string
	// LeaseUntilMS is the end of the lease on the target's clock.
	LeaseUntilMS int64
	// SendBy is until when the order may be sent, on this process's boot clock; 0 for no limit. Later
	// its target may have restarted.
	SendBy time.Duration
}

// OrderAnswer is a target's answer to a start or a stop.
type OrderAnswer struct {
	Verdict Verdict
	// ClockMS is the target's monotonic clock; 0 if the answer didn't contain it.
	ClockMS int64
	// Route is the relay that the order went by; empty if none.
	Route string
}

// CompletionKind says how a run ended.
type CompletionKind string

// The completion kinds that the scheduler tells apart. After any other kind the work of the
// run is lost.
const (
	CompletionDone    CompletionKind = "done"
	CompletionFailed  CompletionKind = "failed"
	CompletionStopped CompletionKind = "stopped"
)

// Completion is a target's record of how a run ended. The completions of one incarnation of a
// target are numbered from 1.
type Completion struct {
	Number int64
	Run    RunID
	Kind   CompletionKind
	// SavedState is what the task has saved of its work; empty if nothing.
	SavedState string
}

// RunningRun is a run that a target lists as running.
type RunningRun struct {
	Run RunID
	// SavedState is what the task has saved of its work so far; empty if nothing.
	SavedState string
}

// MaxListedCompletions is how many completions a target lists at a time. Further ones follow once
// these are acknowledged; until then a run that isn't listed may have ended.
const MaxListedCompletions = 500

// PollAnswer is a target's answer to a poll.
type PollAnswer struct {
	// ClockMS is the target's monotonic clock.
	ClockMS int64
	// Incarnation is the incarnation that answers, as in Target; 0 if it isn't reported.
	Incarnation int64
	// Capacity is the target's present total capacity; nil if the target doesn't report it.
	Capacity    *Resources
	Running     []RunningRun
	Completions []Completion
}
