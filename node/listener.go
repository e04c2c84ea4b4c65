package node

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// ReceiveKeepalive implements heartbeat.Listener.
func (n *Node) ReceiveKeepalive(entry string, until time.Duration, givenUp []heartbeat.GivenUp) {
	var requests []scheduler.GivenUp
	for _, given := range givenUp {
		requests = append(requests, scheduler.GivenUp(given))
	}
	for _, o := range []*owner.Owner{n.currentOwner(), n.outgoingOwner()} {
		if o != nil {
			o.RecordKeepalive(entry, until, requests)
		}
	}
}

// Loads implements heartbeat.Listener.
func (n *Node) Loads() []*linkpb.Load {
	o := n.currentOwner()
	if o == nil {
		return nil
	}
	var loads []*linkpb.Load
	for service, load := range o.Loads() {
		if !n.hasQueueOf(service) {
			// Other writers' entries may name any number of services, and a heartbeat has to fit a datagram.
			continue
		}
		sent := &linkpb.Load{Group: n.group, Service: service, FreeCpu: load.FreeCPU, Cpu: load.CPU, AnswerUs: load.AnswerTime.Microseconds()}
		for _, wait := range load.Wait {
			sent.WaitUs = append(sent.WaitUs, wait.Microseconds())
		}
		for _, places := range load.FreeCapacity.Tasks {
			sent.Places = append(sent.Places, int32(places))
		}
		loads = append(loads, sent)
	}
	return loads
}

// hasQueueOf reports whether a queue of the configuration uses a service, as far as that is known.
func (n *Node) hasQueueOf(service string) bool {
	held := n.config.held.Load()
	return held == nil || slices.ContainsFunc(held.Routes, func(r work.Route) bool { return r.Queue.Service == service })
}

// ReportLargeHeartbeat implements heartbeat.Listener.
func (n *Node) ReportLargeHeartbeat() { n.options.Count("heartbeats_cut", "pong") }

// PendingJobs implements heartbeat.Listener.
func (n *Node) PendingJobs() map[string]int32 {
	if o := n.currentOwner(); o != nil {
		return o.PendingJobs()
	}
	return nil
}

// ReportLateHeartbeat implements heartbeat.Listener.
func (n *Node) ReportLateHeartbeat(vm string, gap time.Duration) {
	n.options.Count("notes", "heartbeat late")
	n.log.Warn("heartbeat late", "vm", vm, "gap", gap)
}

// Claim implements heartbeat.Listener.
func (n *Node) Claim() *linkpb.Owned {
	if held, ok := n.keeper.Claim(); ok {
		return held.ToWire()
	}
	return nil
}

// ReceiveClaim implements heartbeat.Listener.
func (n *Node) ReceiveClaim(owned *linkpb.Owned) {
	for _, known := range n.keeper.Claims() {
		if known.Group == owned.GetGroup() && !ownership.FromWire(owned).IsNewerThan(known) {
			return
		}
	}
	n.keeper.Merge([]ownership.GroupClaim{ownership.FromWire(owned)})
}

// ConfigurationVersion implements heartbeat.Listener.
func (n *Node) ConfigurationVersion() int64 { return n.config.version() }

// Leaving implements heartbeat.Listener and platform.Dispatcher.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// CPUShare implements heartbeat.Listener.
func (n *Node) CPUShare() int32 { return n.processor.PerMille() }
