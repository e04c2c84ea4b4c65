package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/prepared"
)

// readMetrics returns the metrics that a VM serves.
func readMetrics(t *testing.T, vm *prepared.VM) string {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", vm.IP, prepared.MetricsPort))
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(body)
}

// The metrics have waiting and run times of jobs, answers of orders, causes of refusals, and the
// age of the configuration, the claims and the registry.
func TestMetricsReportTimesCausesAndAges(t *testing.T) {
	d := start(t, 1, 2)
	withLoad(t, d, func() { wait(2500 * time.Millisecond) })
	withDurableLoad(t, d, func() { wait(time.Second) })
	// A task that fits no target is refused.
	d.SubmitOversized()
	wait(1500 * time.Millisecond)
	all := readMetrics(t, d.VMs[0]) + readMetrics(t, d.VMs[1])
	for _, want := range []string{
		`burdockward_entry_job_wait_seconds_count`, `burdockward_entry_job_run_seconds_count`, `burdockward_entry_start_answer_seconds_count`,
		`burdockward_entry_starts_total{kind="done"}`, `burdockward_entry_looks_total{kind="done"}`,
		`burdockward_entry_acceptances_total{kind="stored"}`, `burdockward_entry_kept_jobs_total{kind="completed"}`,
		`burdockward_entry_requests_refused_total{kind="no_target_can_hold_one_of_its_tasks"}`,
		`burdockward_entry_age_configuration_seconds`, `burdockward_entry_age_claims_seconds`, `burdockward_entry_age_registry_seconds`,
		`burdockward_entry_owner_changes_total{kind="domain_0"}`, `burdockward_entry_targets_usable`, `burdockward_entry_configuration_version`,
	} {
		must.True(t, strings.Contains(all, want), must.Sprintf("no %s", want))
	}
}
