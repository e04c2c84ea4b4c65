package dispatch

import (
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/quota"
)

// teamUnits returns how many units of a team's quota this failure domain may use.
func (s *Shared) teamUnits(t profile.Team) int {
	base := t.Share(s.options.Domain, s.options.Domains)
	if !t.Lend {
		return base
	}
	if units, known := s.quotaShares[t.Name]; known {
		return units
	}
	return quota.MinShare(base)
}

// setMovable records the teams whose shares move between failure domains.
func (s *Shared) setMovable(teams []profile.Team) {
	s.movable = map[string]bool{}
	for _, t := range teams {
		if t.Lend {
			s.movable[t.Name] = true
			continue
		}
		delete(s.quotaShares, t.Name)
	}
}

// limitPool returns the pool of a limit or quota.
func (s *Shared) limitPool(name string, units int) capacity.Pool {
	p := capacity.Pool{Name: name, Kind: capacity.KindLimit, Capacity: units}
	for team := range s.movable {
		p.Movable = p.Movable || capacity.TeamPool(team) == name
	}
	return p
}

// SetQuotaShares sets how many units of each team this failure domain may use now.
func (s *Shared) SetQuotaShares(now time.Duration, shares map[string]int) {
	for team, units := range shares {
		if !s.movable[team] || s.quotaShares[team] == units {
			continue
		}
		s.quotaShares[team] = units
		s.send(s.capacity.SetPool(now, s.limitPool(capacity.TeamPool(team), units)))
	}
}

// QuotaUsage returns the use of a team's quota here; false when another VM is the
// home of its pool.
func (s *Shared) QuotaUsage(team string) (capacity.Usage, bool) {
	return s.capacity.Usage(capacity.TeamPool(team))
}

// QuotaReserve returns how long tasks may run after the VM that started them was
// lost.
func (s *Shared) QuotaReserve(now time.Duration) time.Duration { return s.reclaimAfter(now) }

// admissionTeams returns the teams for admission. A team whose shares move gets its
// whole quota in this failure domain: the share may grow up to that, and the pools
// bound what starts.
func (d *Duty) admissionTeams(teams []profile.Team) []profile.Team {
	shared, ok := d.options.Placer.(*Shared)
	if !ok {
		return teams
	}
	adapted := make([]profile.Team, 0, len(teams))
	for _, t := range teams {
		domain := shared.options.Domain
		if t.Lend && t.Share(domain, shared.options.Domains) > 0 {
			t.Shares = map[string]int{domain: t.QuotaSlots}
		}
		adapted = append(adapted, t)
	}
	return adapted
}
