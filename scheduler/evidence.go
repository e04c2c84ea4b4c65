package scheduler

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A run that goes on after its owner took it for over leaves no trace at that owner. What is
// recorded here shows, by run number, on which fact each such conclusion rested. Runs that start
// and complete normally are neither logged nor counted.

// Count counts an event, by kind, without a log line.
type Count struct{ Name, Kind string }

func (Count) effect() {}

// RunFacts describe a run in a log line. Times of the target are on its own clock.
type RunFacts struct {
	Number int64
	// Route is how its start order went that was answered last, Copies how many were sent.
	Route  string
	Copies int
	// LeaseUntil is the lease end that the start asked for, TargetLease the latest one that this
	// owner asked of the target.
	LeaseUntil, TargetLease int64
	// Clock is the newest known value of the target's clock, which was read ClockAge ago.
	Clock    int64
	ClockAge time.Duration
	// StopAge is the time since the stop was ordered, StopAckAge since the target confirmed it; 0
	// where it wasn't.
	StopAge, StopAckAge time.Duration
}

// facts describes a run as of now.
func (r *run) facts(now time.Duration) *RunFacts {
	f := r.target.facts(now, r.Number)
	f.Route, f.Copies, f.LeaseUntil = r.route, r.copies.count, r.leaseUntil
	if r.stop != nil {
		f.StopAge = now - r.stop.first
		if r.stop.acked > 0 {
			f.StopAckAge = now - r.stop.acked
		}
	}
	return f
}

// facts describes a run that only its number is known of.
func (t *target) facts(now time.Duration, number int64) *RunFacts {
	return &RunFacts{Number: number, TargetLease: t.lease.until, Clock: t.lease.clock, ClockAge: now - t.lease.readAt}
}

// Bounds of what is remembered of runs and jobs whose end was not clean.
const (
	// evidenceRetention outlasts the lease of a run and the pause after which callers send again.
	evidenceRetention = 5 * time.Second
	maxEvidence       = 1024
	// returnedWait is how long a caller must have waited before to count as one that returned.
	returnedWait = 200 * time.Millisecond
	// returnedPartAge is the least age of a part whose job was probably sent again.
	returnedPartAge = time.Second
)

// evidence is what a State remembers to recognize runs that outlive their end.
type evidence struct {
	// lostRuns holds the runs taken for over without a listed completion.
	lostRuns map[work.RunID]lostRun
	// uncleanEnds holds, by job ID, the jobs that ended while something of them might run.
	uncleanEnds map[string]uncleanEnd
}

type lostRun struct {
	at  time.Duration
	why string
}

type uncleanEnd struct {
	at            time.Duration
	reason, entry string
}

func newEvidence() evidence {
	return evidence{lostRuns: map[work.RunID]lostRun{}, uncleanEnds: map[string]uncleanEnd{}}
}

func (e *evidence) expire(now time.Duration) {
	for run, lost := range e.lostRuns {
		if now-lost.at > evidenceRetention {
			delete(e.lostRuns, run)
		}
	}
	for id, end := range e.uncleanEnds {
		if now-end.at > evidenceRetention {
			delete(e.uncleanEnds, id)
		}
	}
}

func (e *evidence) addLostRun(now time.Duration, run work.RunID, why string) {
	if len(e.lostRuns) < maxEvidence {
		e.lostRuns[run] = lostRun{at: now, why: why}
	}
}

// noteLostRun records that a run counts as over without its work being done.
func (s *State) noteLostRun(now time.Duration, r *run, why string) {
	s.emit(Count{"runs_lost", why})
	if !r.endListed {
		s.evidence.addLostRun(now, r.RunID, why)
	}
	if r.task.job.ended || r.task.done {
		s.noteEndAfterJob(now, r, why)
	} else {
		r.task.job.hasRerun = true
	}
}

// noteEndAfterJob logs the end of a run whose job had ended before, unless the target has listed
// it soon after its stop.
func (s *State) noteEndAfterJob(now time.Duration, r *run, why string) {
	if r.endListed && (r.stop == nil || now-r.stop.first <= stopAnswerTimeout) {
		return
	}
	s.emit(LogEvent{
		Failure: true, Message: "run of an ended job is over", Counter: "runs_over_after_job", Kind: why,
		Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Detail: why, Age: now - r.ordered, Run: r.facts(now),
	})
}

// noteOverdueStop logs, once for each stop, that it has had no answer for so long that the lease
// of its target isn't renewed any more.
func (s *State) noteOverdueStop(now time.Duration, r *run) {
	if r.stop == nil || r.stop.noted || !r.stop.isOverdue(now) {
		return
	}
	r.stop.noted = true
	s.emit(LogEvent{
		Failure: true, Message: "stop unanswered", Counter: "stops_overdue", Kind: "run",
		Job: r.task.job.sub.Job.ID, Task: r.Task, Target: r.target.ID, Age: now - r.ordered, Run: r.facts(now),
	})
}

// noteRenewalWithheld counts, once until the next renewal, that a poll doesn't extend the lease.
func (s *State) noteRenewalWithheld(now time.Duration, t *target) {
	if !t.renewalWithheld {
		t.renewalWithheld = true
		s.emit(Count{"renewals_withheld", t.withheldCause(now)})
	}
}

func (t *target) withheldCause(now time.Duration) string {
	switch {
	case t.state != usable:
		return "target not usable"
	case t.failedPolls > 0:
		return "poll failed"
	case len(t.unknownRuns) > 0:
		return "unknown run"
	}
	for _, r := range t.runs {
		if r.stop != nil && r.stop.isOverdue(now) {
			return "stop unanswered"
		}
		if r.task.job.dropped {
			return "run left to another owner"
		}
	}
	return "other"
}

