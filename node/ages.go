package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// storeReadTimes holds when the store last answered about each table that this VM mirrors, on the
// boot clock; 0 before the first answer.
type storeReadTimes struct{ configuration, claims, registry atomic.Int64 }

// recorder returns a function that stores the time of an answer in at.
func (*storeReadTimes) recorder(at *atomic.Int64) func(time.Duration) {
	return func(now time.Duration) { at.Store(int64(now)) }
}

// gaugeInterval is the time between two updates of the gauges, which are scraped every few seconds.
const gaugeInterval = time.Second

// publishGauges sets the gauges of this VM at each interval, among them the ages of the mirrored
// tables, until the context ends.
func (n *Node) publishGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		for what, at := range map[string]*atomic.Int64{
			"age_configuration_seconds": &n.storeReadTimes.configuration, "age_claims_seconds": &n.storeReadTimes.claims, "age_registry_seconds": &n.storeReadTimes.registry,
		} {
			if heard := at.Load(); heard > 0 {
				n.options.Gauge(what, (now - time.Duration(heard)).Seconds())
			}
		}
		n.options.Gauge("configuration_behind_seconds", n.config.behind(now).Seconds())
		n.options.Gauge("configuration_version", float64(n.config.version()))
		n.options.Gauge("requests_present", float64(n.requests.Load()))
		n.options.Gauge("request_bytes_shared_used", float64(n.requestMemory.Used()))
	}
}
