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

// ErrHomeAway says that a kept job's owner can't be asked at the moment; ask again
// later.
const ErrHomeAway = errs.Tag("the job's owner is away")

// State tells how a kept job stands: its owner knows, or else the store.
func (e *Entry) State(ctx context.Context, id string) (work.State, error) {
	state := e.ask(ctx, func(ctx context.Context, held ownership.Held) work.State {
		if local, ok := e.local(held); ok {
			state, _ := local.JobState(ctx, id)
			return state
		}
		state, err := e.remote.State(ctx, held.Claim.GetControl(), id)
		e.unanswered(ctx, held, id, err)
		return state
	})
	if state != work.StateAbsent {
		return state, nil
	}
	return e.options.Find(ctx, id)
}

// Cancel cancels a kept job for good and tells how it stands then.
func (e *Entry) Cancel(ctx context.Context, id string) (work.State, error) {
	state := e.ask(ctx, func(ctx context.Context, held ownership.Held) work.State {
		if local, ok := e.local(held); ok {
			state, _ := local.CancelJob(ctx, id)
			return state
		}
		state, err := e.remote.Cancel(ctx, held.Claim.GetControl(), id)
		e.unanswered(ctx, held, id, err)
		return state
	})
	e.options.Count("cancels", state.String())
	if state.Final() {
		return state, nil
	}
	state, err := e.options.Find(ctx, id)
	if err == nil && state != work.StateAbsent && !state.Final() {
		return state, ErrHomeAway.Errorf("job %s is %s and can't be cancelled now", id, state)
	}
	return state, err
}

// Pending counts the kept jobs of a queue of which nothing has begun. An owner that is
// cut off counts with what it last said: it accepts nothing without the store.
func (e *Entry) Pending(queue string) int {
	pending := int32(0)
	for _, held := range e.options.Claims() {
		if local, ok := e.local(held); ok {
			pending += local.PendingJobs()[queue]
		} else if view, ok := e.peers.View(held.Claim.GetLife()); ok {
			pending += view.Pending[queue]
		}
	}
	return int(pending)
}

// ask asks all owners at once and returns what the one says that knows the job.
func (e *Entry) ask(ctx context.Context, one func(context.Context, ownership.Held) work.State) work.State {
	var found atomic.Int64
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.each(func(held ownership.Held) {
		if state := one(ctx, held); state != work.StateAbsent {
			found.Store(int64(state))
			// The others can't know it.
			cancel()
		}
	})
	return work.State(found.Load())
}

// each calls a function for each owner that is alive, side by side, and waits for all.
func (e *Entry) each(call func(ownership.Held)) {
	var calls sync.WaitGroup
	for _, held := range e.options.Claims() {
		if _, ok := e.local(held); !ok && !e.alive(held) {
			continue
		}
		calls.Go(func() { call(held) })
	}
	calls.Wait()
}

func (e *Entry) local(held ownership.Held) (Local, bool) {
	if held.Claim.GetLife() != e.options.Life {
		return nil, false
	}
	return e.options.Local(held.Group)
}

func (e *Entry) alive(held ownership.Held) bool {
	view, ok := e.peers.View(held.Claim.GetLife())
	return ok && view.Stamp > 0 && view.Alive.Err() == nil
}

func (e *Entry) unanswered(ctx context.Context, held ownership.Held, id string, err error) {
	if err != nil && ctx.Err() == nil {
		e.options.Log.LogAttrs(ctx, slog.LevelWarn, "owner not asked",
			slog.String("group", held.Group), slog.String("owner", held.Claim.GetVm()), slog.String("job", id), slog.Any("error", err))
	}
}
