package replay

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// lostCallsDay is a day on which a fifth of the calls to half of the targets are lost.
func lostCallsDay(site Site) Site {
	site.Faults = []Fault{{From: seconds(2), To: seconds(8), Share: 0.5, LostCalls: 0.2}}
	return site
}

// meanWorth is the mean worth over so many seeds that it varies by about 0.01.
func meanWorth(o Options) float64 {
	const seeds = 8
	mean := 0.0
	for seed := range seeds {
		o.Seed = uint64(seed)
		mean += Play(o).Worth / seeds
	}
	return mean
}

// Lost calls leave runs in an unknown state until the owner resends. With spare processor an
// owner with 240 targets resolves them as well as one with 30. Without it, resending must not
// make the result worse than sending each order once.
func TestLostCallsCostLittleAtAnyNumberOfTargets(t *testing.T) {
	const spare, short = 0.1, 0.75
	for _, targets := range []int{30, 60, 120, 240} {
		t.Run(fmt.Sprint(targets, " targets with spare processor"), func(t *testing.T) {
			must.Greater(t, 0.98, meanWorth(Options{Site: lostCallsDay(Large(targets, spare))}))
		})
		t.Run(fmt.Sprint(targets, " targets without spare processor"), func(t *testing.T) {
			once := meanWorth(Options{Site: lostCallsDay(Large(targets, short)), SendOnce: true})
			must.Greater(t, once-0.02, meanWorth(Options{Site: lostCallsDay(Large(targets, short))}))
		})
	}
}
