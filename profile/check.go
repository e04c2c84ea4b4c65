package profile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Bounds of profiles and teams.
const (
	// MaxName is the longest name of a profile or team, in bytes.
	MaxName = 63
	// MaxUrgency is the highest urgency.
	MaxUrgency = 9
	// MaxSlots is the largest share, limit or quota, in slots.
	MaxSlots = 1_000_000
	// MaxQueueTasks is the longest queue of one profile in one VM.
	MaxQueueTasks = 1_000_000
	// MaxTimeMS is the longest deadline or run time of a task in milliseconds: one
	// hour.
	MaxTimeMS = 3_600_000
	// MaxStragglerFactor is the largest straggler factor.
	MaxStragglerFactor = 1000
	// MaxShares is the most failure domains that a team's shares may name.
	MaxShares = 64
)

// Problem is one fault of a profile or team.
type Problem struct {
	// Path is the JSON key at fault, such as "shares.hall-a".
	Path string `json:"path"`
	// Value is the faulty value as JSON.
	Value string `json:"value"`
	// Remedy says what to write instead.
	Remedy string `json:"remedy"`
}

// String writes the problem on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Remedy
	}
	if p.Value == "" {
		return p.Path + ": " + p.Remedy
	}
	return p.Path + " = " + p.Value + ": " + p.Remedy
}

// problems collects faults.
type problems []Problem

func (ps *problems) add(path, value, remedy string) {
	*ps = append(*ps, Problem{Path: path, Value: value, Remedy: remedy})
}

// checkName adds a problem when the name is invalid.
func (ps *problems) checkName(path, name string) {
	if !isValidName(name) {
		ps.add(path, strconv.Quote(name), fmt.Sprintf("write 1 to %d lower-case letters, digits, '-' and '_', the first one a letter or digit", MaxName))
	}
}

// checkBetween adds a problem when the value is outside [least, most].
func (ps *problems) checkBetween(path string, value, least, most int64) {
	if value < least || value > most {
		ps.add(path, strconv.FormatInt(value, 10), fmt.Sprintf("write a whole number from %d to %d", least, most))
	}
}

// isValidName reports whether a name has 1 to MaxName lower-case letters, digits,
// '-' and '_', and starts with a letter or digit.
func isValidName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		joiner := i > 0 && (c == '-' || c == '_')
		if !alphanumeric && !joiner {
			return false
		}
	}
	return true
}

// Check returns all faults of the profile; it may be applied when there are none.
func (p Profile) Check() []Problem {
	var ps problems
	ps.checkName("name", p.Name)
	if p.Team != "" {
		ps.checkName("team", p.Team)
	}
	ps.checkBetween("urgency", int64(p.Urgency), 0, MaxUrgency)
	p.checkSlots(&ps)
	p.checkTimes(&ps)
	p.checkStraggler(&ps)
	return ps
}

func (p Profile) checkSlots(ps *problems) {
	ps.checkBetween("guaranteed_slots", int64(p.GuaranteedSlots), 0, MaxSlots)
	ps.checkBetween("limit_slots", int64(p.LimitSlots), 0, MaxSlots)
	ps.checkBetween("queue_tasks", int64(p.QueueTasks), 1, MaxQueueTasks)
	if p.LimitSlots > 0 && p.GuaranteedSlots > p.LimitSlots {
		ps.add("guaranteed_slots", strconv.Itoa(p.GuaranteedSlots),
			fmt.Sprintf("write at most limit_slots (%d), or raise limit_slots", p.LimitSlots))
	}
}

func (p Profile) checkTimes(ps *problems) {
	ps.checkBetween("deadline_ms", p.DeadlineMS, 1, MaxTimeMS)
	ps.checkBetween("max_deadline_ms", p.MaxDeadlineMS, 1, MaxTimeMS)
	ps.checkBetween("max_run_ms", p.MaxRunMS, 1, MaxTimeMS)
	if p.DeadlineMS > p.MaxDeadlineMS {
		ps.add("deadline_ms", strconv.FormatInt(p.DeadlineMS, 10),
			fmt.Sprintf("write at most max_deadline_ms (%d), or raise max_deadline_ms", p.MaxDeadlineMS))
	}
	if p.MaxRunMS > p.MaxDeadlineMS {
		ps.add("max_run_ms", strconv.FormatInt(p.MaxRunMS, 10),
			fmt.Sprintf("write at most max_deadline_ms (%d): no caller waits longer", p.MaxDeadlineMS))
	}
}

func (p Profile) checkStraggler(ps *problems) {
	actions := []StragglerAction{"", StragglerWait, StragglerStop, StragglerCheckpoint}
	if !slices.Contains(actions, p.Straggler) {
		ps.add("straggler", strconv.Quote(string(p.Straggler)),
			fmt.Sprintf("write %q, %q or %q", StragglerWait, StragglerStop, StragglerCheckpoint))
	}
	f := p.StragglerFactor
	usable := f == 0 || f >= 1 && f <= MaxStragglerFactor
	if !usable || math.IsNaN(f) {
		ps.add("straggler_factor", strconv.FormatFloat(f, 'g', -1, 64),
			fmt.Sprintf("write a number from 1 to %d, or 0 for the default", MaxStragglerFactor))
	}
}

// Check returns all faults of the team; it may be applied when there are none.
func (t Team) Check() []Problem {
	var ps problems
	ps.checkName("name", t.Name)
	ps.checkBetween("quota_slots", int64(t.QuotaSlots), 0, MaxSlots)
	t.checkShares(&ps)
	return ps
}

func (t Team) checkShares(ps *problems) {
	if len(t.Shares) == 0 {
		return
	}
	if len(t.Shares) > MaxShares {
		ps.add("shares", strconv.Itoa(len(t.Shares))+" entries", fmt.Sprintf("name at most %d failure domains", MaxShares))
		return
	}
	sum := 0
	for _, domain := range t.shareDomains() {
		share := t.Shares[domain]
		path := "shares." + domain
		if !isValidName(domain) {
			ps.add(path, strconv.Itoa(share), "name a failure domain of the deployment")
		}
		ps.checkBetween(path, int64(share), 0, MaxSlots)
		sum += max(share, 0)
	}
	if sum > t.QuotaSlots {
		ps.add("shares", "sum "+strconv.Itoa(sum),
			fmt.Sprintf("lower the shares until their sum is at most quota_slots (%d), or raise quota_slots", t.QuotaSlots))
	}
}

// shareDomains returns the failure domains of the shares in alphabetical order.
func (t Team) shareDomains() []string {
	domains := make([]string, 0, len(t.Shares))
	for domain := range t.Shares {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}
