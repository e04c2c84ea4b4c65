package node

import (
	"context"
	"errors"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
)

// Timing of a planned stop, within the platform's grace period of 6 s.
const (
	// drainDelay is the time until two readiness checks, sent once a second, have failed and the
	// platform sends no new connections.
	drainDelay = 2200 * time.Millisecond
	// closeMargin is the part of the grace period that is reserved for closing the servers.
	closeMargin = 700 * time.Millisecond
	// handOverRetryInterval is the pause between two attempts to hand over.
	handOverRetryInterval = 250 * time.Millisecond
	// handOverTimeout bounds the attempts: a store that is unavailable for longer does not come
	// back in time.
	handOverTimeout = 2 * time.Second
	// busyCheckInterval is the pause between two checks for requests and jobs in progress.
	busyCheckInterval = 20 * time.Millisecond
)

// leave hands over the group if this VM owns it, and waits within the grace period until its
// callers are answered.
func (n *Node) leave(ctx context.Context) {
	began := bootclock.Now()
	deadline := began + n.options.Settings.StopGrace - closeMargin
	n.log.Info("leaving", "requests", n.requests.Load())
	n.leaving.Store(true)
	n.keeper.Leave()
	n.handOver(ctx, began)
	sleepUntil(began + drainDelay)
	// From now on the frontend accepts no connections but answers on those that are open.
	n.servers.closeFrontend(deadline - bootclock.Now())
	for bootclock.Now() < deadline && n.isBusy() {
		time.Sleep(busyCheckInterval)
	}
	n.log.Info("left", "requests", n.requests.Load(), "took", bootclock.Now()-began)
}

func sleepUntil(at time.Duration) { time.Sleep(at - bootclock.Now()) }

// handOver tries to hand the group over to another VM. If all attempts fail, the owner stops
// taking jobs and hands back those of which nothing has started.
func (n *Node) handOver(ctx context.Context, began time.Duration) {
	if n.currentOwner() == nil {
		return
	}
	for bootclock.Now()-began < handOverTimeout {
		err := n.keeper.HandOver(ctx, n.heartbeats.Pingers(), n.peerClient)
		if err == nil || errors.Is(err, ownership.ErrNotOwner) {
			return
		}
		n.log.Warn("handover failed", "group", n.group, "error", err)
		time.Sleep(handOverRetryInterval)
	}
	if o := n.currentOwner(); o != nil {
		o.Leave(ctx)
	}
}

// isBusy reports whether requests of callers or jobs of an owner are still in progress here.
func (n *Node) isBusy() bool {
	if n.requests.Load() > 0 {
		return true
	}
	for _, o := range []*owner.Owner{n.currentOwner(), n.outgoingOwner()} {
		if o != nil && o.OpenJobs() > 0 {
			return true
		}
	}
	return false
}

// yieldRetryInterval is the time between two attempts to hand over to a stronger VM; it is longer than
// a handover takes.
const yieldRetryInterval = 3 * time.Second

// yieldToStronger hands the group over to a VM of the failure domain that suits it better, if there is
// one: this VM may have claimed the group while the others were down, or may have been slowed down since. It
// also keeps what this VM reports of the others' rank.
func (n *Node) yieldToStronger(ctx context.Context) {
	ticker := time.NewTicker(ownership.CheckInterval)
	defer ticker.Stop()
	var checks ownership.Checks
	lastAttempt := bootclock.Now() - yieldRetryInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		self, owns := n.describeOwner()
		if !owns {
			n.succession.Store(nil)
			continue
		}
		now, pingers := bootclock.Now(), n.heartbeats.Pingers()
		n.keepSuccession(self.Targets, pingers)
		to, reason := checks.Next(now, n.self.FailureDomain, self, n.keeper.Candidates(now, pingers))
		if reason == "" || n.Leaving() || now-lastAttempt < yieldRetryInterval {
			continue
		}
		lastAttempt = now
		n.log.Info("handing over to a stronger VM", "group", n.group, "to", to.VM, "reason", reason, "cpu_per_mille", self.CPUShare,
			"to_cpu_per_mille", to.CPUShare, "behind", self.Behind, "open_jobs", self.OpenJobs)
		n.options.Count("handovers", string(reason))
		if err := n.keeper.HandOver(ctx, []heartbeat.Pinger{to}, n.peerClient); err != nil {
			n.log.Warn("handover to a stronger VM failed", "group", n.group, "to", to.VM, "error", err)
		}
	}
}

// describeOwner returns what the owner in this process knows of itself, if there is one.
func (n *Node) describeOwner() (ownership.Owner, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return ownership.Owner{}, false
	}
	return ownership.Owner{
		CPUShare: n.processor.PerMille(), Limits: n.self.Limits,
		OpenJobs: n.current.OpenJobs(), Behind: n.current.Behind(), Targets: int(n.current.targets.Load()),
	}, true
}

// keepSuccession keeps what this VM, which owns the group, tells the others of their rank.
func (n *Node) keepSuccession(targets int, pingers []heartbeat.Pinger) {
	n.keeper.SetTargets(targets)
	n.succession.Store(ownership.SuccessionOf(n.self.FailureDomain, targets, pingers))
}

// Succession implements heartbeat.Listener.
func (n *Node) Succession() *linkpb.Succession { return n.succession.Load() }

// ReceiveSuccession implements heartbeat.Listener.
func (n *Node) ReceiveSuccession(owner uint64, succession *linkpb.Succession) {
	n.keeper.ReceiveSuccession(owner, succession)
}
