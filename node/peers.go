package node

import (
	"context"
	"time"
)

// peerPollInterval is the time between two checks for newer tables at other VMs. It allows a few
// attempts within the bound in which a new configuration has to be in force.
const peerPollInterval = 200 * time.Millisecond

// pollPeers fetches the tables of other VMs whose configuration is newer, since the store may be
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

// fetchFromNewerPeer takes the store clock, the cordons, the configuration and the claims from a VM
// that has a newer configuration, if one is known.
func (n *Node) fetchFromNewerPeer(ctx context.Context) {
	address := n.newerPeer()
	if address == "" {
		return
	}
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
	n.keeper.Merge(tables.Claims)
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
