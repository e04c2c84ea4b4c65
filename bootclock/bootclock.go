// Package bootclock reads a monotonic clock that also advances while the machine is suspended,
// unlike the monotonic clock behind time.Now.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39; without it no timeout works.
		panic("CLOCK_BOOTTIME is unavailable, Linux is required: " + err.Error())
	}
	return time.Duration(now.Nano())
}
