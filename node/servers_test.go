package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/platform"
)

// Callers beyond their share of the sockets get the place of the connection that has been idle longest. The calls
// of other VMs are served meanwhile.
func TestCallersAreLimitedToTheirShareOfSockets(t *testing.T) {
	n := &Node{options: Options{Count: func(string, string) {}}, log: slog.New(slog.DiscardHandler), requestMemory: intake.NewBudget(1<<10, 1<<20)}
	open, err := listen(platform.Settings{
		FrontendAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", MaxSockets: 2 * callerSocketDivisor,
	}, n)
	must.NoError(t, err)
	var serving errgroup.Group
	open.serve(&serving)
	t.Cleanup(func() { open.close(); must.NoError(t, serving.Wait()) })
	dial := func(server *openServer) net.Conn {
		conn, err := net.Dial("tcp4", server.listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	ask := func(conn net.Conn) int {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		return answer.StatusCode
	}
	first, second := dial(open.frontend), dial(open.frontend)
	must.Eq(t, http.StatusServiceUnavailable, ask(first))
	must.Eq(t, http.StatusServiceUnavailable, ask(second))
	third := dial(open.frontend)
	must.Eq(t, http.StatusNotFound, ask(dial(open.control)))
	must.Eq(t, http.StatusServiceUnavailable, ask(third))
	_, err = first.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, http.StatusServiceUnavailable, ask(second))
}
