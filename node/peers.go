package node

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
)

// peerPollInterval is the time between two checks for newer tables at other VMs. It allows a few
// attempts within the bound in which a new configuration has to be in force.
const peerPollInterval = 200 * time.Millisecond

// pollPeers fetches the tables of other VMs whose configuration or profiles are newer, since the store may be
// unreachable from this VM. It returns when the context ends.
func (n *Node) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.fetchFromNewerPeer(ctx)
		}
	}
}

// fetchFromNewerPeer takes the store clock, the cordons, the configuration, the profiles and the claims
// from a VM that has a newer configuration or newer profiles, if one is known.
func (n *Node) fetchFromNewerPeer(ctx context.Context) {
	n.config.recordPeerVersion(n.newestPeerVersion(), bootclock.Now())
	address, profiles := n.newerPeer(), int64(0)
	if address == "" {
		address, profiles = n.peerWithNewerProfiles()
	}
	if address != "" {
		n.fetchTables(ctx, address, profiles)
	}
}

// fetchTables takes the tables of a VM whose heartbeat reported a version of the profiles.
func (n *Node) fetchTables(ctx context.Context, address string, profiles int64) {
	tables, err := n.peerClient.Tables(ctx, address)
	if err != nil {
		n.log.Warn("cannot fetch tables from a peer", "address", address, "error", err)
		return
	}
	n.storeClock.setFromPeer(tables.StoreClock)
	n.cordons.board.Update(tables.Cordons, address)
	if len(tables.Configuration) > 0 {
		n.config.updateIfNewer(tables.Configuration, address)
	}
	if len(tables.Profiles) > 0 && !n.profiles.updateIfNewer(tables.Profiles, address) {
		n.unusableProfiles = max(n.unusableProfiles, profiles)
	}
	n.keeper.Merge(tables.Claims)
}

// peerWithNewerProfiles returns the address of the VM that has the newest profiles, and their version;
// "" if none has newer ones than this VM. Profiles that this build can't use are not fetched again.
func (n *Node) peerWithNewerProfiles() (address string, version int64) {
	var views []heartbeat.View
	for _, held := range n.keeper.Claims() {
		if view, ok := n.heartbeats.View(held.Claim.GetLife()); ok {
			views = append(views, view)
		}
	}
	return newestProfiles(views, n.heartbeats.Pingers(), max(n.profiles.version(), n.unusableProfiles))
}

// newestProfiles returns the address of the VM with the newest profiles above a version; "" for none.
func newestProfiles(views []heartbeat.View, pingers []heartbeat.Pinger, above int64) (address string, version int64) {
	version = above
	for _, view := range views {
		if view.ProfilesVersion > version {
			address, version = view.ControlAddress, view.ProfilesVersion
		}
	}
	for _, p := range pingers {
		if p.ProfilesVersion > version {
			address, version = p.ControlAddress, p.ProfilesVersion
		}
	}
	return address, version
}

// newestPeerVersion returns the newest version of the configuration that a heartbeat has reported.
func (n *Node) newestPeerVersion() int64 {
	newest := int64(0)
	for _, held := range n.keeper.Claims() {
		if view, ok := n.heartbeats.View(held.Claim.GetLife()); ok {
			newest = max(newest, view.ConfigurationVersion)
		}
	}
	for _, p := range n.heartbeats.Pingers() {
		newest = max(newest, p.ConfigurationVersion)
	}
	return newest
}

// newerPeer returns the address of a VM that has a newer configuration, or "" if none is known.
// While this VM has no configuration at all, it returns the seeds in turn.
func (n *Node) newerPeer() string {
	version := n.config.version()
	if seeds := n.options.Settings.Seeds; version == 0 && len(seeds) > 0 {
		n.lastSeed = (n.lastSeed + 1) % len(seeds)
		if seeds[n.lastSeed] != n.self.ControlAddress {
			return seeds[n.lastSeed]
		}
	}
	for _, held := range n.keeper.Claims() {
		if view, ok := n.heartbeats.View(held.Claim.GetLife()); ok && view.ConfigurationVersion > version {
			return view.ControlAddress
		}
	}
	for _, p := range n.heartbeats.Pingers() {
		if p.ConfigurationVersion > version {
			return p.ControlAddress
		}
	}
	return ""
}
