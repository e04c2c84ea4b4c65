package jobstore

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// Result is how the acceptance of a job ended.
type Result int

// The results of an acceptance.
const (
	// Stored says that the job lies in the store and is this owner's to run.
	Stored Result = iota
	// Known says that the job lay in the store already.
	Known
	// NotStored says that the job doesn't lie in the store and never will.
	NotStored
	// Doubtful says that the store doesn't tell: the result follows when it does.
	Doubtful
	// Uncertain says that another owner has the group, so that nobody here can tell.
	Uncertain
)

var resultNames = map[Result]string{
	Stored: "stored", Known: "known", NotStored: "not stored", Doubtful: "doubtful", Uncertain: "uncertain",
}

// String names the result in metrics.
func (r Result) String() string { return resultNames[r] }

// entry is a job of a shard.
type entry struct {
	id       string
	job      []byte
	progress Progress
	// jobVersion and progressVersion are those of the rows; 0 while they don't exist.
	jobVersion, progressVersion int64
	// created says that the job's row lies in the store.
	created bool
	// doubts counts the writes in a row whose answer was lost: they may be done later.
	doubts int
	// changes counts what was noted, written what lies in the store.
	changes, written int
	// sending is how many changes the write on its way holds.
	sending int
	// ending says that the write on its way holds the job's end.
	ending   bool
	waiting  []waiter
	accepted func(Result)
	queued   bool
	// expires is when an ended job is forgotten, on the boot clock; 0 before its end.
	expires time.Duration
}

// waiter is told when a number of changes lies in the store.
type waiter struct {
	changes int
	done    func()
}

// dropping reports whether an entry's progress is to be removed.
func (e *entry) dropping(now time.Duration) bool { return e.expires > 0 && now >= e.expires }

// shard decides what is written next to one part. It is plain code: it returns batches
// and takes how they ended.
type shard struct {
	life uint64
	home string
	// fenceVersion is that of this owner's fence row; 0 before it lies there.
	fenceVersion int64
	entries      map[string]*entry
	queue        []*entry
	sent         []*entry
	// lost is set once another owner's fence was seen.
	lost bool
	// away says that the last write had no answer, or was turned away.
	away bool
	// calls are to be made once the state is consistent.
	calls []func()
}

// maxEntries bounds the jobs of a part at one owner, ended ones included: three times
// what the largest site ends at one owner while they are remembered.
const maxEntries = 25_000

func newShard(home string, life uint64) *shard {
	return &shard{home: home, life: life, entries: map[string]*entry{}}
}

func (s *shard) later(call func()) {
	if call != nil {
		s.calls = append(s.calls, call)
	}
}

// told returns the calls to be made.
func (s *shard) told() []func() {
	calls := s.calls
	s.calls = nil
	return calls
}

func (s *shard) enqueue(e *entry) {
	if !e.queued {
		e.queued = true
		s.queue = append(s.queue, e)
	}
}

// accept has a job written; accepted is told how that ended.
func (s *shard) accept(id string, job []byte, accepted func(Result)) {
	switch e := s.entries[id]; {
	case s.lost || s.fenceVersion == 0 || s.away && e == nil:
		s.later(func() { accepted(NotStored) })
	case e == nil && len(s.entries) >= maxEntries:
		s.later(func() { accepted(NotStored) })
	case e == nil:
		e = &entry{id: id, job: job, progress: Progress{Home: s.home, State: work.StateQueued}, accepted: accepted}
		s.entries[id] = e
		s.enqueue(e)
	case e.created:
		s.later(func() { accepted(Known) })
	default:
		earlier := e.accepted
		e.accepted = func(r Result) {
			earlier(r)
			if r == Stored {
				r = Known
			}
			accepted(r)
		}
	}
}

