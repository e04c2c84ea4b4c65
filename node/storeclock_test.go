package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const store = 100_000 * time.Hour

// An answer of the store replaces another VM's estimate, and is not replaced by one.
func TestStoreClock(t *testing.T) {
	var c storeClock
	c.offer(0)
	_, known := c.told()
	must.False(t, known)
	c.offer(store)
	must.Between(t, store-time.Second, c.now(), store+time.Minute)
	c.read(2 * store)
	c.offer(store)
	clock, known := c.told()
	must.True(t, known)
	must.Between(t, 2*store-time.Second, clock, 2*store+time.Minute)
}
