// Package ideal computes the response times that a trace would have without network, overhead
// and faults, with one FIFO queue over all slots. The lab divides measured response times by
// these.
//
// Its input is the arrivals and run times of the jobs and the number of slots, its output a
// response time for each job. Each task takes the slot that is free first.
package ideal

import (
	"container/heap"
	"time"
)

// Job is a set of tasks that arrive together and run in parallel.
type Job struct {
	// At is the arrival, counted from the start of the trace.
	At time.Duration
	// Runs holds the run time of each task.
	Runs []time.Duration
}

// ResponseTimes returns the time from the arrival to the end of the last task of each job. Jobs
// must be sorted by arrival. Without slots it returns nil, since no job would end.
func ResponseTimes(jobs []Job, slots int) []time.Duration {
	if slots < 1 {
		return nil
	}
	free := make(freeTimes, slots)
	times := make([]time.Duration, len(jobs))
	for i, job := range jobs {
		times[i] = free.run(job) - job.At
	}
	return times
}

// freeTimes is a heap of the times at which the slots become free.
type freeTimes []time.Duration

// run assigns each task of the job to the slot that is free first, and returns the end of the
// last one.
func (f freeTimes) run(job Job) time.Duration {
	last := job.At
	for _, run := range job.Runs {
		end := max(job.At, f[0]) + run
		f[0] = end
		heap.Fix(f, 0)
		last = max(last, end)
	}
	return last
}

// Len implements heap.Interface.
func (f freeTimes) Len() int { return len(f) }

// Less implements heap.Interface.
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }

// Swap implements heap.Interface.
func (f freeTimes) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface; the number of slots never changes.
func (f freeTimes) Push(any) { panic("ideal: the number of slots is fixed") }

// Pop implements heap.Interface; the number of slots never changes.
func (f freeTimes) Pop() any { panic("ideal: the number of slots is fixed") }
