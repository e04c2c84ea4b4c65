package jobstore

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// TestMain fixes the seed, so that each run has the same result. A flag of the command line
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1500")
	os.Exit(m.Run())
}

// fakeStore stands in for the platform's store. It has rows with versions, failing writes, and
// writes that are applied after their answer was lost.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]map[platform.Table]map[string]platform.Row
	version int64
	delayed []delayedWrite
	// failures are the results of the next writes; once it is empty, writes succeed.
	failures []failure
	// rowBytes bounds the value of a row; 0 for none. refused counts the writes that broke it.
	rowBytes, refused int
	// everStored has each job that was ever stored, removed ones included.
	everStored map[string]bool
	// beforeRead is called before a partition of a table is read; nil for nothing.
	beforeRead func(table platform.Table, partition string)
}

type delayedWrite struct {
	partition string
	changes   []platform.Change
}

// failure is what goes wrong with a write.
type failure int

const (
	succeeds failure = iota
	rejected
	answerLost
	requestLost
	appliedLate
)

func newFakeStore() *fakeStore {
	// Tokens are versions of the store, so that those of the tests are lower.
	return &fakeStore{version: 1000, rows: map[string]map[platform.Table]map[string]platform.Row{}, everStored: map[string]bool{}}
}

func (f *fakeStore) table(partition string, table platform.Table) map[string]platform.Row {
	if f.rows[partition] == nil {
		f.rows[partition] = map[platform.Table]map[string]platform.Row{}
	}
	if f.rows[partition][table] == nil {
		f.rows[partition][table] = map[string]platform.Row{}
	}
	return f.rows[partition][table]
}

// apply makes all changes of a write if each row is at its expected version, else none.
func (f *fakeStore) apply(partition string, changes []platform.Change) (platform.WriteResult, error) {
	var current []platform.Row
	conflict := false
	for _, c := range changes {
		row, ok := f.table(partition, c.Table)[c.Key]
		conflict = conflict || row.Version != c.Expected
		if ok {
			current = append(current, row)
		}
	}
	if conflict {
		return platform.WriteResult{Current: current}, platform.ErrConflict.Errorf("conflict")
	}
	f.version++
	for _, c := range changes {
		switch c.Action {
		case platform.ActionPut:
			f.table(partition, c.Table)[c.Key] = platform.Row{Table: c.Table, Key: c.Key, Value: c.Value, Version: f.version}
			if c.Table == jobsTable {
				f.everStored[c.Key] = true
			}
		case platform.ActionRemove:
			delete(f.table(partition, c.Table), c.Key)
		}
	}
	return platform.WriteResult{Version: f.version}, nil
}

// isInvalid reports whether a write breaks the store's limits.
func (f *fakeStore) isInvalid(changes []platform.Change) bool {
	return valueBytes(changes) > platform.MaxWriteBytes || f.rowBytes > 0 && slices.ContainsFunc(changes, func(c platform.Change) bool {
		return len(c.Value) > f.rowBytes
	})
}

func (f *fakeStore) Write(_ context.Context, partition string, changes []platform.Change) (platform.WriteResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isInvalid(changes) {
		f.refused++
		return platform.WriteResult{}, platform.ErrWriteInvalid.Errorf("status 400")
	}
	next := succeeds
	if len(f.failures) > 0 {
		next, f.failures = f.failures[0], f.failures[1:]
	}
	lost := platform.ErrWriteUnconfirmed.Errorf("no answer")
	switch next {
	case rejected:
		return platform.WriteResult{}, platform.ErrStoreUnavailable.Errorf("status 503")
	case answerLost:
		_, _ = f.apply(partition, changes)
		return platform.WriteResult{}, lost
	case requestLost:
		return platform.WriteResult{}, lost
	case appliedLate:
		f.delayed = append(f.delayed, delayedWrite{partition, slices.Clone(changes)})
		return platform.WriteResult{}, lost
	default:
		return f.apply(partition, changes)
	}
}

// applyDelayed applies the oldest delayed write.
func (f *fakeStore) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delayed) > 0 {
		_, _ = f.apply(f.delayed[0].partition, f.delayed[0].changes)
		f.delayed = f.delayed[1:]
	}
}

