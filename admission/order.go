package admission

import "time"

// Job is what an Order knows of a submission with waiting tasks.
type Job struct {
	// ArrivedAt and DeadlineAt are times since the start of the process.
	ArrivedAt  time.Duration
	DeadlineAt time.Duration
	// Work is the expected run time of all waiting tasks together.
	Work time.Duration
	// Longest is the expected run time of the longest task.
	Longest time.Duration
	// SmallerShare is the part of the profile's work, 0 to 1, that submissions of
	// this size or smaller bring, as known when this one arrived.
	SmallerShare float64
}

// Order ranks the submissions of one profile; the lowest rank is served first.
// A rank must not depend on the current time, so that a heap of ranked work stays
// valid. Equal ranks are served in the order of arrival.
type Order interface {
	// Name names the order in reports.
	Name() string
	// Rank returns the rank of the job.
	Rank(Job) time.Duration
}

// DefaultOrder is the order of a Config without one; docs/ADMISSION.md compares
// it with the baselines.
var DefaultOrder Order = SmallFirst{Share: 0.04, Advance: 10 * time.Second}

// SmallFirst serves in the order of arrival, except that small submissions, which
// together bring no more than Share of the profile's work, go before larger ones
// that came up to Advance earlier. Share bounds how much work overtakes a larger
// submission, and Advance for how long it can be overtaken.
type SmallFirst struct {
	// Share is a part of the profile's work, 0 to 1.
	Share float64
	// Advance is by how much earlier a small submission counts as arrived.
	Advance time.Duration
}

// Name implements Order.
func (SmallFirst) Name() string { return "small-first" }

// Rank implements Order.
func (o SmallFirst) Rank(j Job) time.Duration {
	if j.SmallerShare <= o.Share {
		return j.ArrivedAt - o.Advance
	}
	return j.ArrivedAt
}
