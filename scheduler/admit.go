package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Submit accepts a job, or answers at once why it is not run.
func (s *State) Submit(now time.Duration, sub Submission) {
	if s.isSuperseded(now, sub) {
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "the job was asked for again"})
		return
	}
	if s.wasGivenUp(now, sub) {
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "its entry VM has given it up"})
		return
	}
	if sub.isStale(now) {
		s.answer(sub, work.Outcome{Result: work.Moved, Reason: "the request waited too long at this VM"})
		return
	}
	s.admit(now, sub)
}

// admit accepts a job, or answers at once why it is not run. Unlike Submit it does not check
// whether a later request replaced this one.
func (s *State) admit(now time.Duration, sub Submission) {
	if sub.Handed {
		s.attachHanded(now, sub)
		return
	}
	if s.leaving {
		s.answer(sub, work.Outcome{Result: work.Moved, Reason: "another VM orders the targets"})
		return
	}
	if j := s.jobsByKey[sub.key()]; j != nil {
		switch {
		case j.isDurable():
			s.attachDurable(j, sub)
		case !slices.Equal(j.sub.Part, sub.Part):
			s.answer(sub, work.Outcome{Result: work.Refused, Reason: "another part of the job runs here"})
		default:
			s.emit(Count{"jobs_seen_again", "present"})
			s.attachCaller(now, j, sub)
		}
		return
	}
	if reason, poisoned := s.poisonedReason(sub); poisoned {
		s.answer(sub, work.Outcome{Result: work.Failed, Reason: reason})
		return
	}
	if s.cordon.isCordoned() {
		s.answer(sub, work.Outcome{Result: work.Refused, Reason: cordonedReason, RetryAfter: cordonedRetryAfter})
		return
	}
	if !s.hasMemoryFor(sub.Job) {
		s.emit(Count{"jobs_beyond_memory", sub.Queue.Name})
		s.answer(sub, work.Outcome{Result: work.Refused, Reason: "the owner holds as many jobs as its memory allows", RetryAfter: fullRetryAfter})
		return
	}
	j := s.newJob(now, sub)
	if why := s.unservableReason(j); why != "" {
		s.answer(sub, work.Outcome{Result: work.Refused, Reason: why, RetryAfter: unservableRetryAfter})
		return
	}
	if sub.Part != nil {
		if !s.canTakePart(now, j) {
			s.answer(sub, work.Outcome{Result: work.Refused, Reason: "no room for a part"})
			return
		}
	} else if wait, ok := s.forecastStart(now, j); !ok {
		s.refuse(now, j, wait)
		return
	}
	j.pool.recordDemand(now, j)
	j.record(now, "taken", "", "", s.describeLoad(j))
	s.noteSeenAgain(now, j)
	s.jobs[sub.Ref] = j
	s.hold(j)
	s.addOpen(j)
	if s.restoreLosses(now, j); j.ended {
		return
	}
	if j.isDurable() {
		s.store(j)
		return
	}
	s.enqueue(j)
}

// unservableRetryAfter is when a caller may retry a job that no known target can run.
const unservableRetryAfter = 5 * time.Second

func (s *State) answer(sub Submission, outcome work.Outcome) {
	s.emit(Answer{Ref: sub.Ref, Outcome: outcome})
}

// attachCaller connects a running job to the caller that sent it again; that caller has given up
// its earlier request.
func (s *State) attachCaller(now time.Duration, j *job, sub Submission) {
	s.answer(j.sub, work.Outcome{Result: work.Unknown, Reason: "the job was sent again"})
	delete(s.jobs, j.sub.Ref)
	if j.queued {
		at, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
		s.waiting = slices.Delete(s.waiting, at, at+1)
		j.queued = false
	}
	if j.sub.Request != sub.Request {
		j.askedAgain = 0
	}
	j.sub.Ref, j.sub.Entry, j.sub.Origin, j.sub.Request = sub.Ref, sub.Entry, sub.Origin, sub.Request
	j.deadline = 0
	if sub.Wait > 0 {
		j.deadline = now - sub.Age + sub.Wait
	}
	s.jobs[sub.Ref] = j
	s.enqueue(j)
}

// RegistryRead records that the whole registry was read: a target not known now does not exist.
func (s *State) RegistryRead() { s.registryRead = true }

// unservableReason returns why no known target can ever run a job; empty if one can.
func (s *State) unservableReason(j *job) string {
	if !s.registryRead {
		return ""
	}
	if len(j.pool.targets) == 0 {
		return "no target of the service is known"
	}
	for _, st := range j.steps[:len(j.sub.Job.Steps)] {
		if !j.pool.canFit(st) {
			return "no target can hold one of its tasks: ask for less"
		}
		if st.Gang && !j.pool.canHoldGang(st) {
			return "the targets can't hold all tasks of a gang at once: ask for less"
		}
	}
	return s.profileLimitReason(j)
}

// describeLoad describes how busy the targets are, for job histories.
func (s *State) describeLoad(j *job) string {
	return fmt.Sprintf("%d jobs wait, needs %d of cpu, entry %s", len(s.waiting), j.initialNeed().total, j.sub.Entry)
}
