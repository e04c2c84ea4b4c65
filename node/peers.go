package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/burdockward/burdockward/bootclock"
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
// from a VM that has a newer configuration or newer profiles, if one is known. While this VM has no
// configuration at all, it asks the seeds as well.
func (n *Node) fetchFromNewerPeer(ctx context.Context) {
	peers := n.knownPeers()
	n.config.recordPeerVersion(newestConfiguration(peers), bootclock.Now())
	if seed := n.nextSeed(); seed != "" {
		n.fetchTables(ctx, seed, 0)
		return
	}
	newer := newerPeers(peers, n.config.version(), max(n.profiles.version(), n.unusableProfiles))
	if peer, ok := n.peerTurn.next(newer); ok {
		n.fetchTables(ctx, peer.address, peer.profiles)
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

// nextSeed returns the next seed to ask while this VM has no configuration; "" if it has one, or the
// turn is its own.
func (n *Node) nextSeed() string {
	seeds := n.options.Settings.Seeds
	if n.config.version() > 0 || len(seeds) == 0 {
		return ""
	}
	n.lastSeed = (n.lastSeed + 1) % len(seeds)
	if seed := seeds[n.lastSeed]; seed != n.self.ControlAddress {
		return seed
	}
	return ""
}

// peerVersions is a VM with the versions that its last heartbeat reported.
type peerVersions struct {
	address                 string
	configuration, profiles int64
}

// knownPeers lists the owners and the entry VMs that heartbeats have come from.
func (n *Node) knownPeers() []peerVersions {
	var peers []peerVersions
	for _, held := range n.keeper.Claims() {
		if view, ok := n.heartbeats.View(held.Claim.GetLife()); ok {
			peers = append(peers, peerVersions{view.ControlAddress, view.ConfigurationVersion, view.ProfilesVersion})
		}
	}
	for _, p := range n.heartbeats.Pingers() {
		peers = append(peers, peerVersions{p.ControlAddress, p.ConfigurationVersion, p.ProfilesVersion})
	}
	return peers
}

// newestConfiguration returns the newest version of the configuration that a peer has; 0 for none.
func newestConfiguration(peers []peerVersions) int64 {
	newest := int64(0)
	for _, p := range peers {
		newest = max(newest, p.configuration)
	}
	return newest
}

// newerPeers returns the peers with a newer configuration or newer profiles than the given versions, each
// address once. Those with the newest configuration come first, then those with the newest profiles.
func newerPeers(peers []peerVersions, configuration, profiles int64) []peerVersions {
	var newer []peerVersions
	for _, p := range peers {
		if p.configuration > configuration || p.profiles > profiles {
			newer = append(newer, p)
		}
	}
	slices.SortFunc(newer, func(a, b peerVersions) int {
		return cmp.Or(cmp.Compare(b.configuration, a.configuration), cmp.Compare(b.profiles, a.profiles), cmp.Compare(a.address, b.address))
	})
	seen := map[string]bool{}
	return slices.DeleteFunc(newer, func(p peerVersions) bool {
		repeated := seen[p.address]
		seen[p.address] = true
		return repeated
	})
}

// peerTurn chooses which peer to ask next, so that one that doesn't answer isn't asked again before
// the others.
type peerTurn struct{ asked int }

// next returns the peer to ask; false if there is none. The first one is asked first, then the others
// in turn until no peer is newer.
func (t *peerTurn) next(newer []peerVersions) (peer peerVersions, ok bool) {
	if len(newer) == 0 {
		t.asked = 0
		return peerVersions{}, false
	}
	peer = newer[t.asked%len(newer)]
	t.asked++
	return peer, true
}
