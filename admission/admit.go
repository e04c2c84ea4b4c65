package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockward/burdockward/api"
)

const (
	// fallbackDeadline is the deadline when neither the submission nor its
	// profile names one.
	fallbackDeadline = time.Minute
	// minRetryAfter and maxRetryAfter bound the advised time before a retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retryJitter is the part of the advised time by which it is lengthened at
	// most, so that callers don't retry together.
	retryJitter = 0.5
	// noTargetRetry is the advised time while no target is usable.
	noTargetRetry = 5 * time.Second
	// maxAheadVisits bounds the search for the submissions before a new one.
	maxAheadVisits = 64
	// minDrainRate keeps predictions finite when nothing drains, in tasks a second.
	minDrainRate = 0.01
)

// Admit adds a submission to the queue of its profile, or returns the final
// failure with which it is refused. It records the capacity like SetCapacity.
func (s *State) Admit(now time.Duration, sub Submission, c Capacity) *api.Failure {
	s.SetCapacity(c)
	q := s.queues[sub.Profile]
	if q != nil && sub.DeadlineAt == 0 {
		sub.DeadlineAt = now + q.deadline()
	}
	f := s.checkAndEnqueue(now, q, &sub)
	if f != nil {
		f.Key = string(sub.ID)
		s.refusals.add(sub.ID, f)
	}
	return f
}

// checkAndEnqueue adds a submission, or returns why it is refused.
func (s *State) checkAndEnqueue(now time.Duration, q *queue, sub *Submission) *api.Failure {
	if _, known := s.subs[sub.ID]; known {
		return &api.Failure{Kind: api.KindInternal, Run: api.OutcomeUnknown,
			Message: "the key was admitted before: ask for its outcome instead of submitting it again"}
	}
	if q == nil || q.retired {
		return refuse(api.KindUnknownProfile, "there is no profile %q: pick one of those that the operators have published", sub.Profile)
	}
	if f := q.checkRunnable(now, sub); f != nil {
		return f
	}
	if f := s.checkCapacity(now, q, sub); f != nil {
		return f
	}
	u := s.newSubmission(now, q, sub)
	if f := s.checkDeadline(now, q, u); f != nil {
		return f
	}
	s.enqueue(now, u)
	return nil
}

// deadline returns the time allowed to submissions that name no deadline.
func (q *queue) deadline() time.Duration {
	if q.profile.DeadlineMS > 0 {
		return milliseconds(q.profile.DeadlineMS)
	}
	if q.profile.MaxDeadlineMS > 0 {
		return milliseconds(q.profile.MaxDeadlineMS)
	}
	return fallbackDeadline
}

// checkRunnable refuses a submission that can't run however long it waits.
func (q *queue) checkRunnable(now time.Duration, sub *Submission) *api.Failure {
	p := &q.profile
	n := len(sub.Tasks)
	if n == 0 || n > api.MaxTasks {
		return refuse(api.KindNeverRunnable, "the submission has %d tasks: submit 1 to %d", n, api.MaxTasks)
	}
	if n > p.QueueTasks {
		return refuse(api.KindNeverRunnable, "the submission has %d tasks, and profile %q queues at most %d: split it, or ask the operators for a longer queue", n, p.Name, p.QueueTasks)
	}
	if q.quota == unknownTeam {
		return refuse(api.KindNeverRunnable, "profile %q counts against team %q, which has no quota: ask the operators to add the team", p.Name, p.Team)
	}
	if q.limit() <= 0 {
		return refuse(api.KindNeverRunnable, "profile %q may run no task in this failure domain: ask the operators to raise its limit or its team's quota, or submit in another failure domain", p.Name)
	}
	if longest := milliseconds(p.MaxDeadlineMS); longest > 0 && sub.DeadlineAt-now > longest {
		return refuse(api.KindNeverRunnable, "the deadline is %d ms away, and profile %q allows at most %d ms: name a shorter one", (sub.DeadlineAt - now).Milliseconds(), p.Name, p.MaxDeadlineMS)
	}
	limit := milliseconds(p.MaxRunMS)
	for i, declared := range sub.Tasks {
		if q.runs.exceedsLimit(now, declared, limit) {
			return refuse(api.KindNeverRunnable, "task %d is expected to run longer than the %d ms of profile %q, going by the declared and measured run times of earlier tasks: split the task, correct expected_ms, or pick a profile with longer runs", i, p.MaxRunMS, p.Name)
		}
	}
	return nil
}

