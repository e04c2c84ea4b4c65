package admission

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

// TestMain fixes the seed, so that every run gives the same result; a flag on the
// command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "800")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

type modelTask int

const (
	taskWaiting modelTask = iota
	taskOut
	taskDone
)

// modelQueue bounds the waiting tasks of the State that is tested.
const modelQueue = 15

// modelSub is the oracle's record of a submission.
type modelSub struct {
	id       ID
	profile  string
	deadline time.Duration
	tasks    []modelTask
	gone     bool
}

func (m *modelSub) count(state modelTask) int {
	n := 0
	for _, t := range m.tasks {
		if t == state {
			n++
		}
	}
	return n
}

func (m *modelSub) begun() bool { return m.count(taskWaiting) < len(m.tasks) }

// machine applies the same steps to a State and to a naive oracle.
type machine struct {
	state    *State
	now      time.Duration
	profiles []profile.Profile
	subs     []*modelSub
	out      []TaskRef
	picks    int
	admitted int
	dropped  int // tasks of dropped submissions that were waiting
	finished int
}

func drawProfile(t *rapid.T, name string) profile.Profile {
	return profile.Profile{
		Name:            name,
		Urgency:         rapid.IntRange(0, 2).Draw(t, "urgency"),
		GuaranteedSlots: rapid.IntRange(0, 3).Draw(t, "guarantee"),
		LimitSlots:      rapid.IntRange(0, 4).Draw(t, "limit"),
		QueueTasks:      rapid.IntRange(1, 12).Draw(t, "queue"),
		DeadlineMS:      rapid.Int64Range(0, 3000).Draw(t, "deadline"),
		MaxDeadlineMS:   5000,
		MaxRunMS:        1000,
		Straggler:       rapid.SampledFrom([]profile.StragglerAction{"", profile.StragglerWait, profile.StragglerStop}).Draw(t, "straggler"),
	}
}

func newMachine(t *rapid.T) *machine {
	m := &machine{state: New(Config{MaxQueuedTasks: modelQueue})}
	m.SetProfiles(t)
	return m
}

