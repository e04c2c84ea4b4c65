package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record, with the milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now()}, nil
}

// line adds a line to the record.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d ms  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%7d ms  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
}
