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

// openWriter opens a writer for a group under a token and returns the unfinished jobs that it read.
func openWriter(t *testing.T, store Store, group string, incarnation uint64, token int64) (*Writer, []DurableJob) {
	t.Helper()
	w := New(Options{
		Group: group, Incarnation: incarnation, Retention: time.Minute, Log: slog.New(slog.DiscardHandler),
		Count: func(string, string) {},
		Clock: func() time.Duration { return time.Hour },
	}, store)
	unfinished, err := w.Open(t.Context(), token)
	must.NoError(t, err)
	return w, unfinished
}

// newTestShard returns a shard of group a without a fence.
func newTestShard() *shard {
	return newShard("a", 1, 1, platform.DefaultRowBytes, func(string, error) {})
}

// startWriter opens a writer that runs until the test ends.
func startWriter(t *testing.T, store Store, group string, incarnation uint64, token int64) *Writer {
	t.Helper()
	w, _ := openWriter(t, store, group, incarnation, token)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-done)
	})
	return w
}

// acceptJob stores a job and returns the first result.
func acceptJob(w *Writer, id string) AcceptResult {
	result := make(chan AcceptResult, 4)
	w.Accept(work.Job{ID: id, Durable: true, Steps: []work.Step{{Tasks: 2}}}, work.Queue{Name: "q"}, time.Second, func(r AcceptResult) { result <- r })
	return <-result
}

// awaitStored records something and waits until it is stored.
func awaitStored(record func(done func())) {
	stored := make(chan struct{})
	record(func() { close(stored) })
	<-stored
}

// A new owner of the group finds its jobs with their progress; other groups find none.
func TestNewOwnerFindsJobsWithProgress(t *testing.T) {
	store := newFakeStore()
	w := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(w, testJob))
	awaitStored(func(done func()) { w.RecordTaskDone(testJob, 1, done) })
	awaitStored(func(done func()) { w.RecordTaskFailed(testJob, 0, 7, done) })
	_, unfinished := openWriter(t, store, "a", 2, 2)
	must.SliceLen(t, 1, unfinished)
	must.Eq(t, testJob, unfinished[0].Job.ID)
	must.Eq(t, 2, unfinished[0].Job.TaskCount())
	must.Eq(t, time.Hour-time.Second, unfinished[0].Arrived)
	must.Eq(t, []int{1}, unfinished[0].Progress.Done)
	must.Eq(t, map[int]int{0: 1}, unfinished[0].Progress.Failures)
	must.Eq(t, map[int]int64{0: 7}, unfinished[0].Progress.LastFailedRun)
	_, unfinished = openWriter(t, store, "b", 3, 3)
	must.SliceEmpty(t, unfinished)
}

// A new owner does not run ended jobs again, and still answers with their final state.
func TestEndedJobIsNotRunAgain(t *testing.T) {
	store := newFakeStore()
	w := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(w, testJob))
	awaitStored(func(done func()) { w.RecordEnd(testJob, work.StateCancelled, done) })
	must.Eq(t, AlreadyStored, acceptJob(w, testJob))
	next, unfinished := openWriter(t, store, "a", 2, 2)
	must.SliceEmpty(t, unfinished)
	state, known := next.State(testJob)
	must.True(t, known)
	must.Eq(t, work.StateCancelled, state)
}

// One ID is one job, whichever group it is submitted to.
func TestJobIsStoredOnceAcrossGroups(t *testing.T) {
	store := newFakeStore()
	a, b := startWriter(t, store, "a", 1, 1), startWriter(t, store, "b", 2, 2)
	must.Eq(t, Stored, acceptJob(a, testJob))
	must.Eq(t, AlreadyStored, acceptJob(b, testJob))
	awaitStored(func(done func()) { a.RecordEnd(testJob, work.StateCompleted, done) })
	must.Eq(t, AlreadyStored, acceptJob(b, testJob))
}

// A previous owner that doesn't know of its successor can't store a job.
func TestPreviousOwnerCannotStoreJobs(t *testing.T) {
	store := newFakeStore()
	previous := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(previous, testJob))
	openWriter(t, store, "a", 2, 2)
	must.Eq(t, Superseded, acceptJob(previous, "6c0e7a21d94b36f8"))
	must.True(t, previous.IsSuperseded())
	must.MapLen(t, 1, store.everStored)
}