func (m *machine) find(id ID) *modelSub {
	i := slices.IndexFunc(m.subs, func(s *modelSub) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return m.subs[i]
}

func (m *machine) waiting(name string) int {
	n := 0
	for _, s := range m.subs {
		if !s.gone && (name == "" || s.profile == name) {
			n += s.count(taskWaiting)
		}
	}
	return n
}

func (m *machine) running(name string) int {
	n := 0
	for _, s := range m.subs {
		if s.profile == name {
			n += s.count(taskOut)
		}
	}
	return n
}

func (m *machine) profile(name string) (profile.Profile, bool) {
	i := slices.IndexFunc(m.profiles, func(p profile.Profile) bool { return p.Name == name })
	if i < 0 {
		return profile.Profile{}, false
	}
	return m.profiles[i], true
}

// drop checks a submission that was given up, and marks it as gone.
func (m *machine) drop(t *rapid.T, g GivenUp) {
	s := m.find(g.ID)
	if s == nil || s.gone {
		t.Fatalf("%s was given up twice or after it ended", g.ID)
	}
	notRun := g.Failure.Run == api.NotRun
	if notRun == s.begun() {
		t.Fatalf("%s: failure says %q, and begun is %v", g.ID, g.Failure.Run, s.begun())
	}
	must.Len(t, s.count(taskOut), g.Out)
	must.NotEq(t, "", g.Failure.Message)
	m.end(s)
}

func (m *machine) end(s *modelSub) {
	s.gone = true
	m.dropped += s.count(taskWaiting)
}

func (m *machine) SetProfiles(t *rapid.T) {
	m.profiles = nil
	for _, name := range []string{"p0", "p1", "p2", "p3"} {
		if rapid.IntRange(0, 5).Draw(t, "listed") > 0 {
			m.profiles = append(m.profiles, drawProfile(t, name))
		}
	}
	for _, g := range m.state.SetProfiles(m.now, m.profiles, nil) {
		must.Eq(t, api.NotRun, g.Failure.Run)
		m.drop(t, g)
	}
	for _, s := range m.subs {
		if _, listed := m.profile(s.profile); !listed && !s.gone && !s.begun() {
			t.Fatalf("%s of a removed profile still waits", s.id)
		}
	}
}

func (m *machine) Admit(t *rapid.T) {
	m.admitted++
	id := ID(fmt.Sprint("s", m.admitted))
	name := rapid.SampledFrom([]string{"p0", "p1", "p2", "p3"}).Draw(t, "profile")
	n := rapid.IntRange(0, 6).Draw(t, "tasks")
	sub := job(string(id), name, n)
	sub.DeadlineAt = m.now + time.Duration(rapid.IntRange(-1, 6000).Draw(t, "deadline"))*ms
	for i := range sub.Tasks {
		sub.Tasks[i] = time.Duration(rapid.IntRange(0, 2000).Draw(t, "declared")) * ms
	}
	before, all := m.waiting(name), m.waiting("")
	p, listed := m.profile(name)
	f := m.state.Admit(m.now, sub, Capacity{Slots: 8, Share: 1})
	if f != nil {
		must.Eq(t, api.NotRun, f.Run)
		must.Eq(t, f.Kind == api.KindOverloaded, f.RetryAfterMS > 0)
		must.Eq(t, f, m.state.Explain(m.now, id).Refused)
		return
	}
	if !listed || n == 0 || before+n > p.QueueTasks || all+n > modelQueue || sub.DeadlineAt-m.now > 5*time.Second || sub.DeadlineAt != 0 && sub.DeadlineAt <= m.now {
		t.Fatalf("%s was admitted beyond the bounds of %+v", id, p)
	}
	if sub.DeadlineAt == 0 {
		sub.DeadlineAt = m.now + milliseconds(cmp.Or(p.DeadlineMS, p.MaxDeadlineMS))
	}
	m.subs = append(m.subs, &modelSub{id: id, profile: name, deadline: sub.DeadlineAt, tasks: make([]modelTask, n)})
}

func (m *machine) Next(t *rapid.T) {
	usable := map[string]bool{}
	for _, name := range []string{"p0", "p1", "p2", "p3"} {
		usable[name] = rapid.IntRange(0, 3).Draw(t, "usable") > 0
	}
	ref, ok := m.state.Next(m.now, func(name string) bool { return usable[name] })
	if !ok {
		for name, u := range usable {
			must.True(t, !u || m.waiting(name) == 0)
		}
		return
	}
	s := m.find(ref.ID)
	if s == nil || s.gone || s.tasks[ref.Task] != taskWaiting || s.profile != ref.Profile || !usable[ref.Profile] {
		t.Fatalf("%+v was handed out, but is not waiting or not usable", ref)
	}
	m.picks++
	if m.picks%fairPickInterval != 0 {
		m.checkShares(t, ref.Profile, usable)
	}
	s.tasks[ref.Task] = taskOut
	m.out = append(m.out, ref)
	if rapid.Bool().Draw(t, "started") {
		m.state.RecordStart(m.now, ref)
	}
}

// checkShares fails the test if another profile should have been picked.
func (m *machine) checkShares(t *rapid.T, picked string, usable map[string]bool) {
	p, listed := m.profile(picked)
	if !listed {
		return
	}
	under := m.running(picked) < p.GuaranteedSlots
	for _, o := range m.profiles {
		if !usable[o.Name] || m.waiting(o.Name) == 0 {
			continue
		}
		otherUnder := m.running(o.Name) < o.GuaranteedSlots
		if otherUnder && !under || otherUnder == under && o.Urgency > p.Urgency {
			t.Fatalf("%s was served before %s", picked, o.Name)
		}
	}
}

// takeOut removes and returns one task that is out.
func (m *machine) takeOut(t *rapid.T) (TaskRef, *modelSub) {
	if len(m.out) == 0 {
		t.Skip("nothing is out")
	}
	i := rapid.IntRange(0, len(m.out)-1).Draw(t, "out")
	ref := m.out[i]
	m.out = slices.Delete(m.out, i, i+1)
	return ref, m.find(ref.ID)
}

func (m *machine) Finished(t *rapid.T) {
	ref, s := m.takeOut(t)
	outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
	m.state.RecordEnd(m.now, ref, time.Duration(rapid.IntRange(0, 900).Draw(t, "ran"))*ms, outcome)
	s.tasks[ref.Task] = taskDone
	m.finished++
	if s.count(taskDone) == len(s.tasks) && !s.gone {
		m.end(s)
	}
}

func (m *machine) Requeue(t *rapid.T) {
	ref, s := m.takeOut(t)
	m.state.Requeue(ref)
	s.tasks[ref.Task] = taskWaiting
	if s.gone {
		m.dropped++
	}
}

func (m *machine) Remove(t *rapid.T) {
	if len(m.subs) == 0 {
		t.Skip("nothing to remove")
	}
	var ids []ID
	out := 0
	for range rapid.IntRange(1, 3).Draw(t, "batch") {
		s := rapid.SampledFrom(m.subs).Draw(t, "remove")
		ids = append(ids, s.id)
		if !s.gone {
			out += s.count(taskOut)
			m.end(s)
		}
	}
	must.Len(t, out, m.state.Remove(m.now, ids...))
}

func (m *machine) Expire(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pass")) * ms
	for _, g := range m.state.Expire(m.now) {
		m.drop(t, g)
	}
	for _, s := range m.subs {
		if !s.gone && s.deadline <= m.now {
			t.Fatalf("%s is past its deadline and was not given up", s.id)
		}
	}
}

func (m *machine) Stragglers(t *rapid.T) {
	for _, s := range m.state.Stragglers(m.now) {
		if !slices.Contains(m.out, s.TaskRef) {
			t.Fatalf("%+v is a straggler, and is not running", s)
		}
	}
}

// Check compares the State's counts with the oracle's after each step.
func (m *machine) Check(t *rapid.T) {
	must.Eq(t, m.waiting(""), m.state.QueueLen())
	wants, tasks := 0, 0
	for _, name := range []string{"p0", "p1", "p2", "p3"} {
		must.Eq(t, m.waiting(name), m.state.ProfileQueueLen(name))
		want := m.waiting(name) + m.running(name)
		if p, listed := m.profile(name); listed && p.LimitSlots > 0 {
			want = min(want, p.LimitSlots)
			must.Eq(t, want, m.state.ProfileWantedSlots(name))
		}
		wants += m.state.ProfileWantedSlots(name)
	}
	must.Eq(t, wants, m.state.WantedSlots())
	for _, s := range m.subs {
		tasks += len(s.tasks)
	}
	must.Eq(t, tasks, m.state.QueueLen()+len(m.out)+m.finished+m.dropped)
}

// drain ends all tasks and removes all submissions, and checks that the State is
// empty.
func (m *machine) drain(t *rapid.T) {
	for _, ref := range m.out {
		m.state.RecordEnd(m.now, ref, ms, OutcomeDone)
	}
	m.state.SetProfiles(m.now, nil, nil)
	for _, s := range m.subs {
		m.state.Remove(m.now, s.id)
	}
	must.MapEmpty(t, m.state.subs)
	must.MapEmpty(t, m.state.queues)
	must.SliceEmpty(t, m.state.giveUps.items)
	must.SliceEmpty(t, m.state.ready.items)
	must.SliceEmpty(t, m.state.leastServed.items)
	must.SliceEmpty(t, m.state.setAsideQueues)
	must.Eq(t, 0, m.state.QueueLen())
	must.Eq(t, 0, m.state.WantedSlots())
}

func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.drain(t)
	})
}
