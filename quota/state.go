package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/tableservice"
)

// noCeiling is the ceiling while a team's share is not being lowered.
const noCeiling = math.MaxInt

// State decides on the shares of one failure domain, for the teams of whose pools this
// VM is the home.
type State struct {
	opts  Options
	teams map[string]*team
	names []string
	// reserve is how long tasks may run beyond the lease of the VM that started them.
	reserve time.Duration
	// version is the newest commit of the table that a read has returned.
	version uint64
	// terms counts how often this process became a home.
	terms int
	// attemptPending says that NextAttempt has returned a commit for which RecordResult
	// was not called yet.
	attemptPending bool
	// turn is the index in names of the team that NextAttempt checked last.
	turn int
}

// team is the state of one team.
type team struct {
	name  string
	base  map[string]int
	rows  rows
	usage Usage
	// token names this process and its current term as the home, which began at
	// homeSince. hadRow says that it has held the row in this term.
	token     string
	homeSince time.Duration
	hadRow    bool
	// seenAt holds when each row was first seen at its version, for the leases of
	// other failure domains.
	seenAt map[string]time.Duration
	// read says that the table was read since this VM became the home.
	read bool
	// stale says that a commit may not have taken effect. The next commit waits for a
	// read that began at staleAt or later.
	stale   bool
	staleAt time.Duration

	// ceiling bounds the share while it is being lowered, and lowered is the delta
	// that is committed when no more units than the ceiling are out.
	ceiling int
	lowered int
	// isUncertain says that a commit of unknown outcome may still take effect, until
	// the row of this failure domain is newer than uncertainVersion, which the commit
	// expected.
	uncertainVersion uint64
	isUncertain      bool

	// sentAt is when the first commit that expects sentVersion was sent.
	sentAt      time.Duration
	sentVersion uint64
	sent        bool
	// renewedAt is when the commit was sent that wrote the newest own row.
	renewedAt time.Duration
	renewed   bool
	// wroteAt is when the row was last written.
	wroteAt time.Duration
	// neededAt is when borrowed units were last needed.
	neededAt time.Duration
}

// New returns a state without teams.
func New(opts Options) *State {
	return &State{opts: opts.withDefaults(), teams: map[string]*team{}}
}

// SetTeams replaces the teams whose shares may move. Reserve is how long tasks may run
// after the VM that started them has lost its right to start more.
func (s *State) SetTeams(teams []Team, reserve time.Duration) {
	s.reserve = reserve
	next := make(map[string]*team, len(teams))
	for _, spec := range teams {
		t := s.teams[spec.Name]
		if t == nil {
			t = &team{name: spec.Name, rows: rows{}, seenAt: map[string]time.Duration{}, ceiling: noCeiling}
			// Only a read of the whole table returns all rows of a new team.
			s.version = 0
		}
		t.base = maps.Clone(spec.Base)
		next[spec.Name] = t
	}
	s.teams = next
	s.names = slices.Sorted(maps.Keys(next))
}

// IsHome reports whether this VM is the home of any team's pool.
func (s *State) IsHome() bool {
	for _, t := range s.teams {
		if t.usage.Home {
			return true
		}
	}
	return false
}

// IsMoving reports whether any units are lent, borrowed or wanted, so that the table
// changes more often.
func (s *State) IsMoving() bool {
	for _, t := range s.teams {
		for _, r := range t.rows {
			if r.entry.Delta != 0 || r.entry.Want != 0 {
				return true
			}
		}
	}
	return false
}

// Version returns the commit up to which the table was read.
func (s *State) Version() uint64 { return s.version }

// Share returns how many units of a team the failure domain may use now; false for a
// team whose shares don't move.
func (s *State) Share(now time.Duration, name string) (int, bool) {
	t := s.teams[name]
	if t == nil {
		return 0, false
	}
	return s.share(now, t), true
}

// share returns the units of a team that the failure domain may use now: MinShare while
// this VM does not hold the row, else the base share without the lent units and, under
// a lease, with the borrowed ones.
func (s *State) share(now time.Duration, t *team) int {
	base := t.base[s.opts.Domain]
	if !t.isOwned(s.opts.Domain) {
		return MinShare(base)
	}
	share := base - t.rows.lent(s.opts.Domain, base)
	if s.hasLease(now, t) {
		share += t.rows.borrowed(s.opts.Domain, t.base)
	}
	return min(share, t.ceiling)
}

// isOwned reports whether the newest known row names the current term of this process.
func (t *team) isOwned(domain string) bool {
	return t.usage.Home && t.rows[domain].entry.Holder == t.token && t.token != ""
}

