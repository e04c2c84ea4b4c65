package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the shortest time over which a drain rate is measured.
	drainWindow = 200 * time.Millisecond
	// drainTimeConstant is the time constant of the moving average. It spans the
	// runs of several tasks, so that one job of long tasks that holds all slots
	// for a while does not bring the rate to 0.
	drainMemory = 5 * time.Second
	// drainMaxAge is how long a measured rate stays valid without a new window.
	drainAge = 10 * time.Second
)

// drainRate measures how fast the waiting tasks of a profile are handed out
// while there are any. The first tasks of a backlog take the free slots at once,
// whatever the rate is, so measuring starts after a settling time.
type drainRate struct {
	backlogged bool
	since      time.Duration // start of the window
	count      int           // tasks handed out in the window
	rate       float64       // tasks a second
	measuredAt time.Duration
	measured   bool
}

// beginBacklog opens the first window of a backlog after the settling time. The
// expected rate replaces a measured one that is missing or too old.
func (d *drainRate) begin(now, settle time.Duration, expected float64) {
	if d.backlogged {
		return
	}
	d.backlogged = true
	d.since = now + settle
	d.count = 0
	if !d.valid(now) {
		d.rate = expected
	}
}

// countHandedOut counts a task that left the queue.
func (d *drainRate) handedOut(now time.Duration) {
	if d.backlogged && now >= d.since {
		d.count++
		d.close(now)
	}
}

// endBacklog ends the backlog.
func (d *drainRate) end(now time.Duration) {
	d.close(now)
	d.backlogged = false
}

// closeWindow ends a window that is long enough, and updates the rate from it.
func (d *drainRate) close(now time.Duration) {
	elapsed := now - d.since
	if !d.backlogged || elapsed < drainWindow {
		return
	}
	gain := 1 - math.Exp(-elapsed.Seconds()/drainMemory.Seconds())
	d.rate += gain * (float64(d.count)/elapsed.Seconds() - d.rate)
	d.measuredAt, d.measured = now, true
	d.since, d.count = now, 0
}

// isValid reports whether a rate was measured and is not too old.
func (d *drainRate) valid(now time.Duration) bool {
	return d.measured && now-d.measuredAt <= drainAge
}

// current returns the measured rate in tasks a second, and whether there is one.
func (d *drainRate) current(now time.Duration) (float64, bool) {
	d.close(now)
	return d.rate, d.backlogged && d.valid(now)
}
