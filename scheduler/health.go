package scheduler

import (
	"slices"
	"time"
)

// health is the evidence against a target. Evidence of one job alone may be the
// job's own fault.
type health struct {
	// speed is the run time against that of usual targets, a moving average.
	speed float64
	// strikes holds the jobs that fared badly here since the last good end.
	strikes map[string]time.Duration
	// until bars the target, retry is the pause after the next suspicion.
	until, retry time.Duration
	// since is when the target came under suspicion.
	since time.Duration
	// suspected targets take one task at a time once until has passed, till one
	// ends well.
	suspected bool
}

// Figures of suspicion.
const (
	// suspicious is how many jobs must have fared badly.
	suspicious = 2
	// firstRest and longestRest bound how long a suspected target is left alone.
	firstRest   = 300 * time.Millisecond
	longestRest = 1200 * time.Millisecond
	// strikeMemory is how long a strike counts.
	strikeMemory = 3 * time.Second
	// speedWeight is the weight of the newest end in the moving average.
	speedWeight = 0.3
	// slowSpeed is the speed from which a target is used only where a job can
	// still be on time there: twice what a good end varies by.
	slowSpeed = 2.0
	// overdueFactor and overdueSlack are what a run may take before it speaks
	// against its target; run times vary by up to four times their mean, but
	// beyond 2.5 times only in one of a hundred.
	overdueFactor = 2.5
	overdueSlack  = 30 * time.Millisecond
	// maxSuspected is the share of a service's targets that may be suspected at
	// one time.
	maxSuspected = 0.34
)

func newHealth() health {
	return health{speed: 1, strikes: map[string]time.Duration{}, retry: firstRest}
}

func (h *health) suspend(now time.Duration) {
	if !h.suspected {
		h.suspected, h.since = true, now
	}
	h.until = now + h.retry
	h.retry = min(2*h.retry, longestRest)
}

// probed reports whether a suspected target may have a task, one at a time, that
// finds out whether it is well again.
func (h *health) probed(now time.Duration, t *target) bool {
	return now >= h.until && len(t.runs) == 0
}

// strike counts a bad end or a lost answer against a target.
func (s *State) strike(now time.Duration, t *target, j *job) {
	h := &t.health
	if _, known := h.strikes[j.sub.Job.ID]; known && !h.suspected {
		return
	}
	h.strikes[j.sub.Job.ID] = now
	for job, at := range h.strikes {
		if now-at > strikeMemory {
			delete(h.strikes, job)
		}
	}
	if h.suspected {
		h.suspend(now)
		return
	}
	defer s.touch(t)
	if len(h.strikes) >= suspicious && s.maySuspect(t.pool) {
		s.emit(Note{What: "target suspected", Target: t.ID, Job: j.sub.Job.ID})
		h.suspend(now)
	}
}

// strikeFailed counts a failed run against its target, unless the job fails
// everywhere.
func (s *State) strikeFailed(now time.Duration, t *target, j *job) {
	j.blamed[t.ID] = true
	if len(j.blamed) >= suspicious {
		for id := range j.blamed {
			if other := s.targets[id]; other != nil {
				delete(other.health.strikes, j.sub.Job.ID)
			}
		}
		return
	}
	s.strike(now, t, j)
}

func (s *State) maySuspect(p *pool) bool {
	return float64(len(p.suspects)+1) <= maxSuspected*float64(len(p.targets))
}

// praise learns from a good end.
func (s *State) praise(now time.Duration, t *target, r *run) {
	h := &t.health
	if st := r.task.step; r.adopted || r.cold || st.Lasting || st.Fills {
		// When it began isn't known, its target was cold, it was no good end, or others had the
		// processor.
		return
	}
	took := now - r.ordered
	if s.unsettled(now) && now-t.lookCopies.sent < atOnce {
		// It had ended before that was asked, at any time since it was last listed: in doubt as
		// expected.
		took = min(took, max(t.heard-r.ordered, r.expected))
	}
	speed := float64(took) / float64(r.expected)
	h.speed += speedWeight * (min(speed, maxSpeed) - h.speed)
	if !h.suspected && !t.slow() {
		r.task.job.kind.learn(took, r.task.step.Estimate)
	}
	if speed > overdueFactor {
		return
	}
	clear(h.strikes)
	if h.suspected {
		s.emit(Note{What: "target trusted again", Target: t.ID})
		h.suspected = false
		s.touch(t)
		h.speed = min(h.speed, slowSpeed)
	}
	h.retry = firstRest
}

// slow reports whether a target takes much longer than the usual one: where all
// do, it is the declared run times that are off.
func (t *target) slow() bool { return t.health.speed > slowSpeed*max(t.pool.usual, 1) }

