// Package dispatch is the duty that runs submissions. It admits them, starts their
// tasks on targets, collects the results, and answers each submission once: with
// all results or with a typed failure.
//
// A task is sent again only when its start was refused or was not sent, so that it
// runs at most once. A submission is reported as not run only when none of its
// tasks may have started.
//
// One goroutine owns all state. Answers of targets and calls of other duties reach
// it as events through a bounded ring.
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
	// RingSize is the maximum number of waiting events.
	RingSize int
	// Submissions is the maximum number of unfinished submissions.
	Submissions int
	// Tick is the time between two checks of deadlines while there is work.
	Tick time.Duration
	// Placer decides which target takes a task, and Limits which profiles may
	// start one.
	Placer Placer
	Limits Limits
	// Admission orders the work.
	Admission *admission.State
	Targets   TargetClient
	// LogEvent records decisions about a submission for operators.
	LogEvent func(keyText string, e submission.Event)
	Scope    tally.Scope
	Log      *slog.Logger
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

// minWait bounds the timer from below, so that a due time in the past does not make
// the duty loop without a pause.
const minWait = time.Millisecond

// limitsInterval is the minimum time between two calls of WantLimits, which visit
// every limit.
const limitsInterval = 5 * time.Millisecond

// idleTick is the time between two ticks of a duty without work.
const idleTick = 250 * time.Millisecond

// Target is one target of the platform's list.
type Target struct {
	ID      string
	Address string
	Rack    string
	Slots   int
	// Leaving targets get no new work.
	Leaving bool
}

// Placer decides which target takes the next task. The duty calls it only from its
// own goroutine.
type Placer interface {
	// SetTargets replaces the known targets.
	SetTargets(now time.Duration, targets []Target)
	// Pick returns a target with a free slot for the next task.
	Pick(now time.Duration) (target string, ok bool)
	// Begin takes a slot of a target that Pick returned.
	Begin(now time.Duration, target, profileName, submission string)
	// End returns the slot and reports how the start ended.
	End(now time.Duration, end End)
	// Want reports how many more tasks could start now.
	Want(now time.Duration, tasks int)
	// Tick does the work that is due. It returns the latest time of its next call;
	// ok is false when none is needed.
	Tick(now time.Duration) (next time.Duration, ok bool)
	// Slots returns the number of usable slots in the failure domain, and the
	// share of its load that this VM carries.
	Slots(now time.Duration) (slots int, share float64)
}

// Limits holds the units of profile limits and team quotas of this VM.
type Limits interface {
	// Usable reports whether a task of the profile may start now.
	Usable(profileName string) bool
	// Take takes a unit of each pool that a task of the profile needs, and returns
	// the pools for Give.
	Take(profileName string) []string
	// Give returns the units.
	Give(now time.Duration, pools []string)
	// SetProfiles replaces the limits.
	SetProfiles(now time.Duration, profiles []profile.Profile, teams []profile.Team)
	// WantLimits calls waiting for each limited profile, and requests units for
	// that many waiting tasks.
	WantLimits(now time.Duration, waiting func(profileName string) int)
}

// End describes how the start of a task at a target ended.
type End struct {
	Target     string
	Submission string
	Profile    string
	// RunTime is the time from start to answer.
	RunTime time.Duration
	Result  Result
	// Reason says why a task was not started.
	Reason targetclient.Reason
	// Load is the target's own report; nil without one.
	Load *targetclient.Load
}

// Result says how a start ended.
type Result int

// The results of a start.
const (
	ResultDone Result = iota
	ResultFailed
	ResultStopped
	// ResultNotStarted means that the target refused it or that it was not sent.
	ResultNotStarted
	// ResultUnreachable means that it was not sent since no connection could be
	// made.
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
	// running counts the starts without an answer.
	running int
	// limitsUpdatedAt is the time of the last call of WantLimits, and limitsWanted
	// says whether tasks waited then.
	limitsUpdatedAt time.Duration
	limitsWanted    bool
	// lastTick is when the duty last checked deadlines and stragglers.
	lastTick time.Duration
	// placerDue is when Tick of the placer must be called again; 0 is never.
	placerDue time.Duration
	starter   *starter
	stopper   *stopper
	revoker   *revoker
	metrics   metrics
	stopped   chan struct{}
}

