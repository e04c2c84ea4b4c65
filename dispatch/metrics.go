package dispatch

import "github.com/uber-go/tally/v4"

// metrics count what the duty does.
type metrics struct {
	starts, notStarted, late tally.Counter
	unitsKept                tally.Counter
	answered                 tally.Counter
	queued, running          tally.Gauge
	scope                    tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		starts:     scope.Tagged(map[string]string{"kind": "start"}).Counter("messages_sent"),
		notStarted: scope.Counter("starts_refused"),
		late:       scope.Counter("late_results"),
		unitsKept:  scope.Counter("units_kept_for_unknown"),
		answered:   scope.Counter("submissions_answered"),
		queued:     scope.Gauge("tasks_queued"),
		running:    scope.Gauge("tasks_running"),
		scope:      scope,
	}
}
