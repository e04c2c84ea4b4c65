// Package prepared is a stand-in for the prepared machines: the platform's store,
// its targets, callers and the operator, on this machine's loopback addresses. It
// speaks the platform's own messages, one copy of which serves the adapter as well.
package prepared

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform/wire"
)

// Store is a stand-in of the metadata store.
type Store struct {
	mu      sync.Mutex
	rows    map[string]wire.Row
	version int64
	oldest  int64
	history []wire.Row
	changed chan struct{}
	began   time.Time
	// away turns away those who call these of its addresses; "" stands for all.
	away map[string]bool
	// wentBack is when it last began to answer all again.
	wentBack time.Time
	// lost is the number of writes to come that are done and not answered.
	lost int
}

// clockBase is what the store's clock stood at when it began: far from any clock that a
// VM has of its own.
const clockBase = 100_000 * time.Hour

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]wire.Row{}, changed: make(chan struct{}), began: time.Now(), away: map[string]bool{}}
}

// Away sets whether the store turns away those who call one of its addresses; ""
// stands for all.
func (s *Store) Away(host string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[host] && !away {
		s.wentBack = time.Now()
	}
	s.away[host] = away
	s.wake()
}

// lastAway is when the store last turned somebody away.
func (s *Store) lastAway() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, away := range s.away {
		if away {
			return time.Now()
		}
	}
	return s.wentBack
}

// LoseAnswers has the next writes be done and not answered.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = count
}

// Compact forgets all history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Write puts a row without a condition, as the operator and the targets do.
func (s *Store) Write(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("a stand-in's row: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// WriteRaw puts a row as any other writer may leave it: its value needn't be readable.
func (s *Store) WriteRaw(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Key: key, Value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Key: key, Deleted: true})
}

// place is where a row lies.
func place(table, part, key string) string { return table + "/" + part + "/" + key }

func (s *Store) put(row wire.Row) {
	row.Version = s.version
	id := place(row.Table, row.Part, row.Key)
	if row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// claim reads who owns a group.
func (s *Store) claim(group string) *linkpb.Claim {
	s.mu.Lock()
	row, ok := s.rows[place("owners", "", group)]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	claim := &linkpb.Claim{}
	value, err := base64.StdEncoding.DecodeString(row.Value)
	if err != nil || proto.Unmarshal(value, claim) != nil {
		return nil
	}
	return claim
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.turnsAway(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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

func (s *Store) turnsAway(r *http.Request) bool {
	host := ""
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		host, _, _ = net.SplitHostPort(local.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[""] || s.away[host]
}

// readLimit is the most rows in one answer.
const readLimit = 500

func (s *Store) answer(w http.ResponseWriter, status int, rows []wire.Row) {
	s.page(w, status, rows, false)
}

func (s *Store) page(w http.ResponseWriter, status int, rows []wire.Row, truncated bool) {
	s.mu.Lock()
	body := wire.Rows{Rows: rows, Truncated: truncated, Version: s.version, NowMS: (clockBase + time.Since(s.began)).Milliseconds()}
	s.mu.Unlock()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get(wire.LimitParameter))
	if err != nil {
		limit = readLimit
	}
	s.mu.Lock()
	var rows []wire.Row
	for _, row := range s.rows {
		if row.Table == query.Get(wire.TableParameter) && row.Part == query.Get(wire.PartParameter) && row.Key >= query.Get(wire.FromParameter) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	s.page(w, http.StatusOK, rows[:min(limit, len(rows))], limit < len(rows))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get(wire.AfterParameter), 10, 64)
	wait, _ := strconv.ParseInt(query.Get(wire.WaitParameter), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := after < s.oldest
		changed := s.changed
		var rows []wire.Row
		for _, row := range s.history {
			if row.Table == query.Get(wire.TableParameter) && row.Version > after {
				rows = append(rows, row)
			}
		}
		s.mu.Unlock()
		if s.turnsAway(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var tx wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, applied, lost := s.apply(tx)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case !applied:
		s.answer(w, http.StatusPreconditionFailed, current)
	default:
		s.answer(w, http.StatusOK, nil)
	}
}

// apply makes all changes or none, and returns the rows that were expected as they are.
func (s *Store) apply(tx wire.Transaction) (current []wire.Row, applied, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, expected := range tx.Expected {
		row, ok := s.rows[place(expected.Table, expected.Part, expected.Key)]
		conflict = conflict || row.Version != expected.Version
		if ok {
			current = append(current, row)
		}
	}
	if conflict {
		return current, false, false
	}
	s.version++
	for _, row := range tx.Put {
		s.put(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		s.put(row)
	}
	if s.lost > 0 {
		s.lost--
		return current, true, true
	}
	return current, true, false
}
