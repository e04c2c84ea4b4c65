package placement

import (
	"slices"
	"time"
)

const (
	// maxJobs bounds the failing submissions that are stored.
	maxJobs = 4096
	// maxJobFailures is the number of targets beyond which a failing submission
	// counts against none of them.
	maxJobFailures = 16
)

// jobTable holds the targets at which submissions failed. Beyond maxJobs the oldest
// submission is removed.
type jobTable struct {
	jobs  map[string]*job
	order []string
	next  int
}

// job is a submission with failed tasks.
type job struct {
	failures []failure
	racks    []int
	// poisonous says that it failed at more than maxJobFailures targets, so that
	// it counts against none of them.
	poisonous bool
}

// failure is the failure of a submission at one target.
type failure struct {
	target *target
	// weight is the evidence of the failure alone, in nats.
	weight float64
	// counted is the part of weight that is in the target's evidence.
	counted float64
}

func newJobTable() jobTable {
	return jobTable{jobs: make(map[string]*job)}
}

// get returns the record of a submission, a new one when it has none.
func (j *jobTable) get(submission string) *job {
	if found := j.jobs[submission]; found != nil {
		return found
	}
	added := &job{}
	if len(j.order) < maxJobs {
		j.order = append(j.order, submission)
	} else {
		delete(j.jobs, j.order[j.next])
		j.order[j.next] = submission
		j.next = (j.next + 1) % maxJobs
	}
	j.jobs[submission] = added
	return added
}

// addFailure adds the failure of a submission to the evidence against the target.
// Each failure of the submission is weighted by 1 / the number of racks in which
// it failed.
func (s *State) addFailure(now time.Duration, t *target, submission string, weight float64) {
	j := s.jobs.get(submission)
	known := slices.ContainsFunc(j.failures, func(f failure) bool { return f.target == t })
	if known || j.poisonous {
		return
	}
	j.failures = append(j.failures, failure{target: t, weight: weight})
	if !slices.Contains(j.racks, t.rack) {
		j.racks = append(j.racks, t.rack)
	}
	t.failedJobs = addRecent(t.failedJobs, submission, quarantineJobs)
	share := 1 / float64(len(j.racks))
	if len(j.failures) > maxJobFailures {
		j.poisonous = true
		share = 0
	}
	for i := range j.failures {
		s.updateFailure(now, &j.failures[i], share)
	}
	if j.poisonous {
		j.failures = nil
	}
}

// updateFailure changes the share of a failure that counts in the evidence against
// its target. A target in quarantine for failures is reinstated when its evidence
// falls below doubtedEvidence before a probe succeeded.
func (s *State) updateFailure(now time.Duration, f *failure, share float64) {
	counted := f.weight * share
	t := f.target
	t.evidence = max(0, t.evidence+counted-f.counted)
	f.counted = counted
	if t.cause == CauseFailures && t.probeSuccesses == 0 && t.evidence < doubtedEvidence {
		s.reinstate(t)
		return
	}
	s.updateDoubted(now, t)
}
