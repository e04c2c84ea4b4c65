package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/profile"
)

// SetProfiles implements Limits.
func (s *Shared) SetProfiles(now time.Duration, profiles []profile.Profile, teams []profile.Team) {
	units := map[string]int{}
	for _, t := range teams {
		units[capacity.TeamPool(t.Name)] = s.teamUnits(t)
	}
	s.setMovable(teams)
	s.limits = make(map[string][]string, len(profiles))
	s.poolProfiles = map[string][]string{}
	s.keepPreviousRun(now)
	for _, p := range profiles {
		if p.LimitSlots > 0 {
			units[capacity.ProfilePool(p.Name)] = p.LimitSlots
			s.addPool(p, capacity.ProfilePool(p.Name))
		}
		if _, ok := units[capacity.TeamPool(p.Team)]; ok && p.Team != "" {
			s.addPool(p, capacity.TeamPool(p.Team))
		}
	}
	s.capacity.SetReclaimAfter(now, s.reclaimAfter(now))
	s.setLimitPools(now, units)
}

// keepPreviousRun resets the longest run for a new configuration, and keeps the
// previous one for as long as tasks started under it may run.
func (s *Shared) keepPreviousRun(now time.Duration) {
	if now >= s.previousRunUntil || s.longestRun > s.previousRun {
		s.previousRun = s.longestRun
	}
	s.previousRunUntil = max(s.previousRunUntil, now+s.longestRun)
	s.longestRun = 0
}

// addPool records that tasks of a profile need a unit of a pool.
func (s *Shared) addPool(p profile.Profile, pool string) {
	s.longestRun = max(s.longestRun, time.Duration(p.MaxRunMS)*time.Millisecond)
	s.limits[p.Name] = append(s.limits[p.Name], pool)
	s.poolProfiles[pool] = append(s.poolProfiles[pool], p.Name)
}

// setLimitPools replaces the pools of limits and quotas by those of units.
func (s *Shared) setLimitPools(now time.Duration, units map[string]int) {
	for _, pool := range s.limitPools {
		if _, stays := units[pool]; !stays {
			s.send(s.capacity.RemovePool(now, pool))
		}
	}
	s.limitPools = slices.Sorted(maps.Keys(units))
	for _, pool := range s.limitPools {
		s.send(s.capacity.SetPool(now, s.limitPool(pool, units[pool])))
	}
}

// Usable implements Limits.
func (s *Shared) Usable(profileName string) bool {
	s.capacity.SetLease(s.options.LeaseValid())
	for _, pool := range s.limits[profileName] {
		if s.capacity.Free(pool) == 0 {
			return false
		}
	}
	return true
}

// Take implements Limits.
func (s *Shared) Take(profileName string) []string {
	pools := s.limits[profileName]
	for _, pool := range pools {
		s.capacity.Take(pool)
	}
	return pools
}

// Give implements Limits.
func (s *Shared) Give(now time.Duration, pools []string) {
	for _, pool := range pools {
		s.capacity.Give(now, pool)
	}
}

// WantLimits implements Limits.
func (s *Shared) WantLimits(now time.Duration, waiting func(profileName string) int) {
	for _, pool := range s.limitPools {
		n := 0
		for _, name := range s.poolProfiles[pool] {
			n += waiting(name)
		}
		s.send(s.capacity.Want(now, pool, n))
	}
}

// reclaimMargin covers the transfer time of a start to its target.
const reclaimMargin = time.Second

// defaultTargetLease is assumed while no target has granted a lease.
const defaultTargetLease = 10 * time.Second

// recordTargetLease records the validity time of a target's lease.
func (s *Shared) recordTargetLease(ttl time.Duration) { s.targetLease = max(s.targetLease, ttl) }

// reclaimAfter returns how long tasks of a lost VM may still run. The VM may have
// decided a start at the end of its view lease, sent it maxStartDelay later under a
// lease that the target had just granted, and sent a task of the longest run at the
// end of that lease.
func (s *Shared) reclaimAfter(now time.Duration) time.Duration {
	lease := s.targetLease
	if lease == 0 {
		lease = defaultTargetLease
	}
	run := s.longestRun
	if now < s.previousRunUntil {
		run = max(run, s.previousRun)
	}
	return max(s.options.Capacity.ReclaimAfter, s.options.ViewLease+maxStartDelay+lease+run+reclaimMargin)
}
