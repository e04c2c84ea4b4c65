package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

func (f *fakePeers) State(_ context.Context, address, _ string) (work.JobState, error) {
	return f.states[address], f.fault
}

func (f *fakePeers) Cancel(_ context.Context, address, _ string, withdraw bool) (work.JobState, error) {
	if withdraw {
		f.withdrawnAt = append(f.withdrawnAt, address)
		return f.withdrawn[address], f.fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	if f.onCancel != nil {
		f.onCancel()
	}
	return f.states[address], f.fault
}

func TestStateComesFromOwner(t *testing.T) {
	f := newFakePeers(nil, nil)
	f.states = map[string]work.JobState{"far": work.StateRunning}
	state, err := newEntry(f).State(t.Context(), "j")
	must.NoError(t, err)
	must.Eq(t, work.StateRunning, state)
}

// If no owner knows a job, its state is read from the store, which may have none.
func TestStateComesFromStoreWithoutOwner(t *testing.T) {
	f := newFakePeers(nil, nil)
	for _, want := range []work.JobState{work.StateCompleted, work.StateAbsent} {
		f.inStore = want
		state, err := newEntry(f).State(t.Context(), "j")
		must.NoError(t, err)
		must.Eq(t, want, state)
	}
	f.storeFault = errors.New("away")
	_, err := newEntry(f).State(t.Context(), "j")
	must.Error(t, err)
}

func TestCancel(t *testing.T) {
	for name, test := range map[string]struct {
		owner, store, withdrawn work.JobState
		want                    work.JobState
		fails                   bool
	}{
		"at its owner":               {owner: work.StateCancelled, want: work.StateCancelled},
		"ended before":               {store: work.StateCompleted, want: work.StateCompleted},
		"no such job":                {withdrawn: work.StateWithdrawn, want: work.StateWithdrawn},
		"withdrawn before":           {store: work.StateWithdrawn, want: work.StateWithdrawn},
		"stored meanwhile":           {withdrawn: work.StateQueued, want: work.StateQueued, fails: true},
		"its owner is silent":        {store: work.StateQueued, want: work.StateQueued, fails: true},
		"no owner reaches the store": {want: work.StateAbsent, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakePeers(nil, nil)
				f.states = map[string]work.JobState{"near": test.owner}
				f.withdrawn = map[string]work.JobState{"near": test.withdrawn}
				f.inStore = test.store
				state, err := newEntry(f).Cancel(t.Context(), "j")
				must.Eq(t, test.want, state)
				must.Eq(t, test.fails, errors.Is(err, ErrOwnerUnavailable))
			})
		})
	}
}

// A cancellation is acknowledged for a job that nobody knows only once an owner has withdrawn it: a request for
// it, or a write of it, may still be on its way.
func TestUnknownJobIsWithdrawnBeforeItsCancelIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePeers(nil, nil)
		f.withdrawn = map[string]work.JobState{"far": work.StateWithdrawn}
		state, err := newEntry(f).Cancel(t.Context(), "j")
		must.NoError(t, err)
		must.Eq(t, work.StateWithdrawn, state)
		must.Eq(t, []string{"near", "far"}, f.withdrawnAt)
	})
}

// A job that is between two owners when it is cancelled is cancelled once one of them has it.
func TestCancelWaitsForJobBetweenOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePeers(nil, nil)
		f.inStore = work.StateQueued
		f.states = map[string]work.JobState{}
		f.onCancel = func() {
			if f.cancels == 6 {
				f.states["far"] = work.StateCancelled
			}
		}
		state, err := newEntry(f).Cancel(t.Context(), "j")
		must.NoError(t, err)
		must.Eq(t, work.StateCancelled, state)
	})
}

// Silent owners count with the pending jobs that they last reported.
func TestPendingJobsSumsAllOwners(t *testing.T) {
	f := newFakePeers(nil, nil)
	silent, end := context.WithCancel(t.Context())
	end()
	for incarnation, pending := range map[uint64]int32{1: 3, 2: 4} {
		view := f.views[incarnation]
		view.PendingJobs = map[string]int32{"q": pending, "other": 1}
		if incarnation == 2 {
			view.Alive = silent
		}
		f.views[incarnation] = view
	}
	must.Eq(t, 7, newEntry(f).PendingJobs("q"))
	must.Eq(t, 0, newEntry(f).PendingJobs("none"))
}
