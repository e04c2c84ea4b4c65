package replay

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
)

// While all callers come at 2.4 times the usual rate and a fifth of the targets leaves, a queue with a
// guarantee above its usual demand, 0.15 of the capacity, keeps nearly all its worth. Without profiles
// it loses a third, as its jobs need several places for long.
func TestGuaranteedQueueKeepsItsWorth(t *testing.T) {
	site, err := siteByName("contended")
	must.NoError(t, err)
	const long = 1
	worth := func(o Options) float64 {
		o.Site = scarceDay(site)
		r := Play(o)
		t.Log(r)
		return r.Kinds[long]
	}
	guaranteed := []shares.Profile{{Name: "tills", Queues: []string{site.Kinds[long].Name}, Guarantee: 0.2, Limit: 1, Weight: 1}}
	for seed := range uint64(seeds) {
		must.Less(t, 0.75, worth(Options{Seed: seed}))
		must.Greater(t, 0.95, worth(Options{Seed: seed, Profiles: guaranteed}))
	}
}
