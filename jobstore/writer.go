package jobstore

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// ErrSuperseded means that an owner with a higher fencing token has taken over the group's jobs:
// this owner has to step down.
const ErrSuperseded = errs.Tag("another owner has taken over the jobs")

// Store is the part of the platform's store that durable jobs need.
type Store interface {
	Write(ctx context.Context, partition string, changes []platform.Change) (platform.WriteResult, error)
	ReadPartition(ctx context.Context, table platform.Table, partition string) (platform.Rows, error)
	Get(ctx context.Context, table platform.Table, partition, key string) (platform.Rows, error)
}

// Times of a Writer.
const (
	// writeInterval is the time between two writes to a partition under load; see Partitions.
	writeInterval = 25 * time.Millisecond
	// writeBurst is how many writes to a partition may follow each other without that pause: a
	// job's acceptance, the completions of its tasks and its own end.
	writeBurst = 5
	// writeTimeout is longer than the usual answer slowed down sixty times. If a write is given
	// up too early, the conflict of the next one shows that it was applied.
	writeTimeout = 400 * time.Millisecond
	// retryDelay is the pause after a failed write.
	retryDelay = 100 * time.Millisecond
	// sweepInterval is the time between two searches for ended jobs whose rows can be removed.
	sweepInterval = 2 * time.Second
)

// Options of a Writer.
type Options struct {
	// Group is the group of targets that runs the jobs. VM and Incarnation identify the owner's
	// process.
	Group       string
	VM          string
	Incarnation uint64
	// Retention is how long callers may ask for a job after its end.
	Retention time.Duration
	Log       *slog.Logger
	// Count counts unreadable rows by table; it must not block.
	Count func(what, label string)
	// Clock returns the store's clock.
	Clock func() time.Duration
}

// Writer writes the jobs of one owner to the store. It is safe for concurrent use.
type Writer struct {
	options Options
	store   Store
	// number tells this Writer from others of the process.
	number  uint64
	records *TargetRecords

	mu     sync.Mutex
	shards [Partitions]*shard
	wake   [Partitions]chan struct{}
}

// lastWriter is the number of the newest Writer of this process.
var lastWriter atomic.Uint64

// New makes a Writer that accepts nothing before Open.
func New(o Options, store Store) *Writer {
	w := &Writer{options: o, store: store, number: lastWriter.Add(1)}
	w.records = newTargetRecords(o, store, w.number)
	for i := range w.shards {
		w.shards[i] = newShard(o.Group, o.Incarnation, w.number)
		w.wake[i] = make(chan struct{}, 1)
	}
	return w
}

// TargetRecords returns the record of the targets at which tasks of the jobs may run.
func (w *Writer) TargetRecords() *TargetRecords { return w.records }

