// Package platform is a stand-in for the platform in tests. It serves the table service and the VM
// list from memory, and injects faults on request.
//
// Beside the interface of docs/PLATFORM.md it serves PUT and DELETE /v1/vms/{id} (change the VM
// list), POST /fault (set the faults) and GET /stats (the counters).
//
// A commit applies all its writes or none. Limits and faults apply before a call has an effect,
// except LoseAnswers, which drops the answer of a commit after it was applied.
package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	client "github.com/burdockward/burdockward/tableservice"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

// Options are the settings of a Server.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit reads and commits; 0 is no limit.
	ReadsPerSecond, WritesPerSecond float64
	// DelayReads delays reads beyond the limit instead of refusing them with 429. Commits beyond
	// their limit are always delayed.
	DelayReads bool
	// CommitTime is how long each commit takes.
	CommitTime time.Duration
}

// Stats counts the calls of a Server since its start.
type Stats struct {
	// Reads counts answered reads by table; the VM list is under ListStats.
	Reads map[string]uint64 `json:"reads"`
	// ListReads counts answered reads of the VM list.
	ListReads uint64 `json:"list_reads"`
	// Writes counts applied row writes by table.
	Writes map[string]uint64 `json:"writes"`
	// Commits counts applied commits, Conflicts those whose expectations did not hold, Refused the
	// refused calls, and LostAnswers the commits whose answers were dropped.
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	Refused     uint64 `json:"refused"`
	LostAnswers uint64 `json:"lost_answers"`
	// Version is the number of the newest commit.
	Version uint64 `json:"version"`
}

// Server is the stand-in, an http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu     sync.Mutex
	store  *store
	list   *vmList
	faults Faults
	reads  *bucket
	writes *bucket
	stats  Stats
	// staleTurn is whether the next read is stale, when stale and fresh reads alternate.
	staleTurn bool
}

// New returns a stand-in without rows and VMs.
func New(options Options) *Server {
	now := time.Now()
	s := &Server{
		options: options,
		mux:     http.NewServeMux(),
		store:   newStore(),
		list:    newVMList(now),
		reads:   newBucket(options.ReadsPerSecond, now),
		writes:  newBucket(options.WritesPerSecond, now),
		stats:   Stats{Reads: map[string]uint64{}, Writes: map[string]uint64{}},
	}
	s.mux.HandleFunc("GET /v1/tables/{table}", s.getChanges)
	s.mux.HandleFunc("POST /v1/commit", s.postCommit)
	s.mux.HandleFunc("GET /v1/vms", s.getVMs)
	s.mux.HandleFunc("PUT /v1/vms/{id}", s.putVM)
	s.mux.HandleFunc("DELETE /v1/vms/{id}", s.deleteVM)
	s.mux.HandleFunc("POST /fault", s.postFault)
	s.mux.HandleFunc("GET /stats", s.getStats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// PutVM adds or replaces a VM of the list.
func (s *Server) PutVM(vm client.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.put(time.Now(), vm)
}

// DeleteVM removes a VM from the list.
func (s *Server) DeleteVM(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.remove(time.Now(), id)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Reads = copyCounts(s.stats.Reads)
	stats.Writes = copyCounts(s.stats.Writes)
	stats.Version = s.store.version
	return stats
}

func copyCounts(counts map[string]uint64) map[string]uint64 {
	copied := make(map[string]uint64, len(counts))
	for name, n := range counts {
		copied[name] = n
	}
	return copied
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var request faultRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.Reset {
		request.Faults = Faults{}
	}
	s.SetFaults(request.Faults)
	writeJSON(w, http.StatusOK, request.Faults)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm client.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.ID = r.PathValue("id")
	if vm.State == "" {
		vm.State = client.StateLive
	}
	s.PutVM(vm)
	writeJSON(w, http.StatusOK, vm)
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.DeleteVM(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "since must be the number of a commit")
		return
	}
	if !s.admit(w, s.admitRead) {
		return
	}
	writeJSON(w, http.StatusOK, s.changes(r.PathValue("table"), since))
}

func (s *Server) changes(table string, since uint64) client.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads[table]++
	return s.store.changes(table, since, s.readVersion())
}

