package scheduler

import (
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A suspect, a task under which a target was lost, runs isolated: it has its target to itself. A
// loss then counts against no other task, and a completion clears the suspect.

// canStartSuspect reports whether a suspect may start on a target: isolated, or beside other runs
// if callers wait for its job and it has lost only one target so far.
func (s *State) canStartSuspect(t *target, st *step, tk *task) bool {
	switch {
	case tk.hasUnresolvedLoss() || slices.Contains(s.crashes.awaitingClaim, tk):
		return false
	case t.emptyExceptGang(st) && (t.isolated == tk || t.pool.isolations < t.pool.maxIsolated()):
		return true
	default:
		return !tk.job.isDurable() && len(tk.losses)+tk.correlatedLosses < lossesToFail
	}
}

// emptyExceptGang reports whether nothing runs on the target but members of st, if st is a gang.
func (t *target) emptyExceptGang(st *step) bool {
	for _, r := range t.runs {
		if !st.Gang || r.task.step != st {
			return false
		}
	}
	return true
}

// mayUseIsolated reports whether the task may run on a target as far as isolation goes: nobody has
// the target isolated or reserved, or the task itself or its gang has.
func (tk *task) mayUseIsolated(t *target) bool {
	return t.isolated == nil || t.isolated == tk || tk.step.Gang && t.isolated.step == tk.step
}

// isolateSuspect marks the target of a starting run as isolated if the run's task is a suspect and
// nothing else runs there.
func (s *State) isolateSuspect(r *run) {
	t := r.target
	s.unreserveForSuspect(r.task)
	if r.task.isSuspect() && t.emptyExceptGang(r.task.step) {
		r.isolated = true
		t.isolated = r.task
		t.isolatedRuns++
		t.pool.isolations++
	}
}

// reserveForSuspect reserves a target for a suspect that needs an empty one: the open target with
// the fewest runs takes nothing else until the suspect starts there.
func (s *State) reserveForSuspect(now time.Duration, tk *task) {
	p := tk.job.pool
	if !tk.isSuspect() || tk.hasUnresolvedLoss() || tk.reservedTarget != nil || tk.step.Gang || p.isolations >= p.maxIsolated() {
		return
	}
	var least *target
	for _, t := range p.targets {
		if t.isOpen() && t.reservedFor == nil && tk.step.fitsEmpty(t) && tk.step.advice.allows(now, t.ID) && s.canRenewLease(now, t) && (least == nil || len(t.runs) < len(least.runs)) {
			least = t
		}
	}
	if least == nil {
		return
	}
	tk.reservedTarget, least.isolated = least, tk
	p.isolations++
	s.markChanged(least)
}

// unreserveUnfit frees the targets that are reserved for suspects of a step and can't take them any
// more, however empty they get.
func (s *State) unreserveUnfit(st *step) {
	for _, tk := range st.pending {
		if t := tk.reservedTarget; t != nil && (!t.acceptsTasks() || !st.fitsEmpty(t) || st.advice.excludes(t.ID)) {
			s.unreserveForSuspect(tk)
		}
	}
}

// startReservedSuspects starts the suspects of a step whose reserved target can take them now.
func (s *State) startReservedSuspects(now time.Duration, j *job, st *step) {
	s.unreserveUnfit(st)
	st.pending = slices.DeleteFunc(st.pending, func(tk *task) bool {
		t := tk.reservedTarget
		if t == nil || !s.mayStart(j, st.PerTask.CPU) || !s.canStart(now, t, j, st, tk) {
			return false
		}
		s.startRun(now, t, tk, s.nextRunNumber(now, j.isDurable()))
		return true
	})
}

// unreserveForSuspect frees the target that is reserved for a suspect.
func (s *State) unreserveForSuspect(tk *task) {
	t := tk.reservedTarget
	if t == nil {
		return
	}
	tk.reservedTarget = nil
	t.pool.isolations--
	if t.isolated == tk {
		t.isolated = nil
	}
	s.markChanged(t)
}

// maxIsolated is how many targets of the pool may be isolated or reserved for suspects at a time.
func (p *pool) maxIsolated() int { return max(int(isolationShare*float64(len(p.targets))), 1) }

// markSharing notes that the target runs what this owner has not ordered. Its loss shows nothing of
// this owner's runs, even of an isolated one.
func (t *target) markSharing() {
	for _, r := range t.runs {
		r.sharing = true
	}
}

// clearLongRun clears a suspect whose run has lasted much longer than the runs under which its
// targets were lost.
func (s *State) clearLongRun(now time.Duration, r *run) {
	if !r.task.isSuspect() || !r.listed || now-r.ordered <= 2*r.task.longestBeforeLoss()+survivorSlack {
		return
	}
	s.clearSuspect(now, r)
}

// clearSurvivor clears a suspect whose run ended by itself after its targets would have been lost:
// a lasting task has no completion that shows that it is done.
func (s *State) clearSurvivor(now time.Duration, r *run, kind work.CompletionKind) {
	ended := kind == work.CompletionDone || kind == work.CompletionFailed
	if ended && r.task.isSuspect() && now-r.ordered > r.task.longestBeforeLoss() {
		s.clearSuspect(now, r)
	}
}

// longestBeforeLoss is the longest time for which a run of the task was in progress when the loss of
// its target was noticed.
func (t *task) longestBeforeLoss() time.Duration {
	longest := time.Duration(0)
	for _, loss := range t.losses {
		longest = max(longest, loss.after)
	}
	return longest
}

// clearSuspect drops the losses that count against the task of a run.
func (s *State) clearSuspect(now time.Duration, r *run) {
	for _, loss := range r.task.currentLosses() {
		s.clearLoss(loss)
	}
	r.task.losses = nil
	r.endIsolation()
	s.emit(LogEvent{Message: "task cleared", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Age: now - r.ordered})
	s.markChanged(r.target)
}

// survivorSlack is added to twice the time after which the suspect's targets were lost.
const survivorSlack = time.Second

// endIsolation ends the isolation of the run's target, once the last isolated run there has ended.
func (r *run) endIsolation() {
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
func (st *step) sortSuspectsLast() {
	slices.SortStableFunc(st.pending, func(a, b *task) int { return boolToInt(a.isSuspect()) - boolToInt(b.isSuspect()) })
}

// countSuspects counts the suspects among a step's pending tasks. They are not delegated, because
// only this owner knows of the losses that count against them.
func (st *step) countSuspects() int {
	if !st.hasSuspects {
		return 0
	}
	n := 0
	for _, tk := range st.pending {
		n += boolToInt(tk.isSuspect())
	}
	return n
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
