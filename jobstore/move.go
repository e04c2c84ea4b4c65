package jobstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/burdockward/burdockward/platform"
)

// A job moves to another group by one write that names the new group in both of its rows and adds
// a row to the moves table. Owners follow that table: the owner of the new group reads the job and
// removes the row. An owner that begins later finds the job by the group in its rows.

// movesTable has a row for each job that another owner is to adopt, in the job's partition.
const movesTable platform.Table = "moves"

// move is the value of a row of the moves table.
type move struct {
	// Group is the group that runs the job from now on.
	Group string `json:"to"`
}

// outgoingMove is the move of a job that is still to be written.
type outgoingMove struct {
	group string
	// number counts the moves of the job, this one included.
	number int
	// job and row are the values of the jobs row and of the row in the moves table.
	job, row []byte
	// rowVersion is the version of the row in the moves table; 0 while it doesn't exist.
	rowVersion int64
	// inFlight reports that the write in flight, or the last one, holds the move.
	inFlight bool
	// firstHolds is the number of recorded changes that the first write of the move holds.
	firstHolds int
	onResult   func(moved bool)
}

// Move gives a job to another group. onResult is called on another goroutine once that is stored or
// can't be. The caller starts nothing of the job before that.
func (w *Writer) Move(ctx context.Context, id, group string, onResult func(moved bool)) {
	m, err := w.prepareMove(ctx, id, group)
	if err != nil {
		w.options.Log.Warn("job not moved", "job", id, "group", group, "error", err)
		onResult(false)
		return
	}
	m.onResult = onResult
	w.update(id, func(s *shard) { s.move(id, m) })
}

// prepareMove reads the jobs row of a job and returns the values that give it to another group.
func (w *Writer) prepareMove(ctx context.Context, id, group string) (*outgoingMove, error) {
	rows, err := w.store.Get(ctx, jobsTable, PartitionOf(id), id)
	if err != nil {
		return nil, err
	}
	if len(rows.Rows) == 0 {
		return nil, ErrSuperseded.Errorf("the job's row is gone")
	}
	var a AcceptedJob
	if err := decodeRow(rows.Rows[0], &a); err != nil {
		return nil, err
	}
	if a.Group != w.options.Group {
		return nil, ErrSuperseded.Errorf("the job belongs to group %s: step down", a.Group)
	}
	a.Group, a.Moves = group, a.Moves+1
	job, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	row, err := json.Marshal(move{Group: group})
	return &outgoingMove{group: group, number: a.Moves, job: job, row: row}, err
}

// move queues the move of a stored job that has not ended.
func (s *shard) move(id string, m *outgoingMove) {
	e := s.jobs[id]
	if e == nil || !e.isStored || e.jobVersion == 0 || e.progress.State.IsFinal() || s.superseded {
		s.addCallback(func() { m.onResult(false) })
		return
	}
	e.move = m
	s.enqueue(e)
}

// moveChanges returns the changes that give a job to another group.
func (e *trackedJob) moveChanges(rowBytes int) ([]platform.Change, error) {
	p := e.progress
	p.Group = e.move.group
	value, _, err := p.encode(rowBytes)
	if err != nil {
		return nil, err
	}
	if !e.move.inFlight {
		e.move.inFlight, e.move.firstHolds = true, e.recorded
	}
	e.inFlight = e.recorded
	return []platform.Change{
		{Action: platform.ActionPut, Table: jobsTable, Key: e.id, Value: e.move.job, Expected: e.jobVersion},
		{Action: platform.ActionPut, Table: progressTable, Key: e.id, Value: value, Expected: e.progressVersion},
		{Action: platform.ActionPut, Table: movesTable, Key: e.id, Value: e.move.row, Expected: e.move.rowVersion},
	}, nil
}

// handleMoved forgets a job that another group has now. Its rows hold the first so many recorded
// changes.
func (s *shard) handleMoved(e *trackedJob, holds int) {
	delete(s.jobs, e.id)
	for _, w := range e.waiters {
		if w.upTo <= holds {
			s.addCallback(w.notify)
		}
	}
	onResult := e.move.onResult
	s.addCallback(func() { onResult(true) })
}

