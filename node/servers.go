package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/intake"
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
// another socket to an owner, and an owner also needs sockets to its targets.
const callerSocketDivisor = 3

// The other VMs may take a third as well: an owner has a connection for each job that another VM has sent. What
// readiness checks, metrics and relayed orders take is small beside the rest.
const (
	peerSocketDivisor  = 3
	smallSocketDivisor = 16
	relaySocketDivisor = 8
	// maxSmallServerPlaces is ample for the platform's readiness checks.
	maxSmallServerPlaces = 32
)

// smallServerPlaces returns the places of a server that few clients ask, briefly.
func smallServerPlaces(sockets int) int {
	return min(max(sockets/smallSocketDivisor, 1), maxSmallServerPlaces)
}

// answerTimeout bounds the writing of an answer, which fits the buffers of its connection unless the client doesn't
// read what it asks for.
const answerTimeout = 3 * time.Second

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
		server **openServer
		limitedServer
	}{
		{&open.control, limitedServer{"control", s.ControlAddress, s.MaxSockets / peerSocketDivisor, n.options.requestBudget(), n.handler()}},
		{&open.ready, limitedServer{"ready", s.ReadyAddress, smallServerPlaces(s.MaxSockets), intake.NewBudget(guaranteedBytes, guaranteedBytes), platform.ReadyHandler(n.isReady)}},
		{&open.frontend, limitedServer{"frontend", s.FrontendAddress, s.MaxSockets / callerSocketDivisor, n.requestMemory, platform.NewCallerHandler(n)}},
	} {
		server, err := n.listenLimited(h.limitedServer)
		if err != nil {
			open.close()
			return servers{}, err
		}
		*h.server = server
	}
	relay, err := net.Listen("tcp4", n.self.HeartbeatAddress)
	if err != nil {
		open.close()
		return servers{}, err
	}
	open.relay = intake.Limit(relay, intake.Options{
		Name: "relay", Places: min(maxRelayedOwners, max(s.MaxSockets/relaySocketDivisor, 1)), Budget: intake.NewBudget(guaranteedBytes, guaranteedBytes),
		WriteTimeout: answerTimeout, Log: n.log, Count: n.options.Count,
	})
	return open, nil
}

// limitedServer is a server for clients that may misbehave.
type limitedServer struct {
	name, address string
	// places is the most open connections, budget what their requests may hold.
	places  int
	budget  *intake.Budget
	handler http.Handler
}

// listenLimited opens the listener of a server.
func (n *Node) listenLimited(s limitedServer) (*openServer, error) {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	limited := intake.Limit(listener, intake.Options{
		Name: s.name, Places: s.places, Budget: s.budget, WriteTimeout: answerTimeout, Log: n.log, Count: n.options.Count,
	})
	return &openServer{listener: limited, http: &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: limited.TrackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return platform.CallerContext(intake.ConnContext(ctx, conn), conn)
		},
	}}, nil
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
