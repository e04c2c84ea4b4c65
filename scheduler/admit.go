package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Submit accepts a job, or answers at once why it is not run.
func (s *State) Submit(now time.Duration, sub Submission) {
	if s.isSuperseded(now, sub) {
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "the job was asked for again"})
		return
	}
	if s.wasGivenUp(now, sub) {
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "its entry VM has given it up"})
		return
	}
	if sub.isStale(now) {
		s.answer(sub, work.Outcome{Result: work.Moved, Reason: "the request waited too long at this VM"})
		return
	}
	s.admit(now, sub)
}

// admit accepts a job, or answers at once why it is not run. Unlike Submit it does not check
// whether a later request replaced this one.
func (s *State) admit(now time.Duration, sub Submission) {
	if s.leaving {
		s.answer(sub, work.Outcome{Result: work.Moved, Reason: "another VM orders the targets"})
		return
	}
	if j := s.jobsByKey[sub.key()]; j != nil {
		switch {
		case j.isDurable():
			s.attachDurable(j, sub)
		case !slices.Equal(j.sub.Part, sub.Part):
			s.answer(sub, work.Outcome{Result: work.Refused, Reason: "another part of the job runs here"})
		default:
			s.emit(Count{"jobs_seen_again", "present"})
			s.attachCaller(now, j, sub)
		}
		return
	}
	if reason, poisoned := s.poisonedReason(sub); poisoned {
		s.answer(sub, work.Outcome{Result: work.Failed, Reason: reason})
		return
	}
	if s.cordon.isCordoned() {
		s.answer(sub, work.Outcome{Result: work.Refused, Reason: cordonedReason, RetryAfter: cordonedRetryAfter})
		return
	}
	j := s.newJob(now, sub)
	if why := s.unservableReason(j); why != "" {
		s.answer(sub, work.Outcome{Result: work.Refused, Reason: why, RetryAfter: unservableRetryAfter})
		return
	}
	if sub.Part != nil {
		if !s.canTakePart(now, j) {
			s.answer(sub, work.Outcome{Result: work.Refused, Reason: "no room for a part"})
			return
		}
	} else if wait, ok := s.forecastStart(now, j); !ok {
		s.refuse(now, j, wait)
		return
	}
	j.pool.recordDemand(now, j)
	j.record(now, "taken", "", "", s.describeLoad(j))
	s.noteSeenAgain(now, j)
	s.jobs[sub.Ref] = j
	s.jobsByKey[sub.key()] = j
	s.addOpen(j)
	if s.restoreLosses(now, j); j.ended {
		return
	}
	if j.isDurable() {
		s.store(j)
		return
	}
	s.enqueue(j)
}

// unservableRetryAfter is when a caller may retry a job that no known target can run.
const unservableRetryAfter = 5 * time.Second

func (s *State) answer(sub Submission, outcome work.Outcome) {
	s.emit(Answer{Ref: sub.Ref, Outcome: outcome})
}

// attachCaller connects a running job to the caller that sent it again; that caller has given up
// its earlier request.
func (s *State) attachCaller(now time.Duration, j *job, sub Submission) {
	s.answer(j.sub, work.Outcome{Result: work.Unknown, Reason: "the job was sent again"})
	delete(s.jobs, j.sub.Ref)
	if j.queued {
		at, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
		s.waiting = slices.Delete(s.waiting, at, at+1)
		j.queued = false
	}
	if j.sub.Request != sub.Request {
		j.askedAgain = 0
	}
	j.sub.Ref, j.sub.Entry, j.sub.Origin, j.sub.Request = sub.Ref, sub.Entry, sub.Origin, sub.Request
	j.deadline = 0
	if sub.Wait > 0 {
		j.deadline = now - sub.Age + sub.Wait
	}
	s.jobs[sub.Ref] = j
	s.enqueue(j)
}

// RegistryRead records that the whole registry was read: a target not known now does not exist.
func (s *State) RegistryRead() { s.registryRead = true }

// unservableReason returns why no known target can ever run a job; empty if one can.
func (s *State) unservableReason(j *job) string {
	if !s.registryRead {
		return ""
	}
	if len(j.pool.targets) == 0 {
		return "no target of the service is known"
	}
	for _, st := range j.steps[:len(j.sub.Job.Steps)] {
		if !j.pool.canFit(st) {
			return "no target can hold one of its tasks: ask for less"
		}
		if st.Gang && !j.pool.canHoldGang(st) {
			return "the targets can't hold all tasks of a gang at once: ask for less"
		}
	}
	return s.profileLimitReason(j)
}

