package submission

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
)

// ClaimState is the state of a claimed key.
type ClaimState int

// The claim states.
const (
	// ClaimRunning says that the runner is alive: it runs the key or has run it.
	ClaimRunning ClaimState = iota
	// ClaimLost says that the runner is lost and the outcome of the key unknown.
	ClaimLost
	// ClaimEnded says that the runner left and handed over how the key ended.
	ClaimEnded
	// ClaimUnknown says that there is no record of the key (Lookup only).
	ClaimUnknown
)

// Claim is the failure domain's record of a key.
type Claim struct {
	// Granted says that this VM, and no other, may run the key.
	Granted bool
	// Self says that the runner is this process.
	Self bool
	// RunnerID, RunnerAddress and RunnerIncarnation name the runner.
	RunnerID          string
	RunnerAddress     string
	RunnerIncarnation uint64
	State             ClaimState
	// Run is how an ended key ended.
	Run api.RunState
}

// Claims is the claim duty, as submissions use it. Errors are *api.Failure.
type Claims interface {
	Claim(ctx context.Context, k key.Key) (Claim, error)
	Lookup(ctx context.Context, k key.Key) (Claim, error)
	// Burn refuses a key permanently unless a process has it. When it is granted, the
	// key is never started.
	Burn(ctx context.Context, k key.Key) (Claim, error)
	SetOutcome(k key.Key, run api.RunState)
}

// Dispatcher is the dispatch duty, as submissions use it.
type Dispatcher interface {
	// Submit admits and runs a submission; done is called exactly once.
	Submit(s *Submission, done func(*Outcome))
	// Cancel asks for the end of a submission that was passed to Submit.
	Cancel(keyText string)
	// Look returns the state and the progress of an unfinished submission.
	Look(keyText string) (state string, tasks, tasksDone int)
}

// Peers sends requests to the runners of submissions at other VMs.
type Peers interface {
	Wait(ctx context.Context, address string, request *peerpb.WaitRequest) (*peerpb.WaitResponse, error)
}

// Domains sends requests to the other failure domains.
type Domains interface {
	// Burn asks the home failure domain of a key to burn it and returns the state of
	// the key there, in a short bounded time.
	Burn(ctx context.Context, k key.Key) *peerpb.BurnResponse
}

// Options are the settings of a Service.
type Options struct {
	// Domain is this VM's failure domain, VM its id.
	Domain, VM string
	// CallersAddress is where callers reach this VM, "IP:port".
	CallersAddress string
	// AnswerBytes bounds the answers that are kept.
	AnswerBytes int64
	// SubmissionBytes bounds the size of the submissions without outcome; 0 means no bound.
	SubmissionBytes int64
	// ClaimTimeout bounds a claim or lookup, which may have to wait for a view change.
	ClaimTimeout time.Duration
	// DrainRetryAfter is the time after which a caller that was refused because of a
	// planned stop may retry.
	DrainRetryAfter time.Duration
	Claims          Claims
	Dispatcher      Dispatcher
	Peers           Peers
	Domains         Domains
	Scope           tally.Scope
}

// Service serves submissions of callers and questions of other VMs about them.
type Service struct {
	options      Options
	table        *table
	draining     atomic.Bool
	explanations *explanations
	tracer       trace.Tracer

	claims, joined, granted, burned tally.Counter
}

// NewService returns a service.
func NewService(o Options) *Service {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Service{
		options:      o,
		table:        newTable(o.AnswerBytes, o.SubmissionBytes),
		explanations: newExplanations(maxExplanations),
		tracer:       otel.Tracer("burdockward/submission"),
		claims:       o.Scope.Counter("claims"),
		joined:       o.Scope.Counter("submissions_joined"),
		granted:      o.Scope.Counter("submissions_granted"),
		burned:       o.Scope.Counter("keys_burned"),
	}
}

// Submit runs or joins a submission and waits for its outcome. It returns nil when the
// caller's context ends first; the submission continues without its caller.
func (s *Service) Submit(ctx context.Context, sub *Submission) *Outcome {
	for {
		e := s.reserve(sub)
		if e == nil {
			return Refused(tooMuchHeld(sub.KeyText))
		}
		same := e.fingerprint == sub.Fingerprint
		if !same && s.runsHere(ctx, e) {
			return Refused(conflictFailure(sub.KeyText))
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil
		}
		if same {
			return e.outcome
		}
		// The other content was not granted here, so this one may be the one that runs.
	}
}

// reserve returns the entry of a key. For a new entry it starts the claim. It returns nil if
// the submissions without outcome hold too much memory for another one.
func (s *Service) reserve(sub *Submission) *entry {
	e, first := s.table.reserve(sub.KeyText, sub.Fingerprint, sub.bytes())
	if first {
		go s.runOrJoin(e, sub)
	} else if e != nil && e.fingerprint == sub.Fingerprint {
		s.joined.Inc(1)
	}
	return e
}

// runsHere waits for the claim of an entry and reports whether this VM runs it. Before
// that it is not decided which content of the key runs, and the dispatch duty does not
// have the submission yet.
func (s *Service) runsHere(ctx context.Context, e *entry) bool {
	select {
	case <-e.decided:
		return s.table.isLocal(e)
	case <-ctx.Done():
		return false
	}
}

