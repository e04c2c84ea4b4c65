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

// reply is the fake store's answer to one call.
type reply struct {
	rows platform.Rows
	err  error
}

// fakeSource returns its replies in turn and blocks after the last one.
type fakeSource struct {
	replies []reply
	calls   []string
	after   []int64
}

func (f *fakeSource) next(ctx context.Context, call string, after int64) (platform.Rows, error) {
	f.calls = append(f.calls, call)
	f.after = append(f.after, after)
	if len(f.replies) == 0 {
		<-ctx.Done()
		return platform.Rows{}, ctx.Err()
	}
	answer := f.replies[0]
	f.replies = f.replies[1:]
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
		err := Follow(ctx, source, Options{Table: "t", MaxDelay: 2 * time.Second, Log: slog.New(slog.DiscardHandler)},
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

func TestFollowContinuesFromTheFirstRead(t *testing.T) {
	source := &fakeSource{replies: []reply{{rows: rows(5, "a", "b")}, {rows: rows(7, "c")}, {rows: rows(7)}}}
	updates := follow(t, source)
	must.Eq(t, []string{"read", "feed", "feed", "feed"}, source.calls)
	must.Eq(t, []int64{0, 5, 7, 7}, source.after)
	must.SliceLen(t, 2, updates)
	must.True(t, updates[0].Snapshot)
	must.False(t, updates[1].Snapshot)
}

// After an outage the feed continues from the last version.
func TestFollowResumesAfterAnOutage(t *testing.T) {
	away := reply{err: platform.ErrStoreUnavailable.Errorf("away")}
	source := &fakeSource{replies: []reply{{rows: rows(5, "a")}, away, away, {rows: rows(9, "b")}}}
	updates := follow(t, source)
	must.Eq(t, []int64{0, 5, 5, 5, 9}, source.after)
	must.SliceLen(t, 2, updates)
}

// After a lost history the whole table is read again.
func TestFollowReadsAgainAfterLostHistory(t *testing.T) {
	source := &fakeSource{replies: []reply{
		{rows: rows(5, "a")}, {err: platform.ErrHistoryLost.Errorf("410")}, {rows: rows(30)},
	}}
	updates := follow(t, source)
	must.Eq(t, []string{"read", "feed", "read", "feed"}, source.calls)
	must.SliceLen(t, 2, updates)
	must.True(t, updates[1].Snapshot)
	must.SliceEmpty(t, updates[1].Rows.Rows)
}

// busySource is a table of which each row changes once in each interval. An answer holds at most
// answerRows changes.
type busySource struct {
	rows     int
	interval time.Duration
	began    time.Time
}

const answerRows = 500

// version returns the version of the newest change.
func (b busySource) version() int64 {
	return 1 + int64(time.Since(b.began))*int64(b.rows)/int64(b.interval)
}

func (b busySource) Read(context.Context, platform.Table) (platform.Rows, error) {
	return platform.Rows{Version: b.version()}, nil
}

func (b busySource) Feed(_ context.Context, _ platform.Table, after int64, wait time.Duration) (platform.Rows, error) {
	if b.version() == after {
		time.Sleep(wait)
	}
	answer := platform.Rows{Version: min(b.version(), after+answerRows)}
	for v := after + 1; v <= answer.Version; v++ {
		answer.Rows = append(answer.Rows, platform.Row{Version: v})
	}
	answer.HasMore = answer.Version < b.version()
	time.Sleep(5 * time.Millisecond)
	return answer, nil
}

// Follow keeps up with a table that changes faster than one answer in each MinInterval can hold.
// With 3,000 rows that change every 1.5 seconds, the changes are never older than MinInterval and
// 100 ms.
func TestFollowKeepsUpWithABusyTable(t *testing.T) {
	const minInterval = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		source := busySource{rows: 3000, interval: 1500 * time.Millisecond, began: time.Now()}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		maxBehind, newest := int64(0), int64(0)
		err := Follow(ctx, source, Options{Table: "t", MaxDelay: 2 * time.Second, MinInterval: minInterval, Log: slog.New(slog.DiscardHandler)},
			func(u Update) {
				maxBehind = max(maxBehind, source.version()-newest)
				newest = u.Version
			})
		must.NoError(t, err)
		perSecond := float64(source.rows) / source.interval.Seconds()
		must.LessEq(t, (minInterval + 100*time.Millisecond).Seconds(), float64(maxBehind)/perSecond)
	})
}
