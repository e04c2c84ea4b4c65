package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/sendonce"
)

var request = StartRequest{Submission: "a.1.x", Task: 3, Lease: "l", Payload: json.RawMessage(`{"run_ms":1}`)}

// serve starts a target that gives one fixed answer and returns its address.
func serve(t *testing.T, status int, body string) string {
	return serveFunc(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

func serveFunc(t *testing.T, handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStartReturnsOutcome(t *testing.T) {
	const same = `"submission":"a.1.x","task":3,"running":2,"slots":8,"leaving":true`
	load := Load{Running: 2, Slots: 8, Leaving: true}
	for _, test := range []struct {
		body string
		want StartResponse
	}{
		{`{"outcome":"done","result":{"n":1},` + same + `}`, StartResponse{Outcome: OutcomeDone, Result: json.RawMessage(`{"n":1}`), Load: load}},
		{`{"outcome":"failed","error":"no",` + same + `}`, StartResponse{Outcome: OutcomeFailed, Error: "no", Load: load}},
		{`{"outcome":"stopped",` + same + `}`, StartResponse{Outcome: OutcomeStopped, Load: load}},
	} {
		got, err := New(Options{}).Start(t.Context(), serve(t, 200, test.body), request)
		must.NoError(t, err)
		must.Eq(t, test.want, got)
	}
}

func TestStartRefusedByTargetIsNotStarted(t *testing.T) {
	for _, reason := range []Reason{ReasonLeaseLapsed, ReasonLeaving, ReasonFull, "another"} {
		body := `{"submission":"a.1.x","task":3,"outcome":"not_started","reason":"` + string(reason) + `","running":8,"slots":8}`
		_, err := New(Options{}).Start(t.Context(), serve(t, 409, body), request)
		var refused *NotStartedError
		must.True(t, errors.As(err, &refused), must.Sprint(err))
		must.Eq(t, reason, refused.Reason)
		must.Eq(t, &Load{Running: 8, Slots: 8}, refused.Load)
	}
}

func TestStartWithUnexpectedAnswerIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
	}{
		"another submission":         {200, `{"submission":"a.1.y","task":3,"outcome":"done"}`},
		"another task":               {200, `{"submission":"a.1.x","task":4,"outcome":"done"}`},
		"no task":                    {200, `{"submission":"a.1.x","outcome":"done"}`},
		"no outcome":                 {200, `{"submission":"a.1.x","task":3}`},
		"refusal with success":       {200, `{"submission":"a.1.x","task":3,"outcome":"not_started","reason":"full"}`},
		"conflict with outcome":      {409, `{"submission":"a.1.x","task":3,"outcome":"done"}`},
		"refusal for another task":   {409, `{"submission":"a.1.x","task":4,"outcome":"not_started","reason":"full"}`},
		"malformed":                  {200, `{"submission":"a.1.x","task":3,"outcome":"do`},
		"empty":                      {200, ``},
		"server error":               {500, `{"submission":"a.1.x","task":3,"outcome":"not_started","reason":"full"}`},
		"service unavailable":        {503, `{"submission":"a.1.x","task":3,"outcome":"not_started","reason":"full"}`},
		"server error with outcome":  {500, `{"submission":"a.1.x","task":3,"outcome":"done"}`},
		"redirect that repeats":      {307, `{}`},
		"redirect that changes verb": {302, `{}`},
	} {
		_, err := New(Options{}).Start(t.Context(), serve(t, test.status, test.body), request)
		mustBeUnknown(t, err, name)
	}
}

// An answer without a task must not count as one for task 0.
func TestStartNeedsTaskInAnswer(t *testing.T) {
	zero := request
	zero.Task = 0
	_, err := New(Options{}).Start(t.Context(), serve(t, 200, `{"submission":"a.1.x","outcome":"done"}`), zero)
	mustBeUnknown(t, err, "no task")
}

func TestStartOverBrokenConnectionIsUnknown(t *testing.T) {
	address := serveFunc(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := New(Options{}).Start(t.Context(), address, request)
	mustBeUnknown(t, err, "cut")
}

func TestStartCancelledAfterSendingIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address := serveFunc(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := New(Options{}).Start(ctx, address, request)
	mustBeUnknown(t, err, "cancelled")
	must.ErrorIs(t, err, context.Canceled)
}

func TestStartIsBoundedByRunLimitAndGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit time.Duration
		recordLimit := func(ctx context.Context, _ http.Header) {
			deadline, ok := ctx.Deadline()
			must.True(t, ok)
			limit = time.Until(deadline)
		}
		refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
		client := New(Options{AnswerGrace: 4 * time.Second, HTTP: sendonce.Options{Dial: refuse, Header: recordLimit}})
		limited := request
		limited.RunLimitMS = 1500
		_, err := client.Start(t.Context(), "127.0.0.1:1", limited)
		must.Error(t, err)
		must.Eq(t, 5500*time.Millisecond, limit)
	})
}

