//go:build linux

package e2e

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/burdockward/burdockward/peer/peerpb"
)

// network forwards the messages between the VMs of a world, and drops those on routes that are cut.
type network struct {
	t   *testing.T
	mu  sync.Mutex
	cut map[route]bool
}

// route is one direction between two VMs.
type route struct{ from, to string }

func newNetwork(t *testing.T) *network { return &network{t: t, cut: map[route]bool{}} }

// startRelay starts a relay to the peer port of a VM and returns the relay's address. A nil network
// has no relays and returns the port itself.
func (n *network) startRelay(vm *entryVM) netip.AddrPort {
	if n == nil {
		return vm.peers
	}
	r := &relay{network: n, vm: vm.id, next: peerpb.NewPeerProtobufClient("http://"+vm.peers.String(), &http.Client{})}
	server := httptest.NewServer(peerpb.NewPeerServer(r))
	n.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// setCut replaces the routes that are cut.
func (n *network) setCut(routes ...route) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for _, r := range routes {
		n.cut[r] = true
	}
}

// isCut reports whether the route between two VMs is cut.
func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[route{from, to}]
}

// hasCutAt reports whether any route from or to the VM is cut.
func (n *network) hasCutAt(vm string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.cut {
		if r.from == vm || r.to == vm {
			return true
		}
	}
	return false
}

// relay forwards the requests to one VM. It drops a request when the route to the VM is cut, and
// the answer when the route back is cut.
type relay struct {
	network *network
	vm      string
	next    peerpb.Peer
}

// Deliver implements peerpb.Peer.
func (r *relay) Deliver(ctx context.Context, batch *peerpb.Batch) (*peerpb.Batch, error) {
	if r.network.isCut(batch.GetSender(), r.vm) {
		return nil, lost(ctx)
	}
	response, err := r.next.Deliver(ctx, batch)
	if r.network.isCut(r.vm, batch.GetSender()) {
		return nil, lost(ctx)
	}
	return response, err
}

// Wait implements peerpb.Peer. The request does not name its sender, so the relay drops it when any
// route of the VM is cut.
func (r *relay) Wait(ctx context.Context, request *peerpb.WaitRequest) (*peerpb.WaitResponse, error) {
	if r.network.hasCutAt(r.vm) {
		return nil, lost(ctx)
	}
	response, err := r.next.Wait(ctx, request)
	if r.network.hasCutAt(r.vm) {
		return nil, lost(ctx)
	}
	return response, err
}

// Burn implements peerpb.Peer, like Wait.
func (r *relay) Burn(ctx context.Context, request *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	if r.network.hasCutAt(r.vm) {
		return nil, lost(ctx)
	}
	response, err := r.next.Burn(ctx, request)
	if r.network.hasCutAt(r.vm) {
		return nil, lost(ctx)
	}
	return response, err
}

// lost waits until the sender gives up, as it does when no answer arrives.
func lost(ctx context.Context) error {
	<-ctx.Done()
	return errors.New("the message is lost")
}
