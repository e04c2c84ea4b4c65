// Package target is a stand-in for targets in tests. A Server grants leases and runs tasks that
// sleep and return a result, up to its slots, and injects faults on request.
//
// Beside the interface of docs/PLATFORM.md a Server serves POST /fault (set the faults), GET /stats
// (its counters) and GET /starts (the summary of its log, or with full=1 each start as a line of
// JSON).
//
// A task starts only under a lease that has not lapsed, and each start is logged.
package target

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	client "github.com/burdockward/burdockward/targetclient"
)

// Defaults of Options.
const (
	DefaultSlots = 8
	DefaultTTL   = 10 * time.Second
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

// Options are the settings of a Server; zero values take the defaults.
type Options struct {
	// ID is the target's VM id.
	ID string
	// Slots is the largest number of tasks that run at once.
	Slots int
	// TTL is the time to live of leases.
	TTL time.Duration
	// Log records starts. Targets may share one; nil makes a new one.
	Log *StartLog
	// OnLeaving is called when the target begins or ceases to leave; may be nil.
	OnLeaving func(leaving bool)
}

// Stats holds the counters of a Server since its start.
type Stats struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
	// Running counts the running tasks, and MaxRunning is the most that ran at once.
	Running    int `json:"running"`
	MaxRunning int `json:"max_running"`
	// LeaseRequests, StartRequests, StopRequests and RevokeRequests count requests.
	LeaseRequests  uint64 `json:"lease_requests"`
	StartRequests  uint64 `json:"start_requests"`
	StopRequests   uint64 `json:"stop_requests"`
	RevokeRequests uint64 `json:"revoke_requests"`
	// Starts counts the starts that were accepted, Refused those that were refused, by reason.
	Starts  uint64            `json:"starts"`
	Refused map[string]uint64 `json:"refused"`
	// Stopped counts the tasks stopped on request, Checkpoints those of them for which the request
	// asked for a checkpoint.
	Stopped     uint64 `json:"stopped"`
	Checkpoints uint64 `json:"checkpoints"`
	Restarts    uint64 `json:"restarts"`
	// Leases counts the leases that have not lapsed, Waiting the requests that wait for the end of a
	// freeze.
	Leases  int `json:"leases"`
	Waiting int `json:"waiting"`
}

type lease struct {
	id      string
	holder  string
	expires time.Time
}

// Server is one target, an http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux
	// nonce distinguishes lease ids from those of other Servers.
	nonce uint32

	mu sync.Mutex
	// leases are keyed by id.
	leases  map[string]*lease
	issued  int
	running map[*run]struct{}
	stats   Stats
	faults  Faults
	// thawed is closed at the end of a freeze, and nil when the target is not frozen.
	thawed chan struct{}
	// process counts restarts, and ended is closed at the next one.
	process      int
	ended        chan struct{}
	leavingSince time.Time
}

// New returns a target without leases.
func New(options Options) *Server {
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	if options.Log == nil {
		options.Log = NewStartLog()
	}
	s := &Server{
		options: options,
		mux:     http.NewServeMux(),
		nonce:   rand.Uint32(),
		leases:  map[string]*lease{},
		running: map[*run]struct{}{},
		ended:   make(chan struct{}),
		stats:   Stats{ID: options.ID, Slots: options.Slots, Refused: map[string]uint64{}},
	}
	s.mux.HandleFunc("POST "+client.PathLeases, s.pausable(s.postLease))
	s.mux.HandleFunc("POST "+client.PathTasks, s.pausable(s.postTask))
	s.mux.HandleFunc("POST "+client.PathStop, s.pausable(s.postStop))
	s.mux.HandleFunc("POST "+client.PathRevoke, s.pausable(s.postRevoke))
	s.mux.HandleFunc("POST /fault", s.postFault)
	s.mux.HandleFunc("GET /stats", s.getStats)
	s.mux.Handle("GET /starts", options.Log)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends a freeze and all tasks, so that all handlers return.
func (s *Server) Close() { s.setFaults(Faults{Restart: true}) }

// Log returns the log of the target's starts.
func (s *Server) Log() *StartLog { return s.options.Log }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Running = len(s.running)
	stats.Leases = s.liveLeases(time.Now())
	stats.Refused = map[string]uint64{}
	for reason, n := range s.stats.Refused {
		stats.Refused[reason] = n
	}
	return stats
}

// liveLeases counts the leases that have not lapsed; it needs mu.
func (s *Server) liveLeases(now time.Time) int {
	n := 0
	for _, l := range s.leases {
		if now.Before(l.expires) {
			n++
		}
	}
	return n
}

// load returns the load that answers report; it needs mu.
func (s *Server) load() client.Load {
	return client.Load{Running: len(s.running), Slots: s.options.Slots, Leaving: s.faults.Leaving}
}

type leaseRequest struct {
	Holder string `json:"holder"`
}

type leaseRefusal struct {
	Reason client.Reason `json:"reason"`
}

func (s *Server) postLease(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !readJSON(w, r, &request) {
		return
	}
	granted, ok := s.grant(request.Holder)
	if !ok {
		writeJSON(w, http.StatusConflict, leaseRefusal{Reason: client.ReasonLeaving})
		return
	}
	writeJSON(w, http.StatusOK, granted)
}

// grant returns a lease for the holder with a full time to live, or false when the target leaves.
func (s *Server) grant(holder string) (client.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LeaseRequests++
	if s.faults.Leaving {
		return client.Lease{}, false
	}
	now := time.Now()
	held := s.leaseOf(holder, now)
	held.expires = now.Add(s.options.TTL)
	return client.Lease{ID: held.id, TTLMS: s.options.TTL.Milliseconds(), Load: s.load()}, true
}

// leaseOf drops lapsed leases, and returns the holder's lease or a new one; it needs mu.
func (s *Server) leaseOf(holder string, now time.Time) *lease {
	var held *lease
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			delete(s.leases, id)
			continue
		}
		if l.holder == holder {
			held = l
		}
	}
	if held != nil {
		return held
	}
	s.issued++
	held = &lease{id: fmt.Sprintf("%08x-%d", s.nonce, s.issued), holder: holder}
	s.leases[held.id] = held
	return held
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

type errorBody struct {
	Error string `json:"error"`
}

// readJSON decodes the body of a request, or answers 400 and returns false. It reads the whole
// body, so that net/http notices when the caller disconnects.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
