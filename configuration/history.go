package configuration

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/burdockward/burdockward/tableservice"
)

// readBack reads from the history which change wrote the revisions that p was to
// write. Only one change can write a revision of an object, so its history row
// names the winner, also when later changes followed. decided is false when the
// store can't be read, answers with too old a state, or later revisions have
// overwritten the rows.
func (e *Editor) readBack(ctx context.Context, p *plannedChange) (accepted Accepted, decided bool, err error) {
	history, err := e.Tables.Changes(ctx, HistoryTable, slices.Min(p.bases))
	if err != nil {
		return Accepted{}, false, err
	}
	rows := make(map[string]tableservice.Row, len(history.Rows))
	for _, row := range history.Rows {
		rows[row.Key] = row
	}
	for i, edit := range p.change.Edits {
		row, found := rows[historyKey(edit.Kind, edit.Name, p.revisions[i])]
		if !found || row.Version <= p.bases[i] {
			continue
		}
		record, ok := parseHistory(row)
		if !ok || record.Revision != p.revisions[i] {
			// A later revision has overwritten the row: another edit may decide.
			continue
		}
		if record.Change == p.change.ID {
			return Accepted{Version: row.Version, Change: p.change.ID, ReadBack: true}, true, nil
		}
		winner := Object{Key: edit.key(), Version: row.Version, Record: record}
		return Accepted{}, true, e.conflict(ctx, p, winner)
	}
	return Accepted{}, false, nil
}

// parseHistory parses a history row; ok is false when it holds no revision.
func parseHistory(row tableservice.Row) (Record, bool) {
	if row.Deleted() {
		return Record{}, false
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, false
	}
	return r, r.Revision > 0
}

// Revision is a previous or the present state of an object.
type Revision struct {
	// Version is the commit of the change.
	Version uint64
	Record  Record
}

// ErrNoRevision says that the history doesn't hold a revision.
var ErrNoRevision = errors.New("the history doesn't hold that revision: list it and choose one that it shows")

// History returns the kept revisions of an object, the newest first.
func (e *Editor) History(ctx context.Context, kind Kind, name string) ([]Revision, error) {
	changes, err := e.Tables.Changes(ctx, HistoryTable, 0)
	if err != nil {
		return nil, err
	}
	prefix := RowKey(kind, name) + "/"
	var list []Revision
	for _, row := range changes.Rows {
		if !strings.HasPrefix(row.Key, prefix) {
			continue
		}
		if record, ok := parseHistory(row); ok {
			list = append(list, Revision{Version: row.Version, Record: record})
		}
	}
	slices.SortFunc(list, func(a, b Revision) int { return cmp.Compare(b.Version, a.Version) })
	return list, nil
}

// FindRevision returns the revision with a number; 0 is the newest one before
// the present that is not a deletion.
func FindRevision(list []Revision, number uint64) (Revision, error) {
	for i, r := range list {
		previous := number == 0 && i > 0 && !r.Record.Deleted
		if previous || number != 0 && r.Record.Revision == number {
			return r, nil
		}
	}
	return Revision{}, ErrNoRevision
}

// sortByKey orders rows by key.
func sortByKey(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}
