package ownership

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
)

// Parameters of the history of handovers.
const (
	// firstPause is how long a VM that handed a group over doesn't get it back, and how long an owner doesn't
	// hand over to the same VM again. It doubles with each repetition up to maxPause.
	firstPause = 10 * time.Second
	maxPause   = 320 * time.Second
	// historyRetention is how long a handover counts as one that is repeated.
	historyRetention = 10 * time.Minute
	// maxHistory bounds the VMs in the history.
	maxHistory = 256
)

// history holds the recent handovers of a group, so that VMs whose shares of a core vary don't hand it back and
// forth. It is not safe for concurrent use.
type history struct {
	// givers holds the incarnations that handed the group over.
	givers map[uint64]repetition
	// takers holds the VMs to which this VM handed the group over.
	takers map[string]repetition
}

// repetition says when something last happened, and how often within historyRetention.
type repetition struct {
	at    time.Duration
	times int
}

func newHistory() *history {
	return &history{givers: map[uint64]repetition{}, takers: map[string]repetition{}}
}

// record records that an incarnation handed the group over to a VM; own says that the incarnation is
// that of this VM.
func (h *history) record(now time.Duration, giver uint64, taker string, own bool) {
	repeat(h.givers, giver, now)
	if own {
		repeat(h.takers, taker, now)
	}
}

// allowed returns the VMs to which the group may be handed over now.
func (h *history) allowed(now time.Duration, pingers []heartbeat.Pinger) []heartbeat.Pinger {
	var list []heartbeat.Pinger
	for _, p := range pingers {
		if h.givers[p.Incarnation].permits(now) && h.takers[p.VM].permits(now) {
			list = append(list, p)
		}
	}
	return list
}

// permits reports whether the pause after the last repetition is over.
func (r repetition) permits(now time.Duration) bool {
	if r.times == 0 {
		return true
	}
	pause := firstPause
	for i := 1; i < r.times && pause < maxPause; i++ {
		pause *= 2
	}
	return now-r.at >= pause
}

// repeat records an event, and removes old ones: when there are too many, the oldest.
func repeat[K comparable](events map[K]repetition, key K, now time.Duration) {
	for k, r := range events {
		if now-r.at >= historyRetention {
			delete(events, k)
		}
	}
	if _, known := events[key]; !known && len(events) >= maxHistory {
		oldest := now
		for _, r := range events {
			oldest = min(oldest, r.at)
		}
		for k, r := range events {
			if r.at == oldest {
				delete(events, k)
			}
		}
	}
	events[key] = repetition{at: now, times: events[key].times + 1}
}
