package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

const ms = time.Millisecond

var wholeDomain = Capacity{Slots: 100, Share: 1}

func anyUsable(string) bool { return true }

// testProfile is a profile with settings that refuse nothing in these tests.
func testProfile(name string) profile.Profile {
	return profile.Profile{Name: name, Urgency: 5, QueueTasks: 1000, DeadlineMS: 10_000, MaxDeadlineMS: 60_000, MaxRunMS: 5_000}
}

func newState(profiles ...profile.Profile) *State {
	s := New(Config{Domain: "hall-a", Domains: []string{"hall-a", "hall-b", "hall-c"}})
	s.SetProfiles(0, profiles, nil)
	return s
}

func job(id, profileName string, n int) Submission {
	return Submission{ID: ID(id), Profile: profileName, Tasks: make([]time.Duration, n)}
}

func admit(t *testing.T, s *State, now time.Duration, id, profileName string, n int) {
	t.Helper()
	must.Nil(t, s.Admit(now, job(id, profileName, n), wholeDomain))
}

// teach runs n submissions of one task with the given run time and declared time.
func teach(t *testing.T, s *State, now time.Duration, profileName string, n int, ran, declared time.Duration) {
	t.Helper()
	for i := range n {
		sub := job(fmt.Sprint("teach", ran, declared, now, i), profileName, 1)
		sub.Tasks[0] = declared
		must.Nil(t, s.Admit(now, sub, wholeDomain))
		ref, ok := s.Next(now, anyUsable)
		must.True(t, ok)
		s.RecordStart(now, ref)
		s.RecordEnd(now, ref, ran, OutcomeDone)
	}
}

func TestNextHandsOutEachTaskOnce(t *testing.T) {
	s := newState(testProfile("tiles"))
	admit(t, s, 0, "a", "tiles", 2)
	admit(t, s, 0, "b", "tiles", 1)
	var got []string
	for ref, ok := s.Next(0, anyUsable); ok; ref, ok = s.Next(0, anyUsable) {
		got = append(got, fmt.Sprintf("%s %d", ref.ID, ref.Task))
	}
	must.Eq(t, []string{"a 0", "a 1", "b 0"}, got)
	must.Eq(t, 0, s.QueueLen())
	must.Eq(t, 3, s.ProfileWantedSlots("tiles"))
}

func TestAdmitRefusesUnknownProfile(t *testing.T) {
	s := newState(testProfile("tiles"))
	f := s.Admit(0, job("a", "other", 1), wholeDomain)
	must.NotNil(t, f)
	must.Eq(t, api.KindUnknownProfile, f.Kind)
	must.Eq(t, api.NotRun, f.Run)
}

func TestAdmitRefusesWhatNeverRuns(t *testing.T) {
	short := testProfile("short")
	short.QueueTasks = 3
	lost, none, split := testProfile("lost"), testProfile("none"), testProfile("split")
	lost.Team, none.Team, split.Team = "missing", "elsewhere", "even"
	s := New(Config{Domain: "hall-a", Domains: []string{"hall-c", "hall-b", "hall-a"}})
	s.SetProfiles(0, []profile.Profile{short, lost, none, split}, []profile.Team{
		{Name: "elsewhere", QuotaSlots: 5, Shares: map[string]int{"hall-b": 5}},
		{Name: "even", QuotaSlots: 10},
	})
	far := job("far", "short", 1)
	far.DeadlineAt = 61 * time.Second
	for _, sub := range []Submission{job("a", "short", 4), job("b", "short", 0), job("c", "split", api.MaxTasks+1), job("d", "lost", 1), job("e", "none", 1), far} {
		f := s.Admit(0, sub, wholeDomain)
		must.NotNil(t, f, must.Sprint(sub.ID))
		must.Eq(t, api.KindNeverRunnable, f.Kind, must.Sprint(sub.ID))
		must.Eq(t, 0, f.RetryAfterMS)
		must.Eq(t, sub.ID == "d", strings.Contains(f.Message, "add the team"))
	}
	admit(t, s, 0, "f", "split", 20)
	must.Eq(t, 4, s.ProfileWantedSlots("split"), must.Sprint("10 over three failure domains, the first gets the remainder"))
}

