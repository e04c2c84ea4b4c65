// Package prepared simulates the platform for the daemon's real processes on the loopback
// addresses of one machine: the store, the targets, the adviser, the callers and the operator.
//
// Its input is the daemon's binary, the size of the deployment, and the faults that a test or
// command injects. Its output is tallies of what callers saw and a recorder of what targets saw.
// They show whether a task ran twice at one time, a refused job had started, an accepted durable
// job was lost, or a start broke a rule.
//
// Messages are the types of platform/wire, which the daemon uses as well.
package prepared

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

// Store simulates the platform's store: versioned rows, a feed of changes, and transactions that
// expect versions.
type Store struct {
	mu      sync.Mutex
	rows    map[string]wire.Row
	version int64
	// oldest is the version up to which history is lost.
	oldest  int64
	history []wire.Row
	// changed is closed and replaced at each change.
	changed chan struct{}
	began   time.Time
	// unavailable has the addresses of the store that answer each call with 503; "" stands for
	// all.
	unavailable map[string]bool
	// availableSince is when the last outage of each address ended.
	availableSince map[string]time.Time
	// silent is set while requests are left unanswered.
	silent bool
	// lostAnswers is the number of further writes that are applied and not answered.
	lostAnswers int
	// lateShare is the share of writes that get no answer and are applied up to lateWriteTime later, if they
	// still can be.
	lateShare float64
}

// lateWriteTime is the longest time after which a late write is applied.
const lateWriteTime = 3 * time.Second

// clockBase is the store's clock at its start. It is far from the clock of any VM, so that a
// confusion of the two shows.
const clockBase = 100_000 * time.Hour

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows: map[string]wire.Row{}, changed: make(chan struct{}), began: time.Now(),
		unavailable: map[string]bool{}, availableSince: map[string]time.Time{},
	}
}

// SetUnavailable begins or ends an outage for the callers of one of the store's addresses; ""
// stands for all addresses.
func (s *Store) SetUnavailable(host string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable[host] && !unavailable {
		s.availableSince[host] = time.Now()
	}
	s.unavailable[host] = unavailable
	s.wake()
}

// SetSilent begins or ends an outage in which requests are neither carried out nor answered. Those
// that wait when it begins, or arrive in it, stay without an answer after its end.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !silent {
		s.availableSince[""] = time.Now()
	}
	s.silent = silent
	s.wake()
}

// lastUnavailable is the end of the last outage for any address, or now during one.
func (s *Store) lastUnavailable() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for host := range s.unavailable {
		last = latest(last, s.lastUnavailableAt(host))
	}
	return latest(last, s.lastUnavailableAt(""))
}

// lastUnavailableFor is lastUnavailable for the callers of one address.
func (s *Store) lastUnavailableFor(host string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return latest(s.lastUnavailableAt(""), s.lastUnavailableAt(host))
}

// lastUnavailableAt is the end of the last outage of one address, without those of all; "" stands for
// all. The caller holds the lock.
func (s *Store) lastUnavailableAt(host string) time.Time {
	if s.unavailable[host] || host == "" && s.silent {
		return time.Now()
	}
	return s.availableSince[host]
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LoseAnswers has the next count writes be applied and not answered.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers = count
}

// SetLateWrites sets the share of writes that get no answer and are applied late.
func (s *Store) SetLateWrites(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// drawLateWrite draws whether a write is late.
func (s *Store) drawLateWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateShare > 0 && rand.Float64() < s.lateShare
}

// Compact discards the history, so that feeds from an older version are answered with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Write puts a row without expecting a version, as the operator and the targets do.
func (s *Store) Write(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("encode row: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

// WriteRaw puts a row whose value may be unreadable, as another writer may leave it.
func (s *Store) WriteRaw(table, key, value string) { s.writeRawTo(table, "", key, value) }

// writeRawTo is WriteRaw for a row of a partition.
func (s *Store) writeRawTo(table, partition, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Partition: partition, Key: key, Value: value})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) { s.removeFrom(table, "", key) }

// removeFrom is Remove for a row of a partition.
func (s *Store) removeFrom(table, partition, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(wire.Row{Table: table, Partition: partition, Key: key, Deleted: true})
}

