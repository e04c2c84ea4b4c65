package configuration

import (
	"maps"
	"slices"

	"github.com/burdockward/burdockward/profile"
)

// Snapshot is the configuration at one version. It never changes.
type Snapshot struct {
	version  uint64
	loaded   bool
	profiles map[string]versioned[profile.Profile]
	teams    map[string]versioned[profile.Team]
	invalid  []string
}

// versioned is an object with the commit that wrote it.
type versioned[T any] struct {
	object  T
	version uint64
}

// newSnapshot reads the rows of a state. A row that can't be read leaves its
// object out, on every VM alike, and is listed as invalid.
func newSnapshot(s *State, loaded bool) *Snapshot {
	snap := &Snapshot{
		version:  s.Version(),
		loaded:   loaded,
		profiles: map[string]versioned[profile.Profile]{},
		teams:    map[string]versioned[profile.Team]{},
	}
	for _, e := range s.live() {
		switch {
		case e.err != nil:
			snap.invalid = append(snap.invalid, e.row.Key)
		case e.record.Profile != nil:
			snap.profiles[e.record.Profile.Name] = versioned[profile.Profile]{*e.record.Profile, e.row.Version}
		default:
			snap.teams[e.record.Team.Name] = versioned[profile.Team]{*e.record.Team, e.row.Version}
		}
	}
	return snap
}

// Version is the commit that last changed the configuration.
func (s *Snapshot) Version() uint64 { return s.version }

// Loaded reports whether a configuration has come from the store or a peer.
// Before that the snapshot is empty because nothing is known.
func (s *Snapshot) Loaded() bool { return s.loaded }

// Profile returns the profile of a name.
func (s *Snapshot) Profile(name string) (profile.Profile, bool) {
	v, ok := s.profiles[name]
	return v.object, ok
}

// ProfileVersion is the commit that wrote a profile, 0 when there is none.
func (s *Snapshot) ProfileVersion(name string) uint64 { return s.profiles[name].version }

// Profiles lists the profiles by name.
func (s *Snapshot) Profiles() []profile.Profile {
	names := slices.Sorted(maps.Keys(s.profiles))
	list := make([]profile.Profile, 0, len(names))
	for _, name := range names {
		list = append(list, s.profiles[name].object)
	}
	return list
}

// Team returns the quota of a team.
func (s *Snapshot) Team(name string) (profile.Team, bool) {
	v, ok := s.teams[name]
	return cloneTeam(v.object), ok
}

// TeamVersion is the commit that wrote a team, 0 when there is none.
func (s *Snapshot) TeamVersion(name string) uint64 { return s.teams[name].version }

// Teams lists the teams by name.
func (s *Snapshot) Teams() []profile.Team {
	names := slices.Sorted(maps.Keys(s.teams))
	list := make([]profile.Team, 0, len(names))
	for _, name := range names {
		list = append(list, cloneTeam(s.teams[name].object))
	}
	return list
}

// Invalid lists the keys of rows that couldn't be read.
func (s *Snapshot) Invalid() []string { return slices.Clone(s.invalid) }

// cloneTeam copies a team, so that callers can't change the map of a snapshot.
func cloneTeam(t profile.Team) profile.Team {
	t.Shares = maps.Clone(t.Shares)
	return t
}
