// Package dispatch is the duty that runs submissions: it admits them, starts
// each task at most once on a target, gathers results, and answers whole or with
// a typed failure.
//
// One goroutine owns all state. What happens outside, starts at targets and
// messages of other duties, comes in as events through a bounded ring.
package dispatch

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/uber-go/tally/v4"
)

// Options are the settings of a Duty.
type Options struct {
	// Holder names this process at targets: "<vm id>/<incarnation>".
	Holder string
	// RingSize is the most events that wait.
	RingSize int
	// Submissions is the most submissions that are held at once.
	Submissions int
	// Tick is the time between two looks at deadlines while there is work.
	Tick time.Duration
	// Placer decides which target takes a task, Limits which profiles may start.
	Placer Placer
	Limits Limits
	// Admission orders the work.
	Admission *admission.State
	Targets   TargetClient
	// Note explains decisions about a submission to operators.
	Note  func(keyText string, e submission.Event)
	Scope tally.Scope
	Log   *slog.Logger
}

// TargetClient reaches targets; *targetclient.Client implements it.
type TargetClient interface {
	Lease(ctx context.Context, address, holder string) (targetclient.Lease, error)
	Start(ctx context.Context, address string, request targetclient.StartRequest) (targetclient.StartResponse, error)
	Stop(ctx context.Context, address string, tasks []targetclient.TaskID, checkpoint bool) (int, error)
	Revoke(ctx context.Context, address string, holders []string) ([]targetclient.RunningTask, error)
}

// Defaults of Options.
const (
	DefaultRingSize = 8192
	DefaultTick     = 10 * time.Millisecond
)

// shortestWait keeps a due time in the past from keeping the duty busy.
const shortestWait = time.Millisecond

// limitsInterval is the least time between two looks at the wants of limits,
// which cost time for each limit.
const limitsInterval = 5 * time.Millisecond

// idleTick is the time between two looks at the state of a duty without work.
const idleTick = 250 * time.Millisecond

// Target is a target as the platform's list names it.
type Target struct {
	ID      string
	Address string
	Rack    string
	Slots   int
	// Leaving targets get no new work.
	Leaving bool
}

// Placer decides which target takes the next task. The duty calls it from its
// own goroutine alone.
type Placer interface {
	// SetTargets replaces the known targets.
	SetTargets(now time.Duration, targets []Target)
	// Pick names a target with a free slot for the next task.
	Pick(now time.Duration) (target string, ok bool)
	// Begin takes the slot of a target that Pick named.
	Begin(now time.Duration, target, profileName, submission string)
	// End gives the slot back with what became of the task.
	End(now time.Duration, end End)
	// Want says how many more tasks could start now.
	Want(now time.Duration, tasks int)
	// Tick does what is due, and says when it must be called again at the latest.
	Tick(now time.Duration) (next time.Duration, ok bool)
	// Slots is the number of slots in the failure domain that can be used, and
	// the share of its load that this VM carries.
	Slots(now time.Duration) (slots int, share float64)
}

// Limits holds the units of profile limits and team quotas of this VM.
type Limits interface {
	// Usable says whether a task of the profile may start now.
	Usable(profileName string) bool
	// Take takes a unit of each pool that a task of the profile needs, and names
	// the pools for Give.
	Take(profileName string) []string
	// Give puts the units back.
	Give(now time.Duration, pools []string)
	// SetProfiles replaces the limits.
	SetProfiles(now time.Duration, profiles []profile.Profile, teams []profile.Team)
	// WantLimits takes, for each limited profile, how many tasks wait.
	WantLimits(now time.Duration, waiting func(profileName string) int)
}

// End is what became of a task at a target.
type End struct {
	Target     string
	Submission string
	Profile    string
	// RunTime is the time from start to answer.
	RunTime time.Duration
	Result  Result
	// Reason says why a task was not started.
	Reason targetclient.Reason
	// Load is the target's own report, nil without one.
	Load *targetclient.Load
}

// Result says how a start ended.
type Result int

// The results of a start.
const (
	ResultDone Result = iota
	ResultFailed
	ResultStopped
	// ResultNotStarted means refused by the target or never sent.
	ResultNotStarted
	// ResultUnreachable means never sent since no connection could be had.
	ResultUnreachable
	// ResultUnknown means that the task may have run.
	ResultUnknown
)

// Duty is the dispatch duty.
type Duty struct {
	options Options
	events  *ring.Ring[event]
	start   time.Time
	jobs    map[string]*job
	// runLimits are the longest runs of one task, by profile.
	runLimits map[string]time.Duration
	// refused counts refusals by profile and kind.
	refused map[string]map[string]uint64
	// kept are the units of tasks of unknown outcome.
	kept []keptUnits
	// running counts starts whose answer is awaited.
	running int
	// limitsAt is when limits were told what waits, limitsWanted whether anything
	// did.
	limitsAt     time.Duration
	limitsWanted bool
	// tickedAt is when the duty last looked at deadlines and stragglers.
	tickedAt time.Duration
	// placerDue is when the placer must be called again; 0 is never.
	placerDue time.Duration
	starter   *starter
	stopper   *stopper
	revoker   *revoker
	metrics   metrics
	stopped   chan struct{}
}

