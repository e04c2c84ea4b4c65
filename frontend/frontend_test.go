package frontend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/submission"
	"github.com/shoenig/test/must"
)

// fakeService answers every submission with reply, and keeps the last one.
type fakeService struct {
	last    *submission.Submission
	started bool
	ask     submission.Ask
	reply   submission.Reply
	// wait, if set, blocks Submit until it is closed. entered is closed when Submit is
	// called.
	wait, entered chan struct{}
}

func (f *fakeService) Submit(_ context.Context, s *submission.Submission) *submission.Outcome {
	f.last = s
	if f.wait != nil {
		close(f.entered)
		<-f.wait
	}
	return f.reply.Outcome
}

func (f *fakeService) Start(s *submission.Submission) *submission.Outcome {
	f.last, f.started = s, true
	return f.reply.Outcome
}

func (f *fakeService) Ask(_ context.Context, _ key.Key, ask submission.Ask) submission.Reply {
	f.ask = ask
	return f.reply
}

func (f *fakeService) AskForeign(_ context.Context, k key.Key) *submission.Outcome {
	return submission.Refused(&api.Failure{Kind: api.KindWrongDomain, Message: "elsewhere", Run: api.OutcomeUnknown, Key: k.String()})
}

func (f *fakeService) SubmitForeign(_ context.Context, k key.Key) *submission.Outcome {
	return submission.Refused(&api.Failure{Kind: api.KindWrongDomain, Message: "burned", Run: api.OutcomeUnknown, Key: k.String()})
}

func newServer(f *fakeService, change func(*Options)) *Server {
	o := Options{
		Domain: "a", VM: "vm1", MaxBodyBytes: 1000, MaxTasks: 3, MaxInFlight: 1,
		Epoch:   func() string { return "e" },
		Ready:   func() bool { return true },
		Service: f,
	}
	if change != nil {
		change(&o)
	}
	return New(o)
}

// answered is an answer so large that the server would send it in chunks if it had no
// Content-Length.
var answered = submission.Answered("a.e.k", []json.RawMessage{[]byte(`"` + strings.Repeat("x", 9000) + `"`)})

func do(h http.Handler, method, path, body string) *http.Response {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Result()
}

// failureOf returns the failure in a response, which must have all parts of a failure.
func failureOf(t *testing.T, r *http.Response) *api.Failure {
	t.Helper()
	var body api.FailureBody
	must.NoError(t, json.NewDecoder(r.Body).Decode(&body))
	must.NotNil(t, body.Error)
	must.NotEq(t, "", body.Error.Message)
	must.Eq(t, submission.StatusOf(body.Error.Kind), r.StatusCode)
	must.Eq(t, "application/json", r.Header.Get("Content-Type"))
	return body.Error
}

const validBody = `{"key":"a.e.k","profile":"p","tasks":[{"payload":1}]}`

func TestMalformedSubmissionsAreRefused(t *testing.T) {
	with := func(more string) string { return `{"key":"a.e.k","profile":"p",` + more + `}` }
	for name, c := range map[string]struct {
		body string
		kind api.Kind
		says string
	}{
		"no JSON":            {`{"key":`, api.KindMalformed, "not a JSON"},
		"more than one":      {validBody + validBody, api.KindMalformed, "not a JSON"},
		"body too large":     {with(`"tasks":[{"payload":"` + strings.Repeat("x", 1000) + `"}]`), api.KindTooLarge, "1000 bytes"},
		"too many tasks":     {with(`"tasks":[{"payload":1},{"payload":1},{"payload":1},{"payload":1}]`), api.KindTooLarge, "at most 3"},
		"no key":             {`{"profile":"p","tasks":[{"payload":1}]}`, api.KindInvalidKey, "three parts"},
		"bad key":            {strings.Replace(validBody, "a.e.k", "a.e.k/", 1), api.KindInvalidKey, "unique part"},
		"other domain":       {strings.Replace(validBody, "a.e.k", "b.e.k", 1), api.KindWrongDomain, ""},
		"no profile":         {`{"key":"a.e.k","tasks":[{"payload":1}]}`, api.KindMalformed, "profile"},
		"no tasks":           {with(`"tasks":[]`), api.KindMalformed, "no tasks"},
		"no payload":         {with(`"tasks":[{"payload":1},{}]`), api.KindMalformed, "task 1 has no payload"},
		"negative deadline":  {with(`"deadline_ms":-1,"tasks":[{"payload":1}]`), api.KindMalformed, "deadline_ms"},
		"negative estimate":  {with(`"tasks":[{"payload":1,"expected_ms":-1}]`), api.KindMalformed, "expected_ms"},
		"fraction of a time": {with(`"deadline_ms":1.5,"tasks":[{"payload":1}]`), api.KindMalformed, "not a JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeService{reply: submission.Reply{Outcome: answered}}
			r := do(newServer(f, nil).Handler(), "POST", "/v1/submissions", c.body)
			e := failureOf(t, r)
			must.Eq(t, c.kind, e.Kind)
			must.Eq(t, c.kind == api.KindWrongDomain, e.Run != api.NotRun)
			must.StrContains(t, e.Message+" ", c.says)
			must.Nil(t, f.last)
			must.Eq(t, "e", r.Header.Get(api.HeaderEpoch))
		})
	}
}

