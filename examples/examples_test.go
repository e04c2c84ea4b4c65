// Package examples_test checks that the daemon accepts the example files.
package examples_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tailscale/hujson"

	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/settings"
)

// slotsPerDomain is a third, rounded down, of the slots of 50 targets with 8 slots
// each.
const slotsPerDomain = 133

var domains = map[string][]string{
	"kasa":  {"hall-a", "hall-b", "hall-c"},
	"thapa": {"baneshwor", "lalitpur", "bhaktapur"},
}

func TestDeploymentSettingsAreValid(t *testing.T) {
	for deployment, names := range domains {
		for _, name := range names {
			s, err := settings.Load(filepath.Join(deployment, name+".jsonc"))
			must.NoError(t, err)
			must.Eq(t, name, s.FailureDomain)
			must.Eq(t, names, s.FailureDomains)
			must.Len(t, 2, s.Peers.Seeds)
			must.False(t, slices.Contains(s.Peers.Seeds, s.Advertise.Peers))
			longest := longestRun(readProfiles(t, deployment))
			must.Greater(t, longest, s.Leases.ReclaimAfter.Milliseconds())
		}
	}
}

// TestLocalSettingsAreValid loads the file with which the README starts a daemon.
func TestLocalSettingsAreValid(t *testing.T) {
	s, err := settings.Load("local.jsonc")
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:7100", s.Listen.Callers.String())
}

func TestProfilesFitTeamsAndSlots(t *testing.T) {
	for deployment, names := range domains {
		teams := readTeams(t, deployment)
		guaranteed := 0
		for _, p := range readProfiles(t, deployment) {
			guaranteed += p.GuaranteedSlots
			checkProfile(t, teams, p)
		}
		must.LessEq(t, slotsPerDomain, guaranteed)
		for _, team := range teams {
			checkTeam(t, names, team)
		}
	}
}

func checkProfile(t *testing.T, teams []profile.Team, p profile.Profile) {
	t.Helper()
	must.SliceEmpty(t, p.Check(), must.Sprintf("profile %q", p.Name))
	hasTeam := slices.ContainsFunc(teams, func(team profile.Team) bool { return team.Name == p.Team })
	must.True(t, hasTeam, must.Sprintf("profile %q", p.Name))
}

func checkTeam(t *testing.T, names []string, team profile.Team) {
	t.Helper()
	must.SliceEmpty(t, team.Check(), must.Sprintf("team %q", team.Name))
	for domain := range team.Shares {
		must.SliceContains(t, names, domain)
	}
}

func longestRun(profiles []profile.Profile) int64 {
	var longest int64
	for _, p := range profiles {
		longest = max(longest, p.MaxRunMS)
	}
	return longest
}

// read reads a file of profiles or teams; an unknown key fails the test.
func read[T any](t *testing.T, deployment, name string) []T {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(deployment, name))
	must.NoError(t, err)
	plain, err := hujson.Standardize(text)
	must.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var objects []T
	must.NoError(t, decoder.Decode(&objects))
	return objects
}

func readProfiles(t *testing.T, deployment string) []profile.Profile {
	t.Helper()
	return read[profile.Profile](t, deployment, "profiles.jsonc")
}

func readTeams(t *testing.T, deployment string) []profile.Team {
	t.Helper()
	return read[profile.Team](t, deployment, "teams.jsonc")
}
