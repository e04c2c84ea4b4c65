package node

import (
	"context"
	"time"
)

// peersInterval paces the look for news that other VMs have and the store doesn't
// give: a few tries within the bound in which a configuration has to be in force.
const peersInterval = 200 * time.Millisecond

// askPeers takes the configuration and the claims from other VMs where theirs is
// newer, since the store may turn this VM away.
func (n *Node) askPeers(ctx context.Context) {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.askNewer(ctx)
		}
	}
}

func (n *Node) askNewer(ctx context.Context) {
	address := n.newerPeer()
	if address == "" {
		return
	}
	tables, err := n.calls.Tables(ctx, address)
	if err != nil {
		n.log.Warn("peer not asked", "address", address, "error", err)
		return
	}
	n.clock.offer(tables.StoreClock)
	n.cordons.board.Offer(tables.Cordons, address)
	if len(tables.Configuration) > 0 {
		n.config.offer(tables.Configuration, address)
	}
	n.keeper.Merge(tables.Claims)
}

// newerPeer is the address of a VM that has a newer configuration, or of a seed
// while there is none at all.
func (n *Node) newerPeer() string {
	version := n.config.version()
	if seeds := n.options.Settings.Seeds; version == 0 && len(seeds) > 0 {
		n.seed = (n.seed + 1) % len(seeds)
		if seeds[n.seed] != n.self.Control {
			return seeds[n.seed]
		}
	}
	for _, held := range n.keeper.Claims() {
		if view, ok := n.beats.View(held.Claim.GetLife()); ok && view.ConfigurationVersion > version {
			return view.Control
		}
	}
	for _, p := range n.beats.Pingers() {
		if p.ConfigurationVersion > version {
			return p.Control
		}
	}
	return ""
}
