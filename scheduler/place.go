package scheduler

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// placeWaiting goes through the waiting jobs in order and starts the tasks that fit.
func (s *State) placeWaiting(now time.Duration) {
	if len(s.waiting) == 0 {
		return
	}
	if s.wasPaused(now) {
		// The failure domain may have been cordoned during the pause; the next tick handles the
		// rest.
		s.requireCordonConfirmation(now)
	}
	s.awaitsIncarnation = false
	if s.hasShares() {
		s.placeByShares(now)
		return
	}
	failed := failedPlacements{}
	remaining := s.waiting[:0]
	reordered := false
	for i, j := range s.waiting {
		if failed.limitReached() {
			remaining = append(remaining, s.waiting[i:]...)
			break
		}
		if j.ended {
			j.queued = false
			continue
		}
		before := j.sortKey
		s.placeJob(now, j, &failed)
		if j.hasPendingTasks() {
			j.updateSortKey()
			reordered = reordered || j.sortKey != before
			remaining = append(remaining, j)
		} else {
			j.queued = false
		}
	}
	clear(s.waiting[len(remaining):])
	s.waiting = remaining
	if reordered {
		slices.SortFunc(s.waiting, compareJobs)
	}
}

// failedPlacements records, for each pool, the smallest CPU need that found no target in this pass.
type failedPlacements struct {
	smallestNeed map[*pool]int64
	count        int
}

// maxFailedPlacements is how many failed attempts to place a step end a pass.
const maxFailedPlacements = 24

func (m *failedPlacements) limitReached() bool { return m.count >= maxFailedPlacements }

// cannotFit reports whether a task that needs no more CPU than this found no target of the pool in
// this pass.
func (m *failedPlacements) cannotFit(p *pool, need work.Resources) bool {
	least, missed := m.smallestNeed[p]
	return missed && need.CPU >= least
}

func (m *failedPlacements) add(p *pool, need work.Resources) {
	m.count++
	if m.smallestNeed == nil {
		m.smallestNeed = map[*pool]int64{}
	}
	if least, missed := m.smallestNeed[p]; !missed || need.CPU < least {
		m.smallestNeed[p] = need.CPU
	}
}

// placeJob starts the tasks of a job's ready steps that fit. For the others it asks the adviser and
// other owners. Nothing starts while runs of an ended job with the same ID may still execute, while an
// earlier request for the job is open, while the caller is not presumed to wait, or while the job moves to
// another group or is stopped for that. Nothing of a job that was taken over starts while a target may have
// more completions of previous owners than it has listed, or a run of a previous owner.
func (s *State) placeJob(now time.Duration, j *job, failed *failedPlacements) {
	if j.moving || j.emptying {
		return
	}
	if s.stoppingRuns[j.sub.Job.ID] > 0 || s.hasEarlierRequest(j) || !s.hasKeepalive(now, j) || !s.mayStartNow(now, j) {
		return
	}
	for _, st := range j.currentSteps() {
		if len(st.pending) == 0 || !j.isReady(st) || !s.mayStart(j, startCPU(st, len(st.pending))) {
			continue
		}
		if st.Gang {
			s.placeGang(now, j, st, failed)
		} else {
			s.placeStep(now, j, st, failed)
		}
		if len(st.pending) > 0 && !s.isHeldBack(j) {
			s.holdTarget(now, j, st)
			s.askAdviser(now, j, st)
			if !s.awaitsIncarnation {
				s.delegateStep(now, j, st)
			}
		}
	}
}

// mayStartNow reports whether tasks of a job may start as far as previous owners and the claim are
// concerned.
func (s *State) mayStartNow(now time.Duration, j *job) bool {
	if j.isDurable() && !s.mayStartDurable(now) {
		return false
	}
	return !j.wasResumed() || s.partialLists == 0 && !s.AwaitsPredecessors(now)
}

// placeStep starts tasks of a step until one fits no target.
func (s *State) placeStep(now time.Duration, j *job, st *step, failed *failedPlacements) {
	unconstrained := st.RequiredLabel == "" && st.runsOn == nil && st.advice == nil && !st.Background && !st.LatencySensitive && st.evictionTarget == nil && !s.awaitsRecords(j)
	if st.hasSuspects {
		s.startReservedSuspects(now, j, st)
		st.sortSuspectsLast()
	}
	for len(st.pending) > 0 && s.mayStart(j, st.PerTask.CPU) && !(unconstrained && failed.cannotFit(j.pool, st.PerTask)) {
		if st.Lasting && !st.moveDueFirst(now) {
			return
		}
		t := s.pickTarget(now, j, st, st.pending[0])
		if t == nil {
			if unconstrained && !st.pending[0].isSuspect() {
				failed.add(j.pool, st.PerTask)
			}
			if s.awaitsIncarnation {
				return
			}
			if st.hasSuspects && j.isDurable() {
				s.reserveForSuspect(now, st.pending[0])
			}
			if st.LatencySensitive {
				s.evictBackground(now, j, st)
			}
			return
		}
		if j.pool.placeByEnd && t.mayEndLate(now, st) {
			s.emit(Count{"placed_late", j.sub.Queue.Name})
		}
		s.startRun(now, t, st.pending[0], s.nextRunNumber(now, j.isDurable()))
		s.unreserveForStep(st)
		st.pending = slices.Delete(st.pending, 0, 1)
	}
}

