// Package owner runs the scheduler of one group of targets under the fencing token of a claim.
//
// Its inputs are submissions, the answers of targets, the registry of targets, cordons, and the
// keepalives of entry VMs. Its outputs are orders to targets, outcomes of submissions, and
// records of durable jobs in the store. The package scheduler makes the decisions.
//
// One goroutine, the loop, handles messages and carries out the effects that the scheduler's
// State returns; no other goroutine uses the State. Each order has a goroutine of its own that
// waits for the answer and posts it to the loop. Changes of the registry and of cordons go
// ahead of all other messages. A start that has become too old is decided again, not sent.
// Once a target has seen the higher token of another owner, all jobs are given up.
package owner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/cordon"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// Sizes and times of an owner.
const (
	// submissionQueueSize holds the jobs that one owner gets in a second at fully grown sites.
	submissionQueueSize = 512
	// answerQueueSize holds one answer of each target of a failure domain.
	answerQueueSize = 4096
	// urgentQueueSize holds the changes of a few reads of the registry.
	urgentQueueSize = 16
	// maxStartAge is how long the start of a run may wait in this process before it is sent.
	// A later one is decided again: by then its target may be leaving, or its failure domain
	// may be cordoned.
	maxStartAge = 250 * time.Millisecond
	// maxBatch bounds the messages handled between two rounds of placing.
	maxBatch = 64
	// maxRegistryDelay is the time within which a change of the registry is known once the store
	// answers again. A draining target gets no more starts after 2 s.
	maxRegistryDelay = 2 * time.Second
	// registryInterval is the minimum time between two such requests, so that the heartbeats
	// of targets come in a few reads a second.
	registryInterval = 500 * time.Millisecond
)

// Targets sends orders to targets. Poll acknowledges the completions up to the number seen,
// extends the leases of all runs until a time on the target's clock (0 leaves them), and waits for
// the next completion, at most for wait.
type Targets interface {
	Start(ctx context.Context, to work.TargetAddress, order work.StartOrder, token int64) work.OrderAnswer
	Stop(ctx context.Context, to work.TargetAddress, run work.RunID, token int64) work.OrderAnswer
	Poll(ctx context.Context, to work.TargetAddress, token, until, seen int64, wait time.Duration) (work.PollAnswer, work.Verdict)
}

// Options of an Owner.
type Options struct {
	Group         string
	FailureDomain string
	// FailureDomains are those of the deployment; empty if they aren't known.
	FailureDomains []string
	// Token is the fencing token of the claim.
	Token    int64
	Schedule scheduler.Options
	// RejoinTimeout is how long a job continues after its connection broke; 0 means
	// DefaultRejoinTimeout.
	RejoinTimeout time.Duration
	Log           *slog.Logger
	// Count counts events and the results of submissions; it must not block.
	Count func(what, label string)
	// Observe records durations and Gauge values; they must not block.
	Observe func(what string, took time.Duration)
	Gauge   func(what string, value float64)
	// AskPredecessor asks the previous owner for the targets that it has released so far; nil if
	// no previous owner hands over.
	AskPredecessor func(ctx context.Context) (Released, error)
	// HandOverJobs has this owner hand its running jobs over when it leaves.
	HandOverJobs bool
	// Delegate has another owner run a part of a job and returns the outcome of the part.
	Delegate func(ctx context.Context, owner string, sub scheduler.Submission) work.Outcome
	// Jobs stores the durable jobs; nil if none are accepted.
	Jobs *jobstore.Writer
	// StoreAnswered is called when the store has answered about the registry; it may be nil.
	StoreAnswered func(now time.Duration)
	// StoreClock returns the store's clock, if it is known.
	StoreClock func() (clock time.Duration, known bool)
	// Former is the incarnation of the owner that AskPredecessor asks. HasEnded reports whether an
	// incarnation of a VM has certainly ended; nil if that is never known.
	Former   uint64
	HasEnded func(vm string, incarnation uint64) bool
	// Cordons returns the cordoned failure domains as far as this VM knows them.
	// ConfirmCordons reads them from the store. Both are nil if there are no cordons.
	Cordons        func() cordon.View
	ConfirmCordons func(ctx context.Context) (cordon.View, error)
	// OwnedDomains returns the failure domains whose owner is alive, to which jobs may move; nil if any may
	// be.
	OwnedDomains func() []string
	// Profiles returns the operator's profiles as far as this VM knows them; nil before the first. It
	// may be nil.
	Profiles func() *shares.Profiles
	// ConfirmClaim asks the store whether the claim is still this owner's; with nil, targets
	// are used without asking.
	ConfirmClaim func(ctx context.Context) (bool, error)
	// Advise asks the adviser which targets may run a step; nil if there is no adviser.
	Advise func(ctx context.Context, step string, targets []string) (tickets map[string]string, valid time.Duration, err error)
	// SetTargetCount is called with the number of targets; it must not block, and may be nil.
	SetTargetCount func(targets int)
	// NeedsCapacity is called while tasks that other owners could run wait for a place, so
	// that the free capacity of those owners is learned soon; it must not block.
	NeedsCapacity func()
}