// readVersion returns the commit whose state the next read shows; it alternates when
// StaleAlternate is set. It needs mu.
func (s *Server) readVersion() uint64 {
	if s.faults.StaleCommits == 0 {
		return s.store.version
	}
	s.staleTurn = !s.staleTurn
	if s.faults.StaleAlternate && !s.staleTurn {
		return s.store.version
	}
	return s.store.version - min(s.store.version, s.faults.StaleCommits)
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(cmp.Or(query.Get("since"), "0"), 10, 64)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "since must be a version of the list")
		return
	}
	if !s.admit(w, s.admitRead) {
		return
	}
	list := s.vms(query.Get("domain"))
	if since > 0 && list.Version <= since {
		list.VMs = nil
	}
	if kind := client.Kind(query.Get("kind")); kind != "" {
		list.VMs = slices.DeleteFunc(list.VMs, func(vm client.VM) bool { return vm.Kind != kind })
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) vms(domain string) client.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ListReads++
	lag := time.Duration(s.faults.ListLagMS) * time.Millisecond
	return s.list.asOf(time.Now().Add(-lag), domain)
}

func (s *Server) postCommit(w http.ResponseWriter, r *http.Request) {
	var commit client.Commit
	if !readJSON(w, r, &commit) {
		return
	}
	if !s.admit(w, s.admitWrite) {
		return
	}
	version, conflict, lost := s.commit(commit)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case conflict != nil:
		writeJSON(w, http.StatusConflict, conflictBody{Conflict: *conflict})
	default:
		writeJSON(w, http.StatusOK, versionBody{Version: version})
	}
}

// commit applies a commit and counts it. It returns the version or the expectation that did not
// hold, and whether the answer is to be dropped.
func (s *Server) commit(commit client.Commit) (version uint64, conflict *client.Expectation, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.faults.LoseAnswers
	if lost {
		s.stats.LostAnswers++
	}
	version, conflict = s.store.commit(commit)
	if conflict != nil {
		s.stats.Conflicts++
		return 0, conflict, lost
	}
	s.stats.Commits++
	for _, write := range commit.Writes {
		s.stats.Writes[write.Table]++
	}
	return version, nil, lost
}

// verdict is what the limits decide about a call: how long it waits, and the status and reason of a
// refusal; status 0 is none.
type verdict struct {
	wait   time.Duration
	status int
	reason string
}

// admit applies limits and faults to a call and reports whether the call proceeds. It refuses other
// calls itself. Its delays last in full even when the caller has disconnected.
func (s *Server) admit(w http.ResponseWriter, decide func(now time.Time) verdict) bool {
	s.mu.Lock()
	v := decide(time.Now())
	cut := s.faults.Cut
	down := s.faults.Down
	slow := time.Duration(s.faults.SlowMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(v.wait + slow)
	switch {
	case cut:
		panic(http.ErrAbortHandler)
	case down:
		s.refuse(w, http.StatusServiceUnavailable, "down")
		return false
	case v.status != 0:
		s.refuse(w, v.status, v.reason)
		return false
	}
	return true
}

// admitRead applies the limit of reads; it needs mu.
func (s *Server) admitRead(now time.Time) verdict {
	wait := s.reads.take(now)
	if wait == 0 || s.options.DelayReads {
		return verdict{wait: wait}
	}
	s.reads.giveBack()
	return verdict{status: http.StatusTooManyRequests, reason: "too many reads"}
}

// admitWrite applies the limit of commits and their duration; it needs mu.
func (s *Server) admitWrite(now time.Time) verdict {
	return verdict{wait: s.writes.take(now) + s.options.CommitTime}
}

func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	writeJSON(w, status, refusedBody{Refused: reason})
}

type refusedBody struct {
	Refused string `json:"refused"`
}

type versionBody struct {
	Version uint64 `json:"version"`
}

type conflictBody struct {
	Conflict client.Expectation `json:"conflict"`
}

// readJSON decodes the body of a request, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusedBody{Refused: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