func TestAdmitRefusesLongRunsByEvidenceOnly(t *testing.T) {
	s := newState(testProfile("tiles"))
	long := job("long", "tiles", 1)
	long.Tasks[0] = 3 * time.Second
	must.Nil(t, s.Admit(0, long, wholeDomain))
	s.Remove(0, "long")
	teach(t, s, 0, "tiles", 60, 400*ms, 100*ms)
	f := s.Admit(time.Second, long, wholeDomain)
	must.NotNil(t, f, must.Sprint("declared times are a fourth of the measured ones, so 3 s means 12 s"))
	must.Eq(t, api.KindNeverRunnable, f.Kind)
	long.ID = "later"
	must.Nil(t, s.Admit(evidenceMaxAge+time.Second, long, wholeDomain), must.Sprint("observations older than evidenceMaxAge refuse no work"))
}

// One submission of 170 tasks runs eight times longer than declared. Other
// submissions must not be refused for that.
func TestOneSubmissionDoesNotRefuseOthers(t *testing.T) {
	s := newState(testProfile("tiles"))
	teach(t, s, 0, "tiles", 30, 100*ms, 100*ms)
	odd := job("odd", "tiles", 170)
	for i := range odd.Tasks {
		odd.Tasks[i] = 500 * ms
	}
	must.Nil(t, s.Admit(0, odd, wholeDomain))
	for range odd.Tasks {
		ref, _ := s.Next(0, anyUsable)
		s.RecordEnd(0, ref, 4*time.Second, OutcomeDone)
	}
	long := job("long", "tiles", 1)
	long.Tasks[0] = 3 * time.Second
	must.Nil(t, s.Admit(0, long, wholeDomain))
	short := newState(testProfile("tiles"))
	must.Nil(t, short.Admit(0, odd, wholeDomain))
	for range odd.Tasks {
		ref, _ := short.Next(0, anyUsable)
		short.RecordEnd(0, ref, 4*time.Second, OutcomeDone)
	}
	soon := job("soon", "tiles", 1)
	soon.DeadlineAt = time.Second
	must.Nil(t, short.Admit(0, soon, wholeDomain))
}

func TestAdmitRefusesTooShortDeadline(t *testing.T) {
	s := newState(testProfile("tiles"))
	soon := job("soon", "tiles", 1)
	soon.DeadlineAt = time.Second
	must.Nil(t, s.Admit(0, soon, wholeDomain))
	s.Remove(0, "soon")
	teach(t, s, 0, "tiles", 60, 2*time.Second, 0)
	f := s.Admit(0, soon, wholeDomain)
	must.NotNil(t, f)
	must.Eq(t, api.KindDeadlineTooShort, f.Kind)
	soon.ID, soon.DeadlineAt = "later", evidenceMaxAge+2*time.Second
	must.Nil(t, s.Admit(evidenceMaxAge+time.Second, soon, wholeDomain))
}

func TestAdmitRefusesWhatWouldWaitTooLong(t *testing.T) {
	s := newState(testProfile("tiles"))
	few := Capacity{Slots: 3, Share: 1}
	for i := range 9 {
		must.Nil(t, s.Admit(0, job(fmt.Sprint(i), "tiles", 10), few))
	}
	sub := job("late", "tiles", 1)
	sub.DeadlineAt = 5 * time.Second
	f := s.Admit(0, sub, few)
	must.NotNil(t, f, must.Sprint("90 tasks at 10 a second"))
	must.Eq(t, api.KindOverloaded, f.Kind)
	must.Between(t, 4000, f.RetryAfterMS, 6000)
	sub.ID, sub.DeadlineAt = "in time", 10*time.Second
	must.Nil(t, s.Admit(0, sub, few))
}

