package owner

import (
	"sync"
	"time"

	"github.com/burdockward/burdockward/scheduler"
)

// vouches are the words of entry VMs, of which there are many and none is urgent: they
// wait for the owner's next message or tick. That saved 1 to 5 % of the processor time of a
// calm day.
type vouches struct {
	mu sync.Mutex
	// until is when each entry VM's last word ends, givenUp the jobs that it has given up.
	until   map[string]time.Duration
	givenUp map[string][]string
}

// maxGivenUp bounds the jobs of an entry VM that wait to be given up; each is named again
// in the next pings.
const maxGivenUp = 4096

// Vouched says that an entry VM stands for its callers until a time, but for the jobs it
// has given up.
func (o *Owner) Vouched(entry string, until time.Duration, givenUp []string) {
	v := &o.vouches
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.until == nil {
		v.until, v.givenUp = map[string]time.Duration{}, map[string][]string{}
	}
	v.until[entry] = max(v.until[entry], until)
	if len(givenUp) > 0 && len(v.givenUp[entry]) < maxGivenUp {
		v.givenUp[entry] = append(v.givenUp[entry], givenUp...)
	}
}

// pass tells the decisions what was said since the last call.
func (v *vouches) pass(now time.Duration, state *scheduler.State) {
	v.mu.Lock()
	until, givenUp := v.until, v.givenUp
	v.until, v.givenUp = nil, nil
	v.mu.Unlock()
	for entry, end := range until {
		state.EntrySeen(entry, end)
	}
	for entry, jobs := range givenUp {
		for _, job := range jobs {
			state.GiveUp(now, entry, job)
		}
	}
}