func (f *fakeStore) ReadPartition(_ context.Context, table platform.Table, partition string) (platform.Rows, error) {
	if f.beforeRead != nil {
		f.beforeRead(table, partition)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := platform.Rows{Version: f.version}
	for _, row := range f.table(partition, table) {
		rows.Rows = append(rows.Rows, row)
	}
	slices.SortFunc(rows.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakeStore) Get(_ context.Context, table platform.Table, partition, key string) (platform.Rows, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := platform.Rows{Version: f.version}
	if row, ok := f.table(partition, table)[key]; ok {
		rows.Rows = []platform.Row{row}
	}
	return rows, nil
}

// Feed returns the rows of a table that are newer than a version, and waits for one if there is none.
func (f *fakeStore) Feed(ctx context.Context, table platform.Table, after int64, wait time.Duration) (platform.Rows, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 5*time.Millisecond) {
		f.mu.Lock()
		rows := platform.Rows{Version: f.version}
		for _, tables := range f.rows {
			for _, row := range tables[table] {
				if row.Version > after {
					rows.Rows = append(rows.Rows, row)
				}
			}
		}
		f.mu.Unlock()
		if len(rows.Rows) > 0 || ctx.Err() != nil || time.Now().After(end) {
			slices.SortFunc(rows.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
			return rows, ctx.Err()
		}
	}
}

// progress reads a job's progress row.
func (f *fakeStore) progress(id string) (Progress, bool) {
	rows, _ := f.Get(context.Background(), progressTable, PartitionOf(id), id)
	var p Progress
	if len(rows.Rows) == 0 {
		return p, false
	}
	return p, json.Unmarshal(rows.Rows[0].Value, &p) == nil
}

// fakeOwner is an owner with its shards; the test decides when it writes.
type fakeOwner struct {
	writer      *Writer
	shards      [Partitions]*shard
	incarnation uint64
	// given holds the jobs that the owner was told to run.
	given map[string]bool
}

// world runs the changing owners of two groups against one store. It compares the results that
// the owners get with what is stored.
type world struct {
	t               *rapid.T
	store           *fakeStore
	now             time.Duration
	lastIncarnation uint64
	// owners has the current owner of each group. Those in previous don't know of their successors.
	owners   map[string]*fakeOwner
	previous []*fakeOwner
	// results has the results of each job's acceptances.
	results map[string][]AcceptResult
	// withdrawn has the jobs that were confirmed to be nowhere and never to be stored.
	withdrawn map[string]bool
	// done and ended have the finished tasks and the ends whose writing was confirmed.
	done  map[string]map[int]bool
	ended map[string]work.JobState
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, store: newFakeStore(), now: time.Second, owners: map[string]*fakeOwner{},
		results: map[string][]AcceptResult{}, withdrawn: map[string]bool{}, done: map[string]map[int]bool{}, ended: map[string]work.JobState{},
	}
	w.store.rowBytes = worldRowBytes
	for _, group := range []string{"a", "b"} {
		w.takeOver(group)
	}
	return w
}

// takeOver gives a group a new owner and checks that it finds each confirmed task and no job with a
// confirmed end.
func (w *world) takeOver(group string) {
	if old := w.owners[group]; old != nil {
		w.previous = append(w.previous, old)
	}
	w.lastIncarnation++
	w.store.failures = nil
	writer := New(Options{
		Group: group, Incarnation: w.lastIncarnation, Retention: time.Minute, RowBytes: worldRowBytes, Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration { return w.now }, Count: func(string, string) {},
	}, w.store)
	w.store.beforeRead = func(table platform.Table, partition string) {
		if table == progressTable && rapid.IntRange(0, 2).Draw(w.t, "move between the reads") == 0 {
			w.moveBetweenReads(group, partition)
		}
	}
	// One partition after the other: the draws of concurrent ones would have no order.
	var unfinished []DurableJob
	for i := range Partitions {
		jobs, err := writer.openPartition(context.Background(), i, int64(w.lastIncarnation))
		must.NoError(w.t, err)
		unfinished = append(unfinished, jobs...)
	}
	w.store.beforeRead = nil
	w.owners[group] = &fakeOwner{writer: writer, shards: writer.shards, incarnation: w.lastIncarnation, given: map[string]bool{}}
	for _, job := range unfinished {
		w.owners[group].given[job.Job.ID] = true
		for task := range w.done[job.Job.ID] {
			must.SliceContains(w.t, job.Progress.Done, task)
		}
		_, ended := w.ended[job.Job.ID]
		must.False(w.t, ended)
	}
}

// moveBetweenReads has the owner of the other group give its jobs of a partition to a group whose new owner
// is reading its jobs.
func (w *world) moveBetweenReads(group, partition string) {
	other := w.owners[map[string]string{"a": "b", "b": "a"}[group]]
	if other == nil {
		return
	}
	for i, s := range other.shards {
		if partitionName(i) != partition || len(s.inFlight) > 0 {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			w.startMove(other, s, id)
		}
		if changes := s.nextBatch(w.now); changes != nil {
			written, err := w.store.Write(context.Background(), partition, changes)
			s.handleResult(w.now, written, err)
			w.runCallbacks(s)
		}
	}
}

// pickOwner draws an owner, now and then a previous one.
func (w *world) pickOwner(name string) *fakeOwner {
	if len(w.previous) > 0 && rapid.IntRange(0, 4).Draw(w.t, name+" previous") == 0 {
		return rapid.SampledFrom(w.previous).Draw(w.t, name)
	}
	return w.owners[rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, name)]
}