// note changes a job's progress; done is told when that lies in the store.
func (s *shard) note(id string, change func(*Progress), done func()) {
	e := s.entries[id]
	if e == nil {
		return
	}
	change(&e.progress)
	e.changes++
	if done != nil {
		e.waiting = append(e.waiting, waiter{changes: e.changes, done: done})
	}
	s.enqueue(e)
}

// load takes a job that was read under this owner's fence.
func (s *shard) load(id string, jobVersion, progressVersion int64, p Progress, expires time.Duration) {
	s.entries[id] = &entry{
		id: id, created: true, jobVersion: jobVersion, progressVersion: progressVersion, progress: p, expires: expires,
	}
}

// state is how a job stands as far as the store has it.
func (s *shard) state(id string) (work.State, bool) {
	e := s.entries[id]
	if e == nil || !e.created {
		return work.StateAbsent, false
	}
	if e.progress.State.Final() && e.written < e.changes {
		return work.StateRunning, true
	}
	return e.progress.State, true
}

// sweep queues ended jobs that nobody asks for any more.
func (s *shard) sweep(now time.Duration) {
	for _, e := range s.entries {
		if e.dropping(now) && e.written == e.changes {
			s.enqueue(e)
		}
	}
}

// maxBatch is how many jobs go into one write: a job takes up to three changes.
const maxBatch = (platform.MaxChanges - 1) / 3

// due reports whether there is something to be written.
func (s *shard) due() bool {
	return (len(s.queue) > 0 || s.away) && !s.lost && s.fenceVersion != 0 && len(s.sent) == 0
}

// batch returns the changes to write now, if any: while the store is away at least the
// check of the fence, which shows when it is back.
func (s *shard) batch(now time.Duration) []platform.Change {
	if !s.due() {
		return nil
	}
	n := min(len(s.queue), maxBatch)
	changes := []platform.Change{{Action: platform.ActionCheck, Table: fencesTable, Key: s.home, Expected: s.fenceVersion}}
	for _, e := range s.queue[:n] {
		e.queued = false
		changes = append(changes, e.next(now)...)
	}
	s.sent = append([]*entry{}, s.queue[:n]...)
	s.queue = s.queue[n:]
	return changes
}

// next is what is to be written of an entry: its job first.
func (e *entry) next(now time.Duration) []platform.Change {
	if !e.created {
		return []platform.Change{
			{Action: platform.ActionPut, Table: jobsTable, Key: e.id, Value: e.job},
			{Action: platform.ActionCheck, Table: progressTable, Key: e.id},
		}
	}
	if e.dropping(now) {
		return []platform.Change{{Action: platform.ActionRemove, Table: progressTable, Key: e.id, Expected: e.progressVersion}}
	}
	value, err := json.Marshal(e.progress)
	if err != nil {
		panic("a job's progress can't be encoded: " + err.Error())
	}
	changes := []platform.Change{{Action: platform.ActionPut, Table: progressTable, Key: e.id, Value: value, Expected: e.progressVersion}}
	if e.progress.State.Final() && e.jobVersion > 0 {
		changes = append(changes, platform.Change{Action: platform.ActionRemove, Table: jobsTable, Key: e.id, Expected: e.jobVersion})
	}
	e.sending, e.ending = e.changes, e.progress.State.Final()
	return changes
}

// result takes the answer to the last batch.
func (s *shard) result(now time.Duration, written platform.Written, err error) {
	sent := s.sent
	s.sent = nil
	s.away = err != nil && !errors.Is(err, platform.ErrConflict)
	switch {
	case err == nil:
		for _, e := range sent {
			s.wrote(now, e, written.Version)
		}
	case errors.Is(err, platform.ErrConflict):
		s.conflict(now, sent, written.Current)
	case errors.Is(err, platform.ErrStoreUnknown):
		for _, e := range sent {
			s.doubt(e)
		}
	default:
		for _, e := range sent {
			s.notWritten(e)
		}
	}
}

// maxDoubts is how many lost answers a caller waits for: one is lost now and then.
const maxDoubts = 2

