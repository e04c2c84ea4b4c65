package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// ages holds when the store last answered about what this VM believes, on the boot
// clock; 0 before the first answer.
type ages struct{ configuration, claims, registry atomic.Int64 }

// heard returns what takes the time of an answer.
func (*ages) heard(at *atomic.Int64) func(time.Duration) {
	return func(now time.Duration) { at.Store(int64(now)) }
}

// gaugeInterval paces the gauges: they are scraped every few seconds.
const gaugeInterval = time.Second

// gauge sets the ages of what is believed, until the context ends.
func (n *Node) gauge(ctx context.Context) {
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
			"age_configuration_seconds": &n.ages.configuration, "age_claims_seconds": &n.ages.claims, "age_registry_seconds": &n.ages.registry,
		} {
			if heard := at.Load(); heard > 0 {
				n.options.Gauge(what, (now - time.Duration(heard)).Seconds())
			}
		}
		n.options.Gauge("configuration_version", float64(n.config.version()))
		n.options.Gauge("requests_present", float64(n.requests.Load()))
	}
}
