package mirror

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/platform"
)

// step is what the fake store answers to one call.
type step struct {
	rows platform.Rows
	err  error
}

// fakeSource answers in turn, and then not at all.
type fakeSource struct {
	steps []step
	calls []string
	after []int64
}

func (f *fakeSource) next(ctx context.Context, call string, after int64) (platform.Rows, error) {
	f.calls = append(f.calls, call)
	f.after = append(f.after, after)
	if len(f.steps) == 0 {
		<-ctx.Done()
		return platform.Rows{}, ctx.Err()
	}
	answer := f.steps[0]
	f.steps = f.steps[1:]
	return answer.rows, answer.err
}

func (f *fakeSource) Read(ctx context.Context, _ platform.Table) (platform.Rows, error) {
	return f.next(ctx, "read", 0)
}

func (f *fakeSource) Feed(ctx context.Context, _ platform.Table, after int64, _ time.Duration) (platform.Rows, error) {
	return f.next(ctx, "feed", after)
}

func follow(t *testing.T, source *fakeSource) (updates []Update) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := Follow(ctx, source, Options{Table: "t", Wait: time.Second, Log: slog.New(slog.DiscardHandler)},
			func(u Update) { updates = append(updates, u) })
		must.NoError(t, err)
	})
	return updates
}

func rows(version int64, keys ...string) platform.Rows {
	all := platform.Rows{Version: version}
	for _, key := range keys {
		all.Rows = append(all.Rows, platform.Row{Key: key})
	}
	return all
}

func TestFollowsFromTheFirstRead(t *testing.T) {
	source := &fakeSource{steps: []step{{rows: rows(5, "a", "b")}, {rows: rows(7, "c")}, {rows: rows(7)}}}
	updates := follow(t, source)
	must.Eq(t, []string{"read", "feed", "feed", "feed"}, source.calls)
	must.Eq(t, []int64{0, 5, 7, 7}, source.after)
	must.SliceLen(t, 2, updates)
	must.True(t, updates[0].Whole)
	must.False(t, updates[1].Whole)
}

// Through an outage the feed goes on from where it was.
func TestResumesAfterAnOutage(t *testing.T) {
	away := step{err: platform.ErrStoreAway.Errorf("away")}
	source := &fakeSource{steps: []step{{rows: rows(5, "a")}, away, away, {rows: rows(9, "b")}}}
	updates := follow(t, source)
	must.Eq(t, []int64{0, 5, 5, 5, 9}, source.after)
	must.SliceLen(t, 2, updates)
}

// After a lost history the whole table is read again.
func TestReadsAgainAfterALostHistory(t *testing.T) {
	source := &fakeSource{steps: []step{
		{rows: rows(5, "a")}, {err: platform.ErrHistoryLost.Errorf("410")}, {rows: rows(30)},
	}}
	updates := follow(t, source)
	must.Eq(t, []string{"read", "feed", "read", "feed"}, source.calls)
	must.SliceLen(t, 2, updates)
	must.True(t, updates[1].Whole)
	must.SliceEmpty(t, updates[1].Rows.Rows)
}
