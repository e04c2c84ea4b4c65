package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// configuration holds the newest configuration that this process has seen. It never goes back to
// an older version, whichever source sends it.
type configuration struct {
	log  *slog.Logger
	held atomic.Pointer[heldConfiguration]
	// behindSince is when a peer was first known to have a newer version, on the boot clock; 0 while
	// none is.
	behindSince atomic.Int64
}

// heldConfiguration is a decoded configuration with its encoded form.
type heldConfiguration struct {
	work.Configuration
	// raw is the value of the store's row, which is sent to other VMs.
	raw []byte
}

// updateIfNewer puts a configuration in force if its version is newer, and reports whether it did.
func (c *configuration) updateIfNewer(raw []byte, from string) bool {
	decoded, err := platform.DecodeConfiguration(raw)
	if err != nil {
		c.log.Error("cannot decode configuration", "from", from, "error", err)
		return false
	}
	next := &heldConfiguration{Configuration: decoded, raw: raw}
	for {
		old := c.held.Load()
		if old != nil && old.Version >= decoded.Version {
			return false
		}
		if c.held.CompareAndSwap(old, next) {
			c.log.Info("configuration in force", "version", decoded.Version, "routes", len(decoded.Routes), "from", from,
				"behind", c.behind(bootclock.Now()))
			c.behindSince.Store(0)
			return true
		}
	}
}

// applyUpdate takes the configuration from an update of the operator's table.
func (c *configuration) applyUpdate(update mirror.Update) {
	for _, row := range update.Rows.Rows {
		if row.Key == platform.ConfigurationKey && !row.Deleted {
			c.updateIfNewer(row.Value, "store")
		}
	}
}

// version returns the version in force; 0 before the first.
func (c *configuration) version() int64 {
	if held := c.held.Load(); held != nil {
		return held.Version
	}
	return 0
}

// recordPeerVersion records at a time whether a peer has a newer version.
func (c *configuration) recordPeerVersion(newest int64, now time.Duration) {
	if newest <= c.version() {
		c.behindSince.Store(0)
		return
	}
	c.behindSince.CompareAndSwap(0, int64(now))
}

// behind returns for how long a peer has been known to have a newer version; 0 if none has.
func (c *configuration) behind(now time.Duration) time.Duration {
	if since := c.behindSince.Load(); since > 0 {
		return now - time.Duration(since)
	}
	return 0
}
