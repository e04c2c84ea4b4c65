package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/platform"
)

// Timeouts of the HTTP servers.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 2 * time.Minute
	// closeTimeout is the part of the platform's grace period that is left when the servers close.
	closeTimeout = 500 * time.Millisecond
)

// maxHeaderBytes is enough for callers, which send few headers.
const maxHeaderBytes = 16 << 10

// callerSocketDivisor limits callers to one third of the process's sockets: each request may need
// another socket to an owner, and an owner also needs sockets to its targets. Further callers wait
// until a connection ends; one that sends nothing is closed after three seconds.
const callerSocketDivisor = 3

// maxRelayedOwners bounds the owners for which this VM relays orders. It includes previous
// owners whose connection isn't closed yet.
const maxRelayedOwners = 64

// servers holds the HTTP servers of a node and their listeners.
type servers struct {
	control, ready, frontend *openServer
	// relay accepts connections of owners whose orders this VM relays.
	relay net.Listener
}

// openServer is an HTTP server with its open listener.
type openServer struct {
	http     *http.Server
	listener net.Listener
}

// listen opens the listeners of all servers; it closes those already open if one fails.
func listen(s platform.Settings, n *Node) (servers, error) {
	var open servers
	for _, h := range []struct {
		server  **openServer
		address string
		handler http.Handler
	}{
		{&open.control, s.ControlAddress, n.handler()},
		{&open.ready, s.ReadyAddress, platform.ReadyHandler(n.isReady)},
		{&open.frontend, s.FrontendAddress, platform.NewCallerHandler(n)},
	} {
		listener, err := net.Listen("tcp4", h.address)
		if err != nil {
			open.close()
			return servers{}, err
		}
		if h.server == &open.frontend {
			listener = limitCallers(listener, max(s.MaxSockets/callerSocketDivisor, 1))
		}
		*h.server = &openServer{listener: listener, http: &http.Server{
			Handler: h.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnContext: platform.CallerContext,
		}}
	}
	relay, err := net.Listen("tcp4", n.self.HeartbeatAddress)
	if err != nil {
		open.close()
		return servers{}, err
	}
	open.relay = netutil.LimitListener(relay, maxRelayedOwners)
	return open, nil
}

func (s servers) all() []*openServer { return []*openServer{s.frontend, s.ready, s.control} }

// serve runs the HTTP servers on goroutines of the group until they are closed.
func (s servers) serve(g *errgroup.Group) {
	for _, open := range s.all() {
		g.Go(func() error {
			if err := open.http.Serve(open.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
}

// closeFrontend stops accepting callers and waits up to a time for requests in flight.
func (s servers) closeFrontend(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = s.frontend.http.Shutdown(ctx)
}

// close stops all HTTP servers and waits up to closeTimeout for requests in flight.
func (s servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, open := range s.all() {
		if open == nil {
			continue
		}
		closing.Go(func() {
			if open.http.Shutdown(ctx) != nil {
				_ = open.http.Close()
			}
		})
	}
	closing.Wait()
}
