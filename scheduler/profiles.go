package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/shares"
)

// The operator's profiles divide the processor of a service's usable targets among queues. Without
// profiles no pool has a ledger, and every decision is as it would be without this file.

// poolShares is the ledger of a pool, with the waiting jobs of the present round of placing.
type poolShares struct {
	*shares.Ledger
	// capacity is the processor of the usable targets that take tasks, in thousandths of a core.
	capacity int64
	// waiting holds, by account, the jobs that the round has not tried yet, in their order. heldBack
	// holds the accounts of which nothing more starts in this round.
	waiting  [][]*job
	heldBack []bool
	// pick is the account whose job is being placed; startedInPick counts its starts.
	pick          shares.Pick
	startedInPick int
	// demand is the recently accepted work of each account, releaseRate the processor that its runs
	// free per millisecond.
	demand      []demandMeter
	releaseRate []float64
	// holds has the target that is held for each account.
	holds []hold
}

// SetProfiles puts profiles in force; nil and empty ones switch the shares off. The processor that
// each profile uses is counted anew from the runs. The profiles must be valid.
func (s *State) SetProfiles(now time.Duration, p *shares.Profiles) {
	before := s.profiles
	s.profiles = p
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		s.endHolds(s.pools[service])
		s.pools[service].shares = s.newPoolShares()
	}
	for _, j := range s.jobs {
		s.assignAccount(j)
	}
	// Jobs that ended since the last round are listed here alone.
	for _, listed := range s.waiting {
		s.assignAccount(listed)
	}
	for _, t := range s.sortedTargets() {
		t.sharesCounted, t.sharedCPU = false, 0
		for _, r := range t.runs {
			r.counted = false
			s.assignAccount(r.task.job)
		}
		s.syncShares(t)
	}
	for _, j := range s.waiting {
		s.noteWaiting(j)
	}
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		for account := range s.pools[service].accounts() {
			s.releaseReservations(s.pools[service], account)
		}
	}
	s.refuseExcess(now, before)
}

// hasShares reports whether profiles are in force.
func (s *State) hasShares() bool { return s.profiles != nil && len(s.profiles.Profiles) > 0 }

// accounts returns the number of a pool's accounts; 0 without profiles.
func (p *pool) accounts() int {
	if p.shares == nil {
		return 0
	}
	return p.shares.Accounts()
}

// newPoolShares returns a pool's ledger without runs; nil while there are no profiles.
func (s *State) newPoolShares() *poolShares {
	if !s.hasShares() {
		return nil
	}
	l := shares.NewLedger(s.profiles.Profiles)
	return &poolShares{
		Ledger: l, waiting: make([][]*job, l.Accounts()), heldBack: make([]bool, l.Accounts()), demand: make([]demandMeter, l.Accounts()),
		releaseRate: make([]float64, l.Accounts()), holds: make([]hold, l.Accounts()),
	}
}

// assignAccount sets the account of a job, whose waiting work the new ledger doesn't have yet.
func (s *State) assignAccount(j *job) {
	if j.account, j.notedWaiting = 0, 0; j.pool.shares != nil {
		j.account = j.pool.shares.AccountOf(j.sub.Queue.Name)
	}
}

// countRun counts the processor of a run on a target that takes tasks.
func (s *State) countRun(r *run) {
	if sh := r.target.pool.shares; sh != nil && r.target.sharesCounted && !r.counted {
		r.counted = true
		sh.AddUsed(r.task.job.account, r.task.step.PerTask.CPU)
		sh.releaseRate[r.task.job.account] += r.releaseRate
	}
}

// uncountRun reverts countRun.
func (s *State) uncountRun(r *run) {
	if sh := r.target.pool.shares; sh != nil && r.counted {
		r.counted = false
		sh.AddUsed(r.task.job.account, -r.task.step.PerTask.CPU)
		sh.releaseRate[r.task.job.account] -= r.releaseRate
	}
}

// syncShares counts the capacity and the runs of a target while it takes tasks. So a target that leaves
// takes neither capacity nor use along that the other targets don't have.
func (s *State) syncShares(t *target) {
	sh := t.pool.shares
	if sh == nil {
		return
	}
	counted, capacity := t.acceptsTasks() && s.targets[t.ID] == t, int64(0)
	if counted {
		capacity = t.Capacity.CPU
	}
	sh.capacity += capacity - t.sharedCPU
	t.sharedCPU = capacity
	if t.sharesCounted == counted {
		return
	}
	t.sharesCounted = counted
	// The order of a map would show in the rounding of the rates.
	for _, r := range t.sortedRuns() {
		if t.sharesCounted {
			s.countRun(r)
		} else {
			s.uncountRun(r)
		}
	}
}