// describeLoad describes how busy the targets are, for job histories.
func (s *State) describeLoad(j *job) string {
	return fmt.Sprintf("%d jobs wait, needs %d of cpu, entry %s", len(s.waiting), j.initialNeed().total, j.sub.Entry)
}

func (s *State) refuse(now time.Duration, j *job, wait time.Duration) {
	j.record(now, "refused", "", "", fmt.Sprintf("forecast wait %v, slack %v, %s",
		wait.Round(time.Millisecond), (j.latestStart-now).Round(time.Millisecond), s.describeLoad(j)))
	outcome := work.Outcome{Result: work.Refused, Reason: "too much work waits", RetryAfter: wait}
	s.logHistory(now, j, outcome)
	s.answer(j.sub, outcome)
}

// startMarginShare of the objective is by how much a forecast start must be earlier than needed.
// Jobs that turn out late take the capacity of jobs that would be on time.
const startMarginShare = 0.1

// forecastStart estimates how long a job waits for targets, and reports whether to accept it.
func (s *State) forecastStart(now time.Duration, j *job) (time.Duration, bool) {
	if j.pool.shares != nil {
		return s.forecastByShares(now, j)
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

// refuseLate refuses a late job that, behind all jobs that can still be on time, would not start
// while its answer is of any use. So its caller need not wait until the end of that time for a
// refusal.
func (s *State) refuseLate(now time.Duration, j *job) {
	if j.isDurable() || j.sub.Part != nil {
		return
	}
	need := j.initialNeed()
	free, rate := j.pool.supply(now, need.each)
	if rate == 0 && s.isCapacityUnknown(j.pool) {
		return
	}
	// The job itself is among the waiting ones that cpuAhead counts.
	wait := drainTime(s.cpuAhead(j)-free-j.pool.arrivingCPU(need.each), rate*j.pool.shareLeft(now, Priorities))
	if j.pool.shares != nil {
		wait, _ = s.waitByShares(now, j, need, s.profileCPUAhead(j), Priorities)
	}
	if wait <= j.usefulUntil-j.expectedRuntime()-now {
		return
	}
	outcome := j.giveUpOutcome("late, and too much work goes first")
	outcome.RetryAfter = wait
	s.countProfileRefusal(j)
	s.finish(now, j, outcome)
}

// maxForecast bounds the forecast waits that callers and other VMs get.
const maxForecast = 10 * time.Second

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
		p.demand[priorityOf(j.sub.Queue)] += float64(st.PerTask.CPU) * float64(st.Tasks) * st.expectedRuntime.Seconds()
	}
}

// decayDemand reduces the weight of older demand.
func (p *pool) decayDemand(now time.Duration) {
	factor := math.Exp(-(now - p.demandAt).Seconds() / demandWindow.Seconds())
	for i := range p.demand {
		p.demand[i] *= factor
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

// need is the processor that a job wants at its start, in thousandths of a core: each is that of
// its largest task, total that of all tasks that can start at once.
type need struct{ each, total int64 }

func (j *job) initialNeed() need {
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

// Load summarizes for other VMs how busy the targets of a service are.
func (s *State) Load(now time.Duration, service string) Load {
	p := s.poolOf(service)
	load := Load{Cordoned: s.cordon.isCordoned()}
	load.CPU = p.openCPU
	load.FreeCPU = p.freeCPU(0)
	load.FreeCapacity.Tasks = s.acceptableTasks(now, p)
	_, rate := p.supply(now, 0)
	ahead := int64(0)
	var waits [Priorities]int64
	for _, j := range s.waiting {
		if j.pool == p && !j.ended {
			need := j.initialNeed().total
			ahead += need
			waits[priorityOf(j.sub.Queue)] += need
		}
	}
	before := int64(0)
	for priority := range load.Wait {
		if load.Cordoned {
			load.Wait[priority] = maxForecast
			continue
		}
		before += waits[priority]
		if short := before - load.FreeCPU; short > 0 && rate > 0 {
			load.Wait[priority] = time.Duration(float64(short) / rate * float64(time.Millisecond))
		}
	}
	return load
}
