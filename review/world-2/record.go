// Command world2 plays the cases of the second review: it starts the project's daemon as separate
// processes and stands in for the store, the executors, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// now is the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8d ms  %s\n", r.now().Milliseconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
