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

// noCeiling is the ceiling of a team whose share is not being lowered.
const noCeiling = math.MaxInt

// State decides about the shares of one failure domain, as far as this VM is the home
// of their pools.
type State struct {
	opts  Options
	teams map[string]*team
	names []string
	// reserve is how long tasks may run beyond the lease of the VM that started them.
	reserve time.Duration
	// version is the newest commit of the table that a read has shown.
	version uint64
	// terms counts the times that this process became a home.
	terms int
	// underWay tells that a commit has been handed out by Next and not ended by Done.
	underWay bool
	// turn is the team that Next looks at first.
	turn int
}

// team is what is known of one team.
type team struct {
	name  string
	base  map[string]int
	rows  rows
	usage Usage
	// token names this process and its present term as the home, which began at
	// homeSince. hadRow tells that it has held the row in this term.
	token     string
	homeSince time.Duration
	hadRow    bool
	// seen tells when each row was first seen at its version, for leases of others.
	seen map[string]time.Duration
	// read tells that the table was read since this VM became the home.
	read bool
	// stale tells that a commit did not take effect for sure, so that a read that
	// began after staleAt has to come first.
	stale   bool
	staleAt time.Duration

	// ceiling bounds the share while it is being lowered, and lowered is the delta
	// that is committed when no more than the ceiling is out.
	ceiling int
	lowered int
	// doubtful is the version that a commit of unknown outcome expected of this
	// failure domain's row: until the row has a newer one, it may still take effect.
	doubtful  uint64
	hasDoubts bool

	// sentAt is when the first commit that expects sentFor was sent.
	sentAt  time.Duration
	sentFor uint64
	sent    bool
	// renewedAt is when the commit was sent that the newest own row comes from.
	renewedAt time.Duration
	renewed   bool
	// wroteAt is when the row was last written.
	wroteAt time.Duration
	// neededAt is when borrowed units were last needed.
	neededAt time.Duration
}

// New returns a state that knows no team.
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
			t = &team{name: spec.Name, rows: rows{}, seen: map[string]time.Duration{}, ceiling: noCeiling}
			// The whole table is read anew for a team that was not kept.
			s.version = 0
		}
		t.base = maps.Clone(spec.Base)
		next[spec.Name] = t
	}
	s.teams = next
	s.names = slices.Sorted(maps.Keys(next))
}

// Homes tells whether this VM is the home of any team's pool.
func (s *State) Homes() bool {
	for _, t := range s.teams {
		if t.usage.Home {
			return true
		}
	}
	return false
}

// Moving tells whether anything is lent, borrowed or wanted, so that reads are worth
// more.
func (s *State) Moving() bool {
	for _, t := range s.teams {
		for _, r := range t.rows {
			if r.entry.Delta != 0 || r.entry.Want != 0 {
				return true
			}
		}
	}
	return false
}

// Version is the commit up to which the table was read.
func (s *State) Version() uint64 { return s.version }

// Share is how many units of a team the failure domain may use now; false for a team
// whose shares don't move.
func (s *State) Share(now time.Duration, name string) (int, bool) {
	t := s.teams[name]
	if t == nil {
		return 0, false
	}
	return s.share(now, t), true
}

func (s *State) share(now time.Duration, t *team) int {
	base := t.base[s.opts.Domain]
	if !t.owned(s.opts.Domain) {
		return Least(base)
	}
	share := base - t.rows.lent(s.opts.Domain, base)
	if s.leased(now, t) {
		share += t.rows.borrowed(s.opts.Domain, t.base)
	}
	return min(share, t.ceiling)
}

// owned tells whether the newest known row names this term of this process.
func (t *team) owned(domain string) bool {
	return t.usage.Home && t.rows[domain].entry.Holder == t.token && t.token != ""
}

// leased tells whether borrowed units may be used.
func (s *State) leased(now time.Duration, t *team) bool {
	return t.renewed && now < t.renewedAt+s.opts.Lease
}

// Use takes what the failure domain does with its share of a team.
func (s *State) Use(now time.Duration, name string, u Usage) {
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
	if t.owned(s.opts.Domain) {
		s.lower(now, t)
	}
}

// changeHome begins or ends a term as the home. What a former term has sent may still
// take effect, until the new one has taken over the row.
func (s *State) changeHome(now time.Duration, t *team, home bool) {
	t.token = ""
	t.read = false
	t.ceiling = noCeiling
	t.hasDoubts = false
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

// lower begins to lower the share, to lend or to return units.
func (s *State) lower(now time.Duration, t *team) {
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

// surplus is how many units to lend or to return.
func (s *State) surplus(now time.Duration, t *team) int {
	base := t.base[s.opts.Domain]
	delta := t.rows[s.opts.Domain].entry.Delta
	wanted, owed := t.rows.wanted(s.opts.Domain)
	unclaimed := t.rows.unclaimed(t.base)
	if delta > 0 {
		if owed > unclaimed {
			return min(delta, owed-unclaimed)
		}
		if now-t.neededAt >= s.opts.Idle {
			return delta
		}
		return 0
	}
	spare := s.share(now, t) - t.usage.Out - t.usage.Want
	most := base - Least(base) + delta
	return min(wanted-unclaimed, spare/2, most)
}

// Read takes the rows of a read that began at the given time. An answer from an older
// state than was seen before tells nothing.
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
		s.learn(now, t, domain, row{entry: entry, version: r.Version, deleted: r.Deleted()})
	}
	for _, t := range s.teams {
		t.read = t.read || t.usage.Home
		if begunAt >= t.staleAt {
			t.stale = false
		}
	}
}

// learn takes a row that is newer than the known one.
func (s *State) learn(now time.Duration, t *team, domain string, r row) {
	if r.version <= t.rows[domain].version {
		return
	}
	t.rows[domain] = r
	t.seen[domain] = now
	if domain != s.opts.Domain {
		return
	}
	if t.owned(domain) && t.sent {
		// Only a commit of this term can have written the row.
		t.renewedAt = t.sentAt
		t.renewed = true
		t.wroteAt = now
	}
	t.sent = false
	t.hadRow = t.hadRow || t.owned(domain)
	if !t.hasDoubts || r.version > t.doubtful {
		t.hasDoubts = false
		t.ceiling = noCeiling
	}
}

// rowKey is the key of the row of a team in a failure domain.
func rowKey(team, domain string) string { return team + "/" + domain }
