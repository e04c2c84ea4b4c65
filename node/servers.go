package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/platform"
)

// Times of the HTTP servers.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 2 * time.Minute
	// closeTimeout is left of the platform's grace when the servers close.
	closeTimeout = 500 * time.Millisecond
)

// maxHeaderBytes is enough for callers, whose headers are few.
const maxHeaderBytes = 16 << 10

// servers are the HTTP servers of a node with their listeners.
type servers []openServer

type openServer struct {
	http     *http.Server
	listener net.Listener
}

func listen(s platform.Settings, n *Node) (servers, error) {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{s.Control, n.handler()},
		{s.Ready, platform.ReadyHandler(n.ready)},
		{s.Frontend, platform.NewCallers(n)},
	}
	var open servers
	for _, h := range handlers {
		listener, err := net.Listen("tcp4", h.address)
		if err != nil {
			open.close()
			return nil, err
		}
		open = append(open, openServer{listener: listener, http: &http.Server{
			Handler: h.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	return open, nil
}

func (s servers) serve(g *errgroup.Group) {
	for _, open := range s {
		g.Go(func() error {
			if err := open.http.Serve(open.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
}

// close lets requests in flight end for a while.
func (s servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, open := range s {
		if open.http.Shutdown(ctx) != nil {
			_ = open.http.Close()
		}
	}
}
