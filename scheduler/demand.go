package scheduler

import (
	"math"
	"time"
)

// typicalWeight is the weight of the newest job in the moving average of needs.
const typicalWeight = 0.05

// demandWindow is the time over which the demand of each priority is averaged: some tens of a
// failure domain's jobs, and a fraction of a burst.
const demandWindow = 400 * time.Millisecond

// urgentDemandFactor is how much of the more urgent demand counts. Most of it goes first, as
// waiting jobs gain urgency only slowly.
const urgentDemandFactor = 0.75

// minCPUShare is the least share that a priority gets in forecasts, however much goes before it:
// its jobs gain urgency as they wait.
const minCPUShare = 0.1

// recordDemand updates the averages of needs and demand with an accepted job.
func (p *pool) recordDemand(now time.Duration, j *job) {
	if j.steps[0].Background {
		return
	}
	cpu := float64(max(j.steps[0].PerTask.CPU, 1))
	if p.typicalCPU == 0 {
		p.typicalCPU = cpu
	}
	p.typicalCPU += typicalWeight * (cpu - p.typicalCPU)
	p.decayDemand(now)
	p.recordProfileDemand(now, j)
	for _, st := range j.steps[:len(j.sub.Job.Steps)] {
		p.arrivedJobs[priorityOf(j.sub.Queue)]++
		p.arrivedCPU[priorityOf(j.sub.Queue)] += float64(st.PerTask.CPU) * float64(st.Tasks)
		p.demand[priorityOf(j.sub.Queue)] += float64(st.PerTask.CPU) * float64(st.Tasks) * st.expectedRuntime.Seconds()
	}
}

// decayDemand reduces the weight of older demand.
func (p *pool) decayDemand(now time.Duration) {
	factor := math.Exp(-(now - p.demandAt).Seconds() / demandWindow.Seconds())
	for i := range p.demand {
		p.demand[i] *= factor
		p.arrivedCPU[i] *= factor
		p.arrivedJobs[i] *= factor
	}
	p.demandAt = now
}

// shareLeft returns the share of the processor that more urgent work leaves to a priority,
// estimated from recent demand: urgent work goes first even when it comes later.
func (p *pool) shareLeft(now time.Duration, priority int) float64 {
	p.decayDemand(now)
	urgent := 0.0
	for _, demand := range p.demand[:priority] {
		urgent += demand / demandWindow.Seconds()
	}
	if p.openCPU == 0 {
		return minCPUShare
	}
	return max(1-urgentDemandFactor*urgent/float64(p.openCPU), minCPUShare)
}
