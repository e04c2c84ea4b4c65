package telemetry

import (
	"log/slog"
	"sync"
)

// Bounds of a Journal.
const (
	maxJournalLines = 2000
	maxJournalBytes = 512 << 10
)

// Journal keeps the newest lines of the log in memory, so that operators can read
// the changes of state of a VM without a disk. A line is one JSON object, as
// slog's JSON handler writes it.
type Journal struct {
	mu    sync.Mutex
	lines [][]byte
	bytes int
	// dropped counts the lines that are no longer kept.
	dropped uint64
}

// Write keeps one line. slog's handlers write each line with one call.
func (j *Journal) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, append([]byte(nil), line...))
	j.bytes += len(line)
	for len(j.lines) > maxJournalLines || j.bytes > maxJournalBytes {
		j.bytes -= len(j.lines[0])
		j.lines[0] = nil
		j.lines = j.lines[1:]
		j.dropped++
	}
	return len(line), nil
}

// Lines returns the kept lines, oldest first, and how many older ones were
// dropped.
func (j *Journal) Lines() (lines [][]byte, dropped uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([][]byte(nil), j.lines...), j.dropped
}

// handler returns a handler that writes log lines of level Info and above to the
// journal.
func (j *Journal) handler() slog.Handler {
	return slog.NewJSONHandler(j, &slog.HandlerOptions{Level: slog.LevelInfo})
}
