package jobstore

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

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

// runSweeps has the rows of expired jobs removed, and refused rows written again, until the context ends.
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
			s.enqueueDue(bootclock.Now())
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
