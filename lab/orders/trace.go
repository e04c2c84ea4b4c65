package orders

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockward/burdockward/admission"
)

// Streams of random numbers from one seed, so that each use draws independently.
const (
	streamJobs      = 1
	streamDeadlines = 2
	streamBurst     = 3
)

// arrival is one submission of a trace.
type arrival struct {
	at      time.Duration
	profile string
	runs    []time.Duration // true run times
	sub     admission.Submission
}

// longest returns the longest run time: the response time of the submission in an empty system.
func (a arrival) longest() time.Duration { return slices.Max(a.runs) }

// work returns the sum of the run times of all tasks.
func (a arrival) work() time.Duration {
	var work time.Duration
	for _, ran := range a.runs {
		work += ran
	}
	return work
}

// newArrival returns the arrival at 0 of a submission with declared run times.
func newArrival(r *rand.Rand, id, profileName string, runs []time.Duration) arrival {
	return arrival{
		profile: profileName,
		runs:    runs,
		sub: admission.Submission{
			ID:      admission.ID(id),
			Profile: profileName,
			Tasks:   declare(r, runs),
		},
	}
}

// traceOptions describes a trace.
type traceOptions struct {
	seed    uint64
	profile string
	jobs    int
	// most is the largest number of tasks of a job.
	most  int
	slots int
	// load is the fraction of the slots that the jobs keep busy.
	load float64
}

// makeTrace draws jobs and their Poisson arrivals. The rate of arrivals follows from the jobs' run
// times and the load.
func makeTrace(o traceOptions) []arrival {
	r := rand.New(rand.NewPCG(o.seed, streamJobs))
	trace := make([]arrival, o.jobs)
	var work time.Duration
	for i := range trace {
		runs := jobRuns(r, jobTasks(r, o.most))
		trace[i] = newArrival(r, fmt.Sprint(o.seed, "-", i), o.profile, runs)
		work += trace[i].work()
	}
	gap := work.Seconds() / float64(o.jobs) / (float64(o.slots) * o.load)
	var at float64
	for i := range trace {
		at += gap * r.ExpFloat64()
		trace[i].at = seconds(at)
	}
	return trace
}

// setDeadlines gives each submission a deadline of 5, 10 or 30 s.
func setDeadlines(trace []arrival, seed uint64) {
	r := rand.New(rand.NewPCG(seed, streamDeadlines))
	choices := []time.Duration{5 * time.Second, 10 * time.Second, 30 * time.Second}
	for i := range trace {
		trace[i].sub.DeadlineAt = trace[i].at + choices[r.IntN(len(choices))]
	}
}

// jobTasks draws a number of tasks from 1 to most, with small numbers more frequent.
func jobTasks(r *rand.Rand, most int) int {
	return int(math.Exp(r.Float64() * math.Log(float64(most+1))))
}

// jobRuns draws the true run times of one job's n tasks. They are within a factor of two of each
// other, from 50 ms to 1 s, or for one job in fifty from 2 to 6 s.
func jobRuns(r *rand.Rand, n int) []time.Duration {
	base := 0.07 * math.Exp(r.Float64()*math.Log(0.7/0.07))
	if r.IntN(50) == 0 {
		base = 3 + r.Float64()
	}
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = seconds(base * math.Exp((r.Float64()*2-1)*math.Log(1.42)))
	}
	return runs
}

// declare draws the declared run times of one job: none (zeros) for a third of the jobs, otherwise
// the true ones times a factor from 1/8 to 8, one factor for each job.
func declare(r *rand.Rand, runs []time.Duration) []time.Duration {
	declared := make([]time.Duration, len(runs))
	if r.IntN(3) == 0 {
		return declared
	}
	factor := math.Exp((r.Float64()*2 - 1) * math.Log(8))
	for i := range runs {
		declared[i] = time.Duration(factor * float64(runs[i]))
	}
	return declared
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
