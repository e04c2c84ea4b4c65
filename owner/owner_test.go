package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

const (
	targetID         = "target-1"
	targetClockStart = int64(1_000_000)
)

// oneTarget is a store whose registry lists one target of a service.
type oneTarget struct{}

func (oneTarget) Read(context.Context, platform.Table) (platform.Rows, error) {
	value, err := json.Marshal(wire.Target{
		Service: "service", Address: "127.0.0.1:1", Zone: "domain", State: wire.StateReady,
		Capacity: wire.Capacity{Resources: wire.Resources{CPU: 4000, MemoryMB: 4000}},
	})
	return platform.Rows{Version: 1, Rows: []platform.Row{{Key: targetID, Value: value, Version: 1}}}, err
}

func (oneTarget) Feed(ctx context.Context, _ platform.Table, _ int64, _ time.Duration) (platform.Rows, error) {
	<-ctx.Done()
	return platform.Rows{}, ctx.Err()
}

// fencingTarget is a fake target that refuses tokens below the highest it has seen. It completes
// each run at its start. A start or a poll can be held on its way: it is checked against the
// highest token only after its release.
type fencingTarget struct {
	mu             sync.Mutex
	highestToken   int64
	lastCompletion int64
	completions    []work.Completion
	running        map[work.RunID]bool
	createdAt      time.Time
	starts         []work.RunID
	// heldStart and heldPoll, when set, hold the next start or poll until they are closed.
	heldStart, heldPoll chan struct{}
	// heldOrders gets the kind of each order that is held.
	heldOrders chan string
}

func newFencingTarget() *fencingTarget {
	return &fencingTarget{running: map[work.RunID]bool{}, createdAt: time.Now(), heldOrders: make(chan string, 8)}
}

func (f *fencingTarget) clock() int64 {
	return targetClockStart + time.Since(f.createdAt).Milliseconds()
}

// isFenced reports whether a token is too low, and otherwise records it. The caller holds the
// lock.
func (f *fencingTarget) isFenced(token int64) bool {
	if token < f.highestToken {
		return true
	}
	f.highestToken = token
	return false
}

// waitIfHeld blocks an order of a kind for as long as it is held.
func (f *fencingTarget) waitIfHeld(ctx context.Context, kind string, held *chan struct{}) {
	f.mu.Lock()
	gate := *held
	*held = nil
	f.mu.Unlock()
	if gate == nil {
		return
	}
	f.heldOrders <- kind
	select {
	case <-gate:
	case <-ctx.Done():
	}
}

func (f *fencingTarget) Start(ctx context.Context, _ work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer {
	run := order.Run
	f.waitIfHeld(ctx, "start", &f.heldStart)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFenced(token) {
		return work.OrderAnswer{Verdict: work.VerdictFenced, ClockMS: f.clock()}
	}
	if slices.Contains(f.starts, run) {
		// A copy of an order that was carried out.
		return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: f.clock()}
	}
	f.starts = append(f.starts, run)
	f.lastCompletion++
	f.completions = append(f.completions, work.Completion{Number: f.lastCompletion, Run: run, Kind: work.CompletionDone})
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: f.clock()}
}

func (f *fencingTarget) Stop(_ context.Context, _ work.TargetAddress, _ work.RunID, token int64) work.OrderAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFenced(token) {
		return work.OrderAnswer{Verdict: work.VerdictFenced, ClockMS: f.clock()}
	}
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: f.clock()}
}

func (f *fencingTarget) Poll(ctx context.Context, _ work.TargetAddress, token, _, seen int64, _ time.Duration) (work.PollAnswer, work.Verdict) {
	f.waitIfHeld(ctx, "poll", &f.heldPoll)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFenced(token) {
		return work.PollAnswer{ClockMS: f.clock()}, work.VerdictFenced
	}
	answer := work.PollAnswer{ClockMS: f.clock()}
	for _, completion := range f.completions {
		if completion.Number > seen {
			answer.Completions = append(answer.Completions, completion)
		}
	}
	return answer, work.VerdictDone
}

// hold has the next order of a kind, given by its field, wait until release is called.
func (f *fencingTarget) hold(gate *chan struct{}) (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := make(chan struct{})
	*gate = held
	return func() { close(held) }
}

func testOptions() Options {
	return Options{
		Group: "domain", FailureDomain: "domain", Token: 5, Log: slog.New(slog.DiscardHandler),
		Count: func(string, string) {}, Observe: func(string, time.Duration) {}, Gauge: func(string, float64) {}, NeedsCapacity: func() {},
		StoreClock: func() (time.Duration, bool) { return 0, false },
	}
}

// runOwner runs an owner of a target until the test ends.
func runOwner(t *testing.T, target *fencingTarget) *Owner {
	t.Helper()
	return runOwnerWith(t, testOptions(), target)
}