// runOrJoin claims the key of a reserved entry. Then it runs the submission here or waits
// for the VM that has the key, and ends the entry.
func (s *Service) runOrJoin(e *entry, sub *Submission) {
	ctx := trace.ContextWithSpanContext(context.Background(), sub.Span)
	claim, err := s.claim(ctx, sub)
	if err != nil {
		s.endEntry(e, sub.Key, Refused(asFailure(err, sub.KeyText)))
		return
	}
	if !claim.Granted {
		s.joined.Inc(1)
		s.explanations.add(sub.KeyText, "the key is already claimed by "+claim.RunnerID+": waiting there for its answer")
		s.table.markDecided(e)
		s.endEntry(e, sub.Key, s.join(ctx, sub.Key, sub.Fingerprint, claim))
		return
	}
	s.granted.Inc(1)
	s.table.setLocal(e)
	s.explanations.setProfile(sub.KeyText, sub.Profile)
	s.explanations.add(sub.KeyText, "granted to this VM")
	if s.draining.Load() {
		s.endEntry(e, sub.Key, Refused(s.drainingFailure(sub.KeyText)))
		return
	}
	s.options.Dispatcher.Submit(sub, func(o *Outcome) { s.endEntry(e, sub.Key, o) })
	s.table.markDecided(e)
}

// claim claims the key in the failure domain, in a span of its own.
func (s *Service) claim(ctx context.Context, sub *Submission) (Claim, error) {
	ctx, span := s.tracer.Start(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	s.claims.Inc(1)
	return s.options.Claims.Claim(ctx, sub.Key)
}

// endEntry stores the outcome of an entry, and reports it to the claim duty if this VM
// ran the submission.
func (s *Service) endEntry(e *entry, k key.Key, o *Outcome) {
	if s.table.isLocal(e) {
		s.options.Claims.SetOutcome(k, o.Run)
	}
	if o.Kind != "" {
		s.explanations.add(e.keyText, "ended: "+string(o.Kind)+", "+string(o.Run))
	} else {
		s.explanations.add(e.keyText, "answered whole")
	}
	s.table.finish(e, o)
}

// Drain makes the service refuse new submissions as not run.
func (s *Service) Drain() { s.draining.Store(true) }

// Abandon ends all unfinished entries with a failure, when the time of a planned stop is
// over. Their callers still wait for answers of other VMs.
func (s *Service) Abandon() {
	for _, e := range s.table.unfinishedEntries() {
		s.table.finish(e, Refused(&api.Failure{
			Kind:         api.KindUnavailable,
			Message:      "this VM stopped while it waited for the answer: ask another VM for the answer of this key",
			Run:          api.OutcomeUnknown,
			RetryAfterMS: s.options.DrainRetryAfter.Milliseconds(),
			Key:          e.keyText,
		}))
	}
}

// State returns the name of a submission's state at this VM.
func (s *Service) State(keyText string) string {
	e := s.table.get(keyText)
	switch {
	case e == nil:
		return "not here"
	case isDone(e):
		return "ended"
	case !s.table.isLocal(e):
		return "waiting for another VM"
	}
	state, _, _ := s.options.Dispatcher.Look(keyText)
	return state
}

// KeptAnswers returns the size of the kept answers in bytes and how many were dropped so
// far.
func (s *Service) KeptAnswers() (bytes, dropped int64) { return s.table.keptAnswers() }

// Unfinished returns the number of submissions without outcome.
func (s *Service) Unfinished() int { return s.table.unfinished() }

// Explain returns the recorded events of a key.
func (s *Service) Explain(keyText string) Explanation { return s.explanations.get(keyText) }

// AddEvent adds an event to the explanation of a key.
func (s *Service) AddEvent(keyText string, e Event) { s.explanations.addEvent(keyText, e) }

func (s *Service) drainingFailure(keyText string) *api.Failure {
	return &api.Failure{
		Kind:         api.KindDraining,
		Message:      "this VM is stopping: submit again under a new key, the balancer leads to another VM",
		Run:          api.NotRun,
		RetryAfterMS: s.options.DrainRetryAfter.Milliseconds(),
		Key:          keyText,
	}
}

func conflictFailure(keyText string) *api.Failure {
	return &api.Failure{
		Kind:    api.KindKeyConflict,
		Message: "the key belongs to a submission with other content, which may have run; nothing of this content was started: use a new key for each submission",
		Run:     api.OutcomeUnknown,
		Key:     keyText,
	}
}

// asFailure returns the failure in err, or else an "unavailable" one, for the key.
func asFailure(err error, keyText string) *api.Failure {
	var f *api.Failure
	if errors.As(err, &f) {
		copied := *f
		copied.Key = keyText
		return &copied
	}
	return &api.Failure{
		Kind:         api.KindUnavailable,
		Message:      "the failure domain can't decide about the key now (" + err.Error() + "): ask for the answer of this key later, or submit under a new key if this was its first attempt",
		Run:          api.OutcomeUnknown,
		RetryAfterMS: time.Second.Milliseconds(),
		Key:          keyText,
	}
}

// Start begins a submission without waiting for its outcome. It returns a refusal when
// the key belongs to other content, else nil.
func (s *Service) Start(sub *Submission) *Outcome {
	e := s.reserve(sub)
	if e == nil {
		return Refused(tooMuchHeld(sub.KeyText))
	}
	if e.fingerprint == sub.Fingerprint {
		return nil
	}
	if s.runsHere(context.Background(), e) {
		return Refused(conflictFailure(sub.KeyText))
	}
	go s.Submit(context.Background(), sub)
	return nil
}

// tooMuchHeld returns the refusal of a submission that was not claimed, since those without
// outcome hold too much memory. An earlier attempt with the key may have run.
func tooMuchHeld(keyText string) *api.Failure {
	return &api.Failure{
		Kind:         api.KindOverloaded,
		Message:      "this VM holds as many bytes of submissions as it can: this attempt started nothing; come back with the same key",
		Run:          api.OutcomeUnknown,
		RetryAfterMS: time.Second.Milliseconds(),
		Key:          keyText,
	}
}
