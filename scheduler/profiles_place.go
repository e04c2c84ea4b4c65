package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockward/burdockward/shares"
)

// compareArrivals orders jobs from the oldest to the newest.
func compareArrivals(a, b *job) int {
	return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.sub.Ref, b.sub.Ref))
}

// placeByShares starts the tasks of waiting jobs that fit. In each pool the ledger picks the profile
// whose next job is placed; the jobs of one profile go in their usual order.
func (s *State) placeByShares(now time.Duration) {
	reordered := false
	for _, p := range s.listWaiting() {
		reordered = s.placePool(now, p) || reordered
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool {
		if j.ended {
			j.queued = false
		}
		return !j.queued
	})
	if reordered {
		slices.SortFunc(s.waiting, compareJobs)
	}
}

// listWaiting lists the waiting jobs by pool and profile, and returns the pools in the order of their
// most urgent jobs.
func (s *State) listWaiting() []*pool {
	for _, p := range s.pools {
		clear(p.shares.heldBack)
		for i := range p.shares.waiting {
			clear(p.shares.waiting[i])
			p.shares.waiting[i] = p.shares.waiting[i][:0]
		}
	}
	var pools []*pool
	for _, j := range s.waiting {
		if j.ended {
			continue
		}
		if !slices.Contains(pools, j.pool) {
			pools = append(pools, j.pool)
		}
		list := &j.pool.shares.waiting[j.account]
		*list = append(*list, j)
	}
	return pools
}

// placePool places the waiting jobs of a pool. A profile of which too many steps found no target is held
// back, so that it doesn't end the round for the others. It reports whether the sort key of a job has
// changed.
func (s *State) placePool(now time.Duration, p *pool) (reordered bool) {
	sh, failed := p.shares, failedPlacements{}
	next, failures := make([]int, sh.Accounts()), make([]int, sh.Accounts())
	hasWork := func(i int) bool { return !sh.heldBack[i] && next[i] < len(sh.waiting[i]) }
	pick, picked := shares.Pick{}, false
	for {
		// Without a start the same profile would be picked again.
		if !picked || sh.startedInPick > 0 || !hasWork(pick.Account) {
			if pick, picked = sh.Next(sh.capacity, hasWork); !picked {
				break
			}
		}
		j := sh.waiting[pick.Account][next[pick.Account]]
		sh.pick, sh.startedInPick = pick, 0
		if j.ended {
			next[pick.Account]++
			continue
		}
		before, pending := j.sortKey, len(j.steps[0].pending)
		failed.count = failures[pick.Account]
		s.placeJob(now, j, &failed)
		if failures[pick.Account] = failed.count; failed.limitReached() {
			sh.heldBack[pick.Account] = true
		}
		if !s.yields(j) {
			next[pick.Account]++
		}
		if j.queued = j.hasPendingTasks(); j.queued {
			j.updateSortKey()
			reordered = reordered || j.sortKey != before
		}
		if len(j.steps[0].pending) != pending || len(j.steps) > 1 || !j.queued {
			s.noteWaiting(j)
		}
	}
	return reordered
}

// mayStart reports whether a task of a job, or a gang, may start as far as the shares are concerned. If
// it may not, because of the limit, nothing more of the profile starts in this round: a later job that
// needs less would go first each time.
func (s *State) mayStart(j *job, cpu int64) bool {
	sh := j.pool.shares
	switch {
	case sh == nil:
		return true
	case cpu > sh.UnderLimit(j.account, sh.capacity):
		sh.heldBack[j.account] = true
		s.releaseReservations(j.pool, j.account)
		return false
	default:
		return !s.yields(j)
	}
}

// yields reports whether a job that was being placed has used up its profile's guarantee. Its next task
// goes behind those of profiles that are below theirs.
func (s *State) yields(j *job) bool {
	sh := j.pool.shares
	return sh != nil && sh.startedInPick > 0 && sh.pick.Band == shares.Guaranteed && !sh.pick.Fair && j.hasPendingTasks() &&
		sh.BandOf(j.account, sh.capacity) == shares.Lent
}

// isHeldBack reports whether the shares keep a job from starting more tasks here now.
func (s *State) isHeldBack(j *job) bool {
	return j.pool.shares != nil && (j.pool.shares.heldBack[j.account] || s.yields(j))
}

// releaseReservations ends the reservations of targets for work of one account: its limit keeps that work
// from starting, and a reservation is checked for its end only when its job is placed.
func (s *State) releaseReservations(p *pool, account int) {
	s.endHold(&p.shares.holds[account])
	if st := p.reservedFor; st != nil && st.job.account == account {
		s.unreserveForGang(p, st)
	}
	for _, t := range p.targets {
		if st := t.reservedFor; st != nil && st.job.account == account && st.evictionTarget == t {
			s.unreserveForStep(st)
		}
		if tk := t.isolated; tk != nil && tk.reservedTarget == t && tk.job.account == account {
			s.unreserveForSuspect(tk)
		}
	}
}