// checkCapacity refuses a submission while no target is usable, or when it exceeds
// the free length of its profile's queue or of the VM's.
func (s *State) checkCapacity(now time.Duration, q *queue, sub *Submission) *api.Failure {
	n := len(sub.Tasks)
	if s.capacity.Slots <= 0 {
		return s.overloaded(sub.ID, noTargetRetry, "no target of this failure domain is usable at present")
	}
	rate := s.drainRate(now, q)
	if excess := q.waiting + n - q.profile.QueueTasks; excess > 0 {
		return s.overloaded(sub.ID, seconds(float64(excess)/rate), "the queue of profile %q is full (%d of %d tasks)", q.profile.Name, q.waiting, q.profile.QueueTasks)
	}
	if excess := s.waiting + n - s.config.MaxQueuedTasks; excess > 0 {
		return s.overloaded(sub.ID, seconds(float64(excess)/rate), "the VM's queue is full (%d tasks)", s.waiting)
	}
	return nil
}

// checkDeadline refuses a submission that can't finish before its deadline.
func (s *State) checkDeadline(now time.Duration, q *queue, u *submission) *api.Failure {
	left := u.deadlineAt - now
	if left <= 0 || left < u.minTime {
		return refuse(api.KindDeadlineTooShort, "the deadline is %d ms away, and such work takes at least %d ms: submit again under a new key with a later deadline", left.Milliseconds(), u.minTime.Milliseconds())
	}
	ahead := q.ahead(u)
	wait := seconds(float64(ahead) / s.drainRate(now, q))
	if wait+u.minTime > left {
		return s.overloaded(u.id, wait+u.minTime-left, "%d tasks go first under profile %q, and the deadline would pass before this work could finish", ahead, q.profile.Name)
	}
	return nil
}

// ahead returns the number of waiting tasks that go before a new submission. When
// the search exceeds maxAheadVisits, it returns the number of all waiting tasks.
func (q *queue) ahead(u *submission) int {
	tasks, ok := q.subs.sumBefore(u, maxAheadVisits, waitingTasks)
	if !ok {
		return q.waiting
	}
	return tasks
}

// drainRate returns the rate at which a profile's queue drains, in tasks a
// second: the measured rate while there is a backlog, else expectedRate.
func (s *State) drainRate(now time.Duration, q *queue) float64 {
	if rate, ok := q.drain.current(now); ok {
		return max(rate, minDrainRate)
	}
	return s.expectedRate(q)
}

// expectedRate returns the rate, in tasks a second, at which this VM's part of
// the slots would run a profile's tasks if no other profile used them.
func (s *State) expectedRate(q *queue) float64 {
	slots := float64(min(s.capacity.Slots, q.limit())) * s.capacity.Share
	return max(slots/q.runs.mean, minDrainRate)
}

// newSubmission makes the record of a submission, without queueing it.
func (s *State) newSubmission(now time.Duration, q *queue, sub *Submission) *submission {
	u := &submission{id: sub.ID, queue: q, arrival: s.arrivals + 1, arrivedAt: now, deadlineAt: sub.DeadlineAt}
	u.minTime = q.runs.minTime(now, len(sub.Tasks))
	u.tasks = make([]task, len(sub.Tasks))
	u.waiting = len(sub.Tasks)
	for i, declared := range sub.Tasks {
		declared = min(max(declared, 0), maxRecordedRun)
		expected := q.runs.expect(declared)
		u.tasks[i] = task{declared: declared, expected: expected}
		u.work += expected
		u.longest = max(u.longest, expected)
	}
	u.smallerShare = q.sizes.smallerShare(u.work)
	u.rank = s.config.Order.Rank(u.job())
	return u
}

// enqueue adds an admitted submission to the queue of its profile.
func (s *State) enqueue(now time.Duration, u *submission) {
	q := u.queue
	s.arrivals++
	s.subs[u.id] = u
	if q.waiting == 0 {
		q.servedAt = s.picks
	}
	s.waiting += u.waiting
	q.waiting += u.waiting
	q.sizes.observe(u.work)
	q.drain.beginBacklog(now, seconds(q.runs.mean), s.expectedRate(q))
	s.reposition(u)
	s.refresh(q)
}

// refuse returns the failure of a submission of which no task was run.
func refuse(kind api.Kind, format string, args ...any) *api.Failure {
	return &api.Failure{Kind: kind, Run: api.NotRun, Message: fmt.Sprintf(format, args...)}
}

// overloaded returns the failure of a submission that may be repeated after a wait.
func (s *State) overloaded(id ID, wait time.Duration, format string, args ...any) *api.Failure {
	f := refuse(api.KindOverloaded, format, args...)
	f.RetryAfterMS = retryAfterMS(id, wait)
	f.Message += fmt.Sprintf(": submit again under a new key after %d ms", f.RetryAfterMS)
	return f
}

// retryAfterMS bounds a wait and lengthens it by a part that depends on the id
// alone, so that callers refused together don't retry together.
func retryAfterMS(id ID, wait time.Duration) int64 {
	spread := float64(xxhash.Sum64String(string(id))) / float64(math.MaxUint64)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(retryJitter * spread * float64(wait))
	return min(wait, maxRetryAfter).Milliseconds()
}

// milliseconds converts to a duration, and bounds the result instead of overflowing.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}
