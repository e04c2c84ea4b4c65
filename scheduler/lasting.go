package scheduler

import (
	"slices"
	"time"
)

// Lasting tasks run until their job is cancelled. However a run ends, the task is started again.

// Parameters of restarts.
const (
	// shortRun is shorter than any run of a healthy lasting task. After a shorter run the task is
	// started again after a delay that doubles each time.
	shortRun = time.Second
	// minRestartDelay and maxRestartDelay bound the delay. A lasting task has to run again
	// within 6 s.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 2 * time.Second
	// maxRestartDoublings is how many times the delay doubles.
	maxRestartDoublings = 6
)

// delayRestart sets when a lasting task whose run is over may start again.
func (t *task) delayRestart(now time.Duration, r *run) {
	if now-r.ordered >= shortRun {
		t.shortRuns, t.notBefore = 0, now
		return
	}
	t.notBefore = now + min(minRestartDelay<<t.shortRuns, maxRestartDelay)
	t.shortRuns = min(t.shortRuns+1, maxRestartDoublings)
}

// moveDueFirst moves a pending task that may start now to the front, and reports whether there is
// one.
func (st *step) moveDueFirst(now time.Duration) bool {
	at := slices.IndexFunc(st.pending, func(t *task) bool { return now >= t.notBefore })
	if at > 0 {
		st.pending[0], st.pending[at] = st.pending[at], st.pending[0]
	}
	return at >= 0
}
