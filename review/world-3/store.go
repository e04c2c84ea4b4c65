package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// rowID identifies a row.
type rowID struct{ table, part, key string }

func idOf(r wire.Row) rowID { return rowID{r.Table, r.Partition, r.Key} }

// store is the platform's metadata store: versioned rows, transactions under conditions and a feed.
// Each part handles its transactions one after another.
type store struct {
	record *record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowID]wire.Row
	version int64
	history []wire.Row
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// slow is by how much longer than usual each answer takes.
	slow float64
	// lost is the share of transactions that get no answer and are done 1 to 6 s later, if their
	// conditions still hold then; random draws them.
	lost   float64
	random *rand.Rand
}

// Usual times of the store (SYSTEM.md: 4 ms an answer; settings: tx_ms 5).
const (
	answerTime = 4 * time.Millisecond
	txTime     = 5 * time.Millisecond
	pageRows   = 500
)

func newStore(r *record, seed uint64) *store {
	return &store{
		record: r, began: time.Now(), rows: map[rowID]wire.Row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, slow: 1,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// nowMS is the store's steady clock.
func (s *store) nowMS() int64 { return 500_000_000 + time.Since(s.began).Milliseconds() }

func (s *store) setSlow(factor float64) {
	s.mu.Lock()
	s.slow = factor
	s.mu.Unlock()
	s.record.add("store", "answers take %v times as long", factor)
}

func (s *store) setLost(share float64) {
	s.mu.Lock()
	s.lost = share
	s.mu.Unlock()
	s.record.add("store", "share of writes that are done late and not answered: %v", share)
}

// wait takes the time of a call.
func (s *store) wait(usual time.Duration) {
	s.mu.Lock()
	factor := s.slow
	s.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(usual)))
}

// put writes a row as the operator and the executors do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wire.Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// remove removes a row as the operator and the executors do.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wire.Row{Table: table, Key: key, Deleted: true})
}

// set applies a row at the present version. The caller holds the lock.
func (s *store) set(r wire.Row) {
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

// value returns a row's decoded value; nil without one.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	r, ok := s.rows[rowID{table, part, key}]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	data, _ := base64.StdEncoding.DecodeString(r.Value)
	return data
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.ReadPath:
		s.get(w, r)
	case wire.FeedPath:
		s.feed(w, r)
	case wire.WritePath:
		s.tx(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body wire.Rows) {
	body.NowMS = s.nowMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// get answers as of the moment at which the call arrives.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(wire.LimitParameter))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	version := s.version
	rows := []wire.Row{}
	for id, one := range s.rows {
		if id.table == q.Get(wire.TableParameter) && id.part == q.Get(wire.PartitionParameter) && id.key >= q.Get(wire.FromParameter) && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	s.wait(answerTime)
	s.answer(w, http.StatusOK, wire.Rows{Rows: rows[:min(limit, len(rows))], Truncated: limit < len(rows), Version: version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get(wire.AfterParameter), 10, 64)
	wait, _ := strconv.ParseInt(q.Get(wire.WaitParameter), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version := s.changed, s.version
		rows := []wire.Row{}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(one wire.Row, ver int64) int { return int(one.Version - ver) })
		for _, one := range s.history[from:] {
			if one.Table == q.Get(wire.TableParameter) {
				rows = append(rows, one)
			}
		}
		s.mu.Unlock()
		if len(rows) > pageRows {
			rows = rows[:pageRows]
			version = rows[pageRows-1].Version
		}
		if len(rows) > 0 {
			s.wait(answerTime)
			s.answer(w, http.StatusOK, wire.Rows{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, wire.Rows{Rows: rows, Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// partOf returns the part that all entries of a transaction share.
func partOf(t wire.Transaction) string {
	switch {
	case len(t.Expected) > 0:
		return t.Expected[0].Partition
	case len(t.Put) > 0:
		return t.Put[0].Partition
	case len(t.Remove) > 0:
		return t.Remove[0].Partition
	}
	return ""
}

// queue returns the lock that has the transactions of a part wait for each other.
func (s *store) queue(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t wire.Transaction
	if err != nil || json.Unmarshal(body, &t) != nil || len(body) > 1<<20 || len(t.Expected)+len(t.Put)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, one := range t.Put {
		if len(one.Value) > (65536+2)/3*4 || one.Table == wire.OperatorTable || one.Table == wire.TargetsTable {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	late := s.lost > 0 && s.random.Float64() < s.lost
	delay := time.Second + time.Duration(s.random.Float64()*float64(5*time.Second))
	s.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() {
			_, done, _ := s.apply(t)
			s.record.add("store", "a write to part %q that was not answered is carried out %v later: applied %v", partOf(t), delay.Round(time.Millisecond), done)
		})
		s.record.add("store", "a write to part %q gets no answer", partOf(t))
		<-r.Context().Done()
		return
	}
	lock := s.queue(partOf(t))
	lock.Lock()
	s.wait(txTime)
	current, done, version := s.apply(t)
	lock.Unlock()
	if done {
		s.answer(w, http.StatusOK, wire.Rows{Version: version})
	} else {
		s.answer(w, http.StatusPreconditionFailed, wire.Rows{Rows: current, Version: version})
	}
}

// apply makes all changes of a transaction or, if a row isn't at its expected version, none.
func (s *store) apply(t wire.Transaction) (current []wire.Row, done bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, expected := range t.Expected {
		present, ok := s.rows[rowID{expected.Table, expected.Partition, expected.Key}]
		conflict = conflict || present.Version != expected.Version
		if ok {
			current = append(current, present)
		}
	}
	if conflict {
		return current, false, s.version
	}
	s.version++
	for _, one := range t.Put {
		s.set(one)
	}
	for _, one := range t.Remove {
		one.Deleted = true
		s.set(one)
	}
	return nil, true, s.version
}
