package node

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"
)

// The configuration in force is never an older one, wherever it comes from.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := configuration{log: slog.New(slog.DiscardHandler)}
	must.Eq(t, 0, c.version())
	must.True(t, c.offer([]byte(`{"version":7}`), "store"))
	must.False(t, c.offer([]byte(`{"version":3}`), "peer"))
	must.False(t, c.offer([]byte(`{"version":7}`), "peer"))
	must.False(t, c.offer([]byte(`junk`), "peer"))
	must.Eq(t, 7, c.version())
	must.True(t, c.offer([]byte(`{"version":8}`), "peer"))
	must.Eq(t, 8, c.version())
}
