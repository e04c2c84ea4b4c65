package entry

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
)

// Candidate is an owner that could run a job.
type Candidate struct {
	Group string
	Owner heartbeat.Owner
	// Near says that the owner is in this VM's failure domain.
	Near bool
	// Self says that the owner runs in this process.
	Self bool
	// Wait is the forecast wait of jobs of the same priority.
	Wait time.Duration
	// FreeShare is the share of the processor capacity of the owner's targets that is free.
	FreeShare float64
	// HasRefused says that the owner has refused this job already.
	HasRefused bool
	// Unconfirmed says that the owner has not answered for more than unconfirmedAfter, but is not
	// considered lost yet.
	Unconfirmed bool
	// HasReport says that the owner has reported its load for the job's service.
	HasReport bool
	// AnswerTime is how long answers of targets take until the owner reads them; 0 if it doesn't
	// report that.
	AnswerTime time.Duration
	View       heartbeat.View
}

// Parameters of the choice.
const (
	// farPenalty is by how much a far owner's wait must be shorter than a near owner's: its
	// forecast may be one heartbeat interval old, and other VMs act on it as well.
	farPenalty = 25 * time.Millisecond
	// minFarFreeShare is the free share from which a far owner counts as having free capacity.
	minFarFreeShare = 0.1
	// unconfirmedAfter is how long an owner may be silent and still get new jobs: two heartbeats
	// in a row may be lost. Jobs sent to an owner that has died are lost with it, and it takes
	// heartbeat.SilenceTimeout until its death is certain.
	unconfirmedAfter = 125 * time.Millisecond
)

// Choose returns the index of the owner to ask, or -1. It prefers owners that are not Unconfirmed.
// Draw is a random number from 0 to 1, which keeps a share of the jobs near: otherwise all VMs
// would send to the same far owner at the same time.
func Choose(candidates []Candidate, draw float64) int {
	if confirmed := chooseAmong(candidates, draw, false); confirmed >= 0 {
		return confirmed
	}
	return chooseAmong(candidates, draw, true)
}

// chooseAmong returns the index of the best candidate whose Unconfirmed equals the argument, or -1.
func chooseAmong(candidates []Candidate, draw float64, unconfirmed bool) int {
	best := -1
	for i, c := range candidates {
		if c.HasRefused || c.Unconfirmed != unconfirmed {
			continue
		}
		if best < 0 || c.cost() < candidates[best].cost() {
			best = i
		}
	}
	if best < 0 || candidates[best].Near {
		return best
	}
	for i, c := range candidates {
		if c.Near && !c.HasRefused && c.Unconfirmed == unconfirmed && (candidates[best].FreeShare < minFarFreeShare || draw < nearShare) {
			return i
		}
	}
	return best
}

// nearShare is the share of the jobs that stay near even when a far owner has free capacity.
const nearShare = 0.3

// cost returns the forecast wait by which candidates are compared.
func (c Candidate) cost() time.Duration {
	if c.Near {
		return c.Wait
	}
	return c.Wait + farPenalty
}

// setLoad sets the wait and the free share of a service from the loads in an owner's heartbeat.
func (c *Candidate) setLoad(loads []*linkpb.Load, service string, priority int) {
	for _, load := range loads {
		if load.GetGroup() != c.Group || load.GetService() != service {
			continue
		}
		c.HasReport, c.AnswerTime = true, time.Duration(load.GetAnswerUs())*time.Microsecond
		if waits := load.GetWaitUs(); len(waits) > 0 {
			at := min(max(priority, 0), len(waits)-1)
			c.Wait = time.Duration(waits[at]) * time.Microsecond
		}
		if load.GetCpu() > 0 {
			c.FreeShare = float64(load.GetFreeCpu()) / float64(load.GetCpu())
		}
	}
}
