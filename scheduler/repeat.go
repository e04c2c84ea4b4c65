package scheduler

import "time"

// SetWallClock sets the Unix time that corresponds to now. Occurrences of jobs become due by it.
func (s *State) SetWallClock(now, wall time.Duration) { s.wallOffset = wall - now }

// countDueSteps counts the steps of the job that belong to occurrences that are due by now.
func (s *State) countDueSteps(now time.Duration, j *job) int {
	repeats := j.sub.Job.Recurrence
	if repeats.Count == 0 {
		return len(j.steps)
	}
	each, due := len(j.sub.Job.Steps), j.stepsDue
	for due < len(j.steps) && s.wallOffset+now >= repeats.DueAt(due/each) {
		due += each
	}
	return due
}

// watchOccurrences has startDueOccurrences check a stored job if it has occurrences not yet due.
func (s *State) watchOccurrences(j *job) {
	if j.stepsDue < len(j.steps) {
		s.recurringJobs[j] = true
	}
}

// startDueOccurrences lets the steps of all occurrences start that are due by now. A job's place
// among the waiting jobs is that of its newest occurrence.
func (s *State) startDueOccurrences(now time.Duration) {
	for j := range s.recurringJobs {
		due := s.countDueSteps(now, j)
		if due == j.stepsDue {
			continue
		}
		j.stepsDue = due
		if due == len(j.steps) {
			delete(s.recurringJobs, j)
		}
		j.resetTimes(now)
		s.reorder(j)
	}
}

// resetTimes restarts the job's objective and usefulness for an occurrence that is due now.
func (j *job) resetTimes(now time.Duration) {
	objective, chain := j.objective-j.arrived, j.expectedRuntime()
	j.arrived, j.late, j.useless = now, false, false
	j.objective = now + objective
	j.latestStart = j.objective - chain
	j.usefulUntil = now + usefulFactor*objective
}
