package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/burdockward/burdockward/adminapi"
	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/telemetry"
	"github.com/shoenig/test/must"
)

// Operators read the lines that the duties log at the admin port.
func TestEventsAreTheLoggedLines(t *testing.T) {
	d := &Daemon{settings: &settings.Settings{VMID: "vm-a", FailureDomain: "hall-a"}, telemetry: telemetry.Discard()}
	log := d.telemetry.Log()
	log.Debug("detail")
	log.Warn("view", "number", 7, "members", []string{"vm-a", "vm-b"})
	_, _ = d.telemetry.Journal().Write([]byte("cut off {"))
	recorder := httptest.NewRecorder()
	d.events(recorder, httptest.NewRequest(http.MethodGet, adminapi.EventsPath, nil))
	var events adminapi.Events
	must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &events))
	must.Eq(t, "vm-a", events.VM)
	must.Eq(t, "hall-a", events.Domain)
	must.SliceLen(t, 1, events.Events)
	change := events.Events[0]
	must.Eq(t, "view", change.Message)
	must.Eq(t, "WARN", change.Level)
	must.False(t, change.Time.IsZero())
	must.Eq(t, map[string]any{"number": 7.0, "members": []any{"vm-a", "vm-b"}}, change.Fields)
}
