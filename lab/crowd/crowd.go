// Package crowd has many clients that misbehave towards one address. Each has a connection of its own, sends
// something, and keeps the connection open.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Behaviour is what a client does with its connection, until it has nothing more to do or the connection breaks.
type Behaviour func(conn net.Conn)

// Timing of clients.
const (
	// dialTimeout bounds the wait for a connection, sendTimeout what a client does with it.
	dialTimeout = time.Minute
	sendTimeout = time.Minute
	// stuckTimeout is how long a write may take until the connection counts as full.
	stuckTimeout = 2 * time.Second
	// dripPause is the time between two drops.
	dripPause = 100 * time.Millisecond
)

// Crowd is a number of clients.
type Crowd struct {
	// behaving counts the clients that have not behaved yet.
	behaving sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// New returns a crowd without clients.
func New() *Crowd { return &Crowd{conns: map[net.Conn]bool{}} }

// Add adds clients and returns when all of them have behaved once. Connections that the process at the address
// refuses or closes are not opened again.
func (c *Crowd) Add(address string, size int, behave Behaviour) {
	var clients sync.WaitGroup
	for range size {
		clients.Go(func() { c.behave(address, behave) })
	}
	clients.Wait()
}

// AddReturning adds clients that open another connection when the process closes theirs. It returns when each has
// had a connection.
func (c *Crowd) AddReturning(address string, size int, behave Behaviour) {
	var connected sync.WaitGroup
	for range size {
		connected.Add(1)
		c.behaving.Go(func() {
			first := sync.OnceFunc(connected.Done)
			for c.behave(address, func(conn net.Conn) {
				first()
				behave(conn)
				// The connection is kept until the process closes it.
				_, _ = conn.Read(make([]byte, 1))
				c.forget(conn)
			}) {
			}
			first()
		})
	}
	connected.Wait()
}

// behave opens a connection and uses it. It reports false once the crowd is closed.
func (c *Crowd) behave(address string, behave Behaviour) bool {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return !c.isClosed()
	}
	if !c.keep(conn) {
		_ = conn.Close()
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	behave(conn)
	return !c.isClosed()
}

// keep keeps a connection open until Close; it reports false after that.
func (c *Crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.conns[conn] = true
	}
	return !c.closed
}

// forget closes a connection.
func (c *Crowd) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

func (c *Crowd) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.behaving.Wait()
}

// Send writes each piece with a write of its own.
func Send(pieces ...[]byte) Behaviour {
	return func(conn net.Conn) {
		for _, piece := range pieces {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}
}

// Flood writes a piece again and again until the other end takes no more, and reads nothing.
func Flood(piece []byte) Behaviour {
	return func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		for {
			_ = conn.SetWriteDeadline(time.Now().Add(stuckTimeout))
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}
}

// Drip writes a beginning, and then a drop from time to time until the connection breaks.
func Drip(begin, drop []byte) Behaviour {
	return func(conn net.Conn) {
		piece := begin
		for {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			piece = drop
			time.Sleep(dripPause)
		}
	}
}

// Chunks encodes a body in chunks of a size, without the chunk that ends it.
func Chunks(body []byte, size int) []byte {
	var encoded bytes.Buffer
	for _, chunk := range Split(body, size) {
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return encoded.Bytes()
}

// Split returns the parts of data of a size; the last one may be shorter.
func Split(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size])
		data = data[size:]
	}
	return append(parts, data)
}

// ManyFields returns a header of many short fields, whose names differ, without its end.
func ManyFields(requestLine string, bytes int) []byte {
	header := []byte(requestLine + "\r\n")
	for field := 0; len(header) < bytes; field++ {
		header = fmt.Appendf(header, "%03x:\r\n", field)
	}
	return header
}

// Repeat returns a beginning, a part as often as it fits a size, and an end.
func Repeat(begin, part, end string, size int) []byte {
	text := []byte(begin)
	text = append(text, bytes.Repeat([]byte(part), (size-len(begin)-len(end))/len(part))...)
	return append(text, end...)
}
