package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// More targets are unreachable than may be in quarantine. The units of all of them
// must be excluded, so that the VM requests units of others.
func TestBackingOffTargetsAreExcluded(t *testing.T) {
	s := New(Options{})
	var list []Target
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, Target{ID: id})
	}
	s.SetTargets(0, list)
	for _, x := range list {
		s.SetFree(x.ID, true)
	}
	excluded := map[string]bool{}
	note := func() {
		for _, e := range s.TakeExclusions() {
			excluded[e.Target] = e.Excluded
		}
	}
	for _, id := range []string{"a", "b"} {
		s.RecordStart(time.Second, id, "class", "job-"+id)
		s.RecordRefusal(time.Second, id, RefusedUnreachable)
	}
	note()
	must.True(t, excluded["a"])
	must.True(t, excluded["b"])
	s.Pick(time.Minute, rand.New(rand.NewPCG(1, 1)))
	note()
	must.False(t, excluded["b"])
}