// chargeStart charges the start of a run to its profile.
func (s *State) chargeStart(r *run) {
	if sh := r.target.pool.shares; sh != nil {
		sh.startedInPick++
		sh.Charge(sh.pick, r.task.step.PerTask.CPU, r.expected)
	}
}

// noteWaiting updates the waiting work of a job's profile.
func (s *State) noteWaiting(j *job) {
	sh := j.pool.shares
	if sh == nil {
		return
	}
	cpu := int64(0)
	if j.queued && !j.ended {
		cpu = j.initialNeed().total
	}
	sh.AddWaiting(j.account, cpu-j.notedWaiting)
	j.notedWaiting = cpu
}

// refuseExcess refuses the waiting jobs for which a limit that was lowered leaves no capacity, newest
// first. Jobs that have started, or that are durable, wait until their profile is below its limit.
func (s *State) refuseExcess(now time.Duration, before *shares.Profiles) {
	if !s.hasShares() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[service]
		for i, profile := range s.profiles.Profiles {
			if p.shares.capacity == 0 || profile.Limit >= before.LimitOf(profile.Name) {
				continue
			}
			s.refuseExcessOf(now, p, i)
		}
	}
}

// refuseExcessOf refuses the excess of one profile in a pool.
func (s *State) refuseExcessOf(now time.Duration, p *pool, account int) {
	jobs := slices.DeleteFunc(slices.Clone(s.waiting), func(j *job) bool { return j.ended || j.pool != p || j.account != account })
	slices.SortStableFunc(jobs, compareArrivals)
	waiting := make([]shares.WaitingJob, len(jobs))
	for i, j := range jobs {
		waiting[i] = shares.WaitingJob{CPU: j.notedWaiting, Refusable: !j.mayHaveStarted() && !j.isDurable()}
	}
	refused := p.shares.Excess(account, p.shares.capacity, waiting)
	for _, at := range refused {
		outcome := jobs[at].giveUpOutcome("the limit of its profile was lowered")
		s.countProfileRefusal(jobs[at])
		s.finish(now, jobs[at], outcome)
	}
	if len(refused) > 0 {
		s.emit(LogEvent{Message: "waiting jobs refused under a lowered limit", Detail: p.shares.Name(account), Counter: "profile_limits_lowered", Kind: p.shares.Name(account)})
	}
}

// countProfileRefusal counts a refused job by its profile.
func (s *State) countProfileRefusal(j *job) {
	if sh := j.pool.shares; sh != nil {
		s.emit(Count{"profile_refused", sh.Name(j.account)})
	}
}

// ProfileUse is what a profile uses and wants of a service's targets.
type ProfileUse struct {
	Service, Profile string
	// Share is the share of the capacity in use, 0 to 1. Waiting is the processor of the tasks that
	// wait, in thousandths of a core.
	Share   float64
	Waiting int64
}

// ProfileUses lists the use of each profile, by service; empty while there are no profiles.
func (s *State) ProfileUses() []ProfileUse {
	var uses []ProfileUse
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[service]
		if p.shares == nil {
			continue
		}
		for i := range p.shares.Accounts() {
			uses = append(uses, ProfileUse{
				Service: service, Profile: p.shares.Name(i), Share: float64(p.shares.Used(i)) / float64(max(p.shares.capacity, 1)), Waiting: p.shares.Waiting(i),
			})
		}
	}
	return uses
}

// profileLimitReason returns why the limit of a job's profile never lets one of its steps start; empty
// if it does, or if that is not known yet. Targets that drain count as well: others replace them.
func (s *State) profileLimitReason(j *job) string {
	sh := j.pool.shares
	if sh == nil || !sh.HasLimit(j.account) || sh.capacity == 0 || s.isCapacityUnknown(j.pool) {
		return ""
	}
	listed := int64(0)
	for _, t := range j.pool.targets {
		listed += t.Capacity.CPU
	}
	for _, st := range j.steps[:len(j.sub.Job.Steps)] {
		if startCPU(st, len(st.members)) > sh.Limit(j.account, listed) {
			s.countProfileRefusal(j)
			return "the limit of profile " + sh.Name(j.account) + " is below one of its tasks: ask for less, or raise the limit"
		}
	}
	return ""
}

// startCPU is the least processor that a step with a number of pending tasks starts with.
func startCPU(st *step, pending int) int64 {
	if st.Gang {
		return st.PerTask.CPU * int64(pending)
	}
	return st.PerTask.CPU
}
