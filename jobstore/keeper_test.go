package jobstore

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

const testJob = "5c0e7a21d94b36f8"

func open(t *testing.T, store Store, group string, life uint64, token int64) (*Keeper, []Kept) {
	t.Helper()
	k := New(Options{
		Group: group, Life: life, Retention: time.Minute, Log: slog.New(slog.DiscardHandler),
		Count: func(string, string) {},
		Clock: func() time.Duration { return time.Hour },
	}, store)
	kept, err := k.Open(t.Context(), token)
	must.NoError(t, err)
	return k, kept
}

// running has a keeper write until the test ends.
func running(t *testing.T, store Store, group string, life uint64, token int64) *Keeper {
	t.Helper()
	k, _ := open(t, store, group, life, token)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-done)
	})
	return k
}

func accept(k *Keeper, id string) Result {
	result := make(chan Result, 4)
	k.Accept(work.Job{ID: id, Kept: true, Steps: []work.Step{{Tasks: 2}}}, work.Queue{Name: "q"}, time.Second, func(r Result) { result <- r })
	return <-result
}

func note(do func(done func())) {
	noted := make(chan struct{})
	do(func() { close(noted) })
	<-noted
}

// A job is found by the owner that takes over, with what is done of it.
func TestJobsOutliveTheirOwner(t *testing.T) {
	store := newFakeStore()
	k := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(k, testJob))
	note(func(done func()) { k.TaskDone(testJob, 1, done) })
	note(func(done func()) { k.TaskFailed(testJob, 0, 7, done) })
	_, kept := open(t, store, "a", 2, 2)
	must.SliceLen(t, 1, kept)
	must.Eq(t, testJob, kept[0].Job.ID)
	must.Eq(t, 2, kept[0].Job.Tasks())
	must.Eq(t, time.Hour-time.Second, kept[0].Arrived)
	must.Eq(t, []int{1}, kept[0].Progress.Done)
	must.Eq(t, map[int]int{0: 1}, kept[0].Progress.Fails)
	must.Eq(t, map[int]int64{0: 7}, kept[0].Progress.LastFailed)
	_, kept = open(t, store, "b", 3, 3)
	must.SliceEmpty(t, kept)
}

// Jobs that have ended aren't run again; their end is told for a while.
func TestEndedJobsAreOver(t *testing.T) {
	store := newFakeStore()
	k := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(k, testJob))
	note(func(done func()) { k.End(testJob, work.StateCancelled, done) })
	must.Eq(t, Known, accept(k, testJob))
	next, kept := open(t, store, "a", 2, 2)
	must.SliceEmpty(t, kept)
	state, known := next.State(testJob)
	must.True(t, known)
	must.Eq(t, work.StateCancelled, state)
}

// One ID is one job wherever it is handed in.
func TestAJobIsStoredOnce(t *testing.T) {
	store := newFakeStore()
	a, b := running(t, store, "a", 1, 1), running(t, store, "b", 2, 2)
	must.Eq(t, Stored, accept(a, testJob))
	must.Eq(t, Known, accept(b, testJob))
	note(func(done func()) { a.End(testJob, work.StateCompleted, done) })
	must.Eq(t, Known, accept(b, testJob))
}

// A former owner that doesn't know of its successor can neither accept nor note.
func TestAFormerOwnerIsBarred(t *testing.T) {
	store := newFakeStore()
	former := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(former, testJob))
	open(t, store, "a", 2, 2)
	must.Eq(t, Uncertain, accept(former, "6c0e7a21d94b36f8"))
	must.True(t, former.Lost())
	must.MapLen(t, 1, store.seen)
}

// An owner that was late to take over doesn't bar the one after it.
func TestALateOwnerDoesNotTakeOver(t *testing.T) {
	store := newFakeStore()
	open(t, store, "a", 2, 2)
	late := New(Options{Group: "a", Life: 1, Clock: func() time.Duration { return 0 }}, store)
	_, err := late.Open(t.Context(), 1)
	must.True(t, errors.Is(err, ErrSuperseded))
	must.Eq(t, NotStored, accept(late, testJob))
}

