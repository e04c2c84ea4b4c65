package owner

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// lateOrderAge is how long an order may wait in this process without being logged. A poll or a
// start that is sent late extends a lease later than it was decided.
const lateOrderAge = 100 * time.Millisecond

// noteLateOrder counts and logs an order that waited long in this process.
func (o *Owner) noteLateOrder(kind, target string, run work.RunID, token int64, waited time.Duration) {
	if waited <= lateOrderAge {
		return
	}
	o.options.Count("orders_late", kind)
	o.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "order sent late",
		slog.String("order", kind), slog.String("task", run.Task), slog.String("target", target),
		slog.Duration("age", waited), slog.Int64("run", run.Number), slog.Int64("token", token))
}

// runAttrs are the fields of a log line that describe a run.
func (o *Owner) runAttrs(r *scheduler.RunFacts) []slog.Attr {
	return []slog.Attr{
		slog.Int64("run", r.Number), slog.Int64("token", o.token.Load()), slog.String("relay", r.Route), slog.Int("copies", r.Copies),
		slog.Int64("lease_until", r.LeaseUntil), slog.Int64("target_lease", r.TargetLease),
		slog.Int64("clock", r.Clock), slog.Duration("clock_age", r.ClockAge),
		slog.Duration("stop_age", r.StopAge), slog.Duration("stop_ack_age", r.StopAckAge),
	}
}

// logEvent logs and counts an event of the scheduler.
func (o *Owner) logEvent(e scheduler.LogEvent) {
	if e.Counter == "" {
		o.options.Count("notes", e.Message)
	} else {
		o.options.Count(e.Counter, e.Kind)
	}
	level := slog.LevelInfo
	if e.Failure {
		level = slog.LevelWarn
	}
	attrs := []slog.Attr{
		slog.String("job", e.Job), slog.String("task", e.Task), slog.String("target", e.Target),
		slog.String("detail", e.Detail), slog.Duration("age", e.Age),
	}
	if e.Run != nil {
		attrs = append(attrs, o.runAttrs(e.Run)...)
	}
	o.options.Log.LogAttrs(context.Background(), level, e.Message, attrs...)
}

// logHistory logs what happened to a job, in a single log line so that the log's limit drops
// all of it or nothing.
func (o *Owner) logHistory(e scheduler.JobHistory) {
	level := slog.LevelWarn
	if e.Result == work.Completed && e.Took <= e.Objective {
		level = slog.LevelInfo
	}
	entries := make([]string, len(e.Entries))
	for i, entry := range e.Entries {
		entries[i] = strings.TrimSpace(fmt.Sprintf("%dms %s %s %s %s",
			entry.At.Milliseconds(), entry.What, entry.Task, entry.Target, entry.Detail))
		if entry.Run != 0 {
			entries[i] += fmt.Sprintf(" run %d lease %d", entry.Run, entry.LeaseUntil)
		}
	}
	o.options.Log.LogAttrs(context.Background(), level, "job ended",
		slog.String("job", e.Job), slog.String("queue", e.Queue), slog.String("result", e.Result.String()),
		slog.String("reason", e.Reason), slog.Duration("took", e.Took), slog.Duration("objective", e.Objective),
		slog.Any("trail", entries), slog.Int("trail_dropped", e.Dropped), slog.Int64("token", o.token.Load()))
}
