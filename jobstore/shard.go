package jobstore

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// AcceptResult is the result of storing a new job.
type AcceptResult int

// The results of storing a new job.
const (
	// Stored means that the job is in the store and this owner runs it.
	Stored AcceptResult = iota
	// AlreadyStored means that a job of this ID was in the store before.
	AlreadyStored
	// NotStored means that the job is not in the store and will not be.
	NotStored
	// Unconfirmed means that several answers of the store were lost. Another result follows once
	// the store answers.
	Unconfirmed
	// Superseded means that another owner has taken over the group before the result was known.
	Superseded
	// TooLarge means that the job is not in the store, as it doesn't fit a row.
	TooLarge
	// Withdrawn means that the job was cancelled before it was stored: it is not in the store and will not
	// be.
	Withdrawn
)

var resultNames = map[AcceptResult]string{
	Stored: "stored", AlreadyStored: "known", NotStored: "not stored", Unconfirmed: "doubtful", Superseded: "uncertain", TooLarge: "too large", Withdrawn: "withdrawn",
}

// String returns the result's label in metrics.
func (r AcceptResult) String() string { return resultNames[r] }

// trackedJob is what an owner knows of a job's rows and has yet to write to them.
type trackedJob struct {
	id string
	// encodedJob is the value of the jobs row until that is stored.
	encodedJob []byte
	progress   Progress
	// jobVersion and progressVersion are the versions of the rows; 0 while they don't exist.
	jobVersion, progressVersion int64
	// isStored reports that the jobs row has been stored.
	isStored bool
	// unconfirmedWrites counts the lost answers to writes since the last confirmed one. The store
	// may apply such a write later.
	unconfirmedWrites int
	// recorded counts the recorded changes of the progress, written those that are stored.
	recorded, written int
	// inFlight is the value of recorded that the write in flight holds.
	inFlight int
	// endInFlight reports that the write in flight holds the job's end.
	endInFlight bool
	// withdrawing is set while the row that keeps the job from being stored is to be written in place of
	// the job. withdrawInFlight reports that the write in flight holds it, and onWithdrawn are called with
	// the state of the job once that is over.
	withdrawing, withdrawInFlight bool
	onWithdrawn                   []func(work.JobState)
	// move is set while the job is being given to another group.
	move     *outgoingMove
	waiters  []waiter
	onResult func(AcceptResult)
	queued   bool
	// alone reports that the store has refused a write with this job, so that the next one holds no
	// other. refusedUntil is when the job is written again after such a write, on the boot clock.
	alone        bool
	refusedUntil time.Duration
	// omitted counts what the last encoded row leaves out.
	omitted          int
	omissionReported bool
	// expiresAt is when the row of an ended job is removed, on the boot clock; 0 before the end.
	expiresAt time.Duration
}

// waiter is notified once the first upTo recorded changes are stored.
type waiter struct {
	upTo   int
	notify func()
}

// isExpired reports whether the progress row of an ended job is due for removal.
func (e *trackedJob) isExpired(now time.Duration) bool { return e.expiresAt > 0 && now >= e.expiresAt }

// shard holds one owner's jobs of one partition and decides what is written next. It does no I/O
// and has no clock: it returns batches of changes and is given the answers.
type shard struct {
	// incarnation identifies the owner's process, writer the Writer in it; group is the group whose
	// jobs it owns.
	incarnation uint64
	writer      uint64
	group       string
	// fenceVersion is the version of this owner's fence row; 0 before it is written.
	fenceVersion int64
	jobs         map[string]*trackedJob
	// queue has the jobs to write, inFlight those of the write that has no answer yet.
	queue    []*trackedJob
	inFlight []*trackedJob
	// superseded is set once another owner's fence row was seen.
	superseded bool
	// storeFailing reports that the last write got no answer or was rejected.
	storeFailing bool
	// retention is how long the row of an ended job stays.
	retention time.Duration
	// rowBytes bounds the value of a row. reportRow is called for a job whose row the store does
	// not take, or that doesn't hold all that is known.
	rowBytes  int
	reportRow func(id string, err error)
	// callbacks are called after the state has changed and the lock is released.
	callbacks []func()
}

// maxJobs bounds the jobs of a partition at one owner, ended ones included. It is three times the
// number that ends at one owner of the largest site while ended jobs stay.
const maxJobs = 25_000

func newShard(group string, incarnation, writer uint64, rowBytes int, reportRow func(id string, err error)) *shard {
	return &shard{
		group: group, incarnation: incarnation, writer: writer, jobs: map[string]*trackedJob{}, rowBytes: rowBytes, reportRow: reportRow,
	}
}

