package owner

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/cordon"
	"github.com/burdockward/burdockward/work"
)

// runCordonedOwner runs an owner that knows a view of the cordons when it starts.
func runCordonedOwner(t *testing.T, target *fencingTarget, view cordon.View) *Owner {
	t.Helper()
	options := testOptions()
	options.Cordons = func() cordon.View { return view }
	options.ConfirmCordons = func(context.Context) (cordon.View, error) { return view, nil }
	return runOwnerWith(t, options, target)
}

var cordonedView = cordon.View{Version: 5, Domains: []string{"domain"}}

// An owner in a cordoned failure domain starts no runs until it gets a newer view without the
// cordon, and then starts them at once. Older views, and newer ones that change only other failure
// domains, have no effect.
func TestNewestCordonViewApplies(t *testing.T) {
	target := newFencingTarget()
	o := runCordonedOwner(t, target, cordonedView)
	must.True(t, eventually(func() bool { return o.Loads()["service"].Cordoned }))
	must.Eq(t, work.Refused, (<-submit(t, o, "1")).Result)
	o.UpdateCordons(t.Context(), cordon.View{Version: 4})
	o.UpdateCordons(t.Context(), cordon.View{Version: 6, Domains: []string{"domain", "other"}})
	must.Eq(t, work.Refused, (<-submit(t, o, "2")).Result)
	o.UpdateCordons(t.Context(), cordon.View{Version: 7, Domains: []string{"other"}})
	must.Eq(t, work.Completed, (<-submit(t, o, "3")).Result)
	o.UpdateCordons(t.Context(), cordonedView)
	must.Eq(t, work.Completed, (<-submit(t, o, "4")).Result)
}

// An owner that knows no view of the cordons yet holds jobs back until it gets one.
func TestOwnerStartsNothingBeforeCordonsAreKnown(t *testing.T) {
	target := newFencingTarget()
	o := runCordonedOwner(t, target, cordon.View{})
	waiting := submit(t, o, "1")
	must.True(t, eventually(func() bool { return o.OpenJobs() == 1 }))
	must.SliceEmpty(t, target.startedRuns())
	o.UpdateCordons(t.Context(), cordon.View{Version: 3})
	must.Eq(t, work.Completed, (<-waiting).Result)
	must.SliceLen(t, 1, target.startedRuns())
}

func (f *fencingTarget) startedRuns() []work.RunID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}
