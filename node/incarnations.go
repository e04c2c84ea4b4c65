package node

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
)

// newEndedCheck returns a function that reports whether an incarnation of a VM that was an owner before
// now has certainly ended.
func (n *Node) newEndedCheck() func(vm string, incarnation uint64) bool {
	since := bootclock.Now()
	return func(vm string, incarnation uint64) bool {
		return vm == n.self.VM && incarnation != 0 || hasEnded(n.heartbeats.Pingers(), vm, incarnation, since)
	}
}

// hasEnded reports whether pings that came since a time show that an earlier incarnation of a VM has
// ended: a VM runs one process. Silence shows nothing, nor does a refused connection, as the VM may be
// cut off.
func hasEnded(pingers []heartbeat.Pinger, vm string, incarnation uint64, since time.Duration) bool {
	return incarnation != 0 && slices.ContainsFunc(pingers, func(p heartbeat.Pinger) bool {
		return p.VM == vm && p.Incarnation != incarnation && p.LastHeard >= since
	})
}