// addCallback adds a call for takeCallbacks; nil is ignored.
func (s *shard) addCallback(call func()) {
	if call != nil {
		s.callbacks = append(s.callbacks, call)
	}
}

// takeCallbacks returns the pending calls and forgets them.
func (s *shard) takeCallbacks() []func() {
	calls := s.callbacks
	s.callbacks = nil
	return calls
}

// enqueue has a job written next. A job that the store has refused waits for enqueueDue.
func (s *shard) enqueue(e *trackedJob) {
	if !e.queued && e.refusedUntil == 0 {
		e.queued = true
		s.queue = append(s.queue, e)
	}
}

// accept queues a new job for writing; onResult is called with the result. It takes no new job
// before the fence row is written, after another owner took over, while the store fails, or when
// maxJobs are tracked.
func (s *shard) accept(id string, job []byte, onResult func(AcceptResult)) {
	switch e := s.jobs[id]; {
	case s.superseded || s.fenceVersion == 0 || s.storeFailing && e == nil:
		s.addCallback(func() { onResult(NotStored) })
	case e == nil && len(s.jobs) >= maxJobs:
		s.addCallback(func() { onResult(NotStored) })
	case e == nil:
		e = &trackedJob{id: id, encodedJob: job, progress: Progress{Group: s.group, State: work.StateQueued}, onResult: onResult}
		s.jobs[id] = e
		s.enqueue(e)
	case e.isStored && e.progress.State == work.StateWithdrawn:
		s.addCallback(func() { onResult(Withdrawn) })
	case e.isStored:
		s.addCallback(func() { onResult(AlreadyStored) })
	case e.withdrawing && e.onResult == nil:
		s.addCallback(func() { onResult(NotStored) })
	default:
		earlier := e.onResult
		e.onResult = func(r AcceptResult) {
			earlier(r)
			if r == Stored {
				r = AlreadyStored
			}
			onResult(r)
		}
	}
}

// record changes a job's progress; done is called once the change is stored.
func (s *shard) record(id string, change func(*Progress), done func()) {
	e := s.jobs[id]
	if e == nil {
		return
	}
	change(&e.progress)
	e.recorded++
	if done != nil {
		e.waiters = append(e.waiters, waiter{upTo: e.recorded, notify: done})
	}
	s.enqueue(e)
}

// add tracks a job that was read after this owner's fence row was written.
func (s *shard) add(id string, jobVersion, progressVersion int64, p Progress, expires time.Duration) {
	s.jobs[id] = &trackedJob{
		id: id, isStored: true, jobVersion: jobVersion, progressVersion: progressVersion, progress: p, expiresAt: expires,
	}
}

// state returns the state of a stored job of this owner; false for any other. A final state is
// returned only once it is stored, so that a later owner finds the same.
func (s *shard) state(id string) (work.JobState, bool) {
	e := s.jobs[id]
	if e == nil || !e.isStored {
		return work.StateAbsent, false
	}
	if e.progress.State.IsFinal() && e.written < e.recorded {
		return work.StateRunning, true
	}
	return e.progress.State, true
}

// enqueueDue queues the removal of ended jobs whose retention is over, and the jobs that the store
// has refused and that are to be written again.
func (s *shard) enqueueDue(now time.Duration) {
	for _, e := range s.jobs {
		if e.isExpired(now) && e.written == e.recorded || e.refusedUntil > 0 && now >= e.refusedUntil {
			e.refusedUntil = 0
			s.enqueue(e)
		}
	}
}

// maxBatchJobs is the most jobs of one write. Each job may take up to three changes, and one
// more checks the fence.
const maxBatchJobs = (platform.MaxChanges - 1) / 3

// hasWrite reports whether nextBatch would return changes.
func (s *shard) hasWrite() bool {
	return (len(s.queue) > 0 || s.storeFailing) && !s.superseded && s.fenceVersion != 0 && len(s.inFlight) == 0
}

// nextBatch returns the changes to write now, or nil. Each batch checks the fence row. While the
// store fails, a batch may hold nothing else: its answer shows when the store works again.
func (s *shard) nextBatch(now time.Duration) []platform.Change {
	if !s.hasWrite() {
		return nil
	}
	changes := []platform.Change{{Action: platform.ActionCheck, Table: fencesTable, Key: s.group, Expected: s.fenceVersion}}
	bytes := 0
	for len(s.queue) > 0 && len(s.inFlight) < maxBatchJobs {
		e := s.queue[0]
		if len(s.inFlight) > 0 && (e.alone || s.inFlight[0].alone) {
			break
		}
		next, err := e.nextChanges(now, s.rowBytes)
		if err != nil {
			s.queue, e.queued = s.queue[1:], false
			s.postpone(now, e, err)
			continue
		}
		if bytes += valueBytes(next); bytes > platform.MaxWriteBytes && len(s.inFlight) > 0 {
			break
		}
		s.queue, e.queued = s.queue[1:], false
		s.inFlight = append(s.inFlight, e)
		s.reportOmitted(e)
		changes = append(changes, next...)
	}
	return changes
}

