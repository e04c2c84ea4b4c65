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
	drainTimeConstant = 5 * time.Second
	// drainMaxAge is how long a measured rate stays valid without a new window.
	drainMaxAge = 10 * time.Second
)

// drainRate measures how fast the waiting tasks of a profile are handed out
// while there are any. The first tasks of a backlog take the free slots at once,
// whatever the rate is, so measuring starts after a settling time.
type drainRate struct {
	backlogged  bool
	windowStart time.Duration // start of the window
	count       int           // tasks handed out in the window
	rate        float64       // tasks a second
	measuredAt  time.Duration
	measured    bool
}

// beginBacklog opens the first window of a backlog after the settling time. The
// expected rate replaces a measured one that is missing or too old.
func (d *drainRate) beginBacklog(now, settle time.Duration, expected float64) {
	if d.backlogged {
		return
	}
	d.backlogged = true
	d.windowStart = now + settle
	d.count = 0
	if !d.isValid(now) {
		d.rate = expected
	}
}

// countHandedOut counts a task that left the queue.
func (d *drainRate) countHandedOut(now time.Duration) {
	if d.backlogged && now >= d.windowStart {
		d.count++
		d.closeWindow(now)
	}
}

// endBacklog ends the backlog.
func (d *drainRate) endBacklog(now time.Duration) {
	d.closeWindow(now)
	d.backlogged = false
}

// closeWindow ends a window that is long enough, and updates the rate from it.
func (d *drainRate) closeWindow(now time.Duration) {
	elapsed := now - d.windowStart
	if !d.backlogged || elapsed < drainWindow {
		return
	}
	gain := 1 - math.Exp(-elapsed.Seconds()/drainTimeConstant.Seconds())
	d.rate += gain * (float64(d.count)/elapsed.Seconds() - d.rate)
	d.measuredAt, d.measured = now, true
	d.windowStart, d.count = now, 0
}

// isValid reports whether a rate was measured and is not too old.
func (d *drainRate) isValid(now time.Duration) bool {
	return d.measured && now-d.measuredAt <= drainMaxAge
}

// current returns the measured rate in tasks a second, and whether there is one.
func (d *drainRate) current(now time.Duration) (float64, bool) {
	d.closeWindow(now)
	return d.rate, d.backlogged && d.isValid(now)
}
