package daemon

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/placement"
	"github.com/uber-go/tally/v4"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// reportGauges updates the gauges of the duties' state periodically.
func (d *Daemon) reportGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	scope := d.telemetry.Scope()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.reportMembership(scope)
			d.reportHoldings(scope)
			d.reportTargets(scope)
		}
	}
}

func (d *Daemon) reportMembership(scope tally.Scope) {
	view := d.claims.View()
	scope.Gauge("view_number").Update(float64(view.ID.Number))
	scope.Gauge("view_members").Update(float64(len(view.Members)))
	scope.Gauge("view_opened").Update(oneIf(view.Active && view.Opened))
	scope.Gauge("view_fenced").Update(oneIf(view.Fenced))
	scope.Gauge("view_lease_valid").Update(oneIf(d.claims.LeaseValid()))
	scope.Gauge("configuration_version").Update(float64(d.configuration.Snapshot().Version()))
	scope.Gauge("vm_list_version").Update(float64(d.vmList.Version()))
}

func (d *Daemon) reportHoldings(scope tally.Scope) {
	bytes, dropped := d.service.KeptAnswers()
	scope.Gauge("claim_records").Update(float64(d.claims.Records()))
	scope.Gauge("answer_bytes").Update(float64(bytes))
	scope.Gauge("answers_dropped").Update(float64(dropped))
	scope.Gauge("submissions_unfinished").Update(float64(d.service.Unfinished()))
}

func (d *Daemon) reportTargets(scope tally.Scope) {
	counts := d.dispatch.CountTargets()
	scope.Gauge("targets").Update(float64(counts.Targets))
	scope.Gauge("slots_held").Update(float64(counts.Held))
	scope.Gauge("slots_free").Update(float64(counts.Free))
	scope.Gauge("targets_quarantined").Update(float64(counts.Use[placement.UseQuarantine]))
	scope.Gauge("targets_last_resort").Update(float64(counts.Use[placement.UseLastResort]))
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
