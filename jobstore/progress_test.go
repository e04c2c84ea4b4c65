package jobstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// writeAll writes the batches of a shard until it has none, at most n.
func writeAll(s *shard, store *fakeStore, now time.Duration, n int) {
	for range n {
		changes := s.nextBatch(now)
		if changes == nil {
			return
		}
		written, err := store.Write(context.Background(), partitionName(0), changes)
		s.handleResult(now, written, err)
		for _, call := range s.takeCallbacks() {
			call()
		}
	}
}

// storedShard returns a shard whose fence row is in the store, with stored jobs.
func storedShard(store *fakeStore, jobs ...string) *shard {
	s := newTestShard()
	value, _ := json.Marshal(fence{Incarnation: 1, Writer: 1, Token: 1})
	written, _ := store.apply(partitionName(0), []platform.Change{{Table: fencesTable, Key: "a", Value: value}})
	s.fenceVersion = written.Version
	for _, id := range jobs {
		s.accept(id, []byte("{}"), func(AcceptResult) {})
	}
	writeAll(s, store, 0, 1)
	return s
}

// A job whose tasks lose targets again and again doesn't outgrow its row, and so doesn't block the
// records of other jobs of its partition. A successor finds all that was recorded.
func TestGrownProgressRowBlocksNoOtherJob(t *testing.T) {
	store := newFakeStore()
	store.rowBytes = platform.DefaultRowBytes
	s := storedShard(store, "large", "other")
	const tasks, occurrences, crashes = 170, 47, 5
	for i := range tasks * occurrences {
		for crash := range crashes {
			if i%occurrences < crashes {
				s.record("large", func(p *Progress) {
					p.addLoss(i, TargetLoss{Target: fmt.Sprintf("ex%04d-08d12dfd", crash), Incarnation: 1791181946123})
				}, nil)
			}
		}
		if i%3 == 0 {
			s.record("large", func(p *Progress) { p.addFailures(i, 1); p.setLastFailed(i, int64(i%4)) }, nil)
		}
		if i%2 == 0 {
			s.record("large", func(p *Progress) { p.markDone(i) }, nil)
		}
	}
	recorded := false
	s.record("other", func(p *Progress) { p.markDone(0) }, func() { recorded = true })
	writeAll(s, store, 0, 3)
	must.True(t, recorded, must.Sprint("the finished task of the other job is not recorded"))
	must.Zero(t, store.refused)
	p := s.jobs["large"].progress
	row := store.table(partitionName(0), progressTable)["large"]
	var read Progress
	must.NoError(t, json.Unmarshal(row.Value, &read))
	must.Eq(t, slices.Sorted(slices.Values(p.Done)), slices.Sorted(slices.Values(read.Done)))
	must.Eq(t, p.Failures, read.Failures)
	must.Eq(t, p.LastFailedRun, read.LastFailedRun)
	must.Eq(t, len(p.TargetLosses), len(read.TargetLosses))
}

// Several grown rows don't go into one write beyond the size that the store takes.
func TestGrownRowsAreSpreadOverWrites(t *testing.T) {
	store := newFakeStore()
	ids := make([]string, maxBatchJobs)
	for i := range ids {
		ids[i] = fmt.Sprint("job", i)
	}
	s := storedShard(store, ids...)
	recorded := 0
	for _, id := range ids {
		s.record(id, func(p *Progress) {
			for task := range 2500 {
				p.setSaved(task, "00000bb87a21d94b")
			}
		}, func() { recorded++ })
	}
	writeAll(s, store, 0, 4)
	must.Zero(t, store.refused)
	must.Eq(t, len(ids), recorded)
}

// A row that the store refuses, for whatever reason, delays only its own job.
func TestRefusedRowDelaysOnlyItsJob(t *testing.T) {
	store := newFakeStore()
	s := storedShard(store, "refused", "other", "third")
	store.rowBytes = 100
	recorded := 0
	s.record("refused", func(p *Progress) { p.setSaved(0, fmt.Sprintf("%0200d", 0)) }, nil)
	s.record("other", func(p *Progress) { p.markDone(0) }, func() { recorded++ })
	s.record("third", func(p *Progress) { p.markDone(0) }, func() { recorded++ })
	writeAll(s, store, 0, 6)
	must.Eq(t, 2, recorded)
	must.False(t, s.storeFailing)
	accepted := NotStored
	s.accept("new", []byte("{}"), func(r AcceptResult) { accepted = r })
	writeAll(s, store, 0, 2)
	must.Eq(t, Stored, accepted)
	store.rowBytes = 0
	s.enqueueDue(refusedRetryDelay)
	writeAll(s, store, refusedRetryDelay, 2)
	stored, _ := store.table(partitionName(0), progressTable)["refused"]
	must.StrContains(t, string(stored.Value), "0000")
}

// A job that doesn't fit a row is refused at once, and alone.
func TestJobTooLargeForRowIsRefused(t *testing.T) {
	store := newFakeStore()
	store.rowBytes = platform.DefaultRowBytes
	w := startWriter(t, store, "a", 1, 1)
	result := make(chan AcceptResult, 1)
	steps := make([]work.Step, 1000)
	for i := range steps {
		steps[i] = work.Step{Tasks: 1, RequiredLabel: fmt.Sprintf("%050d", i)}
	}
	w.Accept(work.Job{ID: testJob, Durable: true, Steps: steps}, work.Queue{Name: "q"}, time.Second, func(r AcceptResult) { result <- r })
	must.Eq(t, TooLarge, <-result)
	must.Eq(t, Stored, acceptJob(w, "6c0e7a21d94b36f8"))
	must.Zero(t, store.refused)
}

// A row holds the finished tasks and the failures of any job, whatever else it leaves out.
func TestFuzzProgressFitsItsRow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p Progress
		tasks := rapid.IntRange(1, 1500).Draw(rt, "tasks")
		spread := rapid.IntRange(1, 6).Draw(rt, "spread")
		for task := range tasks {
			switch (task*7 + task/spread) % 4 {
			case 0:
				p.markDone(task)
			case 1:
				p.addFailures(task, 1+task%3)
				p.setLastFailed(task, int64(task%(1+spread*40)))
			case 2:
				for i := range 1 + task%3 {
					p.addLoss(task, TargetLoss{Target: fmt.Sprint("target", task%(1+spread*spread), i), Isolated: task%5 == 0})
				}
			case 3:
				p.setSaved(task, rapid.SampledFrom([]string{"00000bb87a21d94b", "<\">"}).Draw(rt, "state"))
			}
		}
		limit := 600 + 9*tasks
		value, omitted, err := p.encode(limit)
		must.NoError(rt, err)
		must.LessEq(rt, limit, len(value))
		var read Progress
		must.NoError(rt, json.Unmarshal(value, &read))
		slices.Sort(read.Done)
		must.Eq(rt, p.Done, read.Done)
		must.Eq(rt, p.Failures, read.Failures)
		must.Eq(rt, p.LastFailedRun, read.LastFailedRun)
		lost := 0
		for task, losses := range p.TargetLosses {
			lost += len(losses) - len(read.TargetLosses[task])
		}
		must.Eq(rt, omitted, lost+len(p.Saved)-len(read.Saved))
	})
}
