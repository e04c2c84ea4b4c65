// Package adminapi defines the JSON messages of a daemon's admin port.
//
// The daemon serves them and burdockctl reads them. Every duration is in
// milliseconds. Fields are only ever added, so that a tool and a daemon of
// different versions understand each other.
package adminapi

import "time"

// Paths of the admin port.
const (
	// StatusPath answers GET with a Status.
	StatusPath = "/admin/v1/status"
	// ExplainPath, followed by a submission key, answers GET with an
	// Explanation, or 404 with an Error when this VM has no record of the key.
	ExplainPath = "/admin/v1/explain/"
	// ExplainPattern is the net/http pattern of the explain handler; the path
	// value "key" is the submission key.
	ExplainPattern = "GET " + ExplainPath + "{key}"
	// EventsPath answers GET with Events.
	EventsPath = "/admin/v1/events"
	// EventsPattern is the net/http pattern of the events handler.
	EventsPattern = "GET " + EventsPath
	// StatusPattern is the net/http pattern of the status handler.
	StatusPattern = "GET " + StatusPath
)

// Status is the state of one VM.
type Status struct {
	// VM is the id of the entry VM.
	VM string `json:"vm"`
	// Incarnation tells a restarted process from its predecessor. It is a JSON
	// string, since tools that read numbers as floats would round it.
	Incarnation uint64 `json:"incarnation,string"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// UptimeMS is the time since the process started, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Draining says that the VM accepts no new submissions and stops once those
	// in flight are answered.
	Draining bool `json:"draining"`
	// View is the installed view of the failure domain's entry VMs.
	View View `json:"view"`
	// Epoch is the epoch token for new submission keys; empty while the VM
	// can't grant keys.
	Epoch string `json:"epoch"`
	// Configuration is the state of profiles and quotas.
	Configuration Configuration `json:"configuration"`
	// Targets are ordered by id.
	Targets []Target `json:"targets"`
	// Profiles are ordered by name.
	Profiles []Profile `json:"profiles"`
}

// View is an installed view.
type View struct {
	Number uint64 `json:"number"`
	// Nonce is the view identifier.
	Nonce   string   `json:"nonce,omitempty"`
	Members []Member `json:"members"`
	// Settled says that every member has opened the view for grants.
	Settled bool `json:"settled"`
}

// Member is one entry VM of a view.
type Member struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation,string"`
	// Address is the peer address, "IP:port".
	Address string `json:"address,omitempty"`
	// Suspected says that no heartbeat of the VM has arrived for longer than the
	// heartbeat timeout.
	Suspected bool `json:"suspected,omitempty"`
}

// Configuration is the state of the configuration on a VM.
type Configuration struct {
	// Version is the commit that last changed the configuration in force.
	Version uint64 `json:"version"`
	// Loaded says that the VM has received a configuration from the store or a
	// peer.
	Loaded bool `json:"loaded"`
	// StoreReadAgeMS is the time since this VM last read the store successfully;
	// -1 is never.
	StoreReadAgeMS int64 `json:"store_read_age_ms"`
	// StoreError is the error of the last read of the store; empty when it
	// succeeded.
	StoreError string `json:"store_error,omitempty"`
	// Invalid names the rows that this VM couldn't read, "profile/x".
	Invalid []string `json:"invalid,omitempty"`
}

// TargetHealth is the health of a target as the placement rates it.
type TargetHealth string

// The values of TargetHealth.
const (
	TargetHealthy     TargetHealth = "healthy"
	TargetQuarantined TargetHealth = "quarantined"
	TargetProbing     TargetHealth = "probing"
	// TargetSlow and TargetDoubted get tasks only when no healthy target is free.
	TargetSlow        TargetHealth = "slow"
	TargetDoubted     TargetHealth = "doubted"
	TargetLeaving     TargetHealth = "leaving"
	TargetUnreachable TargetHealth = "unreachable"
)

// LeaseState is the state of a VM's lease at a target.
type LeaseState string

// The lease states.
const (
	LeaseNone   LeaseState = "none"
	LeaseHeld   LeaseState = "held"
	LeaseLapsed LeaseState = "lapsed"
)

// Target is a target as one VM sees it.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// Slots is the number of slots of the target, SlotsHeld the number that this
	// VM may use, and SlotsFree how many of these run no task.
	Slots     int          `json:"slots"`
	SlotsHeld int          `json:"slots_held"`
	SlotsFree int          `json:"slots_free"`
	Health    TargetHealth `json:"health"`
	// Reason says why the target isn't healthy.
	Reason string `json:"reason,omitempty"`
	// HealthAgeMS is the time since the health last changed.
	HealthAgeMS int64      `json:"health_age_ms,omitempty"`
	Lease       LeaseState `json:"lease"`
	// LeaseLeftMS is the time until the lease lapses; 0 without a lease.
	LeaseLeftMS int64 `json:"lease_left_ms,omitempty"`
}

// Profile is the load of one profile on one VM.
type Profile struct {
	Name string `json:"name"`
	// Queued and Running are the present numbers of tasks.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Refused counts the refused submissions since the process started.
	Refused uint64 `json:"refused"`
	// RefusedByKind splits Refused by the kinds of package api.
	RefusedByKind map[string]uint64 `json:"refused_by_kind,omitempty"`
}

// Explanation is what a VM did with one submission.
type Explanation struct {
	// VM is the id of the VM that answers.
	VM  string `json:"vm"`
	Key string `json:"key"`
	// Profile is the profile that the submission named.
	Profile string `json:"profile,omitempty"`
	// State is the state of the submission as in GET /v1/submissions/{key}.
	State string `json:"state"`
	// Runner is the VM that runs or ran the submission.
	Runner string `json:"runner,omitempty"`
	// ConfigurationVersion is the version under which it was admitted.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Events are ordered by time.
	Events []Event `json:"events"`
	// EventsDropped counts the events that are no longer kept.
	EventsDropped int `json:"events_dropped,omitempty"`
}

// Event is one step of the processing of a submission.
type Event struct {
	// AtMS is the time since the submission arrived at this VM, in
	// milliseconds.
	AtMS float64 `json:"at_ms"`
	// Time is the wall-clock time in RFC 3339 form, for reading only.
	Time string `json:"time,omitempty"`
	// What names the step, such as "claimed", "queued", "started", "refused".
	What string `json:"what"`
	// Task is the task index, absent for the submission as a whole.
	Task *int `json:"task,omitempty"`
	// Target is the target that the step concerns.
	Target string `json:"target,omitempty"`
	// Reason says why.
	Reason string `json:"reason,omitempty"`
}

// Events are the newest changes of state on one VM, oldest first.
type Events struct {
	VM     string        `json:"vm"`
	Domain string        `json:"domain"`
	Events []StateChange `json:"events"`
	// Dropped counts older changes that are no longer kept.
	Dropped uint64 `json:"dropped,omitempty"`
}

// StateChange is one line of a VM's log.
type StateChange struct {
	// Time is by the VM's own wall clock, which may differ from other VMs' clocks.
	Time time.Time `json:"time"`
	// Level is "INFO", "WARN" or "ERROR".
	Level   string `json:"level"`
	Message string `json:"msg"`
	// Fields are the attributes of the log line.
	Fields map[string]any `json:"fields,omitempty"`
}

// Error is the body of an unsuccessful response of the admin port.
type Error struct {
	Message string `json:"message"`
}