// Owner schedules jobs onto the targets of a group.
type Owner struct {
	options Options
	targets Targets
	store   mirror.Source

	// submissions holds the messages of Submit, which refuses jobs while it is full.
	submissions *ring.Ring[message]
	keepalives  keepalives
	// answers holds the messages of post, most of which are answers to orders.
	answers chan message
	// urgent holds changes of cordons and of the registry, which never wait behind answers.
	urgent chan message
	state  *scheduler.State
	// waiters holds where the outcome of each submission goes.
	waiters map[scheduler.Ref]chan work.Outcome
	// createdAt is when New returned this owner, on the boot clock.
	createdAt time.Duration
	lastRef   scheduler.Ref
	// delegated holds, for each part that another owner runs, the function that gives it up.
	delegated map[scheduler.Part]context.CancelFunc
	// loads holds the published load of each service.
	loads    atomic.Pointer[map[string]scheduler.Load]
	services map[string]bool
	registry registry
	reader   registryReader
	// deposed is set once a target has seen the higher token of another owner.
	deposed bool
	token   atomic.Int64
	// openJobs is the published number of jobs that have still to end or to be recorded.
	openJobs atomic.Int64
	durable  durableJobs
	// predecessor is the owner whose runs of durable jobs may go on.
	predecessor predecessor
	lag         lag
	// cordonsVersion is the version of the newest view of cordons.
	cordonsVersion int64
	profiles       profiles
	// loadsAt is when the loads were last published.
	loadsAt time.Duration
	// statusAt is when the status was last logged.
	statusAt time.Duration
	// done is closed when the loop has ended.
	done chan struct{}
}

// message is a function that the loop calls. Only there it may use the State.
type message func(now time.Duration)

// New returns an owner that sends no order before Run.
func New(o Options, targets Targets, store mirror.Source) *Owner {
	if o.RejoinTimeout == 0 {
		o.RejoinTimeout = DefaultRejoinTimeout
	}
	o.Schedule.AwaitCordon = o.Cordons != nil
	o.Schedule.ConfirmClaims = o.ConfirmClaim != nil
	o.Schedule.RecordTargets = o.Jobs != nil && o.ConfirmClaim != nil
	owner := &Owner{
		options: o, targets: targets, store: store,
		submissions: ring.New[message](submissionQueueSize),
		answers:     make(chan message, answerQueueSize),
		urgent:      make(chan message, urgentQueueSize),
		state:       scheduler.New(o.Schedule),
		waiters:     map[scheduler.Ref]chan work.Outcome{},
		createdAt:   bootclock.Now(),
		delegated:   map[scheduler.Part]context.CancelFunc{},
		services:    map[string]bool{},
		registry:    newRegistry(o.AskPredecessor != nil),
		reader:      registryReader{domain: o.FailureDomain, domains: o.FailureDomains, log: o.Log, count: o.Count},
		durable:     durableJobs{ending: map[string]bool{}, endWaiters: map[string][]chan struct{}{}},
		done:        make(chan struct{}),
	}
	owner.token.Store(o.Token)
	if o.Jobs == nil {
		owner.state.FinishResume(bootclock.Now())
	}
	return owner
}

