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
	// givenUp lists what each entry VM has given up.
	givenUp map[string][]scheduler.GivenUp
}

// maxGivenUp bounds the collected requests of an entry VM. A request beyond it is named again in the
// entry VM's next pings.
const maxGivenUp = 4096

// RecordKeepalive records that the callers of an entry VM still wait, until the given time, for
// all its jobs except those whose requests it has given up. A VM of an older build gives no numbers
// of requests.
func (o *Owner) RecordKeepalive(entry string, until time.Duration, givenUp []scheduler.GivenUp) {
	k := &o.keepalives
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.until == nil {
		k.until, k.givenUp = map[string]time.Duration{}, map[string][]scheduler.GivenUp{}
	}
	k.until[entry] = max(k.until[entry], until)
	if len(givenUp) > 0 && len(k.givenUp[entry]) < maxGivenUp {
		k.givenUp[entry] = append(k.givenUp[entry], givenUp...)
	}
}

// deliver gives the State what was collected since the last call.
func (k *keepalives) deliver(now time.Duration, state *scheduler.State) {
	k.mu.Lock()
	until, givenUp := k.until, k.givenUp
	k.until, k.givenUp = nil, nil
	k.mu.Unlock()
	for entry, end := range until {
		state.EntryKeepalive(entry, end)
	}
	for entry, requests := range givenUp {
		for _, given := range requests {
			if given.Request == 0 {
				state.GiveUp(now, entry, given.Job)
				continue
			}
			state.GiveUpRequest(now, entry, given)
		}
	}
}
