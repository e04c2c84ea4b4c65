// Package oplog writes structured log lines without ever holding up what logs: lines
// go through a bounded queue, and only so many a second. Lines that explain failures
// go first; what is left out is counted, and told in a line of its own.
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

// Options of a Log; zero values take the defaults.
type Options struct {
	// LinesPerSecond bounds the lines of each second.
	LinesPerSecond int
	// FailureShare of them is kept for lines of level Warn and above.
	FailureShare float64
	// Queue is how many lines may wait for a slow reader.
	Queue int
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	// DefaultLinesPerSecond is some 30 KB/s of lines, and under 1 % of the
	// processor of a VM with 0.4 core.
	DefaultLinesPerSecond = 200
	// DefaultFailureShare keeps most of a second for the lines of failed requests
	// when everything fails at once.
	DefaultFailureShare = 0.6
	// DefaultQueue is five seconds of lines.
	DefaultQueue = 1000
)

func (o Options) withDefaults() Options {
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	if o.FailureShare == 0 {
		o.FailureShare = DefaultFailureShare
	}
	if o.Queue == 0 {
		o.Queue = DefaultQueue
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Log is the sink of a process's log lines.
type Log struct {
	options Options
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// second is the second that the counts belong to.
	second   int64
	plain    int
	failures int
	leftOut  int
}

// New starts a Log that writes to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{options: o.withDefaults(), done: make(chan struct{})}
	l.lines = ring.New[[]byte](l.options.Queue)
	go l.write(w)
	return l
}

// write hands on lines; a reader that has stopped holds up only this goroutine.
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

// closeTime bounds the wait for a slow reader at the end.
const closeTime = 200 * time.Millisecond

// Close writes what waits, as far as the reader takes it in a short time.
func (l *Log) Close() {
	timer := time.NewTimer(closeTime)
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

// Write implements io.Writer for slog's handlers; it never blocks.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.Offer(append([]byte(nil), line...)) {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that the reader was too slow for.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Logger returns a logger of JSON lines.
func (l *Log) Logger() *slog.Logger {
	inner := slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(&handler{log: l, inner: inner})
}

// allow takes a place in the present second for a line, and returns how many lines
// of the second before were left out, once.
func (l *Log) allow(level slog.Level) (allowed bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.options.Now().Unix(); second != l.second {
		leftOut = l.leftOut
		l.second, l.plain, l.failures, l.leftOut = second, 0, 0, 0
	}
	total := l.plain + l.failures
	room := total < l.options.LinesPerSecond
	if level < slog.LevelWarn {
		room = room && float64(l.plain) < (1-l.options.FailureShare)*float64(l.options.LinesPerSecond)
	}
	switch {
	case !room:
		l.leftOut++
	case level < slog.LevelWarn:
		l.plain++
	default:
		l.failures++
	}
	return room, leftOut
}

// handler keeps the budget before a line is formatted.
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
	allowed, leftOut := h.log.allow(record.Level)
	if leftOut > 0 {
		told := slog.NewRecord(record.Time, slog.LevelWarn, "log lines left out", 0)
		told.AddAttrs(slog.Int("lines", leftOut), slog.Int64("reader_too_slow", h.log.Dropped()))
		if err := h.inner.Handle(ctx, told); err != nil {
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