// doubt has a write repeated whose answer was lost.
func (s *shard) doubt(e *entry) {
	e.doubts++
	if !e.created && e.doubts == maxDoubts {
		accepted := e.accepted
		s.later(func() { accepted(Doubtful) })
	}
	s.enqueue(e)
}

func (s *shard) notWritten(e *entry) {
	if e.created || e.doubts > 0 {
		s.enqueue(e)
		return
	}
	delete(s.entries, e.id)
	accepted := e.accepted
	s.later(func() { accepted(NotStored) })
}

func (s *shard) wrote(now time.Duration, e *entry, version int64) {
	e.doubts = 0
	switch {
	case !e.created:
		s.stored(e, version)
	case e.dropping(now):
		delete(s.entries, e.id)
	default:
		e.progressVersion = version
		s.confirm(e)
	}
}

func (s *shard) stored(e *entry, version int64) {
	e.created, e.job, e.jobVersion, e.doubts = true, nil, version, 0
	accepted := e.accepted
	e.accepted = nil
	s.later(func() { accepted(Stored) })
	if e.written < e.changes {
		s.enqueue(e)
	}
}

// confirm tells those who wait for changes that lie in the store.
func (s *shard) confirm(e *entry) {
	e.written = e.sending
	if e.ending {
		e.jobVersion = 0
	}
	rest := e.waiting[:0]
	for _, w := range e.waiting {
		if w.changes <= e.written {
			s.later(w.done)
		} else {
			rest = append(rest, w)
		}
	}
	e.waiting = rest
	if e.written < e.changes {
		s.enqueue(e)
	}
}

// conflict takes rows that are not as they were believed.
func (s *shard) conflict(now time.Duration, sent []*entry, current []platform.Row) {
	rows := map[platform.Table]map[string]platform.Row{jobsTable: {}, progressTable: {}, fencesTable: {}}
	for _, row := range current {
		if rows[row.Table] != nil && !row.Deleted && row.Version > 0 {
			rows[row.Table][row.Key] = row
		}
	}
	if !s.holds(rows[fencesTable][s.home]) {
		s.lose(sent)
		return
	}
	for _, e := range sent {
		s.settle(now, e, rows[jobsTable][e.id], rows[progressTable][e.id])
	}
}

// holds reports whether the fence is still this owner's.
func (s *shard) holds(row platform.Row) bool {
	var f fence
	if json.Unmarshal(row.Value, &f) != nil || f.Life != s.life {
		return false
	}
	s.fenceVersion = row.Version
	return true
}

// settle takes the rows of an entry whose batch was not written.
func (s *shard) settle(now time.Duration, e *entry, job, progress platform.Row) {
	if !e.created {
		switch {
		case progress.Version > 0 || job.Version > 0 && !s.own(job):
			delete(s.entries, e.id)
			accepted := e.accepted
			s.later(func() { accepted(Known) })
		case job.Version > 0:
			// The write whose answer was lost was done.
			s.stored(e, job.Version)
		default:
			s.enqueue(e)
		}
		return
	}
	if progress.Version == 0 && e.dropping(now) {
		delete(s.entries, e.id)
		return
	}
	// Only this owner writes here: a write of its own was done whose answer was lost.
	e.progressVersion = progress.Version
	if job.Version > 0 || e.ending {
		// The answer tells of the job's row only where that was to be removed.
		e.jobVersion = job.Version
	}
	s.enqueue(e)
}

func (s *shard) own(row platform.Row) bool {
	var a Accepted
	return json.Unmarshal(row.Value, &a) == nil && a.Home == s.home && a.Life == s.life
}

// lose gives up the part: another owner has the group.
func (s *shard) lose(sent []*entry) {
	s.lost = true
	for _, e := range append(sent, s.queue...) {
		if !e.created {
			accepted := e.accepted
			s.later(func() { accepted(Uncertain) })
		}
	}
	s.queue = nil
}
