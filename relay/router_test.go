package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTargets answers all orders and polls.
type fakeTargets struct {
	mu     sync.Mutex
	starts []work.StartOrder
	polls  atomic.Int64
	// activePolls and maxActivePolls count the simultaneous polls.
	activePolls, maxActivePolls atomic.Int64
	// blocked, if set, delays the answers to starts until it is closed.
	blocked chan struct{}
}

func (f *fakeTargets) Start(ctx context.Context, _ work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer {
	f.mu.Lock()
	f.starts = append(f.starts, order)
	held := f.blocked
	f.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return work.OrderAnswer{}
		}
	}
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: token}
}

func (f *fakeTargets) Stop(context.Context, work.TargetAddress, work.RunID, int64) work.OrderAnswer {
	return work.OrderAnswer{Verdict: work.VerdictStaleRun, ClockMS: 9}
}

func (f *fakeTargets) Poll(_ context.Context, _ work.TargetAddress, token, until, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict) {
	f.polls.Add(1)
	f.maxActivePolls.Store(max(f.maxActivePolls.Load(), f.activePolls.Add(1)))
	defer f.activePolls.Add(-1)
	time.Sleep(time.Millisecond)
	run := work.RunID{Task: "j.0.0.0", Number: 7}
	return work.PollAnswer{
		ClockMS: token, Incarnation: until, Capacity: &work.Resources{CPU: seen, MemoryMB: wait.Milliseconds()},
		Running: []work.RunningRun{{Run: run, SavedState: "s"}}, Completions: []work.Completion{{Number: 3, Run: run, Kind: work.CompletionDone, SavedState: "t"}},
	}, work.VerdictDone
}

func (f *fakeTargets) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// fleet is a router with relays, each with targets of its own.
type fleet struct {
	*Router
	direct *fakeTargets
	relays []*fakeTargets
	// stops has a function per relay that ends it.
	stops []func()
	// age is the age of the owner's last answer from the store.
	age atomic.Int64
	// gone says for each relay that it is no candidate any more.
	gone    []atomic.Bool
	targets int
}

// newFleet starts relays and a router whose owner has too little processor for the targets.
func newFleet(t testing.TB, relays, targets int) *fleet {
	f := &fleet{direct: &fakeTargets{}, gone: make([]atomic.Bool, relays), targets: targets}
	var candidates []VM
	log := slog.New(slog.DiscardHandler)
	for i := range relays {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		relayTargets := &fakeTargets{}
		f.relays = append(f.relays, relayTargets)
		ctx, cancel := context.WithCancel(t.Context())
		server := &Server{Targets: relayTargets, Log: log, StoreAge: func() time.Duration { return 0 }, Count: func(string, string) {}}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx, listener) }()
		f.stops = append(f.stops, func() { cancel(); <-done })
		candidates = append(candidates, VM{Name: fmt.Sprint("vm", i), Incarnation: uint64(i + 1), Address: listener.Addr().String(), CPU: weak})
	}
	f.Router = NewRouter(Options{
		Direct: f.direct, Budget: func() Budget { return budget(weak / 4) }, Log: log,
		Candidates: func() []VM {
			var present []VM
			for i, vm := range candidates {
				if !f.gone[i].Load() {
					present = append(present, vm)
				}
			}
			return present
		},
		StoreAge: func() time.Duration { return time.Duration(f.age.Load()) },
		Count:    func(string, string) {}, Gauge: func(string, float64) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Router.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		for _, stop := range f.stops {
			stop()
		}
	})
	f.SetTargets(targets)
	return f
}

func address(i int) work.TargetAddress {
	return work.TargetAddress{ID: fmt.Sprintf("t%03d", i), Address: "127.0.0.1:1"}
}

// pollAll polls all targets once, without a wait.
func (f *fleet) pollAll(t *testing.T) {
	var wait sync.WaitGroup
	for i := range f.targets {
		wait.Go(func() {
			_, verdict := f.Poll(t.Context(), address(i), 1, 0, 0, 0)
			must.Eq(t, work.VerdictDone, verdict)
		})
	}
	wait.Wait()
}

// relayedTarget waits until a relay is connected and returns a target that it serves.
func (f *fleet) relayedTarget(t testing.TB) work.TargetAddress {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for i := range f.targets {
			if f.usableStream(address(i).ID) != nil {
				return address(i)
			}
		}
	}
	t.Fatal("no target is served by a relay")
	return work.TargetAddress{}
}