// A caller sends a part of the body. An earlier attempt may have arrived completely, so
// "not run" may be wrong.
func TestTruncatedBodyLeavesOutcomeUnknown(t *testing.T) {
	e := failureOf(t, sendAndClose(t, len(validBody)+1))
	must.Eq(t, api.KindUnavailable, e.Kind)
	must.Eq(t, api.OutcomeUnknown, e.Run)
}

// sendAndClose sends a valid body under a Content-Length of length, closes the sending
// side of the connection and returns the response, or nil if there is none.
func sendAndClose(t *testing.T, length int) *http.Response {
	t.Helper()
	server := httptest.NewServer(newServer(&fakeService{}, nil).Handler())
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, validBody)
	must.NoError(t, err)
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	r, _ := http.ReadResponse(bufio.NewReader(c), nil)
	return r
}

// A submission ends without outcome: its caller has closed its sending side but still
// reads.
func TestNoOutcomeClosesConnectionWithoutResponse(t *testing.T) {
	must.Nil(t, sendAndClose(t, len(validBody)))
}

func TestAnswerIsSentWholeWithLength(t *testing.T) {
	f := &fakeService{reply: submission.Reply{Outcome: answered}}
	server := httptest.NewServer(newServer(f, nil).Handler())
	defer server.Close()
	r, err := http.Post(server.URL+"/v1/submissions", "application/json", strings.NewReader(validBody))
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.Eq(t, string(answered.Body), string(body))
	must.Eq(t, 200, r.StatusCode)
	// By Content-Length the caller detects a truncated answer.
	must.Eq(t, strconv.Itoa(len(answered.Body)), r.Header.Get("Content-Length"))
	must.Eq(t, "a.e.k", f.last.KeyText)
	must.False(t, f.started)
}

func TestSubmitWithoutWaitIsAccepted(t *testing.T) {
	f := &fakeService{}
	h := newServer(f, nil).Handler()
	r := do(h, "POST", "/v1/submissions?wait=false", validBody)
	var status api.Status
	must.NoError(t, json.NewDecoder(r.Body).Decode(&status))
	must.Eq(t, 202, r.StatusCode)
	must.Eq(t, api.Status{Key: "a.e.k", State: "accepted", Runner: "vm1", Tasks: 1}, status)
	must.True(t, f.started)
	f.reply.Outcome = submission.Refused(&api.Failure{Kind: api.KindKeyConflict, Message: "used"})
	must.Eq(t, api.KindKeyConflict, failureOf(t, do(h, "POST", "/v1/submissions?wait=false", validBody)).Kind)
}

func TestQuestionsReachServiceForOwnKeysOnly(t *testing.T) {
	f := &fakeService{reply: submission.Reply{Status: &api.Status{Key: "a.e.k", State: "queued"}}}
	h := newServer(f, nil).Handler()
	for _, c := range []struct {
		method, path string
		ask          submission.Ask
	}{
		{"GET", "/v1/submissions/a.e.k", submission.AskState},
		{"GET", "/v1/submissions/a.e.k/answer", submission.AskAnswer},
		{"DELETE", "/v1/submissions/a.e.k", submission.AskCancel},
	} {
		f.ask = -1
		r := do(h, c.method, c.path, "")
		must.Eq(t, 200, r.StatusCode)
		must.Eq(t, c.ask, f.ask)
		must.Eq(t, api.KindInvalidKey, failureOf(t, do(h, c.method, strings.Replace(c.path, "a.e.k", "a.e", 1), "")).Kind)
		f.ask = -1
		r = do(h, c.method, strings.Replace(c.path, "a.e.k", "b.e.k", 1), "")
		must.Eq(t, 421, r.StatusCode)
		must.Eq(t, -1, f.ask)
	}
	f.reply = submission.Reply{Outcome: submission.Refused(&api.Failure{Kind: api.KindNotFound, Message: "unknown"})}
	must.Eq(t, 404, do(h, "GET", "/v1/submissions/a.e.k", "").StatusCode)
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	for ms, seconds := range map[int64]string{0: "", 1: "1", 999: "1", 1000: "1", 1001: "2", 2500: "3"} {
		o := submission.Refused(&api.Failure{Kind: api.KindOverloaded, RetryAfterMS: ms})
		r := do(newServer(&fakeService{reply: submission.Reply{Outcome: o}}, nil).Handler(), "POST", "/v1/submissions", validBody)
		must.Eq(t, seconds, r.Header.Get("Retry-After"), must.Sprint(ms))
	}
}

