package admission

import "time"

// FIFO serves submissions in the order of arrival; a baseline for measurements.
type FIFO struct{}

// Name implements Order.
func (FIFO) Name() string { return "fifo" }

// Rank implements Order.
func (FIFO) Rank(j Job) time.Duration { return j.ArrivedAt }

// EarliestDeadline serves the submission with the earliest deadline first; a
// baseline for measurements.
type EarliestDeadline struct{}

// Name implements Order.
func (EarliestDeadline) Name() string { return "earliest-deadline" }

// Rank implements Order.
func (EarliestDeadline) Rank(j Job) time.Duration { return j.DeadlineAt }