// Open stops previous owners from writing and returns the jobs that have not ended. The token is
// the owner's fencing token. Open may be called again after an error.
func (w *Writer) Open(ctx context.Context, token int64) ([]DurableJob, error) {
	var jobs [Partitions][]DurableJob
	g, ctx := errgroup.WithContext(ctx)
	for i := range Partitions {
		g.Go(func() (err error) {
			jobs[i], err = w.openPartition(ctx, i, token)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(jobs[:]...), nil
}

// openPartition opens one partition for Open.
func (w *Writer) openPartition(ctx context.Context, partition int, token int64) ([]DurableJob, error) {
	version, err := w.acquireFence(ctx, partitionName(partition), token)
	if err != nil {
		return nil, err
	}
	return w.loadPartition(ctx, partition, version)
}

// acquireFence writes this owner's fence row in a partition and returns its version. It fails
// with ErrSuperseded if the row has a higher token.
func (w *Writer) acquireFence(ctx context.Context, partition string, token int64) (int64, error) {
	rows, err := w.store.Get(ctx, fencesTable, partition, w.options.Group)
	if err != nil {
		return 0, err
	}
	expected := int64(0)
	if len(rows.Rows) > 0 {
		var present fence
		if err := decodeRow(rows.Rows[0], &present); err != nil {
			// An unreadable fence row does not stop this owner, whose row replaces it.
			w.reportUnreadable(fencesTable, w.options.Group, err)
			present = fence{}
		}
		if present.Token > token {
			return 0, ErrSuperseded.Errorf("token %d in partition %s is above this owner's token %d: step down", present.Token, partition, token)
		}
		expected = rows.Rows[0].Version
		if present.Incarnation == w.options.Incarnation && present.Writer == w.number {
			return expected, nil
		}
	}
	value, err := json.Marshal(fence{Incarnation: w.options.Incarnation, Writer: w.number, Token: token})
	if err != nil {
		return 0, err
	}
	written, err := w.store.Write(ctx, partition, []platform.Change{{Table: fencesTable, Key: w.options.Group, Value: value, Expected: expected}})
	return written.Version, err
}

// loadPartition reads the jobs of a partition after the fence row is written and returns those
// that have not ended.
func (w *Writer) loadPartition(ctx context.Context, partition int, fenceVersion int64) ([]DurableJob, error) {
	jobs, err := w.store.ReadPartition(ctx, jobsTable, partitionName(partition))
	if err != nil {
		return nil, err
	}
	progress, err := w.store.ReadPartition(ctx, progressTable, partitionName(partition))
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := newShard(w.options.Group, w.options.Incarnation, w.number)
	s.fenceVersion = fenceVersion
	w.loadProgress(s, progress.Rows)
	unfinished := w.loadJobs(s, jobs.Rows)
	w.shards[partition] = s
	return unfinished, nil
}

// loadProgress adds the jobs of the group's progress rows to a shard.
func (w *Writer) loadProgress(s *shard, rows []platform.Row) {
	now := bootclock.Now()
	for _, row := range rows {
		var p Progress
		if err := decodeRow(row, &p); err != nil {
			w.reportUnreadable(progressTable, row.Key, err)
			continue
		}
		if p.Group != w.options.Group {
			continue
		}
		expires := time.Duration(0)
		if p.State.IsFinal() {
			expires = now + max(p.EndedAt+w.retention()-w.options.Clock(), 0)
		}
		s.add(row.Key, 0, row.Version, p, expires)
	}
}

// loadJobs adds the group's jobs rows to a shard and returns the jobs that have not ended. A jobs
// row that stayed after its job's end is queued for removal.
func (w *Writer) loadJobs(s *shard, rows []platform.Row) []DurableJob {
	var unfinished []DurableJob
	for _, row := range rows {
		var a AcceptedJob
		if err := decodeRow(row, &a); err != nil {
			w.reportUnreadable(jobsTable, row.Key, err)
			continue
		}
		if a.Group != w.options.Group {
			continue
		}
		if err := a.validate(row.Key); err != nil {
			w.reportUnreadable(jobsTable, row.Key, err)
			continue
		}
		e := s.jobs[row.Key]
		if e == nil {
			s.add(row.Key, 0, 0, Progress{Group: a.Group, State: work.StateQueued}, 0)
			e = s.jobs[row.Key]
		}
		e.jobVersion = row.Version
		if e.progress.State.IsFinal() {
			// An ended job must not run again, whoever left its jobs row.
			w.options.Log.Error("job of an ended one removed", "job", row.Key, "state", e.progress.State.String())
			s.enqueue(e)
			continue
		}
		unfinished = append(unfinished, DurableJob{AcceptedJob: a, Progress: e.progress})
	}
	return unfinished
}

// reportUnreadable logs and counts a row that can't be read. The other rows stay in use.
func (w *Writer) reportUnreadable(table platform.Table, key string, err error) {
	w.options.reportUnreadable(table, key, err)
}

func (o Options) reportUnreadable(table platform.Table, key string, err error) {
	o.Count("rows_unreadable", string(table))
	o.Log.Warn("row not understood", "table", table, "key", key, "error", err)
}

// retention is how long the progress row of an ended job stays.
func (w *Writer) retention() time.Duration { return w.options.Retention + retentionMargin }

// shardOf returns the shard of a job and the index of its partition.
func (w *Writer) shardOf(id string) (*shard, int) {
	partition := PartitionOf(id)
	for i := range w.shards {
		if partitionName(i) == partition {
			return w.shards[i], i
		}
	}
	panic("no shard for partition " + partition)
}

// update changes the shard of a job, wakes the goroutine that writes its partition, and makes the
// pending callbacks.
func (w *Writer) update(id string, do func(*shard)) {
	w.mu.Lock()
	s, partition := w.shardOf(id)
	do(s)
	calls := s.takeCallbacks()
	w.mu.Unlock()
	select {
	case w.wake[partition] <- struct{}{}:
	default:
	}
	if len(calls) > 0 {
		// A callback may wait for the goroutine that called update.
		go func() {
			for _, call := range calls {
				call()
			}
		}()
	}
}

// Accept stores a new job that was sent age ago. onResult gets the result on another goroutine. It
// is called once; after Unconfirmed, another call follows if the store answers.
func (w *Writer) Accept(job work.Job, queue work.Queue, age time.Duration, onResult func(AcceptResult)) {
	value, err := json.Marshal(AcceptedJob{
		Job: job, Queue: queue, Group: w.options.Group, Incarnation: w.options.Incarnation, Writer: w.number, Arrived: w.options.Clock() - age,
	})
	if err != nil {
		w.options.Log.Error("job not encoded", "job", job.ID, "error", err)
		onResult(NotStored)
		return
	}
	w.update(job.ID, func(s *shard) { s.accept(job.ID, value, onResult) })
}

// RecordTaskDone records a finished task; done is called once that is stored.
func (w *Writer) RecordTaskDone(id string, task int, done func()) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			p.Done = append(p.Done, task)
			delete(p.Saved, task)
		}, done)
	})
}

// RecordTaskFailed records a failed run of a task; done is called once that is stored.
func (w *Writer) RecordTaskFailed(id string, task int, run int64, done func()) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			if p.Failures == nil {
				p.Failures, p.LastFailedRun = map[int]int{}, map[int]int64{}
			}
			p.Failures[task]++
			p.LastFailedRun[task] = max(p.LastFailedRun[task], run)
		}, done)
	})
}

