package node

import (
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// The limit of callers' connections doesn't hide whether a caller is gone.
func TestLimitedConnectionGivesAccessToItsSocket(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	listener := limitCallers(inner, 1)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp4", inner.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	socket, ok := conn.(syscall.Conn)
	must.True(t, ok)
	_, err = socket.SyscallConn()
	must.NoError(t, err)
}
