package jobstore

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
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

// TestMain fixes the seed, so that every run gives the same verdict; a flag of the
// command line goes before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1500")
	os.Exit(m.Run())
}

// fakeStore is the platform's store: rows with versions, and writes that are carried
// out late.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]map[platform.Table]map[string]platform.Row
	version int64
	late    []lateWrite
	// fail is what becomes of the next writes; they are carried out when it is empty.
	fail []failure
	// seen holds every job that ever lay there.
	seen map[string]bool
}

type lateWrite struct {
	part    string
	changes []platform.Change
}

// failure is how a write goes wrong.
type failure int

const (
	fine failure = iota
	turnedAway
	answerLost
	requestLost
	doneLate
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]map[platform.Table]map[string]platform.Row{}, seen: map[string]bool{}}
}

func (f *fakeStore) table(part string, table platform.Table) map[string]platform.Row {
	if f.rows[part] == nil {
		f.rows[part] = map[platform.Table]map[string]platform.Row{}
	}
	if f.rows[part][table] == nil {
		f.rows[part][table] = map[string]platform.Row{}
	}
	return f.rows[part][table]
}

// apply carries out a write under its conditions.
func (f *fakeStore) apply(part string, changes []platform.Change) (platform.Written, error) {
	var current []platform.Row
	conflict := false
	for _, c := range changes {
		row, ok := f.table(part, c.Table)[c.Key]
		conflict = conflict || row.Version != c.Expected
		if ok {
			current = append(current, row)
		}
	}
	if conflict {
		return platform.Written{Current: current}, platform.ErrConflict.Errorf("conflict")
	}
	f.version++
	for _, c := range changes {
		switch c.Action {
		case platform.ActionPut:
			f.table(part, c.Table)[c.Key] = platform.Row{Table: c.Table, Key: c.Key, Value: c.Value, Version: f.version}
			if c.Table == jobsTable {
				f.seen[c.Key] = true
			}
		case platform.ActionRemove:
			delete(f.table(part, c.Table), c.Key)
		}
	}
	return platform.Written{Version: f.version}, nil
}

func (f *fakeStore) Write(_ context.Context, part string, changes []platform.Change) (platform.Written, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := fine
	if len(f.fail) > 0 {
		next, f.fail = f.fail[0], f.fail[1:]
	}
	lost := platform.ErrStoreUnknown.Errorf("no answer")
	switch next {
	case turnedAway:
		return platform.Written{}, platform.ErrStoreAway.Errorf("status 503")
	case answerLost:
		_, _ = f.apply(part, changes)
		return platform.Written{}, lost
	case requestLost:
		return platform.Written{}, lost
	case doneLate:
		f.late = append(f.late, lateWrite{part, slices.Clone(changes)})
		return platform.Written{}, lost
	default:
		return f.apply(part, changes)
	}
}

// catchUp carries out the oldest late write.
func (f *fakeStore) catchUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.late) > 0 {
		_, _ = f.apply(f.late[0].part, f.late[0].changes)
		f.late = f.late[1:]
	}
}

func (f *fakeStore) ReadPart(_ context.Context, table platform.Table, part string) (platform.Rows, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := platform.Rows{Version: f.version}
	for _, row := range f.table(part, table) {
		rows.Rows = append(rows.Rows, row)
	}
	slices.SortFunc(rows.Rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakeStore) Get(_ context.Context, table platform.Table, part, key string) (platform.Rows, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := platform.Rows{Version: f.version}
	if row, ok := f.table(part, table)[key]; ok {
		rows.Rows = []platform.Row{row}
	}
	return rows, nil
}

// progress reads what the store has of a job.
func (f *fakeStore) progress(id string) (Progress, bool) {
	rows, _ := f.Get(context.Background(), progressTable, PartOf(id), id)
	var p Progress
	if len(rows.Rows) == 0 {
		return p, false
	}
	return p, json.Unmarshal(rows.Rows[0].Value, &p) == nil
}

// fakeOwner is one owner with its shards; it writes when it is told to.
type fakeOwner struct {
	shards [Parts]*shard
	life   uint64
}

// world plays two groups whose owners change against one store. It sees what the owners
// are told and what lies in the store.
type world struct {
	t     *rapid.T
	store *fakeStore
	now   time.Duration
	lives uint64
	// owners are the present one of each group, former ones don't know that they are.
	owners map[string]*fakeOwner
	former []*fakeOwner
	// results are what the acceptances of each job were told.
	results map[string][]Result
	// tasks done and ends that were confirmed.
	done  map[string]map[int]bool
	ended map[string]work.State
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, store: newFakeStore(), now: time.Second, owners: map[string]*fakeOwner{},
		results: map[string][]Result{}, done: map[string]map[int]bool{}, ended: map[string]work.State{},
	}
	for _, group := range []string{"a", "b"} {
		w.takeOver(group)
	}
	return w
}

// takeOver opens a group under a new owner.
func (w *world) takeOver(group string) {
	if old := w.owners[group]; old != nil {
		w.former = append(w.former, old)
	}
	w.lives++
	w.store.fail = nil
	k := New(Options{
		Group: group, Life: w.lives, Retention: time.Minute, Clock: func() time.Duration { return w.now }, Count: func(string, string) {},
	}, w.store)
	kept, err := k.Open(context.Background(), int64(w.lives))
	must.NoError(w.t, err)
	w.owners[group] = &fakeOwner{shards: k.shards, life: w.lives}
	for _, job := range kept {
		for task := range w.done[job.Job.ID] {
			must.SliceContains(w.t, job.Progress.Done, task)
		}
		_, over := w.ended[job.Job.ID]
		must.False(w.t, over)
	}
}

