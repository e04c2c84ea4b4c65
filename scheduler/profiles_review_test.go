package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
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

// Guards against profiles without a limit holding a profile back while its tasks fill the targets:
// nothing would be delegated, and gangs would get no reserved targets.
func TestNoLimitHoldsNothingBack(t *testing.T) {
	b := newHarness(t, Options{})
	b.setProfiles(shares.Profile{Name: "nobody", Limit: 1})
	b.addUsableTarget("a", 2)
	b.addUsableTarget("b", 2)
	b.submitTo("k", 4, 1)
	b.effects()
	b.acceptAndStore(b.jobOfSteps("gang", work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, Gang: true}))
	b.advance(3 * gangReserveDelay)
	must.NotNil(t, b.s.pools["s"].reservedFor)
	must.False(t, b.s.pools["s"].shares.heldBack[1])
}
