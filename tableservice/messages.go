package tableservice

import (
	"encoding/json"
	"fmt"
)

// Row is one row of a table.
type Row struct {
	Key string `json:"key"`
	// Version is the commit that wrote the row.
	Version uint64 `json:"version"`
	// Value is nil when the row was deleted.
	Value json.RawMessage `json:"value"`
}

// Deleted reports whether the row was deleted.
func (r Row) Deleted() bool { return r.Value == nil }

// Changes are rows written after a commit, oldest first.
type Changes struct {
	// Version is the newest commit that the answer covers. It is lower than the commit
	// asked for when the service answers from an old state. Such an answer contains no
	// news.
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"`
}

// normalise replaces the JSON null of deleted rows by a nil value.
func (c *Changes) normalise() {
	for i := range c.Rows {
		if string(c.Rows[i].Value) == "null" {
			c.Rows[i].Value = nil
		}
	}
}

// Expectation is the version that a row must have for a commit to apply. Version 0 means
// that the row must not exist.
type Expectation struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets a row; a nil value deletes it.
type Write struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Commit is a transaction: all writes apply when all expectations hold.
type Commit struct {
	Expect []Expectation `json:"expect"`
	Writes []Write       `json:"writes"`
}

type commitAnswer struct {
	Version  uint64       `json:"version"`
	Conflict *Expectation `json:"conflict"`
	Refused  string       `json:"refused"`
}

// ConflictError means that a row did not have the expected version. Nothing was applied.
type ConflictError struct {
	// Expectation names the row and its present version.
	Expectation
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s is at version %d, not the expected one: read it and decide again", e.Table, e.Key, e.Version)
}

// Kind distinguishes entry VMs from targets.
type Kind string

// The kinds of VM.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
)

// State is the platform's intent for a VM.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	Domain string `json:"domain"`
	Rack   string `json:"rack"`
	// Address is "IP:port" for callers (entry VM) or starts (target).
	Address string `json:"address"`
	// PeerAddress is "IP:port" for other entry VMs; empty for targets.
	PeerAddress string `json:"peer_address,omitempty"`
	// Slots is the largest number of tasks that a target runs at once; 0 for entry VMs.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
}

// List is the VM list of a failure domain.
type List struct {
	// Version grows with each change of the list. The service may return an older list
	// after a newer one.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
