package cordon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

func row(domain string, version int64, deleted bool) platform.Row {
	return platform.Row{Key: wire.CordonPrefix + domain, Version: version, Deleted: deleted, Value: []byte("{}")}
}

func updateOf(version int64, snapshot bool, rows ...platform.Row) mirror.Update {
	return mirror.Update{Snapshot: snapshot, Rows: platform.Rows{Version: version, Rows: rows}}
}

func TestReaderAppliesUpdates(t *testing.T) {
	r := Reader{}
	must.Eq(t, View{Version: 3}, r.Apply(updateOf(3, true, platform.Row{Key: platform.ConfigurationKey, Version: 2})))
	must.Eq(t, View{Version: 5, Domains: []string{"a", "b"}}, r.Apply(updateOf(5, false, row("b", 4, false), row("a", 5, false))))
	must.Eq(t, View{Version: 7, Domains: []string{"b"}}, r.Apply(updateOf(7, false, row("a", 7, true))))
	// After a lost history a snapshot comes: cordons that it lacks were removed.
	must.Eq(t, View{Version: 9, Domains: []string{"c"}}, r.Apply(updateOf(9, true, row("c", 8, false))))
}

// A cordon row that names no failure domain is reported and otherwise ignored.
func TestRowWithoutDomainIsIgnored(t *testing.T) {
	ignored := 0
	r := Reader{RowIgnored: func(_ platform.Row, err error) {
		must.ErrorIs(t, err, platform.ErrInvalidCordon)
		ignored++
	}}
	view := r.Apply(updateOf(4, true, row("", 2, false), platform.Row{Key: "evacuation/a", Version: 3}, row("a", 4, false)))
	must.Eq(t, []string{"a"}, view.Domains)
	must.Eq(t, 1, ignored)
}

// A cordon of a failure domain that the deployment doesn't have is ignored: each VM would send it in each
// heartbeat.
func TestCordonOfUnknownDomainIsIgnored(t *testing.T) {
	ignored := 0
	r := Reader{Domains: []string{"a", "b"}, RowIgnored: func(_ platform.Row, err error) {
		must.ErrorIs(t, err, ErrUnknownDomain)
		ignored++
	}}
	view := r.Apply(updateOf(4, true, row("a", 2, false), row("c", 3, false)))
	must.Eq(t, []string{"a"}, view.Domains)
	view = r.Apply(updateOf(5, false, row("c", 5, true)))
	must.Eq(t, []string{"a"}, view.Domains)
	must.Eq(t, 1, ignored)
}

// The value of a cordon row doesn't matter: the cordon applies until the row is deleted.
func TestCordonAppliesWithAnyValue(t *testing.T) {
	r := Reader{}
	for i, value := range [][]byte{nil, []byte("\xff"), []byte(`["x"]`)} {
		domain := fmt.Sprint("d", i)
		cordoned := row(domain, int64(i+1), false)
		cordoned.Value = value
		must.True(t, r.Apply(updateOf(int64(i+1), false, cordoned)).IsCordoned(domain))
	}
}

func TestLatestViewReportsOnlyChanges(t *testing.T) {
	var changes []string
	b := LatestView{Changed: func(from string, _, after View) { changes = append(changes, fmt.Sprint(from, after.Domains)) }}
	must.False(t, b.View().IsKnown())
	must.Nil(t, b.View().ToWire())
	b.Update(View{}, "nobody")
	b.Update(View{Version: 3}, "store")
	b.Update(View{Version: 4}, "store")
	b.Update(View{Version: 6, Domains: []string{"a"}}, "peer")
	b.Update(View{Version: 5}, "late peer")
	b.Update(FromWire(View{Version: 8, Domains: []string{"a"}}.ToWire()), "store")
	b.Update(View{Version: 9}, "store")
	must.Eq(t, []string{"store[]", "peer[a]", "store[]"}, changes)
}

// Several VMs follow the table through lost history and stale reads, and send each other their
// views, which arrive late, twice and in any order. No VM's view ever goes back to a lower
// version, and each view equals the table at its version.
func TestFuzzLatestViews(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := map[int64][]string{1: nil}
		version := int64(1)
		var views []View
		latest := []*LatestView{{}, {}, {}}
		for _, b := range latest {
			held := int64(0)
			b.Changed = func(_ string, _, after View) {
				if after.Version < held {
					rt.Fatalf("went back from %d to %d", held, after.Version)
				}
				held = after.Version
			}
		}
		readers := []*Reader{{}, {}, {}}
		at := []int64{0, 0, 0}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "vm")
			switch rapid.SampledFrom([]string{"change", "feed", "snapshot", "stale", "gossip"}).Draw(rt, "action") {
			case "change":
				version++
				domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain")
				now := slices.Clone(table[version-1])
				if at := slices.Index(now, domain); at >= 0 {
					now = slices.Delete(now, at, at+1)
				} else {
					now = append(now, domain)
					slices.Sort(now)
				}
				table[version] = now
			case "feed":
				if at[i] == 0 {
					continue
				}
				var rows []platform.Row
				for v := at[i] + 1; v <= version; v++ {
					rows = append(rows, changedRow(table, v))
				}
				views = append(views, readers[i].Apply(updateOf(version, false, rows...)))
				at[i] = version
				latest[i].Update(views[len(views)-1], "store")
			case "snapshot", "stale":
				v := max(version-int64(rapid.IntRange(0, 3).Draw(rt, "behind")), 1)
				var rows []platform.Row
				for _, domain := range table[v] {
					rows = append(rows, row(domain, v, false))
				}
				views = append(views, readers[i].Apply(updateOf(v, true, rows...)))
				at[i] = v
				latest[i].Update(views[len(views)-1], "store")
			case "gossip":
				if len(views) > 0 {
					latest[i].Update(rapid.SampledFrom(views).Draw(rt, "gossiped view"), "peer")
				}
			}
			for _, b := range latest {
				if view := b.View(); view.IsKnown() && !slices.Equal(view.Domains, table[view.Version]) {
					rt.Fatalf("version %d has %v, held is %v", view.Version, table[view.Version], view.Domains)
				}
			}
		}
	})
}

// changedRow returns the row that a version of the table wrote or deleted.
func changedRow(table map[int64][]string, version int64) platform.Row {
	for _, domain := range table[version] {
		if !slices.Contains(table[version-1], domain) {
			return row(domain, version, false)
		}
	}
	for _, domain := range table[version-1] {
		if !slices.Contains(table[version], domain) {
			return row(domain, version, true)
		}
	}
	return platform.Row{}
}
