package node

import (
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/relay"
)

// relaySilenceTimeout is how long a VM may be silent and still relay orders: several heartbeats.
const relaySilenceTimeout = 5 * heartbeat.Interval

// newRouter creates the router that sends the orders of an owner in this process.
func (n *Node) newRouter() *relay.Router {
	return relay.NewRouter(relay.Options{
		Direct: n.targets,
		Budget: func() relay.Budget {
			s := n.options.Settings
			return relay.Budget{CPU: n.processor.Share(), Used: n.processor.Used(), Sockets: s.MaxSockets, MemoryMB: s.MemoryMB}
		},
		Candidates: n.relayCandidates,
		StoreAge:   func() time.Duration { return bootclock.Now() - time.Duration(n.storeReadTimes.registry.Load()) },
		Log:        n.log, Count: n.options.Count, Gauge: n.options.Gauge,
	})
}

// relayCandidates lists the other VMs of the failure domain that send heartbeats and do not leave.
func (n *Node) relayCandidates() []relay.VM {
	now := bootclock.Now()
	var vms []relay.VM
	for _, p := range n.heartbeats.Pingers() {
		if p.FailureDomain != n.self.FailureDomain || p.Leaving || p.Incarnation == n.self.Incarnation || now-p.LastHeard > relaySilenceTimeout {
			continue
		}
		vms = append(vms, relay.VM{Name: p.VM, Incarnation: p.Incarnation, Address: p.HeartbeatAddress, CPU: float64(p.CPUShare) / 1000})
	}
	return vms
}

// relayServer creates the server that forwards the orders of owners in other processes.
func (n *Node) relayServer() *relay.Server {
	return &relay.Server{
		Targets: n.targets, Log: n.log, Count: n.options.Count,
		StoreAge: func() time.Duration {
			heard := max(n.storeReadTimes.configuration.Load(), n.storeReadTimes.claims.Load())
			return bootclock.Now() - time.Duration(heard)
		},
	}
}
