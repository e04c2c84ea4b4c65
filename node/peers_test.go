package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// addresses lists the addresses of peers.
func addresses(peers []peerVersions) []string {
	list := []string{}
	for _, p := range peers {
		list = append(list, p.address)
	}
	return list
}

// The VMs with the newest configuration come first, be it owners or entry VMs, then those with the newest
// profiles. None is asked that is as old as this one. VMs of older builds report no version.
func TestNewestPeersAreAskedFirst(t *testing.T) {
	peers := []peerVersions{
		{"older", 0, 0}, {"owner", 7, 4}, {"entry", 7, 5}, {"newest", 9, 0}, {"owner", 7, 4}, {"same", 6, 3}, {"profiles", 6, 4},
	}
	must.Eq(t, []string{"newest", "entry", "owner", "profiles"}, addresses(newerPeers(peers, 6, 3)))
	must.Eq(t, []string{"newest", "entry", "owner"}, addresses(newerPeers(peers, 6, 4)))
	must.Eq(t, []string{"newest", "entry"}, addresses(newerPeers(peers, 7, 4)))
	must.Eq(t, []string{"entry"}, addresses(newerPeers(peers, 9, 4)))
	must.SliceEmpty(t, newerPeers(peers, 9, 5))
	must.Eq(t, 9, newestConfiguration(peers))
}

// A peer that can't be reached must not be asked again and again while another one has the newer
// configuration. The next search starts with the newest one again.
func TestUnreachablePeerDoesNotHideOthers(t *testing.T) {
	newer := newerPeers([]peerVersions{{"unreachable", 9, 0}, {"reachable", 8, 0}}, 7, 0)
	var turn peerTurn
	asked := []string{}
	for range 3 {
		peer, ok := turn.next(newer)
		must.True(t, ok)
		asked = append(asked, peer.address)
	}
	must.Eq(t, []string{"unreachable", "reachable", "unreachable"}, asked)
	_, ok := turn.next(nil)
	must.False(t, ok)
	peer, ok := turn.next(newer)
	must.True(t, ok)
	must.Eq(t, "unreachable", peer.address)
}
