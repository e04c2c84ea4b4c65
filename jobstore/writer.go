package jobstore

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"

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
	Feed(ctx context.Context, table platform.Table, after int64, wait time.Duration) (platform.Rows, error)
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
	// RowBytes bounds the value of a row; 0 stands for platform.DefaultRowBytes.
	RowBytes int
	Log      *slog.Logger
	// Count counts unreadable rows by table, and rows that are too large; it must not block.
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
		w.shards[i] = w.newShard()
		w.wake[i] = make(chan struct{}, 1)
	}
	return w
}

// newShard returns a shard without jobs and without a fence.
func (w *Writer) newShard() *shard {
	s := newShard(w.options.Group, w.options.Incarnation, w.number, w.options.rowBytes(), w.reportRow)
	s.retention = w.retention()
	return s
}

// rowBytes is the most bytes of a row's value that a write can hold.
func (o Options) rowBytes() int {
	return min(cmp.Or(max(o.RowBytes, 0), platform.DefaultRowBytes), platform.MaxWriteBytes)
}

// reportRow logs and counts a job whose row the store doesn't take, or that doesn't hold all that is
// known.
func (w *Writer) reportRow(id string, err error) {
	w.options.Count("rows_too_large", string(progressTable))
	w.options.Log.Error("row of a job too large", "job", id, "error", err)
}

// TargetRecords returns the record of the targets at which tasks of the jobs may run.
func (w *Writer) TargetRecords() *TargetRecords { return w.records }

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
	if len(value) > w.options.rowBytes() {
		onResult(TooLarge)
		return
	}
	w.update(job.ID, func(s *shard) { s.accept(job.ID, value, onResult) })
}

// RecordTaskDone records a finished task; done is called once that is stored.
func (w *Writer) RecordTaskDone(id string, task int, done func()) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			p.markDone(task)
		}, done)
	})
}

// RecordTaskFailed records a failed run of a task; done is called once that is stored.
func (w *Writer) RecordTaskFailed(id string, task int, run int64, done func()) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			p.addFailures(task, 1)
			p.setLastFailed(task, run)
		}, done)
	})
}

// RecordTargetLoss records the loss of a target while a task ran on it, in place of an earlier record
// of the same loss.
func (w *Writer) RecordTargetLoss(id string, task int, loss TargetLoss) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			p.addLoss(task, loss)
		}, nil)
	})
}

// RecordTargetCleared removes the record of a loss that doesn't count against the task.
func (w *Writer) RecordTargetCleared(id string, task int, loss TargetLoss) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) { p.removeLoss(task, loss) }, nil)
	})
}

// RecordSavedState records the state that a task has saved.
func (w *Writer) RecordSavedState(id string, task int, saved string) {
	w.update(id, func(s *shard) {
		s.record(id, func(p *Progress) {
			p.setSaved(task, saved)
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
