package node

import (
	"context"
	"reflect"
	"time"
)

// settingsInterval paces the look at the settings file, which may change without a
// signal.
const settingsInterval = 2 * time.Second

// followSettings reads the settings again at each signal and from time to time.
func (n *Node) followSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
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

// reload takes what a running process can take from changed settings: the address
// of the store. All else needs a start.
func (n *Node) reload(asked bool) {
	s, err := n.options.LoadSettings()
	if err != nil {
		n.log.Warn("settings not read again, going on with those at hand", "error", err)
		return
	}
	changed := !reflect.DeepEqual(s, n.settings)
	if asked || changed {
		n.log.Info("settings read again", "asked", asked, "changed", changed, "store", s.Store)
	}
	if s.Store != n.settings.Store {
		n.store.Move(s.Store)
	}
	n.settings = s
}
