package node

import (
	"net"
	"syscall"

	"github.com/zeebo/errs/v2"
	"golang.org/x/net/netutil"
)

// callerListener limits the connections of callers, and keeps the socket of each within reach: the
// limit's own connections hide it.
type callerListener struct {
	net.Listener
	sockets *socketListener
}

// socketListener keeps the connection that it accepted last.
type socketListener struct {
	net.Listener
	last net.Conn
}

// errNoSocket is never seen with a listener of package net.
var errNoSocket = errs.Tag("no socket").Errorf("the connection has no socket: listen on TCP")

// callerConn is a limited connection with its socket.
type callerConn struct {
	net.Conn
	socket net.Conn
}

// limitCallers limits the connections that a listener accepts at one time. Only one goroutine may
// accept connections.
func limitCallers(listener net.Listener, limit int) net.Listener {
	sockets := &socketListener{Listener: listener}
	return &callerListener{Listener: netutil.LimitListener(sockets, limit), sockets: sockets}
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.last = conn
	return conn, err
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, socket: l.sockets.last}, nil
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}
