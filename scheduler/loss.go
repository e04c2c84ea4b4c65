package scheduler

import (
	"slices"
	"time"
)

// What becomes of a loss once it is recorded: it is provisional until it is confirmed, cleared or left
// undecided; see crash.go.

// decidedLosses returns the losses that count towards failing the job, or may do so yet.
func (t *task) decidedLosses() []*targetLoss {
	var decided []*targetLoss
	for _, loss := range t.currentLosses() {
		if !loss.undecided {
			decided = append(decided, loss)
		}
	}
	return decided
}

// confirmedLosses returns the losses of targets whose incarnations have certainly ended.
func (t *task) confirmedLosses() []*targetLoss {
	var confirmed []*targetLoss
	for _, loss := range t.currentLosses() {
		if loss.Confirmed {
			confirmed = append(confirmed, loss)
		}
	}
	return confirmed
}

// hasUnresolvedLoss reports whether a task with lossesToFail losses has to wait until none of them is
// provisional, or one with maxLosses losses until no target may return.
func (t *task) hasUnresolvedLoss() bool {
	losses := t.decidedLosses()
	provisional, absent := false, false
	for _, loss := range losses {
		absent = absent || loss.absentSince > 0
		provisional = provisional || !loss.Confirmed && loss.absentSince == 0
	}
	return len(losses) >= lossesToFail && provisional || len(losses) >= maxLosses && absent
}

// clearTargetLoss clears the losses of a target that answers in the same incarnation: one that was
// silent, or one that had been given up.
func (s *State) clearTargetLoss(t *target) {
	if t.presumedLost {
		t.presumedLost = false
		s.crashes.events = slices.DeleteFunc(s.crashes.events, func(e targetLossEvent) bool { return e.target == t.ID })
		s.clearUnresolved(t.ID)
	}
	for _, loss := range slices.Concat(s.crashes.unresolved[t.ID], s.crashes.confirmed[t.ID]) {
		if loss.Incarnation == t.Incarnation {
			s.clearLoss(loss)
		}
	}
	s.crashes.forgetCleared(t.ID)
}

// forgetCleared forgets the cleared losses of a target.
func (c *lossTracker) forgetCleared(target string) {
	for _, losses := range []map[string][]*targetLoss{c.unresolved, c.confirmed} {
		rest := slices.DeleteFunc(losses[target], func(loss *targetLoss) bool { return loss.cleared })
		if len(rest) > 0 {
			losses[target] = rest
		} else {
			delete(losses, target)
		}
	}
}

// clearUnresolved clears the unresolved losses of a target.
func (s *State) clearUnresolved(target string) {
	for _, loss := range s.crashes.unresolved[target] {
		s.clearLoss(loss)
	}
	delete(s.crashes.unresolved, target)
}

// clearLoss drops a loss that doesn't count against its task, here and in the store.
func (s *State) clearLoss(loss *targetLoss) {
	loss.cleared = true
	s.enqueue(loss.task.job)
	if loss.task.job.stored && !loss.task.job.ended {
		s.emit(TaskCleared{Job: loss.task.job.sub.Job.ID, Task: loss.task.index, Crash: loss.Crash})
	}
}

// endAbsent records the losses of a target that is silent and that the registry doesn't list any more.
// Those of durable jobs' tasks are confirmed only if it stays away.
func (s *State) endAbsent(now time.Duration, t *target) {
	if t.Draining {
		s.endIncarnation(now, t)
		return
	}
	s.settle(now, t.ID, "it is not listed any more")
	s.recordTargetLoss(now, t)
	for _, r := range t.sortedRuns() {
		s.recordTaskLoss(now, r)
	}
	t.presumedLost = false
	var absent, ended []*targetLoss
	for _, loss := range s.crashes.unresolved[t.ID] {
		if loss.task.job.isDurable() {
			loss.absentSince = now
			absent = append(absent, loss)
			s.enqueue(loss.task.job)
		} else {
			ended = append(ended, loss)
		}
	}
	s.crashes.unresolved[t.ID] = ended
	s.confirmLosses(now, t.ID)
	if len(absent) > 0 {
		s.crashes.unresolved[t.ID] = absent
	}
}

// confirmLosses marks a target's losses as confirmed and fails the jobs that are poisoned by them.
func (s *State) confirmLosses(now time.Duration, target string) {
	losses := s.crashes.unresolved[target]
	delete(s.crashes.unresolved, target)
	for _, loss := range losses {
		s.crashes.confirmed[target] = append(s.crashes.confirmed[target], loss)
		loss.absentSince = 0
		if !loss.Confirmed {
			loss.Confirmed = true
			s.storeLoss(loss.task, loss.Crash)
		}
	}
	for _, loss := range losses {
		s.failIfPoisoned(now, loss.task)
	}
}

// leaveUndecided gives up finding out whether a target's incarnation ended under the tasks. The target
// was lost under a previous owner and is gone: it may have crashed then, or left as planned later.
func (s *State) leaveUndecided(target string) {
	for _, loss := range s.crashes.unresolved[target] {
		loss.undecided = true
		s.enqueue(loss.task.job)
	}
	delete(s.crashes.unresolved, target)
}
