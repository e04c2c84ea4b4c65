package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/work"
)

// An owner waits for its predecessor's leases at a target that it can't reach for as long as the predecessor may
// order something there, and only for the last of those leases once it can't.
func TestOwnerNoticesEndOfPredecessor(t *testing.T) {
	const vm, incarnation = "vm-p", uint64(9)
	for name, end := range map[string]func(o *Owner){
		"it released all targets": func(o *Owner) { o.registry.releasedAll = true },
		"its process has ended":   func(o *Owner) { o.options.HasEnded = func(string, uint64) bool { return true } },
		"it knows its successor": func(o *Owner) {
			o.state.EntryKeepalive(heartbeat.EntryID(vm, incarnation), o.createdAt+heartbeat.KeepaliveTimeout)
		},
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			options.Former = incarnation
			options.HasEnded = func(string, uint64) bool { return false }
			o := New(options, newFencingTarget(), oneTarget{})
			now := o.createdAt + time.Second
			o.inheritTargets(now, now, jobstore.Inherited{HasPredecessor: true, VM: vm, Incarnation: incarnation, Targets: []work.Target{{ID: "t"}}})
			o.state.EntryKeepalive(heartbeat.EntryID(vm, incarnation), o.createdAt+heartbeat.KeepaliveTimeout-1)
			o.state.EntryKeepalive(heartbeat.EntryID(vm, incarnation+1), now+time.Minute)
			o.checkPredecessor(now)
			must.True(t, o.state.AwaitsPredecessors(now+10*time.Second))
			end(o)
			o.checkPredecessor(now)
			must.True(t, o.state.AwaitsPredecessors(now+time.Second))
			must.False(t, o.state.AwaitsPredecessors(now+3*time.Second))
		})
	}
}
