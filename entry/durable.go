package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/work"
)

// ErrOwnerUnavailable says that a durable job's owner can't be asked at the moment; the caller may
// try again later.
const ErrOwnerUnavailable = errs.Tag("the job's owner is away")

// State returns the state of a durable job, from the owner that knows it or else from the store.
func (e *Entry) State(ctx context.Context, id string) (work.JobState, error) {
	state := e.askAll(ctx, func(ctx context.Context, held ownership.GroupClaim) work.JobState {
		if local, ok := e.localOwner(held); ok {
			state, _ := local.JobState(ctx, id)
			return state
		}
		state, err := e.remote.State(ctx, held.Claim.GetControl(), id)
		e.logUnanswered(ctx, held, id, err)
		return state
	})
	if state != work.StateAbsent {
		return state, nil
	}
	return e.options.FindJob(ctx, id)
}

// Cancel cancels a durable job for good and returns its state after that. The error is
// ErrOwnerUnavailable if no owner knows the job and the store has it as unfinished.
func (e *Entry) Cancel(ctx context.Context, id string) (work.JobState, error) {
	state := e.askAll(ctx, func(ctx context.Context, held ownership.GroupClaim) work.JobState {
		if local, ok := e.localOwner(held); ok {
			state, _ := local.CancelJob(ctx, id)
			return state
		}
		state, err := e.remote.Cancel(ctx, held.Claim.GetControl(), id)
		e.logUnanswered(ctx, held, id, err)
		return state
	})
	e.options.Count("cancels", state.String())
	if state.IsFinal() {
		return state, nil
	}
	state, err := e.options.FindJob(ctx, id)
	if err == nil && state != work.StateAbsent && !state.IsFinal() {
		return state, ErrOwnerUnavailable.Errorf("job %s is %s and can't be cancelled now", id, state)
	}
	return state, err
}

// PendingJobs counts the durable jobs of a queue of which nothing has started. A silent owner
// counts with what it last reported: it accepts no durable job without the store.
func (e *Entry) PendingJobs(queue string) int {
	pending := int32(0)
	for _, held := range e.options.Claims() {
		if local, ok := e.localOwner(held); ok {
			pending += local.PendingJobs()[queue]
		} else if view, ok := e.peers.View(held.Claim.GetLife()); ok {
			pending += view.PendingJobs[queue]
		}
	}
	return int(pending)
}

// askAll asks all owners at once and returns the state from the one that knows the job.
func (e *Entry) askAll(ctx context.Context, query func(context.Context, ownership.GroupClaim) work.JobState) work.JobState {
	var found atomic.Int64
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.forEachLiveOwner(func(held ownership.GroupClaim) {
		if state := query(ctx, held); state != work.StateAbsent {
			found.Store(int64(state))
			// Only one owner knows a job: the other calls are not needed any more.
			cancel()
		}
	})
	return work.JobState(found.Load())
}

// forEachLiveOwner calls a function concurrently for each owner that is alive, and waits for all.
func (e *Entry) forEachLiveOwner(call func(ownership.GroupClaim)) {
	var calls sync.WaitGroup
	for _, held := range e.options.Claims() {
		if _, ok := e.localOwner(held); !ok && !e.isAlive(held) {
			continue
		}
		calls.Go(func() { call(held) })
	}
	calls.Wait()
}

// localOwner returns the owner under a claim if it runs in this process.
func (e *Entry) localOwner(held ownership.GroupClaim) (Local, bool) {
	if held.Claim.GetLife() != e.options.Incarnation {
		return nil, false
	}
	return e.options.LocalOwner(held.Group)
}

// isAlive reports whether the owner under a claim has answered heartbeats and is not lost.
func (e *Entry) isAlive(held ownership.GroupClaim) bool {
	view, ok := e.peers.View(held.Claim.GetLife())
	return ok && view.Timestamp > 0 && view.Alive.Err() == nil
}

// logUnanswered logs the error of an owner that did not answer, unless the context has ended.
func (e *Entry) logUnanswered(ctx context.Context, held ownership.GroupClaim, id string, err error) {
	if err != nil && ctx.Err() == nil {
		e.options.Log.LogAttrs(ctx, slog.LevelWarn, "owner not asked",
			slog.String("group", held.Group), slog.String("owner", held.Claim.GetVm()), slog.String("job", id), slog.Any("error", err))
	}
}
