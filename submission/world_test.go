package submission

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/twitchtv/twirp"
)

// record is the oracle's record of a key.
type record struct {
	// runner is the VM that was granted the key; handedOut says that it got the grant.
	runner    int
	handedOut bool
	granted   time.Time
	// grantOrder is the position of the grant in the order of events; 0 is none.
	grantOrder int
	// reportedRun is the outcome that the runner reported.
	reportedRun api.RunState
	// submits counts the submissions of the key to a dispatcher. Content is the
	// fingerprint of the last one and outcome its end.
	submits int
	content uint64
	outcome *Outcome
	// faults says that a claim of the key failed.
	faults bool
	// burned says that the key was taken by a burn.
	burned bool
}

// vm is one service and the end of its process.
type vm struct {
	service *Service
	// lostAt and leftAt are zero while the process runs.
	lostAt, leftAt, drainedAt time.Time
	jobs                      map[string]chan struct{}
}

// testCluster holds the oracle and the VMs. Its faults depend on a seed and the name and
// number of each call, so that the order of goroutines does not change them.
type testCluster struct {
	mu     sync.Mutex
	seed   uint32
	faulty bool
	// dropping says that answers may be dropped to stay within the budget.
	dropping bool
	// claimsHang makes claims and lookups wait for the end of their contexts.
	claimsHang bool
	// runMS bounds the run time of submissions; with 0 they run until they are cancelled.
	runMS int
	keys  map[string]*record
	vms   []*vm
	calls map[string]int
	// events counts grants and begins of calls, which orders those of the same instant.
	events int
}

// event returns the position of the next event in the order of events.
func (w *testCluster) event() int {
	w.events++
	return w.events
}

func newCluster(n int, budget int64) *testCluster {
	w := &testCluster{keys: map[string]*record{}, calls: map[string]int{}}
	for i := range n {
		v := &vm{jobs: map[string]chan struct{}{}}
		node := &node{cluster: w, index: i}
		v.service = NewService(Options{
			Domain: "a", VM: fmt.Sprint("vm", i), AnswerBytes: budget,
			ClaimTimeout: time.Second, DrainRetryAfter: time.Second,
			Claims: node, Dispatcher: node, Peers: node,
		})
		w.vms = append(w.vms, v)
	}
	return w
}

// roll returns a pseudo-random number below n for the next call of a name.
func (w *testCluster) roll(n int, name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[name]++
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, w.seed, name, w.calls[name])
	return int(h.Sum32()>>8) % n
}

func (w *testCluster) hasFault(n int, name string) bool { return w.faulty && w.roll(n, name) == 0 }

// node is the claims, dispatcher and peers of one VM.
type node struct {
	cluster *testCluster
	index   int
}

func (n *node) name(call, keyText string) string { return fmt.Sprint(call, n.index, keyText) }

var errBusy = &api.Failure{Kind: api.KindUnavailable, Message: "ask again", Run: api.OutcomeUnknown}

