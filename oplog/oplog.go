// Package oplog writes structured log lines without blocking the code that logs. Lines go through
// a bounded queue to one writer, and the number of lines per second is limited. It decides by
// level which lines are written: part of each second is reserved for lines of level Warn and above.
// Lines beyond the limit are counted, and the next second reports their number in a line.
package oplog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/ring"
)

// Options of a Log; zero values stand for the defaults.
type Options struct {
	// LinesPerSecond bounds the lines of each second.
	LinesPerSecond int
	// FailureShare is the share of them that is reserved for lines of level Warn and above.
	FailureShare float64
	// QueueSize is how many lines may wait for a slow reader.
	QueueSize int
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	// DefaultLinesPerSecond makes about 30 KB/s of lines, and takes under 1 % of the processor of
	// a VM with 0.4 core.
	DefaultLinesPerSecond = 200
	// DefaultFailureShare reserves most of a second for the lines of failed requests, for times
	// when everything fails at once.
	DefaultFailureShare = 0.6
	// DefaultQueueSize holds the lines of five seconds.
	DefaultQueueSize = 1000
)

func (o Options) withDefaults() Options {
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	if o.FailureShare == 0 {
		o.FailureShare = DefaultFailureShare
	}
	if o.QueueSize == 0 {
		o.QueueSize = DefaultQueueSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Log is the destination of a process's log lines.
type Log struct {
	options Options
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// second is the Unix time that the counts belong to; belowWarn and failures are the lines
	// written below level Warn and from it on, omitted those that were not written.
	second    int64
	belowWarn int
	failures  int
	omitted   int
}

// New starts a Log that writes to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{options: o.withDefaults(), done: make(chan struct{})}
	l.lines = ring.New[[]byte](l.options.QueueSize)
	go l.write(w)
	return l
}

// write writes the queued lines to w. A reader that has stopped blocks only this goroutine.
func (l *Log) write(w io.Writer) {
	for {
		select {
		case line := <-l.lines.Items():
			_, _ = w.Write(line)
		case <-l.done:
			l.flush(w)
			return
		}
	}
}

// flush writes the lines that are still queued and closes done.
func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.lines.Items():
			_, _ = w.Write(line)
		default:
			close(l.done)
			return
		}
	}
}

// closeTimeout bounds the wait for a slow reader in Close.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, as far as the reader accepts them within closeTimeout.
func (l *Log) Close() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case l.done <- struct{}{}:
	case <-timer.C:
		return
	}
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// Write implements io.Writer for slog's handlers. It never blocks and drops a line if the queue is
// full.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.Offer(append([]byte(nil), line...)) {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the reader was too slow.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Logger returns a logger that writes JSON lines to the Log.
func (l *Log) Logger() *slog.Logger {
	inner := slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(&handler{log: l, inner: inner})
}

// allow reports whether a line of a level may be written in the present second, and counts it. At
// the first line of a new second it also returns how many lines of the last one were omitted.
func (l *Log) allow(level slog.Level) (allowed bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.options.Now().Unix(); second != l.second {
		omitted = l.omitted
		l.second, l.belowWarn, l.failures, l.omitted = second, 0, 0, 0
	}
	total := l.belowWarn + l.failures
	hasRoom := total < l.options.LinesPerSecond
	if level < slog.LevelWarn {
		hasRoom = hasRoom && float64(l.belowWarn) < (1-l.options.FailureShare)*float64(l.options.LinesPerSecond)
	}
	switch {
	case !hasRoom:
		l.omitted++
	case level < slog.LevelWarn:
		l.belowWarn++
	default:
		l.failures++
	}
	return hasRoom, omitted
}

// handler applies the limits of a Log before a line is formatted.
type handler struct {
	log   *Log
	inner slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	allowed, omitted := h.log.allow(record.Level)
	if omitted > 0 {
		report := slog.NewRecord(record.Time, slog.LevelWarn, "log lines left out", 0)
		report.AddAttrs(slog.Int("lines", omitted), slog.Int64("reader_too_slow", h.log.Dropped()))
		if err := h.inner.Handle(ctx, report); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.inner.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithGroup(name)}
}