func TestAdmitRefusesWithoutTargets(t *testing.T) {
	f := newState(testProfile("tiles")).Admit(0, job("a", "tiles", 1), Capacity{Share: 1})
	must.NotNil(t, f)
	must.Eq(t, api.KindOverloaded, f.Kind)
	must.GreaterEq(t, noTargetRetry.Milliseconds(), f.RetryAfterMS)
}

func TestAdmitRefusesWhenDrainStalls(t *testing.T) {
	s := newState(testProfile("tiles"))
	admit(t, s, 0, "a", "tiles", 100)
	sub := job("b", "tiles", 1)
	must.Nil(t, s.Admit(ms, sub, wholeDomain))
	_, _ = s.Next(10*time.Second, anyUsable)
	sub.ID, sub.DeadlineAt = "c", 12*time.Second
	must.NotNil(t, s.Admit(10*time.Second, sub, wholeDomain), must.Sprint("one task left the queue in 10 s"))
}

func TestQueueBoundGivesRetryAfter(t *testing.T) {
	s := newState(testProfile("tiles"))
	for i := range 10 {
		admit(t, s, 0, fmt.Sprint(i), "tiles", 100)
	}
	f := s.Admit(0, job("x", "tiles", 100), wholeDomain)
	must.NotNil(t, f)
	must.Eq(t, api.KindOverloaded, f.Kind)
	must.Between(t, 300, f.RetryAfterMS, 450)
	must.Eq(t, f.RetryAfterMS, s.Admit(0, job("x", "tiles", 100), wholeDomain).RetryAfterMS)
	must.NotEq(t, f.RetryAfterMS, s.Admit(0, job("y", "tiles", 100), wholeDomain).RetryAfterMS)
	must.Eq(t, maxRetryAfter.Milliseconds(), retryAfterMS("x", time.Hour))
	must.GreaterEq(t, minRetryAfter.Milliseconds(), retryAfterMS("x", 0))
}

func TestExpireGivesUpOnce(t *testing.T) {
	s := newState(testProfile("tiles"))
	teach(t, s, 0, "tiles", 60, 2*time.Second, 0)
	admit(t, s, 0, "waits", "tiles", 1)
	admit(t, s, 0, "runs", "tiles", 1)
	ref, _ := s.Next(0, func(string) bool { return true })
	must.Eq(t, ID("waits"), ref.ID)
	s.Requeue(ref)
	admit(t, s, 0, "half", "tiles", 2)
	must.SliceEmpty(t, s.Expire(8*time.Second-200*ms))
	given := s.Expire(8 * time.Second)
	must.Len(t, 3, given, must.Sprint("2 s of work can't start later than 2 s before the deadline"))
	for _, g := range given {
		must.Eq(t, api.NotRun, g.Failure.Run)
		must.Eq(t, api.KindDeadlineExceeded, g.Failure.Kind)
		must.Positive(t, g.Failure.RetryAfterMS)
	}
	must.SliceEmpty(t, s.Expire(time.Minute))
}

func TestExpireKeepsRunningWorkUntilItsDeadline(t *testing.T) {
	s := newState(testProfile("tiles"))
	teach(t, s, 0, "tiles", 60, 2*time.Second, 0)
	admit(t, s, 0, "a", "tiles", 1)
	ref, _ := s.Next(0, anyUsable)
	must.SliceEmpty(t, s.Expire(10*time.Second-1))
	given := s.Expire(10 * time.Second)
	must.Len(t, 1, given)
	must.Eq(t, api.Failed, given[0].Failure.Run)
	must.Eq(t, []TaskRef{ref}, given[0].Out)
	s.RecordEnd(11*time.Second, ref, 11*time.Second, OutcomeStopped)
	must.Eq(t, 0, s.WantedSlots())
}

