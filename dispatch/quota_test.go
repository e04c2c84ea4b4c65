package dispatch

import (
	"testing"
	"time"

	"github.com/burdockward/burdockward/profile"
	"github.com/shoenig/test/must"
)

func TestQuotaSharesBoundStarts(t *testing.T) {
	s := newAlone("t1", "t2")
	profiles := []profile.Profile{{Name: "p", Team: "x", MaxRunMS: 1000}}
	teams := []profile.Team{{Name: "x", QuotaSlots: 9, Lend: true}}
	s.SetProfiles(0, profiles, teams)
	usable := func(now time.Duration) int {
		s.Tick(now)
		n := 0
		for ; s.Usable("p"); n++ {
			s.Take("p")
		}
		for range n {
			s.Give(now, s.limits["p"])
		}
		return n
	}
	now := s.reclaimAfter(0)
	s.Tick(now)
	// Without quota shares half of the base share may be used.
	must.Eq(t, 5, usable(now))
	s.SetQuotaShares(now, map[string]int{"x": 9, "other": 3})
	must.Eq(t, 9, usable(now))
	u, home := s.QuotaUsage("x")
	must.True(t, home)
	must.True(t, u.Known)
	must.Eq(t, 9, u.Capacity)
	must.Eq(t, 0, u.Out)
	s.SetQuotaShares(now, map[string]int{"x": 6})
	must.Eq(t, 6, usable(now))
	// The operators set Lend to false.
	teams[0].Lend = false
	s.SetProfiles(now, profiles, teams)
	must.Eq(t, 9, usable(now))
}
