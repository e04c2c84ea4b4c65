package dispatch

import (
	"testing"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// newLimited makes the placer of a VM that is alone in its first view, with a
// limit of two, and collects its revocations.
func newLimited(t *testing.T, targets ...Target) (*Shared, *[]Revocation) {
	t.Helper()
	s := newAlone()
	asked := &[]Revocation{}
	s.options.Revoke = func(r Revocation) { *asked = append(*asked, r) }
	s.SetProfiles(0, []profile.Profile{{Name: "p", LimitSlots: 2, MaxRunMS: time.Minute.Milliseconds()}}, nil)
	s.SetTargets(0, targets)
	s.Tick(0)
	return s, asked
}

func TestFirstViewRevokesLeasesOfPreviousProcesses(t *testing.T) {
	s, asked := newLimited(t, Target{ID: "t1", Address: "t1:1", Slots: 4}, Target{ID: "t2", Address: "t2:1", Slots: 4, Leaving: true})
	// A start may be decided at the end of a view lease and sent maxStartDelay later.
	s.Tick(maxStartDelay)
	must.SliceEmpty(t, *asked)
	s.Tick(maxStartDelay + clockMargin)
	must.Eq(t, []Revocation{
		{Target: "t1", Address: "t1:1", View: "v1", Holders: []string{"a/1"}},
		{Target: "t2", Address: "t2:1", View: "v1", Holders: []string{"a/1"}},
	}, *asked)
	must.False(t, s.Usable("p"))
	now := 3 * time.Second
	s.recordRevocation(now, (*asked)[0], map[string]int{capacity.ProfilePool("p"): 1})
	must.False(t, s.Usable("p"))
	s.recordRevocation(now, (*asked)[1], nil)
	must.True(t, s.Usable("p"))
	s.Take("p")
	must.False(t, s.Usable("p"))
}

func TestRevocationAnswerOfAnotherProcessIsIgnored(t *testing.T) {
	s, asked := newLimited(t, Target{ID: "t1", Address: "t1:1", Slots: 4})
	s.Tick(3 * time.Second)
	s.SetTargets(3*time.Second, []Target{{ID: "t1", Address: "t1:2", Slots: 4}})
	s.recordRevocation(3*time.Second, (*asked)[0], nil)
	must.False(t, s.Usable("p"))
}

func TestUnitsOfRunningTasksAreCountedByLimit(t *testing.T) {
	must.Eq(t, map[string]int{"profile/p": 2, "team/t": 1}, countUnits([]targetclient.RunningTask{
		{Limits: []string{"profile/p", "team/t"}},
		{Limits: []string{"profile/p"}},
		{Limits: []string{}},
	}))
}
