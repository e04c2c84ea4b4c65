package admission

import "time"

const (
	// fairPickInterval is the number of picks of which one goes to the profile
	// that was served least recently, whatever its band, so that none starves.
	fairPickInterval = 16
	// setAsideChecks is the number of set-aside profiles that one call checks
	// before it picks.
	setAsideChecks = 8
)

// Next hands out the next task to start. usable reports whether limit units of a
// profile are free; it may be called more than once for a profile and must take
// none. The caller takes the units of the returned task. It ends each task that
// was handed out with RecordEnd or Requeue.
//
// A profile that is not usable is set aside. Each call checks some of the profiles
// set aside again, and all of them when no other profile has a task to start.
func (s *State) Next(now time.Duration, usable func(profileName string) bool) (TaskRef, bool) {
	s.recheck(usable, min(setAsideChecks, len(s.setAsideQueues)))
	q, fair := s.pick(usable)
	if q == nil {
		s.recheck(usable, len(s.setAsideQueues))
		q, fair = s.pick(usable)
	}
	if q == nil {
		return TaskRef{}, false
	}
	return s.handOut(now, q, fair), true
}

// recheck calls usable for the n queues that were set aside first, and returns
// the usable ones to the heaps.
func (s *State) recheck(usable func(string) bool, n int) {
	for range n {
		q := s.setAsideQueues[0]
		s.setAsideQueues = s.setAsideQueues[1:]
		if !usable(q.profile.Name) {
			s.setAsideQueues = append(s.setAsideQueues, q)
			continue
		}
		q.isSetAside = false
		s.refresh(q)
	}
}

// pick returns the queue to serve, or nil, and sets aside the unusable ones that
// come before it. fair says that it is picked as the least recently served one.
func (s *State) pick(usable func(string) bool) (q *queue, fair bool) {
	fair = (s.picks+1)%fairPickInterval == 0
	for {
		q = s.ready.top()
		if fair {
			q = s.leastServed.top()
		}
		if q == nil || usable(q.profile.Name) {
			return q, fair
		}
		s.setAside(q)
	}
}

// setAside moves a queue from the heaps to the list of unusable queues.
func (s *State) setAside(q *queue) {
	s.ready.remove(q)
	s.leastServed.remove(q)
	q.isSetAside = true
	s.setAsideQueues = append(s.setAsideQueues, q)
}

// handOut marks the next task of a queue as handed out, and charges it.
func (s *State) handOut(now time.Duration, q *queue, fair bool) TaskRef {
	u := q.subs.top()
	index := u.takeNext()
	t := &u.tasks[index]
	ref := TaskRef{ID: u.id, Task: index, Profile: q.profile.Name}
	t.run = &running{ref: ref, band: q.band, charged: t.expected}
	u.waiting--
	u.out++
	u.work -= t.expected
	s.waiting--
	q.waiting--
	q.out++
	q.drain.countHandedOut(now)
	if q.waiting == 0 {
		q.drain.endBacklog(now)
	}
	s.charge(q, t.run, fair)
	s.reposition(u)
	s.refresh(q)
	return ref
}

// takeNext removes the next task from those to hand out, and returns its index.
// Requeued tasks come first.
func (u *submission) takeNext() int {
	if n := len(u.requeued); n > 0 {
		index := u.requeued[n-1]
		u.requeued = u.requeued[:n-1]
		return index
	}
	u.next++
	return u.next - 1
}

// charge adds the expected slot time of a task to the tag of its queue; RecordEnd
// corrects it by the actual time.
func (s *State) charge(q *queue, r *running, fair bool) {
	s.picks++
	q.servedAt = s.picks
	if !fair {
		s.virtual[q.band] = max(s.virtual[q.band], q.tag[q.band])
	}
	q.tag[q.band] += r.charged.Seconds() / q.weight()
}

// reposition updates the give-up time and rank of a submission whose tasks
// changed, and its places in the heaps.
func (s *State) reposition(u *submission) {
	u.giveUpAt = u.deadlineAt
	if u.waiting > 0 {
		u.giveUpAt -= u.minTime
	}
	s.giveUps.put(u)
	if u.waiting == 0 {
		u.queue.subs.remove(u)
		return
	}
	u.rank = s.config.Order.Rank(u.job())
	u.queue.subs.put(u)
}

// job returns the submission in the form that Order ranks.
func (u *submission) job() Job {
	return Job{
		ArrivedAt:    u.arrivedAt,
		DeadlineAt:   u.deadlineAt,
		Work:         u.work,
		Longest:      u.longest,
		SmallerShare: u.smallerShare,
	}
}
