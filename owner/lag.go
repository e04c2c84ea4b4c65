package owner

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/scheduler"
)

// An owner that has less processor than its targets' work needs falls behind: what arrives
// waits longer and longer to be read, until callers, targets and entry VMs take it for dead,
// and its jobs are lost. So it tells how far it is behind, which turns entry VMs to others,
// and refuses new jobs before that comes to be a loss.

// Figures of falling behind.
const (
	// lagSlack is the longest pause that a quota of processor makes by itself.
	lagSlack = 100 * time.Millisecond
	// lagLimit is from where on new jobs are refused: well within the silence after which
	// others give an owner up.
	lagLimit = 150 * time.Millisecond
	// lagFading leaves a tenth of what a job has waited after ten ticks without a new one.
	lagFading = 0.8
)

// lag measures how far the goroutine that decides is behind. It is safe for concurrent use.
type lag struct {
	// ticked is when it last ticked, on the boot clock; 0 before the first time.
	ticked atomic.Int64
	// waited is how long the last submission waited to be read, in nanoseconds.
	waited atomic.Int64
}

// tick says that the goroutine ticks.
func (l *lag) tick(now time.Duration) {
	l.ticked.Store(int64(now))
	l.waited.Store(int64(lagFading * float64(l.waited.Load())))
}

// read says that a submission was read that had waited.
func (l *lag) read(waited time.Duration) { l.waited.Store(int64(waited)) }

// behind is how long what arrives now has to wait, as far as that is more than usual.
func (l *lag) behind(now time.Duration) time.Duration {
	behind := time.Duration(l.waited.Load())
	if ticked := time.Duration(l.ticked.Load()); ticked > 0 {
		behind = max(behind, now-ticked)
	}
	if behind <= lagSlack {
		return 0
	}
	return behind
}

// delayed are the loads of an owner that is behind: all waits are longer by as much, and it
// has no room for others' tasks.
func delayed(loads map[string]scheduler.Load, behind time.Duration) map[string]scheduler.Load {
	if behind == 0 {
		return loads
	}
	later := maps.Clone(loads)
	for service, load := range later {
		for i := range load.Wait {
			load.Wait[i] += behind
		}
		load.Room = scheduler.Room{}
		later[service] = load
	}
	return later
}

// tooFarBehind reports whether new jobs are to be refused, and when to come back.
func (o *Owner) tooFarBehind() (retry time.Duration, is bool) {
	behind := o.lag.behind(bootclock.Now())
	return behind, behind > lagLimit
}
