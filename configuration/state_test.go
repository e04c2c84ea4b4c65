package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// profileRow is the row of a profile whose queue_tasks equals the version.
func profileRow(name string, version uint64) Row {
	value := fmt.Sprintf(`{"change":"c%d","revision":1,"profile":{"name":%q,"queue_tasks":%d}}`, version, name, version)
	return Row{Key: RowKey(KindProfile, name), Version: version, Value: []byte(value)}
}

func deletedRow(name string, version uint64) Row {
	value := fmt.Sprintf(`{"change":"c%d","revision":2,"deleted":true}`, version)
	return Row{Key: RowKey(KindProfile, name), Version: version, Value: []byte(value)}
}

func apply(t *testing.T, s *State, set ChangeSet) {
	t.Helper()
	changed, err := s.Apply(set)
	must.NoError(t, err)
	must.True(t, changed)
}

func TestApplyIgnoresOlderVersions(t *testing.T) {
	var s State
	apply(t, &s, ChangeSet{Version: 7, Rows: []Row{profileRow("a", 3), profileRow("b", 7)}})
	for _, set := range []ChangeSet{
		{Version: 3, Rows: []Row{profileRow("a", 3)}},
		{Version: 7, Rows: []Row{profileRow("a", 7)}},
		{},
	} {
		changed, err := s.Apply(set)
		must.NoError(t, err)
		must.False(t, changed)
	}
	must.Eq(t, 7, s.Version())
	must.SliceLen(t, 2, s.Live())
}

func TestApplyRefusesGapsAndContradictions(t *testing.T) {
	var s State
	apply(t, &s, ChangeSet{Version: 3, Rows: []Row{profileRow("a", 3)}})
	_, err := s.Apply(ChangeSet{Since: 5, Version: 6, Rows: []Row{profileRow("b", 6)}})
	must.ErrorIs(t, err, ErrGap)
	for name, set := range map[string]ChangeSet{
		"row before the range":   {Since: 3, Version: 6, Rows: []Row{profileRow("b", 3), profileRow("c", 6)}},
		"row after the range":    {Since: 3, Version: 6, Rows: []Row{profileRow("b", 7), profileRow("c", 6)}},
		"newest row missing":     {Since: 3, Version: 6, Rows: []Row{profileRow("b", 5)}},
		"row twice":              {Since: 3, Version: 6, Rows: []Row{profileRow("b", 5), profileRow("b", 6)}},
		"more rows than allowed": {Since: 3, Version: 6, Rows: make([]Row, MaxRows+1)},
	} {
		_, err := s.Apply(set)
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(name))
	}
	must.Eq(t, 3, s.Version())
	must.SliceLen(t, 1, s.Live())
}

func TestSnapshotRemovesRowsItLacks(t *testing.T) {
	var s State
	apply(t, &s, ChangeSet{Version: 3, Rows: []Row{profileRow("a", 3)}})
	apply(t, &s, ChangeSet{Version: 6, Rows: []Row{profileRow("b", 6)}})
	must.Eq(t, []Row{profileRow("b", 6)}, s.Live())
}

func TestChangesReturnsOnlyNewerRows(t *testing.T) {
	var s State
	apply(t, &s, ChangeSet{Version: 2, Rows: []Row{profileRow("a", 1), profileRow("b", 2)}})
	apply(t, &s, ChangeSet{Since: 2, Version: 4, Rows: []Row{profileRow("c", 3), deletedRow("a", 4)}})
	set, ok := s.Changes(3)
	must.True(t, ok)
	must.Eq(t, ChangeSet{Since: 3, Version: 4, Rows: []Row{deletedRow("a", 4)}}, set)
	_, ok = s.Changes(4)
	must.False(t, ok)
	set, _ = s.Changes(1)
	must.Eq(t, 0, set.Since, must.Sprint("deletions before the first snapshot are not known, so that a snapshot is returned"))
}

// TestDroppedDeletionsGiveSnapshot deletes more rows than the state keeps, then
// brings a state up to date that has none of these deletions.
func TestDroppedDeletionsGiveSnapshot(t *testing.T) {
	var s, behind State
	first := ChangeSet{Version: 1, Rows: []Row{profileRow("keep", 1), profileRow("gone-0", 1)}}
	apply(t, &s, first)
	apply(t, &behind, first)
	version := uint64(1)
	for i := range maxTombstones + 10 {
		version++
		apply(t, &s, ChangeSet{Since: version - 1, Version: version, Rows: []Row{deletedRow(fmt.Sprintf("gone-%d", i), version)}})
	}
	must.LessEq(t, maxTombstones+2, len(s.entries))
	set, ok := s.Changes(1)
	must.True(t, ok)
	apply(t, &behind, set)
	must.Eq(t, s.Live(), behind.Live())
}

func TestSnapshotKeepsARowOfItsVersion(t *testing.T) {
	var s, fresh State
	set := ChangeSet{Version: 2, Rows: []Row{profileRow("keep", 1)}}
	for i := range maxTombstones + 10 {
		set.Rows = append(set.Rows, deletedRow(fmt.Sprintf("gone-%d", i), 2))
	}
	apply(t, &s, set)
	next, _ := s.Changes(0)
	apply(t, &fresh, next)
	must.Eq(t, 2, fresh.Version())
}

func TestSnapshotOmitsInvalidRowsAndCopiesTeams(t *testing.T) {
	var s State
	team := Row{Key: "team/t", Version: 2, Value: []byte(`{"change":"c","revision":1,"team":{"name":"t","quota_slots":4,"shares":{"hall-a":4}}}`)}
	misplaced := profileRow("x", 3)
	misplaced.Key = "profile/y"
	apply(t, &s, ChangeSet{Version: 4, Rows: []Row{profileRow("a", 1), team, misplaced, {Key: "other", Version: 4, Value: []byte(`{}`)}}})
	snap := newSnapshot(&s, true)
	a, ok := snap.Profile("a")
	must.True(t, ok)
	must.Eq(t, 1, a.QueueTasks)
	must.Eq(t, 1, snap.ProfileVersion("a"))
	must.Eq(t, []string{"other", "profile/y"}, snap.Invalid())
	must.SliceLen(t, 1, snap.Profiles())
	got, _ := snap.Team("t")
	got.Shares["hall-a"] = 9
	again, _ := snap.Team("t")
	must.Eq(t, 4, again.Shares["hall-a"])
}
