package orders

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/profile"
)

// The steady load and the burst.
const (
	steadyName = "steady"
	steadyJobs = 8000
	steadyMost = 20 // tasks of a job
	steadyLoad = 0.3
	burstName  = "burst"
	burstTasks = 50 // of each job
	burstAt    = 10 * time.Second
	burstTime  = 20 * time.Second // for which the burst's tasks fill all slots
)

// burstCase is a load in which the delays of the steady jobs are measured.
type burstCase struct {
	name string
	// burst adds the burst to the steady load.
	burst bool
	// shared submits both loads under the steady profile.
	shared bool
}

// The cases that are compared.
var (
	caseAlone  = burstCase{name: "alone"}
	caseBeside = burstCase{name: "beside the burst", burst: true}
	caseShared = burstCase{name: "in one queue with the burst", burst: true, shared: true}
)

// delays returns the delays of the steady jobs that arrived in the 20 s after the burst, sorted. A
// delay is the response time beyond the job's longest task, in milliseconds.
func (c burstCase) delays(seed uint64) []float64 {
	trace := c.trace(seed)
	steady := profile.Profile{Name: steadyName, Urgency: 5, GuaranteedSlots: 80, QueueTasks: unbounded, DeadlineMS: farDeadlineMS}
	bursty := profile.Profile{Name: burstName, Urgency: 5, GuaranteedSlots: 16, QueueTasks: unbounded, DeadlineMS: farDeadlineMS}
	s := admission.New(admission.Config{MaxQueuedTasks: unbounded})
	s.SetProfiles(0, []profile.Profile{steady, bursty}, nil)
	out := drive(s, trace, slots)
	var delays []float64
	for i, a := range trace {
		if a.profile == steadyName && a.at >= burstAt && a.at < burstAt+burstTime {
			delay := out.response[i] - a.longest()
			delays = append(delays, float64(delay)/float64(time.Millisecond))
		}
	}
	slices.Sort(delays)
	return delays
}

// trace returns the arrivals of the steady load and, if the case has it, of the burst.
func (c burstCase) trace(seed uint64) []arrival {
	trace := makeTrace(traceOptions{seed: seed, profile: steadyName, jobs: steadyJobs, most: steadyMost, slots: slots, load: steadyLoad})
	if !c.burst {
		return trace
	}
	trace = append(trace, burstJobs(seed)...)
	slices.SortStableFunc(trace, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	if c.shared {
		for i := range trace {
			trace[i].sub.Profile = steadyName
		}
	}
	return trace
}

// burstJobs draws jobs that all arrive at burstAt and fill all slots for burstTime.
func burstJobs(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, streamBurst))
	var jobs []arrival
	var work time.Duration
	for work < burstTime*slots {
		runs := jobRuns(r, burstTasks)
		a := newArrival(r, fmt.Sprint(burstName, len(jobs)), burstName, runs)
		a.at = burstAt
		jobs = append(jobs, a)
		work += a.work()
	}
	return jobs
}
