package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/burdockward/burdockward/targetclient"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// leaseMargin is the time before the end of a lease in which it is no longer
// used, so that a start does not reach the target after the lease has expired.
const leaseMargin = 250 * time.Millisecond

// maxStartDelay is the longest time from the decision to start a task to sending
// its start. A later start is not sent, and its task is requeued. The time covers
// one request for a lease.
const maxStartDelay = 2 * time.Second

// starter sends starts to targets, each from a goroutine of its own, and acquires
// the leases that they need.
type starter struct {
	client  TargetClient
	holder  string
	deliver func(event)
	tracer  trace.Tracer
	leases  tally.Counter

	mu      sync.Mutex
	targets map[string]*targetLease
}

// targetLease is this VM's lease at one target.
type targetLease struct {
	address string
	// acquiring is held while one goroutine requests a lease; the others wait.
	acquiring sync.Mutex

	mu      sync.Mutex
	id      string
	ttl     time.Duration
	expires time.Time
}

func newStarter(client TargetClient, holder string, scope tally.Scope, deliver func(event)) *starter {
	return &starter{
		client:  client,
		holder:  holder,
		deliver: deliver,
		tracer:  otel.Tracer("burdockward/dispatch"),
		leases:  scope.Tagged(map[string]string{"kind": "lease"}).Counter("messages_sent"),
		targets: map[string]*targetLease{},
	}
}

// setTargets replaces the known targets. A target at another address is another
// process, which does not know the lease of the previous one.
func (s *starter) setTargets(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*targetLease, len(targets))
	for _, t := range targets {
		if known := s.targets[t.ID]; known != nil && known.address == t.Address {
			next[t.ID] = known
			continue
		}
		next[t.ID] = &targetLease{address: t.Address}
	}
	s.targets = next
}

// lease returns the lease at a target; nil when the target is unknown.
func (s *starter) lease(id string) *targetLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

// start sends the start of a task and delivers its end.
func (s *starter) start(f *inflightTask, runLimit time.Duration) {
	go func() { s.deliver(s.run(f, runLimit)) }()
}

// run acquires a lease, sends the start and waits for its answer. It sends nothing
// without a lease or after maxStartDelay.
func (s *starter) run(f *inflightTask, runLimit time.Duration) *endedEvent {
	ctx := trace.ContextWithSpanContext(context.Background(), f.job.sub.Span)
	ctx, span := s.tracer.Start(ctx, "start", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("target", f.target), attribute.Int("task", f.ref.Task))
	l := s.lease(f.target)
	if l == nil {
		return &endedEvent{task: f, result: ResultNotStarted, reason: targetclient.ReasonLeaving}
	}
	id, err := s.acquire(ctx, l)
	if err != nil {
		return s.leaseFailed(f, err)
	}
	if time.Since(f.decidedAt) > maxStartDelay {
		// The process was paused. Other VMs may use its slots and units by now.
		return &endedEvent{task: f, result: ResultNotStarted, reason: targetclient.ReasonCancelled}
	}
	return s.send(ctx, f, l, id, runLimit)
}

// acquire returns a lease that is valid for at least leaseMargin, and requests one
// when there is none.
func (s *starter) acquire(ctx context.Context, l *targetLease) (string, error) {
	if id, ok := l.current(); ok {
		return id, nil
	}
	l.acquiring.Lock()
	defer l.acquiring.Unlock()
	if id, ok := l.current(); ok {
		return id, nil
	}
	asked := time.Now()
	s.leases.Inc(1)
	lease, err := s.client.Lease(ctx, l.address, s.holder)
	if err != nil {
		return "", err
	}
	l.set(lease, asked)
	s.deliver(&leaseEvent{ttl: lease.TTL()})
	return lease.ID, nil
}

// leaseFailed returns the end of a start that was not sent for lack of a lease.
func (s *starter) leaseFailed(f *inflightTask, err error) *endedEvent {
	e := &endedEvent{task: f, result: ResultUnreachable, reason: targetclient.ReasonUnreachable, err: err}
	var refused *targetclient.LeaseRefusedError
	if errors.As(err, &refused) {
		e.result = ResultNotStarted
		e.reason = refused.Reason
	}
	return e
}

// send sends the start and returns its end.
func (s *starter) send(ctx context.Context, f *inflightTask, l *targetLease, lease string, runLimit time.Duration) *endedEvent {
	sent := time.Now()
	response, err := s.client.Start(ctx, l.address, targetclient.StartRequest{
		Submission: string(f.ref.ID),
		Task:       f.ref.Task,
		Lease:      lease,
		RunLimitMS: runLimit.Milliseconds(),
		Limits:     append([]string{}, f.pools...),
		Payload:    f.job.sub.Tasks[f.ref.Task].Payload,
	})
	e := &endedEvent{task: f, runTime: time.Since(sent)}
	if err != nil {
		return s.startFailed(e, l, lease, err)
	}
	l.renew(lease, sent)
	e.load = &response.Load
	switch response.Outcome {
	case targetclient.OutcomeDone:
		e.result = ResultDone
		e.value = response.Result
	case targetclient.OutcomeStopped:
		e.result = ResultStopped
	default:
		e.result = ResultFailed
		e.err = errors.New(response.Error)
	}
	return e
}

// startFailed completes the end of a start that returned an error. Only a
// NotStartedError proves that the task did not run.
func (s *starter) startFailed(e *endedEvent, l *targetLease, lease string, err error) *endedEvent {
	e.err = err
	var notStarted *targetclient.NotStartedError
	if !errors.As(err, &notStarted) {
		e.result = ResultUnknown
		return e
	}
	e.result = ResultNotStarted
	e.reason = notStarted.Reason
	e.load = notStarted.Load
	switch notStarted.Reason {
	case targetclient.ReasonUnreachable, targetclient.ReasonCancelled:
		e.result = ResultUnreachable
	case targetclient.ReasonLeaseLapsed:
		l.drop(lease)
	}
	return e
}

// current returns the lease if it is valid for at least leaseMargin.
func (l *targetLease) current() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == "" || time.Until(l.expires) < leaseMargin {
		return "", false
	}
	return l.id, true
}

// set stores a new lease. Its time counts from before it was requested.
func (l *targetLease) set(lease targetclient.Lease, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = lease.ID
	l.ttl = lease.TTL()
	l.expires = asked.Add(l.ttl)
}

// renew extends the lease after an accepted start, which the target counts as a
// renewal. The new time counts from when the start was sent.
func (l *targetLease) renew(id string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id && sent.Add(l.ttl).After(l.expires) {
		l.expires = sent.Add(l.ttl)
	}
}

// drop removes a lease that the target no longer knows.
func (l *targetLease) drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = ""
	}
}

// leaseLeft returns the time until the lease of a target expires; 0 without one.
func (s *starter) leaseLeft(id string) time.Duration {
	l := s.lease(id)
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == "" {
		return 0
	}
	return max(0, time.Until(l.expires))
}
