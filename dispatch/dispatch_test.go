package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result; a flag on the
// command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// behaviour is the answer of a fake target to one start.
type behaviour struct {
	runTime time.Duration
	err     error
	outcome targetclient.Outcome
}

// fakeTargets answers starts by next, and counts the starts of each task that began
// or may have begun.
type fakeTargets struct {
	mu     sync.Mutex
	next   func() behaviour
	begun  map[targetclient.TaskID]int
	leases int
}

func (f *fakeTargets) Lease(context.Context, string, string) (targetclient.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases++
	return targetclient.Lease{ID: fmt.Sprint(f.leases), TTLMS: 2000}, nil
}

func (f *fakeTargets) Start(_ context.Context, _ string, r targetclient.StartRequest) (targetclient.StartResponse, error) {
	f.mu.Lock()
	b := f.next()
	var notStarted *targetclient.NotStartedError
	if !errors.As(b.err, &notStarted) {
		f.begun[targetclient.TaskID{Submission: r.Submission, Task: r.Task}]++
	}
	f.mu.Unlock()
	time.Sleep(b.runTime)
	if b.err != nil {
		return targetclient.StartResponse{}, b.err
	}
	return targetclient.StartResponse{Outcome: b.outcome, Result: r.Payload, Error: "broken"}, nil
}

func (f *fakeTargets) Stop(context.Context, string, []targetclient.TaskID, bool) (int, error) {
	return 0, nil
}

func (f *fakeTargets) Revoke(context.Context, string, []string) ([]targetclient.RunningTask, error) {
	return nil, errors.New("no revocation expected")
}

func (f *fakeTargets) starts(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for task, n := range f.begun {
		if task.Submission == id {
			sum += n
		}
	}
	return sum
}

// unlimited implements Limits without limits.
type unlimited struct{}

func (unlimited) Usable(string) bool                                           { return true }
func (unlimited) Take(string) []string                                         { return nil }
func (unlimited) Give(time.Duration, []string)                                 {}
func (unlimited) SetProfiles(time.Duration, []profile.Profile, []profile.Team) {}
func (unlimited) WantLimits(time.Duration, func(string) int)                   {}

func startDuty(t *rapid.T, ctx context.Context, targets TargetClient) *Duty {
	d := New(Options{
		Holder:      "vm/1",
		Submissions: 50,
		Placer:      NewBaseline(BaselineRandom, rand.New(rand.NewPCG(1, 1)), 1),
		Limits:      unlimited{},
		Admission:   admission.New(admission.Config{Domain: "a", Domains: []string{"a"}}),
		Targets:     targets,
	})
	go func() { _ = d.Run(ctx) }()
	d.SetProfiles([]profile.Profile{{
		Name: "p", GuaranteedSlots: 4, QueueTasks: 200, DeadlineMS: 3000, MaxDeadlineMS: 10000, MaxRunMS: 2000,
	}}, nil)
	var list []Target
	for i := range rapid.IntRange(1, 3).Draw(t, "targets") {
		list = append(list, Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.0.", i), Slots: 2})
	}
	d.SetTargets(list)
	return d
}

var (
	errUnknown = &targetclient.UnknownOutcomeError{Err: errors.New("connection broke")}
	errFull    = &targetclient.NotStartedError{Reason: targetclient.ReasonFull}
	errLapsed  = &targetclient.NotStartedError{Reason: targetclient.ReasonLeaseLapsed}
	errUnsent  = &targetclient.NotStartedError{Reason: targetclient.ReasonUnreachable}
)

// drawBehaviours draws the answers of targets, most of them results.
func drawBehaviours(t *rapid.T) func() behaviour {
	kinds := rapid.SliceOfN(rapid.IntRange(0, 19), 1, 60).Draw(t, "behaviours")
	times := rapid.SliceOfN(rapid.IntRange(1, 900), 1, 20).Draw(t, "run times in ms")
	n := 0
	return func() behaviour {
		kind := kinds[n%len(kinds)]
		b := behaviour{outcome: targetclient.OutcomeDone, runTime: time.Duration(times[n%len(times)]) * time.Millisecond}
		n++
		switch kind {
		case 0:
			b.err = errUnknown
		case 1:
			b.outcome = targetclient.OutcomeFailed
		case 2, 3, 4:
			b = behaviour{err: errFull}
		case 5:
			b = behaviour{err: errLapsed}
		case 6:
			b = behaviour{err: errUnsent}
		}
		return b
	}
}

// pending is one submission of the test and its outcome.
type pending struct {
	id      string
	tasks   int
	outcome *submission.Outcome
	calls   int
}

func submit(d *Duty, id string, tasks int, deadline time.Duration) *pending {
	p := &pending{id: id, tasks: tasks}
	s := &submission.Submission{Key: key.Key{Domain: "a", Epoch: "1", Unique: id}, KeyText: id, Profile: "p", Deadline: deadline}
	for i := range tasks {
		payload, _ := json.Marshal(fmt.Sprint(id, "/", i))
		s.Tasks = append(s.Tasks, api.Task{Payload: payload})
	}
	d.Submit(s, func(o *submission.Outcome) {
		p.outcome = o
		p.calls++
	})
	return p
}

// check compares an outcome with the starts that the targets counted.
func (p *pending) check(t *rapid.T, f *fakeTargets) {
	must.Eq(t, 1, p.calls)
	starts := f.starts(p.id)
	switch p.outcome.Run {
	case api.NotRun:
		must.Eq(t, 0, starts, must.Sprintf("%s was answered as not run", p.id))
	case api.Completed:
		var answer api.Answer
		must.NoError(t, json.Unmarshal(p.outcome.Body, &answer))
		must.Eq(t, p.tasks, len(answer.Results))
		for i, r := range answer.Results {
			must.Eq(t, fmt.Sprintf("%q", fmt.Sprint(p.id, "/", i)), string(r))
		}
	}
}

// inBubble runs f with a fake clock. A panic, by which rapid ends a check, is passed
// on to the caller.
func inBubble(t *testing.T, f func()) {
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		f()
	})
	if panicked != nil {
		panic(panicked)
	}
}

// Draws submissions, targets' behaviour, cancellations and deadlines, and compares
// every outcome with the starts that the targets counted: each task starts at most
// once, an answer has all results, and work reported as not run never started.
func TestTasksStartOnceAndOutcomesMatchStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := &fakeTargets{begun: map[targetclient.TaskID]int{}, next: drawBehaviours(rt)}
			d := startDuty(rt, ctx, f)
			var all []*pending
			for i := range rapid.IntRange(1, 12).Draw(rt, "submissions") {
				deadline := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "deadline in ms")) * time.Millisecond
				all = append(all, submit(d, fmt.Sprint("s", i), rapid.IntRange(1, 20).Draw(rt, "tasks"), deadline))
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause in ms")) * time.Millisecond)
				if rapid.IntRange(0, 9).Draw(rt, "cancel") == 0 {
					d.Cancel(all[rapid.IntRange(0, i).Draw(rt, "whom")].id)
				}
			}
			time.Sleep(20 * time.Second)
			synctest.Wait()
			for task, n := range f.begun {
				must.Eq(rt, 1, n, must.Sprintf("starts of %v", task))
			}
			for _, p := range all {
				p.check(rt, f)
			}
			must.MapEmpty(rt, d.jobs)
			cancel()
			synctest.Wait()
		})
	})
}
