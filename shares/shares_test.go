package shares

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/zeebo/errs/v2"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func anyWork(int) bool { return true }

// serve starts n tasks of 10 units and counts them by account. When slots tasks are running, it ends
// the oldest one. The expected run times are those of the accounts.
func serve(l *Ledger, n, slots int, capacity int64, ran []time.Duration, hasWork func(int) bool) []int {
	var running []int
	served := make([]int, l.Accounts())
	for range n {
		if len(running) == slots {
			l.AddUsed(running[0], -10)
			running = running[1:]
		}
		pick, ok := l.Next(capacity, hasWork)
		if !ok {
			continue
		}
		l.Charge(pick, 10, ran[pick.Account])
		l.AddUsed(pick.Account, 10)
		running = append(running, pick.Account)
		served[pick.Account]++
	}
	for _, account := range running {
		l.AddUsed(account, -10)
	}
	return served
}

// Processor time, not the number of starts, follows the weights.
func TestLentCapacityIsSharedByWeight(t *testing.T) {
	l := NewLedger([]Profile{{Name: "a", Limit: 1, Weight: 3}, {Name: "b", Limit: 1, Weight: 1}, {Name: "c", Limit: 1, Weight: 1}})
	served := serve(l, 4000, 1, 1000, []time.Duration{300 * ms, 300 * ms, 600 * ms, 0}, func(i int) bool { return i < 3 })
	total := float64(served[0]*3 + served[1]*3 + served[2]*6)
	must.Between(t, 0.5, float64(served[0]*3)/total, 0.65)
	must.Between(t, 0.17, float64(served[1]*3)/total, 0.25)
	must.Between(t, 0.17, float64(served[2]*6)/total, 0.25)
}

// One start in 16 goes to the profiles that are served least recently, although another one is below
// its guarantee all the time.
func TestNoProfileStarves(t *testing.T) {
	l := NewLedger([]Profile{{Name: "large", Guarantee: 1, Limit: 1, Weight: 1}, {Name: "a", Limit: 1, Weight: 1}})
	served := serve(l, 1600, 10, 1000, []time.Duration{100 * ms, 100 * ms, 100 * ms}, anyWork)
	must.Eq(t, []int{1500, 50, 50}, served)
}

func TestIdleTimeGivesNoCredit(t *testing.T) {
	l := NewLedger([]Profile{{Name: "busy", Limit: 1, Weight: 1}, {Name: "idle", Limit: 1, Weight: 1}})
	ran := []time.Duration{300 * ms, 300 * ms, 0}
	serve(l, 2000, 1, 1000, ran, func(i int) bool { return i == 0 })
	served := serve(l, 200, 1, 1000, ran, func(i int) bool { return i < 2 })
	must.Between(t, 85, served[1], 115)
}

// A profile below its guarantee goes first, and above it shares by weight with the others.
func TestGuaranteeIsAShareOfTheCapacity(t *testing.T) {
	l := NewLedger([]Profile{{Name: "a", Guarantee: 0.3, Limit: 1, Weight: 1}, {Name: "b", Limit: 1, Weight: 1000}})
	served := serve(l, 10, 10, 100, []time.Duration{100 * ms, 100 * ms, 0}, func(i int) bool { return i < 2 })
	must.Eq(t, []int{4, 6, 0}, served, must.Sprint("of equal tags the first one goes first"))
}

