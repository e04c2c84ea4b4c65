package owner

import (
	"context"
	"slices"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// registry is what the platform's store lists, kept apart from what the scheduler
// may use while a former owner hands over.
type registry struct {
	domain string
	listed map[string]work.Target
	// read is set once the store has told what is listed.
	read bool
	// handover is set while targets that aren't taken are the former owner's.
	handover bool
	taken    map[string]bool
	// released are the targets that this owner gave to its successor.
	released []string
}

func newRegistry(domain string, handover bool) registry {
	return registry{domain: domain, listed: map[string]work.Target{}, handover: handover, taken: map[string]bool{}}
}

// maxFaultyLines bounds the lines on faulty rows of one reading: hundreds of them would take
// the place of all else that is logged in that second.
const maxFaultyLines = 8

// listed takes news of the registry.
func (o *Owner) listed(now time.Duration, update mirror.Update) {
	seen := map[string]bool{}
	faulty := 0
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			o.unlist(now, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row.Key, row.Value)
		switch {
		case err != nil:
			o.options.Count("rows_unreadable", string(platform.TargetsTable))
			if faulty++; faulty <= maxFaultyLines {
				o.options.Log.Warn("row not understood", "table", platform.TargetsTable, "key", row.Key, "version", row.Version, "error", err)
			}
			o.unlist(now, row.Key)
		case target.FailureDomain != o.registry.domain:
			o.unlist(now, row.Key)
		default:
			seen[target.ID] = true
			o.registry.listed[target.ID] = target
			o.offer(now, target)
		}
	}
	if faulty > maxFaultyLines {
		o.options.Log.Warn("more rows not understood", "table", platform.TargetsTable, "rows", faulty-maxFaultyLines)
	}
	if !update.Whole {
		return
	}
	o.registry.read = true
	o.state.Listed()
	for id := range o.registry.listed {
		if !seen[id] {
			o.unlist(now, id)
		}
	}
}

// unlist takes a target off the list whose entry is gone, or names no target of this
// failure domain any more. Others than the target may have written it: the target is used
// a little longer, until its own word may be back.
func (o *Owner) unlist(now time.Duration, id string) {
	delete(o.registry.listed, id)
	o.state.TargetMissing(now, id)
}

// offer passes a target on to the scheduler if it is this owner's.
func (o *Owner) offer(now time.Duration, target work.Target) {
	if o.registry.handover && !o.registry.taken[target.ID] || slices.Contains(o.registry.released, target.ID) {
		return
	}
	o.services[target.Service] = true
	o.state.TargetSeen(now, target)
}

// Times of a handover.
const (
	// handoverPause paces the questions to the former owner.
	handoverPause = 40 * time.Millisecond
)

// takeOver asks the former owner for its targets until it has given all, or is
// silent.
func (o *Owner) takeOver(ctx context.Context) {
	heard := bootclock.Now()
	for ctx.Err() == nil {
		released, err := o.options.Former(ctx)
		if err == nil {
			heard = bootclock.Now()
		}
		silent := bootclock.Now()-heard > heartbeat.Silence
		o.post(ctx, func(now time.Duration) { o.takeTargets(now, released, silent) })
		if released.All || silent {
			o.options.Log.Info("handover ended", "group", o.options.Group, "silent", silent)
			return
		}
		time.Sleep(handoverPause)
	}
}

func (o *Owner) takeTargets(now time.Duration, released Released, silent bool) {
	for _, id := range released.Targets {
		o.registry.taken[id] = true
	}
	for _, target := range released.Listed {
		if !o.registry.read {
			o.registry.listed[target.ID] = target
		}
	}
	if released.All || silent {
		o.registry.handover = false
	}
	for _, target := range o.registry.listed {
		o.offer(now, target)
	}
}