// An owner with a lower token that opens late does not displace the current one.
func TestOpenWithLowerTokenFails(t *testing.T) {
	store := newFakeStore()
	openWriter(t, store, "a", 2, 2)
	late := New(Options{Group: "a", Incarnation: 1, Clock: func() time.Duration { return 0 }}, store)
	_, err := late.Open(t.Context(), 1)
	must.True(t, errors.Is(err, ErrSuperseded))
	must.Eq(t, NotStored, acceptJob(late, testJob))
}

// A writer accepts nothing before Open: its fence row is not written yet.
func TestNoJobIsAcceptedBeforeOpen(t *testing.T) {
	w := New(Options{Group: "a", Incarnation: 1, Clock: func() time.Duration { return 0 }}, newFakeStore())
	must.Eq(t, NotStored, acceptJob(w, testJob))
}

// A job whose write is rejected is refused at once. A job whose answers are lost is reported as
// unconfirmed and retried until it is stored.
func TestAcceptReportsRejectedAndUnconfirmedWrites(t *testing.T) {
	store := newFakeStore()
	w := startWriter(t, store, "a", 1, 1)
	store.failures = []failure{rejected}
	must.Eq(t, NotStored, acceptJob(w, testJob))
	must.MapEmpty(t, store.everStored)
	store.failures = nil
	must.True(t, eventually(func() bool { return acceptJob(w, testJob) == Stored }))
	store.mu.Lock()
	store.failures = []failure{answerLost, answerLost, requestLost}
	store.mu.Unlock()
	must.Eq(t, Unconfirmed, acceptJob(w, "6c0e7a21d94b36f8"))
	must.True(t, eventually(func() bool {
		state, known := w.State("6c0e7a21d94b36f8")
		return known && state == work.StateQueued
	}))
}

// eventually polls a condition for three seconds.
func eventually(condition func() bool) bool {
	for range 3000 {
		if condition() {
			return true
		}
		<-time.After(time.Millisecond)
	}
	return false
}

// ReadState finds each state of a job without an owner.
func TestReadStateFindsEachState(t *testing.T) {
	store := newFakeStore()
	find := func() work.JobState {
		state, err := ReadState(t.Context(), store, testJob)
		must.NoError(t, err)
		return state
	}
	must.Eq(t, work.StateAbsent, find())
	w := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(w, testJob))
	must.Eq(t, work.StateQueued, find())
	awaitStored(func(done func()) { w.RecordTaskDone(testJob, 0, done) })
	must.Eq(t, work.StateRunning, find())
	awaitStored(func(done func()) { w.RecordEnd(testJob, work.StateFailed, done) })
	must.Eq(t, work.StateFailed, find())
}

// The progress row of an ended job is removed once its retention is over, not before.
func TestEndedJobIsRemovedAfterRetention(t *testing.T) {
	s := newTestShard()
	s.fenceVersion = 1
	s.add(testJob, 0, 7, Progress{Group: "a", State: work.StateCompleted}, time.Minute)
	s.enqueueDue(59 * time.Second)
	must.Nil(t, s.nextBatch(59*time.Second))
	s.enqueueDue(61 * time.Second)
	changes := s.nextBatch(61 * time.Second)
	must.SliceLen(t, 2, changes)
	must.Eq(t, platform.Change{Action: platform.ActionRemove, Table: progressTable, Key: testJob, Expected: 7}, changes[1])
	s.handleResult(61*time.Second, platform.WriteResult{Version: 8}, nil)
	_, known := s.state(testJob)
	must.False(t, known)
}

// A full batch stays within the most changes of one write.
func TestBatchStaysWithinMaxChanges(t *testing.T) {
	s := newTestShard()
	s.fenceVersion = 1
	for i := range 100 {
		id := string(rune('A' + i))
		s.add(id, 5, 5, Progress{State: work.StateQueued}, 0)
		s.record(id, func(p *Progress) { p.State = work.StateCompleted }, nil)
	}
	must.LessEq(t, platform.MaxChanges, len(s.nextBatch(0)))
}

// A change that is recorded while a write is in flight goes into the next write.
func TestChangeDuringWriteGoesIntoNextWrite(t *testing.T) {
	s := newTestShard()
	s.fenceVersion = 1
	s.add(testJob, 5, 0, Progress{Group: "a", State: work.StateQueued}, 0)
	notified := 0
	recordDone := func(task int) {
		s.record(testJob, func(p *Progress) { p.Done = append(p.Done, task) }, func() { notified++ })
	}
	recordDone(0)
	must.SliceNotEmpty(t, s.nextBatch(0))
	recordDone(1)
	s.handleResult(0, platform.WriteResult{Version: 6}, nil)
	for _, call := range s.takeCallbacks() {
		call()
	}
	must.Eq(t, 1, notified)
	must.SliceNotEmpty(t, s.nextBatch(0))
	s.handleResult(0, platform.WriteResult{Version: 7}, nil)
	for _, call := range s.takeCallbacks() {
		call()
	}
	must.Eq(t, 2, notified)
}

