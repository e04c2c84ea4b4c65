package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// maxTombstones is the most deleted rows that a state keeps. A VM that lacks
// older deletions gets a snapshot.
const maxTombstones = 256

// MaxRows is the most rows of a configuration, so that one message or answer of
// the store carries all of it.
const MaxRows = 4096

// Row is one row of the configuration table.
type Row struct {
	Key string
	// Version is the commit that wrote the row.
	Version uint64
	// Value is the JSON of the row's Record, empty when the row is deleted.
	Value []byte
}

// ChangeSet holds all rows written after the commit Since, up to the commit
// Version. With Since 0 it is a snapshot: the whole configuration.
type ChangeSet struct {
	Since   uint64
	Version uint64
	Rows    []Row
}

// Errors of Apply.
var (
	// ErrGap says that changes before the set are missing here.
	ErrGap = errors.New("changes are missing between the held version and the change set: pull the changes since the held version")
	// ErrMalformed says that a change set contradicts itself.
	ErrMalformed = errors.New("malformed change set: pull it again from another VM or the store")
)

// entry is a row with its record, parsed once.
type entry struct {
	row    Row
	record Record
	// err says why the record can't be read.
	err error
}

func (e entry) isDeleted() bool { return e.err == nil && e.record.Deleted }

// State is the configuration at one version. The version is the commit that
// last changed the configuration; it never falls. The zero State is empty and at
// version 0.
type State struct {
	version uint64
	entries map[string]entry
	// floor is the version of the newest deleted row that was dropped, or of the
	// last snapshot applied: the deletions since an older version are not known.
	floor uint64
}

// Version is the commit that last changed the configuration held.
func (s *State) Version() uint64 { return s.version }

// Apply applies a change set as a whole or not at all, and reports whether the
// version rose. A set that is not newer than the state is ignored: it comes from
// a stale read, a peer that is behind or a delayed message.
func (s *State) Apply(set ChangeSet) (bool, error) {
	if err := set.check(); err != nil {
		return false, err
	}
	if set.Version <= s.version {
		return false, nil
	}
	if set.Since > s.version {
		return false, fmt.Errorf("%w (held %d, set since %d)", ErrGap, s.version, set.Since)
	}
	if set.Since == 0 {
		s.entries = make(map[string]entry, len(set.Rows))
		s.floor = set.Version
	}
	for _, row := range set.Rows {
		s.entries[row.Key] = newEntry(row)
	}
	s.version = set.Version
	s.compact()
	return true, nil
}

func newEntry(row Row) entry {
	if len(row.Value) == 0 {
		return entry{row: row, record: Record{Deleted: true}}
	}
	record, err := ParseRecord(row.Key, row.Value)
	return entry{row: row, record: record, err: err}
}

// check returns ErrMalformed for a set whose rows can't be all the rows written
// in its range of versions.
func (set ChangeSet) check() error {
	if len(set.Rows) > MaxRows {
		return fmt.Errorf("%w: %d rows, at most %d are allowed", ErrMalformed, len(set.Rows), MaxRows)
	}
	newest := uint64(0)
	seen := make(map[string]bool, len(set.Rows))
	for _, row := range set.Rows {
		if row.Version <= set.Since || row.Version > set.Version {
			return fmt.Errorf("%w: row %q of version %d in a set of (%d, %d]", ErrMalformed, row.Key, row.Version, set.Since, set.Version)
		}
		if seen[row.Key] {
			return fmt.Errorf("%w: row %q twice", ErrMalformed, row.Key)
		}
		seen[row.Key] = true
		newest = max(newest, row.Version)
	}
	if newest != set.Version && set.Version > set.Since {
		return fmt.Errorf("%w: no row of version %d", ErrMalformed, set.Version)
	}
	return nil
}

// Changes returns the rows written after a version, or a snapshot when rows
// deleted since then were dropped. ok is false when the state has nothing newer.
func (s *State) Changes(since uint64) (set ChangeSet, ok bool) {
	if since >= s.version {
		return ChangeSet{}, false
	}
	if since < s.floor {
		since = 0
	}
	set = ChangeSet{Since: since, Version: s.version}
	for _, e := range s.entries {
		if e.row.Version > since {
			set.Rows = append(set.Rows, e.row)
		}
	}
	slices.SortFunc(set.Rows, compareRows)
	return set, true
}

// compareRows orders rows by version, then by key.
func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
}

// compact drops the oldest deleted rows above maxTombstones. The newest ones
// stay, so that a snapshot has a row of its own version.
func (s *State) compact() {
	var deleted []Row
	for _, e := range s.entries {
		if e.isDeleted() {
			deleted = append(deleted, e.row)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, compareRows)
	for _, row := range deleted[:len(deleted)-maxTombstones] {
		delete(s.entries, row.Key)
		s.floor = max(s.floor, row.Version)
	}
}

// live returns the entries that aren't deleted, ordered by key.
func (s *State) live() []entry {
	var list []entry
	for _, e := range s.entries {
		if !e.isDeleted() {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(a.row.Key, b.row.Key) })
	return list
}

// Live returns the rows that aren't deleted, ordered by key.
func (s *State) Live() []Row {
	var rows []Row
	for _, e := range s.live() {
		rows = append(rows, e.row)
	}
	return rows
}
