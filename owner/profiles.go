package owner

import (
	"context"
	"strings"
	"time"

	"github.com/burdockward/burdockward/shares"
)

// profiles is what an owner records of the operator's profiles.
type profiles struct {
	// version is that of the profiles in force; 0 before the first.
	version int64
	// published holds the names of the gauges that were set last.
	published map[string]bool
}

// UpdateProfiles puts the operator's profiles in force, unless they are not newer than the last ones.
func (o *Owner) UpdateProfiles(ctx context.Context, p *shares.Profiles) {
	if p == nil {
		return
	}
	o.postUrgent(ctx, func(now time.Duration) {
		if p.Version <= o.profiles.version {
			return
		}
		o.profiles.version = p.Version
		o.state.SetProfiles(now, p)
		o.options.Log.Info("owner applies profiles", "group", o.options.Group, "version", p.Version, "profiles", len(p.Profiles))
	})
}

// publishProfiles sets the gauges of what each profile uses and wants. Those of former profiles go to 0.
func (o *Owner) publishProfiles() {
	before := o.profiles.published
	o.profiles.published = map[string]bool{}
	set := func(name string, value float64) {
		o.options.Gauge(name, value)
		o.profiles.published[name] = true
		delete(before, name)
	}
	for _, use := range o.state.ProfileUses() {
		name := metricName(use.Service) + "_" + metricName(use.Profile)
		set("profile_share_"+name, use.Share)
		set("profile_waiting_cpu_"+name, float64(use.Waiting))
	}
	for name := range before {
		o.options.Gauge(name, 0)
	}
}

// metricName returns a name with all that the name of a metric can't have replaced by underscores.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
