package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/burdockward/burdockward/adminapi"
)

// events writes the newest changes of state on this VM.
func (d *Daemon) events(w http.ResponseWriter, _ *http.Request) {
	lines, dropped := d.telemetry.Journal().Lines()
	events := adminapi.Events{
		VM:      d.settings.VMID,
		Domain:  d.settings.FailureDomain,
		Events:  make([]adminapi.StateChange, 0, len(lines)),
		Dropped: dropped,
	}
	for _, line := range lines {
		if change, ok := stateChange(line); ok {
			events.Events = append(events.Events, change)
		}
	}
	writeJSON(w, http.StatusOK, events)
}

// stateChange decodes a line that slog's JSON handler wrote.
func stateChange(line []byte) (adminapi.StateChange, bool) {
	var change adminapi.StateChange
	if json.Unmarshal(line, &change.Fields) != nil {
		return change, false
	}
	text := func(name string) string {
		value, _ := change.Fields[name].(string)
		delete(change.Fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	change.Time = at
	change.Level = text("level")
	change.Message = text("msg")
	return change, err == nil
}
