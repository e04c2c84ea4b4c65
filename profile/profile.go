// Package profile defines the profiles and team quotas that operators write. It
// checks their fields and splits a team's quota over the failure domains.
package profile

// Profile describes a class of service. Operators write profiles; services pick
// one by name.
type Profile struct {
	// Name identifies the profile.
	Name string `json:"name"`
	// Team is the team whose quota the profile's tasks count against; empty is
	// none.
	Team string `json:"team,omitempty"`
	// Urgency orders profiles, from 0 to 9: of two profiles within their
	// guaranteed share, the one with the higher urgency is served first.
	Urgency int `json:"urgency"`
	// GuaranteedSlots is the share in each failure domain, in running tasks,
	// that the profile gets whenever it has work. Other profiles use the slots
	// that it leaves free.
	GuaranteedSlots int `json:"guaranteed_slots"`
	// LimitSlots is the most tasks of the profile that run at once in each
	// failure domain; 0 is no limit.
	LimitSlots int `json:"limit_slots,omitempty"`
	// QueueTasks is the most tasks of the profile that wait in one VM.
	QueueTasks int `json:"queue_tasks"`
	// DeadlineMS is the deadline of submissions that name none, and
	// MaxDeadlineMS the longest deadline that a submission may name, both in
	// milliseconds.
	DeadlineMS    int64 `json:"deadline_ms"`
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// MaxRunMS is the longest run time of one task in milliseconds; the target
	// stops a task that exceeds it.
	MaxRunMS int64 `json:"max_run_ms"`
	// Straggler says what happens to a task that runs far longer than others.
	Straggler StragglerAction `json:"straggler,omitempty"`
	// StragglerFactor is the multiple of the learned 95th percentile of the run
	// time above which a task is a straggler; 0 takes 8.
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
}

// StragglerAction says what is done with a straggler.
type StragglerAction string

// The straggler actions. An empty action is StragglerWait.
const (
	// StragglerWait lets the task run up to MaxRunMS.
	StragglerWait StragglerAction = "wait"
	// StragglerStop stops the task and fails the submission at once.
	StragglerStop StragglerAction = "stop"
	// StragglerCheckpoint asks the target to checkpoint the task, then stops it.
	StragglerCheckpoint StragglerAction = "checkpoint"
)

// Team is the quota of one team.
type Team struct {
	// Name identifies the team.
	Name string `json:"name"`
	// QuotaSlots is the most tasks of the team that run at once in all failure
	// domains together.
	QuotaSlots int `json:"quota_slots"`
	// Shares splits the quota over failure domains; the sum never exceeds
	// QuotaSlots. A failure domain that is not named has share 0, except that
	// an empty map splits the quota evenly over the domains of the settings.
	Shares map[string]int `json:"shares,omitempty"`
	// Lend lets each failure domain lend up to half of its share to others that
	// need more, while it doesn't need that part itself.
	Lend bool `json:"lend,omitempty"`
}
