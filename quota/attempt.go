package quota

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/burdockward/burdockward/tableservice"
)

// Attempt is one commit of one row.
type Attempt struct {
	team, domain string
	entry        Entry
	// expect are the versions that rows must have, by failure domain.
	expect map[string]uint64
}

// Commit returns the transaction of an attempt.
func (a Attempt) Commit() (tableservice.Commit, error) {
	value, err := json.Marshal(a.entry)
	if err != nil {
		return tableservice.Commit{}, err
	}
	commit := tableservice.Commit{Writes: []tableservice.Write{{Table: Table, Key: rowKey(a.team, a.domain), Value: value}}}
	for domain, version := range a.expect {
		commit.Expect = append(commit.Expect, tableservice.Expectation{Table: Table, Key: rowKey(a.team, domain), Version: version})
	}
	return commit, nil
}

// Result is the result of an attempt.
type Result int

// The results of an attempt.
const (
	// Applied means that it took effect.
	Applied Result = iota
	// Refused means that it did not and will not take effect.
	Refused
	// Unknown means that it may have taken effect, or may do so later.
	Unknown
)

// NextAttempt returns the next commit to make; false when there is none now. The caller
// calls RecordResult for it before the next one is returned.
func (s *State) NextAttempt(now time.Duration) (Attempt, bool) {
	if s.attemptPending {
		return Attempt{}, false
	}
	for range s.names {
		s.turn = (s.turn + 1) % len(s.names)
		t := s.teams[s.names[s.turn]]
		if !t.usage.Home || !t.usage.Valid || !t.read || t.stale {
			continue
		}
		if a, ok := s.dueAttempt(now, t); ok {
			s.attemptPending = true
			s.recordSent(now, t, a)
			return a, true
		}
	}
	return Attempt{}, false
}

// recordSent records when a commit that expects the present version of the own row was
// first sent. A lease counts from then, whichever of several attempts takes effect.
func (s *State) recordSent(now time.Duration, t *team, a Attempt) {
	if a.domain != s.opts.Domain {
		return
	}
	version := a.expect[a.domain]
	if !t.sent || t.sentVersion != version {
		t.sent, t.sentVersion, t.sentAt = true, version, now
	}
}

// dueAttempt returns the most urgent commit that is due for a team; false when none is.
// In this order: take over the row, lend or return units, renew the lease, take units,
// reclaim units, and publish a changed want. While the share is being lowered, only the
// first three are due.
func (s *State) dueAttempt(now time.Duration, t *team) (Attempt, bool) {
	own := t.rows[s.opts.Domain].entry
	switch {
	case !t.isOwned(s.opts.Domain):
		own.Holder = t.token
		return s.newWrite(t, own), s.canTakeOver(now, t)
	case t.ceiling != noCeiling && s.isBelowCeiling(t):
		own.Delta = t.lowered
		return s.newWrite(t, own), true
	case own.Delta > 0 && now >= t.renewedAt+s.opts.RenewInterval:
		return s.newWrite(t, own), true
	case t.ceiling != noCeiling:
		return Attempt{}, false
	}
	if a, ok := s.raise(t); ok {
		return a, true
	}
	if a, ok := s.reclaim(now, t); ok {
		return a, true
	}
	want := s.want(t)
	changed := (want == 0) != (own.Want == 0) || want > 2*own.Want
	own.Want = want
	return s.newWrite(t, own), changed && now >= t.wroteAt+s.opts.WantInterval
}

// canTakeOver reports whether this term may take over the row. It waits until its
// predecessor can't commit any more, and does not take the row back from a successor. A
// row without holder was reclaimed by another failure domain.
func (s *State) canTakeOver(now time.Duration, t *team) bool {
	if t.hadRow && t.rows[s.opts.Domain].entry.Holder != "" {
		return false
	}
	return now >= t.homeSince+s.opts.TakeoverAfter
}

// isBelowCeiling reports whether no more units are out than the lowered share has.
func (s *State) isBelowCeiling(t *team) bool {
	u := t.usage
	return u.Known && u.Capacity <= t.ceiling && u.Out <= t.ceiling
}

// want returns how many more units this failure domain could use.
func (s *State) want(t *team) int {
	if t.usage.Out < t.usage.Capacity {
		return 0
	}
	return t.usage.Want
}

// raise returns a commit that takes lent units which are not borrowed: a lender takes
// its own units back, and a borrower takes units that no lender wants back.
func (s *State) raise(t *team) (Attempt, bool) {
	own := t.rows[s.opts.Domain].entry
	n := min(s.want(t), t.rows.unclaimed(t.base))
	if own.Delta < 0 {
		n = min(n, -own.Delta)
	} else {
		_, owed := t.rows.wanted(s.opts.Domain)
		n = min(n, t.rows.unclaimed(t.base)-owed)
	}
	if n <= 0 || t.base[s.opts.Domain] == 0 {
		return Attempt{}, false
	}
	own.Delta += n
	own.Want = s.want(t) - n
	a := s.newWrite(t, own)
	// The commit fails if another failure domain has taken the same units.
	for domain := range t.base {
		a.expect[domain] = t.rows[domain].expectedVersion()
	}
	return a, true
}

// reclaim returns a commit that ends the borrowing of a failure domain whose lease has
// expired and whose tasks have ended, when this one wants units and no lent units are
// left.
func (s *State) reclaim(now time.Duration, t *team) (Attempt, bool) {
	if s.want(t) == 0 || t.rows.unclaimed(t.base) > 0 {
		return Attempt{}, false
	}
	for _, domain := range t.domains() {
		r := t.rows[domain]
		over := t.seenAt[domain] + s.opts.Lease + s.reserve + reclaimMargin
		if domain == s.opts.Domain || r.entry.Delta <= 0 || now < over {
			continue
		}
		entry := Entry{Beat: r.entry.Beat + 1}
		return Attempt{team: t.name, domain: domain, entry: entry, expect: map[string]uint64{domain: r.expectedVersion()}}, true
	}
	return Attempt{}, false
}

// domains returns the failure domains of the team, sorted.
func (t *team) domains() []string {
	list := make([]string, 0, len(t.base))
	for domain := range t.base {
		list = append(list, domain)
	}
	slices.Sort(list)
	return list
}

// newWrite returns a commit of the own row.
func (s *State) newWrite(t *team, entry Entry) Attempt {
	own := t.rows[s.opts.Domain]
	entry.Beat = own.entry.Beat + 1
	return Attempt{
		team:   t.name,
		domain: s.opts.Domain,
		entry:  entry,
		expect: map[string]uint64{s.opts.Domain: own.expectedVersion()},
	}
}

// RecordResult records the result of an attempt that NextAttempt returned. Version is
// that of a commit that took effect.
func (s *State) RecordResult(now time.Duration, a Attempt, result Result, version uint64) {
	s.attemptPending = false
	t := s.teams[a.team]
	if t == nil {
		return
	}
	own := a.domain == s.opts.Domain
	switch result {
	case Applied:
		s.applyRow(now, t, a.domain, row{entry: a.entry, version: version})
		return
	case Unknown:
		if own && !t.isUncertain {
			t.isUncertain, t.uncertainVersion = true, t.rows[a.domain].version
		}
	case Refused:
		s.abortLowering(t, a)
	}
	t.stale = true
	t.staleAt = now
}

// abortLowering ends the lowering of a share whose commit was refused, unless an earlier
// commit may still take effect.
func (s *State) abortLowering(t *team, a Attempt) {
	if a.domain == s.opts.Domain && !t.isUncertain {
		t.ceiling = noCeiling
	}
}
