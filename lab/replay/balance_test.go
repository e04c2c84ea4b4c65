package replay

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// servedSpread is the difference between the largest and the smallest share of jobs that a failure
// domain's callers got answers to on time.
func servedSpread(r Report) float64 {
	var shares []float64
	for _, c := range r.ByDomain {
		shares = append(shares, float64(c.OnTime)/float64(c.Jobs))
	}
	return slices.Max(shares) - slices.Min(shares)
}

// With one failure domain after another under pressure and owners short of processor time, balance
// serves the failure domains alike, and no less in total.
func TestBalanceServesPressedDomainsAlike(t *testing.T) {
	spec := SiteSpecs[slices.IndexFunc(SiteSpecs, func(s SiteSpec) bool { return s.Name == "kasa-grown" })]
	for _, seed := range []uint64{0, 2} {
		without := Play(Options{Site: hamperedDay(spec.site()), Seed: seed})
		with := Play(Options{Site: hamperedDay(spec.site()), Seed: seed, BalanceDomains: true})
		t.Log(seed, servedSpread(without), without, servedSpread(with), with)
		must.Greater(t, 0.025, servedSpread(without))
		must.Less(t, 0.025, servedSpread(with))
		must.Greater(t, without.Worth-0.001, with.Worth)
	}
}
