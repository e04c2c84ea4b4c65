package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/tableservice"
)

// Errors of an Editor; a change that lost to another is a *Conflict.
const (
	// ErrOutcomeUnknown means that the answer of a commit was lost and reading
	// the history back didn't show whether it took effect.
	ErrOutcomeUnknown = errs.Tag("it is not known whether the change was accepted: look for the change id in the history once the store answers")
	// ErrInvalidChange means that a change can't be applied to what exists.
	ErrInvalidChange = errs.Tag("invalid change")
)

// Edit is an operator's change of one object. Without Profile and Team it
// deletes the object.
type Edit struct {
	Kind    Kind
	Name    string
	Profile *profile.Profile
	Team    *profile.Team
	// Seen is the version of the object that the change is based on; nil takes
	// the version just read. 0 means that the object must never have existed.
	Seen *uint64
}

func (e Edit) key() string { return RowKey(e.Kind, e.Name) }

func (e Edit) isDeletion() bool { return e.Profile == nil && e.Team == nil }

// Change is a set of edits that takes effect as a whole or not at all.
type Change struct {
	// ID identifies the change; it must be unique.
	ID       string
	Operator string
	Note     string
	// Time is the operator's wall-clock time in RFC 3339 form.
	Time  string
	Edits []Edit
}

// Object is a profile or team as the store holds it.
type Object struct {
	Key string
	// Version is the commit that wrote the object.
	Version uint64
	Record  Record
	// Err says why the record couldn't be read.
	Err error
}

// Exists reports whether the object has a row that is neither deleted nor
// unreadable.
func (o Object) Exists() bool { return o.Version > 0 && o.Err == nil && !o.Record.Deleted }

// Current is the configuration as one read of the store showed it.
type Current struct {
	// Version is the commit that last changed the configuration.
	Version uint64
	// Objects are ordered by key and include deleted ones.
	Objects []Object
	byKey   map[string]int
}

// Object returns the object of a key; one that never existed has version 0.
func (c *Current) Object(kind Kind, name string) Object {
	key := RowKey(kind, name)
	if i, ok := c.byKey[key]; ok {
		return c.Objects[i]
	}
	return Object{Key: key}
}

// Accepted says that a change took effect.
type Accepted struct {
	// Version is the commit of the change.
	Version uint64
	Change  string
	// ReadBack says that the store's answer was lost and the change was found in
	// the history.
	ReadBack bool
}

// Conflict says that another change took effect first; nothing of this one did.
type Conflict struct {
	// Change is the id of the refused change.
	Change string
	// Losses are the objects that others changed.
	Losses []Loss
}

// Loss is one object of a conflict.
type Loss struct {
	Edit Edit
	// Winner is the object as the store now holds it; its version is 0 when it
	// couldn't be read.
	Winner Object
}

// Error implements error.
func (c *Conflict) Error() string {
	text := "conflict: nothing was changed"
	for _, l := range c.Losses {
		text += fmt.Sprintf("; %s was changed", l.Edit.key())
		if l.Winner.Version > 0 {
			text += fmt.Sprintf(" by %q at version %d (change %s)", l.Winner.Record.Operator, l.Winner.Version, l.Winner.Record.Change)
		}
	}
	return text + ": look at the new state, then apply again"
}

// Limits of committing again.
const (
	// maxAttempts bounds the rounds of committing and reading back.
	maxAttempts = 8
	// firstWait is the wait after the first failed round; it doubles.
	firstWait = 100 * time.Millisecond
)