// New makes a duty, which does nothing before Run.
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
	if o.LogEvent == nil {
		o.LogEvent = func(string, submission.Event) {}
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

// now returns the time since the duty was made, on the monotonic clock.
func (d *Duty) now() time.Duration { return time.Since(d.start) }

// job is an unfinished submission of this VM.
type job struct {
	sub     *submission.Submission
	done    func(*submission.Outcome)
	results []json.RawMessage
	// finished counts results, and begun says that a task may have started.
	finished int
	begun    bool
	inflight map[int]*inflightTask
}

// inflightTask is a task whose start has no answer yet.
type inflightTask struct {
	job     *job
	ref     admission.TaskRef
	target  string
	profile string
	// pools are the limits and quotas of which the task holds a unit.
	pools []string
	// runLimit is the longest run of the task; the target enforces it.
	runLimit time.Duration
	// decidedAt is a time before the view lease was checked for the task. After a
	// process pause the start may be sent much later.
	decidedAt time.Time
	// stopping says that the target was asked to end the task.
	stopping bool
}

// Run processes events and ticks until the context ends.
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
			d.applyWaiting()
		case <-timer.C:
		}
		d.tickWhenDue()
		d.schedule()
		timer.Reset(d.nextTick())
	}
}

// applyWaiting applies the other waiting events, so that one call of schedule
// follows many events.
func (d *Duty) applyWaiting() {
	for range d.events.Len() {
		e := <-d.events.Items()
		e.apply(d)
	}
}

// nextTick returns the time until the next tick of the duty or of the placer.
func (d *Duty) nextTick() time.Duration {
	now := d.now()
	wait := d.lastTick + d.tickInterval() - now
	if d.placerDue > 0 {
		wait = min(wait, d.placerDue-now)
	}
	return max(minWait, wait)
}

// tickInterval returns the time between two ticks.
func (d *Duty) tickInterval() time.Duration {
	if len(d.jobs) > 0 {
		return d.options.Tick
	}
	return idleTick
}

// tickWhenDue calls tick when tickInterval has passed. Run calls it after events as
// well: under load they follow each other so closely that the timer never fires.
func (d *Duty) tickWhenDue() {
	now := d.now()
	if now < d.lastTick+d.tickInterval() {
		return
	}
	d.lastTick = now
	d.tick(now)
}

// tick ends submissions past their deadline and stragglers, releases kept units,
// logs changes of targets' use, and updates the gauges.
func (d *Duty) tick(now time.Duration) {
	for _, g := range d.options.Admission.Expire(now) {
		d.failGivenUp(g)
	}
	for _, s := range d.options.Admission.Stragglers(now) {
		d.handleStraggler(s)
	}
	d.releaseKeptUnits(now)
	d.logVerdicts()
	d.metrics.queued.Update(float64(d.options.Admission.QueueLen()))
	d.metrics.running.Update(float64(d.running))
}

// schedule starts tasks while there are free slots and startable tasks, and then
// reports the remaining demand to the placer and the limits.
func (d *Duty) schedule() {
	now := d.now()
	adm := d.options.Admission
	wanted := 0
	for adm.QueueLen() > 0 {
		targetID, ok := d.options.Placer.Pick(now)
		if !ok {
			wanted = max(0, adm.WantedSlots()-d.running)
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

// wantLimits calls WantLimits at most once in limitsInterval, while tasks wait and
// once after the last one has left the queue.
func (d *Duty) wantLimits(now time.Duration) {
	waiting := d.options.Admission.QueueLen() > 0
	if !waiting && !d.limitsWanted || now < d.limitsUpdatedAt+limitsInterval {
		return
	}
	d.limitsWanted = waiting
	d.limitsUpdatedAt = now
	d.options.Limits.WantLimits(now, d.options.Admission.ProfileQueueLen)
}

// startTask takes the slot and the units of a task, and sends its start.
func (d *Duty) startTask(now time.Duration, ref admission.TaskRef, targetID string) {
	j := d.jobs[string(ref.ID)]
	f := &inflightTask{job: j, ref: ref, target: targetID, profile: j.sub.Profile, decidedAt: d.start.Add(now)}
	j.inflight[ref.Task] = f
	j.begun = true
	d.running++
	d.options.Placer.Begin(now, targetID, f.profile, j.sub.KeyText)
	f.pools = d.options.Limits.Take(f.profile)
	d.options.Admission.RecordStart(now, ref)
	d.metrics.starts.Inc(1)
	d.options.LogEvent(j.sub.KeyText, submission.Event{Text: "started", Task: ref.Task, Target: targetID})
	f.runLimit = d.runLimits[f.profile]
	d.starter.start(f, f.runLimit)
}

// Submit queues a submission whose key was granted to this VM. It calls done once
// with the outcome, at once when the ring is full.
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

// deliver adds an event to the ring and waits while the ring is full, because
// results must not be lost. It drops the event only when the duty has stopped.
func (d *Duty) deliver(e event) {
	for !d.events.Offer(e) {
		select {
		case <-d.stopped:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
