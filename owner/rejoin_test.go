package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// A request that was sent before this owner existed may have reached an earlier one of the process,
// however short its sender says that it is ago: the way of the repeated request isn't counted.
func TestRequestSentBeforeOwnerExistedIsForgotten(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "first")).Result)
	for _, test := range []struct {
		sent time.Duration
		want scheduler.Presence
	}{
		{o.createdAt - time.Millisecond, scheduler.Forgotten},
		{o.createdAt + time.Hour, scheduler.Absent},
	} {
		sub := testSubmission("again")
		sub.Entry, sub.Request, sub.Expires = "e", 1, test.sent+heartbeat.KeepaliveTimeout
		o.RecordKeepalive("e", o.createdAt+time.Hour, nil)
		_, found := o.Rejoin(t.Context(), sub, 0, true)
		must.Eq(t, test.want, found)
	}
}