// nextChanges returns the changes of the next write of a job: first its jobs row, later its
// progress, at last the removal of the progress row. A value has at most rowBytes bytes.
func (e *trackedJob) nextChanges(now time.Duration, rowBytes int) ([]platform.Change, error) {
	if !e.isStored && e.withdrawing {
		return e.withdrawChanges(rowBytes)
	}
	if !e.isStored {
		e.withdrawInFlight = false
		return []platform.Change{
			{Action: platform.ActionPut, Table: jobsTable, Key: e.id, Value: e.encodedJob},
			{Action: platform.ActionCheck, Table: progressTable, Key: e.id},
		}, nil
	}
	if e.isExpired(now) {
		return []platform.Change{{Action: platform.ActionRemove, Table: progressTable, Key: e.id, Expected: e.progressVersion}}, nil
	}
	if e.move != nil {
		return e.moveChanges(rowBytes)
	}
	value, omitted, err := e.progress.encode(rowBytes)
	if err != nil {
		return nil, err
	}
	e.omitted = omitted
	changes := []platform.Change{{Action: platform.ActionPut, Table: progressTable, Key: e.id, Value: value, Expected: e.progressVersion}}
	if e.progress.State.IsFinal() && e.jobVersion > 0 {
		changes = append(changes, platform.Change{Action: platform.ActionRemove, Table: jobsTable, Key: e.id, Expected: e.jobVersion})
	}
	e.inFlight, e.endInFlight = e.recorded, e.progress.State.IsFinal()
	return changes, nil
}

// handleResult updates the jobs of the batch in flight from the answer to its write.
func (s *shard) handleResult(now time.Duration, written platform.WriteResult, err error) {
	sent := s.inFlight
	s.inFlight = nil
	isAnswer := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrWriteInvalid)
	s.storeFailing = err != nil && !isAnswer
	switch {
	case err == nil:
		for _, e := range sent {
			s.handleWritten(now, e, written.Version)
		}
	case errors.Is(err, platform.ErrConflict):
		s.handleConflict(now, sent, written.Current)
	case errors.Is(err, platform.ErrWriteInvalid):
		s.handleRefused(now, sent, err)
	case errors.Is(err, platform.ErrWriteUnconfirmed):
		for _, e := range sent {
			s.retryUnconfirmed(e)
		}
	default:
		for _, e := range sent {
			s.handleNotWritten(e)
		}
	}
}

// maxUnconfirmedWrites is the number of lost answers after which the caller of a new job gets
// Unconfirmed. A single answer is lost now and then.
const maxUnconfirmedWrites = 2

// retryUnconfirmed repeats a write whose answer was lost.
func (s *shard) retryUnconfirmed(e *trackedJob) {
	e.unconfirmedWrites++
	if !e.isStored && e.unconfirmedWrites == maxUnconfirmedWrites {
		s.reportResult(e.onResult, Unconfirmed)
	}
	s.enqueue(e)
}

// handleNotWritten retries a rejected write. A new job is dropped instead, unless an earlier write
// of it may still be applied.
func (s *shard) handleNotWritten(e *trackedJob) {
	if e.isStored || e.unconfirmedWrites > 0 {
		s.enqueue(e)
		return
	}
	delete(s.jobs, e.id)
	s.reportResult(e.onResult, NotStored)
	s.reportWithdrawn(e, work.StateAbsent)
}

// reportResult calls the callback of a new job; nil is ignored.
func (s *shard) reportResult(onResult func(AcceptResult), r AcceptResult) {
	if onResult != nil {
		s.addCallback(func() { onResult(r) })
	}
}

// handleWritten updates a job whose write was applied at a version.
func (s *shard) handleWritten(now time.Duration, e *trackedJob, version int64) {
	e.unconfirmedWrites, e.alone = 0, false
	switch {
	case !e.isStored && e.withdrawInFlight:
		s.markWithdrawn(now, e, version)
	case !e.isStored:
		s.markStored(e, version)
	case e.move != nil && e.move.inFlight:
		s.handleMoved(e, e.inFlight)
	case e.isExpired(now):
		delete(s.jobs, e.id)
	default:
		e.progressVersion = version
		s.confirmRecorded(e)
	}
}

