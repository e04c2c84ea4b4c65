package dispatch

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// maxRevocations bounds the waiting revocations. Further ones are dropped, and
	// requested again later.
	maxRevocations = 1024
	// parallelRevocations bounds the revocations sent at the same time.
	parallelRevocations = 16
	// clockMargin covers the drift between the clocks of VMs during a view lease.
	clockMargin = 250 * time.Millisecond
)

// Revocation asks a target to revoke the leases of all holders except Holders, and
// to list the tasks of the others that run there.
type Revocation struct {
	Target  string
	Address string
	// View is the view that the answer is for.
	View    string
	Holders []string
}

// revoker sends revocations to targets, from a goroutine of its own.
type revoker struct {
	client           TargetClient
	deliver          func(event)
	waiting          *ring.Ring[Revocation]
	messages, failed tally.Counter
}

func newRevoker(client TargetClient, scope tally.Scope, deliver func(event)) *revoker {
	return &revoker{
		client:   client,
		deliver:  deliver,
		waiting:  ring.New[Revocation](maxRevocations),
		messages: scope.Tagged(map[string]string{"kind": "revoke"}).Counter("messages_sent"),
		failed:   scope.Counter("revocations_failed"),
	}
}

// run sends the waiting revocations until the context ends.
func (r *revoker) run(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(parallelRevocations)
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return
		case revocation := <-r.waiting.Items():
			g.Go(func() error {
				r.revoke(ctx, revocation)
				return nil
			})
		}
	}
}

// revoke sends one revocation and delivers its answer. After an error the running
// tasks are unknown: the target counts as unanswered and is asked again.
func (r *revoker) revoke(ctx context.Context, revocation Revocation) {
	r.messages.Inc(1)
	tasks, err := r.client.Revoke(ctx, revocation.Address, revocation.Holders)
	if err != nil {
		r.failed.Inc(1)
		return
	}
	r.deliver(&revokedEvent{revocation: revocation, running: countUnits(tasks)})
}

// countUnits returns the number of units of each limit that the tasks hold.
func countUnits(tasks []targetclient.RunningTask) map[string]int {
	held := map[string]int{}
	for _, t := range tasks {
		for _, limit := range t.Limits {
			held[limit]++
		}
	}
	return held
}

// revokedEvent reports the answer to a revocation.
type revokedEvent struct {
	revocation Revocation
	running    map[string]int
}

func (e *revokedEvent) apply(d *Duty) {
	if shared, ok := d.options.Placer.(*Shared); ok {
		shared.recordRevocation(d.now(), e.revocation, e.running)
	}
}

// Revoke queues a revocation for sending; its answer goes to the placer.
func (d *Duty) Revoke(r Revocation) { d.revoker.waiting.Offer(r) }

// revokeDue sends revocations to targets that may run tasks of lost VMs, and
// returns when it must be called again; false when it need not.
func (s *Shared) revokeDue(now time.Duration) (time.Duration, bool) {
	due, out := s.capacity.Revocations(now)
	s.send(out)
	for _, r := range due {
		s.options.Revoke(Revocation{
			Target:  r.Target,
			Address: s.targets[r.Target].Address,
			View:    r.View,
			Holders: holders(r.Holders),
		})
	}
	return s.capacity.NextRevocation(now)
}

// holders returns the names of the members at targets.
func holders(members []capacity.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, targetclient.Holder(m.ID, m.Incarnation))
	}
	return names
}

// recordRevocation passes the answer of a target to the capacity state, unless the
// target is now another process at another address.
func (s *Shared) recordRevocation(now time.Duration, r Revocation, running map[string]int) {
	if s.targets[r.Target].Address != r.Address {
		return
	}
	s.send(s.capacity.RecordRevoked(now, r.View, r.Target, running))
}

// setRevocable passes the targets that may run tasks, leaving ones included, to the
// capacity state.
func (s *Shared) setRevocable(now time.Duration, targets []Target) {
	list := make([]capacity.TargetSlots, 0, len(targets))
	for _, t := range targets {
		list = append(list, capacity.TargetSlots{Target: t.ID, Slots: t.Slots})
	}
	s.capacity.SetTargets(now, list)
}
