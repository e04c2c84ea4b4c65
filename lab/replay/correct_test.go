package replay

import (
	"testing"

	"github.com/shoenig/test/must"
)

// siteNamed returns one of the sites of the rounds.
func siteNamed(t *testing.T, name string) Site {
	t.Helper()
	site, err := siteByName(name)
	must.NoError(t, err)
	return site
}

// With more than twice the load that the targets can do, and a fifth of them leaving, the forecast
// accepts jobs that it then refuses, unless it is corrected. Correcting it must not cost worth.
func TestCorrectedAdmissionKeepsWhatItAccepts(t *testing.T) {
	day := scarceDay(siteNamed(t, "contended"))
	for seed := range uint64(seeds) {
		off := Play(Options{Site: day, Seed: seed})
		on := Play(Options{Site: day, Seed: seed, CorrectAdmission: true})
		t.Log(off)
		t.Log(on)
		must.LessEq(t, 0.01, on.refusedLateShare())
		must.Greater(t, 0.05, off.refusedLateShare())
		must.GreaterEq(t, off.Worth, on.Worth)
	}
}

// refusedLateShare is the share of the accepted jobs that were refused later.
func (c Counts) refusedLateShare() float64 {
	return float64(c.RefusedLate) / float64(max(c.Jobs-c.Refused+c.RefusedLate, 1))
}