// cold reports whether a target is still slow after its start, which is no sickness: nothing
// is learned from what it runs, and others go first where they have room.
func (t *target) cold(now time.Duration) bool { return now < t.warm }

// usualSpeed is the median speed of a pool's targets.
func (p *pool) usualSpeed() float64 {
	if len(p.targets) == 0 {
		return 1
	}
	speeds := make([]float64, 0, len(p.targets))
	for _, t := range p.targets {
		speeds = append(speeds, t.health.speed)
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// maxSpeed bounds what one end can add to the moving average.
const maxSpeed = 10.0

// atOnce is the time within which a look is answered that needn't wait.
const atOnce = 10 * time.Millisecond

// judge looks at the runs of a target that should have ended.
func (s *State) judge(now time.Duration, t *target) {
	seen := s.listedUntil(now, t)
	for _, r := range t.sortedRuns() {
		if r.state != running || r.stop != nil || r.task.job.dropped || !r.overdue(now) {
			continue
		}
		if !r.overdue(seen) {
			continue
		}
		s.strike(now, t, r.task.job)
		if r.hopeless(seen) && !t.health.suspected && s.maySuspect(t.pool) {
			s.emit(Note{What: "target suspected", Target: t.ID, Task: r.Task, Detail: "a run does not end", Age: now - r.ordered})
			t.health.suspend(now)
			s.touch(t)
		}
		if r.stuck(seen) {
			s.emit(Note{What: "run takes too long", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered})
			r.task.restarts++
			s.stop(now, r)
		}
	}
	if !t.health.suspected {
		return
	}
	for _, r := range t.sortedRuns() {
		if r.state == running && r.stop == nil && s.worthMoving(now, seen, t, r) {
			s.emit(Note{What: "run moved", Job: r.task.job.sub.Job.ID, Task: r.Task, Target: t.ID, Age: now - r.ordered})
			s.stop(now, r)
		}
	}
}

// listedUntil is until when runs of a target are known to go on: a target that is asked
// tells of an end at once, but while answers get lost silence tells nothing: good targets would
// come under suspicion for ends that were told and lost.
func (s *State) listedUntil(now time.Duration, t *target) time.Duration {
	if s.unsettled(now) {
		return t.heard
	}
	return now
}

// overdue reports whether a run should have ended; one that lasts never should, and one
// that fills has no time of its own.
func (r *run) overdue(now time.Duration) bool {
	return !r.task.step.Lasting && !r.task.step.Fills && now-r.ordered > time.Duration(overdueFactor*float64(r.patience()))+overdueSlack
}

// coldFactor is how many times as long as usual a run may take on a cold target.
const coldFactor = 3

// patience is the expected run time, longer where the target was cold.
func (r *run) patience() time.Duration {
	if r.cold {
		return coldFactor * r.expected
	}
	return r.expected
}

// hopelessFactor is beyond the longest run times, four times their mean, where
// the declared one is too low by half as much again.
const hopelessFactor = 6

// hopeless reports whether a run's time alone speaks against its target.
func (r *run) hopeless(now time.Duration) bool {
	return now-r.ordered > hopelessFactor*r.patience()+overdueSlack
}

// stuckTime is the least time after which a run of a kept job is taken for stuck: the
// other runs of its target have shown by then whether it is the target's fault.
const stuckTime = 2 * time.Second

// stuck reports whether a run of a kept job should begin anew, wherever that may be:
// nobody gives the job up. Each time the patience doubles, as the run may just be long.
func (r *run) stuck(now time.Duration) bool {
	if !r.task.job.kept() {
		return false
	}
	return now-r.ordered > max(hopelessFactor*r.expected, stuckTime)<<min(r.task.restarts, maxDoublings)
}

// maxDoublings bounds the patience with a stuck run at minutes.
const maxDoublings = 6

// worthMoving reports whether a run on a suspected target would end earlier
// elsewhere, while its job is of use.
func (s *State) worthMoving(now, seen time.Duration, t *target, r *run) bool {
	if r.task.step.Lasting || r.task.step.Gang || r.task.step.Fills || r.task.job.dropped {
		return false
	}
	elsewhere := now + s.options.StopTime + r.expected
	if elsewhere > r.task.job.useful && !r.task.job.kept() || !s.roomElsewhere(t, r.task.step.Each) {
		return false
	}
	if r.ordered > t.health.since {
		// It finds out whether the target is well again.
		return r.overdue(seen)
	}
	speed := max(t.health.speed, float64(seen-r.ordered)/float64(r.expected))
	here := r.ordered + time.Duration(speed*float64(r.expected))
	return r.overdue(seen) || speed > slowSpeed && here > elsewhere+r.expected/2
}
