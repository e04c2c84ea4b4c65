package node

import (
	"context"
	"reflect"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/platform"
)

// settingsPollInterval is the time between two reads of the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// followSettings reloads the settings at each signal and each interval until the context ends.
func (n *Node) followSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.options.Reload:
			n.reload(true)
		case <-ticker.C:
			n.reload(false)
		}
	}
}

// reload reads the settings again and applies the only one that can change in a running process,
// the address of the store. All others need a restart.
func (n *Node) reload(signalled bool) {
	s, err := n.options.LoadSettings()
	if err != nil {
		n.log.Warn("cannot reload settings; the previous ones stay in force", "error", err)
		return
	}
	changed := !reflect.DeepEqual(s, n.settings)
	if signalled || changed {
		n.log.Info("settings read again", "asked", signalled, "changed", changed, "store", s.StoreAddress)
	}
	if s.StoreAddress != n.settings.StoreAddress {
		n.store.SetAddress(s.StoreAddress)
	}
	n.settings = s
}

// limitsOf returns the limits that the settings give this VM.
func limitsOf(s platform.Settings) heartbeat.Limits {
	return heartbeat.Limits{DeclaredCPUShare: int32(s.CPUShare * 1000), Sockets: int32(s.MaxSockets), LinkMbps: int32(s.LinkMbps)}
}
