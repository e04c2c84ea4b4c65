package scheduler

import (
	"slices"
	"time"
)

// The corrected forecast (Options.CorrectAdmission) differs from forecastStart in four points. More
// urgent work is subtracted in the unit of the drain rate. Processor that is freed where the job's
// largest task doesn't fit doesn't count for it. Accepted jobs that can't give way go first,
// whatever their place in the queue. A margin learned from outcomes is kept.

// correctedForecast estimates how long a job waits for targets, and reports whether to accept it.
func (s *State) correctedForecast(now time.Duration, j *job) (time.Duration, bool) {
	need := j.initialNeed()
	free, rate := j.pool.supply(now, need.each)
	free += s.fittingElsewhere(now, j, need)
	arriving := j.pool.arrivingCPU(need.each)
	shortfall := need.total - free
	if shortfall <= 0 {
		j.forecast = forecast{made: true, slack: j.forecastSlack(now)}
		return 0, true
	}
	if arriving+free == 0 && rate == 0 && s.isCapacityUnknown(j.pool) {
		return 0, true
	}
	// Tasks that start at once free their processor again when they end.
	rate += float64(free+arriving) / max(float64(j.expectedRuntime())/float64(time.Millisecond), 1)
	rates := j.pool.ratesLeft(now, rate)
	left := rates[priorityOf(j.sub.Queue)]
	ahead := s.reservedAhead(now, j, need, &rates)
	fits := j.pool.fits.share(need.each)
	fits += (1 - fits) * (1 - ahead.refillShare(rate, j.latestStart-now))
	large := ahead.larger + shortfall - arriving
	// Smaller tasks get what the larger ones leave of the arriving processor.
	small := ahead.smaller + min(large, 0)
	wait := min(drainTime(small, left)+drainTime(large, left*fits), maxForecast)
	j.forecast = forecast{made: true, wait: wait, slack: j.forecastSlack(now)}
	return wait, s.outcomes.accepts(now, j)
}

// forecastSlack returns how long a job may wait by forecast.
func (j *job) forecastSlack(now time.Duration) time.Duration {
	return j.latestStart - now - time.Duration(startMarginShare*float64(j.objective-j.arrived))
}

// fittingElsewhere returns the free processor of another owner that a job can use. Free capacity is
// reported in tasks of typical size; it holds fewer of larger tasks. An owner that has accepted no job
// yet knows no typical size and takes the number as it is.
func (s *State) fittingElsewhere(now time.Duration, j *job, need need) int64 {
	if !j.canDelegate() {
		return 0
	}
	_, elsewhere := s.ownerWithMostCapacity(now, j.sub.Queue)
	tasks := float64(elsewhere.Tasks[priorityOf(j.sub.Queue)])
	if j.pool.typicalCPU > 0 {
		tasks *= min(j.pool.typicalCPU/float64(max(need.each, 1)), 1)
	}
	return int64(tasks) * need.each
}

// aheadCPU is the processor that goes to other waiting jobs before a new one: smaller in jobs whose
// largest task is smaller than that of the new job, larger in the others. waitingSmaller is what
// smaller tasks want that could start at once, before it or after.
type aheadCPU struct{ smaller, larger, waitingSmaller int64 }

// refillFactor: smaller tasks that want a fifth of what is freed while a job may wait keep taking, with
// those that arrive meanwhile, what is too small for the job. Without them it adds up until it fits.
const refillFactor = 5

// refillShare returns the share of the freed processor too small for a job that smaller tasks take,
// while it waits for a time.
func (a aheadCPU) refillShare(rate float64, wait time.Duration) float64 {
	freed := rate * float64(max(wait, time.Millisecond)) / float64(time.Millisecond)
	return min(refillFactor*float64(a.waitingSmaller)/max(freed, 1), 1)
}

// maxJobsCounted bounds the waiting jobs that one forecast looks at, and so its cost. Those behind them
// count like their mean, as far as they go before the new job or take what is too small for it.
const maxJobsCounted = 256

// reservedAhead returns what goes before a new job: the waiting jobs before it in the queue, and those
// of other queues that could not give way and still be in time.
func (s *State) reservedAhead(now time.Duration, j *job, need need, rates *[Priorities]float64) aheadCPU {
	var found aheadCPU
	total := need.total
	before, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
	counted := min(len(s.waiting), maxJobsCounted)
	for i, other := range s.waiting[:counted] {
		if other.pool != j.pool || other.ended {
			continue
		}
		wants := other.initialNeed()
		total += wants.total
		if wants.each < need.each {
			found.waitingSmaller += s.startableCPU(now, other, wants)
		}
		if i >= before && (other.canGiveWay(now, drainTime(total, rates[priorityOf(other.sub.Queue)])) ||
			other.sub.Queue.Name == j.sub.Queue.Name) {
			continue
		}
		if wants.each < need.each {
			found.smaller += wants.total
		} else {
			found.larger += wants.total
		}
	}
	return found.scaled(counted, before, len(s.waiting))
}

// scaled returns what all jobs want if the counted ones are like the others. Where the new job has its
// place among the counted ones, none of the others goes before it.
func (a aheadCPU) scaled(counted, before, waiting int) aheadCPU {
	if before > counted {
		a.smaller = a.smaller * int64(before) / int64(counted)
		a.larger = a.larger * int64(before) / int64(counted)
	}
	if waiting > counted {
		a.waitingSmaller = a.waitingSmaller * int64(waiting) / int64(counted)
	}
	return a
}

// startableCPU returns the processor that a waiting job would take if targets had it free. Late jobs
// are mostly refused before they take any.
func (s *State) startableCPU(now time.Duration, j *job, wants need) int64 {
	if j.late || !s.mayStartNow(now, j) {
		return 0
	}
	if !j.isDurable() && !j.sub.Queue.RequiresAdvice {
		return wants.total
	}
	total := int64(0)
	for _, st := range j.currentSteps() {
		if j.isReady(st) {
			total += st.PerTask.CPU * int64(st.countStartable(now))
		}
	}
	return total
}

// countStartable returns how many pending tasks of a step wait for nothing but a target.
func (st *step) countStartable(now time.Duration) int {
	if st.advice != nil && now >= st.advice.ticketsUntil {
		return 0
	}
	if !st.Lasting {
		return len(st.pending)
	}
	count := 0
	for _, tk := range st.pending {
		if now >= tk.notBefore {
			count++
		}
	}
	return count
}

// canGiveWay reports whether a waiting job is still in time after a wait, or need not be: late jobs
// have their place behind others, and durable jobs are not refused however long they wait.
func (j *job) canGiveWay(now, wait time.Duration) bool {
	return j.late || j.useless || j.isDurable() || now+wait <= j.latestStart
}

// arrivalPrior is the number of recent arrivals of which half counts.
const arrivalPrior = 8

// ratesLeft returns, by priority, how much of the rate at which processor is freed the more urgent
// work leaves, estimated from what arrived recently. Urgent work takes the places that runs free,
// whether its own or others', so that its arrivals are subtracted and not its share of the processor.
// A few arrivals say little of the rate of the next ones and count less.
func (p *pool) ratesLeft(now time.Duration, rate float64) [Priorities]float64 {
	p.decayDemand(now)
	var rates [Priorities]float64
	left := rate
	for priority := range rates {
		rates[priority] = max(left, rate*minCPUShare)
		weight := p.arrivedJobs[priority] / (p.arrivedJobs[priority] + arrivalPrior)
		left -= weight * p.arrivedCPU[priority] / float64(demandWindow/time.Millisecond)
	}
	return rates
}
