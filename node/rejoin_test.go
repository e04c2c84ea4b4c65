package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link"
	"github.com/burdockward/burdockward/owner"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// proxy forwards connections to a server and can reset them all.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	open     []net.Conn
	accepted int
}

// newProxy starts a proxy in front of the server at an address.
func newProxy(t *testing.T, to string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{listener: listener}
	t.Cleanup(func() { _ = listener.Close(); p.reset() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp4", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			p.mu.Lock()
			p.accepted++
			p.open = append(p.open, client, server)
			p.mu.Unlock()
			go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
			go func() { _, _ = io.Copy(client, server); _ = client.Close() }()
		}
	}()
	return p
}

func (p *proxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// reset resets all connections: nothing more arrives on either side.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	p.open = nil
}

// fakeTarget starts each run that it is ordered to and ends it when the test says so.
type fakeTarget struct {
	mu     sync.Mutex
	starts int
	stops  int
	ended  []work.Completion
	runs   map[work.RunID]bool
	// began receives each run that starts.
	began chan work.RunID
	// changed is closed at each completion, which wakes polls.
	changed chan struct{}
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{runs: map[work.RunID]bool{}, began: make(chan work.RunID, 16), changed: make(chan struct{})}
}

func (j *fakeTarget) clock() int64 { return 1_000_000 + bootclock.Now().Milliseconds() }

func (j *fakeTarget) Start(_ context.Context, _ work.TargetAddress, order work.StartOrder, _ int64) work.OrderAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if slices.ContainsFunc(j.ended, func(c work.Completion) bool { return c.Run == order.Run }) {
		return work.OrderAnswer{Verdict: work.VerdictStaleRun, ClockMS: j.clock()}
	}
	if !j.runs[order.Run] {
		j.starts++
		j.runs[order.Run] = true
		j.began <- order.Run
	}
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: j.clock()}
}

func (j *fakeTarget) Stop(_ context.Context, _ work.TargetAddress, run work.RunID, _ int64) work.OrderAnswer {
	j.end(run, "stopped")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops++
	return work.OrderAnswer{Verdict: work.VerdictDone, ClockMS: j.clock()}
}

func (j *fakeTarget) end(run work.RunID, kind work.CompletionKind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.runs[run] {
		return
	}
	delete(j.runs, run)
	j.ended = append(j.ended, work.Completion{Number: int64(len(j.ended) + 1), Run: run, Kind: kind})
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *fakeTarget) counts() (starts, stops int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts, j.stops
}

func (j *fakeTarget) Poll(ctx context.Context, _ work.TargetAddress, _, _, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict) {
	j.mu.Lock()
	changed, hasCompletions := j.changed, len(j.ended) > int(seen)
	j.mu.Unlock()
	if !hasCompletions && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	answer := work.PollAnswer{ClockMS: j.clock(), Completions: append([]work.Completion{}, j.ended[min(int(seen), len(j.ended)):]...)}
	for run := range j.runs {
		answer.Running = append(answer.Running, work.RunningRun{Run: run})
	}
	return answer, work.VerdictDone
}

// oneTargetStore is a store that lists one target.
type oneTargetStore struct{}

func (oneTargetStore) Read(context.Context, platform.Table) (platform.Rows, error) {
	value := `{"service":"s","address":"127.0.0.1:1","zone":"d","state":"ready","capacity":{"cpu":4000,"mem_mb":4000}}`
	return platform.Rows{Version: 1, Rows: []platform.Row{{Key: "target-1", Value: []byte(value), Version: 1}}}, nil
}

func (oneTargetStore) Feed(ctx context.Context, _ platform.Table, _ int64, _ time.Duration) (platform.Rows, error) {
	<-ctx.Done()
	return platform.Rows{}, ctx.Err()
}

// fleet is an owner behind a proxy, and the client of an entry VM.
type fleet struct {
	t      *testing.T
	node   *Node
	target *fakeTarget
	proxy  *proxy
	client *link.Client
}

const entryVM = "entry/1"

func newFleet(t *testing.T, rejoinTime time.Duration) *fleet {
	f := &fleet{t: t, target: newFakeTarget(), client: link.NewClient()}
	ignore := func(string, string) {}
	o := owner.New(owner.Options{
		Group: "d", FailureDomain: "d", Token: 5, RejoinTimeout: rejoinTime, Log: slog.New(slog.DiscardHandler), Count: ignore,
		Observe: func(string, time.Duration) {}, Gauge: func(string, float64) {}, NeedsCapacity: func() {},
		StoreClock: func() (time.Duration, bool) { return 0, false },
	}, f.target, oneTargetStore{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = o.Run(ctx) }()
	f.node = &Node{current: &ownedGroup{Owner: o, cancel: func() {}}, self: heartbeat.Self{Incarnation: 7}, log: slog.New(slog.DiscardHandler), options: Options{Count: ignore}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.node.handler().ServeHTTP(w, r)
	}))
	f.proxy = newProxy(t, server.Listener.Addr().String())
	t.Cleanup(func() { f.client.Close(); f.proxy.reset(); server.Close(); cancel(); <-ended })
	return f
}

func (f *fleet) runJob(ctx context.Context, id string) chan work.Outcome {
	outcome := make(chan work.Outcome, 1)
	go func() {
		owner := heartbeat.Owner{Incarnation: 7, ControlAddress: f.proxy.listener.Addr().String()}
		outcome <- f.client.RunWhileAlive(ctx, context.Background(), owner, f.order(id))
	}()
	return outcome
}

