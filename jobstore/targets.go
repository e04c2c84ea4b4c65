package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
	"golang.org/x/time/rate"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// recordsTable has a row for each target at which tasks of a group's durable jobs may run. The rows of
// a group have a partition of their own, with a fence row of the owner that may change them.
const recordsTable platform.Table = "targets"

func recordsPartition(group string) string { return "targets-" + group }

// targetRecord is the value of a target's row: what a successor needs to reach a target that the
// registry doesn't list.
type targetRecord struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// Incarnation is when the target's process started, in milliseconds since 1970; 0 where the
	// target did not report it.
	Incarnation int64 `json:"life,omitempty"`
}

// recordsFence is the value of the fence row of a group's target records.
type recordsFence struct {
	fence
	// VM is the one that the owner runs on.
	VM string `json:"vm"`
	// EarlierUntil is when the leases of all owners before this one are over, on the store's clock; 0
	// if there was none.
	EarlierUntil time.Duration `json:"earlier,omitempty"`
}

// Inherited is what a new owner finds in the target records.
type Inherited struct {
	Targets []work.Target
	// HasPredecessor reports that an owner before this one could record targets. VM and Incarnation
	// are those of its process; Incarnation is 0 if they can't be read.
	HasPredecessor bool
	VM             string
	Incarnation    uint64
	// EarlierUntil is when the leases of the owners before the predecessor are over, on the store's
	// clock; 0 if there was none.
	EarlierUntil time.Duration
}

// ErrSharedToken means that the previous owner handed its claim over by message, so that targets obey
// it like this owner: the record can't be taken over before the claim is written.
const ErrSharedToken = errs.Tag("the previous owner has the same token")

// TargetRecords keeps the record of a group's targets for one owner. It is safe for concurrent use.
type TargetRecords struct {
	options Options
	store   Store
	writer  uint64

	mu sync.Mutex
	// inherited is what the row said that this owner's fence row has replaced.
	inherited Inherited
	// fenceVersion is the version of this owner's fence row; 0 before it is written. superseded is set
	// once another owner's was seen.
	fenceVersion int64
	superseded   bool
	// versions are those of the rows; changes are still to be written.
	versions map[string]int64
	changes  map[string]recordChange
	wake     chan struct{}
}

// recordChange is a row to write, or to remove if value is nil. done is called once it is stored.
type recordChange struct {
	value []byte
	done  func()
	// number tells this change from a later one of the same row.
	number int
}

func newTargetRecords(o Options, store Store, writer uint64) *TargetRecords {
	return &TargetRecords{
		options: o, store: store, writer: writer, versions: map[string]int64{}, changes: map[string]recordChange{}, wake: make(chan struct{}, 1),
	}
}