// canStart reports whether a task may start on a target now.
func (s *State) canStart(now time.Duration, t *target, j *job, st *step, tk *task) bool {
	if !t.acceptsTasks() || now < t.blockedUntil || !st.PerTask.FitsIn(t.free) {
		return false
	}
	if j.isDurable() && !s.canRecordedStart(t) {
		return false
	}
	if st.RequiredLabel != "" && !slices.Contains(t.Labels, st.RequiredLabel) || !st.advice.allows(now, t.ID) {
		return false
	}
	if st.runsOn != nil && st.runsOn[t.ID] >= st.MaxPerTarget {
		return false
	}
	if !tk.mayUseIsolated(t) || tk.isSuspect() && !s.canStartSuspect(t, st, tk) {
		return false
	}
	if !st.canRunBeside(t) || t.runs[tk.name] != nil || t.reservedFor != nil && t.reservedFor != st || !s.canRenewLease(now, t) {
		return false
	}
	if t.mayHaveRestarted(now) || j.isDurable() && s.isClockOld(now, t) {
		s.askIncarnation(now, t, len(st.pending))
		return false
	}
	if t.isSlow() && !t.health.suspected {
		return s.mayUseSlow(now, t, j, st)
	}
	return true
}

// rank rates how badly a target suits a task apart from its free capacity; 0 is best.
func (t *target) rank(now time.Duration, st *step, tk *task) int {
	rank := 0
	if st.PreferredRack != "" && !slices.Contains(t.Labels, st.PreferredRack) {
		rank += 4
	}
	if t.ID == tk.avoidTarget {
		rank += 2
	}
	if tk.isSuspect() && !t.emptyExceptGang(st) {
		rank += 8
	}
	if t.health.suspected || t.isSlow() || len(t.health.failures) > 0 {
		rank++
	}
	if t.isCold(now) {
		rank++
	}
	if t.pool.placeByEnd && t.mayEndLate(now, st) {
		rank++
	}
	return rank
}

// startRun orders a run of a task on a target.
func (s *State) startRun(now time.Duration, t *target, tk *task, number int64) {
	j := tk.job
	r := &run{
		RunID:      work.RunID{Task: tk.name, Number: number},
		task:       tk,
		target:     t,
		ordered:    now,
		leaseUntil: s.leaseEnd(now, t, j),
		expected:   tk.step.expectedRuntime,
		cold:       t.isCold(now),
	}
	j.possibleStarts++
	j.lastOrdered = now
	if j.firstOrdered == 0 {
		j.firstOrdered = now
	}
	s.assignRun(t, r)
	t.lease.until = max(t.lease.until, r.leaseUntil)
	j.recordRun(now, "started", r, "")
	r.resumeFrom, r.ticket = tk.savedState().value, tk.step.advice.ticketFor(t.ID)
	s.chargeStart(r)
	s.sendStart(now, r)
}

// sendStart sends one copy of a run's start order.
func (s *State) sendStart(now time.Duration, r *run) {
	r.copies.add(now)
	s.emit(StartRun{To: r.target.address(), StartOrder: work.StartOrder{
		Run: r.RunID, Payload: r.task.job.sub.Job.Payload, SavedState: r.resumeFrom, Ticket: r.ticket, LeaseUntilMS: r.leaseUntil,
		SendBy: r.target.incarnationKnownUntil(),
	}})
}

// assignRun reserves a run's resources on its target.
func (s *State) assignRun(t *target, r *run) {
	st := r.task.step
	r.task.run = r
	s.isolateSuspect(r)
	t.runs[r.Task] = r
	t.free = t.free.Sub(st.PerTask)
	if !st.Lasting {
		r.releaseRate = float64(st.PerTask.CPU) / r.expectedMillis()
	}
	t.releaseRate += r.releaseRate
	s.countRun(r)
	t.countSharing(st, 1)
	if st.runsOn != nil {
		st.runsOn[t.ID]++
	}
	s.markChanged(t)
}
