package sendonce

import (
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

var errBroken = errors.New("broken pipe")

// brokenConn accepts only the first accepts bytes of each write once broken is set.
type brokenConn struct {
	net.Conn
	broken  *atomic.Bool
	accepts int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.accepts])
	return n, errors.Join(errBroken, err)
}

// dialBroken returns a dial function for broken connections, and the count of its calls.
func dialBroken(accepts int) (dial DialFunc, broken *atomic.Bool, dials *atomic.Int32) {
	broken, dials = new(atomic.Bool), new(atomic.Int32)
	dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &brokenConn{Conn: conn, broken: broken, accepts: accepts}, err
	}
	return dial, broken, dials
}

func okServer(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// When nothing was written, net/http repeats a usual post on another connection. Post
// fails instead.
func TestPostIsNotRepeatedWhenReusedConnectionAcceptsNothing(t *testing.T) {
	url := okServer(t)
	dial, broken, dials := dialBroken(0)
	naive := &http.Client{Transport: &http.Transport{DialContext: dial}}
	_, err := postNaively(naive, url)
	must.NoError(t, err)
	broken.Store(true)
	_, err = postNaively(naive, url)
	must.Error(t, err)
	must.Eq(t, 2, dials.Load(), must.Sprint("net/http did not repeat the usual post"))

	dial, broken, dials = dialBroken(0)
	client := New(Options{Dial: dial, Header: idempotencyKey})
	_, err = client.Post(t.Context(), url, body)
	must.NoError(t, err)
	broken.Store(true)
	_, err = client.Post(t.Context(), url, body)
	mustBeUnsent(t, err)
	must.ErrorIs(t, err, errBroken)
	must.Eq(t, 1, dials.Load())
}

func TestOneWrittenByteCountsAsSent(t *testing.T) {
	url := okServer(t)
	dial, broken, dials := dialBroken(1)
	broken.Store(true)
	_, err := New(Options{Dial: dial}).Post(t.Context(), url, body)
	mustBeSent(t, err)
	must.Eq(t, 1, dials.Load())
}

// stuckConn blocks each write until it is released, then accepts it.
type stuckConn struct {
	net.Conn
	entered, release chan struct{}
}

func (c *stuckConn) Write(p []byte) (int, error) {
	close(c.entered)
	<-c.release
	return len(p), nil
}

func TestWriteInProgressCountsAsWritten(t *testing.T) {
	inner := &stuckConn{entered: make(chan struct{}), release: make(chan struct{})}
	conn := &gatedConn{Conn: inner}
	watch := writeWatch{ctx: t.Context()}
	watch.gotConn(httptrace.GotConnInfo{Conn: conn})
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write(body)
		done <- err
	}()
	<-inner.entered
	must.True(t, watch.seal())
	close(inner.release)
	must.NoError(t, <-done)
}

func TestSealedConnectionAcceptsNoByte(t *testing.T) {
	near, far := net.Pipe()
	must.NoError(t, far.Close())
	conn := &gatedConn{Conn: near}
	watch := writeWatch{ctx: t.Context()}
	watch.gotConn(httptrace.GotConnInfo{Conn: conn})
	must.False(t, watch.seal())
	n, err := conn.Write(body)
	must.ErrorIs(t, err, errSealed)
	must.Eq(t, 0, n)
	must.False(t, watch.seal(), must.Sprint("a write after the seal was counted"))
}

// net/http chooses at random whether it uses a free connection although the context has
// ended. The test covers the case that it does.
func TestFreeConnectionAfterEndOfContextIsSealed(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &gatedConn{Conn: near}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	watch := writeWatch{ctx: ctx}
	watch.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err := conn.Write(body)
	must.ErrorIs(t, err, errSealed)
	must.False(t, watch.seal())
}

func TestBytesOfEarlierRequestsDoNotCount(t *testing.T) {
	near, far := net.Pipe()
	conn := &gatedConn{Conn: near}
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := conn.Write(body)
	must.NoError(t, err)
	watch := writeWatch{ctx: t.Context()}
	watch.gotConn(httptrace.GotConnInfo{Conn: conn})
	must.False(t, watch.seal())
}

func TestUnknownConnectionCountsAsWritten(t *testing.T) {
	near, _ := net.Pipe()
	watch := writeWatch{ctx: t.Context()}
	watch.gotConn(httptrace.GotConnInfo{Conn: near})
	must.True(t, watch.seal())
}

func TestConnectionHidesReadFrom(t *testing.T) {
	_, ok := any(&gatedConn{}).(io.ReaderFrom)
	must.False(t, ok, must.Sprint("bytes can be written without being counted"))
}
