// Package frontend serves the callers' HTTP interface, described in docs/API.md.
//
// It reads and checks requests, passes submissions and questions about keys to the
// submission service, and writes outcomes as responses. The size of a request, the
// number of callers that wait and the time to write a response are bounded. A request
// is reported as not run only when no VM can have started it.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/submission"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// writeTimeout bounds the writing of one answer. Answers are some megabytes at most. A
// caller that reads more slowly would keep a place from other callers and delay a planned
// stop.
const writeTimeout = 30 * time.Second

// Service is the part of the submission service that the interface uses.
type Service interface {
	Submit(ctx context.Context, s *submission.Submission) *submission.Outcome
	Start(s *submission.Submission) *submission.Outcome
	Ask(ctx context.Context, k key.Key, ask submission.Ask) submission.Reply
	AskForeign(ctx context.Context, k key.Key) *submission.Outcome
	SubmitForeign(ctx context.Context, k key.Key) *submission.Outcome
}

// Options are the settings of the interface.
type Options struct {
	// Domain is the failure domain of this VM, VM its id.
	Domain, VM string
	// MaxBodyBytes bounds a request body in bytes, MaxTasks the tasks in it.
	MaxBodyBytes int64
	MaxTasks     int
	// MaxInFlight bounds the number of submit requests in progress at this VM.
	MaxInFlight int
	// Epoch returns the epoch token for new keys; it is empty while there is none.
	Epoch func() string
	// Ready reports whether the balancer should send work here.
	Ready   func() bool
	Service Service
	Scope   tally.Scope
}

// Server serves callers.
type Server struct {
	options  Options
	inFlight chan struct{}
	tracer   trace.Tracer
	requests tally.Counter
	answers  tally.Counter
	scope    tally.Scope
	latency  tally.Histogram
}

// New returns a server.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &Server{
		options:  o,
		inFlight: make(chan struct{}, o.MaxInFlight),
		tracer:   otel.Tracer("burdockward/frontend"),
		requests: o.Scope.Counter("requests"),
		answers:  o.Scope.Tagged(map[string]string{"kind": "answer"}).Counter("messages_sent"),
		scope:    o.Scope,
		latency:  o.Scope.Histogram("response_time", buckets),
	}
}

// Handler returns the handler of the callers' port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/submissions", s.submit)
	mux.HandleFunc("GET /v1/submissions/{key}", s.ask(submission.AskState))
	mux.HandleFunc("GET /v1/submissions/{key}/answer", s.ask(submission.AskAnswer))
	mux.HandleFunc("DELETE /v1/submissions/{key}", s.ask(submission.AskCancel))
	mux.HandleFunc("GET /v1/epoch", s.epoch)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	return s.withHeaders(mux)
}

