package claim

import (
	"github.com/burdockward/burdockward/membership"
)

// record says which process has a key. There are up to a million records, so they
// name processes and home tags by position in the tables of records.
type record struct {
	runner uint32
	// home is the position of the home VM's tag.
	home    uint32
	outcome Outcome
	// handedOut says that this process accepted the grant and gave it to a caller.
	// Only then may the key have been started here.
	handedOut bool
}

// noRunner is the runner of a key for which the records of two processes disagree.
const noRunner = 0

// records holds the records of known keys by epoch token and hash.
type records struct {
	epochs  map[string]map[Hash]record
	runners []membership.Member
	indexes map[runnerID]uint32
	// homes are the tags of home VMs by position.
	homes       []string
	homeIndexes map[string]uint32
	count       int
}

type runnerID struct {
	id          string
	incarnation uint64
}

func newRecords() *records {
	return &records{
		epochs: map[string]map[Hash]record{},
		// Position 0 is noRunner.
		runners: make([]membership.Member, 1),
		indexes: map[runnerID]uint32{},
		// Position 0 is noHome.
		homes:       []string{noHome},
		homeIndexes: map[string]uint32{noHome: 0},
	}
}

func (r *records) get(token string, h Hash) (record, bool) {
	rec, ok := r.epochs[token][h]
	return rec, ok
}

func (r *records) put(token string, h Hash, rec record) {
	epoch := r.epochs[token]
	if epoch == nil {
		epoch = map[Hash]record{}
		r.epochs[token] = epoch
	}
	before := len(epoch)
	epoch[h] = rec
	r.count += len(epoch) - before
}

func (r *records) remove(token string, h Hash) {
	epoch := r.epochs[token]
	before := len(epoch)
	delete(epoch, h)
	r.count += len(epoch) - before
}

// dropEpoch removes all records of an epoch.
func (r *records) dropEpoch(token string) {
	r.count -= len(r.epochs[token])
	delete(r.epochs, token)
}

// internRunner returns the position of a process in the table and adds it if needed.
func (r *records) internRunner(m membership.Member) uint32 {
	if m.ID == "" {
		return noRunner
	}
	id := runnerID{m.ID, m.Incarnation}
	if i, ok := r.indexes[id]; ok {
		return i
	}
	i := uint32(len(r.runners))
	r.runners = append(r.runners, m)
	r.indexes[id] = i
	return i
}

// internHome returns the position of a home VM's tag and adds it if needed.
func (r *records) internHome(home string) uint32 {
	if i, ok := r.homeIndexes[home]; ok {
		return i
	}
	i := uint32(len(r.homes))
	r.homes = append(r.homes, home)
	r.homeIndexes[home] = i
	return i
}

// home returns the tag of a record's home VM.
func (r *records) home(rec record) string { return r.homes[rec.home] }

// runner returns the process that has a record's key.
func (r *records) runner(rec record) membership.Member { return r.runners[rec.runner] }

// compactTables drops processes and home tags that no record names, once one of the
// tables has atLeast entries.
func (r *records) compactTables(atLeast int) {
	if len(r.runners) < atLeast && len(r.homes) < atLeast {
		return
	}
	old, oldHomes := r.runners, r.homes
	r.runners = make([]membership.Member, 1)
	r.indexes = map[runnerID]uint32{}
	r.homes = []string{noHome}
	r.homeIndexes = map[string]uint32{noHome: 0}
	for _, epoch := range r.epochs {
		for h, rec := range epoch {
			rec.runner = r.internRunner(old[rec.runner])
			rec.home = r.internHome(oldHomes[rec.home])
			epoch[h] = rec
		}
	}
}
