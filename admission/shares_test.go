package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/profile"
)

// shareProfile is a profile with a guarantee and an urgency.
func shareProfile(name string, guarantee, urgency int) profile.Profile {
	p := testProfile(name)
	p.GuaranteedSlots, p.Urgency = guarantee, urgency
	p.QueueTasks, p.DeadlineMS = 100_000, p.MaxDeadlineMS
	return p
}

// fill queues n tasks of a profile.
func fill(t *testing.T, s *State, now time.Duration, name string, n int) {
	t.Helper()
	for i := 0; i < n; i += 100 {
		admit(t, s, now, fmt.Sprint(name, now, i), name, 100)
	}
}

// serve hands out n tasks and counts them by profile. When slots tasks are out, it
// ends the oldest one with its profile's run time.
func serve(s *State, n, slots int, ran map[string]time.Duration) map[string]int {
	var out []TaskRef
	served := map[string]int{}
	for range n {
		if len(out) == slots {
			s.RecordEnd(0, out[0], ran[out[0].Profile], OutcomeDone)
			out = out[1:]
		}
		ref, _ := s.Next(0, anyUsable)
		out = append(out, ref)
		served[ref.Profile]++
	}
	return served
}

func TestSlotTimeIsSharedByWeight(t *testing.T) {
	s := newState(shareProfile("a", 3, 5), shareProfile("b", 1, 5), shareProfile("c", 1, 5))
	for _, name := range []string{"a", "b", "c"} {
		fill(t, s, 0, name, 4000)
	}
	served := serve(s, 4000, 1, map[string]time.Duration{"a": 300 * ms, "b": 300 * ms, "c": 600 * ms})
	total := float64(served["a"]*3 + served["b"]*3 + served["c"]*6)
	must.Between(t, 0.5, float64(served["a"]*3)/total, 0.65)
	must.Between(t, 0.17, float64(served["b"]*3)/total, 0.25)
	must.Between(t, 0.17, float64(served["c"]*6)/total, 0.25)
}

func TestNoProfileStarves(t *testing.T) {
	s := newState(shareProfile("urgent", 50, 9), shareProfile("a", 0, 0), shareProfile("b", 0, 0))
	for _, name := range []string{"urgent", "a", "b"} {
		fill(t, s, 0, name, 2000)
	}
	served := serve(s, 1600, 10, map[string]time.Duration{"urgent": 100 * ms, "a": 100 * ms, "b": 100 * ms})
	must.Eq(t, map[string]int{"urgent": 1500, "a": 50, "b": 50}, served)
}

func TestNoProfileStarvesBesideOthersOfItsTeam(t *testing.T) {
	s := newState(shareProfile("urgent", 50, 9), shareProfile("low", 0, 0), shareProfile("lowest", 0, 0), shareProfile("own", 0, 0))
	for _, name := range []string{"urgent", "low", "lowest", "own"} {
		fill(t, s, 0, name, 2000)
	}
	free, served := 0, map[string]int{}
	usable := func(name string) bool { return name == "own" || free > 0 }
	for i := range 3200 {
		free = i % 2 // a unit of the team is free before each second pick
		ref, ok := s.Next(0, usable)
		must.True(t, ok)
		served[ref.Profile]++
		s.RecordEnd(0, ref, 100*ms, OutcomeDone)
	}
	must.Between(t, 40, served["low"], 150)
	must.Between(t, 40, served["lowest"], 150)
}

func TestIdleTimeGivesNoCredit(t *testing.T) {
	s := newState(shareProfile("busy", 0, 5), shareProfile("idle", 0, 5))
	fill(t, s, 0, "busy", 3000)
	ran := map[string]time.Duration{"busy": 300 * ms, "idle": 300 * ms}
	serve(s, 2000, 1, ran)
	fill(t, s, 0, "idle", 1000)
	served := serve(s, 200, 1, ran)
	must.Between(t, 85, served["idle"], 115)
}

func TestGuaranteeFollowsTheShareOfTheVM(t *testing.T) {
	s := newState(shareProfile("a", 30, 5), shareProfile("b", 0, 9))
	s.SetCapacity(Capacity{Slots: 100, Share: 0.1})
	for i := range 5 {
		must.Nil(t, s.Admit(0, job(fmt.Sprint("a", i), "a", 10), Capacity{Slots: 100, Share: 0.1}))
		must.Nil(t, s.Admit(0, job(fmt.Sprint("b", i), "b", 10), Capacity{Slots: 100, Share: 0.1}))
	}
	served := serve(s, 10, 100, nil)
	must.Eq(t, 3, served["a"])
	must.Eq(t, 7, served["b"])
}

func TestNextChecksFewSetAsideProfiles(t *testing.T) {
	var profiles []profile.Profile
	for i := range 40 {
		profiles = append(profiles, shareProfile(fmt.Sprintf("p%02d", i), 0, i%10))
	}
	s := newState(profiles...)
	for _, p := range profiles {
		fill(t, s, 0, p.Name, 100)
	}
	asked := 0
	none := func(string) bool { asked++; return false }
	_, ok := s.Next(0, none)
	must.False(t, ok)
	for _, p := range profiles {
		ref, ok := s.Next(0, func(name string) bool { return name == p.Name })
		must.True(t, ok, must.Sprint("its units are free again"))
		must.Eq(t, p.Name, ref.Profile)
	}
	one := func(name string) bool { asked++; return name == "p00" }
	_, _ = s.Next(0, one)
	asked = 0
	_, _ = s.Next(0, one)
	must.LessEq(t, setAsideChecks+1, asked, must.Sprint("a call checks few set-aside profiles while another has work"))
}