// Whatever starts and ends: no account below its guarantee waits for one that is not, but for the fair
// picks.
func TestFuzzGuaranteedGoFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLedger(drawProfiles(rt))
		capacity := rapid.Int64Range(1, 1000).Draw(rt, "capacity")
		fair, starts := 0, 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			active := rapid.Uint64().Draw(rt, "active")
			hasWork := func(i int) bool { return active&(1<<i) != 0 }
			pick, ok := l.Next(capacity, hasWork)
			if !ok {
				continue
			}
			must.True(rt, hasWork(pick.Account))
			for i := range l.Accounts() {
				if !pick.Fair && hasWork(i) && l.BandOf(i, capacity) == Guaranteed {
					must.Eq(rt, Guaranteed, l.BandOf(pick.Account, capacity))
				}
			}
			if pick.Fair {
				fair++
			}
			starts++
			l.Charge(pick, 10, 50*ms)
			l.AddUsed(pick.Account, 10)
			if i := rapid.IntRange(0, l.Accounts()-1).Draw(rt, "end"); l.Used(i) > 0 {
				l.AddUsed(i, -10)
			}
			must.False(rt, math.IsNaN(l.accounts[pick.Account].tag[pick.Band]))
		}
		must.Eq(rt, starts/fairPickInterval, fair)
	})
}

// drawProfiles draws up to four valid profiles.
func drawProfiles(rt *rapid.T) []Profile {
	var profiles []Profile
	left := 1.0
	for i := range rapid.IntRange(0, 4).Draw(rt, "profiles") {
		guarantee := left * rapid.Float64Range(0, 1).Draw(rt, "guarantee")
		left -= guarantee
		profiles = append(profiles, Profile{
			Name: string(rune('a' + i)), Queues: []string{string(rune('a' + i))}, Guarantee: guarantee,
			Limit: rapid.Float64Range(guarantee, 1).Draw(rt, "limit"), Weight: rapid.Float64Range(0.01, 100).Draw(rt, "weight"),
		})
	}
	must.NoError(rt, Profiles{Version: 1, Profiles: profiles}.Check())
	return profiles
}

// What accounts are entitled to never exceeds the capacity or a limit, and includes the guarantee.
func TestFuzzEntitled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		profiles := drawProfiles(rt)
		l := NewLedger(profiles)
		capacity := rapid.Int64Range(0, 100_000).Draw(rt, "capacity")
		for i := range l.Accounts() {
			l.AddUsed(i, rapid.Int64Range(0, capacity).Draw(rt, "used"))
			l.AddWaiting(i, rapid.Int64Range(0, capacity).Draw(rt, "waiting"))
		}
		for i := range l.Accounts() {
			entitled := l.Entitled(i, capacity)
			must.Between(rt, share(capacity, l.accounts[i].Guarantee), entitled, l.Limit(i, capacity))
		}
	})
}

func TestEntitledGetsWhatOthersLeave(t *testing.T) {
	l := NewLedger([]Profile{{Name: "a", Guarantee: 0.2, Limit: 0.9, Weight: 1}, {Name: "b", Guarantee: 0.4, Limit: 1, Weight: 3}})
	must.Eq(t, 900, l.Entitled(0, 1000), must.Sprint("all others are idle"))
	l.AddUsed(1, 100)
	l.AddWaiting(1, 50)
	must.Eq(t, 850, l.Entitled(0, 1000), must.Sprint("the other profile wants less than its guarantee"))
	l.AddWaiting(1, 2000)
	must.Eq(t, 300, l.Entitled(0, 1000), must.Sprint("0.4 are lent by weight, one to three"))
}

// Work that waits because of its profile's limit takes no capacity from others.
func TestEntitledGetsWhatLimitsLeave(t *testing.T) {
	l := NewLedger([]Profile{{Name: "a", Limit: 1, Weight: 1}, {Name: "b", Limit: 0.1, Weight: 1}})
	l.AddWaiting(1, 5000)
	must.Eq(t, 900, l.Entitled(0, 1000))
}

// The newest jobs that may be refused go until the rest fits the limit.
func TestExcessIsTheNewestWork(t *testing.T) {
	l := NewLedger([]Profile{{Name: "a", Limit: 0.5, Weight: 1}})
	l.AddUsed(0, 30)
	jobs := []WaitingJob{{10, true}, {10, true}, {10, false}, {10, true}}
	must.Eq(t, []int{3, 1}, l.Excess(0, 100, jobs))
	must.SliceEmpty(t, l.Excess(0, 200, jobs))
	l.AddUsed(0, 100)
	must.Eq(t, []int{3, 1, 0}, l.Excess(0, 100, jobs), must.Sprint("above the limit by its runs alone"))
}

