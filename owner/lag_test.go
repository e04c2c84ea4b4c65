package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

const ms = time.Millisecond

func TestDelay(t *testing.T) {
	for name, test := range map[string]struct {
		ticked, waited time.Duration
		want           time.Duration
	}{
		"before the first tick":   {0, 0, 0},
		"on time":                 {time.Second, 5 * ms, 0},
		"paused by its quota":     {time.Second - lagTolerance, 0, 0},
		"paused process":          {time.Second - 300*ms, 0, 300 * ms},
		"submissions wait":        {time.Second, 200 * ms, 200 * ms},
		"both, the longer counts": {time.Second - 300*ms, 200 * ms, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var l lag
			l.lastTick.Store(int64(test.ticked))
			l.recordWait(test.waited)
			must.Eq(t, test.want, l.delay(time.Second))
		})
	}
}

// The recorded wait decays with the ticks when no submissions come any more.
func TestDelayDecaysWithoutSubmissions(t *testing.T) {
	var l lag
	l.recordWait(time.Second)
	for i := range 12 {
		l.recordTick(time.Duration(i) * scheduler.TickInterval)
	}
	must.Zero(t, l.delay(12*scheduler.TickInterval))
}

// An owner whose loop is far behind refuses new jobs at once with a time to retry after. Its loads
// show longer waits and no capacity, so that entry VMs and other owners avoid it.
func TestDelayedOwnerShedsJobs(t *testing.T) {
	o, _ := newIdleOwner(t)
	o.loads.Store(&map[string]scheduler.Load{"service": {FreeCPU: 10, FreeCapacity: scheduler.FreeCapacity{Tasks: [scheduler.Priorities]int{1, 1, 1}}}})
	o.lag.recordWait(time.Hour)
	outcome := <-submit(t, o, "1")
	must.Eq(t, work.Refused, outcome.Result)
	must.GreaterEq(t, time.Hour, outcome.RetryAfter)
	load := o.Loads()["service"]
	must.GreaterEq(t, time.Hour, load.Wait[0])
	must.Eq(t, scheduler.FreeCapacity{}, load.FreeCapacity)
	must.Eq(t, 1, (*o.loads.Load())["service"].FreeCapacity.Tasks[0])
}
