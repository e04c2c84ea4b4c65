package scheduler

import (
	"time"
)

// startMarginShare of the objective is by how much a forecast start must be earlier than needed.
// Jobs that turn out late take the capacity of jobs that would be on time.
const startMarginShare = 0.1

// forecastStart estimates how long a job waits for targets, and reports whether to accept it.
func (s *State) forecastStart(now time.Duration, j *job) (time.Duration, bool) {
	switch {
	case j.pool.shares != nil:
		return s.forecastByShares(now, j)
	case s.options.CorrectAdmission:
		return s.correctedForecast(now, j)
	}
	need := j.initialNeed()
	free, rate := j.pool.supply(now, need.each)
	if j.canDelegate() {
		_, elsewhere := s.ownerWithMostCapacity(now, j.sub.Queue)
		free += int64(elsewhere.Tasks[priorityOf(j.sub.Queue)]) * need.each
	}
	// Capacity that is free now does not fit the waiting jobs, so that this job can use it.
	shortfall := need.total - free
	arriving := j.pool.arrivingCPU(need.each)
	if shortfall <= 0 || arriving+free == 0 && rate == 0 && s.isCapacityUnknown(j.pool) {
		return 0, true
	}
	// Tasks that start at once free their processor again when they end.
	rate += float64(free+arriving) / max(float64(j.expectedRuntime())/float64(time.Millisecond), 1)
	rate *= j.pool.shareLeft(now, priorityOf(j.sub.Queue))
	wait := drainTime(s.cpuAhead(j)+shortfall-arriving, rate)
	slack := j.latestStart - now - time.Duration(startMarginShare*float64(j.objective-j.arrived))
	return wait, wait <= slack
}

// drainTime returns how long it takes until an amount of processor is freed at a rate per
// millisecond.
func drainTime(amount int64, rate float64) time.Duration {
	switch {
	case amount <= 0:
		return 0
	case rate <= 0:
		return maxForecast
	}
	return min(time.Duration(float64(amount)/rate*float64(time.Millisecond)), maxForecast)
}

// isCapacityUnknown reports whether it is not known yet what the targets can take.
func (s *State) isCapacityUnknown(p *pool) bool {
	return !s.registryRead || !s.cordon.known || p.hasUnusableTargets()
}

// maxForecast bounds the forecast waits that callers and other VMs get.
const maxForecast = 10 * time.Second

// need is the processor that a job wants at its start, in thousandths of a core: each is that of
// its largest task, total that of all tasks that can start at once.
type need struct{ each, total int64 }

func (j *job) initialNeed() need {
	if len(j.steps) == 1 && j.stepsDue == 1 {
		st := j.steps[0]
		return need{each: st.PerTask.CPU, total: st.PerTask.CPU * int64(len(st.pending))}
	}
	var n need
	for _, st := range j.currentSteps() {
		if j.isReady(st) {
			n.each = max(n.each, st.PerTask.CPU)
			n.total += st.PerTask.CPU * int64(len(st.pending))
		}
	}
	return n
}

// cpuAhead returns the processor that the waiting jobs up to and including a job still want.
func (s *State) cpuAhead(j *job) int64 {
	total := int64(0)
	for _, other := range s.waiting {
		if compareJobs(other, j) > 0 {
			break
		}
		if other.pool == j.pool && !other.ended {
			total += other.initialNeed().total
		}
	}
	return total
}

// expectedMillis returns the expected run time on the run's target, in milliseconds.
func (r *run) expectedMillis() float64 {
	return max(float64(r.expected)/float64(time.Millisecond)*max(r.target.health.speed, 1), 1)
}
