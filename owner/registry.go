package owner

import (
	"context"
	"slices"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/work"
)

// registry holds the targets that the platform's store lists. While the previous owner hands
// over, the scheduler gets only those that it has released.
type registry struct {
	listed map[string]work.Target
	// snapshotRead is set once the whole registry was read.
	snapshotRead bool
	// handoverPending is set while targets that aren't in handedOver belong to the previous
	// owner.
	handoverPending bool
	handedOver      map[string]bool
	// releasedAll is set once the previous owner has said that it uses no target any more.
	releasedAll bool
	// released lists the targets that this owner gave to its successor.
	released []string
	// jobsHandedOver is set once this owner has handed its running jobs over.
	jobsHandedOver bool
}

func newRegistry(handover bool) registry {
	return registry{listed: map[string]work.Target{}, handoverPending: handover, handedOver: map[string]bool{}}
}

// registryUpdated extracts the changes from an update and posts them to the loop.
func (o *Owner) registryUpdated(ctx context.Context, update mirror.Update) {
	if n := o.reader.read(update); !n.isEmpty() {
		o.postUrgent(ctx, func(now time.Duration) { o.applyRegistryChanges(now, n) })
	}
}

// applyRegistryChanges adds new and changed targets, and removes those that are gone.
func (o *Owner) applyRegistryChanges(now time.Duration, n registryChanges) {
	for _, c := range n.changes {
		if c.target == nil {
			o.unlist(now, c.id)
			continue
		}
		if !o.registry.snapshotRead {
			o.state.ListedAtStart(c.id, c.target.Incarnation)
		}
		o.registry.listed[c.id] = *c.target
		o.addTarget(now, *c.target)
	}
	for _, c := range n.foreign {
		if c.target == nil {
			o.state.ForeignTargetUnlisted(c.id)
		} else {
			o.state.ForeignTargetListed(*c.target)
		}
	}
	if n.snapshot {
		o.registry.snapshotRead = true
		o.state.RegistryRead()
	}
	for id := range o.registry.listed {
		if n.snapshot && !n.present[id] {
			o.unlist(now, id)
		}
	}
}

// unlist removes a target whose entry is gone or no longer describes a target of this failure
// domain. Since another writer may have done that, the scheduler uses the target a little
// longer, until the target may have rewritten its entry.
func (o *Owner) unlist(now time.Duration, id string) {
	delete(o.registry.listed, id)
	o.state.TargetUnlisted(now, id)
}

// addTarget gives a target to the scheduler, unless it still belongs to the previous owner or
// already to the successor.
func (o *Owner) addTarget(now time.Duration, target work.Target) {
	if o.registry.handoverPending && !o.registry.handedOver[target.ID] || slices.Contains(o.registry.released, target.ID) {
		return
	}
	o.services[target.Service] = true
	o.state.TargetListed(now, target)
}

// Times of a handover.
const (
	// handoverPollInterval is the time between two requests to the previous owner.
	handoverPollInterval = 40 * time.Millisecond
)

// takeOverTargets asks the previous owner for its targets until it has released all of them or
// has been silent for heartbeat.SilenceTimeout.
func (o *Owner) takeOverTargets(ctx context.Context) {
	lastAnswer := bootclock.Now()
	for ctx.Err() == nil {
		asked := bootclock.Now()
		released, err := o.options.AskPredecessor(ctx)
		if err == nil {
			lastAnswer = bootclock.Now()
		}
		silent := bootclock.Now()-lastAnswer > heartbeat.SilenceTimeout
		o.post(ctx, func(now time.Duration) {
			o.adoptJobs(now, asked, released)
			o.applyReleased(now, released, silent)
		})
		if released.All || silent {
			o.options.Log.Info("handover ended", "group", o.options.Group, "silent", silent)
			return
		}
		time.Sleep(handoverPollInterval)
	}
}

// applyReleased gives the scheduler the targets that the previous owner has released, and the
// remaining ones once that owner has released all or is silent. Until the registry can be read,
// the previous owner's copy of it is used.
func (o *Owner) applyReleased(now time.Duration, released Released, silent bool) {
	for _, id := range released.Targets {
		o.registry.handedOver[id] = true
	}
	for _, target := range released.Registry {
		if !o.registry.snapshotRead {
			o.registry.listed[target.ID] = target
			o.state.ListedAtStart(target.ID, target.Incarnation)
		}
	}
	o.registry.releasedAll = o.registry.releasedAll || released.All
	if released.All || silent {
		o.registry.handoverPending = false
	}
	for _, target := range o.registry.listed {
		o.addTarget(now, target)
	}
}
