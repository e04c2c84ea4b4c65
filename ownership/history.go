package ownership

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/heartbeat"
)

// Parameters of the history of handovers.
const (
	// firstPause is how long a VM that handed a group over doesn't get it back, and how long an owner doesn't
	// hand over to the same VM again. It doubles with each repetition up to maxPause.
	firstPause = 10 * time.Second
	maxPause   = 320 * time.Second
	// maxRecent is the number of handovers within firstPause after which a slowed owner keeps the group: if the load
	// itself slows each owner, further ones don't help.
	maxRecent = 2
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

// candidates returns the VMs to which an owner with a declared share of a core may hand over now. After several
// recent handovers these are only VMs with a clearly larger declared share.
func (h *history) candidates(now time.Duration, declared int32, pingers []heartbeat.Pinger) []heartbeat.Pinger {
	list := h.allowed(now, pingers)
	if h.recent(now) < maxRecent {
		return list
	}
	return slices.DeleteFunc(list, func(p heartbeat.Pinger) bool {
		return float64(declaredShare(p.Limits, p.CPUShare)) < idleFactor*float64(declared)
	})
}

// recent returns how many VMs handed the group over within firstPause.
func (h *history) recent(now time.Duration) int {
	count := 0
	for _, r := range h.givers {
		if now-r.at < firstPause {
			count++
		}
	}
	return count
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