// withHeaders adds the failure domain, the VM and the epoch to every response.
func (s *Server) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(api.HeaderDomain, s.options.Domain)
		h.Set(api.HeaderRunner, s.options.VM)
		if epoch := s.options.Epoch(); epoch != "" {
			h.Set(api.HeaderEpoch, epoch)
		}
		if r.Method == http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		// No other request needs its body. A handler that panics sends no answer.
		discard := intake.LeaveBody(w, r)
		next.ServeHTTP(w, r)
		discard()
	})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.options.Ready() {
		http.Error(w, "not ready: starting or stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// epochBody is the body of GET /v1/epoch.
type epochBody struct {
	Domain    string `json:"failure_domain"`
	Epoch     string `json:"epoch"`
	KeyPrefix string `json:"key_prefix"`
}

func (s *Server) epoch(w http.ResponseWriter, _ *http.Request) {
	epoch := s.options.Epoch()
	if epoch == "" {
		s.write(w, submission.Refused(&api.Failure{
			Kind:         api.KindUnavailable,
			Message:      "this VM has no epoch yet: ask again or ask another VM of the failure domain",
			Run:          api.NotRun,
			RetryAfterMS: time.Second.Milliseconds(),
		}))
		return
	}
	writeJSON(w, http.StatusOK, epochBody{
		Domain:    s.options.Domain,
		Epoch:     epoch,
		KeyPrefix: s.options.Domain + "." + epoch + ".",
	})
}

// submit serves a submission, unless MaxInFlight requests are in progress.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	s.requests.Inc(1)
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		defer intake.LeaveBody(w, r)()
		s.write(w, submission.Refused(tooManyInFlight()))
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "submit", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	conn := intake.ConnOf(r.Context())
	body, held, err := conn.ReadRequest(r, s.options.MaxBodyBytes)
	if err != nil {
		defer intake.LeaveBody(w, r)()
		s.write(w, submission.Refused(s.bodyFailure(err)))
		return
	}
	sub, held, failure := s.decodeWithin(conn, body, held)
	defer func() { conn.Account().Release(held) }()
	if failure != nil {
		s.write(w, submission.Refused(failure))
		return
	}
	sub.Span = trace.SpanContextFromContext(ctx)
	s.answer(ctx, w, r, sub)
	s.latency.RecordDuration(time.Since(start))
}

// answer runs or starts a submission, or burns its key if it belongs to another failure
// domain, and writes the response.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, sub *submission.Submission) {
	if sub.Key.Domain != s.options.Domain {
		s.write(w, s.options.Service.SubmitForeign(ctx, sub.Key))
		return
	}
	if r.URL.Query().Get("wait") != "false" {
		s.write(w, s.options.Service.Submit(ctx, sub))
		return
	}
	if o := s.options.Service.Start(sub); o != nil {
		s.write(w, o)
		return
	}
	writeJSON(w, http.StatusAccepted, api.Status{Key: sub.KeyText, State: "accepted", Runner: s.options.VM, Tasks: len(sub.Tasks)})
}

// decodeWithin decodes and checks a body that holds bytes of the connection's account, and
// returns what the account holds for the submission instead. No VM can start a request that
// it refuses as malformed, so "not run" is true for it without a claim.
func (s *Server) decodeWithin(conn *intake.Conn, body []byte, held int64) (sub *submission.Submission, kept int64, failure *api.Failure) {
	// Decoding copies each payload once.
	copies := int64(len(body))
	if err := conn.ReserveDecoding(copies); err != nil {
		return nil, held, s.bodyFailure(err)
	}
	sub, failure = s.decode(body)
	conn.Account().Release(held)
	return sub, copies, failure
}

// decode decodes and checks the body of a submission.
func (s *Server) decode(body []byte) (*submission.Submission, *api.Failure) {
	var request api.Submission
	if err := json.Unmarshal(body, &request); err != nil {
		if tooMany, ok := errors.AsType[*api.TooManyTasksError](err); ok {
			return nil, &api.Failure{Kind: api.KindTooLarge, Message: tooMany.Error(), Run: api.NotRun, Key: request.Key}
		}
		return nil, malformed("the body is not a JSON submission (" + err.Error() + "): see docs/API.md for the form")
	}
	k, err := key.Parse(request.Key)
	if err != nil {
		return nil, &api.Failure{Kind: api.KindInvalidKey, Message: err.Error(), Run: api.NotRun}
	}
	if failure := s.check(&request); failure != nil {
		failure.Key = request.Key
		return nil, failure
	}
	return submission.New(&request, k), nil
}

func (s *Server) bodyFailure(err error) *api.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &api.Failure{
			Kind:    api.KindTooLarge,
			Message: fmt.Sprintf("the body is larger than %d bytes: split the submission or pass large data by reference", s.options.MaxBodyBytes),
			Run:     api.NotRun,
		}
	}
	if errors.Is(err, intake.ErrFull) {
		return tooMuchHeld(err)
	}
	// The key was not read, and an earlier attempt with it may have run.
	return &api.Failure{
		Kind:    api.KindUnavailable,
		Message: "the body broke off (" + err.Error() + "): this attempt started nothing; send it whole with the same key",
		Run:     api.OutcomeUnknown,
	}
}

