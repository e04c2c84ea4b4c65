package owner

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// An owner starts with the profiles that its VM knows, and never goes back to an older version.
func TestNewestProfilesApply(t *testing.T) {
	options := testOptions()
	stop := &shares.Profiles{Version: 2, Profiles: []shares.Profile{{Name: "all", Queues: []string{testSubmission("1").Queue.Name}, Weight: 1}}}
	options.Profiles = func() *shares.Profiles { return stop }
	o := runOwnerWith(t, options, newFencingTarget())
	must.True(t, eventually(func() bool { return o.Loads()["service"].FreeCPU > 0 }))
	must.Eq(t, work.Refused, (<-submit(t, o, "1")).Result)
	o.UpdateProfiles(t.Context(), &shares.Profiles{Version: 1})
	must.Eq(t, work.Refused, (<-submit(t, o, "2")).Result)
	o.UpdateProfiles(t.Context(), &shares.Profiles{Version: 3})
	must.Eq(t, work.Completed, (<-submit(t, o, "3")).Result)
	o.UpdateProfiles(t.Context(), stop)
	must.Eq(t, work.Completed, (<-submit(t, o, "4")).Result)
}

// The gauges of a profile that is gone go to 0 instead of keeping their last value.
func TestGaugesOfFormerProfilesGoToZero(t *testing.T) {
	var mu sync.Mutex
	gauges := map[string]float64{}
	options := testOptions()
	options.Gauge = func(name string, value float64) {
		mu.Lock()
		defer mu.Unlock()
		gauges[name] = value
	}
	o := New(options, nil, nil)
	o.profiles.published = map[string]bool{"profile_share_service_old": true}
	gauges["profile_share_service_old"] = 0.5
	o.publishProfiles()
	must.Eq(t, map[string]float64{"profile_share_service_old": 0}, gauges)
	must.Eq(t, "a_b_c", metricName("a-b.c"))
}
