package oplog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// buffer is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// clock is a clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func TestWarningsHaveReservedLines(t *testing.T) {
	var out buffer
	c := &clock{now: time.Unix(100, 0)}
	l := New(&out, Options{LinesPerSecond: 10, FailureShare: 0.6, Now: c.read})
	log := l.Logger()
	for range 50 {
		log.Info("usual")
	}
	for range 50 {
		log.Warn("failure")
	}
	c.now = c.now.Add(time.Second)
	log.Info("next")
	l.Close()
	text := out.String()
	must.Eq(t, 4, strings.Count(text, `"usual"`))
	must.Eq(t, 6, strings.Count(text, `"failure"`))
	must.StrContains(t, text, `"log lines left out","lines":90`)
	must.StrContains(t, text, `"next"`)
}

// stoppedReader blocks each write until it is released.
type stoppedReader struct{ release chan struct{} }

func (s stoppedReader) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	reader := stoppedReader{release: make(chan struct{})}
	defer close(reader.release)
	l := New(reader, Options{LinesPerSecond: 1 << 20, QueueSize: 8})
	log := l.Logger()
	for range 100 {
		log.Warn("line")
	}
	must.Greater(t, 80, l.Dropped())
	l.Close()
}

func TestAttributesAreKept(t *testing.T) {
	var out buffer
	l := New(&out, Options{})
	l.Logger().With("vm", "a").WithGroup("g").Info("line", "job", "j")
	l.Close()
	must.StrContains(t, out.String(), `"vm":"a","g":{"job":"j"}`)
	must.False(t, bytes.Contains(out.Bytes(), []byte("left out")))
}