func TestProfileChangesKeepQueuedWork(t *testing.T) {
	s := newState(testProfile("tiles"), testProfile("old"))
	admit(t, s, 0, "a", "tiles", 2)
	admit(t, s, 0, "b", "old", 2)
	admit(t, s, 0, "c", "old", 2)
	ref, _ := s.Next(0, func(name string) bool { return name == "old" })
	must.Eq(t, ID("b"), ref.ID)
	changed := testProfile("tiles")
	changed.QueueTasks = 1
	given := s.SetProfiles(0, []profile.Profile{changed}, nil)
	must.Len(t, 1, given)
	must.Eq(t, ID("c"), given[0].ID)
	must.Eq(t, api.NotRun, given[0].Failure.Run)
	must.Eq(t, 3, s.QueueLen(), must.Sprint("two of a, and the rest of b, which has begun"))
	must.NotNil(t, s.Admit(0, job("d", "old", 1), wholeDomain))
}

func TestStragglersAreReportedOnce(t *testing.T) {
	stop := testProfile("tiles")
	stop.Straggler, stop.StragglerFactor = profile.StragglerStop, 20
	s := newState(stop, testProfile("wait"))
	for _, name := range []string{"tiles", "wait"} {
		teach(t, s, 0, name, 60, 100*ms, 0)
		admit(t, s, 0, name, name, 1)
		ref, _ := s.Next(0, anyUsable)
		s.RecordStart(0, ref)
	}
	must.SliceEmpty(t, s.Stragglers(1900*ms))
	found := s.Stragglers(2300 * ms)
	must.Len(t, 1, found)
	must.Eq(t, profile.StragglerStop, found[0].Action)
	must.Eq(t, ID("tiles"), found[0].ID)
	s.RecordStart(2300*ms, found[0].TaskRef)
	must.SliceEmpty(t, s.Stragglers(time.Minute))
	s.RecordEnd(time.Minute, found[0].TaskRef, time.Minute, OutcomeStopped)
}

func TestExplainReportsPositionAndRefusals(t *testing.T) {
	s := New(Config{Order: FIFO{}})
	limited := testProfile("tiles")
	limited.GuaranteedSlots = 1
	s.SetProfiles(0, []profile.Profile{limited}, nil)
	admit(t, s, 0, "a", "tiles", 30)
	admit(t, s, 0, "b", "tiles", 5)
	e := s.Explain(0, "b")
	must.True(t, e.Known && e.UnderGuarantee)
	must.Eq(t, 30, e.Position)
	must.Eq(t, 90, e.ExpectedStartMS, must.Sprint("100 slots run 333 tasks of 300 ms a second"))
	_, ok := s.Next(0, func(string) bool { return false })
	must.False(t, ok)
	must.True(t, s.Explain(0, "b").LimitReached)
	for i := range 2 * maxRefusals {
		s.Admit(0, job(fmt.Sprint(i), "none", 1), wholeDomain)
	}
	must.Nil(t, s.Explain(0, "0").Refused)
	must.NotNil(t, s.Explain(0, ID(fmt.Sprint(2*maxRefusals-1))).Refused)
	must.MapLen(t, maxRefusals, s.refusals.failures)
}

func TestDeclaredTimesAreWeighedByTheirErrors(t *testing.T) {
	good, bad := newRunTimes(), newRunTimes()
	for i := range 400 {
		ran := time.Duration(100+i%7*150) * ms
		good.observe(0, ran, ran/4, true)
		bad.observe(0, ran, time.Duration(1+i%11*i%13)*100*ms, true)
	}
	must.Between(t, 1800*ms, good.expect(500*ms), 2200*ms)
	mean := seconds(bad.mean)
	must.Between(t, mean/3, bad.expect(8*time.Second), 3*mean)
	must.Greater(t, 0.9, good.declaredWeight())
	must.Less(t, 0.6, bad.declaredWeight())
}