// Before an owner has taken over the jobs it accepts none.
func TestNothingIsAcceptedBeforeOpen(t *testing.T) {
	k := New(Options{Group: "a", Life: 1, Clock: func() time.Duration { return 0 }}, newFakeStore())
	must.Eq(t, NotStored, accept(k, testJob))
}

// A job whose acceptance is turned away is refused at once; one of which the store
// doesn't tell is not.
func TestFailedAcceptances(t *testing.T) {
	store := newFakeStore()
	k := running(t, store, "a", 1, 1)
	store.fail = []failure{turnedAway}
	must.Eq(t, NotStored, accept(k, testJob))
	must.MapEmpty(t, store.seen)
	store.fail = nil
	must.True(t, eventually(func() bool { return accept(k, testJob) == Stored }))
	store.mu.Lock()
	store.fail = []failure{answerLost, answerLost, requestLost}
	store.mu.Unlock()
	must.Eq(t, Doubtful, accept(k, "6c0e7a21d94b36f8"))
	must.True(t, eventually(func() bool {
		state, known := k.State("6c0e7a21d94b36f8")
		return known && state == work.StateQueued
	}))
}

func eventually(holds func() bool) bool {
	for range 3000 {
		if holds() {
			return true
		}
		<-time.After(time.Millisecond)
	}
	return false
}

// What no owner knows is read from the store.
func TestFind(t *testing.T) {
	store := newFakeStore()
	find := func() work.State {
		state, err := Find(t.Context(), store, testJob)
		must.NoError(t, err)
		return state
	}
	must.Eq(t, work.StateAbsent, find())
	k := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(k, testJob))
	must.Eq(t, work.StateQueued, find())
	note(func(done func()) { k.TaskDone(testJob, 0, done) })
	must.Eq(t, work.StateRunning, find())
	note(func(done func()) { k.End(testJob, work.StateFailed, done) })
	must.Eq(t, work.StateFailed, find())
}

// An ended job is forgotten when nobody may ask for it any more, and not before.
func TestEndedJobsAreForgotten(t *testing.T) {
	s := newShard("a", 1)
	s.fenceVersion = 1
	s.load(testJob, 0, 7, Progress{Home: "a", State: work.StateCompleted}, time.Minute)
	s.sweep(59 * time.Second)
	must.Nil(t, s.batch(59*time.Second))
	s.sweep(61 * time.Second)
	changes := s.batch(61 * time.Second)
	must.SliceLen(t, 2, changes)
	must.Eq(t, platform.Change{Action: platform.ActionRemove, Table: progressTable, Key: testJob, Expected: 7}, changes[1])
	s.result(61*time.Second, platform.Written{Version: 8}, nil)
	_, known := s.state(testJob)
	must.False(t, known)
}

// A full batch stays within what one write may name.
func TestBatchesAreBounded(t *testing.T) {
	s := newShard("a", 1)
	s.fenceVersion = 1
	for i := range 100 {
		id := string(rune('A' + i))
		s.load(id, 5, 5, Progress{State: work.StateQueued}, 0)
		s.note(id, func(p *Progress) { p.State = work.StateCompleted }, nil)
	}
	must.LessEq(t, platform.MaxChanges, len(s.batch(0)))
}

// A change that comes while a write is on its way is in the next one.
func TestChangesDuringAWriteFollow(t *testing.T) {
	s := newShard("a", 1)
	s.fenceVersion = 1
	s.load(testJob, 5, 0, Progress{Home: "a", State: work.StateQueued}, 0)
	told := 0
	note := func(task int) {
		s.note(testJob, func(p *Progress) { p.Done = append(p.Done, task) }, func() { told++ })
	}
	note(0)
	must.SliceNotEmpty(t, s.batch(0))
	note(1)
	s.result(0, platform.Written{Version: 6}, nil)
	for _, call := range s.told() {
		call()
	}
	must.Eq(t, 1, told)
	must.SliceNotEmpty(t, s.batch(0))
	s.result(0, platform.Written{Version: 7}, nil)
	for _, call := range s.told() {
		call()
	}
	must.Eq(t, 2, told)
}