// RaiseToken sets a higher fencing token for the same claim.
func (o *Owner) RaiseToken(token int64) {
	if old := o.token.Load(); token > old && o.token.CompareAndSwap(old, token) {
		o.options.Log.Info("token raised", "group", o.options.Group, "token", token)
	}
}

// Run schedules jobs onto the targets until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	o.readClocks(bootclock.Now())
	o.options.Log.Info("owning targets", "group", o.options.Group, "token", o.options.Token)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(o.done)
		o.loop(ctx)
		return nil
	})
	g.Go(func() error {
		return mirror.Follow(ctx, o.store, mirror.Options{
			Table: platform.TargetsTable, MaxDelay: maxRegistryDelay, MinInterval: registryInterval, Log: o.options.Log, StoreAnswered: o.options.StoreAnswered,
		}, func(u mirror.Update) { o.registryUpdated(ctx, u) })
	})
	if o.options.Jobs != nil {
		g.Go(func() error { return o.options.Jobs.Run(ctx) })
		g.Go(func() error { o.takeOverJobs(ctx); return nil })
		g.Go(func() error { o.openTargetRecords(ctx); return nil })
	}
	if o.options.Cordons != nil {
		o.UpdateCordons(ctx, o.options.Cordons())
	}
	if o.options.Profiles != nil {
		o.UpdateProfiles(ctx, o.options.Profiles())
	}
	if o.options.AskPredecessor != nil {
		g.Go(func() error { o.takeOverTargets(ctx); return nil })
	}
	err := g.Wait()
	o.options.Log.Info("no longer owning targets", "group", o.options.Group, "token", o.token.Load())
	return err
}

// post queues a message for the loop and blocks while the queue is full.
func (o *Owner) post(ctx context.Context, m message) {
	select {
	case o.answers <- m:
	case <-ctx.Done():
	case <-o.done:
	}
}

// postUrgent queues a message that the loop handles before all answers and submissions. A
// leaving target or a cordon has to be known in time also when the loop is behind.
func (o *Owner) postUrgent(ctx context.Context, m message) {
	select {
	case o.urgent <- m:
	case <-ctx.Done():
	case <-o.done:
	}
}

// handleUrgent handles all urgent messages that are queued.
func (o *Owner) handleUrgent() {
	for {
		select {
		case m := <-o.urgent:
			m(bootclock.Now())
		default:
			return
		}
	}
}

// loop handles messages and ticks, and applies the effects after each, until the context ends.
func (o *Owner) loop(ctx context.Context) {
	ticker := time.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	for {
		var m message
		select {
		case <-ctx.Done():
			o.abandonAll()
			return
		case <-ticker.C:
			m = o.tick
		case m = <-o.urgent:
		case m = <-o.answers:
		case m = <-o.submissions.Items():
		}
		o.handleUrgent()
		o.keepalives.deliver(bootclock.Now(), o.state)
		m(bootclock.Now())
		o.handleBatch()
		o.applyEffects(ctx, o.state.Effects(bootclock.Now()))
		o.publish()
	}
}

// tick handles what changes by time alone.
func (o *Owner) tick(now time.Duration) {
	o.lag.recordTick(now)
	o.readClocks(now)
	o.checkPredecessor(now)
	if o.options.OwnedDomains != nil && o.state.HasMisplacedJobs() {
		o.state.SetOwnedDomains(o.options.OwnedDomains())
	}
	o.state.Tick(now)
	o.logStatus()
}

// readClocks gives the State the time of day and the store's clock.
func (o *Owner) readClocks(now time.Duration) {
	o.state.SetWallClock(now, time.Duration(time.Now().UnixNano()))
	if clock, known := o.options.StoreClock(); known {
		o.state.SetRunClock(now, clock)
	}
}