// A new owner does not run a job whose progress row has a final state, and removes its jobs row.
func TestJobsRowOfEndedJobIsRemoved(t *testing.T) {
	store := newFakeStore()
	w := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(w, testJob))
	row := store.table(PartitionOf(testJob), jobsTable)[testJob]
	awaitStored(func(done func()) { w.RecordEnd(testJob, work.StateCompleted, done) })
	store.mu.Lock()
	store.table(PartitionOf(testJob), jobsTable)[testJob] = row
	store.mu.Unlock()
	next, unfinished := openWriter(t, store, "a", 2, 2)
	must.SliceEmpty(t, unfinished)
	for _, s := range next.shards {
		for _, c := range s.nextBatch(0) {
			if c.Action == platform.ActionRemove {
				must.Eq(t, platform.Change{Action: platform.ActionRemove, Table: jobsTable, Key: testJob, Expected: row.Version}, c)
				return
			}
		}
	}
	t.Fatal("the jobs row of the ended job is not removed")
}

// A few writes go out at once. Further ones wait and are batched, so that a partition gets no more
// than its share of the store's writes.
func TestWritesAreBatchedAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		w, _ := openWriter(t, store, "a", 1, 1)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		started := time.Now()
		must.Eq(t, Stored, acceptJob(w, testJob))
		for task := range writeBurst - 1 {
			awaitStored(func(done func()) { w.RecordTaskDone(testJob, task, done) })
		}
		must.Eq(t, 0, time.Since(started))
		for task := range 10 {
			awaitStored(func(done func()) { w.RecordTaskDone(testJob, task, done) })
		}
		must.Eq(t, 10*writeInterval, time.Since(started))
		for task := range 100 {
			w.RecordTaskDone(testJob, task, func() {})
		}
		awaitStored(func(done func()) { w.RecordEnd(testJob, work.StateCompleted, done) })
		must.LessEq(t, 12*writeInterval, time.Since(started))
		stop()
		must.NoError(t, <-done)
	})
}

// Unreadable rows of other writers affect neither the other jobs nor the partition.
func TestUnreadableRowsDoNotAffectOtherJobs(t *testing.T) {
	store := newFakeStore()
	w := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(w, testJob))
	partition := PartitionOf(testJob)
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
			_, err := store.Write(t.Context(), partition, []platform.Change{{Table: table, Key: key, Value: []byte(value)}})
			must.NoError(t, err)
		}
	}
	fence, err := store.Get(t.Context(), fencesTable, partition, "a")
	must.NoError(t, err)
	_, err = store.Write(t.Context(), partition, []platform.Change{{
		Table: fencesTable, Key: "a", Value: []byte("["), Expected: fence.Rows[0].Version,
	}})
	must.NoError(t, err)
	_, unfinished := openWriter(t, store, "a", 2, 2)
	must.SliceLen(t, 1, unfinished)
	must.Eq(t, testJob, unfinished[0].Job.ID)
	_, err = store.Write(t.Context(), partition, []platform.Change{{Table: progressTable, Key: testJob, Value: []byte("?")}})
	must.NoError(t, err)
	state, err := ReadState(t.Context(), store, testJob)
	must.NoError(t, err)
	must.Eq(t, work.StateRunning, state)
}

// The first owner of a process whose group was handed over and back writes nothing beside the second
// one.
func TestFirstOwnerOfSameProcessIsSuperseded(t *testing.T) {
	store := newFakeStore()
	first := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(first, testJob))
	openWriter(t, store, "a", 2, 2)
	again := startWriter(t, store, "a", 1, 3)
	awaitStored(func(done func()) { again.RecordTaskDone(testJob, 1, done) })
	first.RecordTaskFailed(testJob, 0, 7, func() {})
	must.Eq(t, Superseded, acceptJob(first, "6c0e7a21d94b36f8"))
	_, unfinished := openWriter(t, store, "a", 4, 4)
	must.SliceLen(t, 1, unfinished)
	must.Eq(t, []int{1}, unfinished[0].Progress.Done)
	must.MapEmpty(t, unfinished[0].Progress.Failures)
}