func TestStartUnreachableIsNotStarted(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	client := New(Options{HTTP: sendonce.Options{Dial: refuse}})
	_, err := client.Start(t.Context(), "127.0.0.1:1", request)
	var notStarted *NotStartedError
	must.True(t, errors.As(err, &notStarted), must.Sprint(err))
	must.Eq(t, ReasonUnreachable, notStarted.Reason)
	must.Nil(t, notStarted.Load)
}

func TestStartCancelledBeforeSendingIsNotStarted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	block := func(context.Context, string, string) (net.Conn, error) {
		cancel()
		return nil, errors.New("too late")
	}
	client := New(Options{HTTP: sendonce.Options{Dial: block}})
	_, err := client.Start(ctx, "127.0.0.1:1", request)
	var notStarted *NotStartedError
	must.True(t, errors.As(err, &notStarted), must.Sprint(err))
	must.Eq(t, ReasonCancelled, notStarted.Reason)
}

func TestStartWithMalformedPayloadIsNotStarted(t *testing.T) {
	malformed := request
	malformed.Payload = json.RawMessage(`{`)
	_, err := New(Options{}).Start(t.Context(), "127.0.0.1:1", malformed)
	var notStarted *NotStartedError
	must.True(t, errors.As(err, &notStarted), must.Sprint(err))
}

func TestLeaseIsGrantedOrRefused(t *testing.T) {
	address := serveFunc(t, func(w http.ResponseWriter, r *http.Request) {
		var body leaseRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		must.Eq(t, "vm/1", body.Holder)
		_, _ = io.WriteString(w, `{"lease":"l1","ttl_ms":1500,"running":1,"slots":8}`)
	})
	lease, err := New(Options{}).Lease(t.Context(), address, "vm/1")
	must.NoError(t, err)
	must.Eq(t, Lease{ID: "l1", TTLMS: 1500, Load: Load{Running: 1, Slots: 8}}, lease)
	must.Eq(t, 1500*time.Millisecond, lease.TTL())

	_, err = New(Options{}).Lease(t.Context(), serve(t, 409, `{"reason":"leaving"}`), "vm/1")
	var refused *LeaseRefusedError
	must.True(t, errors.As(err, &refused), must.Sprint(err))
	must.Eq(t, ReasonLeaving, refused.Reason)

	for _, body := range []string{`{}`, `{"lease":"l1"}`, `{"ttl_ms":5}`, `{`} {
		_, err = New(Options{}).Lease(t.Context(), serve(t, 200, body), "vm/1")
		must.Error(t, err, must.Sprint(body))
	}
	_, err = New(Options{}).Lease(t.Context(), serve(t, 500, `{"lease":"l1","ttl_ms":5}`), "vm/1")
	must.Error(t, err)
}

func TestStopReturnsStoppedTasks(t *testing.T) {
	tasks := []TaskID{{Submission: "a.1.x", Task: 3}}
	address := serveFunc(t, func(w http.ResponseWriter, r *http.Request) {
		var body stopRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		must.Eq(t, stopRequest{Tasks: tasks, Checkpoint: true}, body)
		_, _ = io.WriteString(w, `{"stopped":1}`)
	})
	stopped, err := New(Options{}).Stop(t.Context(), address, tasks, true)
	must.NoError(t, err)
	must.Eq(t, 1, stopped)
	_, err = New(Options{}).Stop(t.Context(), serve(t, 500, `{"stopped":1}`), tasks, false)
	must.Error(t, err)
}

func mustBeUnknown(t *testing.T, err error, name string) {
	t.Helper()
	var unknown *UnknownOutcomeError
	must.True(t, errors.As(err, &unknown), must.Sprintf("%s: want UnknownOutcomeError, got %v", name, err))
}
