package owner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

func registryEntry(t *testing.T, domain, state string) []byte {
	t.Helper()
	value, err := json.Marshal(wire.Target{
		Service: "service", Address: "127.0.0.1:1", Zone: domain, State: state, Capacity: wire.Capacity{Resources: wire.Resources{CPU: 4000, MemoryMB: 4000}},
	})
	must.NoError(t, err)
	return value
}

// updateOfOne is an update of one entry.
func updateOfOne(snapshot bool, id string, value []byte) mirror.Update {
	return mirror.Update{Snapshot: snapshot, Rows: platform.Rows{Version: 2, Rows: []platform.Row{{Key: id, Value: value, Version: 2}}}}
}

// newIdleOwner returns an owner that doesn't run, and its count of unreadable rows.
func newIdleOwner(t *testing.T) (o *Owner, unreadable *int) {
	t.Helper()
	unreadable = new(int)
	options := testOptions()
	options.Count = func(what, label string) {
		if what == "rows_unreadable" && label == string(platform.TargetsTable) {
			*unreadable++
		}
	}
	return New(options, newFencingTarget(), oneTarget{}), unreadable
}

// A target whose entry becomes unreadable, or names another failure domain, is used no longer than
// a target whose entry is deleted. The other entries stay listed.
func TestEntryThatBecomesUnreadableIsUnlisted(t *testing.T) {
	for name, value := range map[string][]byte{
		"not readable":           []byte("\xff"),
		"empty":                  nil,
		"a state without a name": registryEntry(t, "domain", "resting"),
		"another failure domain": registryEntry(t, "elsewhere", wire.StateReady),
	} {
		for _, snapshot := range []bool{false, true} {
			o, unreadable := newIdleOwner(t)
			now := time.Second
			o.applyRegistryChanges(now, o.reader.read(updateOfOne(true, targetID, registryEntry(t, "domain", wire.StateReady))))
			o.applyRegistryChanges(now, o.reader.read(updateOfOne(false, "other", registryEntry(t, "domain", wire.StateReady))))
			must.MapLen(t, 2, o.registry.listed)
			o.applyRegistryChanges(now, o.reader.read(updateOfOne(snapshot, targetID, value)))
			must.MapNotContainsKey(t, o.registry.listed, targetID, must.Sprint(name))
			if !snapshot {
				must.MapContainsKey(t, o.registry.listed, "other")
			}
			must.Eq(t, name != "another failure domain", *unreadable == 1)
			o.state.Tick(now + 3*time.Second)
			must.Eq(t, len(o.registry.listed), o.state.Summary().Targets, must.Sprint(name))
		}
	}
}

// An entry that is unreadable from the start adds no target until it becomes readable.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	o, unreadable := newIdleOwner(t)
	o.applyRegistryChanges(time.Second, o.reader.read(updateOfOne(true, targetID, []byte("{"))))
	must.Eq(t, 0, o.state.Summary().Targets)
	must.Eq(t, 1, *unreadable)
	o.applyRegistryChanges(time.Second, o.reader.read(updateOfOne(false, targetID, registryEntry(t, "domain", wire.StateDraining))))
	must.Eq(t, 1, o.state.Summary().Draining)
}

// When another writer has made a third of the rows unreadable, every other row is used. All
// unreadable rows are counted, but only a few are logged.
func TestUnreadableThirdOfRegistry(t *testing.T) {
	const rows = 1100
	lines := &bytes.Buffer{}
	o, unreadable := newIdleOwner(t)
	o.reader.log = slog.New(slog.NewJSONHandler(lines, nil))
	unreadableValues := [][]byte{[]byte("\xff\x00"), nil, []byte("null"), []byte("[]"), []byte(`{"address":7}`), registryEntry(t, "domain", "resting")}
	var read platform.Rows
	for i := range rows {
		value := registryEntry(t, "domain", wire.StateReady)
		if i%3 == 0 {
			value = unreadableValues[i/3%len(unreadableValues)]
		}
		read.Rows = append(read.Rows, platform.Row{Key: fmt.Sprintf("i-%04d", i), Value: value, Version: int64(i + 1)})
	}
	o.applyRegistryChanges(time.Second, o.reader.read(mirror.Update{Snapshot: true, Rows: read}))
	const readable = rows - (rows+2)/3
	must.MapLen(t, readable, o.registry.listed)
	must.Eq(t, readable, o.state.Summary().Targets)
	must.Eq(t, rows-readable, *unreadable)
	must.Eq(t, maxUnreadableRowLogs+1, strings.Count(lines.String(), "\n"))
	must.StrContains(t, lines.String(), fmt.Sprintf(`"rows":%d`, rows-readable-maxUnreadableRowLogs))
	// A row that becomes readable is used again.
	o.applyRegistryChanges(2*time.Second, o.reader.read(updateOfOne(false, "i-0000", registryEntry(t, "domain", wire.StateReady))))
	must.Eq(t, readable+1, o.state.Summary().Targets)
}