// hasLease reports whether borrowed units may be used.
func (s *State) hasLease(now time.Duration, t *team) bool {
	return t.renewed && now < t.renewedAt+s.opts.Lease
}

// RecordUsage records the use of a team's share. It begins or ends a term as the home,
// and begins to lower the share when units are to be lent or returned.
func (s *State) RecordUsage(now time.Duration, name string, u Usage) {
	t := s.teams[name]
	if t == nil {
		return
	}
	if u.Home != t.usage.Home {
		s.changeHome(now, t, u.Home)
	}
	t.usage = u
	if u.Out+u.Want > t.base[s.opts.Domain] {
		t.neededAt = now
	}
	if t.isOwned(s.opts.Domain) {
		s.startLowering(now, t)
	}
}

// changeHome begins or ends a term as the home. Commits of the previous term may still
// take effect until the new one has taken over the row.
func (s *State) changeHome(now time.Duration, t *team, home bool) {
	t.token = ""
	t.read = false
	t.ceiling = noCeiling
	t.isUncertain = false
	t.sent = false
	t.renewed = false
	t.neededAt = now
	t.homeSince = now
	t.hadRow = false
	if home {
		s.terms++
		t.token = fmt.Sprintf("%s#%d", s.opts.Self, s.terms)
	}
}

// startLowering sets the ceiling when units are to be lent or returned.
func (s *State) startLowering(now time.Duration, t *team) {
	if t.ceiling != noCeiling {
		return
	}
	n := s.surplus(now, t)
	if n <= 0 {
		return
	}
	delta := t.rows[s.opts.Domain].entry.Delta
	after := t.rows.clone()
	own := after[s.opts.Domain]
	own.entry.Delta = delta - n
	after[s.opts.Domain] = own
	base := t.base[s.opts.Domain]
	t.lowered = delta - n
	t.ceiling = base - after.lent(s.opts.Domain, base) + after.borrowed(s.opts.Domain, t.base)
}

// surplus returns how many units to lend or to return.
func (s *State) surplus(now time.Duration, t *team) int {
	base := t.base[s.opts.Domain]
	delta := t.rows[s.opts.Domain].entry.Delta
	wanted, owed := t.rows.wanted(s.opts.Domain)
	unclaimed := t.rows.unclaimed(t.base)
	if delta > 0 {
		if owed > unclaimed {
			return min(delta, owed-unclaimed)
		}
		if now-t.neededAt >= s.opts.IdleAfter {
			return delta
		}
		return 0
	}
	spare := s.share(now, t) - t.usage.Out - t.usage.Want
	most := base - MinShare(base) + delta
	return min(wanted-unclaimed, spare/2, most)
}

// Read applies the rows of a read that began at the given time. A read of an older
// version than one before is ignored.
func (s *State) Read(now, begunAt time.Duration, changes tableservice.Changes) {
	if changes.Version < s.version {
		return
	}
	s.version = changes.Version
	for _, r := range changes.Rows {
		name, domain, ok := strings.Cut(r.Key, "/")
		t := s.teams[name]
		if !ok || t == nil {
			continue
		}
		var entry Entry
		if !r.Deleted() && json.Unmarshal(r.Value, &entry) != nil {
			continue
		}
		s.applyRow(now, t, domain, row{entry: entry, version: r.Version, deleted: r.Deleted()})
	}
	for _, t := range s.teams {
		t.read = t.read || t.usage.Home
		if begunAt >= t.staleAt {
			t.stale = false
		}
	}
}

// applyRow stores a row that is newer than the known one. A newer own row ends the
// lowering of the share, unless a commit of unknown outcome may still take effect.
func (s *State) applyRow(now time.Duration, t *team, domain string, r row) {
	if r.version <= t.rows[domain].version {
		return
	}
	t.rows[domain] = r
	t.seenAt[domain] = now
	if domain != s.opts.Domain {
		return
	}
	if t.isOwned(domain) && t.sent {
		// Only a commit of this term can have written the row.
		t.renewedAt = t.sentAt
		t.renewed = true
		t.wroteAt = now
	}
	t.sent = false
	t.hadRow = t.hadRow || t.isOwned(domain)
	if !t.isUncertain || r.version > t.uncertainVersion {
		t.isUncertain = false
		t.ceiling = noCeiling
	}
}

// rowKey returns the key of the row of a team in a failure domain.
func rowKey(team, domain string) string { return team + "/" + domain }