// RecordTargetLoss records the loss of a target while a task ran on it.
func (w *Writer) RecordTargetLoss(id string, task int, loss TargetLoss) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			if p.TargetLosses == nil {
				p.TargetLosses = map[int][]TargetLoss{}
			}
			p.TargetLosses[task] = append(p.TargetLosses[task], loss)
		}, nil)
	})
}

// RecordSavedState records the state that a task has saved.
func (w *Writer) RecordSavedState(id string, task int, saved string) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			if p.Saved == nil {
				p.Saved = map[int]string{}
			}
			p.Saved[task] = saved
		}, nil)
	})
}

// RecordEnd records the final state of a job; done is called once that is stored.
func (w *Writer) RecordEnd(id string, state work.JobState, done func()) {
	ended := w.options.Clock()
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			*p = Progress{Group: p.Group, State: state, EndedAt: ended}
		}, done)
		if e := s.jobs[id]; e != nil {
			e.expiresAt = bootclock.Now() + w.retention()
		}
	})
}

// State returns the state of a stored job of this owner; false for any other.
func (w *Writer) State(id string) (work.JobState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, _ := w.shardOf(id)
	return s.state(id)
}

// IsSuperseded reports whether another owner has taken over the jobs.
func (w *Writer) IsSuperseded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.shards {
		if s.superseded {
			return true
		}
	}
	return false
}

// Run writes to all partitions until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range Partitions {
		g.Go(func() error { w.writePartition(ctx, i); return nil })
	}
	g.Go(func() error { w.records.run(ctx); return nil })
	g.Go(func() error { w.runSweeps(ctx); return nil })
	return g.Wait()
}

// writePartition writes the batches of a partition until the context ends.
func (w *Writer) writePartition(ctx context.Context, partition int) {
	failing := false
	limit := rate.NewLimiter(rate.Every(writeInterval), writeBurst)
	for ctx.Err() == nil {
		if !w.hasWrite(partition) {
			select {
			case <-ctx.Done():
			case <-w.wake[partition]:
			}
			continue
		}
		if limit.Wait(ctx) != nil {
			return
		}
		// Changes that came during the wait go into the same write.
		s, changes := w.nextBatch(partition)
		if changes == nil {
			// Open has replaced the shard meanwhile.
			continue
		}
		written, err := w.writeOnce(ctx, partitionName(partition), changes)
		w.handleResult(s, written, err)
		if (err != nil) != failing {
			failing = err != nil
			w.options.Log.Warn("store of jobs", "part", partitionName(partition), "away", failing, "changes", len(changes), "error", err)
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

// hasWrite reports whether a partition has something to write. Only writePartition takes batches,
// so true holds until its next call of nextBatch, unless Open replaces the shard meanwhile.
func (w *Writer) hasWrite(partition int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shards[partition].hasWrite()
}

// writeOnce makes one write within writeTimeout.
func (w *Writer) writeOnce(ctx context.Context, partition string, changes []platform.Change) (platform.WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return w.store.Write(ctx, partition, changes)
}

// nextBatch returns the shard of a partition and its next batch of changes.
func (w *Writer) nextBatch(partition int) (*shard, []platform.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shards[partition]
	return s, s.nextBatch(bootclock.Now())
}

// handleResult gives a shard the answer to its batch and makes the pending callbacks.
func (w *Writer) handleResult(s *shard, written platform.WriteResult, err error) {
	w.mu.Lock()
	s.handleResult(bootclock.Now(), written, err)
	calls := s.takeCallbacks()
	w.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// runSweeps has the rows of expired jobs removed until the context ends.
func (w *Writer) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		for _, s := range w.shards {
			s.enqueueExpired(bootclock.Now())
		}
		w.mu.Unlock()
		for _, wake := range w.wake {
			select {
			case wake <- struct{}{}:
			default:
			}
		}
	}
}

// sleep waits for a pause or the end of the context.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// ReadState reads a job's state from the store, for callers that no owner can answer at the
// moment. A job with progress that has not ended is reported as running.
func ReadState(ctx context.Context, store Store, id string) (work.JobState, error) {
	// The jobs row is read first: if the job ends in between, its progress row shows that.
	job, err := store.Get(ctx, jobsTable, PartitionOf(id), id)
	if err != nil {
		return work.StateAbsent, err
	}
	rows, err := store.Get(ctx, progressTable, PartitionOf(id), id)
	if err != nil {
		return work.StateAbsent, err
	}
	switch {
	case len(rows.Rows) > 0:
		var p Progress
		err := decodeRow(rows.Rows[0], &p)
		if err != nil && len(job.Rows) == 0 {
			return work.StateAbsent, err
		}
		if err != nil || !p.State.IsFinal() {
			return work.StateRunning, nil
		}
		return p.State, nil
	case len(job.Rows) > 0:
		return work.StateQueued, nil
	default:
		return work.StateAbsent, nil
	}
}
