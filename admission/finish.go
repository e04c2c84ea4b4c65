package admission

import (
	"container/list"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

const (
	// defaultStragglerFactor is the multiple of the 95th percentile beyond which
	// a task is a straggler when the profile names none.
	defaultStragglerFactor = 8
	// minStragglerRunTime is the run time below which no task is a straggler.
	minStragglerRunTime = time.Second
)

// Straggler is a task that runs far longer than others, with the action that its
// profile asks for.
type Straggler struct {
	TaskRef
	Action profile.StragglerAction
}

// lookup returns a task that was handed out and has not ended, with its submission;
// nil for any other.
func (s *State) lookup(ref TaskRef) (*submission, *task) {
	u := s.subs[ref.ID]
	if u == nil || ref.Task < 0 || ref.Task >= len(u.tasks) || u.tasks[ref.Task].run == nil {
		return nil, nil
	}
	return u, &u.tasks[ref.Task]
}

// RecordStart records that a target has accepted a task.
func (s *State) RecordStart(now time.Duration, ref TaskRef) {
	u, t := s.lookup(ref)
	if u == nil || t.run.element != nil {
		return
	}
	t.run.startedAt = now
	t.run.element = u.queue.started.PushBack(t.run)
}

// RecordEnd records the end of a task that was handed out, and learns from its run
// time. It is called once for each such task, also when its submission is gone.
func (s *State) RecordEnd(now time.Duration, ref TaskRef, ran time.Duration, outcome Outcome) {
	u, t := s.lookup(ref)
	if u == nil {
		return
	}
	q := u.queue
	q.tag[t.run.band] += (ran - t.run.charged).Seconds() / q.weight()
	q.learn(now, u, t, ran, outcome)
	q.endRun(t)
	u.finished++
	s.releaseTask(u)
}

// learn records a run time for predictions. The run time of a failed task does not
// predict that of others. A stopped task would have taken longer than it ran, so it
// counts when it ran longer than expected.
func (q *queue) learn(now time.Duration, u *submission, t *task, ran time.Duration, outcome Outcome) {
	longer := outcome == OutcomeStopped && ran > t.expected
	if outcome == OutcomeDone || longer {
		q.runs.observe(now, ran, t.declared, !u.runObserved)
		u.runObserved = true
	}
}

// endRun removes the run of a task from the started ones.
func (q *queue) endRun(t *task) {
	if t.run.element != nil {
		q.started.Remove(t.run.element)
	}
	t.run = nil
}

// releaseTask subtracts a task that is no longer out from the counts, and deletes
// its submission when it is gone or all its tasks have finished.
func (s *State) releaseTask(u *submission) {
	u.out--
	u.queue.out--
	if u.out == 0 && (u.gone || u.finished == len(u.tasks)) {
		s.giveUps.remove(u)
		delete(s.subs, u.id)
	}
	s.refresh(u.queue)
	s.forgetIdle(u.queue)
}

// Requeue returns a task to the queue that a target refused as not started, or
// that was not sent. It is handed out again before other tasks of its submission.
func (s *State) Requeue(ref TaskRef) {
	u, t := s.lookup(ref)
	if u == nil {
		return
	}
	q := u.queue
	q.tag[t.run.band] -= t.run.charged.Seconds() / q.weight()
	q.endRun(t)
	if u.gone {
		s.releaseTask(u)
		return
	}
	u.out--
	q.out--
	u.requeued = append(u.requeued, ref.Task)
	u.waiting++
	u.work += t.expected
	q.waiting++
	s.waiting++
	s.reposition(u)
	s.refresh(q)
}

// Remove drops submissions that were cancelled or have failed, and returns their
// tasks that are out. None of their tasks is handed out any more. The caller still
// reports the end of those that are out with RecordEnd or Requeue.
func (s *State) Remove(now time.Duration, ids ...ID) []TaskRef {
	var out []TaskRef
	for _, id := range ids {
		u := s.subs[id]
		if u == nil || u.gone {
			continue
		}
		out = append(out, u.outRefs()...)
		s.drop(now, u)
		s.forgetIdle(u.queue)
	}
	return out
}

// outRefs returns the tasks that were handed out and have not ended.
func (u *submission) outRefs() []TaskRef {
	if u.out == 0 {
		return nil
	}
	refs := make([]TaskRef, 0, u.out)
	for i := range u.tasks {
		if r := u.tasks[i].run; r != nil {
			refs = append(refs, r.ref)
		}
	}
	return refs
}

// drop marks a submission as gone and removes it from the queues.
func (s *State) drop(now time.Duration, u *submission) {
	u.gone = true
	q := u.queue
	q.subs.remove(u)
	s.giveUps.remove(u)
	q.waiting -= u.waiting
	s.waiting -= u.waiting
	u.waiting = 0
	if q.waiting == 0 {
		q.drain.endBacklog(now)
	}
	if u.out == 0 {
		delete(s.subs, u.id)
	}
	s.refresh(q)
}

// Expire gives up the submissions whose deadline has passed, and those that can
// no longer finish before it. Each is returned once, with its final failure.
func (s *State) Expire(now time.Duration) []GivenUp {
	var given []GivenUp
	for u := s.giveUps.top(); u != nil && u.giveUpAt <= now; u = s.giveUps.top() {
		given = append(given, GivenUp{ID: u.id, Failure: s.expiryFailure(now, u), Out: u.outRefs()})
		s.drop(now, u)
		s.forgetIdle(u.queue)
	}
	return given
}

// expiryFailure returns the failure of a submission given up for its deadline.
func (s *State) expiryFailure(now time.Duration, u *submission) *api.Failure {
	q := u.queue
	wait := seconds(float64(q.waiting) / s.drainRate(now, q))
	f := &api.Failure{Kind: api.KindDeadlineExceeded, Run: api.NotRun, Key: string(u.id)}
	f.RetryAfterMS = retryAfterMS(u.id, wait)
	f.Message = "the work can't finish before its deadline and was not run: submit it again under a new key when retry_after_ms have passed, or with a later deadline"
	if u.hasBegun() {
		f.Run = api.Failed
		f.Message = "the work can't finish before its deadline, and some of its tasks were started: submit it again under a new key only if it is idempotent, with a later deadline"
	}
	return f
}

// removedProfileFailure returns the failure of a submission whose profile was removed.
func removedProfileFailure(u *submission) *api.Failure {
	f := refuse(api.KindUnknownProfile, "profile %q was removed while the work waited: pick another profile and submit again under a new key", u.queue.profile.Name)
	f.Key = string(u.id)
	return f
}

// Stragglers returns the tasks that have become stragglers, each once. Profiles
// that let stragglers run report none.
func (s *State) Stragglers(now time.Duration) []Straggler {
	var found []Straggler
	for _, name := range s.names {
		found = s.queues[name].stragglers(now, found)
	}
	return found
}

// stragglers appends the new stragglers of a queue to found. A reported task leaves
// the list of started ones, but keeps an element, so that RecordStart does not add it
// again.
func (q *queue) stragglers(now time.Duration, found []Straggler) []Straggler {
	action := q.profile.Straggler
	longest := q.stragglerAfter()
	if action == "" || action == profile.StragglerWait || longest == 0 {
		return found
	}
	for e := q.started.Front(); e != nil; e = q.started.Front() {
		r := e.Value.(*running)
		if now-r.startedAt <= longest {
			break
		}
		found = append(found, Straggler{TaskRef: r.ref, Action: action})
		q.started.Remove(e)
		r.element = &list.Element{}
	}
	return found
}

// stragglerAfter returns the run time beyond which a task is a straggler, or 0
// before there are enough observations.
func (q *queue) stragglerAfter() time.Duration {
	p95 := q.runs.percentile(95)
	if p95 == 0 {
		return 0
	}
	factor := q.profile.StragglerFactor
	if factor <= 0 {
		factor = defaultStragglerFactor
	}
	return max(time.Duration(factor*float64(p95)), minStragglerRunTime)
}
