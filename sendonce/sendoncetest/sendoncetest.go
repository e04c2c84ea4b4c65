// Package sendoncetest has a server for tests of clients whose connections fall silent.
package sendoncetest

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// SilentServer passes requests to a handler. After Silence it leaves those on connections that were open by
// then unanswered, without closing them.
type SilentServer struct {
	// URL is the server's base URL.
	URL string

	mu     sync.Mutex
	known  map[string]bool
	silent map[string]bool
	// meeting has requests wait for each other; nil lets them pass.
	meeting *sync.WaitGroup
}

// NewSilentServer starts a server that is closed at the end of the test. It answers the first requests
// only once there are as many as connections, so that the client opens that many.
func NewSilentServer(t *testing.T, connections int, handler http.Handler) *SilentServer {
	meeting := &sync.WaitGroup{}
	meeting.Add(connections)
	s := &SilentServer{known: map[string]bool{}, silent: map[string]bool{}, meeting: meeting}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.URL = server.URL
	return s
}

// admit reports whether a request on a connection is answered, after it has met the others.
func (s *SilentServer) admit(connection string) bool {
	s.mu.Lock()
	s.known[connection] = true
	silent, meeting := s.silent[connection], s.meeting
	s.mu.Unlock()
	if meeting != nil {
		meeting.Done()
		meeting.Wait()
	}
	return !silent
}

// Silence makes all connections silent that have carried a request. No request may be in progress.
func (s *SilentServer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.known {
		s.silent[connection] = true
	}
	s.meeting = nil
}
