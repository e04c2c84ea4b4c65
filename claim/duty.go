package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/ring"
)

// Sender hands a message to the transport. Incarnation 0 addresses any process
// at the address. Send reports whether the transport had room for the message.
type Sender interface {
	Send(address string, incarnation uint64, duty peerpb.Duty, body []byte) bool
}

// Options are the settings of a Duty.
type Options struct {
	Membership membership.Config
	Claim      Config
	// Domain is the failure domain of this VM.
	Domain string
	Sender Sender
	// Now is the monotonic time since the start of the process.
	Now func() time.Duration
	// Ticks wakes the duty several times per probe interval; nil uses a ticker.
	Ticks <-chan time.Time
	// RingSize is the largest number of events that wait for the duty.
	RingSize int
}

// Defaults of Options.
const (
	DefaultRingSize = 8192
	tickInterval    = 50 * time.Millisecond
)

// View is a snapshot of the view for other duties.
type View struct {
	membership.View
	// Active says that this VM takes part in the view.
	Active bool
	// Opened says that this VM has the records that it must hold.
	Opened bool
	// Settled says that every member has opened the view.
	Settled bool
	// Epoch is the token for new keys; it is empty while there is none.
	Epoch string
}

// Duty is the goroutine that owns the states of membership and claim. Its methods
// are safe for concurrent use.
type Duty struct {
	options Options
	state   *State
	events  *ring.Ring[event]
	view    atomic.Pointer[View]
	records atomic.Int64
	// leaseEnd is a time instead of a flag: a process that resumes after a pause sees
	// that its lease has lapsed before it handles any event.
	leaseEnd atomic.Int64

	// draining says that tokens for new keys name another VM as home.
	draining atomic.Bool

	onView   []func(View, bool)
	onDigest []func(membership.Member, peerpb.Duty, []byte)

	calls          map[uint64]*call
	lastCallNumber uint64
	left           chan struct{}
	stopped        chan struct{}
}

// event is work for the duty; do runs in its goroutine.
type event struct {
	do func(now time.Duration)
}

// call is a caller that waits for the end of a claim, burn or lookup.
type call struct {
	// number is set by the duty.
	number uint64
	token  string
	hash   Hash
	// ended is set once: by the duty when it sends the result, or by the caller when
	// it stops waiting.
	ended atomic.Bool
	done  chan Done
}

// ErrStopped says that the duty has ended.
var ErrStopped = errors.New("claim: the duty has stopped; ask another VM")

// NewDuty makes a duty. Register callbacks before Run.
func NewDuty(options Options) *Duty {
	if options.RingSize == 0 {
		options.RingSize = DefaultRingSize
	}
	d := &Duty{
		options: options,
		state:   New(options.Claim, membership.New(options.Membership, options.Now())),
		events:  ring.New[event](options.RingSize),
		calls:   map[uint64]*call{},
		left:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	d.view.Store(&View{})
	return d
}

// OnView registers a callback for changes of the view and of its opening. It
// runs in the duty's goroutine and must not block.
func (d *Duty) OnView(f func(view View, opened bool)) { d.onView = append(d.onView, f) }

// OnDigest registers a callback for new digests of peers. It runs in the duty's
// goroutine and must not block.
func (d *Duty) OnDigest(f func(m membership.Member, duty peerpb.Duty, body []byte)) {
	d.onDigest = append(d.onDigest, f)
}

// Run handles events and ticks until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	ticks := d.options.Ticks
	if ticks == nil {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			d.state.Tick(d.options.Now())
		case e := <-d.events.Items():
			e.do(d.options.Now())
		}
		d.flush("", nil)
	}
}

// View returns the newest snapshot of the view.
func (d *Duty) View() View { return *d.view.Load() }

// CurrentEpoch returns the token for new keys, which names their home VM. It is
// empty while there is none.
func (d *Duty) CurrentEpoch() string { return d.view.Load().Epoch }

// Ready reports whether keys can be granted here.
func (d *Duty) Ready() bool {
	v := d.view.Load()
	return v.Active && v.Opened && v.Epoch != ""
}

// LeaseValid reports whether every member of the view has answered a message
// that was sent within the view lease.
func (d *Duty) LeaseValid() bool {
	return d.options.Now() < time.Duration(d.leaseEnd.Load())
}

// Records returns the number of keys that this VM has records of.
func (d *Duty) Records() int { return int(d.records.Load()) }

// Claim asks for a key. The result says whether the caller may start it or who
// has it. A refused key is an *api.Failure.
func (d *Duty) Claim(ctx context.Context, k key.Key) (Result, error) {
	return d.call(ctx, k, d.state.Claim)
}

// Burn refuses a key permanently unless a process has it already. When the result
// is granted, no VM ever starts the key.
func (d *Duty) Burn(ctx context.Context, k key.Key) (Result, error) {
	return d.call(ctx, k, d.state.Burn)
}

// Lookup asks who has a key without claiming it.
func (d *Duty) Lookup(ctx context.Context, k key.Key) (Result, error) {
	return d.call(ctx, k, d.state.Lookup)
}