// Orders and answers pass through a relay unchanged.
func TestRelayForwardsOrdersAndAnswers(t *testing.T) {
	f := newFleet(t, 3, 100)
	to := f.relayedTarget(t)
	order := work.StartOrder{Run: work.RunID{Task: "j.0.0.1", Number: 5}, Payload: "p", SavedState: "s", Ticket: "t", LeaseUntilMS: 99}
	relay := f.usableStream(to.ID).vm.Name
	must.NotEq(t, "", relay)
	must.Eq(t, work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: 11, Route: relay}, f.Start(t.Context(), to, order, 11))
	must.Eq(t, work.OrderAnswer{Verdict: work.VerdictStaleRun, ClockMS: 9}, f.Stop(t.Context(), to, order.Run, 11))
	held, verdict := f.Poll(t.Context(), to, 12, 34, 56, 78*time.Millisecond)
	must.Eq(t, work.VerdictDone, verdict)
	run := work.RunID{Task: "j.0.0.0", Number: 7}
	must.Eq(t, work.PollAnswer{
		ClockMS: 12, Incarnation: 34, Capacity: &work.Resources{CPU: 56, MemoryMB: 78},
		Running: []work.RunningRun{{Run: run, SavedState: "s"}}, Completions: []work.Completion{{Number: 3, Run: run, Kind: work.CompletionDone, SavedState: "t"}},
	}, held)
	must.Eq(t, 0, f.direct.started())
	starts := 0
	for _, relayTargets := range f.relays {
		starts += relayTargets.started()
		for _, got := range relayTargets.starts {
			must.Eq(t, order, got)
		}
	}
	must.Eq(t, 1, starts)
}

// The first polls of an owner are spread over its relays. While it has none, it sends only
// maxFirstPolls at a time itself.
func TestFirstPollsAreSpread(t *testing.T) {
	f := newFleet(t, 4, 300)
	f.pollAll(t)
	must.LessEq(t, int64(maxFirstPolls), f.direct.maxActivePolls.Load())
	relayed := int64(0)
	for _, relayTargets := range f.relays {
		relayed += relayTargets.polls.Load()
	}
	must.Eq(t, int64(300), relayed+f.direct.polls.Load())
	must.Greater(t, 100, relayed)
}

// An order whose relay is lost has no answer and may have been carried out. Later orders are sent
// directly at once.
func TestOrderOfLostRelayIsUnanswered(t *testing.T) {
	f := newFleet(t, 1, 100)
	to := f.relayedTarget(t)
	f.relays[0].mu.Lock()
	f.relays[0].blocked = make(chan struct{})
	f.relays[0].mu.Unlock()
	answers := make(chan work.OrderAnswer, 1)
	go func() { answers <- f.Start(t.Context(), to, work.StartOrder{}, 1) }()
	for f.relays[0].started() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.gone[0].Store(true)
	f.stops[0]()
	must.Eq(t, work.VerdictConnectionLost, (<-answers).Verdict)
	must.Eq(t, work.VerdictDone, f.Start(t.Context(), to, work.StartOrder{}, 1).Verdict)
	must.Eq(t, 1, f.direct.started())
}

// A relay that does not answer is bypassed before its VM is known to be lost.
func TestSilentRelayIsBypassed(t *testing.T) {
	f := newFleet(t, 1, 100)
	to := f.relayedTarget(t)
	f.relays[0].mu.Lock()
	f.relays[0].blocked = make(chan struct{})
	f.relays[0].mu.Unlock()
	must.Eq(t, work.VerdictUnknown, f.Start(t.Context(), to, work.StartOrder{}, 1).Verdict)
	s, answered := f.usableStream(to.ID), make(chan struct{})
	go func() {
		defer close(answered)
		s.call(t.Context(), to, &linkpb.Carry{What: startToWire(work.StartOrder{})}, 30*time.Second, true)
	}()
	for began := time.Now(); s.isUsable(bootclock.Now()); time.Sleep(time.Millisecond) {
		must.Less(t, 20*time.Second, time.Since(began))
	}
	must.Eq(t, work.VerdictDone, f.Start(t.Context(), to, work.StartOrder{}, 1).Verdict)
	must.Eq(t, 1, f.direct.started())
	close(f.relays[0].blocked)
	<-answered
}

// shortListener fails to accept its first connections for lack of descriptors.
type shortListener struct {
	net.Listener
	short atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.short.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A relay without free descriptors accepts connections again when there are some.
func TestRelayRecoversFromLackOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	short := &shortListener{Listener: listener}
	short.short.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	server := &Server{Targets: &fakeTargets{}, Log: slog.New(slog.DiscardHandler), StoreAge: func() time.Duration { return 0 }, Count: func(string, string) {}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, short) }()
	s := openStream(ctx, VM{Name: "vm", Address: listener.Addr().String()}, server.Log)
	s.awaitConnection(ctx)
	answer := s.call(ctx, address(1), &linkpb.Carry{Token: 5, What: startToWire(work.StartOrder{})}, 5*time.Second, true)
	must.Eq(t, int64(5), answer.GetClockMs())
	s.close()
	cancel()
	must.NoError(t, <-done)
}

// An owner that is cut off from the store starts runs itself: a relay with access to the store
// would start them at targets that leave. Polls still go through relays.
func TestOwnerWithStaleStoreStartsDirectly(t *testing.T) {
	f := newFleet(t, 2, 100)
	to := f.relayedTarget(t)
	f.age.Store(int64(maxStoreAge + 1))
	f.Start(t.Context(), to, work.StartOrder{}, 1)
	must.Eq(t, 1, f.direct.started())
	_, verdict := f.Poll(t.Context(), to, 1, 0, 0, 0)
	must.Eq(t, work.VerdictDone, verdict)
	must.Eq(t, int64(0), f.direct.polls.Load())
}
