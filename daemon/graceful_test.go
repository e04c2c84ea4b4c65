package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// pipeListener accepts the server's end of each pipe that dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	longRequest  = 3 * time.Second
	testDeadline = 10 * time.Second
)

// startServer serves requests that take longRequest.
func startServer() (*gracefulServer, *pipeListener) {
	l := newPipeListener()
	g := newGracefulServer(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(longRequest)
		_, _ = io.WriteString(w, "whole")
	})})
	go func() { _ = g.serve() }()
	return g, l
}

// shutdownTime returns how long the shutdown takes, in the bubble's time.
func shutdownTime(t *testing.T, g *gracefulServer, grace time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	began := time.Now()
	must.NoError(t, g.shutdown(ctx, grace))
	return time.Since(began)
}

func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	for _, grace := range []time.Duration{0, unusedGrace} {
		synctest.Test(t, func(t *testing.T) {
			g, l := startServer()
			defer l.dial().Close()
			synctest.Wait()
			// http.Server.Shutdown polls at least every half second.
			must.LessEq(t, grace+600*time.Millisecond, shutdownTime(t, g, grace))
		})
	}
}

func TestShutdownWaitsForRequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, l := startServer()
		client := l.dial()
		answered := make(chan string)
		go func() {
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			all, _ := io.ReadAll(client)
			answered <- string(all)
		}()
		synctest.Wait()
		done := make(chan time.Duration)
		go func() { done <- shutdownTime(t, g, 0) }()
		must.StrContains(t, <-answered, "whole")
		must.GreaterEq(t, longRequest, <-done)
	})
}

// A request arrives within the grace on a connection that was unused when the shutdown
// began.
func TestRequestWithinGraceIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, l := startServer()
		client := l.dial()
		synctest.Wait()
		answered := make(chan string)
		go func() {
			time.Sleep(unusedGrace / 2)
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			all, _ := io.ReadAll(client)
			answered <- string(all)
		}()
		done := make(chan time.Duration)
		go func() { done <- shutdownTime(t, g, unusedGrace) }()
		must.StrContains(t, <-answered, "whole")
		must.GreaterEq(t, longRequest, <-done)
	})
}
