package submission

import (
	"sync"
)

// entry is a submission that this VM runs, or whose answer it awaits from another VM.
type entry struct {
	keyText     string
	fingerprint uint64
	// decided is closed when the claim has ended: the submission was passed to the
	// dispatch duty of this VM, or another VM has the key.
	decided   chan struct{}
	isDecided bool
	// done is closed when outcome is set.
	done    chan struct{}
	outcome *Outcome
	// local says that this VM was granted the key and runs it.
	local bool
	// bytes is what the entry counts for in table.held.
	bytes int64
}

// closedChannel is the channel of entries whose claim and run have ended.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// table holds the submissions of one VM: an entry for each one without outcome, and the
// answers of those that ended here. Of the others only claim records remain.
type table struct {
	mu      sync.Mutex
	entries map[string]*entry
	answers *answers
	// held is the size of the submissions without outcome, at most limit; a limit of 0 is none.
	held, limit int64
}

func newTable(budget, limit int64) *table {
	return &table{entries: map[string]*entry{}, answers: newAnswers(budget), limit: limit}
}

// reserve returns the entry of a key and adds one of a size if needed. It returns true for
// a new entry, so that exactly one goroutine of this VM claims the key. It returns nil if a
// new entry would exceed the limit; one is always taken while there is no other.
func (t *table) reserve(keyText string, fingerprint uint64, bytes int64) (e *entry, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(keyText); e != nil {
		return e, false
	}
	if t.limit > 0 && t.held > 0 && t.held+bytes > t.limit {
		return nil, false
	}
	t.held += bytes
	e = &entry{
		bytes:       bytes,
		keyText:     keyText,
		fingerprint: fingerprint,
		decided:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	t.entries[keyText] = e
	return e, true
}

// get returns the entry of a key, or nil.
func (t *table) get(keyText string) *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(keyText)
}

// find returns the entry of a key, an entry made from its kept answer, or nil. The caller
// holds mu.
func (t *table) find(keyText string) *entry {
	if e := t.entries[keyText]; e != nil {
		return e
	}
	o, fingerprint, ok := t.answers.get(keyText)
	if !ok {
		return nil
	}
	return &entry{
		keyText:     keyText,
		fingerprint: fingerprint,
		decided:     closedChannel,
		isDecided:   true,
		done:        closedChannel,
		outcome:     o,
		local:       true,
	}
}

// setLocal records that this VM runs the entry.
func (t *table) setLocal(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.local = true
}

func (t *table) isLocal(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.local
}

// markDecided records that the claim of the entry has ended.
func (t *table) markDecided(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.markDecided()
}

func (e *entry) markDecided() {
	if e.isDecided {
		return
	}
	e.isDecided = true
	close(e.decided)
}

// finish sets the outcome of an entry once and wakes all waiting goroutines. Only answers
// of entries that this VM ran are kept; others can be asked for again where they ran.
func (t *table) finish(e *entry, o *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.outcome != nil {
		return
	}
	e.outcome = o
	e.markDecided()
	close(e.done)
	if t.entries[e.keyText] == e {
		delete(t.entries, e.keyText)
		t.held -= e.bytes
	}
	if e.local {
		t.answers.put(e.keyText, e.fingerprint, o)
	}
}

// unfinishedEntries returns the entries without outcome.
func (t *table) unfinishedEntries() []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	return list
}

// keptAnswers returns the size of the kept answers in bytes and how many were dropped so
// far.
func (t *table) keptAnswers() (bytes, dropped int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.bytes(), t.answers.dropped
}

// unfinished returns the number of entries without outcome.
func (t *table) unfinished() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
