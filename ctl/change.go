package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/burdockward/burdockward/configuration"
)

// ChangeResult is the output of a change.
type ChangeResult struct {
	// Outcome is "accepted", "conflict" or "unknown".
	Outcome string `json:"outcome"`
	// Version is the commit of an accepted change.
	Version uint64 `json:"version,omitempty"`
	Change  string `json:"change"`
	// ReadBack says that the store's answer was lost and the change was found in
	// the history.
	ReadBack bool `json:"read_back,omitempty"`
	// Conflicts are the objects that other changes wrote first.
	Conflicts []ConflictResult `json:"conflicts,omitempty"`
	// InForce is the state at the VMs, with --wait.
	InForce *InForce `json:"in_force,omitempty"`
}

// ConflictResult is one object that another change wrote first.
type ConflictResult struct {
	// Winner is the object in the store; its version is 0 when it couldn't be
	// read.
	Winner Object `json:"winner"`
	// Differences compare the winner (old) with the refused object (new).
	Differences []Difference `json:"differences"`
}

// Outcomes of a change.
const (
	outcomeAccepted = "accepted"
	outcomeConflict = "conflict"
	outcomeUnknown  = "unknown"
)

func (a *App) apply(read readEdits) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		edits, err := read(c.Args().Slice())
		if err != nil {
			return err
		}
		return a.readAndCommit(ctx, c, edits)
	}
}

func (a *App) delete(ctx context.Context, c *cli.Command) error {
	name, err := onlyArgument(c, "name")
	if err != nil {
		return err
	}
	return a.readAndCommit(ctx, c, []configuration.Edit{{Kind: configuration.KindProfile, Name: name}})
}

// readAndCommit commits edits that are based on the present configuration.
func (a *App) readAndCommit(ctx context.Context, c *cli.Command, edits []configuration.Edit) error {
	e, current, err := a.readToEdit(ctx, c)
	if err != nil {
		return err
	}
	return a.commit(ctx, c, e, current, edits)
}

// commit writes a change that is based on current and prints its outcome.
func (a *App) commit(ctx context.Context, c *cli.Command, e *configuration.Editor, current *configuration.Current, edits []configuration.Edit) error {
	if c.IsSet(flagExpectVersion) {
		if len(edits) != 1 {
			return usagef("--%s goes with one object, got %d: apply the objects one by one", flagExpectVersion, len(edits))
		}
		seen := c.Uint64(flagExpectVersion)
		edits[0].Seen = &seen
	}
	change := configuration.Change{
		ID:       a.NewID(),
		Operator: c.String(flagOperator),
		Note:     c.String(flagNote),
		Time:     a.timestamp(),
		Edits:    edits,
	}
	accepted, err := e.Commit(ctx, current, change)
	if err != nil {
		return a.reportFailure(c, change, err)
	}
	return a.reportAccepted(ctx, c, accepted)
}

// reportFailure prints a conflict or an unknown outcome, and returns err.
func (a *App) reportFailure(c *cli.Command, change configuration.Change, err error) error {
	result := ChangeResult{Change: change.ID}
	var conflict *configuration.Conflict
	switch {
	case errors.As(err, &conflict):
		result.Outcome = outcomeConflict
		for _, loss := range conflict.Losses {
			result.Conflicts = append(result.Conflicts, newConflictResult(loss))
		}
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		result.Outcome = outcomeUnknown
	default:
		return err
	}
	if printErr := a.print(c, result, func(w io.Writer) { printFailure(w, result) }); printErr != nil {
		return printErr
	}
	return err
}

func newConflictResult(loss configuration.Loss) ConflictResult {
	return ConflictResult{
		Winner:      newObject(loss.Edit.Kind, loss.Edit.Name, loss.Winner.Version, loss.Winner.Record),
		Differences: diffEdit(loss.Winner, loss.Edit).Differences,
	}
}

func printFailure(w io.Writer, r ChangeResult) {
	fmt.Fprintf(w, "%s: change %s\n", r.Outcome, r.Change)
	for _, c := range r.Conflicts {
		if c.Winner.Version == 0 {
			fmt.Fprintf(w, "%s %s was changed by another operator; the new state couldn't be read\n", c.Winner.Kind, c.Winner.Name)
			continue
		}
		fmt.Fprintf(w, "%s %s was changed by %q at %s (version %d, change %s); yours differs from it:\n",
			c.Winner.Kind, c.Winner.Name, c.Winner.Operator, c.Winner.Time, c.Winner.Version, c.Winner.Change)
		printDifferences(w, c.Differences)
	}
}

// reportAccepted prints an accepted change. With --wait it first waits until the
// change is in force at every reachable VM, and returns errNotInForce when it is
// not.
func (a *App) reportAccepted(ctx context.Context, c *cli.Command, accepted configuration.Accepted) error {
	result := ChangeResult{
		Outcome:  outcomeAccepted,
		Version:  accepted.Version,
		Change:   accepted.Change,
		ReadBack: accepted.ReadBack,
	}
	var waitErr error
	if c.Duration(flagWait) > 0 {
		var state InForce
		state, waitErr = a.waitInForce(ctx, c, accepted.Version)
		result.InForce = &state
	}
	if err := a.print(c, result, func(w io.Writer) { printAccepted(w, result) }); err != nil {
		return err
	}
	if waitErr != nil {
		// The change is accepted, so any error of the wait means only that it
		// is not known to be in force.
		return fmt.Errorf("%w: %w", errNotInForce, waitErr)
	}
	return nil
}

func printAccepted(w io.Writer, r ChangeResult) {
	how := ""
	if r.ReadBack {
		how = " (the store's answer was lost; found by reading back)"
	}
	fmt.Fprintf(w, "accepted: version %d, change %s%s\n", r.Version, r.Change, how)
	if r.InForce != nil {
		printInForce(w, *r.InForce)
	}
}
