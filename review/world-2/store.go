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

	"github.com/burdockward/burdockward/platform/wire"
)

// Limits of the store, as in the settings of a small deployment.
const (
	rowBytes   = 65536
	callBytes  = 1 << 20
	maxEntries = 100
	txTime     = 5 * time.Millisecond
	readTime   = 2 * time.Millisecond
)

// rowID identifies a row.
func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func idOf(r wire.Row) string { return rowID(r.Table, r.Partition, r.Key) }

// store stands in for the platform's metadata store: linearizable rows, transactions and feeds.
type store struct {
	mu      sync.Mutex
	rows    map[string]wire.Row
	version int64
	history []wire.Row
	changed chan struct{}
	began   time.Time
	parts   map[string]*sync.Mutex
	record  *record
	// refused counts the writes that broke a limit of the pages.
	refused int
}

func newStore(r *record) *store {
	return &store{rows: map[string]wire.Row{}, changed: make(chan struct{}), began: time.Now(), parts: map[string]*sync.Mutex{}, record: r}
}

// put writes a row as the operator and the executors do; nil removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if value == nil {
		s.apply(wire.Row{Table: table, Key: key, Deleted: true})
		return
	}
	data, _ := json.Marshal(value)
	s.apply(wire.Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// get returns the value of a row.
func (s *store) get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID(table, part, key)]
	data, _ := base64.StdEncoding.DecodeString(r.Value)
	return data, ok
}

// apply stores a row at the present version; the caller holds the lock.
func (s *store) apply(r wire.Row) {
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, idOf(r))
	} else {
		s.rows[idOf(r)] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wire.Row, truncated bool, version int64) {
	if rows == nil {
		rows = []wire.Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Rows{
		Rows: rows, Truncated: truncated, Version: version, NowMS: 50_000_000 + time.Since(s.began).Milliseconds(),
	})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.ReadPath:
		s.read(w, r)
	case wire.FeedPath:
		s.feed(w, r)
	case wire.WritePath:
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(wire.LimitParameter))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	version := s.version
	var rows []wire.Row
	for _, have := range s.rows {
		if have.Table == q.Get(wire.TableParameter) && have.Partition == q.Get(wire.PartitionParameter) && have.Key >= q.Get(wire.FromParameter) && (q.Get("to") == "" || have.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= callBytes) {
		size += len(rows[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, rows[:n], n < len(rows), version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get(wire.AfterParameter), 10, 64)
	wait, _ := strconv.ParseInt(q.Get(wire.WaitParameter), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version := s.changed, s.version
		var rows []wire.Row
		for at := len(s.history) - 1; at >= 0 && s.history[at].Version > after; at-- {
			if s.history[at].Table == q.Get(wire.TableParameter) {
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

// faultOf says which limit of the pages a write breaks; "" if none.
func faultOf(t wire.Transaction, size int) string {
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
	var tx wire.Transaction
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fault := faultOf(tx, len(data)); fault != "" {
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
		part = tx.Expected[0].Partition
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
func (s *store) commit(tx wire.Transaction) (current []wire.Row, ok bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range tx.Expected {
		have, exists := s.rows[rowID(e.Table, e.Partition, e.Key)]
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
