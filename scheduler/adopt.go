package scheduler

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

// handedAttachTimeout is how long a job that was handed over runs before the leaving VM has asked for
// its outcome. The leaving VM asks for hundreds of them at once, with little processor. The leases of
// such a job's runs end at the latest as if its caller had left at the handover.
const handedAttachTimeout = 600 * time.Millisecond

// adoption is a successor's side of a handover.
type adoption struct {
	// done is set once a predecessor's jobs were taken, or won't be.
	done bool
	// waiting holds the requests for jobs that have not arrived yet, by key.
	waiting map[string]waitingRequest
}

// waitingRequest is a request for the outcome of a job whose handover is not known here yet.
type waitingRequest struct {
	sub   Submission
	since time.Duration
}

// AdoptJobs takes the jobs and runs of a leaving owner over. asked is when the request was sent whose
// answer the handover is; newRef returns an unused reference. Call it before the first Effects after
// the targets became known. Only the first call counts.
func (s *State) AdoptJobs(now, asked time.Duration, h Handover, newRef func() Ref) {
	if s.adoption.done {
		return
	}
	s.adoption.done = true
	// The handover was made after this time.
	at := asked - h.Ago
	s.EntryKeepalive(h.From, at+s.options.KeepaliveTimeout)
	for entry, left := range h.Keepalives {
		s.EntryKeepalive(entry, at+left)
	}
	s.lastRunNumber = max(s.lastRunNumber, h.LastRun)
	for _, t := range h.Targets {
		s.adoptTarget(now, at, t)
	}
	runs := 0
	for _, handed := range h.Jobs {
		handed.Submission.Ref, handed.Submission.Entry = newRef(), h.From
		handed.Submission.Age += now - at
		runs += len(handed.Runs)
		s.adoptJob(now, at, handed)
	}
	for _, key := range sortedKeys(s.adoption.waiting) {
		waiting := s.adoption.waiting[key]
		delete(s.adoption.waiting, key)
		s.attachHanded(now, waiting.sub)
	}
	s.emit(LogEvent{
		Message: "jobs taken over", Detail: fmt.Sprintf("%d jobs with %d runs on %d targets, from %s", len(h.Jobs), runs, len(h.Targets), h.From), Age: now - at,
	})
}

// describeHandover describes a handover for the log.
func describeHandover(h Handover, kept int) string {
	return fmt.Sprintf("%d jobs, %d targets, %d targets kept", len(h.Jobs), len(h.Targets), kept)
}

// adoptTarget makes a target known with what the leaving owner knew of its clock and lease.
func (s *State) adoptTarget(now, at time.Duration, handed HandedTarget) {
	t := s.targets[handed.ID]
	if t == nil {
		s.ListedAtStart(handed.ID, handed.Incarnation)
		s.TargetListed(now, handed.Target)
		t = s.targets[handed.ID]
		if handed.Unlisted {
			t.unlistedSince, t.retired = now, true
		}
	}
	if t.Incarnation != handed.Incarnation || t.fenced {
		return
	}
	t.lease.update(handed.Clock, now)
	t.lease.until = max(t.lease.until, handed.LeaseUntil)
	t.handedOver = handed.AllRunsKnown
	if handed.AnsweredAgo > 0 {
		t.answeredPollSentAt = max(t.answeredPollSentAt, at-handed.AnsweredAgo)
	}
	s.markChanged(t)
}

// mayRenewAtFirst reports whether the first poll of a target may renew the lease there: its runs are all
// known from the leaving owner, and none is to be stopped. A successor with little processor needs up to
// a second for the first polls of all targets, and the leases would lapse meanwhile.
func (s *State) mayRenewAtFirst(now time.Duration, t *target) bool {
	if !t.handedOver || t.fenced || t.failedPolls > 0 || t.needsClaim || len(t.runs) == 0 {
		return false
	}
	for _, r := range t.runs {
		if r.stop != nil {
			return false
		}
	}
	return s.leaseEnd(now, t, nil) >= t.lease.endAfter(now, s.options.Lease/minLeaseDivisor)
}

// adoptJob takes one job over. A job whose caller is not presumed to wait any more, or that this owner
// runs for another request already, has its runs stopped; so have all jobs if this owner leaves itself.
func (s *State) adoptJob(now, at time.Duration, handed HandedJob) {
	j := s.newJob(now, handed.Submission)
	j.handedAt, j.firstOrdered = max(at, 1), now
	j.possibleStarts = 1
	stop := handed.Ended || s.leaving || !s.hasKeepalive(now, j) || len(s.jobsInConflict(j)) > 0
	for i, t := range j.tasks {
		t.fails, t.failedAt = handed.Fails[i], now
		t.savedState().value = handed.Saved[i]
	}
	if stop {
		s.emit(Count{"jobs_handed_over", "stopped"})
		j.ended, j.endedAt = true, at-handed.EndedAgo
	} else {
		s.emit(Count{"jobs_handed_over", "taken over"})
		s.jobs[j.sub.Ref] = j
		s.hold(j)
		s.addOpen(j)
	}
	for _, r := range handed.Runs {
		s.adoptRun(now, at, j, r)
	}
	if stop {
		if !handed.Ended {
			s.rememberOutcome(now, j.sub, work.Outcome{Result: work.Unknown, Reason: "the job could not be taken over"})
		}
		return
	}
	j.record(now, "taken over", "", "", j.sub.Entry)
	j.updateSortKey()
	s.enqueue(j)
}

