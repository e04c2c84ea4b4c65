package deploy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Ports are below the range that kernels assign to outgoing connections, so that no such connection
// takes a VM's port while the VM restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freePorts returns n distinct loopback ports on which no process listens now.
func freePorts(n int) ([]netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	var ports []netip.AddrPort
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	start := rand.IntN(lastPort - firstPort)
	for i := 0; i < lastPort-firstPort && len(ports) < n; i++ {
		port := firstPort + (start+i)%(lastPort-firstPort)
		addr := netip.AddrPortFrom(loopback, uint16(port))
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		held = append(held, l)
		ports = append(ports, addr)
	}
	if len(ports) < n {
		return nil, errors.New(fmt.Sprint("found only ", len(ports), " of ", n, " free loopback ports: end other processes first"))
	}
	return ports, nil
}
