package frontend

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/submission"
	"github.com/shoenig/test/must"
)

// pipeListener accepts the server's end of one pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that does not read its answer counts among the requests in flight only until
// writeTimeout.
func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeService{reply: submission.Reply{Outcome: answered}}, nil)
		caller, conn := net.Pipe()
		listener := pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- conn
		server := &http.Server{Handler: s.Handler()}
		go func() { _ = server.Serve(listener) }()
		_, err := caller.Write([]byte("POST /v1/submissions HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(validBody)) + "\r\n\r\n" + validBody))
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, 1, len(s.inFlight))
		time.Sleep(writeTimeout + time.Second)
		synctest.Wait()
		must.Eq(t, 0, len(s.inFlight))
		close(listener.closed)
		_ = caller.Close()
		_ = server.Close()
	})
}