// handleBatch handles the messages that are queued already, so that one round of placing
// serves them all.
func (o *Owner) handleBatch() {
	for range maxBatch {
		select {
		case m := <-o.answers:
			m(bootclock.Now())
		case m := <-o.submissions.Items():
			m(bootclock.Now())
		default:
			return
		}
	}
}

// loadsInterval is the minimum time between two publications of the loads.
const loadsInterval = 2 * time.Millisecond

// publish updates what the other goroutines of the process read: the number of jobs, whether
// durable jobs can be taken over, the number of targets, and the loads. It also reports when this
// owner needs the capacity of others.
func (o *Owner) publish() {
	o.publishOpenJobs()
	o.durable.canTakeOver.Store(o.canTakeOverJobs())
	if o.state.HasTasksToDelegate() {
		o.options.NeedsCapacity()
	}
	if o.options.SetTargetCount != nil {
		o.options.SetTargetCount(o.state.Targets())
	}
	now := bootclock.Now()
	if now-o.loadsAt < loadsInterval {
		return
	}
	o.loadsAt = now
	o.countPending(now)
	loads := make(map[string]scheduler.Load, len(o.services))
	for service := range o.services {
		loads[service] = o.state.Load(now, service)
	}
	o.loads.Store(&loads)
}

// abandonAll ends all jobs and answers their callers.
func (o *Owner) abandonAll() {
	o.state.Abandon(bootclock.Now())
	for _, effect := range o.state.Effects(bootclock.Now()) {
		if answer, ok := effect.(scheduler.Answer); ok {
			o.answerCaller(answer)
		}
	}
}

// Loads returns the load of the targets by service, with the delay of the loop added.
func (o *Owner) Loads() map[string]scheduler.Load {
	if loads := o.loads.Load(); loads != nil {
		return withDelay(*loads, o.lag.delay(bootclock.Now()))
	}
	return nil
}

// OpenJobs returns the number of jobs that have still to end or to be recorded in the store.
func (o *Owner) OpenJobs() int { return int(o.openJobs.Load()) }

// applyEffects carries out what the State wants done. What waits for an answer gets a
// goroutine.
func (o *Owner) applyEffects(ctx context.Context, effects []scheduler.Effect) {
	decided := bootclock.Now()
	for _, effect := range effects {
		switch e := effect.(type) {
		case scheduler.StartRun:
			go o.sendStart(ctx, e, decided)
		case scheduler.StopRun:
			go o.sendStop(ctx, e, decided)
		case scheduler.Poll:
			go o.poll(ctx, e, decided)
		case scheduler.AskAdviser:
			go o.askAdviser(ctx, e)
		case scheduler.Delegate:
			o.delegate(ctx, e)
		case scheduler.Withdraw:
			o.giveUpPart(e)
		case scheduler.Answer:
			o.answerCaller(e)
		case scheduler.StoreJob, scheduler.TaskDone, scheduler.TaskFailed, scheduler.TaskCrashed, scheduler.TaskCleared, scheduler.TaskSaved, scheduler.JobEnded:
			o.record(ctx, e)
		case scheduler.MoveJob:
			go o.moveJob(ctx, e)
		case scheduler.RecordTarget, scheduler.ForgetTarget:
			o.recordTarget(ctx, e)
		case scheduler.LogEvent:
			o.logEvent(e)
		case scheduler.Count:
			o.options.Count(e.Name, e.Kind)
		case scheduler.JobHistory:
			o.logHistory(e)
		case scheduler.Deposed:
			o.stepDown(e)
		case scheduler.ConfirmCordon:
			go o.confirmCordon(ctx)
		case scheduler.ConfirmClaim:
			go o.confirmClaim(ctx)
		}
	}
}

// stepDown gives up all jobs, once, because another owner has the targets now.
func (o *Owner) stepDown(e scheduler.Deposed) {
	if o.deposed {
		return
	}
	o.deposed = true
	o.options.Log.Warn("deposed: a target has seen a higher token", "target", e.Target, "token", o.token.Load())
	o.state.Abandon(bootclock.Now())
}
