// Package mirror follows tables of the platform's store through its outages.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
)

// Source is the part of the store that a mirror reads.
type Source interface {
	Read(ctx context.Context, table platform.Table) (platform.Rows, error)
	Feed(ctx context.Context, table platform.Table, after int64, wait time.Duration) (platform.Rows, error)
}

// Options of a mirror.
type Options struct {
	Table platform.Table
	// Wait is how long a feed waits by itself; it also bounds how long a dead
	// connection goes unnoticed.
	Wait time.Duration
	// Pace is the least time between two feeds, so that rows which change all the
	// time come in batches. A feed that is behind goes on without a pause: where more rows
	// change than one answer holds, it would fall behind for good.
	Pace time.Duration
	Log  *slog.Logger
	// Heard is told when the store has answered; it must not block, and may be nil.
	Heard func(now time.Duration)
}

// retryPause is the pause after a failed call: ten tries within the bound in which
// a configuration has to be in force.
const retryPause = 200 * time.Millisecond

// Update is news of a table.
type Update struct {
	platform.Rows
	// Whole says that the rows are all there are.
	Whole bool
}

// Follow reads a table and passes on its changes until the context ends.
func Follow(ctx context.Context, source Source, o Options, take func(Update)) error {
	f := follower{source: source, options: o, take: take}
	for ctx.Err() == nil {
		if !f.step(ctx) {
			sleep(ctx, retryPause)
		}
	}
	return nil
}

type follower struct {
	source  Source
	options Options
	take    func(Update)
	// after is the version to resume from; 0 before the first whole read.
	after int64
	// lost is when the store was lost; 0 while it answers.
	lost time.Duration
}

// step reads once and reports whether to go on without a pause.
func (f *follower) step(ctx context.Context) bool {
	began := bootclock.Now()
	rows, err := f.read(ctx)
	switch {
	case errors.Is(err, platform.ErrHistoryLost):
		f.options.Log.Warn("history lost, reading the table again", "table", f.options.Table, "version", f.after)
		f.after = 0
		return true
	case err != nil:
		f.away(ctx, err)
		return false
	}
	f.back()
	if f.options.Heard != nil {
		f.options.Heard(bootclock.Now())
	}
	whole := f.after == 0
	f.after = rows.Version
	if whole || len(rows.Rows) > 0 {
		f.take(Update{Rows: rows, Whole: whole})
	}
	if !rows.More {
		sleep(ctx, f.options.Pace-(bootclock.Now()-began))
	}
	return true
}

func (f *follower) read(ctx context.Context) (platform.Rows, error) {
	if f.after == 0 {
		return f.source.Read(ctx, f.options.Table)
	}
	return f.source.Feed(ctx, f.options.Table, f.after, f.options.Wait)
}

func (f *follower) away(ctx context.Context, err error) {
	if f.lost == 0 && ctx.Err() == nil {
		f.lost = bootclock.Now()
		f.options.Log.Warn("store lost", "table", f.options.Table, "version", f.after, "error", err)
	}
}

func (f *follower) back() {
	if f.lost != 0 {
		f.options.Log.Info("store regained", "table", f.options.Table, "away", bootclock.Now()-f.lost)
		f.lost = 0
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
