package node

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

// Time limits of a client of the store: for a read, and for a feed beyond its wait.
const (
	readLimit  = 1500 * time.Millisecond
	feedMargin = platform.FeedMargin
)

// silentStore is a store that leaves requests unanswered during one outage. Requests that are
// waiting when the outage begins, or arrive in it, are never answered. The configuration changes
// once.
type silentStore struct {
	silentFrom, silentUntil, changeAt time.Time
}

const (
	firstVersion  = 7
	secondVersion = 8
)

// rows returns the configuration if it is newer than a version.
func (s *silentStore) rows(after int64) platform.Rows {
	version := int64(firstVersion)
	if !time.Now().Before(s.changeAt) {
		version = secondVersion
	}
	rows := platform.Rows{Version: version}
	if version > after {
		value := fmt.Appendf(nil, `{"version":%d}`, version)
		rows.Rows = []platform.Row{{Table: platform.OperatorTable, Key: platform.ConfigurationKey, Value: value, Version: version}}
	}
	return rows
}

// loses reports whether a request that waits from now until a time gets no answer.
func (s *silentStore) loses(until time.Time) bool {
	return until.After(s.silentFrom) && time.Now().Before(s.silentUntil)
}

// unanswered ends a call at the client's time limit.
func unanswered(limit time.Duration) (platform.Rows, error) {
	time.Sleep(limit)
	return platform.Rows{}, platform.ErrStoreUnavailable.Errorf("no answer")
}

// Read implements mirror.Source.
func (s *silentStore) Read(context.Context, platform.Table) (platform.Rows, error) {
	if s.loses(time.Now().Add(time.Nanosecond)) {
		return unanswered(readLimit)
	}
	return s.rows(0), nil
}

// Feed implements mirror.Source.
func (s *silentStore) Feed(_ context.Context, _ platform.Table, after int64, wait time.Duration) (platform.Rows, error) {
	answerAt := time.Now().Add(wait)
	if s.changeAt.Before(answerAt) && after < secondVersion {
		answerAt = later(s.changeAt, time.Now())
	}
	if s.loses(answerAt) {
		return unanswered(wait + feedMargin)
	}
	time.Sleep(time.Until(answerAt))
	return s.rows(after), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// A request that the store never answers must not delay the configuration beyond its bound once
// the store answers again, whenever in the cycle of requests the outage begins and ends.
func TestUnansweredFeedDoesNotDelayConfigurationBeyondItsBound(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, bound := range []time.Duration{2 * time.Second, 6 * time.Second} {
		for silence := step; silence <= 8*time.Second; silence += step {
			for _, changeAfter := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
				if late := configurationDelay(t, bound, silence, changeAfter); late > bound {
					t.Errorf("bound %v, silence of %v, change %v after it: in force after %v", bound, silence, changeAfter, late)
				}
			}
		}
	}
}

// configurationDelay returns how long after a change the configuration is in force. The store is
// silent before the change and answers again since a while.
func configurationDelay(t *testing.T, bound, silence, changeAfter time.Duration) (delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := slog.New(slog.DiscardHandler)
		n := &Node{
			options: Options{Settings: platform.Settings{ConfigurationBound: bound}},
			log:     log, config: configuration{log: log},
		}
		from := time.Now().Add(50 * time.Millisecond)
		store := &silentStore{silentFrom: from, silentUntil: from.Add(silence), changeAt: from.Add(silence + changeAfter)}
		inForce := make(chan time.Time, 1)
		apply := func(update mirror.Update) {
			n.config.applyUpdate(update)
			if n.config.version() == secondVersion {
				inForce <- time.Now()
			}
		}
		done := make(chan error, 1)
		go func() { done <- mirror.Follow(ctx, store, n.operatorTableOptions(), apply) }()
		delay = (<-inForce).Sub(store.changeAt)
		cancel()
		must.NoError(t, <-done)
	})
	return delay
}
