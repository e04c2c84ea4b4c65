package node

import (
	"bytes"
	"log/slog"
	"sync"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/shares"
)

// profiles holds the newest valid profiles that this process has seen. They never go back to an older
// version, whichever source sends them, and an invalid row leaves them in force.
type profiles struct {
	log   *slog.Logger
	count func(what, label string)
	// changed is called with each new version, one call at a time.
	changed func(*shares.Profiles)

	mu   sync.Mutex
	held *shares.Profiles
	// raw is the value of the store's row, which is sent to other VMs. refused is the last value that
	// was refused, so that it is reported once.
	raw, refused []byte
}

// storeSource names the store as the source of a row. Other VMs may have older rows at any time.
const storeSource = "store"

// updateIfNewer puts profiles in force if they are valid and newer, and reports whether they are valid.
func (p *profiles) updateIfNewer(raw []byte, from string) bool {
	decoded, err := platform.DecodeProfiles(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	version := int64(0)
	if p.held != nil {
		version = p.held.Version
	}
	switch {
	case err != nil:
		p.refuse(raw, "profiles not valid, the last ones stay in force", "from", from, "in_force", version, "error", err)
		return false
	case decoded.Version == version && !bytes.Equal(raw, p.raw):
		p.refuse(raw, "profiles changed without a new version, the last ones stay in force: raise the version", "from", from, "in_force", version)
	case decoded.Version < version && from == storeSource:
		p.refuse(raw, "profiles older than those in force, which stay: raise the version", "from", from, "in_force", version, "version", decoded.Version)
	case decoded.Version > version:
		p.held, p.raw = &decoded, raw
		p.log.Info("profiles in force", "version", decoded.Version, "before", version, "profiles", len(decoded.Profiles), "from", from)
		p.count("profiles", "in force")
		p.changed(p.held)
	}
	return true
}

// refuse reports a value that isn't put in force, unless it was the last one that was reported.
func (p *profiles) refuse(raw []byte, why string, details ...any) {
	if bytes.Equal(raw, p.refused) {
		return
	}
	p.refused = raw
	p.count("profiles", "refused")
	p.log.Error(why, details...)
}

// applyUpdate takes the profiles from an update of the operator's table. A row that is removed leaves
// the last profiles in force.
func (p *profiles) applyUpdate(update mirror.Update) {
	for _, row := range update.Rows.Rows {
		if row.Key == platform.ProfilesKey && !row.Deleted {
			p.updateIfNewer(row.Value, storeSource)
		}
	}
}

// inForce returns the profiles in force with their encoded form; nil before the first.
func (p *profiles) inForce() (*shares.Profiles, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, p.raw
}

// version returns the version in force; 0 before the first.
func (p *profiles) version() int64 {
	if held, _ := p.inForce(); held != nil {
		return held.Version
	}
	return 0
}

// profilesChanged passes new profiles to the owners in this process.
func (n *Node) profilesChanged(p *shares.Profiles) {
	n.options.Gauge("profiles_version", float64(p.Version))
	go func() {
		for _, o := range n.localOwners() {
			o.UpdateProfiles(n.ctx, p)
		}
	}()
	n.reportUnknownQueues(p)
}

// reportUnknownQueues logs the queues of profiles that the configuration doesn't have. They may come
// with the next one.
func (n *Node) reportUnknownQueues(p *shares.Profiles) {
	held := n.config.held.Load()
	if p == nil || held == nil {
		return
	}
	known := make([]string, len(held.Routes))
	for i, route := range held.Routes {
		known[i] = route.Queue.Name
	}
	if unknown := p.UnknownQueues(known); len(unknown) > 0 {
		n.log.Warn("profiles name queues that the configuration doesn't have", "queues", unknown, "profiles_version", p.Version, "configuration_version", held.Version)
	}
}

// ProfilesVersion implements heartbeat.Listener.
func (n *Node) ProfilesVersion() int64 { return n.profiles.version() }

// profilesInForce returns the profiles in force; nil before the first.
func (n *Node) profilesInForce() *shares.Profiles {
	held, _ := n.profiles.inForce()
	return held
}
