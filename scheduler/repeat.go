package scheduler

import "time"

// Wall tells the time since 1970.
func (s *State) Wall(now, wall time.Duration) { s.wall = wall - now }

// dueSteps counts the steps of a job whose occurrences are due.
func (s *State) dueSteps(now time.Duration, j *job) int {
	repeats := j.sub.Job.Repeats
	if repeats.Count == 0 {
		return len(j.steps)
	}
	each, due := len(j.sub.Job.Steps), j.due
	for due < len(j.steps) && s.wall+now >= repeats.Due(due/each) {
		due += each
	}
	return due
}

// expectDue has a stored job looked at when its next occurrence is due.
func (s *State) expectDue(j *job) {
	if j.due < len(j.steps) {
		s.repeated[j] = true
	}
}

// callDue has the occurrences run that are due by now. The job's place in the order of
// waiting jobs is that of the newest one.
func (s *State) callDue(now time.Duration) {
	for j := range s.repeated {
		due := s.dueSteps(now, j)
		if due == j.due {
			continue
		}
		j.due = due
		if due == len(j.steps) {
			delete(s.repeated, j)
		}
		j.begin(now)
		s.reorder(j)
	}
}

// begin counts the job's times from now on.
func (j *job) begin(now time.Duration) {
	objective, chain := j.objective-j.arrived, j.chain()
	j.arrived, j.late, j.useless = now, false, false
	j.objective = now + objective
	j.latest = j.objective - chain
	j.useful = now + usefulFactor*objective
}
