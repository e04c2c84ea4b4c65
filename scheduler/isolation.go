package scheduler

import (
	"slices"
	"time"
)

// A suspect, a task under which a target was lost, runs isolated: it has its target to itself. A
// loss then counts against no other task, and a completion clears the suspect.

// canStartSuspect reports whether a suspect may start on a target: isolated, or beside other runs
// if callers wait for its job and it has lost only one target so far.
func (s *State) tries(t *target, st *step, tk *task) bool {
	switch {
	case tk.unsettled():
		return false
	case t.emptyBut(st) && (t.isolated == tk || t.pool.isolations < t.pool.maxTrials()):
		return true
	default:
		return !tk.job.kept() && len(tk.falls)+tk.excused < crashesToFail
	}
}

// emptyExceptGang reports whether nothing runs on the target but members of st, if st is a gang.
func (t *target) emptyBut(st *step) bool {
	for _, r := range t.runs {
		if !st.Gang || r.task.step != st {
			return false
		}
	}
	return true
}

// mayUseIsolated reports whether the task may run on a target as far as isolation goes: nobody has
// the target isolated or reserved, or the task itself or its gang has.
func (tk *task) joins(t *target) bool {
	return t.isolated == nil || t.isolated == tk || tk.step.Gang && t.isolated.step == tk.step
}

// isolateSuspect marks the target of a starting run as isolated if the run's task is a suspect and
// nothing else runs there.
func (s *State) tryAlone(r *run) {
	t := r.target
	s.letRoom(r.task)
	if r.task.suspect() && t.emptyBut(r.task.step) {
		r.isolated = true
		t.isolated = r.task
		t.isolatedRuns++
		t.pool.isolations++
	}
}

// reserveForSuspect reserves a target for a suspect that needs an empty one: the open target with
// the fewest runs takes nothing else until the suspect starts there.
func (s *State) makeRoom(now time.Duration, tk *task) {
	p := tk.job.pool
	if !tk.suspect() || tk.unsettled() || tk.room != nil || tk.step.Gang || p.isolations >= p.maxTrials() {
		return
	}
	var least *target
	for _, t := range p.targets {
		if t.isOpen() && t.reservedFor == nil && tk.step.fitsEmpty(t) && s.canRenewLease(now, t) && (least == nil || len(t.runs) < len(least.runs)) {
			least = t
		}
	}
	if least == nil {
		return
	}
	tk.room, least.isolated = least, tk
	p.isolations++
	s.markChanged(least)
}

// startReservedSuspects starts the suspects of a step whose reserved target can take them now.
func (s *State) placeInRoom(now time.Duration, j *job, st *step) {
	st.pending = slices.DeleteFunc(st.pending, func(tk *task) bool {
		t := tk.room
		if t == nil || !s.canStart(now, t, j, st, tk) {
			return false
		}
		s.startRun(now, t, tk, s.nextRunNumber(now, j.kept()))
		return true
	})
}

// unreserveForSuspect frees the target that is reserved for a suspect.
func (s *State) letRoom(tk *task) {
	t := tk.room
	if t == nil {
		return
	}
	tk.room = nil
	t.pool.isolations--
	if t.isolated == tk {
		t.isolated = nil
	}
	s.markChanged(t)
}

// maxIsolated is how many targets of the pool may be isolated or reserved for suspects at a time.
func (p *pool) maxTrials() int { return max(int(trialShare*float64(len(p.targets))), 1) }

// clearLongRun clears a suspect whose run has lasted much longer than the runs under which its
// targets were lost.
func (s *State) clearSurvivor(now time.Duration, r *run) {
	if !r.task.suspect() || !r.listed {
		return
	}
	longest := time.Duration(0)
	for _, loss := range r.task.falls {
		longest = max(longest, loss.after)
	}
	if now-r.ordered <= 2*longest+survivorSlack {
		return
	}
	r.task.falls = nil
	r.endTrial()
	s.emit(LogEvent{Message: "task cleared", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Age: now - r.ordered})
	s.markChanged(r.target)
}

// survivorSlack is added to twice the time after which the suspect's targets were lost.
const survivorSlack = time.Second

// endIsolation ends the isolation of the run's target, once the last isolated run there has ended.
func (r *run) endTrial() {
	if !r.isolated {
		return
	}
	r.isolated = false
	r.target.pool.isolations--
	if r.target.isolatedRuns--; r.target.isolatedRuns == 0 {
		r.target.isolated = nil
	}
}

// sortSuspectsLast moves the suspects among a step's pending tasks behind the others.
func (st *step) suspectsLast() {
	slices.SortStableFunc(st.pending, func(a, b *task) int { return boolRank(a.suspect()) - boolRank(b.suspect()) })
}

// countSuspects counts the suspects among a step's pending tasks. They are not delegated, because
// only this owner knows of the losses that count against them.
func (st *step) suspects() int {
	if !st.suspected {
		return 0
	}
	n := 0
	for _, tk := range st.pending {
		n += boolRank(tk.suspect())
	}
	return n
}

func boolRank(is bool) int {
	if is {
		return 1
	}
	return 0
}
