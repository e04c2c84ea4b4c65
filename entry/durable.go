package entry

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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

// Times of cancellations.
const (
	// cancelWait is how long a cancellation waits for a job that is between two owners or being stored.
	cancelWait = 1500 * time.Millisecond
	// cancelRetryInterval is the pause before the owners are asked again meanwhile.
	cancelRetryInterval = 100 * time.Millisecond
	// localCancelTimeout is how long the owner in this process may take for a cancellation, as long as
	// others may.
	localCancelTimeout = 2 * time.Second
)

// Cancel cancels a job for good and returns its state after that: final, and work.StateWithdrawn for a job
// that is nowhere and will never be stored. The error is ErrOwnerUnavailable if that isn't certain: the
// caller has to cancel the job again.
func (e *Entry) Cancel(ctx context.Context, id string) (work.JobState, error) {
	last := time.NewTimer(cancelWait)
	defer last.Stop()
	for {
		state, err := e.cancelOnce(ctx, id)
		retry := errors.Is(err, ErrOwnerUnavailable)
		select {
		case <-last.C:
			retry = false
		case <-ctx.Done():
			retry = false
		default:
		}
		if !retry {
			e.options.Count("cancels", state.String())
			return state, err
		}
		select {
		case <-time.After(cancelRetryInterval):
		case <-ctx.Done():
		}
	}
}

// cancelOnce asks the owners to cancel a job. If none of them knows it and the store hasn't got it, a request
// for the job or a write of it may still be on its way, and an owner withdraws it.
func (e *Entry) cancelOnce(ctx context.Context, id string) (work.JobState, error) {
	state := e.askAll(ctx, func(ctx context.Context, held ownership.GroupClaim) work.JobState {
		return e.cancelAt(ctx, held, id, false)
	})
	if state.IsFinal() {
		return state, nil
	}
	state, err := e.options.FindJob(ctx, id)
	if err != nil || state.IsFinal() {
		return state, err
	}
	if state == work.StateAbsent {
		state = e.withdraw(ctx, id)
	}
	if state.IsFinal() {
		return state, nil
	}
	return state, ErrOwnerUnavailable.Errorf("job %s can't be cancelled now: cancel it again", id)
}

// withdraw has one of the owners keep a job from being stored, the one in this process first, and returns
// the job's state.
func (e *Entry) withdraw(ctx context.Context, id string) work.JobState {
	claims := slices.Clone(e.options.Claims())
	slices.SortStableFunc(claims, func(a, b ownership.GroupClaim) int { return cmp.Compare(e.distance(a), e.distance(b)) })
	for _, held := range claims {
		if e.distance(held) == unreachable {
			break
		}
		if state := e.cancelAt(ctx, held, id, true); state != work.StateAbsent {
			return state
		}
	}
	return work.StateAbsent
}

// Distances to an owner.
const (
	inProcess = iota
	near
	far
	unreachable
)

// distance returns how far away the owner under a claim is.
func (e *Entry) distance(held ownership.GroupClaim) int {
	if _, ok := e.localOwner(held); ok {
		return inProcess
	}
	switch {
	case !e.isAlive(held):
		return unreachable
	case e.options.DomainOf(held.Group) == e.options.FailureDomain:
		return near
	}
	return far
}

// cancelAt has one owner cancel a job, or withdraw one that it doesn't know.
func (e *Entry) cancelAt(ctx context.Context, held ownership.GroupClaim, id string, withdraw bool) work.JobState {
	if local, ok := e.localOwner(held); ok {
		ctx, cancel := context.WithTimeout(ctx, localCancelTimeout)
		defer cancel()
		state, _ := local.CancelJob(ctx, id, withdraw)
		return state
	}
	state, err := e.remote.Cancel(ctx, held.Claim.GetControl(), id, withdraw)
	e.logUnanswered(ctx, held, id, err)
	return state
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
