package replay

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/scheduler"
)

// Thresholds of an owner's lag, as in the package owner.
const (
	// lagTolerance is the longest lag that an owner does not report.
	lagTolerance = 100 * time.Millisecond
	// shedThreshold is the lag above which an owner refuses new jobs.
	shedThreshold = 150 * time.Millisecond
)

// entryVM is what one entry VM knows of the owners.
type entryVM struct {
	// loads are the newest reports by owner.
	loads []scheduler.Load
}

// addEntryVMs adds the entry VMs of the site, each of which receives the report of each owner at
// each heartbeat interval, from a time of its own on.
func (w *world) addEntryVMs() {
	if w.options.Site.EntryVMs == 0 || w.options.OneOwner || w.baseline != nil {
		return
	}
	w.entryVMs = make([][]*entryVM, w.options.Site.Domains)
	for domain := range w.entryVMs {
		for range w.options.Site.EntryVMs {
			vm := &entryVM{loads: make([]scheduler.Load, len(w.owners))}
			w.entryVMs[domain] = append(w.entryVMs[domain], vm)
			for _, o := range w.owners {
				phase := time.Duration(w.random.Int64N(int64(heartbeat.Interval)))
				w.scheduleAt(phase, func() { w.pingOwner(vm, domain, o) })
			}
		}
	}
}

// pingOwner has an owner report its load to an entry VM, now and at each heartbeat interval. A
// lost owner does not answer.
func (w *world) pingOwner(vm *entryVM, domain int, o *ownerSim) {
	w.scheduleAfter(heartbeat.Interval, func() { w.pingOwner(vm, domain, o) })
	if o.lost {
		return
	}
	load := w.reportedLoad(o)
	w.scheduleAfter(w.callerDelay(o.index, domain), func() { vm.loads[o.index] = load })
}

// drawEntryVM draws the entry VM that receives a job of a failure domain.
func (w *world) drawEntryVM(domain int) int {
	if w.entryVMs == nil {
		return 0
	}
	return w.random.IntN(len(w.entryVMs[domain]))
}

// knownLoad returns an owner's load as the entry VM of a job knows it.
func (w *world) knownLoad(a *arrival, owner int) scheduler.Load {
	if w.entryVMs == nil {
		return w.owners[owner].load
	}
	return w.entryVMs[a.domain][a.entryVM].loads[owner]
}

// reportedLoad returns the load that an owner reports: its scheduler's, with its lag added to the
// waits. An owner that lags offers no capacity to other owners.
func (w *world) reportedLoad(o *ownerSim) scheduler.Load {
	load := o.state.Load(w.now, "service")
	behind := w.lag(o)
	if behind <= lagTolerance {
		return load
	}
	for i := range load.Wait {
		load.Wait[i] += behind
	}
	load.FreeCapacity = scheduler.FreeCapacity{}
	return load
}

// lag is how long a message that arrives now waits for an owner's processor.
func (w *world) lag(o *ownerSim) time.Duration { return max(o.busyUntil-w.now, 0) }

// timeAtOwner returns how long work that takes a time on a whole core takes at an owner.
func (w *world) timeAtOwner(o *ownerSim, takes time.Duration) time.Duration {
	shares := w.options.Site.OwnerShares
	if len(shares) == 0 {
		return takes
	}
	return time.Duration(float64(takes) / shares[o.index%len(shares)])
}
