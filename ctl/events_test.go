package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/adminapi"
)

// serveEvents serves the events of one VM and returns its address.
func (b *toolTest) serveEvents(events adminapi.Events) string {
	mux := http.NewServeMux()
	mux.HandleFunc(adminapi.EventsPattern, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(events)
	})
	server := httptest.NewServer(mux)
	b.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestEventsOfAllVMsAreMerged(t *testing.T) {
	b := newToolTest(t)
	at := func(ago time.Duration, message string) adminapi.StateChange {
		return adminapi.StateChange{Time: b.app.Now().Add(-ago), Level: "INFO", Message: message, Fields: map[string]any{"number": 7, "a": "x"}}
	}
	vms := b.serveEvents(adminapi.Events{VM: "vm-a", Domain: "hall-a", Dropped: 4, Events: []adminapi.StateChange{
		at(time.Hour, "too old"), at(3*time.Minute, "first"), at(time.Minute, "third"),
	}}) + "," + b.serveEvents(adminapi.Events{VM: "vm-b", Domain: "hall-a", Events: []adminapi.StateChange{
		at(2*time.Minute, "second"),
	}}) + "," + closedAddress(t)
	text := b.run(ExitOK, "events", "--vms", vms)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	must.SliceLen(t, 6, lines)
	for i, want := range []string{"EVENT", "first", "second", "third", "vm-a: 4 older events", "unreachable"} {
		must.StrContains(t, lines[i], want)
	}
	must.StrContains(t, lines[1], "a=x number=7")
	result := runJSON[EventsResult](b, ExitOK, "events", "--since", "90s", "--vms", vms)
	must.SliceLen(t, 1, result.Events)
	must.Eq(t, "third", result.Events[0].Message)
	must.SliceLen(t, 1, result.Unreachable)
}

func TestEventsRequiresAnsweringVMAndPositiveTime(t *testing.T) {
	b := newToolTest(t)
	b.run(ExitUnavailable, "events", "--vms", closedAddress(t))
	b.run(ExitUsage, "events", "--since", "0s", "--vms", closedAddress(t))
	b.run(ExitUsage, "events", "more")
}