// reconcileMove updates a moving job from its current rows after a conflict in its batch.
func (s *shard) reconcileMove(e *trackedJob, job, progress, row platform.Row) {
	var a AcceptedJob
	if job.Version == 0 || json.Unmarshal(job.Value, &a) == nil && a.Moves >= e.move.number {
		// An earlier write whose answer was lost has been applied. The job may have ended or come back
		// since.
		s.handleMoved(e, e.move.firstHolds)
		return
	}
	e.jobVersion, e.progressVersion, e.move.rowVersion = job.Version, progress.Version, row.Version
	s.enqueue(e)
}

// Times of following the moves.
const (
	// moveWait is how long a call waits for moved jobs. A call that the store never answers, as in an
	// outage in which it is silent, is given up platform.FeedMargin later, and a task waits for that
	// long. moveRetryDelay is the pause after a failed call.
	moveWait       = 2 * time.Second
	moveRetryDelay = 500 * time.Millisecond
)

// FollowMoves adopts the jobs that move to this group and passes them on, until the context ends. It
// is called after Open.
func (w *Writer) FollowMoves(ctx context.Context, adopted func(DurableJob)) {
	version := int64(0)
	for ctx.Err() == nil {
		rows, next, err := w.readMoves(ctx, version)
		for _, row := range rows {
			if err == nil {
				err = w.adoptRow(ctx, row, adopted)
			}
		}
		if err != nil {
			// The next attempt reads all rows.
			version = 0
			sleep(ctx, moveRetryDelay)
			continue
		}
		version = next
	}
}

// readMoves returns the rows of the moves table that changed after a version, or all rows where that is
// 0, and the version to go on from.
func (w *Writer) readMoves(ctx context.Context, after int64) (rows []platform.Row, version int64, err error) {
	if after > 0 {
		changed, err := w.store.Feed(ctx, movesTable, after, moveWait)
		return changed.Rows, max(changed.Version, after), err
	}
	for i := range Partitions {
		read, err := w.store.ReadPartition(ctx, movesTable, partitionName(i))
		if err != nil {
			return nil, 0, err
		}
		rows = append(rows, read.Rows...)
		if i == 0 {
			// The feed repeats what changes during the other reads.
			version = read.Version
		}
	}
	return rows, version, nil
}

// adoptRow adopts the job of a row if it moves to this group, and removes the row.
func (w *Writer) adoptRow(ctx context.Context, row platform.Row, adopted func(DurableJob)) error {
	var m move
	if row.Deleted || decodeRow(row, &m) != nil || m.Group != w.options.Group {
		return nil
	}
	job, isNew, err := w.adopt(ctx, row.Key)
	if err != nil {
		return err
	}
	if isNew {
		adopted(job)
	}
	return w.removeMove(ctx, row)
}

// adopt tracks a job that another group has given to this one, and returns it. isNew is false if it
// is tracked already, has ended, or doesn't belong to this group any more.
func (w *Writer) adopt(ctx context.Context, id string) (job DurableJob, isNew bool, err error) {
	jobs, err := w.store.Get(ctx, jobsTable, PartitionOf(id), id)
	if err != nil {
		return DurableJob{}, false, err
	}
	progress, err := w.store.Get(ctx, progressTable, PartitionOf(id), id)
	if err != nil || len(jobs.Rows) == 0 {
		return DurableJob{}, false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s, _ := w.shardOf(id)
	switch e := s.jobs[id]; {
	case s.superseded:
		return DurableJob{}, false, ErrSuperseded.Errorf("job %s is not adopted: step down", id)
	case e != nil && (!e.isStored || e.move != nil):
		// A caller has sent the job here as well, or the job comes back before its move from here is
		// confirmed. The next answer of the store has it forgotten here.
		return DurableJob{}, false, platform.ErrStoreUnavailable.Errorf("job %s is being written: adopt it later", id)
	case e != nil:
		return DurableJob{}, false, nil
	}
	w.loadProgress(s, progress.Rows)
	unfinished := w.loadJobs(s, jobs.Rows)
	if len(unfinished) == 0 {
		return DurableJob{}, false, nil
	}
	return unfinished[0], true, nil
}

// removeMove removes a row of the moves table while this owner holds the fence.
func (w *Writer) removeMove(ctx context.Context, row platform.Row) error {
	w.mu.Lock()
	s, _ := w.shardOf(row.Key)
	fence := platform.Change{Action: platform.ActionCheck, Table: fencesTable, Key: w.options.Group, Expected: s.fenceVersion}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := w.store.Write(ctx, PartitionOf(row.Key), []platform.Change{
		fence, {Action: platform.ActionRemove, Table: movesTable, Key: row.Key, Expected: row.Version},
	})
	return err
}
