package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Figures of the platform's store, as the site file of kasa-sofia gives them.
const (
	storeAnswer  = 4 * time.Millisecond
	storeTx      = 5 * time.Millisecond
	writesPerS   = 800
	readsPerS    = 2000
	rowBytes     = 65536
	txEntries    = 100
	txBytes      = 1 << 20
	pageRows     = 500
	storeHistory = 20 * time.Second
)

// row is a row and when it was written.
type row struct {
	wire.Row
	at time.Time
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store in its form of tables.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	oldest  int64
	ver     int64
	changed chan struct{}
	began   time.Time
	parts   map[string]*sync.Mutex
	second  int64
	writes  int
	reads   int
	// refused counts the calls beyond the rates.
	refused int
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now(), parts: map[string]*sync.Mutex{}}
}

// put writes a row for the operator or an executor.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(wire.Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// remove drops a row for the operator or an executor.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; !ok {
		return
	}
	s.ver++
	s.apply(wire.Row{Table: table, Key: key, Deleted: true})
}

// apply changes a row at the present version. The caller holds the mutex.
func (s *store) apply(change wire.Row) {
	r := row{Row: change, at: time.Now()}
	r.Version = s.ver
	if r.Deleted {
		r.Value = ""
		delete(s.rows, rowID{r.Table, r.Partition, r.Key})
	} else {
		s.rows[rowID{r.Table, r.Partition, r.Key}] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.oldest = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// allowed counts a call and reports whether it is within the rates.
func (s *store) allowed(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
	} else {
		s.reads++
	}
	if s.writes > writesPerS || s.reads > readsPerS {
		s.refused++
		return false
	}
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.allowed(r.Method != http.MethodGet) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(storeAnswer)
	switch r.URL.Path {
	case wire.ReadPath:
		s.get(w, r)
	case wire.FeedPath:
		s.feed(w, r)
	case "/v1/rows-parts":
		s.listParts(w, r)
	case wire.WritePath:
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes rows with the store's version and clock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver int64, truncated bool) {
	body := wire.Rows{Rows: []wire.Row{}, Truncated: truncated, Version: ver, NowMS: 5_000_000 + time.Since(s.began).Milliseconds()}
	for _, held := range rows {
		body.Rows = append(body.Rows, held.Row)
	}
	reply(w, status, body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(wire.LimitParameter))
	if err != nil || limit < 1 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var rows []row
	for id, held := range s.rows {
		if id.table == q.Get(wire.TableParameter) && id.part == q.Get(wire.PartitionParameter) && id.key >= q.Get(wire.FromParameter) && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, held)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], ver, limit < len(rows))
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get(wire.TableParameter) && id.part > r.URL.Query().Get(wire.AfterParameter) {
			found[id.part] = true
		}
	}
	parts := []string{}
	for part := range found {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get(wire.AfterParameter), 10, 64)
	wait, _ := strconv.ParseInt(q.Get(wire.WaitParameter), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, changed, ver := after < s.oldest, s.changed, s.ver
		var rows []row
		for _, held := range s.history {
			if held.Table == q.Get(wire.TableParameter) && held.Version > after && len(rows) < pageRows {
				rows = append(rows, held)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) == pageRows:
			s.answer(w, http.StatusOK, rows, rows[len(rows)-1].Version, true)
			return
		case len(rows) > 0:
			s.answer(w, http.StatusOK, rows, ver, false)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, nil, ver, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes lists the rows that a transaction puts or removes.
func changes(t wire.Transaction) []wire.Row { return slices.Concat(t.Put, t.Remove) }

// isValid reports whether the store accepts a transaction at all.
func isValid(t wire.Transaction) bool {
	if n := len(t.Expected) + len(t.Put) + len(t.Remove); len(t.Expected) == 0 || n > txEntries {
		return false
	}
	part := t.Expected[0].Partition
	for _, expected := range t.Expected {
		if expected.Partition != part {
			return false
		}
	}
	for _, r := range changes(t) {
		if r.Partition != part || len(r.Key) > 200 || len(r.Partition) > 200 || len(r.Table) > 200 {
			return false
		}
		if value, err := base64.StdEncoding.DecodeString(r.Value); err != nil || len(value) > rowBytes {
			return false
		}
	}
	return true
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t wire.Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, txBytes)).Decode(&t); err != nil || !isValid(t) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range changes(t) {
		if change.Table == wire.OperatorTable || change.Table == wire.TargetsTable {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	part := s.part(t.Expected[0].Partition)
	part.Lock()
	time.Sleep(storeTx)
	part.Unlock()
	s.mu.Lock()
	var current []row
	conflict := false
	for _, expected := range t.Expected {
		held, ok := s.rows[rowID{expected.Table, expected.Partition, expected.Key}]
		conflict = conflict || held.Version != expected.Version
		if ok {
			current = append(current, held)
		}
	}
	if !conflict {
		s.ver++
		for _, change := range t.Put {
			s.apply(change)
		}
		for _, change := range t.Remove {
			change.Deleted = true
			s.apply(change)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, ver, false)
		return
	}
	s.answer(w, http.StatusOK, nil, ver, false)
}

// part returns the mutex by which the transactions of a part follow each other.
func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}
