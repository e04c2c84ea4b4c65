package jobstore

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// AcceptResult is the result of storing a new job.
type Result int

// The results of storing a new job.
const (
	// Stored means that the job is in the store and this owner runs it.
	Stored Result = iota
	// AlreadyStored means that a job of this ID was in the store before.
	Known
	// NotStored means that the job is not in the store and will not be.
	NotStored
	// Unconfirmed means that several answers of the store were lost. Another result follows once
	// the store answers.
	Doubtful
	// Superseded means that another owner has taken over the group before the result was known.
	Uncertain
)

var resultNames = map[Result]string{
	Stored: "stored", Known: "known", NotStored: "not stored", Doubtful: "doubtful", Uncertain: "uncertain",
}

// String returns the result's label in metrics.
func (r Result) String() string { return resultNames[r] }

// trackedJob is what an owner knows of a job's rows and has yet to write to them.
type entry struct {
	id string
	// encodedJob is the value of the jobs row until that is stored.
	job      []byte
	progress Progress
	// jobVersion and progressVersion are the versions of the rows; 0 while they don't exist.
	jobVersion, progressVersion int64
	// isStored reports that the jobs row has been stored.
	created bool
	// unconfirmedWrites counts the lost answers to writes since the last confirmed one. The store
	// may apply such a write later.
	doubts int
	// recorded counts the recorded changes of the progress, written those that are stored.
	changes, written int
	// inFlight is the value of recorded that the write in flight holds.
	sending int
	// endInFlight reports that the write in flight holds the job's end.
	ending   bool
	waiting  []waiter
	accepted func(Result)
	queued   bool
	// expiresAt is when the row of an ended job is removed, on the boot clock; 0 before the end.
	expires time.Duration
}

// waiter is notified once the first upTo recorded changes are stored.
type waiter struct {
	changes int
	done    func()
}

// isExpired reports whether the progress row of an ended job is due for removal.
func (e *entry) dropping(now time.Duration) bool { return e.expires > 0 && now >= e.expires }

// shard holds one owner's jobs of one partition and decides what is written next. It does no I/O
// and has no clock: it returns batches of changes and is given the answers.
type shard struct {
	// incarnation identifies the owner's process; group is the group whose jobs it owns.
	life uint64
	home string
	// fenceVersion is the version of this owner's fence row; 0 before it is written.
	fenceVersion int64
	entries      map[string]*entry
	// queue has the jobs to write, inFlight those of the write that has no answer yet.
	queue []*entry
	sent  []*entry
	// superseded is set once another owner's fence row was seen.
	lost bool
	// storeFailing reports that the last write got no answer or was rejected.
	away bool
	// callbacks are called after the state has changed and the lock is released.
	calls []func()
}

// maxJobs bounds the jobs of a partition at one owner, ended ones included. It is three times the
// number that ends at one owner of the largest site while ended jobs stay.
const maxEntries = 25_000

func newShard(group string, incarnation uint64) *shard {
	return &shard{home: group, life: incarnation, entries: map[string]*entry{}}
}

// addCallback adds a call for takeCallbacks; nil is ignored.
func (s *shard) later(call func()) {
	if call != nil {
		s.calls = append(s.calls, call)
	}
}

// takeCallbacks returns the pending calls and forgets them.
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

// accept queues a new job for writing; onResult is called with the result. It takes no new job
// before the fence row is written, after another owner took over, while the store fails, or when
// maxJobs are tracked.
func (s *shard) accept(id string, job []byte, onResult func(Result)) {
	switch e := s.entries[id]; {
	case s.lost || s.fenceVersion == 0 || s.away && e == nil:
		s.later(func() { onResult(NotStored) })
	case e == nil && len(s.entries) >= maxEntries:
		s.later(func() { onResult(NotStored) })
	case e == nil:
		e = &entry{id: id, job: job, progress: Progress{Home: s.home, State: work.StateQueued}, accepted: onResult}
		s.entries[id] = e
		s.enqueue(e)
	case e.created:
		s.later(func() { onResult(Known) })
	default:
		earlier := e.accepted
		e.accepted = func(r Result) {
			earlier(r)
			if r == Stored {
				r = Known
			}
			onResult(r)
		}
	}
}

// record changes a job's progress; done is called once the change is stored.
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

// add tracks a job that was read after this owner's fence row was written.
func (s *shard) load(id string, jobVersion, progressVersion int64, p Progress, expires time.Duration) {
	s.entries[id] = &entry{
		id: id, created: true, jobVersion: jobVersion, progressVersion: progressVersion, progress: p, expires: expires,
	}
}

