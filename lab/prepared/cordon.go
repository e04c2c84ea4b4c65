package prepared

import (
	"fmt"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// cordonBound is within what a cordon has to be in force in processes that run and in which
// the store can be reached, or a process that reaches it.
const cordonBound = 5 * time.Second

// cordonedTime is how long a cordon of the soak lasts beyond the drawn time, so that it is
// in force for a while.
const cordonedTime = 5 * time.Second

// cordons are the operator's, and what is seen of starts against them.
type cordons struct {
	mu sync.Mutex
	// since is when each cordoned failure domain was, or when the store was last away if that
	// is later: nobody hears of anything then.
	since map[string]time.Time
}

// Cordon asks that nothing be started in a failure domain, or takes that back.
func (d *Deployment) Cordon(domain string, closed bool) {
	key := wire.CordonPrefix + domain
	d.cordons.mu.Lock()
	defer d.cordons.mu.Unlock()
	if closed {
		d.Store.Write(wire.OperatorTable, key, struct{}{})
		d.cordons.since[domain] = time.Now()
		return
	}
	delete(d.cordons.since, domain)
	d.Store.Remove(wire.OperatorTable, key)
}

// started judges a start in a failure domain.
func (d *Deployment) started(domain, task string) {
	d.cordons.mu.Lock()
	since, closed := d.cordons.since[domain]
	d.cordons.mu.Unlock()
	if away := d.Store.lastAway(); away.After(since) {
		since = away
	}
	if closed && time.Since(since) > cordonBound {
		d.Recorder.wrong(fmt.Sprintf("%s was started %v after %s was cordoned", task, time.Since(since), domain))
	}
}
