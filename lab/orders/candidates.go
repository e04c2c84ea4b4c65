package orders

import (
	"time"

	"github.com/burdockward/burdockward/admission"
)

// candidates returns the orders that are compared.
func candidates() []admission.Order {
	return []admission.Order{
		admission.FIFO{},
		admission.EarliestDeadline{},
		leastWork{0.02},
		leastWork{0.1},
		leastWork{1},
		mixed{0.1, 500 * time.Millisecond},
		mixed{1, time.Second},
		admission.SmallFirst{Share: 0.02, Advance: 10 * time.Second},
		admission.SmallFirst{Share: 0.03, Advance: 10 * time.Second},
		admission.SmallFirst{Share: 0.04, Advance: 10 * time.Second},
		admission.SmallFirst{Share: 0.1, Advance: 10 * time.Second},
	}
}

// leastWork serves the submission with the least remaining work first, with linear aging: a unit of
// work weighs as much as Aging units of waiting time.
type leastWork struct{ Aging float64 }

// Name implements admission.Order.
func (leastWork) Name() string { return "least-work" }

// Rank implements admission.Order.
func (o leastWork) Rank(j admission.Job) time.Duration {
	return j.ArrivedAt + time.Duration(o.Aging*float64(j.Work))
}

// mixed is leastWork with a bound: a job is overtaken only by jobs that arrive less than MaxAdvance
// after it. It also advances a job that is about to miss its deadline.
type mixed struct {
	Aging      float64
	MaxAdvance time.Duration
}

// Name implements admission.Order.
func (mixed) Name() string { return "mixed" }

// Rank implements admission.Order.
func (o mixed) Rank(j admission.Job) time.Duration {
	behind := min(time.Duration(o.Aging*float64(j.Work)), o.MaxAdvance)
	latest := j.DeadlineAt - j.Longest - o.MaxAdvance
	return max(j.ArrivedAt, min(j.ArrivedAt+behind, latest))
}
