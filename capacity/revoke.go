package capacity

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// After a loss the members don't know which tasks of the lost VMs still run. The home
// of a target's slots asks the target to revoke the leases of all but the members of
// the view. The target answers with the tasks of other holders that it runs, and the
// home shares the answer with the other members. Units of lost VMs that no such task
// uses are free then. For targets that don't answer, units stay reserved until their
// time is over.
//
// A target is asked only RevokeAfter after the view was installed. By then a lost VM
// neither decides on starts nor takes leases for them, so that anything it may still
// start uses a lease that is revoked.

// TargetSlots is a target that may run tasks; it may be leaving.
type TargetSlots struct {
	Target string
	Slots  int
}

// Revocation asks a target to revoke the leases of all but some holders.
type Revocation struct {
	Target string
	// View is the view that the answer is for.
	View string
	// Holders are the members, which keep their leases.
	Holders []Member
}

// revocations holds the targets' answers in this view.
type revocations struct {
	// needed says that tasks of lost VMs may run.
	needed bool
	// targets are those that may run tasks, by id.
	targets map[string]*revocation
	// shareAt is when answers are sent to the other members; 0 when none are due.
	shareAt time.Duration
}

// revocation is the state of one target.
type revocation struct {
	slots int
	// unlistedAt is when the target was removed from the list; 0 while it is on it.
	unlistedAt time.Duration
	// askedHere says that this VM asks the target.
	askedHere bool
	// answered says that the target has revoked leases in this view, and running
	// holds the units of limit pools that tasks of other holders used then.
	answered bool
	running  map[string]int
	// askAt is when the target is asked next, and askInterval the time between two
	// asks.
	askAt, askInterval time.Duration
}

// SetTargets replaces the targets that may run tasks. One that is no longer listed
// counts for ReclaimAfter more, since its tasks may still run.
func (s *State) SetTargets(now time.Duration, targets []TargetSlots) {
	for _, r := range s.revocations.targets {
		if r.unlistedAt == 0 {
			r.unlistedAt = max(now, 1)
		}
	}
	for _, t := range targets {
		r := s.revocation(t.Target)
		r.slots = t.Slots
		r.unlistedAt = 0
	}
	for id, r := range s.revocations.targets {
		if r.unlistedAt > 0 && r.unlistedAt+s.opts.ReclaimAfter <= now {
			delete(s.revocations.targets, id)
		}
	}
}

// revocation returns the state of a target, and creates it when it is unknown.
func (s *State) revocation(target string) *revocation {
	r := s.revocations.targets[target]
	if r == nil {
		r = &revocation{askAt: s.revokeFrom()}
		r.askedHere = homeOf(s.view.Members, target) == s.opts.Self.ID
		s.revocations.targets[target] = r
	}
	return r
}

// revokeFrom returns when targets may be asked first in this view.
func (s *State) revokeFrom() time.Duration { return s.installed + s.opts.RevokeAfter }

// revokeUntil returns when the reservations end by time, so that targets need not be
// asked any more.
func (s *State) revokeUntil() time.Duration { return s.installed + s.opts.ReclaimAfter }

// restartRevocations drops the answers of the previous view: they don't cover VMs
// that were lost since.
func (s *State) restartRevocations() {
	s.revocations.needed = false
	s.revocations.shareAt = 0
	for target, r := range s.revocations.targets {
		*r = revocation{slots: r.slots, unlistedAt: r.unlistedAt, askAt: s.revokeFrom()}
		r.askedHere = homeOf(s.view.Members, target) == s.opts.Self.ID
	}
}

// needsRevocations reports whether this VM has to ask targets in this view.
func (s *State) needsRevocations(now time.Duration) bool {
	return s.resolved && s.isMember && s.revocations.needed && now < s.revokeUntil()
}

// mustAsk reports whether this VM has to ask the target, for the first time or
// again.
func (r *revocation) mustAsk() bool {
	return r.askedHere && r.unlistedAt == 0 && (!r.answered || len(r.running) > 0)
}

// Revocations returns the revocations that are due, and the messages that share
// answers with other members.
func (s *State) Revocations(now time.Duration) ([]Revocation, []Out) {
	var due []Revocation
	if s.needsRevocations(now) {
		for target, r := range s.revocations.targets {
			if !r.mustAsk() || now < r.askAt {
				continue
			}
			r.askInterval = backoff(r.askInterval, s.opts.RetryAfter, s.opts.MaxRetryAfter)
			r.askAt = now + r.askInterval
			due = append(due, Revocation{Target: target, View: s.view.ID, Holders: s.view.Members})
		}
	}
	slices.SortFunc(due, func(a, b Revocation) int { return strings.Compare(a.Target, b.Target) })
	return due, s.shareRevoked(now)
}

// NextRevocation returns the latest time of the next call of Revocations; false when
// none is needed.
func (s *State) NextRevocation(now time.Duration) (time.Duration, bool) {
	next := never
	if s.revocations.shareAt > 0 {
		next = s.revocations.shareAt
	}
	if s.needsRevocations(now) {
		for _, r := range s.revocations.targets {
			if r.mustAsk() {
				next = min(next, r.askAt)
			}
		}
	}
	return next, next != never
}

