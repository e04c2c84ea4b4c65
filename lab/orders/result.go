package orders

import (
	"math"
	"slices"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/ideal"
	"github.com/burdockward/burdockward/profile"
)

const (
	slots = 128
	// unbounded is a queue length that no trace reaches.
	unbounded = 1 << 30
	// farDeadlineMS is a deadline that no submission reaches, in milliseconds.
	farDeadlineMS = 3_600_000
)

// experiment describes the traces on which an order is measured.
type experiment struct {
	load float64
	// deadlines gives submissions deadlines that they can miss.
	deadlines bool
	jobs      int
	// seed is the seed of the first trace; the others take the next ones.
	seed   uint64
	traces int
}

// result sums up all traces of an experiment under one order.
type result struct {
	// ratio holds the response times divided by those with one FIFO queue over the same slots, and
	// slowdown those divided by the longest task of the job. Both are sorted.
	ratio, slowdown []float64
	mean            float64 // response time in seconds
	submitted       int
	refused         int
	expired         int
	inTime          int
}

// measure simulates the traces under one order.
func (e experiment) measure(order admission.Order) result {
	var res result
	p := profile.Profile{Name: "tiles", QueueTasks: unbounded, DeadlineMS: farDeadlineMS, MaxRunMS: 60_000}
	for i := range uint64(e.traces) {
		seed := e.seed + i
		trace := makeTrace(traceOptions{seed: seed, profile: p.Name, jobs: e.jobs, most: api.MaxTasks, slots: slots, load: e.load})
		if e.deadlines {
			setDeadlines(trace, seed)
		}
		s := admission.New(admission.Config{Order: order, MaxQueuedTasks: unbounded})
		s.SetProfiles(0, []profile.Profile{p}, nil)
		res.add(trace, drive(s, trace, slots))
	}
	res.mean /= float64(len(res.ratio))
	slices.Sort(res.ratio)
	slices.Sort(res.slowdown)
	return res
}

// add adds the outcomes of one trace.
func (r *result) add(trace []arrival, out outcomes) {
	r.submitted += len(trace)
	r.refused += out.refused
	r.expired += out.expired
	best := idealTimes(trace)
	for i, took := range out.response {
		if took == 0 {
			continue
		}
		if deadline := trace[i].sub.DeadlineAt; deadline > 0 && trace[i].at+took <= deadline {
			r.inTime++
		}
		r.ratio = append(r.ratio, float64(took)/float64(best[i]))
		r.slowdown = append(r.slowdown, float64(took)/float64(trace[i].longest()))
		r.mean += took.Seconds()
	}
}

// idealTimes returns the response times with one FIFO queue over the same slots.
func idealTimes(trace []arrival) []time.Duration {
	jobs := make([]ideal.Job, len(trace))
	for i, a := range trace {
		jobs[i] = ideal.Job{At: a.at, Runs: a.runs}
	}
	return ideal.ResponseTimes(jobs, slots)
}

// quantile returns the q-quantile of sorted values, or NaN when there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