func runOwnerWith(t *testing.T, options Options, target *fencingTarget) *Owner {
	t.Helper()
	o := New(options, target, oneTarget{})
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	t.Cleanup(func() {
		end()
		must.NoError(t, <-done)
	})
	return o
}

// testSubmission returns a job of one task.
func testSubmission(id string) scheduler.Submission {
	return scheduler.Submission{
		Job: work.Job{ID: id, Steps: []work.Step{
			{Tasks: 1, PerTask: work.Resources{CPU: 1000, MemoryMB: 100}, DeclaredRunTime: 50 * time.Millisecond},
		}},
		Queue: work.Queue{Name: "queue", Service: "service", MaxAttempts: 2, Stretch: 2, Allowance: 5 * time.Second},
	}
}

// submit submits a job of one task.
func submit(t *testing.T, o *Owner, id string) chan work.Outcome {
	t.Helper()
	outcome := make(chan work.Outcome, 1)
	go func() { outcome <- o.Submit(t.Context(), testSubmission(id)) }()
	return outcome
}

// An owner that got its claim directly from its predecessor writes it to the store later, which
// raises its token while orders are on their way. Orders that reach the target after the first
// one with the new token are refused. The owner must not take that for another owner's token and
// give up its jobs.
func TestRaisedTokenOvertakingPollKeepsJobs(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)

	release := target.hold(&target.heldPoll)
	first := submit(t, o, "2")
	must.Eq(t, "poll", <-target.heldOrders)
	o.RaiseToken(6)
	second := submit(t, o, "3")
	must.True(t, eventually(func() bool { return target.hasSeenToken(6) }))
	release()
	must.Eq(t, work.Completed, (<-first).Result)
	must.Eq(t, work.Completed, (<-second).Result)
	must.Eq(t, work.Completed, (<-submit(t, o, "4")).Result)
}

// A start that is refused for the owner's own newer token did nothing and is sent again.
func TestRaisedTokenOvertakingStartResendsIt(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)

	release := target.hold(&target.heldStart)
	first := submit(t, o, "2")
	must.Eq(t, "start", <-target.heldOrders)
	o.RaiseToken(6)
	must.Eq(t, work.Completed, (<-submit(t, o, "3")).Result)
	release()
	must.Eq(t, work.Completed, (<-first).Result)
}

// A job whose caller left while the job waited for the loop starts nothing.
func TestJobOfGoneCallerIsNotStarted(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "first")).Result)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	o.RecordKeepalive("e", bootclock.Now()+time.Hour, nil)
	for i, entry := range []string{"", "e"} {
		sub := testSubmission(fmt.Sprintf("gone%d", i))
		sub.Entry = entry
		must.Eq(t, work.Unknown, o.Submit(ctx, sub).Result)
	}
	must.Eq(t, work.Completed, (<-submit(t, o, "last")).Result)
	target.mu.Lock()
	defer target.mu.Unlock()
	must.SliceLen(t, 2, target.starts)
}

// Once a target has seen the higher token of another owner, this owner gives up its jobs and
// answers new ones with Moved.
func TestHigherTokenOfAnotherOwnerDeposes(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)
	target.mu.Lock()
	target.highestToken = 9
	target.mu.Unlock()
	must.NotEq(t, work.Completed, (<-submit(t, o, "2")).Result)
	must.Eq(t, work.Moved, (<-submit(t, o, "3")).Result)
}

func (f *fencingTarget) hasSeenToken(token int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestToken == token
}

// eventually waits up to some seconds for a condition and reports whether it became true.
func eventually(holds func() bool) bool {
	for range 5000 {
		if holds() {
			return true
		}
		<-time.After(time.Millisecond)
	}
	return false
}

// A start that waited too long in the owner's process isn't sent, because its target may be
// leaving by then. The scheduler decides again.
func TestTooOldStartIsNotSent(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)
	stale := scheduler.StartRun{To: work.TargetAddress{ID: targetID}, StartOrder: work.StartOrder{Run: work.RunID{Task: "late", Number: 9}}}
	o.sendStart(t.Context(), stale, bootclock.Now()-maxStartAge-time.Millisecond)
	must.SliceLen(t, 1, target.startedRuns())
	o.sendStart(t.Context(), stale, bootclock.Now())
	must.SliceLen(t, 2, target.startedRuns())
}

// A start whose target may have restarted by now isn't sent.
func TestStartIsNotSentAfterItsTime(t *testing.T) {
	target := newFencingTarget()
	o := runOwner(t, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)
	start := scheduler.StartRun{To: work.TargetAddress{ID: targetID}, StartOrder: work.StartOrder{Run: work.RunID{Task: "late", Number: 9}}}
	start.SendBy = bootclock.Now() - time.Millisecond
	o.sendStart(t.Context(), start, bootclock.Now())
	must.SliceLen(t, 1, target.startedRuns())
	start.SendBy = bootclock.Now() + time.Minute
	o.sendStart(t.Context(), start, bootclock.Now())
	must.SliceLen(t, 2, target.startedRuns())
}
