package dispatch

import (
	"slices"
	"time"
)

// keptUnits are the units of limits and quotas of a task whose outcome is unknown.
type keptUnits struct {
	pools []string
	until time.Duration
}

// giveUnits returns the units of a task that has ended. A task of unknown outcome may
// still run at its target, which stops it at its run limit. Until then its units
// are kept.
func (d *Duty) giveUnits(now time.Duration, e *endedEvent) {
	f := e.task
	until := now - e.runTime + f.runLimit + reclaimMargin
	if e.result != ResultUnknown || len(f.pools) == 0 || until <= now {
		d.options.Limits.Give(now, f.pools)
		return
	}
	d.metrics.unitsKept.Inc(1)
	d.kept = append(d.kept, keptUnits{pools: f.pools, until: until})
}

// releaseKeptUnits returns the units of tasks that can't run any more.
func (d *Duty) releaseKeptUnits(now time.Duration) {
	d.kept = slices.DeleteFunc(d.kept, func(k keptUnits) bool {
		if k.until > now {
			return false
		}
		d.options.Limits.Give(now, k.pools)
		return true
	})
}
