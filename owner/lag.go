package owner

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/scheduler"
)

// An owner with too little processor time for its targets falls behind: messages wait longer and
// longer, until callers, targets and entry VMs consider the owner dead and its jobs are lost.
// To prevent that, an owner adds its delay to the loads that it reports, so that entry VMs choose
// other owners, and above a threshold it refuses new jobs.

// Limits of the delay.
const (
	// lagTolerance is the longest pause that a processor quota causes by itself.
	lagTolerance = 100 * time.Millisecond
	// shedThreshold is the delay above which new jobs are refused. It is well below the
	// silence after which others give an owner up.
	shedThreshold = 150 * time.Millisecond
	// lagDecay, applied at each tick, leaves a tenth of the last wait after ten ticks without a
	// new submission.
	lagDecay = 0.8
)

// lag measures the delay of the loop. It is safe for concurrent use.
type lag struct {
	// lastTick is when the loop last ticked, on the boot clock; 0 before the first tick.
	lastTick atomic.Int64
	// lastWait is how long the last submission waited for the loop, in nanoseconds.
	lastWait atomic.Int64
}

// recordTick records a tick of the loop and lets the last wait decay.
func (l *lag) recordTick(now time.Duration) {
	l.lastTick.Store(int64(now))
	l.lastWait.Store(int64(lagDecay * float64(l.lastWait.Load())))
}

// recordWait records how long a submission waited for the loop.
func (l *lag) recordWait(waited time.Duration) { l.lastWait.Store(int64(waited)) }

// delay returns how long a message that arrives now will wait for the loop, or 0 if that is
// within lagTolerance.
func (l *lag) delay(now time.Duration) time.Duration {
	behind := time.Duration(l.lastWait.Load())
	if ticked := time.Duration(l.lastTick.Load()); ticked > 0 {
		behind = max(behind, now-ticked)
	}
	if behind <= lagTolerance {
		return 0
	}
	return behind
}

// withDelay adds the delay of the loop to all waits in the loads. An owner that is behind
// offers no capacity for other owners' tasks.
func withDelay(loads map[string]scheduler.Load, behind time.Duration) map[string]scheduler.Load {
	if behind == 0 {
		return loads
	}
	result := maps.Clone(loads)
	for service, load := range result {
		for i := range load.Wait {
			load.Wait[i] += behind
		}
		load.FreeCapacity = scheduler.FreeCapacity{}
		result[service] = load
	}
	return result
}

// shouldShed reports whether new jobs have to be refused, and after what time to try again.
func (o *Owner) shouldShed() (retryAfter time.Duration, shed bool) {
	behind := o.lag.delay(bootclock.Now())
	return behind, behind > shedThreshold
}

// Behind returns the delay of this owner's loop, or 0 if that is within the pauses of a processor quota.
func (o *Owner) Behind() time.Duration { return o.lag.delay(bootclock.Now()) }
