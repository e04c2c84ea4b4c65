package intake

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"
)

// Options of a Listener.
type Options struct {
	// Name names the server in counters and log lines.
	Name string
	// Places is the most open connections, at least 1.
	Places int
	// Budget is what their requests may hold.
	Budget *Budget
	// WriteTimeout bounds each write: a client that doesn't read its answers is closed. 0 leaves that to the
	// handler.
	WriteTimeout time.Duration
	// Log gets a line when requests begin to be turned away, at most one each logInterval. Count increments a
	// counter; it must not block.
	Log   *slog.Logger
	Count func(what, label string)
}

// logInterval is the time between two lines of a listener.
const logInterval = time.Second

// The labels of the counter intake_NAME.
const (
	// countClosed counts connections that made way for new ones, countHeader those closed because their headers
	// hold too much, countBody and countDecoding the requests refused because their bodies do, as they are sent or
	// decoded.
	countClosed   = "made way"
	countHeader   = "header beyond memory"
	countBody     = "body beyond memory"
	countDecoding = "decoded body beyond memory"
)

// Listener accepts connections for a server within its places, and closes the one that has waited longest when a
// new one needs its place. TrackState must be the ConnState of an HTTP server; the server of another protocol
// calls EndHeader and SetServing itself.
type Listener struct {
	net.Listener
	options Options

	mu     sync.Mutex
	places *Places[*Conn]
	// changed tells Accept that a connection was closed or begins to wait.
	changed *sync.Cond
	closed  bool
	// loggedAt is when the last line was logged.
	loggedAt time.Time
}

// Limit returns a listener that accepts the connections of another one within the options.
func Limit(listener net.Listener, o Options) *Listener {
	l := &Listener{Listener: listener, options: o, places: NewPlaces[*Conn](max(o.Places, 1))}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. While all places are taken by requests that are being served, it waits.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: accepted, listener: l, account: l.options.Budget.NewAccount()}
	displaced, err := l.add(conn)
	if err != nil {
		_ = accepted.Close()
		return nil, err
	}
	for _, other := range displaced {
		l.note(countClosed)
		_ = other.Close()
	}
	return conn, nil
}

// add gives a connection a place and returns those that lose theirs.
func (l *Listener) add(conn *Conn) (displaced []*Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.places.Full() {
		if l.closed {
			return nil, net.ErrClosed
		}
		if other, ok := l.places.LongestWaiting(); ok {
			l.places.Remove(other)
			displaced = append(displaced, other)
			continue
		}
		l.changed.Wait()
	}
	l.places.Add(conn)
	return displaced, nil
}

// Close implements net.Listener. It closes no connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.changed.Broadcast()
	return l.Listener.Close()
}

// TrackState is the ConnState of the server.
func (l *Listener) TrackState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.EndHeader()
		conn.SetServing()
	case http.StateIdle:
		conn.beginHeader()
		conn.SetWaiting()
	}
}

// note counts a connection or request that is turned away, and logs at most one each logInterval.
func (l *Listener) note(why string) {
	l.options.Count("intake_"+l.options.Name, why)
	l.mu.Lock()
	now, open := time.Now(), l.places.Len()
	due := now.Sub(l.loggedAt) >= logInterval
	if due {
		l.loggedAt = now
	}
	l.mu.Unlock()
	if due {
		l.options.Log.Warn("turning clients away", "server", l.options.Name, "why", why, "connections", open, "places", l.options.Places,
			"held_bytes", l.options.Budget.Used(), "shared_bytes", l.options.Budget.Shared())
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	account  *Account
	closing  sync.Once

	mu     sync.Mutex
	header Header
}

// errHeaderFull ends a connection whose header is refused: there is no request to answer yet.
var errHeaderFull = errs.Tag("intake").Errorf("the header holds more memory than is free: send a smaller one, or later")

// Read implements net.Conn. It fails once the header that arrives costs more than the budget has.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	more := c.header.Add(p[:n])
	c.mu.Unlock()
	if more > 0 && c.account.Reserve(more) != nil {
		c.listener.note(countHeader)
		return 0, errHeaderFull
	}
	return n, err
}

// EndHeader notes that the server has read a header, or that its protocol has none.
func (c *Conn) EndHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.End()
}

// beginHeader notes that the server awaits the next request.
func (c *Conn) beginHeader() {
	c.mu.Lock()
	change := c.header.Next()
	c.mu.Unlock()
	if change <= 0 {
		c.account.Release(-change)
	} else if c.account.Reserve(change) != nil {
		_ = c.Close()
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if timeout := c.listener.options.WriteTimeout; timeout > 0 {
		// The error is ignored: a connection that is closed fails to write as well.
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.account.Close()
		c.listener.mu.Lock()
		c.listener.places.Remove(c)
		c.listener.mu.Unlock()
		c.listener.changed.Signal()
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a client can still read an answer that was sent before its request
// was read whole.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetWaiting notes that the connection waits for its client, which may cost it its place.
func (c *Conn) SetWaiting() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	c.listener.places.SetWaiting(c)
	c.listener.mu.Unlock()
	c.listener.changed.Signal()
}

// SetServing notes that the connection's request is being served.
func (c *Conn) SetServing() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.places.SetServing(c)
}

// Account returns what the connection holds.
func (c *Conn) Account() *Account {
	if c == nil {
		return nil
	}
	return c.account
}

// ReadRequest reads the body of a request, up to a limit, as ReadBody does. The connection waits meanwhile.
func (c *Conn) ReadRequest(r *http.Request, limit int64) (data []byte, held int64, err error) {
	c.SetWaiting()
	defer c.SetServing()
	data, held, err = ReadBody(r.Body, r.ContentLength, limit, c.Account())
	// The fields that follow a body in chunks have no meaning here.
	r.Trailer = nil
	if errors.Is(err, ErrFull) {
		c.listener.note(countBody)
	}
	return data, held, err
}

// ReserveDecoding reserves the bytes that decoding a body takes.
func (c *Conn) ReserveDecoding(bytes int64) error {
	err := c.Account().Reserve(bytes)
	if err != nil {
		c.listener.note(countDecoding)
	}
	return err
}

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext is the ConnContext of a server with a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request's context; nil, which has no limits, for a server without a Listener.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
