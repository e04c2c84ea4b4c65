package scheduler

import (
	"math"
	"time"
)

// demandMeter is the work of one profile that was accepted lately, by priority, in thousandths of a core
// times seconds, as of at.
type demandMeter struct {
	by [Priorities]float64
	at time.Duration
}

// decay reduces the weight of older work.
func (d *demandMeter) decay(now time.Duration) {
	factor := math.Exp(-(now - d.at).Seconds() / demandWindow.Seconds())
	for i := range d.by {
		d.by[i] *= factor
	}
	d.at = now
}

// recordProfileDemand adds an accepted job to the demand of its profile.
func (p *pool) recordProfileDemand(now time.Duration, j *job) {
	if p.shares == nil {
		return
	}
	d := &p.shares.demand[j.account]
	d.decay(now)
	for _, st := range j.steps[:len(j.sub.Job.Steps)] {
		d.by[priorityOf(j.sub.Queue)] += float64(st.PerTask.CPU) * float64(st.Tasks) * st.expectedRuntime.Seconds()
	}
}

// leftOfProfile returns the share of a profile's processor that its more urgent work leaves to a
// priority.
func (p *pool) leftOfProfile(now time.Duration, account, priority int, entitled int64) float64 {
	d := &p.shares.demand[account]
	d.decay(now)
	urgent := 0.0
	for _, demand := range d.by[:priority] {
		urgent += demand / demandWindow.Seconds()
	}
	return max(1-urgentDemandFactor*urgent/float64(max(entitled, 1)), minCPUShare)
}

// forecastByShares is forecastStart under profiles.
func (s *State) forecastByShares(now time.Duration, j *job) (time.Duration, bool) {
	need := j.initialNeed()
	wait, immediate := s.waitByShares(now, j, need, s.profileCPUAhead(j)+need.total, priorityOf(j.sub.Queue))
	slack := j.latestStart - now - time.Duration(startMarginShare*float64(j.objective-j.arrived))
	if immediate || wait <= slack {
		return wait, true
	}
	s.countProfileRefusal(j)
	return wait, false
}

// waitByShares forecasts how long a job waits if its profile has to start an amount of processor up to
// and including the job. Waiting work of other profiles counts only in so far as it lowers what the
// profile can expect beyond its guarantee. immediate says that the job fits now, or that the capacity is
// unknown: then it is accepted however late it is.
func (s *State) waitByShares(now time.Duration, j *job, need need, amount int64, priority int) (wait time.Duration, immediate bool) {
	p, sh := j.pool, j.pool.shares
	free, rate := p.supply(now, need.each)
	arriving := p.arrivingCPU(need.each)
	here := free + arriving
	if j.canDelegate() {
		_, elsewhere := s.ownerWithMostCapacity(now, j.sub.Queue)
		free += int64(elsewhere.Tasks[priorityOf(j.sub.Queue)]) * need.each
	}
	if arriving+free == 0 && rate == 0 && s.isCapacityUnknown(p) {
		return 0, true
	}
	capacity := sh.capacity + arriving
	underLimit := max(sh.UnderLimit(j.account, capacity), 0)
	// Free capacity does not fit the waiting jobs, so that this job can use it. Arriving capacity is for
	// those that wait already first.
	if need.total <= min(free, underLimit) {
		return 0, true
	}
	usable := min(free+arriving, underLimit)
	rate += float64(free+arriving) / max(float64(j.expectedRuntime())/float64(time.Millisecond), 1)
	entitled := sh.Entitled(j.account, capacity)
	amount -= usable
	// Up to what it can expect, the profile gets the processor that runs of others free. Beyond that it
	// gets what its own runs free. What it can expect is capacity of this owner.
	below := entitled - sh.Used(j.account) - min(usable, here)
	quick := min(max(below, 0), max(amount, 0))
	slow := max(amount, 0) - quick - min(below, 0)
	left := p.leftOfProfile(now, j.account, priority, entitled)
	// Runs on targets that are suspected or reserved free nothing that the job can use.
	open := float64(p.openCPU+arriving) / float64(max(capacity, 1))
	return min(drainTime(quick, rate*left)+drainTime(slow, s.ownRate(j, entitled)*open*left), maxForecast), false
}

// ownRate returns the processor per millisecond that the runs of a job's profile free while they use
// what it can expect. The rate of the whole pool says little of it: the tasks of another profile may be
// much shorter.
func (s *State) ownRate(j *job, entitled int64) float64 {
	sh := j.pool.shares
	used, rate := sh.Used(j.account), max(sh.releaseRate[j.account], 0)
	if used <= 0 || rate == 0 {
		used, rate = 1, 1/max(float64(j.expectedRuntime())/float64(time.Millisecond), 1)
	}
	return rate * float64(entitled) / float64(used)
}

// profileCPUAhead returns the processor that the waiting jobs of a job's profile up to and including the
// job still want.
func (s *State) profileCPUAhead(j *job) int64 {
	total := int64(0)
	for _, other := range s.waiting {
		if compareJobs(other, j) > 0 {
			break
		}
		if other.pool == j.pool && other.account == j.account && !other.ended {
			total += other.notedWaiting
		}
	}
	return total
}

// isUnderLimit reports whether the limit of a job's profile lets one of its tasks start now.
func (s *State) isUnderLimit(j *job) bool {
	sh := j.pool.shares
	return sh == nil || j.initialNeed().each <= sh.UnderLimit(j.account, sh.capacity)
}
