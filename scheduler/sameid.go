package scheduler

import "slices"

// A job may be here more than once: whole, as its caller has sent it again, and as parts that owners
// have lent which run different requests for it. Its tasks run only for the request that came first,
// until that is over.

// addOpen records a job of a caller, or a part, that has been accepted.
func (s *State) addOpen(j *job) {
	if !j.isDurable() {
		s.openByID[j.sub.Job.ID] = append(s.openByID[j.sub.Job.ID], j)
	}
}

// removeOpen forgets a job that has ended.
func (s *State) removeOpen(j *job) {
	id := j.sub.Job.ID
	others := slices.DeleteFunc(s.openByID[id], func(other *job) bool { return other == j })
	if len(others) == 0 {
		delete(s.openByID, id)
		return
	}
	s.openByID[id] = others
}

// hasEarlierRequest reports whether an earlier request may run tasks of a job. Parts from one lender
// have no task in common.
func (s *State) hasEarlierRequest(j *job) bool {
	for _, other := range s.openByID[j.sub.Job.ID] {
		if other == j {
			return false
		}
		if other.sub.Part == nil || j.sub.Part == nil || other.sub.Entry != j.sub.Entry {
			return true
		}
	}
	return false
}
