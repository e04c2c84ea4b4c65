package owner

import (
	"sync"
	"time"

	"github.com/burdockward/burdockward/scheduler"
)

// keepalives collects the keepalives of entry VMs until the loop's next message or tick. There
// are many of them and none is urgent. Collecting them saves 1 to 5 % of the processor time
// under low load.
type keepalives struct {
	mu sync.Mutex
	// until is when the keepalive of each entry VM expires.
	until map[string]time.Duration
	// givenUpJobs lists the jobs that each entry VM has given up.
	givenUpJobs map[string][]string
}

// maxGivenUpJobs bounds the collected jobs of an entry VM. A job beyond it is named again in the
// entry VM's next pings.
const maxGivenUpJobs = 4096

// RecordKeepalive records that the callers of an entry VM still wait, until the given time, for
// all its jobs except those that it has given up.
func (o *Owner) RecordKeepalive(entry string, until time.Duration, givenUp []string) {
	k := &o.keepalives
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.until == nil {
		k.until, k.givenUpJobs = map[string]time.Duration{}, map[string][]string{}
	}
	k.until[entry] = max(k.until[entry], until)
	if len(givenUp) > 0 && len(k.givenUpJobs[entry]) < maxGivenUpJobs {
		k.givenUpJobs[entry] = append(k.givenUpJobs[entry], givenUp...)
	}
}

// deliver gives the State what was collected since the last call.
func (k *keepalives) deliver(now time.Duration, state *scheduler.State) {
	k.mu.Lock()
	until, givenUp := k.until, k.givenUpJobs
	k.until, k.givenUpJobs = nil, nil
	k.mu.Unlock()
	for entry, end := range until {
		state.EntryKeepalive(entry, end)
	}
	for entry, jobs := range givenUp {
		for _, job := range jobs {
			state.GiveUp(now, entry, job)
		}
	}
}
