// Package bootclock reads a steady clock that goes on while the machine is
// suspended, which the clock behind time.Now does not.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine was booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists since Linux 2.6.39; without it nothing can be timed.
		panic("no boot clock: run on Linux: " + err.Error())
	}
	return time.Duration(now.Nano())
}