// allOwners lists the owners, previous ones first.
func (w *world) allOwners() []*fakeOwner {
	return append(slices.Clone(w.previous), w.owners["a"], w.owners["b"])
}

// shardOf returns the owner's shard of a job.
func (o *fakeOwner) shardOf(id string) *shard {
	for i, s := range o.shards {
		if partitionName(i) == PartitionOf(id) {
			return s
		}
	}
	return nil
}

// runCallbacks makes the pending callbacks of a shard.
func (w *world) runCallbacks(s *shard) {
	for _, call := range s.takeCallbacks() {
		call()
	}
}

// accept submits a job to an owner and checks that a confirmed one is stored.
func (w *world) accept(id string) {
	if slices.Contains(w.results[id], Stored) && rapid.IntRange(0, 3).Draw(w.t, "again") > 0 {
		return
	}
	o := w.pickOwner("accept")
	s := o.shardOf(id)
	value, _ := json.Marshal(AcceptedJob{Job: work.Job{ID: id}, Group: s.group, Incarnation: s.incarnation, Writer: s.writer})
	s.accept(id, value, func(r AcceptResult) {
		w.results[id] = append(w.results[id], r)
		o.given[id] = o.given[id] || r == Stored
		switch r {
		case Stored, AlreadyStored:
			must.True(w.t, w.store.everStored[id], must.Sprintf("%s was accepted but is not stored", id))
		}
	})
	w.runCallbacks(s)
}

// withdraw has a caller cancel a job at an owner, and checks that a withdrawn one is not stored. An owner
// withdraws a job that isn't stored only if it has seen no row of it.
func (w *world) withdraw(id string) {
	s := w.pickOwner("withdraw").shardOf(id)
	s.withdraw(id, w.now, func(state work.JobState) {
		if state == work.StateWithdrawn {
			w.withdrawn[id] = true
		}
	})
	w.runCallbacks(s)
}

// checkWithdrawn checks that nothing of a withdrawn job is stored or given to an owner to run.
func (w *world) checkWithdrawn() {
	for id := range w.withdrawn {
		must.MapNotContainsKey(w.t, w.store.table(PartitionOf(id), jobsTable), id, must.Sprintf("%s was withdrawn but is stored", id))
		must.SliceNotContains(w.t, w.results[id], Stored, must.Sprintf("%s was withdrawn but is accepted", id))
		for _, o := range w.allOwners() {
			must.False(w.t, o.given[id], must.Sprintf("%s was withdrawn but was given to an owner to run", id))
		}
	}
}

// runningJobs lists the stored jobs that have not ended, as each owner knows them.
func (w *world) runningJobs() (shards []*shard, ids []string) {
	for _, o := range w.allOwners() {
		for _, s := range o.shards {
			for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
				w.checkShownEnd(s, id)
				if e := s.jobs[id]; e.isStored && !e.progress.State.IsFinal() {
					shards, ids = append(shards, s), append(ids, id)
				}
			}
		}
	}
	return shards, ids
}

// checkShownEnd checks that a final state is stored once callers see it: a later owner finds it.
func (w *world) checkShownEnd(s *shard, id string) {
	if state, known := s.state(id); known && state.IsFinal() && !s.superseded {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && p.State == state, must.Sprintf("the end of %s is shown but not stored", id))
	}
}

