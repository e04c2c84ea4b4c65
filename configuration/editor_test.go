package configuration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/tableservice"
)

func testEditor(s *fakeStore, between func()) *Editor {
	return &Editor{Tables: s, Wait: func(context.Context, time.Duration) error {
		if between != nil {
			between()
		}
		return nil
	}}
}

func profileEdit(name string, queue int) Edit {
	return Edit{Kind: KindProfile, Name: name, Profile: &profile.Profile{Name: name, QueueTasks: queue}}
}

// commitOn reads and commits one change.
func commitOn(t *testing.T, e *Editor, id string, edits ...Edit) (Accepted, error) {
	t.Helper()
	current, err := e.Read(context.Background())
	must.NoError(t, err)
	return e.Commit(context.Background(), current, Change{ID: id, Operator: "op-" + id, Edits: edits})
}

// faultsOnce returns the faults in turn, then none.
func faultsOnce(faults ...commitFault) func() commitFault {
	return func() commitFault {
		if len(faults) == 0 {
			return commitOK
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func TestLostAnswerIsFoundByReadingBack(t *testing.T) {
	s := &fakeStore{fault: faultsOnce(commitAnswerLost)}
	a, err := commitOn(t, testEditor(s, nil), "x", profileEdit("a", 1))
	must.NoError(t, err)
	must.Eq(t, Accepted{Version: 1, Change: "x", ReadBack: true}, a)
	must.Eq(t, 1, s.version)
}

// TestLostAnswerOfSupersededChange loses the answer of an applied change, and
// another change follows before the history is read back: the first one is still
// reported as accepted.
func TestLostAnswerOfSupersededChange(t *testing.T) {
	s := &fakeStore{}
	other := testEditor(s, nil)
	s.fault = faultsOnce(commitAnswerLost)
	stale := true
	s.lag = func() uint64 {
		if stale && s.version == 1 {
			return 1
		}
		return 0
	}
	e := testEditor(s, func() {
		if stale {
			stale = false
			_, err := commitOn(t, other, "y", profileEdit("a", 2))
			must.NoError(t, err)
		}
	})
	a, err := commitOn(t, e, "x", profileEdit("a", 1))
	must.NoError(t, err)
	must.Eq(t, 1, a.Version)
	must.Eq(t, []uint64{1}, s.commitsOf("x"))
}

// TestLostCommitReportsWinner loses a commit, and another change takes effect
// before the history is read back: the result is a conflict that names it.
func TestLostCommitReportsWinner(t *testing.T) {
	s := &fakeStore{fault: faultsOnce(commitLost)}
	once := true
	e := testEditor(s, func() {
		if once {
			once = false
			_, err := commitOn(t, testEditor(s, nil), "y", profileEdit("a", 2))
			must.NoError(t, err)
		}
	})
	_, err := commitOn(t, e, "x", profileEdit("a", 1))
	var conflict *Conflict
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
	must.Eq(t, "y", conflict.Losses[0].Winner.Record.Change)
	must.StrContains(t, err.Error(), "op-y")
	must.SliceEmpty(t, s.commitsOf("x"))
}

// TestRecreatedObjectDoesNotMatch deletes a created object before the lost answer
// of its creation is resolved: committing again must not create it a second time.
func TestRecreatedObjectDoesNotMatch(t *testing.T) {
	s := &fakeStore{fault: faultsOnce(commitAnswerLost)}
	once := true
	s.lag = func() uint64 {
		if once {
			return s.version
		}
		return 0
	}
	e := testEditor(s, func() {
		if once {
			once = false
			_, err := commitOn(t, testEditor(s, nil), "y", Edit{Kind: KindProfile, Name: "a"})
			must.NoError(t, err)
		}
	})
	a, err := commitOn(t, e, "x", profileEdit("a", 1))
	must.NoError(t, err)
	must.Eq(t, 1, a.Version)
	must.Eq(t, 2, s.version)
	must.MapEmpty(t, s.liveAt(2))
}

func TestOutcomeIsUnknownOnlyAfterASentCommit(t *testing.T) {
	s := &fakeStore{fault: faultsOnce(commitAnswerLost)}
	e := testEditor(s, nil)
	current, err := e.Read(context.Background())
	must.NoError(t, err)
	s.lag = func() uint64 { s.down = true; return s.version }
	_, err = e.Commit(context.Background(), current, Change{ID: "x", Edits: []Edit{profileEdit("a", 1)}})
	must.ErrorIs(t, err, ErrOutcomeUnknown)

	up := &fakeStore{}
	current, err = testEditor(up, nil).Read(context.Background())
	must.NoError(t, err)
	up.down = true
	_, err = testEditor(up, nil).Commit(context.Background(), current, Change{ID: "x", Edits: []Edit{profileEdit("a", 1)}})
	must.ErrorIs(t, err, tableservice.ErrUnavailable, must.Sprint("nothing was sent"))
}

// TestOverwrittenHistoryIsUnknown makes so many later changes that the history no
// longer holds the revision: the outcome is reported as unknown.
func TestOverwrittenHistoryIsUnknown(t *testing.T) {
	s := &fakeStore{fault: faultsOnce(commitAnswerLost)}
	once := true
	s.lag = func() uint64 {
		if once {
			return s.version
		}
		return 0
	}
	e := testEditor(s, func() {
		if once {
			once = false
			for i := range HistoryDepth {
				_, err := commitOn(t, testEditor(s, nil), fmt.Sprintf("y%d", i), profileEdit("a", 2+i))
				must.NoError(t, err)
			}
		}
	})
	_, err := commitOn(t, e, "x", profileEdit("a", 1))
	must.ErrorIs(t, err, ErrOutcomeUnknown)
}

func TestCommitRejectsInvalidEdits(t *testing.T) {
	s := &fakeStore{}
	e := testEditor(s, nil)
	_, err := commitOn(t, e, "x", profileEdit("a", 1))
	must.NoError(t, err)
	withoutTeam := profileEdit("b", 1)
	withoutTeam.Profile.Team = "nobody"
	for name, edits := range map[string][]Edit{
		"no edits":                  nil,
		"the same object twice":     {profileEdit("a", 1), profileEdit("a", 2)},
		"deletes what is not there": {{Kind: KindProfile, Name: "z"}},
		"unknown team":              {withoutTeam},
	} {
		_, err := commitOn(t, e, "y", edits...)
		must.ErrorIs(t, err, ErrInvalidChange, must.Sprint(name))
	}
	must.Eq(t, 1, s.version)
	team := Edit{Kind: KindTeam, Name: "nobody", Team: &profile.Team{Name: "nobody"}}
	_, err = commitOn(t, e, "z", team, withoutTeam)
	must.NoError(t, err, must.Sprint("the team comes with the same change"))
}

func TestCommitRequiresSeenVersion(t *testing.T) {
	edit := profileEdit("a", 2)
	for seen, check := range map[uint64]func(error) bool{
		0: isConflict,
		1: func(err error) bool { return err == nil },
		9: func(err error) bool { return err != nil && !isConflict(err) },
	} {
		s := &fakeStore{}
		e := testEditor(s, nil)
		_, err := commitOn(t, e, "x", profileEdit("a", 1))
		must.NoError(t, err)
		edit.Seen = &seen
		_, err = commitOn(t, e, "y", edit)
		must.True(t, check(err), must.Sprintf("seen %d: %v", seen, err))
	}
}

func TestHistoryAndRollback(t *testing.T) {
	s := &fakeStore{}
	e := testEditor(s, nil)
	for i := range HistoryDepth + 3 {
		_, err := commitOn(t, e, fmt.Sprint(i), profileEdit("a", i+1))
		must.NoError(t, err)
	}
	_, err := commitOn(t, e, "delete", Edit{Kind: KindProfile, Name: "a"})
	must.NoError(t, err)
	list, err := e.History(context.Background(), KindProfile, "a")
	must.NoError(t, err)
	must.SliceLen(t, HistoryDepth, list)
	must.True(t, list[0].Record.Deleted)
	previous, err := FindRevision(list, 0)
	must.NoError(t, err)
	must.Eq(t, HistoryDepth+3, previous.Record.Profile.QueueTasks)
	_, err = FindRevision(list, 1)
	must.ErrorIs(t, err, ErrNoRevision, must.Sprint("overwritten"))
	named, err := FindRevision(list, 30)
	must.NoError(t, err)
	must.Eq(t, 30, named.Record.Profile.QueueTasks)
}

// TestConflictWithStaleRead refuses a commit while reads still return the state
// that it was based on: that state must not be reported as the winner.
func TestConflictWithStaleRead(t *testing.T) {
	s := &fakeStore{}
	e := testEditor(s, nil)
	_, err := commitOn(t, e, "x", profileEdit("a", 1))
	must.NoError(t, err)
	current, err := e.Read(context.Background())
	must.NoError(t, err)
	_, err = commitOn(t, e, "y", profileEdit("a", 2))
	must.NoError(t, err)
	s.lag = func() uint64 { return 1 }
	_, err = e.Commit(context.Background(), current, Change{ID: "z", Edits: []Edit{profileEdit("a", 3)}})
	var conflict *Conflict
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
	must.SliceLen(t, 1, conflict.Losses)
	must.Eq(t, 0, conflict.Losses[0].Winner.Version)
}

// TestOldHistoryDoesNotDecide deletes a row without an Editor, so that its
// revisions begin again while the history still holds the old first one: that one
// must not decide the outcome of a lost commit.
func TestOldHistoryDoesNotDecide(t *testing.T) {
	s := &fakeStore{}
	e := testEditor(s, nil)
	_, err := commitOn(t, e, "old", profileEdit("b", 1))
	must.NoError(t, err)
	_, err = s.apply(tableservice.Commit{Writes: []tableservice.Write{{Table: Table, Key: "profile/b"}}})
	must.NoError(t, err)
	s.fault = faultsOnce(commitLost)
	a, err := commitOn(t, e, "x", profileEdit("a", 1), profileEdit("b", 2))
	must.NoError(t, err)
	must.Eq(t, []uint64{a.Version}, s.commitsOf("x"))
}