// A job whose progress says that it has ended is not run, and its row goes.
func TestALeftoverRowIsRemoved(t *testing.T) {
	store := newFakeStore()
	k := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(k, testJob))
	row := store.table(PartOf(testJob), jobsTable)[testJob]
	note(func(done func()) { k.End(testJob, work.StateCompleted, done) })
	store.mu.Lock()
	store.table(PartOf(testJob), jobsTable)[testJob] = row
	store.mu.Unlock()
	next, kept := open(t, store, "a", 2, 2)
	must.SliceEmpty(t, kept)
	for _, s := range next.shards {
		for _, c := range s.batch(0) {
			if c.Action == platform.ActionRemove {
				must.Eq(t, platform.Change{Action: platform.ActionRemove, Table: jobsTable, Key: testJob, Expected: row.Version}, c)
				return
			}
		}
	}
	t.Fatal("the row stays")
}

// Few writes follow each other at once; many are gathered, so that a part has no more than
// its share.
func TestWritesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		k, _ := open(t, store, "a", 1, 1)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		began := time.Now()
		must.Eq(t, Stored, accept(k, testJob))
		for task := range burst - 1 {
			note(func(done func()) { k.TaskDone(testJob, task, done) })
		}
		must.Eq(t, 0, time.Since(began))
		for task := range 10 {
			note(func(done func()) { k.TaskDone(testJob, task, done) })
		}
		must.Eq(t, 10*pace, time.Since(began))
		for task := range 100 {
			k.TaskDone(testJob, task, func() {})
		}
		note(func(done func()) { k.End(testJob, work.StateCompleted, done) })
		must.LessEq(t, 12*pace, time.Since(began))
		stop()
		must.NoError(t, <-done)
	})
}

// Rows that others left unreadable cost neither the other jobs nor the part.
func TestUnreadableRowsLeaveTheOtherJobs(t *testing.T) {
	store := newFakeStore()
	k := running(t, store, "a", 1, 1)
	must.Eq(t, Stored, accept(k, testJob))
	part := PartOf(testJob)
	for table, keys := range map[platform.Table][]string{
		jobsTable:     {"garbled", "of another job", "without tasks", "in a circle"},
		progressTable: {"garbled", "other"},
	} {
		for _, key := range keys {
			value := map[string]string{
				"garbled":        "\xff",
				"other":          `{"home":"a","done":[99999,-1],"fails":{"77777":3}}`,
				"of another job": `{"home":"a","job":{"ID":"x","Steps":[{"Tasks":1}]}}`,
				"without tasks":  `{"home":"a","job":{"ID":"without tasks","Steps":[{"Tasks":-4}]}}`,
				"in a circle":    `{"home":"a","job":{"ID":"in a circle","Steps":[{"Tasks":1,"After":[3]}]}}`,
			}[key]
			_, err := store.Write(t.Context(), part, []platform.Change{{Table: table, Key: key, Value: []byte(value)}})
			must.NoError(t, err)
		}
	}
	fence, err := store.Get(t.Context(), fencesTable, part, "a")
	must.NoError(t, err)
	_, err = store.Write(t.Context(), part, []platform.Change{{
		Table: fencesTable, Key: "a", Value: []byte("["), Expected: fence.Rows[0].Version,
	}})
	must.NoError(t, err)
	_, kept := open(t, store, "a", 2, 2)
	must.SliceLen(t, 1, kept)
	must.Eq(t, testJob, kept[0].Job.ID)
	_, err = store.Write(t.Context(), part, []platform.Change{{Table: progressTable, Key: testJob, Value: []byte("?")}})
	must.NoError(t, err)
	state, err := Find(t.Context(), store, testJob)
	must.NoError(t, err)
	must.Eq(t, work.StateRunning, state)
}
