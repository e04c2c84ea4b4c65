package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const store = 100_000 * time.Hour

// An answer of the store replaces another VM's estimate, and is not replaced by one.
func TestStoreClockPrefersStoreOverPeer(t *testing.T) {
	var c storeClock
	c.setFromPeer(0)
	_, known := c.nowIfKnown()
	must.False(t, known)
	c.setFromPeer(store)
	must.Between(t, store-time.Second, c.now(), store+time.Minute)
	c.setFromStore(2 * store)
	c.setFromPeer(store)
	clock, known := c.nowIfKnown()
	must.True(t, known)
	must.Between(t, 2*store-time.Second, clock, 2*store+time.Minute)
}
