// Package entry takes jobs from callers and has them run by an owner of targets,
// the nearest one unless another has a place sooner.
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
	// Near owners are in this VM's failure domain.
	Near bool
	// Self is this VM.
	Self bool
	// Wait is the forecast wait of jobs of the same priority.
	Wait time.Duration
	// Free is the share of its processor that is free.
	Free float64
	// Full says that the owner has refused this job already.
	Full bool
	// Doubted says that the owner's answers have stayed out, though it isn't given up yet.
	Doubted bool
	View    heartbeat.View
}

// Figures of the choice.
const (
	// farPenalty is what a far owner's wait must be shorter by: its forecast is an
	// interval of heartbeats old, and other VMs see it as well.
	farPenalty = 25 * time.Millisecond
	// farFree is the free share at which a far owner counts as having room.
	farFree = 0.1
	// doubtTime is how long an owner may be silent and get new jobs: two heartbeats in a row
	// may be lost. What is sent to one that has died is lost with it, and it takes
	// heartbeat.Silence to be sure of that.
	doubtTime = 125 * time.Millisecond
)

// Choose returns the index of the owner to ask, or -1. Draw is a random number
// from 0 to 1: when owners elsewhere have room, only some of the VMs turn to them
// at a time. Doubted owners are asked where there are no others.
func Choose(candidates []Candidate, draw float64) int {
	if trusted := choose(candidates, draw, false); trusted >= 0 {
		return trusted
	}
	return choose(candidates, draw, true)
}

// choose chooses among those that are doubted, or are not.
func choose(candidates []Candidate, draw float64, doubted bool) int {
	best := -1
	for i, c := range candidates {
		if c.Full || c.Doubted != doubted {
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
		if c.Near && !c.Full && c.Doubted == doubted && (candidates[best].Free < farFree || draw < stayShare) {
			return i
		}
	}
	return best
}

// stayShare of the jobs stay near even where an owner elsewhere has room.
const stayShare = 0.3

func (c Candidate) cost() time.Duration {
	if c.Near {
		return c.Wait
	}
	return c.Wait + farPenalty
}

// measure fills in the load of a service from an owner's heartbeat.
func (c *Candidate) measure(loads []*linkpb.Load, service string, priority int) {
	for _, load := range loads {
		if load.GetGroup() != c.Group || load.GetService() != service {
			continue
		}
		if waits := load.GetWaitUs(); len(waits) > 0 {
			at := min(max(priority, 0), len(waits)-1)
			c.Wait = time.Duration(waits[at]) * time.Microsecond
		}
		if load.GetCpu() > 0 {
			c.Free = float64(load.GetFreeCpu()) / float64(load.GetCpu())
		}
	}
}
