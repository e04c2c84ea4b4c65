package owner

import (
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// statusInterval is the time between two status lines.
const statusInterval = time.Second

// logStatus logs and exports how busy the owner is, once each statusInterval.
func (o *Owner) logStatus() {
	now := bootclock.Now()
	if now-o.statusAt < statusInterval {
		return
	}
	o.statusAt = now
	summary := o.state.Summary()
	o.options.Log.Info("owner status", "group", o.options.Group,
		"jobs", summary.Jobs, "waiting_jobs", summary.Waiting, "runs", summary.Runs,
		"targets", summary.Targets, "usable", summary.Usable, "suspected", summary.Suspected, "draining", summary.Draining, "cordoned", summary.Cordoned,
		"cpu", summary.CPU, "free_cpu", summary.FreeCPU,
		"tick_late", summary.TickLate, "answer_time", summary.AnswerTime, "look_wait", summary.PollWait, "copies", summary.Copies)
	for what, value := range map[string]int{
		"jobs_present": summary.Jobs, "jobs_waiting": summary.Waiting, "runs": summary.Runs, "unnoted": o.state.PendingWrites(),
		"targets": summary.Targets, "targets_usable": summary.Usable, "targets_suspected": summary.Suspected,
		"targets_draining": summary.Draining, "free_cpu": int(summary.FreeCPU), "copies": summary.Copies,
		"cordoned":     cordonedValue(summary.Cordoned),
		"tick_late_us": int(summary.TickLate.Microseconds()), "answer_time_us": int(summary.AnswerTime.Microseconds()),
	} {
		o.options.Gauge(what, float64(value))
	}
	o.publishProfiles()
}

// cordonedValue returns the gauge's value: 1 while nothing may be started on the targets.
func cordonedValue(cordoned bool) int {
	if cordoned {
		return 1
	}
	return 0
}
