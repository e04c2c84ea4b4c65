package prepared

import (
	"fmt"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// cordonBound is the time within which a cordon must be in force in each running process that
// reaches the store, or reaches another process that does.
const cordonBound = 5 * time.Second

// cordonedTime is how long a cordon of the soak test lasts in addition to the drawn time, so that
// it stays in force for some time after cordonBound.
const cordonedTime = 5 * time.Second

// cordons are the operator's cordons.
type cordons struct {
	mu sync.Mutex
	// since is when each failure domain that is cordoned now was cordoned.
	since map[string]time.Time
}

// SetCordon writes or removes the cordon of a failure domain.
func (d *Deployment) SetCordon(domain string, cordoned bool) {
	key := wire.CordonPrefix + domain
	d.cordons.mu.Lock()
	defer d.cordons.mu.Unlock()
	if cordoned {
		d.Store.Write(wire.OperatorTable, key, struct{}{})
		d.cordons.since[domain] = time.Now()
		return
	}
	delete(d.cordons.since, domain)
	d.Store.Remove(wire.OperatorTable, key)
}

// checkStart records a violation if a task starts in a failure domain that has been cordoned longer
// than cordonBound. The bound counts from the end of the store's last outage if that is later,
// since processes learn of no cordon during one.
func (d *Deployment) checkStart(domain, task string) {
	d.cordons.mu.Lock()
	since, cordoned := d.cordons.since[domain]
	d.cordons.mu.Unlock()
	if away := d.Store.lastUnavailable(); away.After(since) {
		since = away
	}
	if cordoned && time.Since(since) > cordonBound {
		d.Recorder.addViolation(fmt.Sprintf("%s was started %v after %s was cordoned", task, time.Since(since), domain))
	}
}
