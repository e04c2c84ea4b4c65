package scheduler

import (
	"slices"
	"time"
)

// A suspect runs alone on its target, so that a target lost under it speaks against nothing
// else, and its end clears it.

// tries reports whether a task may start on a target under which another was lost: alone,
// or beside others where its job has no time to wait and nothing is settled yet.
func (s *State) tries(t *target, st *step, tk *task) bool {
	switch {
	case tk.unsettled():
		return false
	case t.emptyBut(st) && (t.trial == tk || t.pool.trials < t.pool.maxTrials()):
		return true
	default:
		return !tk.job.kept() && len(tk.falls)+tk.excused < crashesToFail
	}
}

// emptyBut reports whether nothing runs on a target but members of a gang.
func (t *target) emptyBut(st *step) bool {
	for _, r := range t.runs {
		if !st.Gang || r.task.step != st {
			return false
		}
	}
	return true
}

// joins reports whether a task may run on a target that a suspect has for itself, or waits
// for.
func (tk *task) joins(t *target) bool {
	return t.trial == nil || t.trial == tk || tk.step.Gang && t.trial.step == tk.step
}

// tryAlone notes that a suspect begins a run on a target that it has for itself.
func (s *State) tryAlone(r *run) {
	t := r.target
	s.letRoom(r.task)
	if r.task.suspect() && t.emptyBut(r.task.step) {
		r.alone = true
		t.trial = r.task
		t.trials++
		t.pool.trials++
	}
}

// makeRoom keeps a target from others until a suspect that nothing but an empty one will do
// for can have it.
func (s *State) makeRoom(now time.Duration, tk *task) {
	p := tk.job.pool
	if !tk.suspect() || tk.unsettled() || tk.room != nil || tk.step.Gang || p.trials >= p.maxTrials() {
		return
	}
	var least *target
	for _, t := range p.targets {
		if t.open() && t.reserved == nil && tk.step.fitsOn(t) && s.prolongs(now, t) && (least == nil || len(t.runs) < len(least.runs)) {
			least = t
		}
	}
	if least == nil {
		return
	}
	tk.room, least.trial = least, tk
	p.trials++
	s.touch(least)
}

// placeInRoom starts the suspects of a step whose target has become empty.
func (s *State) placeInRoom(now time.Duration, j *job, st *step) {
	st.pending = slices.DeleteFunc(st.pending, func(tk *task) bool {
		t := tk.room
		if t == nil || !s.may(now, t, j, st, tk) {
			return false
		}
		s.start(now, t, tk, s.nextRun(now, j.kept()))
		return true
	})
}

// letRoom gives the target back that was kept for a suspect.
func (s *State) letRoom(tk *task) {
	t := tk.room
	if t == nil {
		return
	}
	tk.room = nil
	t.pool.trials--
	if t.trial == tk {
		t.trial = nil
	}
	s.touch(t)
}

func (p *pool) maxTrials() int { return max(int(trialShare*float64(len(p.targets))), 1) }

// clearSurvivor ends the suspicion of a task whose run has gone on for much longer than those
// under which its targets were lost.
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
	s.emit(Note{What: "task cleared", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Age: now - r.ordered})
	s.touch(r.target)
}

// survivorSlack is added to twice the time that the runs of a suspect lasted.
const survivorSlack = time.Second

// endTrial takes back tryAlone.
func (r *run) endTrial() {
	if !r.alone {
		return
	}
	r.alone = false
	r.target.pool.trials--
	if r.target.trials--; r.target.trials == 0 {
		r.target.trial = nil
	}
}

// suspectsLast puts the suspects among a step's waiting tasks behind the others.
func (st *step) suspectsLast() {
	slices.SortStableFunc(st.pending, func(a, b *task) int { return boolRank(a.suspect()) - boolRank(b.suspect()) })
}

// suspects counts the suspects among a step's waiting tasks: they stay with this owner, which
// knows what speaks against them.
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
