package processor

import (
	"time"

	"golang.org/x/sys/unix"
)

// usageWeight is the weight of the newest interval in the average usage: a change shows within a second, and a
// collection of garbage doesn't count as one.
const usageWeight = 0.2

// Usage averages the processor time that a process uses. The zero value is ready to use.
type Usage struct {
	at, spent time.Duration
	cores     float64
}

// Add adds a reading of a clock and of the processor time that the process has used since its start.
func (u *Usage) Add(now, spent time.Duration) {
	if u.at != 0 && now > u.at {
		u.cores += usageWeight * ((spent-u.spent).Seconds()/(now-u.at).Seconds() - u.cores)
	}
	u.at, u.spent = now, spent
}

// Cores returns the average usage in cores.
func (u *Usage) Cores() float64 { return u.cores }

// processTime returns the processor time that this process has used.
func processTime() (time.Duration, error) {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()), nil
}
