package load

import (
	"time"

	"github.com/burdockward/burdockward/profile"
)

// Bounds of the profiles of the mixes.
const (
	maxRun = 8 * time.Second
	// queuePerSlot is the queue length of a profile in one VM, in tasks per slot of the failure
	// domain. The queue is at least minQueue, into which the largest job always fits.
	queuePerSlot = 2
	minQueue     = 340
)

// urgencies gives the urgency of each profile of the mixes.
var urgencies = map[string]int{
	"kasa-payment": 8,
	"kasa-balance": 7,
	"kasa-bulk":    2,
	"thapa-lookup": 9,
	"thapa-route":  6,
	"thapa-tiles":  3,
}

// Profiles returns the profiles of a mix for failure domains with this number of slots. Half of the
// slots are guaranteed, in equal shares.
func Profiles(mix Mix, slots int, deadline time.Duration) []profile.Profile {
	var profiles []profile.Profile
	for _, c := range mix.Classes {
		profiles = append(profiles, profile.Profile{
			Name:            c.Profile,
			Urgency:         urgencies[c.Profile],
			GuaranteedSlots: slots / (2 * len(mix.Classes)),
			QueueTasks:      max(queuePerSlot*slots, minQueue),
			DeadlineMS:      deadline.Milliseconds(),
			MaxDeadlineMS:   deadline.Milliseconds(),
			MaxRunMS:        min(maxRun, deadline).Milliseconds(),
		})
	}
	return profiles
}
