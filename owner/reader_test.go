package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

func newReader() *registryReader {
	return &registryReader{domain: "domain", log: slog.New(slog.DiscardHandler), count: func(string, string) {}}
}

// Of a thousand rewritten entries only the one that has changed, because its target leaves, is
// returned. Entries of other failure domains never are.
func TestUnchangedEntriesAreDropped(t *testing.T) {
	const rows = 1000
	heartbeats := func(snapshot bool, draining int) mirror.Update {
		u := mirror.Update{Snapshot: snapshot}
		for i := range rows {
			domain, state := "domain", wire.StateReady
			if i%3 > 0 {
				domain = "elsewhere"
			}
			if i == draining {
				state = wire.StateDraining
			}
			u.Rows.Rows = append(u.Rows.Rows, platform.Row{Key: fmt.Sprint("i-", i), Value: registryEntry(t, domain, state)})
		}
		return u
	}
	r := newReader()
	must.SliceLen(t, (rows+2)/3, r.read(heartbeats(true, -1)).changes)
	must.True(t, r.read(heartbeats(false, -1)).isEmpty())
	changes := r.read(heartbeats(false, 600)).changes
	must.SliceLen(t, 1, changes)
	must.Eq(t, "i-600", changes[0].id)
	must.True(t, changes[0].target.Draining)
	must.True(t, r.read(heartbeats(false, 600)).isEmpty())
}

// Of several changes of one entry in one answer, the last one applies.
func TestLastChangeOfAnEntryApplies(t *testing.T) {
	listed := platform.Row{Key: "i", Value: registryEntry(t, "domain", wire.StateReady)}
	gone := platform.Row{Key: "i", Deleted: true}
	for name, test := range map[string]struct {
		rows []platform.Row
		want bool
	}{
		"listed, deleted":    {[]platform.Row{listed, gone}, false},
		"deleted, listed":    {[]platform.Row{gone, listed}, true},
		"six, listed at end": {[]platform.Row{listed, gone, listed, gone, gone, listed}, true},
	} {
		o, _ := newIdleOwner(t)
		o.applyRegistryChanges(0, o.reader.read(mirror.Update{Snapshot: true}))
		o.applyRegistryChanges(0, o.reader.read(mirror.Update{Rows: platform.Rows{Rows: test.rows}}))
		_, is := o.registry.listed["i"]
		must.Eq(t, test.want, is, must.Sprint(name))
	}
}

// Progress of a target's warm-up is no change, but becoming cold again is one.
func TestWarmUpProgressIsNoChange(t *testing.T) {
	cold := func(ms float64) mirror.Update {
		value, err := json.Marshal(wire.Target{
			Service: "service", Address: "127.0.0.1:1", Zone: "domain", State: wire.StateReady, Capacity: wire.Capacity{Resources: wire.Resources{CPU: 4000}}, ColdLeftMS: ms,
		})
		must.NoError(t, err)
		return mirror.Update{Rows: platform.Rows{Rows: []platform.Row{{Key: "i", Value: value}}}}
	}
	r := newReader()
	r.read(mirror.Update{Snapshot: true})
	changes := r.read(cold(4500)).changes
	must.SliceLen(t, 1, changes)
	must.Eq(t, 4500*time.Millisecond, changes[0].target.WarmUpLeft)
	must.True(t, r.read(cold(3000)).isEmpty())
	must.True(t, r.read(cold(0)).isEmpty())
	must.SliceLen(t, 1, r.read(cold(4000)).changes)
}

// Urgent messages are handled before those that are queued already: a leaving target has to be
// known in time also when the loop is behind.
func TestUrgentMessagesGoFirst(t *testing.T) {
	o, _ := newIdleOwner(t)
	var order []string
	for range 100 {
		o.post(t.Context(), func(time.Duration) { order = append(order, "answer") })
	}
	o.postUrgent(t.Context(), func(time.Duration) { order = append(order, "urgent") })
	ctx, end := context.WithCancel(t.Context())
	o.post(t.Context(), func(time.Duration) { end() })
	o.loop(ctx)
	must.SliceContains(t, order[:2], "urgent")
	must.SliceLen(t, 101, order)
}

// Entries that decode and that no target of the deployment can have written name no target to use. Jobs would
// move to a failure domain without an owner, and a target would not be heard until the time that its
// entry names.
func TestEntriesOfNoTargetAreIgnored(t *testing.T) {
	entry := func(domain string, started time.Time) mirror.Update {
		value, err := json.Marshal(wire.Target{
			Service: "service", Address: "127.0.0.1:1", Zone: domain, State: wire.StateReady, Capacity: wire.Capacity{Resources: wire.Resources{CPU: 4000}}, StartedMS: started.UnixMilli(),
		})
		must.NoError(t, err)
		return mirror.Update{Rows: platform.Rows{Rows: []platform.Row{{Key: "i", Value: value}}}}
	}
	unreadable := 0
	r := newReader()
	r.domains = []string{"domain", "elsewhere"}
	r.count = func(string, string) { unreadable++ }
	r.read(mirror.Update{Snapshot: true})
	must.SliceLen(t, 1, r.read(entry("domain", time.Now())).changes)
	for i, odd := range []mirror.Update{entry("domain", time.Now().Add(48*time.Hour)), entry("nowhere", time.Now())} {
		changes := r.read(odd)
		must.SliceEmpty(t, changes.foreign)
		must.Eq(t, i+1, unreadable)
	}
	must.SliceLen(t, 1, r.read(entry("elsewhere", time.Now())).foreign)
}
