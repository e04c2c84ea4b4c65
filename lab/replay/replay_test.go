package replay

import (
	"testing"

	"github.com/shoenig/test/must"
)

// seeds is the number of days that a test simulates for each case.
const seeds = 2

// playMean simulates days with several seeds. It returns the means of Worth, LateRefusals and
// Wasted, and the Kinds of all days.
func playMean(t *testing.T, o Options) Report {
	t.Helper()
	var mean Report
	for seed := range seeds {
		o.Seed = uint64(seed)
		r := Play(o)
		t.Log(r)
		mean.Worth += r.Worth / seeds
		mean.LateRefusals += r.LateRefusals / seeds
		mean.Wasted += r.Wasted / seeds
		mean.Kinds = append(mean.Kinds, r.Kinds...)
	}
	return mean
}

var sites = []Site{Kasa(), Thapa()}

func TestUsualLoadEarnsNearlyAllWorth(t *testing.T) {
	for _, site := range sites {
		must.Greater(t, 0.97, playMean(t, Options{Site: site}).Worth)
	}
}

// Owners that delegate tasks to each other earn more under high load than owners that do not.
func TestDelegationEarnsMore(t *testing.T) {
	for _, site := range sites {
		alone := playMean(t, Options{Site: crowdedDay(site), NoDelegation: true})
		delegating := playMean(t, Options{Site: crowdedDay(site)})
		must.Greater(t, alone.Worth+0.005, delegating.Worth)
	}
}

// Under faulty targets and high load, owners earn at least 93% of what one clairvoyant owner
// without network delay earns. Few jobs are refused late and little processor time is wasted.
func TestOwnersEarnNearlyTheIdeal(t *testing.T) {
	for _, site := range sites {
		for name, day := range map[string]func(Site) Site{"faulty": faultyDay, "crowded": crowdedDay} {
			t.Run(site.Name+" "+name, func(t *testing.T) {
				ideal := playMean(t, Options{Site: day(site), OneOwner: true, Clairvoyant: true})
				real := playMean(t, Options{Site: day(site)})
				must.Greater(t, 0.93*ideal.Worth, real.Worth)
				must.Less(t, 0.02, real.LateRefusals)
				must.Less(t, 0.02, real.Wasted)
			})
		}
	}
}

// During a burst of three times the load each kind of request earns most of its worth, and
// refusals are prompt.
func TestFloodStarvesNoKind(t *testing.T) {
	for _, site := range sites {
		r := playMean(t, Options{Site: floodedDay(site)})
		must.Less(t, 0.04, r.LateRefusals)
		for _, kind := range r.Kinds {
			must.Greater(t, 0.7, kind)
		}
	}
}

// Under faulty targets, high load and a large burst, owners earn more than each of the simple
// policies.
func TestSimplePoliciesEarnLess(t *testing.T) {
	for _, site := range sites {
		for name, day := range map[string]func(Site) Site{"faulty": faultyDay, "crowded": crowdedDay, "flooded": floodedDay} {
			t.Run(site.Name+" "+name, func(t *testing.T) {
				real := playMean(t, Options{Site: day(site)})
				for _, policy := range []Policy{FIFO, Random, LeastOutstanding} {
					t.Log(policy)
					must.Greater(t, playMean(t, Options{Site: day(site), Policy: policy}).Worth+0.05, real.Worth)
				}
			})
		}
	}
}

// On targets of 0.6, 1 and 1.6 times the usual speed, owners that place by the expected end earn nearly all
// worth of a usual day. Without that a tenth of the long jobs is late, though targets are free on which
// they would be in time.
func TestPlacementByEndOnUnevenTargets(t *testing.T) {
	site := Large(60, 0)
	site.Speeds = []float64{0.6, 1, 1.6}
	before := playMean(t, Options{Site: site})
	after := playMean(t, Options{Site: site, PlaceByEnd: true})
	must.Greater(t, 0.95, after.Worth)
	must.Greater(t, before.Worth+0.02, after.Worth)
}