// rowID identifies a row of a partition of a table.
func rowID(table, partition, key string) string { return table + "/" + partition + "/" + key }

// put applies a row or its deletion at the current version. The caller holds s.mu.
func (s *Store) put(row wire.Row) {
	row.Version = s.version
	id := rowID(row.Table, row.Partition, row.Key)
	if row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
	s.wake()
}

// wake has all waiting feeds look for changes. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// claim returns the claim of a group of targets; nil without a readable one.
func (s *Store) claim(group string) *linkpb.Claim {
	s.mu.Lock()
	row, ok := s.rows[rowID("owners", "", group)]
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
	if s.isSilent() {
		ignore(r)
		return
	}
	if s.isUnavailable(r) {
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

// ignore leaves a request unanswered until its caller closes the connection, which the server notices
// once the body has been read.
func ignore(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// isUnavailable reports whether a request came in on an address with an outage.
func (s *Store) isUnavailable(r *http.Request) bool {
	host := ""
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		host, _, _ = net.SplitHostPort(local.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable[""] || s.unavailable[host]
}

// pageSize is the number of rows of a read without a limit.
const pageSize = 500

// answer writes rows as the answer to a write, with the store's version.
func (s *Store) answer(w http.ResponseWriter, status int, rows []wire.Row) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.writeRows(w, status, wire.Rows{Rows: rows, Version: version})
}

// writeRows writes an answer with the store's clock.
func (s *Store) writeRows(w http.ResponseWriter, status int, body wire.Rows) {
	body.NowMS = (clockBase + time.Since(s.began)).Milliseconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// read answers with the rows of a partition from a key on, in the order of keys.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get(wire.LimitParameter))
	if err != nil {
		limit = pageSize
	}
	s.mu.Lock()
	version := s.version
	var rows []wire.Row
	for _, row := range s.rows {
		if row.Table == query.Get(wire.TableParameter) && row.Partition == query.Get(wire.PartitionParameter) && row.Key >= query.Get(wire.FromParameter) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	s.writeRows(w, http.StatusOK, wire.Rows{Rows: rows[:min(limit, len(rows))], Truncated: limit < len(rows), Version: version})
}

// feed answers with the changes of a table after a version. It waits for one up to the caller's
// wait, and answers 410 if history that it needs is lost.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get(wire.AfterParameter), 10, 64)
	wait, _ := strconv.ParseInt(query.Get(wire.WaitParameter), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := after < s.oldest
		changed, version, silent := s.changed, s.version, s.silent
		var rows []wire.Row
		for _, row := range s.history {
			if row.Table == query.Get(wire.TableParameter) && row.Version > after {
				rows = append(rows, row)
			}
		}
		s.mu.Unlock()
		if silent {
			ignore(r)
			return
		}
		if s.isUnavailable(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.writeRows(w, http.StatusOK, wire.Rows{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.writeRows(w, http.StatusOK, wire.Rows{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write applies a transaction. A conflict is answered with the current rows; a lost answer breaks
// the connection after the transaction was applied.
func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var tx wire.Transaction
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil || !isWithinLimits(tx, len(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.drawLateWrite() {
		time.AfterFunc(rand.N(lateWriteTime), func() { s.apply(tx) })
		panic(http.ErrAbortHandler)
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

// Limits of a transaction.
const (
	maxEntries    = 100
	maxWriteBytes = 1 << 20
)

// isWithinLimits reports whether the store takes a transaction of so many bytes.
func isWithinLimits(tx wire.Transaction, size int) bool {
	tooLarge := slices.ContainsFunc(tx.Put, func(row wire.Row) bool {
		return base64.StdEncoding.DecodedLen(len(row.Value)) > platform.DefaultRowBytes+2
	})
	return !tooLarge && size <= maxWriteBytes && len(tx.Expected)+len(tx.Put)+len(tx.Remove) <= maxEntries
}

// apply makes all changes of a transaction or, if a row does not have its expected version, none.
// It returns the current rows among the expected ones, and whether the answer is to be lost.
func (s *Store) apply(tx wire.Transaction) (current []wire.Row, applied, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, expected := range tx.Expected {
		row, ok := s.rows[rowID(expected.Table, expected.Partition, expected.Key)]
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
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return current, true, true
	}
	return current, true, false
}
