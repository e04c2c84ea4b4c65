// Package shares decides how the processor capacity of a service's targets is divided while more work
// waits than fits. An operator's profiles group queues and give each group a guarantee, a limit and a
// weight for lent capacity.
//
// Its inputs are the profiles, the capacity, and each start and end of a run. Its outputs are the
// profile whose work starts next, whether a start stays within a limit, the capacity that a profile can
// expect, and the waiting jobs that a lowered limit leaves no capacity for. It reads no clock and keeps
// no jobs.
//
// Invariants: a profile below its guarantee goes before all that are not, but for one start in 16, which
// goes to the profile served least recently; no start exceeds a limit; idle time gives no credit.
package shares

import (
	"slices"
	"strings"

	"github.com/zeebo/errs/v2"
)

// Profile is a group of queues with its shares of the processor capacity.
type Profile struct {
	Name string
	// Queues are the names of its queues.
	Queues []string
	// Guarantee and Limit are shares of the capacity, 0 to 1.
	Guarantee, Limit float64
	// Weight is the profile's part of lent capacity in relation to the other profiles' weights.
	Weight float64
}

// Profiles is one version of the operator's profiles. It is immutable.
type Profiles struct {
	// Version is raised by the operator with each change; at least 1.
	Version  int64
	Profiles []Profile
}

// Errors of Check.
const (
	ErrVersion         = errs.Tag("invalid version of the profiles")
	ErrTooManyProfiles = errs.Tag("too many profiles")
	ErrName            = errs.Tag("invalid name of a profile")
	ErrShare           = errs.Tag("invalid share of a profile")
	ErrGuarantees      = errs.Tag("guarantees exceed the capacity")
	ErrQueue           = errs.Tag("queue in two profiles")
	ErrTooManyQueues   = errs.Tag("too many queues in profiles")
	ErrQueueName       = errs.Tag("queue of a profile without a name")
)

const (
	// MaxProfiles bounds the cost of a decision: each one visits all profiles.
	MaxProfiles = 128
	// MaxQueues bounds the memory of a row and of its messages.
	MaxQueues = 4096
	// MaxVersion is the highest version that every reader of JSON numbers tells from the next one.
	MaxVersion = 1<<53 - 1
	// shareTolerance allows for the rounding of decimal shares that add up to 1.
	shareTolerance = 1e-9
)

// Check returns the first fault of the profiles, with its remedy; nil if they are valid.
func (p Profiles) Check() error {
	if p.Version < 1 || p.Version > MaxVersion {
		return ErrVersion.Errorf("version is %d: write one above that of the last profiles, at least 1 and at most %d", p.Version, int64(MaxVersion))
	}
	if len(p.Profiles) > MaxProfiles {
		return ErrTooManyProfiles.Errorf("there are %d: write at most %d", len(p.Profiles), MaxProfiles)
	}
	names, owners, total, queues := map[string]bool{}, map[string]string{}, 0.0, 0
	for _, profile := range p.Profiles {
		if !isValidName(profile.Name) || names[profile.Name] {
			return ErrName.Errorf("%.100q: give each profile a name of its own of 1 to %d lower-case letters, digits, '-' and '_', but not %q", profile.Name, maxName, RestName)
		}
		names[profile.Name] = true
		if err := profile.checkShares(); err != nil {
			return err
		}
		if queues += len(profile.Queues); queues > MaxQueues {
			return ErrTooManyQueues.Errorf("there are more than %d: name at most as many in all profiles", MaxQueues)
		}
		for _, queue := range profile.Queues {
			if queue == "" {
				return ErrQueueName.Errorf("profile %q has a queue without a name: write its name or remove it", profile.Name)
			}
			if other, taken := owners[queue]; taken {
				return ErrQueue.Errorf("queue %.100q is in profiles %q and %q: name it in one of them", queue, other, profile.Name)
			}
			owners[queue] = profile.Name
		}
		total += profile.Guarantee
	}
	if total > 1+shareTolerance {
		return ErrGuarantees.Errorf("the guarantees add up to %g: lower them to 1 or less in total", total)
	}
	return nil
}

// maxName is the longest name of a profile, in bytes. Names are parts of names of metrics.
const maxName = 63

func isValidName(name string) bool {
	isOther := func(r rune) bool { return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_') }
	return name != "" && len(name) <= maxName && name != RestName && !strings.ContainsFunc(name, isOther)
}

// checkShares returns the first fault of a profile's guarantee, limit and weight.
func (p Profile) checkShares() error {
	switch {
	case !(p.Guarantee >= 0 && p.Guarantee <= 1):
		return ErrShare.Errorf("profile %q has guarantee %g: write a share from 0 to 1", p.Name, p.Guarantee)
	case !(p.Limit >= 0 && p.Limit <= 1):
		return ErrShare.Errorf("profile %q has limit %g: write a share from 0 to 1", p.Name, p.Limit)
	case !(p.Weight > 0 && p.Weight <= maxWeight):
		return ErrShare.Errorf("profile %q has weight %g: write a number above 0, at most %d", p.Name, p.Weight, maxWeight)
	case p.Guarantee > p.Limit:
		return ErrShare.Errorf("profile %q has guarantee %g above its limit %g: lower the guarantee or raise the limit", p.Name, p.Guarantee, p.Limit)
	}
	return nil
}

// maxWeight keeps the relation of two weights within what a tag of fair queueing resolves.
const maxWeight = 1_000_000

// UnknownQueues returns the queues of the profiles that are not among the known ones, in ascending order.
func (p Profiles) UnknownQueues(known []string) []string {
	var unknown []string
	for _, profile := range p.Profiles {
		for _, queue := range profile.Queues {
			if !slices.Contains(known, queue) {
				unknown = append(unknown, queue)
			}
		}
	}
	slices.Sort(unknown)
	return unknown
}

// LimitOf returns the limit of a profile; 1 if there is none of that name.
func (p *Profiles) LimitOf(name string) float64 {
	if p == nil {
		return 1
	}
	for _, profile := range p.Profiles {
		if profile.Name == name {
			return profile.Limit
		}
	}
	return 1
}
