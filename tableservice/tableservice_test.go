package tableservice

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/sendonce"
)

var commit = Commit{
	Expect: []Expectation{{Table: "profiles", Key: "a", Version: 4}},
	Writes: []Write{{Table: "profiles", Key: "a", Value: json.RawMessage(`{"n":1}`)}, {Table: "profiles", Key: "b"}},
}

func newClient(t *testing.T, handle http.HandlerFunc) *Client {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	client, err := New(Options{URL: server.URL + "/"})
	must.NoError(t, err)
	return client
}

// answering returns the client of a service that gives every call the same answer.
func answering(t *testing.T, status int, body string) *Client {
	return newClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

func TestCommitSendsExpectationsAndWrites(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		must.Eq(t, "POST /v1/commit", r.Method+" "+r.URL.Path)
		must.EqJSON(t, `{"expect":[{"table":"profiles","key":"a","version":4}],"writes":[
			{"table":"profiles","key":"a","value":{"n":1}},{"table":"profiles","key":"b","value":null}]}`, string(body))
		_, _ = io.WriteString(w, `{"version":5}`)
	})
	version, err := client.Commit(t.Context(), commit)
	must.NoError(t, err)
	must.Eq(t, uint64(5), version)
}

func TestCommitErrorsByAnswer(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{503, `{"refused":"down"}`, ErrUnavailable},
		{429, `{"refused":"too many"}`, ErrUnavailable},
		{400, `{"refused":"malformed"}`, ErrInvalid},
		{503, `{}`, ErrUnknownOutcome},
		{503, `<html>`, ErrUnknownOutcome},
		{504, ``, ErrUnknownOutcome},
		{409, `{}`, ErrUnknownOutcome},
		{200, `{}`, ErrUnknownOutcome},
		{200, `{"refused":"down"}`, ErrUnknownOutcome},
		{200, `{"version":`, ErrUnknownOutcome},
		{307, `{}`, ErrUnknownOutcome},
	} {
		_, err := answering(t, test.status, test.body).Commit(t.Context(), commit)
		must.ErrorIs(t, err, test.want, must.Sprintf("%d %s", test.status, test.body))
	}
}

func TestCommitConflictNamesRow(t *testing.T) {
	_, err := answering(t, 409, `{"conflict":{"table":"profiles","key":"a","version":9}}`).Commit(t.Context(), commit)
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
	must.Eq(t, Expectation{Table: "profiles", Key: "a", Version: 9}, conflict.Expectation)
}

// A reused connection breaks after the service has read the commit.
func TestCommitIsNeverRepeated(t *testing.T) {
	var commits atomic.Int32
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if commits.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"version":1}`)
	})
	_, err := client.Commit(t.Context(), commit)
	must.NoError(t, err)
	_, err = client.Commit(t.Context(), commit)
	must.ErrorIs(t, err, ErrUnknownOutcome)
	must.Eq(t, 2, commits.Load())
}

func TestCommitCancelledAfterSendingIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	client := newClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := client.Commit(ctx, commit)
	must.ErrorIs(t, err, ErrUnknownOutcome)
}

func TestUnreachableServiceIsUnavailable(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	client, err := New(Options{URL: "http://127.0.0.1:1", HTTP: sendonce.Options{Dial: refuse}})
	must.NoError(t, err)
	_, err = client.Commit(t.Context(), commit)
	must.ErrorIs(t, err, ErrUnavailable)
	_, err = client.Changes(t.Context(), "profiles", 0)
	must.ErrorIs(t, err, ErrUnavailable)
	_, err = client.VMs(t.Context(), "a", 0)
	must.ErrorIs(t, err, ErrUnavailable)
}

func TestChangesReturnsRowsAndDeletions(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, "/v1/tables/a%2Fb?since=7", r.URL.RequestURI())
		_, _ = io.WriteString(w, `{"version":9,"rows":[{"key":"k","version":8,"value":{"n":1}},{"key":"l","version":9,"value":null}]}`)
	})
	changes, err := client.Changes(t.Context(), "a/b", 7)
	must.NoError(t, err)
	must.Eq(t, Changes{Version: 9, Rows: []Row{{Key: "k", Version: 8, Value: json.RawMessage(`{"n":1}`)}, {Key: "l", Version: 9}}}, changes)
	must.False(t, changes.Rows[0].Deleted())
	must.True(t, changes.Rows[1].Deleted())
}

func TestVMsReturnsList(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, "/v1/vms?domain=hall-a&since=6", r.URL.RequestURI())
		_, _ = io.WriteString(w, `{"version":7,"vms":[{"id":"t","kind":"target","domain":"hall-a","rack":"r","address":"127.0.0.1:1","slots":8,"state":"leaving"}]}`)
	})
	list, err := client.VMs(t.Context(), "hall-a", 6)
	must.NoError(t, err)
	must.Eq(t, List{Version: 7, VMs: []VM{{ID: "t", Kind: KindTarget, Domain: "hall-a", Rack: "r", Address: "127.0.0.1:1", Slots: 8, State: StateLeaving}}}, list)
}

func TestReadErrorsByAnswer(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{503, `{"refused":"down"}`, ErrUnavailable},
		{429, ``, ErrUnavailable},
		{400, `{"refused":"since"}`, ErrInvalid},
		{200, `{"version":`, ErrUnavailable},
	} {
		_, err := answering(t, test.status, test.body).Changes(t.Context(), "profiles", 0)
		must.ErrorIs(t, err, test.want)
	}
}

func TestNewRefusesInvalidURLs(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:80", "https://127.0.0.1", "http://"} {
		_, err := New(Options{URL: url})
		must.Error(t, err, must.Sprint(url))
	}
}