// orderedAfterFirstPoll reports whether a run was ordered after the target had answered this owner.
// Numbers follow the shared clock, which VMs read with a small error.
func (s *State) orderedAfterFirstPoll(t *target, run work.RunID) bool {
	ordered := time.Duration(run.Number/runNumbersPerMilli) * time.Millisecond
	return s.runClockSet && !isDurableRun(run) && t.fencedAt > 0 && ordered > s.runClockOffset+t.fencedAt+maxRunClockError
}

// maxRunClockError bounds by how much the shared clock differs between VMs.
const maxRunClockError = 50 * time.Millisecond

// noteStranger counts an unknown run that a target lists, and logs one that should not exist.
func (s *State) noteStranger(now time.Duration, t *target, unknown work.RunID) {
	lost, own := s.evidence.lostRuns[unknown]
	switch {
	case own:
		s.emit(LogEvent{
			Failure: true, Message: "run goes on that counted as over", Counter: "strangers", Kind: "counted as over",
			Task: unknown.Task, Target: t.ID, Detail: lost.why, Age: now - lost.at, Run: t.facts(now, unknown.Number),
		})
	case s.orderedAfterFirstPoll(t, unknown):
		s.emit(LogEvent{
			Failure: true, Message: "run of another owner appeared", Counter: "strangers", Kind: "ordered after the first poll",
			Task: unknown.Task, Target: t.ID, Detail: "ordered after this owner's first poll", Age: now - t.fencedAt, Run: t.facts(now, unknown.Number),
		})
	default:
		s.emit(Count{"strangers", "of an earlier owner"})
	}
}

// noteLateCompletion logs the completion of a run that counted as over before.
func (s *State) noteLateCompletion(now time.Duration, t *target, end work.Completion) {
	lost, own := s.evidence.lostRuns[end.Run]
	if !own {
		return
	}
	delete(s.evidence.lostRuns, end.Run)
	s.emit(LogEvent{
		Message: "run listed after it counted as over", Counter: "completions_late", Kind: string(end.Kind),
		Task: end.Run.Task, Target: t.ID, Detail: string(end.Kind) + "; it counted as over: " + lost.why, Age: now - lost.at, Run: t.facts(now, end.Run.Number),
	})
}

// noteUncleanEnd remembers a job that ended while something of it might still run.
func (s *State) noteUncleanEnd(now time.Duration, j *job, outcome work.Outcome) {
	if outcome.Result == work.Unknown && !j.stored && len(s.evidence.uncleanEnds) < maxEvidence {
		s.evidence.uncleanEnds[j.sub.Job.ID] = uncleanEnd{at: now, reason: outcome.Reason, entry: j.sub.Entry}
	}
}

// noteSeenAgain logs that a job arrives whole or as a part after an earlier one with its ID ended
// uncleanly here.
func (s *State) noteSeenAgain(now time.Duration, j *job) {
	earlier, known := s.evidence.uncleanEnds[j.sub.Job.ID]
	if !known {
		return
	}
	j.returned = true
	runs := s.stoppingRuns[j.sub.Job.ID]
	kind := "runs are over"
	if runs > 0 {
		kind = "runs may go on"
	}
	s.emit(LogEvent{
		Failure: runs > 0, Message: "job seen again", Counter: "jobs_seen_again", Kind: kind, Job: j.sub.Job.ID, Task: j.sub.key(), Age: now - earlier.at,
		Detail: fmt.Sprintf("%d earlier runs or parts may go on; it had ended: %s; entry %q, before %q", runs, earlier.reason, j.sub.Entry, earlier.entry),
	})
}

// notePartWithdrawn logs that the owner of a part is told to stop it.
func (s *State) notePartWithdrawn(now time.Duration, p *delegatedPart) {
	s.emit(LogEvent{
		Message: "part withdrawn", Counter: "parts", Kind: "withdrawn",
		Job: p.job.sub.Job.ID, Task: p.tasks[0].name, Detail: s.describePart(now, p), Age: now - p.since,
	})
}

// notePartReturned counts the outcome of a part, and logs it unless it is an ordinary one.
func (s *State) notePartReturned(now time.Duration, p *delegatedPart, outcome work.Outcome) {
	switch outcome.Result {
	case work.Completed:
	case work.Refused:
		s.emit(Count{"parts", outcome.Result.String()})
	default:
		s.emit(LogEvent{
			Failure: true, Message: "part returned", Counter: "parts", Kind: outcome.Result.String(),
			Job: p.job.sub.Job.ID, Task: p.tasks[0].name, Detail: outcome.Reason + ": " + s.describePart(now, p), Age: now - p.since,
		})
	}
}

// describePart names the tasks of a part, its owner and the age of that owner's last report.
func (s *State) describePart(now time.Duration, p *delegatedPart) string {
	names := make([]string, len(p.tasks))
	for i, t := range p.tasks {
		names[i] = t.name
	}
	return fmt.Sprintf("owner %s, its last report %v ago, tasks %v", p.to.owner, (now - s.reportedCapacity[p.to].at).Round(time.Millisecond), names)
}

// isReturned reports whether a submission's caller has probably sent the job before.
func (sub Submission) isReturned() bool {
	return sub.waitedBefore() >= returnedWait || sub.Part != nil && sub.Age >= returnedPartAge
}
