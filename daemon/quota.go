package daemon

import (
	"time"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/quota"
	"github.com/burdockward/burdockward/targetclient"
)

// takeoverMargin is added to the view lease: a new home takes over a row after the sum.
const takeoverMargin = time.Second

func (d *Daemon) newQuota() *quota.Duty {
	return quota.NewDuty(quota.DutyOptions{
		State: quota.Options{
			Domain:        d.settings.FailureDomain,
			Self:          targetclient.Holder(d.settings.VMID, d.incarnation),
			TakeoverAfter: d.settings.Membership.ViewLease + takeoverMargin,
		},
		Store: d.platform,
		Pools: quotaPools{d},
		Now:   d.now,
		Log:   d.log,
		Scope: d.telemetry.Scope(),
	})
}

// quotaTeams returns the teams whose shares may move between failure domains.
func (d *Daemon) quotaTeams(s *configuration.Snapshot) []quota.Team {
	var teams []quota.Team
	for _, t := range s.Teams() {
		if t.Lend {
			teams = append(teams, quota.Team{Name: t.Name, Base: d.baseShares(t)})
		}
	}
	return teams
}

func (d *Daemon) baseShares(t profile.Team) map[string]int {
	base := make(map[string]int, len(d.settings.FailureDomains))
	for _, domain := range d.settings.FailureDomains {
		base[domain] = t.Share(domain, d.settings.FailureDomains)
	}
	return base
}

// quotaPools gives the quota duty access to the pools of teams, which the dispatch duty
// owns.
type quotaPools struct{ d *Daemon }

// Usages implements quota.Pools.
func (p quotaPools) Usages(teams []string) (map[string]quota.Usage, time.Duration) {
	usages := make(map[string]quota.Usage, len(teams))
	var reserve time.Duration
	p.d.dispatch.DoWait(func(now time.Duration) {
		reserve = p.d.shared.QuotaReserve(now)
		valid := p.d.claims.LeaseValid()
		for _, team := range teams {
			u, home := p.d.shared.QuotaUsage(team)
			usages[team] = quota.Usage{Home: home, Valid: valid, Known: u.Known, Capacity: u.Capacity, Out: u.Out, Want: u.Want}
		}
	})
	return usages, reserve
}

// SetShares implements quota.Pools.
func (p quotaPools) SetShares(shares map[string]int) {
	p.d.dispatch.Do(func(now time.Duration) { p.d.shared.SetQuotaShares(now, shares) })
}
