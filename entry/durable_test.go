package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

func (f *fakePeers) State(_ context.Context, address, _ string) (work.JobState, error) {
	return f.states[address], f.fault
}

func (f *fakePeers) Cancel(_ context.Context, address, _ string) (work.JobState, error) {
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
		owner, store work.JobState
		want         work.JobState
		fails        bool
	}{
		"at its owner":        {work.StateCancelled, work.StateAbsent, work.StateCancelled, false},
		"ended before":        {work.StateAbsent, work.StateCompleted, work.StateCompleted, false},
		"no such job":         {work.StateAbsent, work.StateAbsent, work.StateAbsent, false},
		"its owner is silent": {work.StateAbsent, work.StateQueued, work.StateQueued, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakePeers(nil, nil)
			f.states = map[string]work.JobState{"near": test.owner}
			f.inStore = test.store
			state, err := newEntry(f).Cancel(t.Context(), "j")
			must.Eq(t, test.want, state)
			must.Eq(t, test.fails, errors.Is(err, ErrOwnerUnavailable))
		})
	}
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