// RecordRevoked records a target's answer to a revocation of the view: the units of
// each limit pool that tasks of other holders use there. Answers for other views are
// ignored.
func (s *State) RecordRevoked(now time.Duration, view, target string, running map[string]int) []Out {
	if view != s.view.ID {
		return nil
	}
	answer := &capacitypb.Revoked{Target: target}
	for name, n := range running {
		if n <= 0 {
			continue
		}
		answer.Running = append(answer.Running, &capacitypb.Units{Pool: name, Count: uint32(n), Kind: capacitypb.Kind(KindLimit)})
	}
	slices.SortFunc(answer.Running, func(a, b *capacitypb.Units) int { return strings.Compare(a.Pool, b.Pool) })
	s.receiveRevoked(now, []*capacitypb.Revoked{answer})
	for _, l := range s.peers {
		l.revoked = slices.DeleteFunc(l.revoked, func(r *capacitypb.Revoked) bool { return r.Target == target })
		l.revoked = append(l.revoked, answer)
	}
	if s.revocations.shareAt == 0 {
		s.revocations.shareAt = now + s.opts.FlushDelay
	}
	return s.collect(now)
}

// shareRevoked sends the targets' answers to the other members.
func (s *State) shareRevoked(now time.Duration) []Out {
	if s.revocations.shareAt == 0 || now < s.revocations.shareAt {
		return nil
	}
	s.revocations.shareAt = 0
	for _, l := range s.peers {
		if len(l.revoked) == 0 {
			continue
		}
		if len(l.items) >= maxUnacked {
			s.revocations.shareAt = now + s.opts.RetryAfter
			continue
		}
		l.appendItem(&capacitypb.Item{Revoked: l.revoked})
		l.revoked = nil
		l.retryInterval = 0
		l.retryAt = now
	}
	return s.collect(now)
}

// receiveRevoked records answers that targets gave to this or another member, and
// frees the units that no task uses.
func (s *State) receiveRevoked(now time.Duration, answers []*capacitypb.Revoked) {
	if len(answers) == 0 {
		return
	}
	for _, a := range answers {
		s.recordAnswer(now, a)
	}
	for _, p := range slices.Clone(s.ordered) {
		if p.kind != KindLimit || p.ledger == nil || p.ledger.isEmpty() {
			continue
		}
		s.freeUnused(now, p)
		s.balance(now, p)
		s.dropIfUnused(p)
	}
}

// recordAnswer stores the answer of one target.
func (s *State) recordAnswer(now time.Duration, answer *capacitypb.Revoked) {
	r := s.revocations.targets[answer.Target]
	if r == nil {
		r = s.revocation(answer.Target)
		r.unlistedAt = now
	}
	r.answered = true
	r.running = nil
	for _, u := range answer.Running {
		if r.running == nil {
			r.running = make(map[string]int, len(answer.Running))
		}
		r.running[u.Pool] += int(u.Count)
	}
}

// maxRunning returns how many units of a limit pool tasks of lost VMs use at most:
// those that targets reported, and all slots of targets that have not answered. It
// returns false while reports are missing, before RevokeAfter has passed, and when no
// target is listed.
func (s *State) maxRunning(now time.Duration, name string) (int, bool) {
	if !s.resolved || now < s.revokeFrom() {
		return 0, false
	}
	most, listed := 0, false
	for _, r := range s.revocations.targets {
		listed = listed || r.unlistedAt == 0
		if r.answered {
			most += r.running[name]
		} else {
			most += r.slots
		}
	}
	return most, listed
}

// freeUnused frees reserved and blocked units that no task of a lost VM uses.
func (s *State) freeUnused(now time.Duration, p *pool) {
	l := p.ledger
	if p.kind != KindLimit || !l.known || !l.blocked && len(l.reservations) == 0 {
		return
	}
	most, ok := s.maxRunning(now, p.name)
	if !ok {
		return
	}
	if l.blocked {
		if p.capacity-l.lentTotal-p.used-p.free < most {
			// The reservation would exceed the units that are neither lent nor held
			// here.
			return
		}
		l.blocked = false
		l.reservations = []reservation{{units: most, until: l.latestEnd()}}
	}
	l.trim(most)
}

// latestEnd returns when the last block or reservation ends.
func (l *ledger) latestEnd() time.Duration {
	until := l.blockedUntil
	for _, r := range l.reservations {
		until = max(until, r.until)
	}
	return until
}

// trim reduces the reservations to at most the given units. The ones that end last
// are kept.
func (l *ledger) trim(most int) {
	slices.SortStableFunc(l.reservations, func(a, b reservation) int { return cmp.Compare(b.until, a.until) })
	kept := l.reservations[:0]
	for _, r := range l.reservations {
		r.units = min(r.units, most)
		most -= r.units
		if r.units > 0 {
			kept = append(kept, r)
		}
	}
	l.reservations = kept
}
