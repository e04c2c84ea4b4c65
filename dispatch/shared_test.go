package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/capacity/capacitypb"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// newAlone makes the shared placer of a VM that is the only member of its view.
func newAlone(targets ...string) *Shared {
	self := capacity.Member{ID: "a", Incarnation: 1}
	s := NewShared(SharedOptions{
		Capacity:   capacity.Options{Self: self},
		Domain:     "d",
		Domains:    []string{"d"},
		Send:       func(capacity.Member, *capacitypb.Message) {},
		LeaseValid: func() bool { return true },
		SetDigest:  func([]byte) {},
		RNG:        rand.New(rand.NewPCG(1, 1)),
	})
	s.SetView(0, capacity.View{ID: "v1", Members: []capacity.Member{self}})
	var list []Target
	for _, id := range targets {
		list = append(list, Target{ID: id, Address: id, Slots: 4})
	}
	s.SetTargets(0, list)
	s.Tick(0)
	return s
}

// fail begins a start at each target and ends it as unreachable.
func (s *Shared) fail(now time.Duration, targets ...string) {
	for _, id := range targets {
		s.Begin(now, id, "p", "job")
		s.End(now, End{Target: id, Profile: "p", Submission: "job", Result: ResultUnreachable})
	}
}

func TestBackingOffTargetsCountAsCapacity(t *testing.T) {
	s := newAlone("t1", "t2", "t3", "t4")
	slots, share := s.Slots(time.Second)
	must.Eq(t, 16, slots)
	must.Eq(t, 1, share)
	s.fail(2*time.Second, "t1", "t2", "t3", "t4")
	slots, share = s.Slots(2 * time.Second)
	// One target is in quarantine; the others back off for a short time.
	must.Eq(t, 12, slots)
	must.Positive(t, share)
}

func TestTargetThatReportedLeavingIsRetried(t *testing.T) {
	s := newAlone("t1")
	s.Begin(0, "t1", "p", "job")
	s.End(0, End{Target: "t1", Profile: "p", Submission: "job", Result: ResultNotStarted, Reason: targetclient.ReasonLeaving, Load: &targetclient.Load{Leaving: true}})
	_, ok := s.Pick(time.Second)
	must.False(t, ok)
	s.Tick(reportedLeavingTimeout + time.Second)
	_, ok = s.Pick(reportedLeavingTimeout + 2*time.Second)
	must.True(t, ok)
}

func TestShorterRunLimitKeepsReclaimTimeOfRunningTasks(t *testing.T) {
	s := newAlone("t1")
	limited := func(run time.Duration) []profile.Profile {
		return []profile.Profile{{Name: "p", LimitSlots: 2, MaxRunMS: run.Milliseconds()}}
	}
	s.SetProfiles(0, limited(time.Minute), nil)
	long := s.reclaimAfter(0)
	s.SetProfiles(time.Second, limited(time.Second), nil)
	must.Eq(t, long, s.reclaimAfter(30*time.Second))
	must.Less(t, long, s.reclaimAfter(2*time.Minute))
}

// The duty sleeps until the time that Tick returns. A time in the past would make
// it loop without a pause.
func TestTickReturnsNoTimeInThePast(t *testing.T) {
	s := newAlone("t1", "t2", "t3", "t4")
	s.fail(time.Second, "t1", "t2", "t3", "t4")
	for now := time.Second; now < 5*time.Minute; now += time.Second {
		if next, ok := s.Tick(now); ok {
			must.Greater(t, now, next)
		}
	}
}