// recordProgress records a finished task or the end of a job, and checks what is confirmed.
func (w *world) recordProgress() {
	shards, ids := w.runningJobs()
	if len(ids) == 0 {
		return
	}
	at := rapid.IntRange(0, len(ids)-1).Draw(w.t, "job")
	s, id := shards[at], ids[at]
	if rapid.IntRange(0, 2).Draw(w.t, "end") == 0 {
		if s.jobs[id].move != nil {
			// The scheduler ends no job while it moves.
			return
		}
		s.record(id, func(p *Progress) { *p = Progress{Group: p.Group, State: work.StateCompleted} }, func() {
			p, ok := w.store.progress(id)
			must.True(w.t, ok && p.State == work.StateCompleted)
			must.MapNotContainsKey(w.t, w.store.table(PartitionOf(id), jobsTable), id, must.Sprintf("%s has ended but its jobs row is left", id))
			w.ended[id] = p.State
		})
		return
	}
	task := rapid.IntRange(0, 3).Draw(w.t, "task")
	s.record(id, func(p *Progress) { p.Done = append(p.Done, task) }, func() {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && (p.State.IsFinal() || slices.Contains(p.Done, task)))
		if w.done[id] == nil {
			w.done[id] = map[int]bool{}
		}
		w.done[id][task] = true
	})
}

// moveJob has an owner give a job to the other group.
func (w *world) moveJob() {
	shards, ids := w.runningJobs()
	if len(ids) == 0 {
		return
	}
	at := rapid.IntRange(0, len(ids)-1).Draw(w.t, "moving job")
	s, id := shards[at], ids[at]
	for _, o := range w.allOwners() {
		if o.shardOf(id) == s {
			w.startMove(o, s, id)
		}
	}
}

// startMove has an owner give a job to the other group, unless the job can't move.
func (w *world) startMove(o *fakeOwner, s *shard, id string) {
	if e := s.jobs[id]; e.move != nil || !e.isStored || e.progress.State.IsFinal() {
		return
	}
	to := map[string]string{"a": "b", "b": "a"}[s.group]
	m, err := o.writer.prepareMove(context.Background(), id, to)
	if err != nil {
		return
	}
	m.onResult = func(moved bool) {
		if moved {
			delete(o.given, id)
		}
	}
	s.move(id, m)
	w.runCallbacks(s)
}

// adoptJobs has an owner adopt the jobs that were given to its group.
func (w *world) adoptJobs(o *fakeOwner) {
	rows, _, err := o.writer.readMoves(context.Background(), 0)
	must.NoError(w.t, err)
	for _, row := range rows {
		_ = o.writer.adoptRow(context.Background(), row, func(job DurableJob) {
			o.given[job.Job.ID] = true
			for task := range w.done[job.Job.ID] {
				must.SliceContains(w.t, job.Progress.Done, task)
			}
			_, ended := w.ended[job.Job.ID]
			must.False(w.t, ended)
		})
	}
}

// checkEachJobHasOneOwner checks that each stored job that hasn't ended belongs to one owner.
func (w *world) checkEachJobHasOneOwner() {
	for id := range w.store.everStored {
		if p, ok := w.store.progress(id); ok && p.State.IsFinal() {
			continue
		}
		owners := 0
		for _, o := range w.owners {
			if o.shardOf(id).jobs[id] != nil {
				owners++
				must.True(w.t, o.given[id], must.Sprintf("%s is tracked but was given to no owner to run", id))
			}
		}
		must.Eq(w.t, 1, owners, must.Sprintf("%s has %d owners", id, owners))
	}
}

// worldRowBytes bounds a row in the worlds. A few lost targets of each task outgrow it.
const worldRowBytes = 1200

// growProgress records lost targets, failed runs or saved states of a job's tasks, so that its row
// grows.
func (w *world) growProgress() {
	shards, ids := w.runningJobs()
	if len(ids) == 0 {
		return
	}
	at := rapid.IntRange(0, len(ids)-1).Draw(w.t, "grown job")
	kind := rapid.SampledFrom([]string{"loss", "loss", "failure", "state"}).Draw(w.t, "fact")
	shards[at].record(ids[at], func(p *Progress) {
		if p.State.IsFinal() {
			return
		}
		for task := range 4 {
			switch kind {
			case "loss":
				p.addLoss(task, TargetLoss{Target: fmt.Sprint("target-", len(p.TargetLosses[task])), Incarnation: 1791181946123})
			case "failure":
				p.addFailures(task, 1)
			case "state":
				p.setSaved(task, fmt.Sprintf("%0100d", task))
			}
		}
	}, nil)
}

