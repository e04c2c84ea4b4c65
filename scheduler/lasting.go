package scheduler

import (
	"slices"
	"time"
)

// Lasting tasks run until their job is cancelled and are started again however they end.

// Figures of starting again.
const (
	// shortRun is below what a task does that is well: one that ends sooner is started
	// again after a pause that doubles each time.
	shortRun = time.Second
	// firstHurry and longestHurry bound the pause. A task that lasts has to run again
	// within 6 s.
	firstHurry   = 50 * time.Millisecond
	longestHurry = 2 * time.Second
	// maxHurried is from where on the pause doubles no more.
	maxHurried = 6
)

// pace sets when a task whose run is over may start again.
func (t *task) pace(now time.Duration, r *run) {
	if now-r.ordered >= shortRun {
		t.hurried, t.ripe = 0, now
		return
	}
	t.ripe = now + min(firstHurry<<t.hurried, longestHurry)
	t.hurried = min(t.hurried+1, maxHurried)
}

// bringRipe puts a task that may start first among those to be placed, and reports
// whether there is one.
func (st *step) bringRipe(now time.Duration) bool {
	at := slices.IndexFunc(st.pending, func(t *task) bool { return now >= t.ripe })
	if at > 0 {
		st.pending[0], st.pending[at] = st.pending[at], st.pending[0]
	}
	return at >= 0
}
