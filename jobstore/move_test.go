package jobstore

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// follow has a writer adopt jobs until the test ends.
func follow(t *testing.T, w *Writer) <-chan DurableJob {
	adopted := make(chan DurableJob, 8)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.FollowMoves(ctx, func(job DurableJob) { adopted <- job })
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return adopted
}

// A job that moves to another group is known to its owner alone, with all that was recorded before.
func TestMovedJobIsAdopted(t *testing.T) {
	store := newFakeStore()
	a, b := startWriter(t, store, "a", 1, 1), startWriter(t, store, "b", 2, 2)
	adopted := follow(t, b)
	must.Eq(t, Stored, acceptJob(a, testJob))
	a.RecordTaskFailed(testJob, 1, 7, nil)
	recorded := make(chan struct{})
	a.RecordTaskDone(testJob, 0, func() { close(recorded) })
	moved := make(chan bool, 1)
	a.Move(t.Context(), testJob, "b", func(ok bool) { moved <- ok })
	must.True(t, <-moved)
	<-recorded
	job := <-adopted
	must.Eq(t, testJob, job.Job.ID)
	must.Eq(t, []int{0}, job.Progress.Done)
	must.Eq(t, map[int]int{1: 1}, job.Progress.Failures)
	_, known := a.State(testJob)
	must.False(t, known)
	must.Eq(t, AlreadyStored, acceptJob(a, testJob))
	awaitStored(func(done func()) { b.RecordEnd(testJob, work.StateCompleted, done) })
	state, _ := b.State(testJob)
	must.Eq(t, work.StateCompleted, state)
	must.True(t, eventually(func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.table(PartitionOf(testJob), movesTable)) == 0
	}))
}

// Successors of both owners find a moved job in its new group, also if nobody has adopted it yet.
func TestSuccessorsFindMovedJob(t *testing.T) {
	store := newFakeStore()
	a := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(a, testJob))
	moved := make(chan bool, 1)
	a.Move(t.Context(), testJob, "b", func(ok bool) { moved <- ok })
	must.True(t, <-moved)
	_, unfinished := openWriter(t, store, "a", 3, 3)
	must.SliceEmpty(t, unfinished)
	next, unfinished := openWriter(t, store, "b", 4, 4)
	must.SliceLen(t, 1, unfinished)
	adopted := follow(t, next)
	must.True(t, eventually(func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.table(PartitionOf(testJob), movesTable)) == 0
	}))
	must.Eq(t, 0, len(adopted))
}

// A job that moves to a group while a new owner of the group reads its jobs is run there: the owner finds
// its progress row, not its jobs row, and would otherwise take it for known when it adopts moved jobs.
func TestJobThatMovesWhileItsNewOwnerReadsIsAdopted(t *testing.T) {
	store := newFakeStore()
	a := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(a, testJob))
	store.beforeRead = func(table platform.Table, partition string) {
		if table == progressTable && partition == PartitionOf(testJob) {
			moved := make(chan bool, 1)
			a.Move(t.Context(), testJob, "b", func(ok bool) { moved <- ok })
			must.True(t, <-moved)
		}
	}
	b, unfinished := openWriter(t, store, "b", 2, 2)
	must.SliceEmpty(t, unfinished)
	must.Eq(t, testJob, (<-follow(t, b)).Job.ID)
}

// A previous owner that doesn't know of its successor can't give a job away.
func TestPreviousOwnerCannotMoveJobs(t *testing.T) {
	store := newFakeStore()
	previous := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(previous, testJob))
	openWriter(t, store, "a", 2, 2)
	previous.Move(t.Context(), testJob, "b", func(bool) {})
	must.True(t, eventually(previous.IsSuperseded))
	_, unfinished := openWriter(t, store, "b", 3, 3)
	must.SliceEmpty(t, unfinished)
}

// silentStore leaves the first request to the feed unanswered, as an outage does in which the store
// takes requests and answers none.
type silentStore struct {
	*fakeStore
	asked atomic.Int32
}

func (f *silentStore) Feed(ctx context.Context, table platform.Table, after int64, wait time.Duration) (platform.Rows, error) {
	if f.asked.Add(1) == 1 {
		ctx, cancel := context.WithTimeout(ctx, wait+platform.FeedMargin)
		defer cancel()
		<-ctx.Done()
		return platform.Rows{}, platform.ErrStoreUnavailable.Errorf("no answer")
	}
	return f.fakeStore.Feed(ctx, table, after, wait)
}

// A job that moves while the last request to the feed stays unanswered is adopted before its tasks
// count as lost.
func TestMovedJobIsAdoptedAfterUnansweredFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a := startWriter(t, store, "a", 1, 1)
		b := startWriter(t, &silentStore{fakeStore: store}, "b", 2, 2)
		must.Eq(t, Stored, acceptJob(a, testJob))
		adopted := follow(t, b)
		synctest.Wait()
		moved := make(chan bool, 1)
		a.Move(t.Context(), testJob, "b", func(ok bool) { moved <- ok })
		must.True(t, <-moved)
		began := time.Now()
		<-adopted
		must.LessEq(t, 3500*time.Millisecond, time.Since(began))
	})
}

// A move whose answer was lost is not written again over what became of the job since: it has ended in
// its new group, or has come back.
func TestRetriedMoveSparesLaterRows(t *testing.T) {
	for name, c := range map[string]struct {
		job      *AcceptedJob
		progress Progress
	}{
		"ended":     {nil, Progress{Group: "b", State: work.StateCompleted}},
		"came back": {&AcceptedJob{Group: "a", Moves: 2}, Progress{Group: "a", State: work.StateQueued, Done: []int{1}}},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			s := storedShard(store, "j")
			moved := false
			job, _ := json.Marshal(AcceptedJob{Group: "b", Moves: 1})
			s.move("j", &outgoingMove{group: "b", number: 1, job: job, row: []byte("{}"), onResult: func(ok bool) { moved = ok }})
			changes := s.nextBatch(0)
			_, err := store.apply(partitionName(0), changes)
			must.NoError(t, err)
			s.handleResult(0, platform.WriteResult{}, platform.ErrWriteUnconfirmed.Errorf("no answer"))
			progress, _ := json.Marshal(c.progress)
			later := []platform.Change{
				{Action: platform.ActionRemove, Table: jobsTable, Key: "j", Expected: store.version},
				{Table: progressTable, Key: "j", Value: progress, Expected: store.version},
			}
			if c.job != nil {
				value, _ := json.Marshal(*c.job)
				later[0] = platform.Change{Table: jobsTable, Key: "j", Value: value, Expected: store.version}
			}
			_, err = store.apply(partitionName(0), later)
			must.NoError(t, err)
			writeAll(s, store, 0, 4)
			must.True(t, moved)
			must.Eq(t, progress, store.table(partitionName(0), progressTable)["j"].Value)
		})
	}
}
