package profile

import (
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func validProfile() Profile {
	return Profile{
		Name: "balance", Team: "sofia", Urgency: 5, GuaranteedSlots: 10, LimitSlots: 20, QueueTasks: 100,
		DeadlineMS: 1000, MaxDeadlineMS: 2000, MaxRunMS: 500, Straggler: StragglerStop, StragglerFactor: 8,
	}
}

func TestProfileCheckReportsEachFault(t *testing.T) {
	must.SliceEmpty(t, validProfile().Check())
	for _, c := range []struct {
		path   string
		change func(*Profile)
	}{
		{"name", func(p *Profile) { p.Name = "" }},
		{"name", func(p *Profile) { p.Name = strings.Repeat("x", MaxName+1) }},
		{"name", func(p *Profile) { p.Name = "-x" }},
		{"name", func(p *Profile) { p.Name = "a/b" }},
		{"team", func(p *Profile) { p.Team = "So fia" }},
		{"urgency", func(p *Profile) { p.Urgency = -1 }},
		{"urgency", func(p *Profile) { p.Urgency = MaxUrgency + 1 }},
		{"guaranteed_slots", func(p *Profile) { p.GuaranteedSlots = -1 }},
		{"guaranteed_slots", func(p *Profile) { p.GuaranteedSlots = 21 }},
		{"limit_slots", func(p *Profile) { p.LimitSlots = MaxSlots + 1 }},
		{"queue_tasks", func(p *Profile) { p.QueueTasks = 0 }},
		{"deadline_ms", func(p *Profile) { p.DeadlineMS = 2001 }},
		{"max_run_ms", func(p *Profile) { p.MaxRunMS = 2001 }},
		{"max_run_ms", func(p *Profile) { p.MaxRunMS = 0 }},
		{"max_deadline_ms", func(p *Profile) { p.MaxDeadlineMS = MaxTimeMS + 1 }},
		{"straggler", func(p *Profile) { p.Straggler = "kill" }},
		{"straggler_factor", func(p *Profile) { p.StragglerFactor = 0.5 }},
		{"straggler_factor", func(p *Profile) { p.StragglerFactor = math.NaN() }},
	} {
		p := validProfile()
		c.change(&p)
		found := p.Check()
		must.SliceLen(t, 1, found, must.Sprintf("%s: %v", c.path, found))
		must.Eq(t, c.path, found[0].Path)
		must.StrContains(t, found[0].String(), found[0].Remedy)
	}
	p := validProfile()
	p.LimitSlots = 0
	must.SliceEmpty(t, p.Check(), must.Sprint("no limit"))
	must.SliceLen(t, 5, Profile{}.Check(), must.Sprint("every fault at once"))
}

func TestTeamCheckReportsEachFault(t *testing.T) {
	valid := Team{Name: "sofia", QuotaSlots: 10, Shares: map[string]int{"hall-a": 6, "hall-b": 4}}
	must.SliceEmpty(t, valid.Check())
	must.SliceEmpty(t, Team{Name: "sofia", QuotaSlots: 10}.Check())
	many := map[string]int{}
	for i := range MaxShares + 1 {
		many[strings.Repeat("x", i+1)] = 0
	}
	for path, team := range map[string]Team{
		"name":          {Name: "Sofia"},
		"quota_slots":   {Name: "sofia", QuotaSlots: -1},
		"shares":        {Name: "sofia", QuotaSlots: 10, Shares: map[string]int{"hall-a": 6, "hall-b": 5}},
		"shares.hall-a": {Name: "sofia", QuotaSlots: 10, Shares: map[string]int{"hall-a": -1, "hall-b": 10}},
		"shares.Hall A": {Name: "sofia", QuotaSlots: 10, Shares: map[string]int{"Hall A": 1}},
	} {
		found := team.Check()
		must.SliceLen(t, 1, found, must.Sprintf("%s: %v", path, found))
		must.Eq(t, path, found[0].Path)
	}
	must.Eq(t, "65 entries", Team{Name: "sofia", Shares: many}.Check()[0].Value)
}
