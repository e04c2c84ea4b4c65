package jobstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// withdrawJob withdraws a job and returns its state.
func withdrawJob(w *Writer, id string) work.JobState {
	result := make(chan work.JobState, 1)
	w.Withdraw(id, func(state work.JobState) { result <- state })
	return <-result
}

// A job that was cancelled before anybody had it is stored nowhere afterwards: a request for it may arrive
// late, at any owner.
func TestWithdrawnJobIsNeverStored(t *testing.T) {
	store := newFakeStore()
	a, b := startWriter(t, store, "a", 1, 1), startWriter(t, store, "b", 2, 2)
	must.Eq(t, work.StateWithdrawn, withdrawJob(a, testJob))
	must.Eq(t, work.StateWithdrawn, withdrawJob(a, testJob))
	must.Eq(t, work.StateWithdrawn, withdrawJob(b, testJob))
	must.Eq(t, Withdrawn, acceptJob(a, testJob))
	must.Eq(t, Withdrawn, acceptJob(b, testJob))
	state, err := ReadState(t.Context(), store, testJob)
	must.NoError(t, err)
	must.Eq(t, work.StateWithdrawn, state)
	next, unfinished := openWriter(t, store, "a", 3, 3)
	must.SliceEmpty(t, unfinished)
	state, _ = next.State(testJob)
	must.Eq(t, work.StateWithdrawn, state)
	must.MapNotContainsKey(t, store.everStored, testJob)
}

// A job whose writes get no answers is withdrawn by its owner if none of them was applied; one that is in the
// store stays there, to be cancelled.
func TestWithdrawalOfJobThatIsBeingStored(t *testing.T) {
	for name, test := range map[string]struct {
		failures []failure
		state    work.JobState
		accepted AcceptResult
	}{
		"not applied": {[]failure{requestLost, requestLost}, work.StateWithdrawn, Withdrawn},
		"applied":     {[]failure{answerLost, requestLost}, work.StateQueued, Stored},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				w := startWriter(t, store, "a", 1, 1)
				store.failures = test.failures
				results := make(chan AcceptResult, 4)
				w.Accept(work.Job{ID: testJob, Durable: true, Steps: []work.Step{{Tasks: 1}}}, work.Queue{Name: "q"}, time.Second, func(r AcceptResult) { results <- r })
				must.Eq(t, Unconfirmed, <-results)
				must.Eq(t, test.state, withdrawJob(w, testJob))
				must.Eq(t, test.accepted, <-results)
				state, _ := w.State(testJob)
				must.Eq(t, test.state, state)
			})
		})
	}
}

// A write of an owner that has ended may be applied seconds later. It changes nothing once its job was
// withdrawn at another owner.
func TestLateWriteOfWithdrawnJobIsVoid(t *testing.T) {
	store := newFakeStore()
	a, b := startWriter(t, store, "a", 1, 1), startWriter(t, store, "b", 2, 2)
	store.failures = []failure{appliedLate}
	result := make(chan AcceptResult, 4)
	a.Accept(work.Job{ID: testJob, Durable: true, Steps: []work.Step{{Tasks: 1}}}, work.Queue{Name: "q"}, time.Second, func(r AcceptResult) { result <- r })
	must.True(t, eventually(func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.delayed) == 1
	}))
	must.Eq(t, work.StateWithdrawn, withdrawJob(b, testJob))
	store.applyDelayed()
	must.Eq(t, Withdrawn, <-result)
	must.MapNotContainsKey(t, store.everStored, testJob)
}

// The row of a withdrawn job is removed like that of an ended one.
func TestRowOfWithdrawnJobIsRemoved(t *testing.T) {
	store := newFakeStore()
	s := storedShard(store)
	s.retention = time.Minute
	s.withdraw("j", 0, func(work.JobState) {})
	writeAll(s, store, 0, 2)
	must.MapContainsKey(t, store.table(partitionName(0), progressTable), "j")
	s.enqueueDue(2 * time.Minute)
	writeAll(s, store, 2*time.Minute, 2)
	must.MapNotContainsKey(t, store.table(partitionName(0), progressTable), "j")
	must.MapEmpty(t, s.jobs)
}

// Callers may cancel what they never submitted. That leaves half of a partition's places for jobs.
func TestWithdrawnJobsLeavePlacesForOthers(t *testing.T) {
	s := newTestShard()
	s.fenceVersion = 1
	for i := range int(maxWithdrawShare * maxJobs) {
		s.withdraw(string(rune(i)), 0, func(work.JobState) {})
	}
	refused := work.StateQueued
	s.withdraw("one more", 0, func(state work.JobState) { refused = state })
	for _, call := range s.takeCallbacks() {
		call()
	}
	must.Eq(t, work.StateAbsent, refused)
}
