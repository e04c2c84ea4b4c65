package jobstore

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

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
		if present.isOdd(rows.Rows[0]) {
			w.reportUnreadable(fencesTable, w.options.Group, errOddToken)
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
	s := w.newShard()
	s.fenceVersion = fenceVersion
	w.loadProgress(s, progress.Rows)
	unfinished := w.loadJobs(s, jobs.Rows)
	s.forgetMoving()
	w.shards[partition] = s
	return unfinished, nil
}

// forgetMoving forgets the jobs of which only the progress row was read as this group's: they moved here
// after their jobs rows were read, and FollowMoves adopts them.
func (s *shard) forgetMoving() {
	maps.DeleteFunc(s.jobs, func(_ string, e *trackedJob) bool { return e.jobVersion == 0 && !e.progress.State.IsFinal() })
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
			// An end in the future is another writer's.
			sinceEnd := max(w.options.Clock()-p.EndedAt, 0)
			if p.EndedAt > w.options.Clock() {
				sinceEnd = 0
			}
			expires = now + max(w.retention()-sinceEnd, 0)
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