// check returns the failure of a request that is not valid, or nil.
func (s *Server) check(request *api.Submission) *api.Failure {
	switch {
	case request.Profile == "":
		return malformed("the submission names no profile: set \"profile\" to one that the operators offer")
	case len(request.Tasks) == 0:
		return malformed("the submission has no tasks: put at least one into \"tasks\"")
	case len(request.Tasks) > s.options.MaxTasks:
		return &api.Failure{
			Kind:    api.KindTooLarge,
			Message: fmt.Sprintf("the submission has %d tasks, at most %d are taken: split it", len(request.Tasks), s.options.MaxTasks),
			Run:     api.NotRun,
		}
	case request.DeadlineMS < 0:
		return malformed("\"deadline_ms\" is negative: give the milliseconds that you can wait, or leave it out")
	}
	return checkTasks(request.Tasks)
}

func checkTasks(tasks []api.Task) *api.Failure {
	for i, task := range tasks {
		if len(task.Payload) == 0 {
			return malformed(fmt.Sprintf("task %d has no payload: put any JSON value into \"payload\"", i))
		}
		if task.ExpectedMS < 0 {
			return malformed(fmt.Sprintf("task %d has a negative \"expected_ms\": give milliseconds, or leave it out", i))
		}
	}
	return nil
}

// ask returns the handler of one kind of question about a key.
func (s *Server) ask(ask submission.Ask) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.Inc(1)
		k, err := key.Parse(r.PathValue("key"))
		if err != nil {
			s.write(w, submission.Refused(&api.Failure{Kind: api.KindInvalidKey, Message: err.Error(), Run: api.NotRun}))
			return
		}
		if k.Domain != s.options.Domain {
			s.write(w, s.options.Service.AskForeign(r.Context(), k))
			return
		}
		reply := s.options.Service.Ask(r.Context(), k, ask)
		if reply.Outcome != nil {
			s.write(w, reply.Outcome)
			return
		}
		writeJSON(w, http.StatusOK, reply.Status)
	}
}

// write sends an outcome. A nil outcome means that the caller has gone. The caller may
// have closed only its sending side and still read, so the connection is closed:
// returning would send an empty answer with status 200.
func (s *Server) write(w http.ResponseWriter, o *submission.Outcome) {
	if o == nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(o.Body)))
	if o.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(o.RetryAfter), 10))
	}
	boundWriting(w)
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
	s.answers.Inc(1)
	if o.Kind != "" {
		s.scope.Tagged(map[string]string{"kind": string(o.Kind)}).Counter("failures_answered").Inc(1)
	}
}

// wholeSeconds rounds up to seconds, because Retry-After has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// boundWriting sets the deadline for writing to writeTimeout from now. The ignored error
// means that the writer has no deadlines, such as those of tests.
func boundWriting(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	boundWriting(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func malformed(message string) *api.Failure {
	return &api.Failure{Kind: api.KindMalformed, Message: message, Run: api.NotRun}
}

// tooManyInFlight returns the refusal of a request whose key was not read. An earlier
// attempt with the same key may have run.
func tooManyInFlight() *api.Failure {
	return &api.Failure{
		Kind:         api.KindOverloaded,
		Message:      "this VM serves as many callers as it can: this attempt started nothing; come back with the same key",
		Run:          api.OutcomeUnknown,
		RetryAfterMS: time.Second.Milliseconds(),
	}
}

// tooMuchHeld returns the refusal of a request that the memory for requests did not hold.
// Its key was not read.
func tooMuchHeld(err error) *api.Failure {
	return &api.Failure{
		Kind:         api.KindOverloaded,
		Message:      err.Error() + "; this attempt started nothing, use the same key",
		Run:          api.OutcomeUnknown,
		RetryAfterMS: time.Second.Milliseconds(),
	}
}