// Editor writes operators' changes to the table service. Several editors may run
// at once: every commit names the object versions that it is based on, and at
// most one of the commits that name the same version takes effect.
type Editor struct {
	Tables tableservice.Tables
	// Wait waits between two rounds and fails when the context ends; nil uses a
	// timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Read returns the configuration in the store. The store may answer with an old
// state; a change decided on one is refused as a conflict.
func (e *Editor) Read(ctx context.Context) (*Current, error) {
	changes, err := e.Tables.Changes(ctx, Table, 0)
	if err != nil {
		return nil, err
	}
	return newCurrent(changes), nil
}

func newCurrent(changes tableservice.Changes) *Current {
	set := changeSet(0, changes)
	current := &Current{Version: set.Version, byKey: map[string]int{}}
	rows := set.Rows
	sortByKey(rows)
	for _, row := range rows {
		current.byKey[row.Key] = len(current.Objects)
		current.Objects = append(current.Objects, newObject(row))
	}
	return current
}

func newObject(row Row) Object {
	o := Object{Key: row.Key, Version: row.Version}
	if len(row.Value) == 0 {
		o.Record.Deleted = true
		return o
	}
	o.Record, o.Err = ParseRecord(row.Key, row.Value)
	return o
}

// Commit applies a change that is based on current. When nothing took effect it
// returns a *Conflict or an error tagged ErrInvalidChange,
// tableservice.ErrUnavailable or tableservice.ErrInvalid. When that isn't known
// it returns ErrOutcomeUnknown.
func (e *Editor) Commit(ctx context.Context, current *Current, change Change) (Accepted, error) {
	p, err := plan(current, change)
	if err != nil {
		return Accepted{}, err
	}
	return e.resolve(ctx, p)
}

// resolve commits until it is known whether the change took effect. Committing
// again is safe: the versions that the commit names match at most once.
func (e *Editor) resolve(ctx context.Context, p *plannedChange) (Accepted, error) {
	// ambiguous says that an earlier commit may have taken effect.
	ambiguous := false
	var err error
	wait := firstWait
	for range maxAttempts {
		var version uint64
		version, err = e.Tables.Commit(ctx, p.commit)
		if err == nil {
			return Accepted{Version: version, Change: p.change.ID}, nil
		}
		if errors.Is(err, tableservice.ErrInvalid) && !ambiguous {
			return Accepted{}, err
		}
		var conflict *tableservice.ConflictError
		if errors.As(err, &conflict) && !ambiguous {
			return Accepted{}, e.conflict(ctx, p, Object{Key: conflict.Key})
		}
		ambiguous = ambiguous || !errors.Is(err, tableservice.ErrUnavailable)
		if ambiguous {
			accepted, decided, readErr := e.readBack(ctx, p)
			if decided {
				return accepted, readErr
			}
		}
		if e.wait(ctx, wait) != nil {
			break
		}
		wait *= 2
	}
	if ambiguous {
		return Accepted{}, ErrOutcomeUnknown.Errorf("change %s: %w", p.change.ID, err)
	}
	return Accepted{}, err
}

func (e *Editor) wait(ctx context.Context, d time.Duration) error {
	if e.Wait != nil {
		return e.Wait(ctx, d)
	}
	return Sleep(ctx, d)
}

// Sleep waits for a time; it ends early, with the context's error, when the
// context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conflict returns a *Conflict with the objects that other changes wrote. The
// commit was refused, so this change can't have taken effect. When a winner
// can't be read, known is reported, which came with the refusal.
func (e *Editor) conflict(ctx context.Context, p *plannedChange, known Object) error {
	c := &Conflict{Change: p.change.ID}
	current, err := e.Read(ctx)
	if err != nil {
		current = &Current{}
	}
	for i, edit := range p.change.Edits {
		winner := current.Object(edit.Kind, edit.Name)
		if winner.Version <= p.bases[i] {
			// Not changed, or read from an old state.
			winner = Object{Key: edit.key()}
		}
		if winner.Version == 0 && edit.key() == known.Key {
			winner = known
		}
		if winner.Version > 0 || edit.key() == known.Key {
			c.Losses = append(c.Losses, Loss{Edit: edit, Winner: winner})
		}
	}
	return c
}

// plannedChange is a change with its commit. Element i of revisions, bases and
// the commit's expectations belongs to edit i.
type plannedChange struct {
	change    Change
	revisions []uint64
	// bases are the row versions that the change is based on.
	bases  []uint64
	commit tableservice.Commit
}

// plan checks a change and turns it into a commit that expects the versions of
// current.
func plan(current *Current, change Change) (*plannedChange, error) {
	p := &plannedChange{change: change}
	if len(change.Edits) == 0 {
		return nil, ErrInvalidChange.Errorf("it has no edits: name at least one profile or team")
	}
	seen := map[string]bool{}
	for _, edit := range change.Edits {
		if seen[edit.key()] {
			return nil, ErrInvalidChange.Errorf("%s is given twice: keep one of them", edit.key())
		}
		seen[edit.key()] = true
		object := current.Object(edit.Kind, edit.Name)
		if err := checkEdit(current, object, edit, change); err != nil {
			return nil, err
		}
		if err := p.add(object, edit); err != nil {
			return nil, err
		}
	}
	if len(current.Objects)+len(change.Edits) > MaxRows {
		return nil, ErrInvalidChange.Errorf("the configuration has %d rows of at most %d: use fewer profiles and teams", len(current.Objects), MaxRows)
	}
	return p, nil
}

// checkEdit refuses an edit of an object that has another version than Seen, a
// deletion of an object that doesn't exist and a profile of an unknown team.
func checkEdit(current *Current, object Object, edit Edit, change Change) error {
	if edit.Seen != nil && object.Version < *edit.Seen {
		return tableservice.ErrUnavailable.Errorf("the store answered with a state older than version %d: try again", *edit.Seen)
	}
	if edit.Seen != nil && object.Version > *edit.Seen {
		return &Conflict{Change: change.ID, Losses: []Loss{{Edit: edit, Winner: object}}}
	}
	if edit.isDeletion() && !object.Exists() && object.Err == nil {
		return ErrInvalidChange.Errorf("there is no %s %q to delete: list the names", edit.Kind, edit.Name)
	}
	return checkTeam(current, edit, change)
}

// checkTeam refuses a profile of a team that doesn't exist. Teams are never
// deleted, so that the team still exists when the commit takes effect.
func checkTeam(current *Current, edit Edit, change Change) error {
	if edit.Profile == nil || edit.Profile.Team == "" {
		return nil
	}
	for _, other := range change.Edits {
		if other.Team != nil && other.Name == edit.Profile.Team {
			return nil
		}
	}
	if !current.Object(KindTeam, edit.Profile.Team).Exists() {
		return ErrInvalidChange.Errorf("profile %q names team %q, which doesn't exist: apply the team first", edit.Name, edit.Profile.Team)
	}
	return nil
}

// add appends the writes of one edit: its row and its history row.
func (p *plannedChange) add(object Object, edit Edit) error {
	record := Record{
		Change:   p.change.ID,
		Revision: object.Record.Revision + 1,
		Operator: p.change.Operator,
		Time:     p.change.Time,
		Note:     p.change.Note,
		Deleted:  edit.isDeletion(),
		Profile:  edit.Profile,
		Team:     edit.Team,
	}
	value, err := json.Marshal(record)
	if err != nil {
		return ErrInvalidChange.Wrap(err)
	}
	expected := object.Version
	if object.Record.Change == "" && object.Err == nil {
		// Something else than an Editor deleted the row: it doesn't exist.
		expected = 0
	}
	p.revisions = append(p.revisions, record.Revision)
	p.bases = append(p.bases, object.Version)
	p.commit.Expect = append(p.commit.Expect, tableservice.Expectation{Table: Table, Key: edit.key(), Version: expected})
	p.commit.Writes = append(p.commit.Writes,
		tableservice.Write{Table: Table, Key: edit.key(), Value: value},
		tableservice.Write{Table: HistoryTable, Key: historyKey(edit.Kind, edit.Name, record.Revision), Value: value})
	return nil
}
