package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
)

// Guards against a job that ended since the last round, and is still listed, keeping the number of an
// account that the new profiles don't have.
func TestFewerProfilesWhileEndedJobIsListed(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "tills", Limit: 1}, shares.Profile{Name: "bank", Limit: 1})
	b.addUsableTarget("a", 1)
	b.submitTo("other", 1, 1)
	b.effects()
	ref := b.submitTo("other", 1, 1)
	b.s.Cancel(b.now, ref)
	b.setProfiles(shares.Profile{Name: "tills", Limit: 1})
	must.Eq(t, 0, b.s.ProfileUses()[1].Waiting)
}
