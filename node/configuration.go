package node

import (
	"log/slog"
	"sync/atomic"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// configuration holds the newest configuration that this process has seen; it
// never goes back to an older one.
type configuration struct {
	log  *slog.Logger
	held atomic.Pointer[heldConfiguration]
}

type heldConfiguration struct {
	work.Configuration
	// raw is the row's value, for other VMs.
	raw []byte
}

// offer takes a configuration if it is newer, and reports whether it is.
func (c *configuration) offer(raw []byte, from string) bool {
	decoded, err := platform.DecodeConfiguration(raw)
	if err != nil {
		c.log.Error("configuration not understood", "from", from, "error", err)
		return false
	}
	next := &heldConfiguration{Configuration: decoded, raw: raw}
	for {
		old := c.held.Load()
		if old != nil && old.Version >= decoded.Version {
			return false
		}
		if c.held.CompareAndSwap(old, next) {
			c.log.Info("configuration in force", "version", decoded.Version, "routes", len(decoded.Routes), "from", from)
			return true
		}
	}
}

func (c *configuration) take(update mirror.Update) {
	for _, row := range update.Rows.Rows {
		if row.Key == platform.ConfigurationKey && !row.Deleted {
			c.offer(row.Value, "store")
		}
	}
}

func (c *configuration) version() int64 {
	if held := c.held.Load(); held != nil {
		return held.Version
	}
	return 0
}
