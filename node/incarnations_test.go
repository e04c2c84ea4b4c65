package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
)

// Only a ping of another incarnation that came since shows that a previous owner's process has ended.
func TestOnlyNewerIncarnationShowsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		pinger heartbeat.Pinger
		ended  bool
	}{
		"another incarnation":             {heartbeat.Pinger{VM: "p", Incarnation: 2, LastHeard: 5 * time.Second}, true},
		"the same incarnation":            {heartbeat.Pinger{VM: "p", Incarnation: 1, LastHeard: 5 * time.Second}, false},
		"another VM":                      {heartbeat.Pinger{VM: "q", Incarnation: 2, LastHeard: 5 * time.Second}, false},
		"an incarnation that came before": {heartbeat.Pinger{VM: "p", Incarnation: 2, LastHeard: 3 * time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, test.ended, hasEnded([]heartbeat.Pinger{test.pinger}, "p", 1, 4*time.Second))
		})
	}
	must.False(t, hasEnded([]heartbeat.Pinger{{VM: "p", Incarnation: 2, LastHeard: time.Second}}, "p", 0, 0))
	must.False(t, hasEnded(nil, "p", 1, 0))
}
