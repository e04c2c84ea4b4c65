// Package load draws a trace of jobs, submits them to entry VMs and checks the responses against
// the starts that the targets recorded.
//
// Trace draws the jobs from a seed and a Mix, Run submits them and returns a Result, and Check
// returns the violations of the callers' guarantees in that result.
//
// The load is open loop: each job is sent at its time in the trace, however long earlier responses
// take, and response times count from that intended time.
package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockward/burdockward/lab/ideal"
)

// Task is one task of a job.
type Task struct {
	// Run is the true run time, a whole number of milliseconds.
	Run time.Duration
	// Expected is the caller's estimate of the run time, often far off.
	Expected time.Duration
	// Padding makes the result larger, in bytes.
	Padding int
}

// Job is one piece of work of a caller. It becomes one submission, or several when the caller
// submits it again after a refusal.
type Job struct {
	// At is the intended time of sending, counted from the start of the run.
	At time.Duration
	// Profile names the profile that the service picked.
	Profile string
	// Domain and VM are the indexes of the failure domain and of the entry VM
	// that the balancer picks first.
	Domain, VM int
	// Idempotent marks a job that may be submitted again under a new key.
	Idempotent bool
	// Duplicated jobs are sent to two VMs at the same time under one key.
	Duplicated bool
	Tasks      []Task
}

// Work is the sum of the run times of the tasks.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t.Run
	}
	return sum
}

// TraceParams describes the trace of one failure domain.
type TraceParams struct {
	// Seed fixes the trace: the same parameters give the same trace.
	Seed uint64
	Mix  Mix
	// Domain is the index of the failure domain, and VMs the number of its
	// entry VMs.
	Domain, VMs int
	// Slots is the number of slots of the failure domain's targets.
	Slots int
	// Load is the fraction of the slots that the trace keeps busy. A value above 1 is overload.
	Load float64
	// Length is the time over which jobs arrive.
	Length time.Duration
	// Uneven sends UnevenShare of the jobs to the first VM, and the others to the rest.
	Uneven bool
	// Duplicates is the fraction of jobs that are sent to two VMs at once.
	Duplicates float64
	// MaxJobs bounds the number of jobs.
	MaxJobs int
}

// UnevenShare is the share of the first VM in an uneven trace.
const UnevenShare = 0.7

// Trace draws the jobs of one failure domain, sorted by intended time of sending.
//
// It draws jobs until their run times fill the fraction Load of the slots over Length. Arrivals are
// independent and uniform over Length: a Poisson process conditioned on its count. So even a short
// trace has the load asked for, without the variance that a fixed arrival rate would add.
func Trace(p TraceParams) ([]Job, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(p.Seed, uint64(p.Domain)))
	want := time.Duration(p.Load * float64(p.Slots) * float64(p.Length))
	var jobs []Job
	for work := time.Duration(0); work < want; {
		if len(jobs) == p.MaxJobs {
			return nil, fmt.Errorf("the trace needs more than %d jobs: raise the bound, or lower the load, the slots or the length", p.MaxJobs)
		}
		job := p.drawJob(rng)
		work += job.Work()
		jobs = append(jobs, job)
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return jobs, nil
}

func (p *TraceParams) check() error {
	if p.VMs < 1 || p.Slots < 1 || p.Length <= 0 || p.Load <= 0 {
		return fmt.Errorf("a trace needs VMs, slots, a length and a load above 0: got %d VMs, %d slots, %v, %g", p.VMs, p.Slots, p.Length, p.Load)
	}
	return p.Mix.check()
}

// drawJob draws one job: its class, arrival time, entry VM and tasks.
func (p *TraceParams) drawJob(rng *rand.Rand) Job {
	class := p.Mix.pickClass(rng)
	job := Job{
		At:         time.Duration(rng.Float64() * float64(p.Length)),
		Profile:    class.Profile,
		Domain:     p.Domain,
		VM:         p.pickVM(rng),
		Idempotent: class.Idempotent,
		Duplicated: rng.Float64() < p.Duplicates,
		Tasks:      make([]Task, class.drawTaskCount(rng)),
	}
	for i := range job.Tasks {
		job.Tasks[i] = class.drawTask(rng)
	}
	return job
}

// pickVM draws the entry VM to which a job is sent first.
func (p *TraceParams) pickVM(rng *rand.Rand) int {
	if !p.Uneven || p.VMs == 1 {
		return rng.IntN(p.VMs)
	}
	if rng.Float64() < UnevenShare {
		return 0
	}
	return 1 + rng.IntN(p.VMs-1)
}

// Traces draws a trace for each of several failure domains, each with the slots and VMs of p, and
// merges them by intended time of sending.
func Traces(p TraceParams, domains int) ([]Job, error) {
	var all []Job
	for p.Domain = range domains {
		jobs, err := Trace(p)
		if err != nil {
			return nil, err
		}
		all = append(all, jobs...)
	}
	slices.SortStableFunc(all, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// Ideal returns the response time that each job would have with a single FIFO queue over the slots
// of its failure domain. Jobs for which skip returns true are left out and get 0.
func Ideal(jobs []Job, slots int, skip func(i int) bool) []time.Duration {
	times := make([]time.Duration, len(jobs))
	for _, indexes := range byDomain(jobs, skip) {
		queue := make([]ideal.Job, len(indexes))
		for k, i := range indexes {
			queue[k] = ideal.Job{At: jobs[i].At, Runs: runTimes(&jobs[i])}
		}
		for k, d := range ideal.ResponseTimes(queue, slots) {
			times[indexes[k]] = d
		}
	}
	return times
}

// byDomain returns the indexes of the jobs that are not skipped, by failure domain.
func byDomain(jobs []Job, skip func(i int) bool) map[int][]int {
	indexes := make(map[int][]int)
	for i := range jobs {
		if skip == nil || !skip(i) {
			indexes[jobs[i].Domain] = append(indexes[jobs[i].Domain], i)
		}
	}
	return indexes
}

// runTimes returns the run times of the job's tasks.
func runTimes(j *Job) []time.Duration {
	out := make([]time.Duration, len(j.Tasks))
	for i, t := range j.Tasks {
		out[i] = t.Run
	}
	return out
}

// lognormal draws from the lognormal distribution with this median; sigma is the standard deviation
// of the logarithm.
func lognormal(rng *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*rng.NormFloat64())
}
