package node

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/ownership"
)

// Times of a planned stop, within the platform's grace of 6 s.
const (
	// rotationTime is until the platform has missed two readiness checks, one a
	// second, and sends no new connections.
	rotationTime = 2200 * time.Millisecond
	// leaveMargin is kept of the grace for closing.
	leaveMargin = 700 * time.Millisecond
	// handOverPause paces the tries to hand over.
	handOverPause = 250 * time.Millisecond
	// handOverTime bounds the tries: a store that is away for longer won't help.
	handOverTime = 2 * time.Second
	// leavePause paces the looks at what is left.
	leavePause = 20 * time.Millisecond
)

// leave hands over what this VM owns and waits until its callers are answered.
func (n *Node) leave(ctx context.Context) {
	began := bootclock.Now()
	deadline := began + n.options.Settings.Grace - leaveMargin
	n.log.Info("leaving", "requests", n.requests.Load())
	n.leaving.Store(true)
	n.keeper.Leave()
	n.handOver(ctx, began)
	sleepUntil(began + rotationTime)
	// From here on callers get no new connection, and an answer on those they have.
	n.servers.closeFrontend(deadline - bootclock.Now())
	for bootclock.Now() < deadline && n.busy() {
		time.Sleep(leavePause)
	}
	n.log.Info("left", "requests", n.requests.Load(), "took", bootclock.Now()-began)
}

func sleepUntil(at time.Duration) { time.Sleep(at - bootclock.Now()) }

func (n *Node) handOver(ctx context.Context, began time.Duration) {
	if n.owned() == nil {
		return
	}
	for bootclock.Now()-began < handOverTime {
		err := n.keeper.HandOver(ctx, n.beats.Pingers(), n.calls)
		if err == nil {
			return
		}
		n.log.Warn("not handed over", "group", n.group, "error", err)
		time.Sleep(handOverPause)
	}
	if o := n.owned(); o != nil {
		o.Leave(ctx)
	}
}

// busy reports whether callers or a successor still wait for this VM.
func (n *Node) busy() bool {
	if n.requests.Load() > 0 {
		return true
	}
	for _, o := range []*owner.Owner{n.owned(), n.handingOver()} {
		if o != nil && o.Jobs() > 0 {
			return true
		}
	}
	return false
}

// Times of yielding.
const (
	// yieldInterval paces the look for a VM that should own the group instead: when all
	// VMs start again, the strong ones may come a fraction of a second later.
	yieldInterval = 250 * time.Millisecond
	// yieldPause outlasts a handover.
	yieldPause = 3 * time.Second
)

// yield hands the group to a VM of the failure domain with much more processor, if there is
// one: a weak VM may have claimed it while the others were away, or this one was slowed down.
func (n *Node) yield(ctx context.Context) {
	ticker := time.NewTicker(yieldInterval)
	defer ticker.Stop()
	tried := bootclock.Now() - yieldPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, pingers := bootclock.Now(), n.beats.Pingers()
		if n.Leaving() || n.owned() == nil || now-tried < yieldPause ||
			!ownership.Stronger(n.self.FailureDomain, n.processor.PerMille(), pingers, now) {
			continue
		}
		tried = now
		n.log.Info("handing over to a VM with more processor", "group", n.group, "cpu_per_mille", n.processor.PerMille())
		if err := n.keeper.HandOver(ctx, pingers, n.calls); err != nil {
			n.log.Warn("not handed over to a stronger VM", "group", n.group, "error", err)
		}
	}
}