func TestTooManyInFlightAreRefused(t *testing.T) {
	f := &fakeService{reply: submission.Reply{Outcome: answered}, wait: make(chan struct{}), entered: make(chan struct{})}
	h := newServer(f, nil).Handler()
	first := make(chan *http.Response)
	go func() { first <- do(h, "POST", "/v1/submissions", validBody) }()
	<-f.entered
	r := do(h, "POST", "/v1/submissions", validBody)
	e := failureOf(t, r)
	must.Eq(t, api.KindOverloaded, e.Kind)
	must.Eq(t, api.OutcomeUnknown, e.Run)
	must.Eq(t, "1", r.Header.Get("Retry-After"))
	close(f.wait)
	must.Eq(t, 200, (<-first).StatusCode)
	f.wait = nil
	must.Eq(t, 200, do(h, "POST", "/v1/submissions", validBody).StatusCode)
}

func TestHeadersReadinessAndEpoch(t *testing.T) {
	epoch, ready := "", false
	h := newServer(&fakeService{}, func(o *Options) {
		o.Epoch = func() string { return epoch }
		o.Ready = func() bool { return ready }
	}).Handler()
	for _, path := range []string{"/v1/epoch", "/healthz", "/readyz", "/v1/submissions/x", "/nothing"} {
		r := do(h, "GET", path, "")
		must.Eq(t, "a", r.Header.Get(api.HeaderDomain))
		must.Eq(t, "vm1", r.Header.Get(api.HeaderRunner))
		must.MapNotContainsKey(t, r.Header, api.HeaderEpoch)
	}
	must.Eq(t, 200, do(h, "GET", "/healthz", "").StatusCode)
	must.Eq(t, 503, do(h, "GET", "/readyz", "").StatusCode)
	e := failureOf(t, do(h, "GET", "/v1/epoch", ""))
	must.Eq(t, api.KindUnavailable, e.Kind)
	epoch, ready = "e", true
	must.Eq(t, 200, do(h, "GET", "/readyz", "").StatusCode)
	r := do(h, "GET", "/v1/epoch", "")
	var body epochBody
	must.NoError(t, json.NewDecoder(r.Body).Decode(&body))
	must.Eq(t, epochBody{Domain: "a", Epoch: "e", KeyPrefix: "a.e."}, body)
	must.Eq(t, "e", r.Header.Get(api.HeaderEpoch))
}

// FuzzRead sends any body. It is accepted and passed on unchanged, or gets a failure in
// JSON.
func FuzzRead(f *testing.F) {
	f.Add(validBody)
	f.Fuzz(func(t *testing.T, body string) {
		fake := &fakeService{reply: submission.Reply{Outcome: answered}}
		r := do(newServer(fake, nil).Handler(), "POST", "/v1/submissions", body)
		if fake.last == nil {
			failureOf(t, r)
			return
		}
		must.Eq(t, 200, r.StatusCode)
		var sent api.Submission
		must.NoError(t, json.Unmarshal([]byte(body), &sent))
		must.Eq(t, sent.Key, fake.last.Key.String())
		must.Eq(t, sent.Profile, fake.last.Profile)
		must.Eq(t, sent.Idempotent, fake.last.Idempotent)
		must.GreaterEq(t, 0, fake.last.Deadline)
		if sent.DeadlineMS < 1e6 {
			must.Eq(t, time.Duration(sent.DeadlineMS)*time.Millisecond, fake.last.Deadline)
		}
		must.Eq(t, len(sent.Tasks), len(fake.last.Tasks))
		for i, task := range sent.Tasks {
			must.Eq(t, string(task.Payload), string(fake.last.Tasks[i].Payload))
		}
	})
}

// A submission with a key of another failure domain burns the key there. A question about
// such a key does not.
func TestOnlySubmissionsBurnForeignKeys(t *testing.T) {
	h := newServer(&fakeService{}, nil).Handler()
	for _, c := range []struct{ method, path, body, want string }{
		{"POST", "/v1/submissions", strings.Replace(validBody, "a.e.k", "b.e.k", 1), "burned"},
		{"POST", "/v1/submissions?wait=false", strings.Replace(validBody, "a.e.k", "b.e.k", 1), "burned"},
		{"GET", "/v1/submissions/b.e.k", "", "elsewhere"},
		{"GET", "/v1/submissions/b.e.k/answer", "", "elsewhere"},
		{"DELETE", "/v1/submissions/b.e.k", "", "elsewhere"},
	} {
		must.Eq(t, c.want, failureOf(t, do(h, c.method, c.path, c.body)).Message, must.Sprint(c))
	}
}
