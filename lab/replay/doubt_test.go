package replay

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// doubtful is a day on which a fifth of the calls to half of the targets get lost.
func doubtful(site Site) Site {
	site.Faults = []Fault{{From: second(2), To: second(8), Share: 0.5, Lost: 0.2}}
	return site
}

// An owner settles doubt as soon with 240 targets as with 30, as long as it has processor
// to spare; where it has none, doubt takes its toll, and sending again adds nothing to it.
func TestDoubtAtAnyNumberOfTargets(t *testing.T) {
	const spare, short = 0.1, 0.75
	for _, targets := range []int{30, 60, 120, 240} {
		t.Run(fmt.Sprint(targets, " targets with spare processor"), func(t *testing.T) {
			must.Greater(t, 0.98, play(t, Options{Site: doubtful(Large(targets, spare))}).Worth)
		})
		t.Run(fmt.Sprint(targets, " targets without"), func(t *testing.T) {
			calm := play(t, Options{Site: Large(targets, short)}).Worth
			must.Greater(t, 0.85*calm, play(t, Options{Site: doubtful(Large(targets, short))}).Worth)
		})
	}
}