// Each fault has its type, and a message that names the profile or the queue.
func TestCheckNamesTheFault(t *testing.T) {
	valid := Profile{Name: "a", Queues: []string{"q"}, Guarantee: 0.3, Limit: 0.6, Weight: 1}
	with := func(change func(*Profile)) Profile {
		p := valid
		change(&p)
		return p
	}
	other := Profile{Name: "b", Queues: []string{"r"}, Guarantee: 0.7, Limit: 1, Weight: 1}
	for text, c := range map[string]struct {
		fault    errs.Tag
		profiles Profiles
	}{
		"version is 0":        {ErrVersion, Profiles{Profiles: []Profile{valid}}},
		"at most 128":         {ErrTooManyProfiles, Profiles{1, make([]Profile, MaxProfiles+1)}},
		`"a": give each`:      {ErrName, Profiles{1, []Profile{valid, with(func(p *Profile) { p.Queues = nil })}}},
		`"": give each`:       {ErrName, Profiles{1, []Profile{{Limit: 1, Weight: 1}}}},
		`"rest": give each`:   {ErrName, Profiles{1, []Profile{{Name: RestName, Limit: 1, Weight: 1}}}},
		`"A b": give each`:    {ErrName, Profiles{1, []Profile{{Name: "A b", Limit: 1, Weight: 1}}}},
		"guarantee -0.1":      {ErrShare, Profiles{1, []Profile{with(func(p *Profile) { p.Guarantee = -0.1 })}}},
		"limit 1.5":           {ErrShare, Profiles{1, []Profile{with(func(p *Profile) { p.Limit = 1.5 })}}},
		"guarantee NaN":       {ErrShare, Profiles{1, []Profile{with(func(p *Profile) { p.Guarantee = math.NaN() })}}},
		"weight -1":           {ErrShare, Profiles{1, []Profile{with(func(p *Profile) { p.Weight = -1 })}}},
		"above its limit 0.2": {ErrShare, Profiles{1, []Profile{with(func(p *Profile) { p.Limit = 0.2 })}}},
		"add up to 1.1":       {ErrGuarantees, Profiles{1, []Profile{with(func(p *Profile) { p.Guarantee = 0.4 }), other}}},
		`queue "q" is in`:     {ErrQueue, Profiles{1, []Profile{valid, with(func(p *Profile) { p.Name = "b" })}}},
	} {
		err := c.profiles.Check()
		must.True(t, errors.Is(err, c.fault), must.Sprint(text, err))
		must.StrContains(t, err.Error(), text)
	}
	must.NoError(t, Profiles{1, []Profile{valid, other}}.Check())
	must.Eq(t, []string{"r"}, Profiles{1, []Profile{valid, other}}.UnknownQueues([]string{"q"}))
}

// Guarantees that fill the capacity are valid, although their sum may exceed 1 by a rounding error.
func TestGuaranteesMayFillTheCapacity(t *testing.T) {
	var all Profiles
	all.Version = 1
	for i := range 3 {
		all.Profiles = append(all.Profiles, Profile{Name: string(rune('a' + i)), Guarantee: []float64{0.7, 0.1, 0.2}[i], Limit: 1, Weight: 1})
	}
	must.NoError(t, all.Check())
}

// BenchmarkStart measures a pick and its charge with the most profiles.
func BenchmarkStart(b *testing.B) {
	profiles := make([]Profile, MaxProfiles)
	for i := range profiles {
		profiles[i] = Profile{Name: string(rune('a' + i)), Guarantee: 0.5 / MaxProfiles, Limit: 1, Weight: 1}
	}
	l := NewLedger(profiles)
	for b.Loop() {
		pick, _ := l.Next(1_000_000, anyWork)
		l.Charge(pick, 16_000, 100*ms)
	}
}