func (w *world) owner(name string) *fakeOwner {
	if len(w.former) > 0 && rapid.IntRange(0, 4).Draw(w.t, name+" former") == 0 {
		return rapid.SampledFrom(w.former).Draw(w.t, name)
	}
	return w.owners[rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, name)]
}

// all lists the owners, former ones first.
func (w *world) all() []*fakeOwner {
	return append(slices.Clone(w.former), w.owners["a"], w.owners["b"])
}

func (o *fakeOwner) shard(id string) *shard {
	for i, s := range o.shards {
		if partName(i) == PartOf(id) {
			return s
		}
	}
	return nil
}

func (w *world) settle(s *shard) {
	for _, call := range s.told() {
		call()
	}
}

func (w *world) accept(id string) {
	if slices.Contains(w.results[id], Stored) && rapid.IntRange(0, 3).Draw(w.t, "again") > 0 {
		return
	}
	s := w.owner("accept").shard(id)
	value, _ := json.Marshal(Accepted{Job: work.Job{ID: id}, Home: s.home, Life: s.life})
	s.accept(id, value, func(r Result) {
		w.results[id] = append(w.results[id], r)
		switch r {
		case Stored, Known:
			must.True(w.t, w.store.seen[id], must.Sprintf("%s was accepted and isn't stored", id))
		}
	})
	w.settle(s)
}

// running lists the jobs that an owner has stored and that haven't ended, as it knows.
func (w *world) running() (shards []*shard, ids []string) {
	for _, o := range w.all() {
		for _, s := range o.shards {
			for _, id := range slices.Sorted(maps.Keys(s.entries)) {
				w.shown(s, id)
				if e := s.entries[id]; e.created && !e.progress.State.Final() {
					shards, ids = append(shards, s), append(ids, id)
				}
			}
		}
	}
	return shards, ids
}

// shown checks that what a caller sees of a job's end, its successor finds.
func (w *world) shown(s *shard, id string) {
	if state, known := s.state(id); known && state.Final() && !s.lost {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && p.State == state, must.Sprintf("the end of %s is shown and isn't stored", id))
	}
}

func (w *world) note() {
	shards, ids := w.running()
	if len(ids) == 0 {
		return
	}
	at := rapid.IntRange(0, len(ids)-1).Draw(w.t, "job")
	s, id := shards[at], ids[at]
	if rapid.IntRange(0, 2).Draw(w.t, "end") == 0 {
		s.note(id, func(p *Progress) { *p = Progress{Home: p.Home, State: work.StateCompleted} }, func() {
			p, ok := w.store.progress(id)
			must.True(w.t, ok && p.State == work.StateCompleted)
			must.MapNotContainsKey(w.t, w.store.table(PartOf(id), jobsTable), id, must.Sprintf("%s has ended and lies there to be run", id))
			w.ended[id] = p.State
		})
		return
	}
	task := rapid.IntRange(0, 3).Draw(w.t, "task")
	s.note(id, func(p *Progress) { p.Done = append(p.Done, task) }, func() {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && (p.State.Final() || slices.Contains(p.Done, task)))
		if w.done[id] == nil {
			w.done[id] = map[int]bool{}
		}
		w.done[id][task] = true
	})
}

// busy lists the shards that have something to write.
func (w *world) busy() (busy []*shard, parts []int) {
	for _, o := range w.all() {
		for part, s := range o.shards {
			if len(s.queue) > 0 && !s.lost {
				busy, parts = append(busy, s), append(parts, part)
			}
		}
	}
	return busy, parts
}

func (w *world) write() {
	busy, parts := w.busy()
	if len(busy) == 0 {
		return
	}
	at := rapid.IntRange(0, len(busy)-1).Draw(w.t, "shard")
	s, part := busy[at], parts[at]
	changes := s.batch(w.now)
	must.LessEq(w.t, platform.MaxChanges, len(changes))
	w.store.fail = []failure{rapid.SampledFrom([]failure{fine, fine, fine, turnedAway, answerLost, requestLost, doneLate}).Draw(w.t, "failure")}
	written, err := w.store.Write(context.Background(), partName(part), changes)
	s.result(w.now, written, err)
	w.settle(s)
}

// check looks at what must always hold.
func (w *world) check() {
	for id, results := range w.results {
		stored := 0
		for _, r := range results {
			if r == Stored {
				stored++
			}
		}
		must.LessEq(w.t, 1, stored, must.Sprintf("%s was accepted as new %d times", id, stored))
		if slices.Contains(results, Doubtful) {
			continue
		}
		if stored == 0 && !slices.Contains(results, Known) && !slices.Contains(results, Uncertain) && w.refusedByAll(id) {
			must.False(w.t, w.store.seen[id], must.Sprintf("%s was refused and is stored", id))
		}
	}
	for id, state := range w.ended {
		p, ok := w.store.progress(id)
		must.True(w.t, ok && p.State == state, must.Sprintf("the end of %s is gone", id))
	}
}

// refusedByAll reports that no owner has still to say how a job's acceptance ends.
func (w *world) refusedByAll(id string) bool {
	for _, o := range w.all() {
		if o.shard(id).entries[id] != nil {
			return false
		}
	}
	return true
}

// An ID is one job wherever and however often it is handed in; what was told to be
// stored is found by each successor; what was refused never lies in the store.
func TestFuzzKeptJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			id := fmt.Sprintf("job%d", rapid.IntRange(0, 9).Draw(rt, "job"))
			switch rapid.SampledFrom([]string{"accept", "accept", "note", "note", "write", "write", "write", "write", "late", "succeed"}).Draw(rt, "action") {
			case "accept":
				w.accept(id)
			case "note":
				w.note()
			case "write":
				w.write()
			case "late":
				w.store.catchUp()
			case "succeed":
				w.takeOver(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "group"))
			}
			w.check()
		}
	})
}