// pause waits for less than maxMS milliseconds, rarely for up to 20 times as long.
func (n *node) pause(ctx context.Context, name string, maxMS int) error {
	d := time.Duration(n.cluster.roll(maxMS, name)) * time.Millisecond
	if n.cluster.hasFault(9, name) {
		d *= 20
	}
	if n.cluster.claimsHang {
		d = time.Hour
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Claim grants each key once. The answer may be late, or lost after the grant; the next
// claim of the runner then gets the grant.
func (n *node) Claim(ctx context.Context, k key.Key) (Claim, error) {
	w, name := n.cluster, n.name("claim", k.String())
	early := n.pause(ctx, name, 60)
	if early != nil || w.hasFault(12, name) {
		n.updateRecord(k.String(), func(r *record) { r.faults = true })
		return Claim{}, errBusy
	}
	lose := w.hasFault(12, name)
	w.mu.Lock()
	r := w.keys[k.String()]
	if r == nil || r.granted.IsZero() {
		faults := r != nil && r.faults
		r = &record{runner: n.index, granted: time.Now(), grantOrder: w.event(), faults: faults, reportedRun: api.OutcomeUnknown}
		w.keys[k.String()] = r
	}
	granted := r.runner == n.index && !r.handedOut
	if granted {
		r.handedOut = true
	}
	c := w.claim(r, n.index)
	w.mu.Unlock()
	if n.pause(ctx, name, 60) != nil || lose {
		n.updateRecord(k.String(), func(r *record) {
			r.faults = true
			r.handedOut = r.handedOut && !granted
		})
		return Claim{}, errBusy
	}
	c.Granted = granted
	return c, nil
}

// Burn permanently takes a key that was not granted. The answer may be late or lost.
func (n *node) Burn(ctx context.Context, k key.Key) (Claim, error) {
	w, name := n.cluster, n.name("burn", k.String())
	if n.pause(ctx, name, 60) != nil || w.hasFault(12, name) {
		return Claim{}, errBusy
	}
	w.mu.Lock()
	r := w.keys[k.String()]
	if r == nil || r.granted.IsZero() {
		r = &record{runner: n.index, handedOut: true, granted: time.Now(), faults: true, reportedRun: api.NotRun, burned: true}
		w.keys[k.String()] = r
	}
	c := w.claim(r, n.index)
	c.Granted = r.burned && r.runner == n.index
	w.mu.Unlock()
	if n.pause(ctx, name, 60) != nil {
		return Claim{}, errBusy
	}
	return c, nil
}

func (n *node) updateRecord(keyText string, f func(*record)) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.keys[keyText] == nil {
		n.cluster.keys[keyText] = &record{}
	}
	f(n.cluster.keys[keyText])
}

// lossDetection is how long the failure domain takes to detect a lost VM. With some seeds
// only VMs that send a request to the replaced process detect the loss.
const lossDetection = 700 * time.Millisecond

func (w *testCluster) claim(r *record, asker int) Claim {
	v := w.vms[r.runner]
	c := Claim{
		Self: r.runner == asker, RunnerID: fmt.Sprint("vm", r.runner),
		RunnerAddress: fmt.Sprint(r.runner), RunnerIncarnation: 1, Run: r.reportedRun,
	}
	switch {
	case !v.lostAt.IsZero() && time.Since(v.lostAt) >= lossDetection && w.seed%4 != 0:
		c.State = ClaimLost
	case !v.leftAt.IsZero():
		c.State = ClaimEnded
	}
	return c
}

func (n *node) Lookup(ctx context.Context, k key.Key) (Claim, error) {
	if err := n.pause(ctx, n.name("lookup", k.String()), 40); err != nil {
		n.updateRecord(k.String(), func(r *record) { r.faults = true })
		return Claim{}, err
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	r := n.cluster.keys[k.String()]
	if r == nil || r.granted.IsZero() {
		return Claim{State: ClaimUnknown}, nil
	}
	return n.cluster.claim(r, n.index), nil
}

func (n *node) SetOutcome(k key.Key, run api.RunState) {
	n.updateRecord(k.String(), func(r *record) { r.reportedRun = run })
}

// failedEnds are the failures with which a dispatcher may end a submission.
var failedEnds = []api.Failure{
	{Kind: api.KindOverloaded, Run: api.NotRun, RetryAfterMS: 800},
	{Kind: api.KindTaskFailed, Run: api.Failed},
	{Kind: api.KindTargetLost, Run: api.OutcomeUnknown},
}

// Submit ends a submission after some time, or when it is cancelled.
func (n *node) Submit(s *Submission, done func(*Outcome)) {
	w, name := n.cluster, n.name("run", s.KeyText)
	cancel := make(chan struct{}, 1)
	after := make(<-chan time.Time)
	if w.runMS > 0 {
		after = time.After(time.Duration(w.roll(w.runMS, name)) * time.Millisecond)
	}
	o := Answered(s.KeyText, []json.RawMessage{[]byte(fmt.Sprintf("%q", s.KeyText+s.Profile))})
	if end := w.roll(6, name); w.faulty && end < len(failedEnds) {
		o = Refused(&failedEnds[end])
	}
	w.mu.Lock()
	w.vms[n.index].jobs[s.KeyText] = cancel
	w.mu.Unlock()
	n.updateRecord(s.KeyText, func(r *record) {
		r.submits++
		r.content = s.Fingerprint
	})
	go func() {
		select {
		case <-after:
		case <-cancel:
			o = Refused(&api.Failure{Kind: api.KindCancelled, Run: api.Failed})
		}
		n.updateRecord(s.KeyText, func(r *record) { r.outcome = o })
		done(o)
	}()
}

func (n *node) Cancel(keyText string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	select {
	case n.cluster.vms[n.index].jobs[keyText] <- struct{}{}:
	default:
	}
}

func (n *node) Look(string) (state string, tasks, done int) { return "running", 1, 0 }

// Wait passes a request to the runner. It fails or hangs at random, and when the runner
// is lost or has left.
func (n *node) Wait(ctx context.Context, address string, r *peerpb.WaitRequest) (*peerpb.WaitResponse, error) {
	w, name := n.cluster, n.name("wait", r.GetKey())
	if err := n.pause(ctx, name, 20); err != nil {
		return nil, err
	}
	var runner int
	_, _ = fmt.Sscan(address, &runner)
	w.mu.Lock()
	v := w.vms[runner]
	gone, replaced := !v.lostAt.IsZero() || !v.leftAt.IsZero(), !v.lostAt.IsZero() && w.seed%2 == 0
	w.mu.Unlock()
	switch {
	case replaced:
		return nil, twirp.NewError(twirp.FailedPrecondition, "replaced")
	case gone && w.seed%3 == 0 || w.hasFault(9, name):
		<-ctx.Done()
		return nil, ctx.Err()
	case gone || w.hasFault(6, name):
		return nil, twirp.NewError(twirp.Unavailable, "no connection")
	}
	response := v.service.ServeWait(ctx, r)
	if w.hasFault(6, name) {
		return nil, twirp.NewError(twirp.Unavailable, "the answer was lost")
	}
	return response, nil
}