// checkAllWritten checks that each owner writes all that it has recorded once the store works.
func (w *world) checkAllWritten() {
	for _, o := range w.owners {
		for partition, s := range o.shards {
			for range 60 {
				changes := s.nextBatch(w.now)
				if changes == nil {
					break
				}
				written, err := w.store.Write(context.Background(), partitionName(partition), changes)
				s.handleResult(w.now, written, err)
				w.runCallbacks(s)
			}
			for id, e := range s.jobs {
				must.Eq(w.t, e.recorded, e.written, must.Sprintf("the progress of %s is not written", id))
			}
		}
	}
}

// shardsWithWrites lists the shards that have jobs to write, with their partitions.
func (w *world) shardsWithWrites() (shards []*shard, partitions []int) {
	for _, o := range w.allOwners() {
		for partition, s := range o.shards {
			if len(s.queue) > 0 && !s.superseded {
				shards, partitions = append(shards, s), append(partitions, partition)
			}
		}
	}
	return shards, partitions
}

// writeBatch writes one batch of a shard, which may fail.
func (w *world) writeBatch() {
	shards, partitions := w.shardsWithWrites()
	if len(shards) == 0 {
		return
	}
	at := rapid.IntRange(0, len(shards)-1).Draw(w.t, "shard")
	s, partition := shards[at], partitions[at]
	changes := s.nextBatch(w.now)
	must.LessEq(w.t, platform.MaxChanges, len(changes))
	w.store.failures = []failure{rapid.SampledFrom([]failure{succeeds, succeeds, succeeds, rejected, answerLost, requestLost, appliedLate}).Draw(w.t, "failure")}
	written, err := w.store.Write(context.Background(), partitionName(partition), changes)
	s.handleResult(w.now, written, err)
	w.runCallbacks(s)
}

// checkInvariants checks that a job is new once, that refused jobs are not stored, and that ends
// stay.
func (w *world) checkInvariants() {
	for id, results := range w.results {
		stored := 0
		for _, r := range results {
			if r == Stored {
				stored++
			}
		}
		must.LessEq(w.t, 1, stored, must.Sprintf("%s was accepted as new %d times", id, stored))
		if slices.Contains(results, Unconfirmed) {
			continue
		}
		if stored == 0 && !slices.Contains(results, AlreadyStored) && !slices.Contains(results, Superseded) && w.isUntracked(id) {
			must.False(w.t, w.store.everStored[id], must.Sprintf("%s was refused but is stored", id))
		}
	}
	for id, state := range w.ended {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && p.State == state, must.Sprintf("the end of %s is gone", id))
	}
}

// isUntracked reports whether no owner tracks a job, so that no result of it is outstanding.
func (w *world) isUntracked(id string) bool {
	for _, o := range w.allOwners() {
		if o.shardOf(id).jobs[id] != nil {
			return false
		}
	}
	return true
}

// An ID is one job wherever and however often it is submitted. Each later owner finds what was
// confirmed as stored. Refused jobs are never stored.
func TestFuzzDurableJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			id := fmt.Sprintf("job%d", rapid.IntRange(0, 9).Draw(rt, "job"))
			switch rapid.SampledFrom([]string{"accept", "accept", "note", "note", "write", "write", "write", "write", "late", "take over", "grow", "grow", "move", "adopt", "withdraw"}).Draw(rt, "action") {
			case "move":
				w.moveJob()
			case "adopt":
				w.store.failures = nil
				w.adoptJobs(w.pickOwner("adopt"))
			case "grow":
				w.growProgress()
			case "withdraw":
				w.withdraw(id)
			case "accept":
				w.accept(id)
			case "note":
				w.recordProgress()
			case "write":
				w.writeBatch()
			case "late":
				w.store.applyDelayed()
			case "take over":
				w.takeOver(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "group"))
			}
			w.checkInvariants()
			w.checkWithdrawn()
		}
		w.store.failures = nil
		w.checkAllWritten()
		for len(w.store.delayed) > 0 {
			w.store.applyDelayed()
		}
		w.adoptJobs(w.owners["a"])
		w.adoptJobs(w.owners["b"])
		w.checkAllWritten()
		w.checkWithdrawn()
		w.checkEachJobHasOneOwner()
	})
}
