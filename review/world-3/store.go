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
)

// row is a row of a table, as PROTOCOL.md spells it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is the platform's metadata store: versioned rows, transactions under conditions and a feed.
// Each part handles its transactions one after another.
type store struct {
	record *record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	version int64
	history []row
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
		record: r, began: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, slow: 1,
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
	s.set(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// remove removes a row as the operator and the executors do.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
}

// set applies a row at the present version. The caller holds the lock.
func (s *store) set(r row) {
	r.Ver = s.version
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
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
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.tx(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = s.nowMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// get answers as of the moment at which the call arrives.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	version := s.version
	rows := []row{}
	for id, one := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.wait(answerTime)
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "truncated": limit < len(rows), "ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version := s.changed, s.version
		rows := []row{}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(one row, ver int64) int { return int(one.Ver - ver) })
		for _, one := range s.history[from:] {
			if one.Table == q.Get("table") {
				rows = append(rows, one)
			}
		}
		s.mu.Unlock()
		if len(rows) > pageRows {
			rows = rows[:pageRows]
			version = rows[pageRows-1].Ver
		}
		if len(rows) > 0 {
			s.wait(answerTime)
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []row `json:"expected"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

// part returns the part that all entries share.
func (t transaction) part() string {
	for _, list := range [][]row{t.Expected, t.Put, t.Remove} {
		if len(list) > 0 {
			return list[0].Part
		}
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
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil || len(body) > 1<<20 || len(t.Expected)+len(t.Put)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, one := range t.Put {
		if len(one.Value) > (65536+2)/3*4 || one.Table == "op" || one.Table == "servers" {
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
			s.record.add("store", "a write to part %q that was not answered is carried out %v later: applied %v", t.part(), delay.Round(time.Millisecond), done)
		})
		s.record.add("store", "a write to part %q gets no answer", t.part())
		<-r.Context().Done()
		return
	}
	lock := s.queue(t.part())
	lock.Lock()
	s.wait(txTime)
	current, done, version := s.apply(t)
	lock.Unlock()
	if done {
		s.answer(w, http.StatusOK, map[string]any{"ver": version})
	} else {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
	}
}

// apply makes all changes of a transaction or, if a row isn't at its expected version, none.
func (s *store) apply(t transaction) (current []row, done bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, expected := range t.Expected {
		present, ok := s.rows[expected.id()]
		conflict = conflict || present.Ver != expected.Ver
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
