package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hang is how long a test waits for what should happen at once.
const hang = 20 * time.Second

// testServer serves a handler within limits.
type testServer struct {
	address string
	budget  *Budget
	limited *Listener

	mu     sync.Mutex
	counts map[string]int
}

func (s *testServer) count(_, label string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[label]++
}

// connections returns the numbers of open connections and of those that wait for their clients.
func (s *testServer) connections() (open, waiting int) {
	s.limited.mu.Lock()
	defer s.limited.mu.Unlock()
	return s.limited.places.Len(), s.limited.places.waiting.Len()
}

// await waits until the server's numbers of connections are as done wants them.
func (s *testServer) await(t *testing.T, done func(open, waiting int) bool) {
	t.Helper()
	for end := time.Now().Add(hang); !done(s.connections()); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("the connections stay as they are"))
	}
}

func startServer(t *testing.T, places int, shared int64, handler http.Handler) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &testServer{address: listener.Addr().String(), budget: NewBudget(4<<10, shared), counts: map[string]int{}}
	s.limited = Limit(listener, Options{
		Name: "test", Places: places, Budget: s.budget, WriteTimeout: 50 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Count: s.count,
	})
	server := &http.Server{Handler: handler, ConnState: s.limited.TrackState, ConnContext: ConnContext, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(s.limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(hang)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a request and returns the status of its answer.
func ask(t *testing.T, conn net.Conn, request string) int {
	t.Helper()
	_, err := io.WriteString(conn, request)
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func ok(http.ResponseWriter, *http.Request) {}

// wantClosed checks that the other end closes a connection.
func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	if err != nil {
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

func TestNewConnectionTakesPlaceOfLongestIdle(t *testing.T) {
	s := startServer(t, 2, 1<<20, http.HandlerFunc(ok))
	first, second := s.dial(t), s.dial(t)
	for _, conn := range []net.Conn{first, second, first} {
		must.Eq(t, http.StatusOK, ask(t, conn, getRequest))
		// A client can have its answer before the server counts its connection as waiting.
		s.await(t, func(open, waiting int) bool { return open == 2 && waiting == 2 })
	}
	third := s.dial(t)
	must.Eq(t, http.StatusOK, ask(t, third, getRequest))
	wantClosed(t, second)
	must.Eq(t, http.StatusOK, ask(t, first, getRequest))
	must.Eq(t, map[string]int{countClosed: 1}, s.counts)
}

// While every request is being served, a new connection waits, and is served once a place is free.
func TestServedRequestsKeepTheirPlaces(t *testing.T) {
	release, serving := make(chan struct{}), make(chan struct{}, 1)
	s := startServer(t, 1, 1<<20, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		serving <- struct{}{}
		<-release
	}))
	first := s.dial(t)
	_, err := io.WriteString(first, getRequest)
	must.NoError(t, err)
	<-serving
	second := s.dial(t)
	answered := make(chan int)
	go func() { answered <- ask(t, second, getRequest) }()
	release <- struct{}{}
	answer, err := http.ReadResponse(bufio.NewReader(first), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.StatusCode)
	<-serving
	release <- struct{}{}
	must.Eq(t, http.StatusOK, <-answered)
}

func TestClosedListenerStopsWaitingForAPlace(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	limited := Limit(inner, Options{Places: 1, Budget: NewBudget(0, 1), Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}})
	for range 2 {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	conn, err := limited.Accept()
	must.NoError(t, err)
	conn.(*Conn).SetServing()
	failed := make(chan error)
	go func() {
		_, err := limited.Accept()
		failed <- err
	}()
	must.NoError(t, limited.Close())
	must.ErrorIs(t, <-failed, net.ErrClosed)
}

// A header that costs more than is free ends its connection; others are served.
func TestHeaderBeyondTheBudgetEndsItsConnection(t *testing.T) {
	s := startServer(t, 10, 1, http.HandlerFunc(ok))
	large := s.dial(t)
	_, err := io.WriteString(large, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 1000))
	must.NoError(t, err)
	wantClosed(t, large)
	must.Eq(t, http.StatusOK, ask(t, s.dial(t), getRequest))
	must.Eq(t, 0, s.budget.Used())
	must.Eq(t, map[string]int{countHeader: 1}, s.counts)
}

// A client that doesn't read its answers is closed once they fill the buffers of its connection.
func TestClientThatReadsNoAnswersIsClosed(t *testing.T) {
	served := make(chan struct{}, 50)
	s := startServer(t, 10, 1<<20, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		_, _ = w.Write(make([]byte, 1<<20))
	}))
	conn := s.dial(t)
	_, _ = io.WriteString(conn, strings.Repeat(getRequest, 50))
	<-served
	s.await(t, func(open, _ int) bool { return open == 0 })
	read, _ := io.Copy(io.Discard, conn)
	must.Less(t, 50<<20, read)
}

// Bodies are read within the budget, and a refused one doesn't end the others.
func TestBodiesOfAllConnectionsShareTheBudget(t *testing.T) {
	read, release := make(chan struct{}, 2), make(chan struct{})
	s := startServer(t, 10, 96<<10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, held, err := ConnOf(r.Context()).ReadRequest(r, 1<<20)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		read <- struct{}{}
		<-release
		ConnOf(r.Context()).Account().Release(held)
	}))
	post := func(bytes int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
	}
	answers := make(chan int)
	large := s.dial(t)
	go func() { answers <- ask(t, large, post(40<<10)) }()
	<-read
	must.Eq(t, http.StatusServiceUnavailable, ask(t, s.dial(t), post(40<<10)))
	small := s.dial(t)
	go func() { answers <- ask(t, small, post(3<<10)) }()
	<-read
	close(release)
	must.Eq(t, http.StatusOK, <-answers)
	must.Eq(t, http.StatusOK, <-answers)
	must.Eq(t, 1, s.counts[countBody])
}

// The limits do not hide whether a caller is gone, and a server without them has none.
func TestConnectionGivesAccessToItsSocket(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	listener := Limit(inner, Options{Places: 1, Budget: NewBudget(0, 1), Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}})
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp4", inner.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	socket, isSocket := conn.(syscall.Conn)
	must.True(t, isSocket)
	_, err = socket.SyscallConn()
	must.NoError(t, err)
	none := ConnOf(context.Background())
	none.SetWaiting()
	none.SetServing()
	must.NoError(t, none.Account().Reserve(1<<40))
	none.Account().Release(1 << 40)
}
