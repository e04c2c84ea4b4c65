package node

import (
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// storeClock estimates the store's clock, which numbers runs and decides how long durable jobs are
// retained. Each answer of the store sets it. A VM that has not reached the store yet takes the
// estimate of another VM.
type storeClock struct {
	// offset is the store's clock at boot time zero, in milliseconds; known is set with it.
	offset atomic.Int64
	known  atomic.Bool
}

// setFromStore sets the clock from an answer of the store.
func (c *storeClock) setFromStore(clock time.Duration) {
	c.offset.Store((clock - bootclock.Now()).Milliseconds())
	c.known.Store(true)
}

// setFromPeer sets the clock from another VM's estimate, unless it is known already; 0 means that
// the other VM has none.
func (c *storeClock) setFromPeer(clock time.Duration) {
	if clock > 0 && !c.known.Load() {
		c.setFromStore(clock)
	}
}

// now returns the store's clock, or the time since boot while it is not known.
func (c *storeClock) now() time.Duration {
	return bootclock.Now() + time.Duration(c.offset.Load())*time.Millisecond
}

// nowIfKnown returns the store's clock and whether it is known.
func (c *storeClock) nowIfKnown() (clock time.Duration, known bool) { return c.now(), c.known.Load() }
