package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// While the failure domain of the targets is cordoned nothing is started there: neither new
// work nor a task that has to run again, nor a copy of an order that has no answer. What
// runs ends there. Jobs of which nothing has begun go back to their entry VMs, which turn to
// other owners at once; what is left of those that have begun is lent.

// cordon is what is known of the operator's word.
type cordon struct {
	// known is set while it is known whether the failure domain is cordoned.
	known, closed bool
	// doubted is when a word that was known came into doubt; 0 while none is.
	doubted time.Duration
}

// bars reports whether nothing may be started. What isn't known may be a cordon.
func (c *cordon) bars() bool { return !c.known || c.closed }

// closes reports whether the failure domain is known to be cordoned.
func (c *cordon) closes() bool { return c.known && c.closed }

// ConfirmCordon asks whether the failure domain is still as it was last said to be; the
// answer goes to Cordoned.
type ConfirmCordon struct{}

func (ConfirmCordon) effect() {}

const (
	// cordonPatience is how long a word that came into doubt may go unconfirmed: where
	// neither the store nor another VM can be reached, what can be served is served.
	cordonPatience = time.Second
	// cordonedRetry is told to callers whose jobs no failure domain may run: the operator
	// decides when one may, and a client's next try costs it little.
	cordonedRetry = 2 * time.Second
)

// cordonedReason is told to callers.
const cordonedReason = "the failure domain is cordoned"

// Cordoned takes the operator's word on the failure domain of the targets.
func (s *State) Cordoned(now time.Duration, closed bool) {
	s.setCordon(now, cordon{known: true, closed: closed})
}

// doubtCordon has nothing start until the word is confirmed: it may have changed while this
// process stood still.
func (s *State) doubtCordon(now time.Duration) {
	if !s.options.AwaitCordon || !s.cordon.known {
		return
	}
	s.setCordon(now, cordon{closed: s.cordon.closed, doubted: now})
	s.emit(ConfirmCordon{})
}

// startsBarred reports whether nothing may be started now.
func (s *State) startsBarred(now time.Duration) bool {
	if s.stoodStill(now) {
		s.doubtCordon(now)
	}
	return s.cordon.bars()
}

// trustCordon goes by a word in doubt that nobody has confirmed.
func (s *State) trustCordon(now time.Duration) {
	if s.cordon.doubted > 0 && now-s.cordon.doubted > cordonPatience {
		s.emit(Note{What: "cordon not confirmed", Detail: "the last word holds", Age: now - s.cordon.doubted})
		s.Cordoned(now, s.cordon.closed)
	}
}

func (s *State) setCordon(now time.Duration, c cordon) {
	barred := s.cordon.bars()
	s.cordon = c
	if c.bars() != barred {
		for _, p := range s.pools {
			p.barred = c.bars()
		}
		for _, t := range s.sortedTargets() {
			s.touch(t)
		}
	}
	if c.closes() {
		s.clearOut(now)
	}
}

// clearOut lets go of all that waits for a place on a cordoned target. Kept jobs wait: only
// this owner may write what becomes of them.
func (s *State) clearOut(now time.Duration) {
	for _, p := range s.pools {
		if p.reserved != nil {
			s.unreserve(p, p.reserved)
		}
	}
	for _, j := range s.sortedJobs() {
		for _, st := range j.current() {
			s.letGo(st)
		}
		switch {
		case j.kept() || j.started():
		case j.sub.Part != nil:
			s.finish(now, j, work.Outcome{Result: work.Refused, Reason: cordonedReason, RetryAfter: cordonedRetry})
		default:
			s.finish(now, j, work.Outcome{Result: work.Moved, Reason: cordonedReason})
		}
	}
}