// markStored reports a new job as stored and queues what was recorded meanwhile.
func (s *shard) markStored(e *trackedJob, version int64) {
	e.isStored, e.encodedJob, e.jobVersion, e.unconfirmedWrites = true, nil, version, 0
	s.reportResult(e.onResult, Stored)
	e.onResult = nil
	if e.withdrawing {
		e.withdrawing, e.progress = false, Progress{Group: s.group, State: work.StateQueued}
		s.reportWithdrawn(e, work.StateQueued)
	}
	if e.written < e.recorded {
		s.enqueue(e)
	}
}

// confirmRecorded notifies the waiters of the changes that the last write stored.
func (s *shard) confirmRecorded(e *trackedJob) {
	e.written = e.inFlight
	if e.endInFlight {
		e.jobVersion = 0
	}
	rest := e.waiters[:0]
	for _, w := range e.waiters {
		if w.upTo <= e.written {
			s.addCallback(w.notify)
		} else {
			rest = append(rest, w)
		}
	}
	e.waiters = rest
	if e.written < e.recorded {
		s.enqueue(e)
	}
}

// handleConflict updates the jobs of a batch from the current rows, after one was not as expected.
func (s *shard) handleConflict(now time.Duration, sent []*trackedJob, current []platform.Row) {
	rows := map[platform.Table]map[string]platform.Row{jobsTable: {}, progressTable: {}, fencesTable: {}, movesTable: {}}
	for _, row := range current {
		if rows[row.Table] != nil && !row.Deleted && row.Version > 0 {
			rows[row.Table][row.Key] = row
		}
	}
	if !s.ownsFence(rows[fencesTable][s.group]) {
		s.giveUp(sent)
		return
	}
	for _, e := range sent {
		if e.move != nil && e.move.inFlight {
			s.reconcileMove(e, rows[jobsTable][e.id], rows[progressTable][e.id], rows[movesTable][e.id])
			continue
		}
		s.reconcile(now, e, rows[jobsTable][e.id], rows[progressTable][e.id])
	}
}

// ownsFence reports whether the fence row is still this owner's, and takes its version.
func (s *shard) ownsFence(row platform.Row) bool {
	var f fence
	if json.Unmarshal(row.Value, &f) != nil || f.Incarnation != s.incarnation || f.Writer != s.writer {
		return false
	}
	s.fenceVersion = row.Version
	return true
}

// reconcile updates a job from its current rows after a conflict in its batch.
func (s *shard) reconcile(now time.Duration, e *trackedJob, job, progress platform.Row) {
	if !e.isStored {
		switch {
		case progress.Version > 0 && s.isWithdrawnRow(progress):
			s.markWithdrawn(now, e, progress.Version)
		case progress.Version > 0 || job.Version > 0 && !s.isOwnJobRow(job):
			delete(s.jobs, e.id)
			s.reportResult(e.onResult, AlreadyStored)
			s.reportWithdrawn(e, work.StateQueued)
		case job.Version > 0:
			// An earlier write whose answer was lost has been applied.
			s.markStored(e, job.Version)
		default:
			s.enqueue(e)
		}
		return
	}
	if progress.Version == 0 && e.isExpired(now) {
		delete(s.jobs, e.id)
		return
	}
	// Only this owner writes the row, so an earlier write whose answer was lost has been applied.
	e.progressVersion = progress.Version
	if job.Version > 0 || e.endInFlight {
		// The answer has the jobs row only if the batch was to remove it.
		e.jobVersion = job.Version
	}
	s.enqueue(e)
}

// isOwnJobRow reports whether this owner wrote a jobs row.
func (s *shard) isOwnJobRow(row platform.Row) bool {
	var a AcceptedJob
	return json.Unmarshal(row.Value, &a) == nil && a.Group == s.group && a.Incarnation == s.incarnation && a.Writer == s.writer
}

// giveUp stops all writes, as another owner has taken over the group. New jobs without a result
// get Superseded.
func (s *shard) giveUp(sent []*trackedJob) {
	s.superseded = true
	for _, e := range s.jobs {
		if e.refusedUntil > 0 {
			sent = append(sent, e)
		}
	}
	for _, e := range append(sent, s.queue...) {
		if !e.isStored {
			s.reportResult(e.onResult, Superseded)
			s.reportWithdrawn(e, work.StateAbsent)
		}
	}
	s.queue = nil
}
