package sendonce

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection closed for writing after a failed request")

// gatedConn counts the bytes that are written to it and can be closed for writing, so
// that "nothing was written" also means "nothing will be written". It hides the
// io.ReaderFrom of TCP connections, so that every byte passes Write.
type gatedConn struct {
	net.Conn

	mu      sync.Mutex
	written uint64
	sealed  bool
}

// dialGated makes dial return gated connections.
func dialGated(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// Write counts all bytes before it writes them, and subtracts those that the connection
// did not accept. So a write in progress counts as written.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.addWritten(len(p)) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.subtractWritten(len(p) - n)
	return n, err
}

func (c *gatedConn) addWritten(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += uint64(n)
	return true
}

func (c *gatedConn) subtractWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written -= uint64(n)
}

func (c *gatedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all later writes fail and returns the count so far.
func (c *gatedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeWatch records the connections that net/http uses for one request. net/http calls
// gotConn from the goroutine that sends the request, before the first write.
type writeWatch struct {
	ctx  context.Context
	uses []connUse
	// opaque is set when a connection is not a gatedConn: its writes are not counted.
	opaque bool
}

// connUse is a connection with its count when the request got it.
type connUse struct {
	conn        *gatedConn
	countBefore uint64
}

func (w *writeWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn}
}

func (w *writeWatch) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*gatedConn)
	if !ok {
		w.opaque = true
		return
	}
	w.uses = append(w.uses, connUse{conn: conn, countBefore: conn.count()})
	// net/http may use a free connection although the context has just ended.
	if w.ctx.Err() != nil {
		conn.seal()
	}
}

// seal seals the connections of a failed request and reports whether any byte of it was
// written. net/http closes the connection of a failed HTTP/1.1 request, so no other
// request is affected.
func (w *writeWatch) seal() bool {
	written := w.opaque
	for _, use := range w.uses {
		if use.conn.seal() != use.countBefore {
			written = true
		}
	}
	return written
}