// state returns the state of a stored job of this owner; false for any other. A final state is
// returned only once it is stored, so that a later owner finds the same.
func (s *shard) state(id string) (work.JobState, bool) {
	e := s.entries[id]
	if e == nil || !e.created {
		return work.StateAbsent, false
	}
	if e.progress.State.IsFinal() && e.written < e.changes {
		return work.StateRunning, true
	}
	return e.progress.State, true
}

// enqueueExpired queues the removal of ended jobs whose retention is over.
func (s *shard) sweep(now time.Duration) {
	for _, e := range s.entries {
		if e.dropping(now) && e.written == e.changes {
			s.enqueue(e)
		}
	}
}

// maxBatchJobs is the most jobs of one write. Each job may take up to three changes, and one
// more checks the fence.
const maxBatch = (platform.MaxChanges - 1) / 3

// hasWrite reports whether nextBatch would return changes.
func (s *shard) due() bool {
	return (len(s.queue) > 0 || s.away) && !s.lost && s.fenceVersion != 0 && len(s.sent) == 0
}

// nextBatch returns the changes to write now, or nil. Each batch checks the fence row. While the
// store fails, a batch may hold nothing else: its answer shows when the store works again.
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

// nextChanges returns the changes of the next write of a job: first its jobs row, later its
// progress, at last the removal of the progress row.
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
		panic("encode the progress of a job: " + err.Error())
	}
	changes := []platform.Change{{Action: platform.ActionPut, Table: progressTable, Key: e.id, Value: value, Expected: e.progressVersion}}
	if e.progress.State.IsFinal() && e.jobVersion > 0 {
		changes = append(changes, platform.Change{Action: platform.ActionRemove, Table: jobsTable, Key: e.id, Expected: e.jobVersion})
	}
	e.sending, e.ending = e.changes, e.progress.State.IsFinal()
	return changes
}

// handleResult updates the jobs of the batch in flight from the answer to its write.
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

// maxUnconfirmedWrites is the number of lost answers after which the caller of a new job gets
// Unconfirmed. A single answer is lost now and then.
const maxDoubts = 2

// retryUnconfirmed repeats a write whose answer was lost.
func (s *shard) doubt(e *entry) {
	e.doubts++
	if !e.created && e.doubts == maxDoubts {
		onResult := e.accepted
		s.later(func() { onResult(Doubtful) })
	}
	s.enqueue(e)
}

// handleNotWritten retries a rejected write. A new job is dropped instead, unless an earlier write
// of it may still be applied.
func (s *shard) notWritten(e *entry) {
	if e.created || e.doubts > 0 {
		s.enqueue(e)
		return
	}
	delete(s.entries, e.id)
	onResult := e.accepted
	s.later(func() { onResult(NotStored) })
}

// handleWritten updates a job whose write was applied at a version.
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

// markStored reports a new job as stored and queues what was recorded meanwhile.
func (s *shard) stored(e *entry, version int64) {
	e.created, e.job, e.jobVersion, e.doubts = true, nil, version, 0
	onResult := e.accepted
	e.accepted = nil
	s.later(func() { onResult(Stored) })
	if e.written < e.changes {
		s.enqueue(e)
	}
}

// confirmRecorded notifies the waiters of the changes that the last write stored.
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

// handleConflict updates the jobs of a batch from the current rows, after one was not as expected.
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

// ownsFence reports whether the fence row is still this owner's, and takes its version.
func (s *shard) holds(row platform.Row) bool {
	var f fence
	if json.Unmarshal(row.Value, &f) != nil || f.Life != s.life {
		return false
	}
	s.fenceVersion = row.Version
	return true
}

// reconcile updates a job from its current rows after a conflict in its batch.
func (s *shard) settle(now time.Duration, e *entry, job, progress platform.Row) {
	if !e.created {
		switch {
		case progress.Version > 0 || job.Version > 0 && !s.own(job):
			delete(s.entries, e.id)
			onResult := e.accepted
			s.later(func() { onResult(Known) })
		case job.Version > 0:
			// An earlier write whose answer was lost has been applied.
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
	// Only this owner writes the row, so an earlier write whose answer was lost has been applied.
	e.progressVersion = progress.Version
	if job.Version > 0 || e.ending {
		// The answer has the jobs row only if the batch was to remove it.
		e.jobVersion = job.Version
	}
	s.enqueue(e)
}

// isOwnJobRow reports whether this owner wrote a jobs row.
func (s *shard) own(row platform.Row) bool {
	var a Accepted
	return json.Unmarshal(row.Value, &a) == nil && a.Home == s.home && a.Life == s.life
}

// giveUp stops all writes, as another owner has taken over the group. New jobs without a result
// get Superseded.
func (s *shard) lose(sent []*entry) {
	s.lost = true
	for _, e := range append(sent, s.queue...) {
		if !e.created {
			onResult := e.accepted
			s.later(func() { onResult(Uncertain) })
		}
	}
	s.queue = nil
}
