package configuration

import (
	"context"
	"errors"
	"slices"

	"github.com/burdockward/burdockward/tableservice"
)

// commitFault is the fault of one commit.
type commitFault int

const (
	commitOK commitFault = iota
	// commitRefused: not applied; the answer says so.
	commitRefused
	// commitAnswerLost: applied, but the answer is lost.
	commitAnswerLost
	// commitDelayed: applied later; the answer is lost.
	commitDelayed
	// commitLost: never applied; the answer is lost.
	commitLost
)

// written is one row of one commit.
type written struct {
	table string
	row   tableservice.Row
}

// fakeStore is a table service that keeps all commits, so that it can answer
// with old states and tests can compare VMs with its state at any version.
type fakeStore struct {
	version uint64
	log     []written
	down    bool
	// fault returns the fault of the next commit, lag the number of commits that
	// the next read is behind; nil means none.
	fault func() commitFault
	lag   func() uint64
	// before runs before each commit.
	before  func()
	delayed []tableservice.Commit
}

var errLost = tableservice.ErrUnknownOutcome.Errorf("connection broken")

func (s *fakeStore) Changes(_ context.Context, table string, since uint64) (tableservice.Changes, error) {
	if s.down {
		return tableservice.Changes{}, tableservice.ErrUnavailable.Errorf("down")
	}
	at := s.version
	if s.lag != nil {
		at -= min(s.lag(), at)
	}
	return tableservice.Changes{Version: at, Rows: s.rows(table, since, at)}, nil
}

// rows are the newest rows of a table written in (since, at].
func (s *fakeStore) rows(table string, since, at uint64) []tableservice.Row {
	newest := map[string]tableservice.Row{}
	for _, w := range s.log {
		if w.table == table && w.row.Version <= at {
			newest[w.row.Key] = w.row
		}
	}
	var rows []tableservice.Row
	for _, row := range newest {
		if row.Version > since {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tableservice.Row) int { return int(a.Version) - int(b.Version) })
	return rows
}

func (s *fakeStore) Commit(_ context.Context, c tableservice.Commit) (uint64, error) {
	if s.before != nil {
		s.before()
	}
	if s.down {
		return 0, tableservice.ErrUnavailable.Errorf("down")
	}
	fault := commitOK
	if s.fault != nil {
		fault = s.fault()
	}
	switch fault {
	case commitRefused:
		return 0, tableservice.ErrUnavailable.Errorf("refused")
	case commitDelayed:
		s.delayed = append(s.delayed, c)
		return 0, errLost
	case commitLost:
		return 0, errLost
	}
	version, err := s.apply(c)
	if fault == commitAnswerLost {
		return 0, errLost
	}
	return version, err
}

func (s *fakeStore) apply(c tableservice.Commit) (uint64, error) {
	for _, e := range c.Expect {
		if present := s.rowVersion(e.Table, e.Key); present != e.Version {
			e.Version = present
			return 0, &tableservice.ConflictError{Expectation: e}
		}
	}
	s.version++
	for _, w := range c.Writes {
		s.log = append(s.log, written{w.Table, tableservice.Row{Key: w.Key, Version: s.version, Value: w.Value}})
	}
	return s.version, nil
}

// rowVersion returns the version of a row, 0 for one that doesn't exist.
func (s *fakeStore) rowVersion(table, key string) uint64 {
	for _, w := range slices.Backward(s.log) {
		if w.table == table && w.row.Key == key {
			if w.row.Deleted() {
				return 0
			}
			return w.row.Version
		}
	}
	return 0
}

// flush applies the delayed commits.
func (s *fakeStore) flush() {
	for _, c := range s.delayed {
		_, _ = s.apply(c)
	}
	s.delayed = nil
}

// configurationVersion is the commit that last changed the configuration.
func (s *fakeStore) configurationVersion() uint64 {
	newest := uint64(0)
	for _, w := range s.log {
		if w.table == Table {
			newest = w.row.Version
		}
	}
	return newest
}

// liveAt returns the objects of the store at a version, by key; VMs must hold the
// same.
func (s *fakeStore) liveAt(version uint64) map[string]string {
	live := map[string]string{}
	for _, row := range s.rows(Table, 0, version) {
		record, err := ParseRecord(row.Key, row.Value)
		if err != nil || !record.Deleted {
			live[row.Key] = string(row.Value)
		}
	}
	return live
}

// commitsOf lists the versions at which a change took effect.
func (s *fakeStore) commitsOf(change string) []uint64 {
	var versions []uint64
	for _, w := range s.log {
		record, err := ParseRecord(w.row.Key, w.row.Value)
		if w.table == Table && err == nil && record.Change == change {
			versions = append(versions, w.row.Version)
		}
	}
	return slices.Compact(versions)
}

func isConflict(err error) bool {
	var c *Conflict
	return errors.As(err, &c)
}