// Open ends the right of previous owners to change the record and returns what they have recorded. The
// token is the owner's fencing token, and the leases of all previous owners are over after validity.
// Open may be called again after an error.
func (r *TargetRecords) Open(ctx context.Context, token int64, validity time.Duration) (Inherited, error) {
	partition := recordsPartition(r.options.Group)
	version, err := r.acquireFence(ctx, partition, token, validity)
	if err != nil {
		return Inherited{}, err
	}
	rows, err := r.store.ReadPartition(ctx, recordsTable, partition)
	if err != nil {
		return Inherited{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fenceVersion = version
	inherited := r.inherited
	inherited.Targets = r.decodeTargets(rows.Rows)
	return inherited, nil
}

// acquireFence writes this owner's fence row and returns its version. It fails with ErrSuperseded if
// the row has a higher token.
func (r *TargetRecords) acquireFence(ctx context.Context, partition string, token int64, validity time.Duration) (int64, error) {
	rows, err := r.store.Get(ctx, fencesTable, partition, r.options.Group)
	if err != nil {
		return 0, err
	}
	own := recordsFence{fence: fence{Incarnation: r.options.Incarnation, Writer: r.writer, Token: token}, VM: r.options.VM}
	found, expected := Inherited{}, int64(0)
	if len(rows.Rows) > 0 {
		var present recordsFence
		err := decodeRow(rows.Rows[0], &present)
		if err == nil && present.isOdd(rows.Rows[0]) {
			err = errOddToken
		}
		if err != nil {
			r.options.reportUnreadable(fencesTable, r.options.Group, err)
			present = recordsFence{EarlierUntil: r.options.Clock() + validity}
		}
		expected = rows.Rows[0].Version
		switch {
		case present.Incarnation == own.Incarnation && present.Writer == own.Writer:
			return expected, nil
		case present.Token > token:
			return 0, ErrSuperseded.Errorf("token %d of the target records is above this owner's token %d: step down", present.Token, token)
		case present.Token == token:
			return 0, ErrSharedToken.Errorf("token %d: try again once the claim is written", token)
		}
		found = Inherited{HasPredecessor: true, VM: present.VM, Incarnation: present.Incarnation, EarlierUntil: present.EarlierUntil}
		own.EarlierUntil = r.options.Clock() + validity
	}
	value, err := json.Marshal(own)
	if err != nil {
		return 0, err
	}
	// If the answer is lost, the next call finds this owner's row.
	r.mu.Lock()
	r.inherited = found
	r.mu.Unlock()
	written, err := r.store.Write(ctx, partition, []platform.Change{{Action: platform.ActionPut, Table: fencesTable, Key: r.options.Group, Value: value, Expected: expected}})
	return written.Version, err
}

// decodeTargets returns the targets in rows and keeps their versions. A row that can't be read still
// stands for a target, which can't be reached then. The caller holds the lock.
func (r *TargetRecords) decodeTargets(rows []platform.Row) []work.Target {
	var targets []work.Target
	for _, row := range rows {
		var record targetRecord
		if err := decodeRow(row, &record); err != nil {
			r.options.reportUnreadable(recordsTable, row.Key, err)
		}
		r.versions[row.Key] = row.Version
		targets = append(targets, work.Target{ID: row.Key, Service: record.Service, Address: record.Address, Incarnation: record.Incarnation})
	}
	return targets
}

// Record has a target recorded; done is called once it is.
func (r *TargetRecords) Record(target work.Target, done func()) {
	value, err := json.Marshal(targetRecord{Service: target.Service, Address: target.Address, Incarnation: target.Incarnation})
	if err != nil {
		r.options.Log.Error("target not encoded", "target", target.ID, "error", err)
		return
	}
	r.change(target.ID, recordChange{value: value, done: done})
}

// Forget removes the record of a target at which no task of a durable job runs any more.
func (r *TargetRecords) Forget(id string) { r.change(id, recordChange{}) }

// change queues the change of a row in place of an earlier one, and wakes Run.
func (r *TargetRecords) change(id string, c recordChange) {
	r.mu.Lock()
	c.number = r.changes[id].number + 1
	if !r.superseded {
		r.changes[id] = c
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes the changes until the context ends or another owner takes over.
func (r *TargetRecords) run(ctx context.Context) {
	limit := rate.NewLimiter(rate.Every(writeInterval), writeBurst)
	for ctx.Err() == nil {
		if !r.hasWrite() {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		if limit.Wait(ctx) != nil {
			return
		}
		changes, sent := r.nextBatch()
		if len(changes) == 0 {
			continue
		}
		written, err := r.writeOnce(ctx, changes)
		r.handleResult(sent, written, err)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			sleep(ctx, retryDelay)
		}
	}
}

func (r *TargetRecords) writeOnce(ctx context.Context, changes []platform.Change) (platform.WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return r.store.Write(ctx, recordsPartition(r.options.Group), changes)
}

func (r *TargetRecords) hasWrite() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changes) > 0 && r.fenceVersion != 0 && !r.superseded
}

// maxBatchRecords is the most records of one write; one more change checks the fence.
const maxBatchRecords = platform.MaxChanges - 1

// nextBatch returns the next changes to write, and what they were made of by target. A put always
// writes, so that a removal whose answer was lost can't be applied after it.
func (r *TargetRecords) nextBatch() ([]platform.Change, map[string]recordChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := []platform.Change{{Action: platform.ActionCheck, Table: fencesTable, Key: r.options.Group, Expected: r.fenceVersion}}
	sent := map[string]recordChange{}
	for id, c := range r.changes {
		if len(sent) == maxBatchRecords {
			break
		}
		action := platform.ActionPut
		if c.value == nil {
			action = platform.ActionRemove
		}
		if c.value == nil && r.versions[id] == 0 {
			delete(r.changes, id)
			continue
		}
		sent[id] = c
		batch = append(batch, platform.Change{Action: action, Table: recordsTable, Key: id, Value: c.value, Expected: r.versions[id]})
	}
	if len(sent) == 0 {
		return nil, nil
	}
	slices.SortFunc(batch[1:], func(a, b platform.Change) int { return strings.Compare(a.Key, b.Key) })
	return batch, sent
}

// handleResult takes the answer to a batch. After a conflict the rows' versions are those that the
// answer tells; changes that weren't written stay queued.
func (r *TargetRecords) handleResult(sent map[string]recordChange, written platform.WriteResult, err error) {
	var calls []func()
	r.mu.Lock()
	switch {
	case err == nil:
		calls = r.confirm(sent, written.Version)
	case errors.Is(err, platform.ErrConflict):
		r.reconcile(sent, written.Current)
	}
	r.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// confirm takes the changes of a batch that was written at a version off the queue and returns what is
// to be called for them.
func (r *TargetRecords) confirm(sent map[string]recordChange, version int64) []func() {
	var calls []func()
	for id, c := range sent {
		r.versions[id] = version
		if c.value == nil {
			delete(r.versions, id)
		}
		if r.changes[id].number != c.number {
			continue
		}
		delete(r.changes, id)
		if c.done != nil {
			calls = append(calls, c.done)
		}
	}
	return calls
}

// reconcile takes the present versions of the rows of a batch after a conflict.
func (r *TargetRecords) reconcile(sent map[string]recordChange, current []platform.Row) {
	var present recordsFence
	for id := range sent {
		delete(r.versions, id)
	}
	for _, row := range current {
		switch {
		case row.Deleted || row.Version == 0:
		case row.Table == recordsTable:
			r.versions[row.Key] = row.Version
		case row.Table == fencesTable:
			if json.Unmarshal(row.Value, &present) == nil {
				r.fenceVersion = row.Version
			}
		}
	}
	if present.Incarnation != r.options.Incarnation || present.Writer != r.writer {
		r.superseded = true
		clear(r.changes)
	}
}
