// Package claim decides which entry VM runs a submission key. No key is granted
// twice while its failure domain exists.
//
// Its input are calls of Claim, Burn and Lookup, messages of peers, and the view on
// which package membership agrees. Its output are the ends of the calls and messages
// to peers. State is the protocol without goroutines, clock or network; Duty runs it
// in one goroutine. docs/DESIGN.md, section 1, explains the protocol and why it is
// safe.
package claim

import (
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
)

// KeyState is the state of a key as the failure domain knows it.
type KeyState uint8

// The states of a key.
const (
	// Unknown means that the key has not been claimed.
	Unknown KeyState = iota
	// Running means that the runner is a member of the view: it works on the key or
	// holds its answer.
	Running
	// Lost means that the runner is no member any more and the outcome is unknown.
	Lost
	// NotRun means that the key was refused: it never ran and never will.
	NotRun
	// Completed means that the key ran to its end.
	Completed
	// Failed means that the key was started and failed.
	Failed
)

var keyStateNames = [...]string{"unknown", "running", "lost", "not_run", "completed", "failed"}

// String names the state.
func (s KeyState) String() string { return keyStateNames[s] }

// Outcome says how the run of a key ended.
type Outcome uint8

// The outcomes of a key.
const (
	// OutcomeNone means that the key has not ended.
	OutcomeNone Outcome = iota
	// OutcomeNotRun means that the key was refused before any start.
	OutcomeNotRun
	// OutcomeCompleted means that the key ran to its end.
	OutcomeCompleted
	// OutcomeFailed means that the key was started and failed.
	OutcomeFailed
)

var outcomeStates = map[Outcome]KeyState{
	OutcomeNotRun:    NotRun,
	OutcomeCompleted: Completed,
	OutcomeFailed:    Failed,
}

// Result says who has a key.
type Result struct {
	// Granted says that the caller of Claim may start the key. It is true once
	// for each key.
	Granted bool
	// Runner is the process that has the key; it is empty when State is Unknown.
	Runner membership.Member
	State  KeyState
}

// hashBytes is the length of a hash.
const hashBytes = key.HashBytes

// Hash stands for a key in records and messages.
type Hash = key.Hash

// HashKey returns the hash of a key.
func HashKey(k key.Key) Hash { return key.HashText(k.String()) }
