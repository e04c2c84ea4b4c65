package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unusedGrace is how long a planned stop waits for a caller's connection on which no
	// byte has arrived. Callers send their request as soon as they have connected, so it
	// covers a lost packet. Balancers keep unused connections in reserve for much longer.
	unusedGrace = 500 * time.Millisecond
	// unusedPoll is the time between two checks for such connections.
	unusedPoll = 10 * time.Millisecond
)

// gracefulServer is an HTTP server whose shutdown waits for the requests in flight, but
// only briefly for connections that were never used. http.Server.Shutdown alone waits
// five seconds for those, and then drops a request that arrives on one of them.
type gracefulServer struct {
	*http.Server
	listener net.Listener
	mu       sync.Mutex
	// unused holds the connections on which no byte has arrived.
	unused map[net.Conn]bool
	// next is the server's own ConnState; nil for none.
	next func(net.Conn, http.ConnState)
	// closing says that new connections are closed at once.
	closing bool
}

func newGracefulServer(l net.Listener, s *http.Server) *gracefulServer {
	g := &gracefulServer{Server: s, listener: l, unused: map[net.Conn]bool{}, next: s.ConnState}
	s.ConnState = g.trackState
	return g
}

// serve serves requests until shutdown.
func (g *gracefulServer) serve() error {
	err := g.Serve(g.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// trackState keeps unused up to date.
func (g *gracefulServer) trackState(c net.Conn, state http.ConnState) {
	if g.next != nil {
		g.next(c, state)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if state != http.StateNew {
		delete(g.unused, c)
		return
	}
	if g.closing {
		_ = c.Close()
		return
	}
	g.unused[c] = true
}

func (g *gracefulServer) hasUnused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.unused) > 0
}

func (g *gracefulServer) closeUnused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	for c := range g.unused {
		_ = c.Close()
	}
}

// shutdown accepts no new connections, waits up to grace for unused ones, and then until
// all requests are answered or ctx ends.
func (g *gracefulServer) shutdown(ctx context.Context, grace time.Duration) error {
	_ = g.listener.Close()
	for end := time.Now().Add(grace); g.hasUnused() && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(unusedPoll)
	}
	g.closeUnused()
	if err := g.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