// call starts a call in the duty's goroutine and waits for its end.
func (d *Duty) call(ctx context.Context, k key.Key, start func(time.Duration, uint64, string, Hash)) (Result, error) {
	if k.Domain != d.options.Domain {
		return Result{}, newFailure(api.KindWrongDomain, 0, "the key belongs to failure domain "+k.Domain+": submit it there")
	}
	c := &call{token: k.Epoch, hash: HashKey(k), done: make(chan Done, 1)}
	posted := d.events.Offer(event{do: func(now time.Duration) {
		d.lastCallNumber++
		c.number = d.lastCallNumber
		d.calls[c.number] = c
		start(now, c.number, c.token, c.hash)
	}})
	if !posted {
		return Result{}, failBusy()
	}
	select {
	case done := <-c.done:
		return done.result()
	case <-ctx.Done():
		return d.giveUp(c, failContext())
	case <-d.stopped:
		return d.giveUp(c, failStopped())
	}
}

// giveUp ends a call with failure, unless its result has been sent already.
func (d *Duty) giveUp(c *call, failure *api.Failure) (Result, error) {
	if !c.ended.CompareAndSwap(false, true) {
		done := <-c.done
		return done.result()
	}
	// A later call for the key must not wait behind this one.
	d.events.Offer(event{do: func(time.Duration) { d.cancel(c) }})
	return Result{}, failure
}

// cancel removes a call whose caller has stopped waiting.
func (d *Duty) cancel(c *call) {
	delete(d.calls, c.number)
	d.state.Cancel(c.number, c.hash)
}

func (d Done) result() (Result, error) {
	if d.Failure != nil {
		return Result{}, d.Failure
	}
	return d.Result, nil
}

// SetOutcome records how a key that this VM runs ended. It waits until the duty has
// recorded it.
func (d *Duty) SetOutcome(ctx context.Context, k key.Key, outcome Outcome) error {
	h := HashKey(k)
	return d.do(ctx, func(time.Duration) { d.state.SetOutcome(k.Epoch, h, outcome) })
}

// SetDigest sets the digest of a duty that heartbeats carry to all members.
func (d *Duty) SetDigest(duty peerpb.Duty, body []byte) {
	d.events.Offer(event{do: func(time.Duration) { d.state.Membership().SetDigest(int32(duty), body) }})
}

// SetListed takes the platform's list of the entry VMs of the failure domain:
// the live ones, and the ids of those that are leaving.
func (d *Duty) SetListed(live []membership.ListedVM, leaving []string) {
	d.events.Offer(event{do: func(time.Duration) { d.state.Membership().SetListed(live, leaving) }})
}

// Leave leaves the view permanently and hands the records over. Call it when no
// submission runs any more.
func (d *Duty) Leave(ctx context.Context) error {
	err := d.do(ctx, func(now time.Duration) { d.state.Membership().Leave(now) })
	if err != nil {
		return err
	}
	select {
	case <-d.left:
		return nil
	case <-d.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do runs f in the duty's goroutine and waits for it.
func (d *Duty) do(ctx context.Context, f func(now time.Duration)) error {
	done := make(chan struct{})
	e := event{do: func(now time.Duration) {
		f(now)
		close(done)
	}}
	if !d.events.Offer(e) {
		return failBusy()
	}
	select {
	case <-done:
		return nil
	case <-d.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finishCalls sends the results of ended calls to their callers. A grant whose
// caller has stopped waiting is returned.
func (d *Duty) finishCalls() {
	for _, done := range d.state.TakeDone() {
		c := d.calls[done.Waiter]
		if c == nil {
			continue
		}
		delete(d.calls, done.Waiter)
		if c.ended.CompareAndSwap(false, true) {
			c.done <- done
		} else if done.Result.Granted {
			d.state.Return(c.token, c.hash)
		}
	}
}

// publish updates the snapshots that other goroutines read, and runs the callbacks
// for digests and for a changed view.
func (d *Duty) publish() {
	m := d.state.Membership()
	for _, c := range m.TakeDigestChanges() {
		for _, f := range d.onDigest {
			f(c.Member, peerpb.Duty(c.Duty), c.Body)
		}
	}
	d.leaseEnd.Store(int64(m.LeaseEnd()))
	d.records.Store(int64(d.state.Records()))
	if m.Left() {
		d.closeLeft()
	}
	d.publishView(m)
}

// publishView updates the snapshot of the view. It runs the callbacks if more than the
// epoch has changed.
func (d *Duty) publishView(m *membership.State) {
	old := d.view.Load()
	same := old.ID == m.View().ID && old.Active == m.Active() && old.Opened == d.state.Opened() && old.Settled == m.Settled()
	epoch := tokenWithHome(m.CurrentEpoch(), d.homeForNewKeys())
	if same && old.Epoch == epoch {
		return
	}
	next := &View{View: *m.View(), Active: m.Active(), Opened: d.state.Opened(), Settled: m.Settled(), Epoch: epoch}
	d.view.Store(next)
	if same {
		return
	}
	for _, f := range d.onView {
		f(*next, next.Opened)
	}
}

// homeForNewKeys returns the tag of the home VM of new keys. That is this VM, because
// claims of a caller that stays with its VM then need no messages. While the VM drains
// it is another member.
func (d *Duty) homeForNewKeys() string {
	m := d.state.Membership()
	if !d.draining.Load() {
		return homeTag(m.Self())
	}
	for _, o := range m.View().Members {
		if !o.Same(m.Self()) {
			return homeTag(o)
		}
	}
	return noHome
}

// Drain makes tokens for new keys name another VM as home. A planned stop begins
// with it.
func (d *Duty) Drain() { d.draining.Store(true) }

func (d *Duty) closeLeft() {
	select {
	case <-d.left:
	default:
		close(d.left)
	}
}
