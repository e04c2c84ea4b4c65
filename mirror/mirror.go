// Package mirror follows tables of the platform's store through the store's outages.
//
// Its inputs are a full read of a table and then the feed of its changes. Its outputs are an
// Update for the full read, marked as a snapshot, and one for each later answer with changes.
// After an outage the feed continues from the last version seen. When the store no longer has the
// history since that version, the table is read in full again.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
)

// Source is the part of the store that Follow reads.
type Source interface {
	Read(ctx context.Context, table platform.Table) (platform.Rows, error)
	Feed(ctx context.Context, table platform.Table, after int64, wait time.Duration) (platform.Rows, error)
}

// Options of Follow.
type Options struct {
	Table platform.Table
	// MaxDelay is the time within which a change is applied once the store answers, even if it never
	// answers the request sent before. The shorter it is, the more requests there are while nothing
	// changes. Below two seconds it isn't kept after a full read without an answer.
	MaxDelay time.Duration
	// MinInterval is the minimum time between two feed requests, so that rows which change all
	// the time come in batches. A feed that is behind continues without a pause. Otherwise it
	// would never catch up where more rows change in MinInterval than one answer holds.
	MinInterval time.Duration
	Log         *slog.Logger
	// StoreAnswered is called when the store has answered; it must not block, and may be nil.
	StoreAnswered func(now time.Duration)
}

const (
	// retryInterval is the least time between the starts of a failed call and of the next one.
	retryInterval = 200 * time.Millisecond
	// reconnectTime is the part of MaxDelay that is left for the request after an unanswered one: a
	// lost SYN packet, a new connection, and a slow answer.
	reconnectTime = 500 * time.Millisecond
	// minFeedWait bounds the rate of requests where MaxDelay leaves no time to wait.
	minFeedWait = 200 * time.Millisecond
)

// feedWait returns how long the store may hold a feed request back while there is no change. A
// request without an answer is given up platform.FeedMargin later, and the next one has to be
// answered within MaxDelay.
func (o Options) feedWait() time.Duration {
	return max(o.MaxDelay-platform.FeedMargin-reconnectTime, minFeedWait)
}

// Update is a batch of rows of a table.
type Update struct {
	platform.Rows
	// Snapshot means that the table has no other rows than these.
	Snapshot bool
}

// Follow reads a table and calls apply with its rows and later changes until the context ends.
func Follow(ctx context.Context, source Source, o Options, apply func(Update)) error {
	f := follower{source: source, options: o, apply: apply}
	for ctx.Err() == nil {
		started := bootclock.Now()
		if !f.readOnce(ctx) {
			sleep(ctx, retryInterval-(bootclock.Now()-started))
		}
	}
	return nil
}

type follower struct {
	source  Source
	options Options
	apply   func(Update)
	// version is the version to resume from; 0 before a full read.
	version int64
	// lostAt is when the store stopped answering; 0 while it answers.
	lostAt time.Duration
	// failures is the number of failed calls since lostAt. lastFailure is how long the last of them took.
	failures    int
	lastFailure time.Duration
}

// readOnce makes one call and reports whether the next one may follow without retryInterval.
func (f *follower) readOnce(ctx context.Context) bool {
	started := bootclock.Now()
	rows, err := f.fetch(ctx)
	switch {
	case errors.Is(err, platform.ErrHistoryLost):
		f.options.Log.Warn("history lost, reading the table again", "table", f.options.Table, "version", f.version)
		f.version = 0
		return true
	case err != nil:
		f.storeLost(ctx, err, bootclock.Now()-started)
		return false
	}
	f.storeRegained()
	if f.options.StoreAnswered != nil {
		f.options.StoreAnswered(bootclock.Now())
	}
	snapshot := f.version == 0
	f.version = rows.Version
	if snapshot || len(rows.Rows) > 0 {
		f.apply(Update{Rows: rows, Snapshot: snapshot})
	}
	if !rows.HasMore {
		sleep(ctx, f.options.MinInterval-(bootclock.Now()-started))
	}
	return true
}

// fetch returns the whole table, or its changes if it was read before.
func (f *follower) fetch(ctx context.Context) (platform.Rows, error) {
	if f.version == 0 {
		return f.source.Read(ctx, f.options.Table)
	}
	return f.source.Feed(ctx, f.options.Table, f.version, f.options.feedWait())
}

// storeLost counts a failed call and logs the first one after an answer.
func (f *follower) storeLost(ctx context.Context, err error, took time.Duration) {
	f.failures++
	f.lastFailure = took
	if f.lostAt == 0 && ctx.Err() == nil {
		f.lostAt = bootclock.Now()
		f.options.Log.Warn("store lost", "table", f.options.Table, "version", f.version, "error", err)
	}
}

// storeRegained logs the first answer after a failed call.
func (f *follower) storeRegained() {
	if f.lostAt != 0 {
		f.options.Log.Info("store regained", "table", f.options.Table, "away", bootclock.Now()-f.lostAt,
			"failures", f.failures, "last_failure", f.lastFailure)
		f.lostAt, f.failures = 0, 0
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
