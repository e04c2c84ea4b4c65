package scheduler

import "time"

// Targets may differ in speed for as long as they live. A job whose objective is a small multiple of its
// run time is late on a slow target although it starts at once, while another job is in time there. With
// Options.PlaceByEnd a task goes to a target on which it is expected to end in time, if one has room.

const (
	// usualSpeedWeight averages the errors of some 30 declared run times.
	usualSpeedWeight = 0.05
	// maxUsualSample bounds what one run adds to the usual speed: a target that hangs for a while isn't
	// slow for good.
	maxUsualSample = 3.0
	// runtimeMargin is by how much longer than expected a task may run: declared run times are wrong by up
	// to 40 %.
	runtimeMargin = 1.4
)

// observeUsual updates the usual speed with the run time of a run divided by the expected one.
func (h *health) observeUsual(speed float64) {
	h.usualSpeed += usualSpeedWeight * (min(speed, maxUsualSample) - h.usualSpeed)
}

// mayEndLate reports whether a task of a step that starts on the target now may end after its job's objective.
func (t *target) mayEndLate(now time.Duration, st *step) bool {
	return now+time.Duration(runtimeMargin*t.health.usualSpeed*float64(st.expectedRuntime)) > st.job.objective
}
