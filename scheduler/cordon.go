package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Nothing is started while the failure domain of the targets is cordoned: no new work, no task that
// has to run again and no second copy of an unanswered order. Runs go on until they end. Jobs with
// nothing started go back to their entry VMs, which turn to other owners at once; the remaining
// tasks of started jobs are delegated. Durable jobs move, see move.go.

// cordon is what is known of the operator's setting for the failure domain.
type cordon struct {
	// known is set while it is known whether the failure domain is cordoned.
	known, cordoned bool
	// unconfirmedSince is when a known state became uncertain; 0 if it is not.
	unconfirmedSince time.Duration
}

// blocksStarts reports whether nothing may be started. While the state is unknown it may be
// cordoned.
func (c *cordon) blocksStarts() bool { return !c.known || c.cordoned }

// isCordoned reports whether the failure domain is known to be cordoned.
func (c *cordon) isCordoned() bool { return c.known && c.cordoned }

// ConfirmCordon asks whether the last known state still applies; the answer goes to CordonReported.
type ConfirmCordon struct{}

func (ConfirmCordon) effect() {}

const (
	// cordonConfirmTimeout is how long an uncertain state may stay unconfirmed. Where neither the
	// store nor another VM can be reached, jobs are served according to the last known state.
	cordonConfirmTimeout = time.Second
	// cordonedRetryAfter is when callers may retry whose jobs no failure domain may run. The
	// operator decides when one may, and a client's retry costs it little.
	cordonedRetryAfter = 2 * time.Second
)

// cordonedReason is the reason that callers get.
const cordonedReason = "the failure domain is cordoned"

// CordonReported takes the operator's setting for the failure domain of the targets.
func (s *State) CordonReported(now time.Duration, cordoned bool) {
	s.setCordon(now, cordon{known: true, cordoned: cordoned})
}

// requireCordonConfirmation blocks starts until the state is confirmed: it may have changed while
// this process was paused.
func (s *State) requireCordonConfirmation(now time.Duration) {
	if !s.options.AwaitCordon || !s.cordon.known {
		return
	}
	s.setCordon(now, cordon{cordoned: s.cordon.cordoned, unconfirmedSince: now})
	s.emit(ConfirmCordon{})
}

// startsBlocked reports whether nothing may be started now.
func (s *State) startsBlocked(now time.Duration) bool {
	if s.wasPaused(now) {
		s.requireCordonConfirmation(now)
	}
	return s.cordon.blocksStarts()
}

// expireCordonConfirmation applies the last known state if it was not confirmed in time.
func (s *State) expireCordonConfirmation(now time.Duration) {
	if s.cordon.unconfirmedSince > 0 && now-s.cordon.unconfirmedSince > cordonConfirmTimeout {
		s.emit(LogEvent{Message: "cordon not confirmed", Detail: "the last known state stays in force", Age: now - s.cordon.unconfirmedSince})
		s.CordonReported(now, s.cordon.cordoned)
	}
}

func (s *State) setCordon(now time.Duration, c cordon) {
	wasBlocked := s.cordon.blocksStarts()
	s.cordon = c
	if c.blocksStarts() != wasBlocked {
		for _, p := range s.pools {
			p.blocked = c.blocksStarts()
		}
		for _, t := range s.sortedTargets() {
			s.markChanged(t)
		}
	}
	if c.isCordoned() {
		s.releaseWaitingJobs(now)
	}
}

// releaseWaitingJobs lets go of everything that waits for a target of a cordoned domain. Durable jobs move
// as a whole: only the owner of their group may write their progress.
func (s *State) releaseWaitingJobs(now time.Duration) {
	for _, p := range s.pools {
		if p.reservedFor != nil {
			s.unreserveForGang(p, p.reservedFor)
		}
	}
	for _, j := range s.sortedJobs() {
		for _, st := range j.currentSteps() {
			s.unreserveForStep(st)
		}
		switch {
		case j.isDurable() || j.mayHaveStarted():
		case j.sub.Part != nil:
			s.finish(now, j, work.Outcome{Result: work.Refused, Reason: cordonedReason, RetryAfter: cordonedRetryAfter})
		default:
			s.finish(now, j, work.Outcome{Result: work.Moved, Reason: cordonedReason})
		}
	}
}