// New makes a duty; Run drives it.
func New(o Options) *Duty {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.RingSize == 0 {
		o.RingSize = DefaultRingSize
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Note == nil {
		o.Note = func(string, submission.Event) {}
	}
	d := &Duty{
		options: o,
		events:  ring.New[event](o.RingSize),
		start:   time.Now(),
		jobs:    map[string]*job{},
		refused: map[string]map[string]uint64{},
		metrics: newMetrics(o.Scope),
		stopped: make(chan struct{}),
	}
	d.starter = newStarter(o.Targets, o.Holder, o.Scope, d.deliver)
	d.stopper = newStopper(o.Targets, o.Scope)
	d.revoker = newRevoker(o.Targets, o.Scope, d.deliver)
	return d
}

// now is the time since the duty started, on the monotonic clock.
func (d *Duty) now() time.Duration { return time.Since(d.start) }

// job is a submission that runs here.
type job struct {
	sub     *submission.Submission
	done    func(*submission.Outcome)
	results []json.RawMessage
	// finished counts results; begun says that a task may have started.
	finished int
	begun    bool
	flights  map[int]*flight
}

// flight is a start whose answer is awaited.
type flight struct {
	job     *job
	ref     admission.TaskRef
	target  string
	profile string
	// pools are the limits and quotas of which the task holds a unit.
	pools []string
	// runLimit is the longest run of the task, kept by the target.
	runLimit time.Duration
	// decidedAt is before the view lease was looked at for the task, which a paused
	// process may start much later.
	decidedAt time.Time
	// stopping says that the target was asked to end the task.
	stopping bool
}

// Run drives the duty until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	go d.stopper.run(ctx)
	go d.revoker.run(ctx)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Items():
			e.apply(d)
			d.drain()
		case <-timer.C:
		}
		d.tickWhenDue()
		d.schedule()
		timer.Reset(d.nextTick())
	}
}

// drain applies what else waits, so that one look at the queues serves many
// events.
func (d *Duty) drain() {
	for range d.events.Len() {
		e := <-d.events.Items()
		e.apply(d)
	}
}

// nextTick is the time until the duty must look at its state again.
func (d *Duty) nextTick() time.Duration {
	now := d.now()
	wait := d.tickedAt + d.tickInterval() - now
	if d.placerDue > 0 {
		wait = min(wait, d.placerDue-now)
	}
	return max(shortestWait, wait)
}

// tickInterval is the time between two looks at the state.
func (d *Duty) tickInterval() time.Duration {
	if len(d.jobs) > 0 {
		return d.options.Tick
	}
	return idleTick
}

// tickWhenDue looks at the state when its time has come. It is asked after events as
// well: under load they follow each other so closely that the timer never ends.
func (d *Duty) tickWhenDue() {
	now := d.now()
	if now < d.tickedAt+d.tickInterval() {
		return
	}
	d.tickedAt = now
	d.tick(now)
}

// tick looks at deadlines and stragglers.
func (d *Duty) tick(now time.Duration) {
	for _, g := range d.options.Admission.Expire(now) {
		d.givenUp(g)
	}
	for _, s := range d.options.Admission.Stragglers(now) {
		d.straggler(s)
	}
	d.releaseUnits(now)
	d.logVerdicts()
	d.metrics.queued.Update(float64(d.options.Admission.QueueLen()))
	d.metrics.running.Update(float64(d.running))
}

// schedule starts tasks while there is a slot and a task for it.
func (d *Duty) schedule() {
	now := d.now()
	adm := d.options.Admission
	wanted := 0
	for adm.QueueLen() > 0 {
		targetID, ok := d.options.Placer.Pick(now)
		if !ok {
			wanted = max(0, adm.Wants()-d.running)
			break
		}
		ref, ok := adm.Next(now, d.options.Limits.Usable)
		if !ok {
			break
		}
		d.startTask(now, ref, targetID)
	}
	d.options.Placer.Want(now, wanted)
	d.wantLimits(now)
	due, ok := d.options.Placer.Tick(now)
	if !ok {
		due = 0
	}
	d.placerDue = due
}

// wantLimits tells the limits what waits, while something does and once after.
func (d *Duty) wantLimits(now time.Duration) {
	waiting := d.options.Admission.QueueLen() > 0
	if !waiting && !d.limitsWanted || now < d.limitsAt+limitsInterval {
		return
	}
	d.limitsWanted = waiting
	d.limitsAt = now
	d.options.Limits.WantLimits(now, d.options.Admission.ProfileQueueLen)
}

func (d *Duty) startTask(now time.Duration, ref admission.TaskRef, targetID string) {
	j := d.jobs[string(ref.ID)]
	f := &flight{job: j, ref: ref, target: targetID, profile: j.sub.Profile, decidedAt: d.start.Add(now)}
	j.flights[ref.Task] = f
	j.begun = true
	d.running++
	d.options.Placer.Begin(now, targetID, f.profile, j.sub.KeyText)
	f.pools = d.options.Limits.Take(f.profile)
	d.options.Admission.Started(now, ref)
	d.metrics.starts.Inc(1)
	d.options.Note(j.sub.KeyText, submission.Event{Text: "started", Task: ref.Task, Target: targetID})
	f.runLimit = d.runLimits[f.profile]
	d.starter.start(f, f.runLimit)
}

// Submit takes a submission whose key was granted to this VM.
func (d *Duty) Submit(s *submission.Submission, done func(*submission.Outcome)) {
	if d.events.Offer(&submitEvent{sub: s, done: done, at: d.now()}) {
		return
	}
	done(submission.Refused(&api.Failure{
		Kind:         api.KindOverloaded,
		Message:      "this VM takes in submissions faster than it can queue them: submit again under a new key",
		Run:          api.NotRun,
		RetryAfterMS: time.Second.Milliseconds(),
		Key:          s.KeyText,
	}))
}

// deliver hands an event to the duty and waits for room: results must not be
// lost. It gives up only when the duty has stopped.
func (d *Duty) deliver(e event) {
	for !d.events.Offer(e) {
		select {
		case <-d.stopped:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