// jobsInConflict returns the open jobs with the same ID that may run the same tasks.
func (s *State) jobsInConflict(j *job) []*job {
	var conflicts []*job
	for _, other := range s.openByID[j.sub.Job.ID] {
		if other.sub.Part == nil || other.sub.Entry != j.sub.Entry {
			conflicts = append(conflicts, other)
		}
	}
	return conflicts
}

// adoptRun takes a run over. The start of one that has no answer is sent again: its target tells whether
// it began, and refuses the copy once the run has ended. Runs that are to be stopped are stopped under
// this owner's token, so that late starts of them are refused.
func (s *State) adoptRun(now, at time.Duration, j *job, handed HandedRun) {
	t := s.targets[handed.Target]
	if handed.Task < 0 || handed.Task >= len(j.tasks) || t == nil || t.runs[j.tasks[handed.Task].name] != nil {
		return
	}
	tk := j.tasks[handed.Task]
	r := &run{
		RunID: work.RunID{Task: tk.name, Number: handed.Number}, task: tk, target: t, state: uncertain,
		ordered: at - handed.OrderedAgo, leaseUntil: handed.LeaseUntil, expected: tk.step.expectedRuntime,
		resumeFrom: handed.ResumeFrom, saved: handed.Saved, adopted: true,
	}
	tk.step.pending = removeTask(tk.step.pending, tk)
	j.possibleStarts++
	s.assignRun(t, r)
	if handed.Phase == PhaseRunning || handed.Phase == PhaseStopping {
		r.state, r.runningSince = running, at-handed.RunningAgo
	}
	switch {
	case j.ended:
		s.stoppingRuns[j.sub.Job.ID]++
		s.stop(now, r)
	case handed.Phase == PhaseRunning:
	case handed.Phase == PhaseOrdered && !t.mayHaveRestarted(now):
		r.state = ordered
		r.copies = orderCopies{count: 1}
		s.sendStart(now, r)
	default:
		s.stop(now, r)
	}
}

// removeTask returns tasks without one of them.
func removeTask(tasks []*task, tk *task) []*task {
	for i, other := range tasks {
		if other == tk {
			return append(tasks[:i:i], tasks[i+1:]...)
		}
	}
	return tasks
}

// attachHanded connects the leaving VM's request to the job that it has handed over. The request may
// arrive before the handover, or after the end of the job.
func (s *State) attachHanded(now time.Duration, sub Submission) {
	unattached := sub
	unattached.Request = 0
	past, ended := s.recentOutcomes[unattached.ref()]
	j := s.jobsByKey[sub.key()]
	switch {
	case s.wasGivenUp(now, sub):
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "its entry VM has given it up"})
	case j != nil && j.handedAt > 0 && j.sub.Entry == sub.Entry:
		vouchers := j.sub.Vouchers
		s.attachCaller(now, j, sub)
		j.sub.Vouchers, j.attached = vouchers, true
	case ended:
		s.rememberOutcome(now, sub, past.outcome)
		s.answer(sub, past.outcome)
	case s.adoption.done || s.leaving || len(s.adoption.waiting) >= maxRecentOutcomes:
		s.answer(sub, work.Outcome{Result: work.Unknown, Reason: "the job was not handed over"})
	default:
		if earlier, waits := s.adoption.waiting[sub.key()]; waits {
			s.answer(earlier.sub, work.Outcome{Result: work.Unknown, Reason: "the job was asked for again"})
		}
		if s.adoption.waiting == nil {
			s.adoption.waiting = map[string]waitingRequest{}
		}
		s.adoption.waiting[sub.key()] = waitingRequest{sub, now}
	}
}

// cancelWaiting forgets the request of a caller that has left before the handover arrived.
func (s *State) cancelWaiting(ref Ref) {
	for key, waiting := range s.adoption.waiting {
		if waiting.sub.Ref == ref {
			delete(s.adoption.waiting, key)
		}
	}
}

// expireWaiting answers the requests for jobs whose handover didn't arrive.
func (s *State) expireWaiting(now time.Duration) {
	for _, key := range sortedKeys(s.adoption.waiting) {
		if waiting := s.adoption.waiting[key]; now-waiting.since > handedAttachTimeout {
			delete(s.adoption.waiting, key)
			s.answer(waiting.sub, work.Outcome{Result: work.Unknown, Reason: "the job was not handed over"})
		}
	}
}

// isUnclaimed reports whether the leaving VM has not asked for a job's outcome in time.
func (j *job) isUnclaimed(now time.Duration) bool {
	return j.handedAt > 0 && !j.attached && now-j.handedAt > handedAttachTimeout
}