// order asks for a job of one task.
func (f *fleet) order(id string) link.Order {
	return link.Order{
		Group: "d", Entry: entryVM, Timestamp: int64(bootclock.Now() + time.Hour),
		Job:   work.Job{ID: id, Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 50 * time.Millisecond}}},
		Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, Allowance: time.Minute},
	}
}

// A job continues when the connection of its request breaks. It runs once, and its caller gets its
// outcome instead of Unknown.
func TestJobContinuesAfterConnectionReset(t *testing.T) {
	f := newFleet(t, time.Hour)
	outcome := f.runJob(t.Context(), "1")
	run := <-f.target.began
	f.proxy.reset()
	must.True(t, eventually(func() bool { return f.proxy.connections() == 2 }))
	f.target.end(run, work.CompletionDone)
	must.Eq(t, work.Completed, (<-outcome).Result)
	starts, stops := f.target.counts()
	must.Eq(t, 1, starts)
	must.Eq(t, 0, stops)
}

// The entry VM logs that it asks for a job again, with the owner's incarnation.
func TestRejoinIsLoggedAtEntryVM(t *testing.T) {
	f := newFleet(t, time.Hour)
	var lines bytes.Buffer
	f.client.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	outcome := f.runJob(t.Context(), "1")
	run := <-f.target.began
	f.proxy.reset()
	must.True(t, eventually(func() bool { return f.proxy.connections() == 2 }))
	f.target.end(run, work.CompletionDone)
	must.Eq(t, work.Completed, (<-outcome).Result)
	var line struct{ Msg, Job, Incarnation string }
	must.NoError(t, json.Unmarshal(lines.Bytes(), &line))
	must.Eq(t, "asking for a job again 1 7", line.Msg+" "+line.Job+" "+line.Incarnation)
}

// The outcome of a job that ended before its connection broke can still be asked for, by the
// request for the job and by no other request or entry VM.
func TestRejoinReturnsOutcomeOfEndedJob(t *testing.T) {
	f := newFleet(t, time.Hour)
	outcome := f.runJob(t.Context(), "1")
	run := <-f.target.began
	f.target.end(run, work.CompletionDone)
	must.Eq(t, work.Completed, (<-outcome).Result)
	order := link.Order{Entry: entryVM, Job: work.Job{ID: "1"}, Request: 1, Previous: link.PreviousRequest{Incarnation: 7, Ago: time.Millisecond}}
	must.Eq(t, work.Completed, f.node.runForPeer(t.Context(), order).Result)
	order.Request = 2
	must.NotEq(t, work.Completed, f.node.runForPeer(t.Context(), order).Result)
	order.Request, order.Entry = 1, "another/2"
	must.NotEq(t, work.Completed, f.node.runForPeer(t.Context(), order).Result)
}

// A job may have been started if an earlier incarnation received it, or if it was sent before the
// present owner existed. Its outcome is unknown: it is neither started again nor refused.
func TestRejoinIsUnknownForEarlierIncarnation(t *testing.T) {
	f := newFleet(t, time.Hour)
	for _, previous := range []link.PreviousRequest{{Incarnation: 6, Ago: time.Millisecond}, {Incarnation: 7, Ago: time.Hour}} {
		order := link.Order{Entry: entryVM, Job: work.Job{ID: "2"}, Previous: previous}
		must.Eq(t, work.Unknown, f.node.runForPeer(t.Context(), order).Result)
	}
	starts, _ := f.target.counts()
	must.Eq(t, 0, starts)
}

// A job is stopped when its caller leaves, which the entry VM reports. It is also stopped when its
// entry VM is lost, soon after the connection broke.
func TestJobWithoutCallerIsStopped(t *testing.T) {
	for name, test := range map[string]struct {
		rejoinTime time.Duration
		givenUp    bool
	}{
		"the caller left":      {time.Hour, true},
		"the entry VM is lost": {time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, test.rejoinTime)
			ctx, leave := context.WithCancel(t.Context())
			outcome := f.runJob(ctx, "1")
			<-f.target.began
			leave()
			must.Eq(t, work.Unknown, (<-outcome).Result)
			if test.givenUp {
				f.node.ReceiveKeepalive(entryVM, bootclock.Now()+time.Hour, []heartbeat.GivenUp{{Job: "1"}})
			}
			must.True(t, eventually(func() bool { _, stops := f.target.counts(); return stops > 0 }))
		})
	}
}

// A job whose first request never reached the owner is started at the second request, once.
func TestRejoinStartsJobThatNeverArrived(t *testing.T) {
	f := newFleet(t, time.Hour)
	order := f.order("1")
	order.Previous = link.PreviousRequest{Incarnation: 7, Ago: time.Nanosecond}
	outcome := make(chan work.Outcome, 1)
	go func() { outcome <- f.node.runForPeer(t.Context(), order) }()
	f.target.end(<-f.target.began, work.CompletionDone)
	must.Eq(t, work.Completed, (<-outcome).Result)
	starts, _ := f.target.counts()
	must.Eq(t, 1, starts)
}

// eventually waits up to about five seconds for a condition, and reports whether it came true.
func eventually(holds func() bool) bool {
	for range 5000 {
		if holds() {
			return true
		}
		<-time.After(time.Millisecond)
	}
	return false
}
