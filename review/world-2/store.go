package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	rowBytes   = 65536
	callBytes  = 1 << 20
	maxEntries = 100
	txTime     = 5 * time.Millisecond
	readTime   = 2 * time.Millisecond
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store stands in for the platform's metadata store: linearizable rows, transactions and feeds.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int64
	history []row
	changed chan struct{}
	began   time.Time
	parts   map[string]*sync.Mutex
	record  *record
	// refused counts the writes that broke a limit of the pages.
	refused int
}

func newStore(r *record) *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now(), parts: map[string]*sync.Mutex{}, record: r}
}

// put writes a row as the operator and the executors do; nil removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if value == nil {
		s.apply(row{Table: table, Key: key, Deleted: true})
		return
	}
	data, _ := json.Marshal(value)
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// get returns the value of a row.
func (s *store) get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[row{Table: table, Part: part, Key: key}.id()]
	data, _ := base64.StdEncoding.DecodeString(r.Value)
	return data, ok
}

// apply stores a row at the present version; the caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": version, "now_ms": 50_000_000 + time.Since(s.began).Milliseconds(),
	})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-get":
		s.read(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	version := s.version
	var rows []row
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("to") == "" || have.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= callBytes) {
		size += len(rows[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, rows[:n], n < len(rows), version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version := s.changed, s.version
		var rows []row
		for at := len(s.history) - 1; at >= 0 && s.history[at].Version > after; at-- {
			if s.history[at].Table == q.Get("table") {
				rows = append(rows, s.history[at])
			}
		}
		s.mu.Unlock()
		slices.Reverse(rows)
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a write.
type transaction struct {
	Expected []row `json:"expected"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

// fault says which limit of the pages a write breaks; "" if none.
func (t transaction) fault(size int) string {
	switch {
	case len(t.Expected)+len(t.Put)+len(t.Remove) > maxEntries:
		return "more than 100 entries"
	case size > callBytes:
		return "more than 1 MB"
	}
	for _, r := range t.Put {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil || len(value) > rowBytes {
			return "row " + r.Table + "/" + r.Key + " of " + strconv.Itoa(len(value)) + " bytes"
		}
	}
	return ""
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var tx transaction
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fault := tx.fault(len(data)); fault != "" {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 5 || n%50 == 0 {
			s.record.add("store      400 to a write: %s (%d so far)", fault, n)
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	if len(tx.Expected) > 0 {
		part = tx.Expected[0].Part
	}
	s.mu.Lock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	turn := s.parts[part]
	s.mu.Unlock()
	turn.Lock()
	time.Sleep(txTime)
	current, ok, version := s.commit(tx)
	turn.Unlock()
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.answer(w, http.StatusOK, nil, false, version)
}

// commit makes all changes of a write or, if a row isn't at its expected version, none.
func (s *store) commit(tx transaction) (current []row, ok bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range tx.Expected {
		have, exists := s.rows[e.id()]
		if exists {
			current = append(current, have)
		}
		ok = ok && have.Version == e.Version
	}
	if !ok {
		return current, false, s.version
	}
	s.version++
	for _, r := range tx.Put {
		s.apply(r)
	}
	for _, r := range tx.Remove {
		r.Deleted = true
		s.apply(r)
	}
	return nil, true, s.version
}
