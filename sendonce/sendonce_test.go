package sendonce

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

var body = []byte(`{"task":1}`)

// idempotencyKey makes net/http treat a POST as repeatable. The client must not repeat it
// nevertheless.
func idempotencyKey(_ context.Context, header http.Header) { header.Set("Idempotency-Key", "1") }

// postNaively sends a request with net/http alone.
func postNaively(client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	idempotencyKey(context.Background(), request.Header)
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response, response.Body.Close()
}

// breakingServer answers its first request. It reads each later request and closes the
// connection without an answer.
func breakingServer(t *testing.T) (url string, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, requests
}

func TestNaivePostIsSentTwiceOnBrokenReusedConnection(t *testing.T) {
	url, requests := breakingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	_, err := postNaively(client, url)
	must.NoError(t, err)
	_, err = postNaively(client, url)
	must.Error(t, err)
	must.Eq(t, 3, requests.Load(), must.Sprint("net/http did not repeat the second post"))
}

func TestPostIsSentOnceOnBrokenReusedConnection(t *testing.T) {
	url, requests := breakingServer(t)
	client := New(Options{Header: idempotencyKey})
	_, err := client.Post(t.Context(), url, body)
	must.NoError(t, err)
	_, err = client.Post(t.Context(), url, body)
	mustBeSent(t, err)
	must.Eq(t, 2, requests.Load())
}

// redirectingServer redirects /from to /to and counts the requests at /to.
func redirectingServer(t *testing.T, status int) (url string, repeated *atomic.Int32) {
	repeated = new(atomic.Int32)
	mux := http.NewServeMux()
	mux.Handle("/from", http.RedirectHandler("/to", status))
	mux.HandleFunc("/to", func(http.ResponseWriter, *http.Request) { repeated.Add(1) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL + "/from", repeated
}

func TestPostFollowsNoRedirect(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		url, repeated := redirectingServer(t, status)
		_, err := postNaively(&http.Client{Transport: &http.Transport{}}, url)
		must.NoError(t, err)
		must.Eq(t, 1, repeated.Load(), must.Sprint("net/http did not follow the redirect"))

		answer, err := New(Options{}).Post(t.Context(), url, body)
		must.NoError(t, err)
		must.Eq(t, status, answer.Status)
		must.Eq(t, 1, repeated.Load(), must.Sprint("Post followed the redirect"))
	}
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = New(Options{}).Post(t.Context(), "http://"+listener.Addr().String(), body)
	mustBeUnsent(t, err)
}

func TestEndedContextIsUnsent(t *testing.T) {
	url, requests := breakingServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := New(Options{}).Post(ctx, url, body)
	mustBeUnsent(t, err)
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, 0, requests.Load())
}

// A post is cancelled while its connection is being opened. The connection is then opened
// and used by another post.
func TestCancelledPostIsNeverSentLater(t *testing.T) {
	var bodies atomic.Pointer[[]string]
	bodies.Store(&[]string{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		seen := append(*bodies.Load(), string(text))
		bodies.Store(&seen)
	}))
	t.Cleanup(server.Close)

	dialing := make(chan struct{})
	release := make(chan struct{})
	var dials atomic.Int32
	client := New(Options{MaxConnsOfHost: 1, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		close(dialing)
		<-release
		return new(net.Dialer).DialContext(ctx, network, address)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	_, err := client.Post(ctx, server.URL, []byte(`"cancelled"`))
	mustBeUnsent(t, err)

	close(release)
	_, err = client.Post(t.Context(), server.URL, []byte(`"kept"`))
	must.NoError(t, err)
	must.Eq(t, []string{`"kept"`}, *bodies.Load())
	must.Eq(t, 1, dials.Load(), must.Sprint("the late connection was not used"))
}

// A post is cancelled while it waits for the only connection to its host.
func TestPostCancelledWhileWaitingForConnectionIsNotSent(t *testing.T) {
	var requests atomic.Int32
	entered := make(chan struct{})
	leave := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) == 1 {
			close(entered)
			<-leave
		}
	}))
	t.Cleanup(server.Close)
	client := New(Options{MaxConnsOfHost: 1})
	first := make(chan error, 1)
	go func() {
		_, err := client.Post(t.Context(), server.URL, body)
		first <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: func(string) { cancel() }})
	_, err := client.Post(ctx, server.URL, body)
	mustBeUnsent(t, err)
	close(leave)
	must.NoError(t, <-first)
	_, err = client.Post(t.Context(), server.URL, body)
	must.NoError(t, err)
	must.Eq(t, 2, requests.Load())
}

func TestLargeAnswerIsSentError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 11))
	}))
	t.Cleanup(server.Close)
	_, err := New(Options{MaxAnswerBytes: 10}).Post(t.Context(), server.URL, body)
	mustBeSent(t, err)
	answer, err := New(Options{MaxAnswerBytes: 11}).Post(t.Context(), server.URL, body)
	must.NoError(t, err)
	must.Eq(t, 11, len(answer.Body))
}

func TestTruncatedAnswerIsSentError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("1"))
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	_, err := New(Options{}).Post(t.Context(), server.URL, body)
	mustBeSent(t, err)
}

func TestEmptyBodyIsRefused(t *testing.T) {
	_, err := New(Options{}).Post(t.Context(), "http://127.0.0.1:1", nil)
	mustBeUnsent(t, err)
	must.ErrorIs(t, err, errEmptyBody)
}

func mustBeSent(t *testing.T, err error) {
	t.Helper()
	var sent *SentError
	must.True(t, errors.As(err, &sent), must.Sprintf("want SentError, got %v", err))
}

func mustBeUnsent(t *testing.T, err error) {
	t.Helper()
	var unsent *UnsentError
	must.True(t, errors.As(err, &unsent), must.Sprintf("want UnsentError, got %v", err))
}
