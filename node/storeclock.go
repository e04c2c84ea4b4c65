package node

import (
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// storeClock is the store's clock, which numbers runs and tells how long jobs are kept.
// Each answer of the store tells it; a VM that hasn't reached the store takes another
// VM's word.
type storeClock struct {
	// offset is the clock at boot time zero, in milliseconds; known is set once it is.
	offset atomic.Int64
	known  atomic.Bool
}

// read takes the store's own word.
func (c *storeClock) read(clock time.Duration) {
	c.offset.Store((clock - bootclock.Now()).Milliseconds())
	c.known.Store(true)
}

// offer takes another VM's word, unless the store has told itself; 0 says nothing.
func (c *storeClock) offer(clock time.Duration) {
	if clock > 0 && !c.known.Load() {
		c.read(clock)
	}
}

// now is the store's clock as far as it is known: it then stands for boot time.
func (c *storeClock) now() time.Duration {
	return bootclock.Now() + time.Duration(c.offset.Load())*time.Millisecond
}

// told is the store's clock, if it is known.
func (c *storeClock) told() (clock time.Duration, known bool) { return c.now(), c.known.Load() }
