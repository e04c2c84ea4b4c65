package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A previous owner that doesn't know of its successor goes on at the targets that it reaches. The
// successor may not reach such a target, or not find it in the registry, and must not start a task
// that may still run there. Two rules bound this for durable jobs, whose runs need no waiting caller:
//
//   - An owner starts their tasks only at targets that are recorded in the store. A successor reads
//     the record after it has ended its predecessor's right to change it.
//   - An owner extends no lease of their runs beyond claimValidity after the time as of which its
//     claim was last confirmed. A successor that can't reach a recorded target waits until then.
//
// The successor reads the jobs meanwhile, accepts others, and continues the runs that it finds.

// Times of a succession.
const (
	// claimValidity is for how long after a confirmation of its claim an owner runs durable jobs. It
	// outlasts the outages of the store that their runs have to survive.
	claimValidity = 15 * time.Second
	// claimCheckInterval is the time between two confirmations of the claim while there are durable
	// jobs. claimCheckRetry is the pause after a request without an answer.
	claimCheckInterval = 3 * time.Second
	claimCheckRetry    = time.Second
	// validityReserve is how long before the end of claimValidity the runs of durable jobs are stopped,
	// so that other runs at their targets go on, whose lease is the same.
	validityReserve = time.Second
	// predecessorLeaseTime is how long leases last at most after their owner has ended or begun to
	// leave: it renews them for handoverLease then.
	predecessorLeaseTime = handoverLease + maxDurableLease + leaseEndMargin
	// maxDurableLease is how long a lease with runs of durable jobs lasts at most, on the slowest clock.
	maxDurableLease = 1400 * time.Millisecond
	// maxClockAge is how old the reading of a target's clock may be for a durable job's task to start: the
	// slower the clock may have run since, the longer the lease could last.
	maxClockAge = 5 * time.Second
	// leaseEndMargin is the time that a target takes to end the runs of a lease that is over.
	leaseEndMargin = 100 * time.Millisecond
)

// PredecessorValidity is how long after a claim was written the leases of previous owners are over,
// whatever they and this VM can reach, and however much their clocks differ.
const PredecessorValidity = claimValidity*100/96 + leaseEndMargin

// succession is what an owner knows of the runs of durable jobs that previous owners may still have.
type succession struct {
	// inherited is set once the record of targets was read, adopted once its targets are known here.
	inherited, adopted bool
	// ownTokenSince is from when on polls are sent with a token that no previous owner has.
	ownTokenSince time.Duration
	// confirmedAt is the latest time as of which no later owner could run durable jobs; askedAt is
	// when a confirmation was last requested for that reason.
	confirmedAt, askedAt time.Duration
	// records names the targets that were recorded when this owner began, until they are adopted.
	records []string
	// unsettled holds the recorded targets that don't obey this owner yet, until leasesUntil.
	unsettled map[string]work.Target
	// leasesUntil is when the leases of all previous owners are over, earlierUntil when those of all
	// but the last one are.
	leasesUntil, earlierUntil time.Duration
	// recording is set once there is, or was, a durable job. unrecorded counts the targets that aren't
	// recorded.
	recording  bool
	unrecorded int
	// lastRecord is the number of the newest RecordTarget.
	lastRecord int
	// stopped says that the runs of durable jobs were stopped because the claim is not confirmed.
	stopped bool
}

// Inheritance is the record of targets as a new owner finds it.
type Inheritance struct {
	// AsOf is a time before the record was taken from the previous owner.
	AsOf time.Duration
	// HasPredecessor reports that an earlier owner could record targets.
	HasPredecessor bool
	// Targets are the recorded ones.
	Targets []work.Target
	// EarlierUntil is when the leases of the owners before the last one are over.
	EarlierUntil time.Duration
	// SharedToken says that this owner's orders had the token of the previous owner until now, as the
	// claim was handed over by message. No answer so far shows that a target refuses that owner.
	SharedToken bool
}

// RecordTarget has the store record a target; TargetRecorded then confirms it.
type RecordTarget struct {
	Target work.Target
	// Number tells this effect from those for earlier targets of the same ID.
	Number int
}

// ForgetTarget has the store drop the record of a target at which nothing runs any more.
type ForgetTarget struct{ ID string }

func (RecordTarget) effect() {}
func (ForgetTarget) effect() {}

// InheritTargets takes the record of targets from the store, after previous owners have lost the right
// to change it. Their targets become known with AdoptTargets.
func (s *State) InheritTargets(now time.Duration, in Inheritance) {
	s.succession.inherited = true
	s.succession.confirmedAt = max(s.succession.confirmedAt, in.AsOf)
	s.succession.earlierUntil = in.EarlierUntil
	if in.HasPredecessor {
		s.succession.leasesUntil = now + PredecessorValidity
	}
	if in.SharedToken {
		s.succession.ownTokenSince = now
	}
	for _, recorded := range in.Targets {
		s.succession.records = append(s.succession.records, recorded.ID)
		t := s.targets[recorded.ID]
		if t != nil && t.fenced && !in.SharedToken {
			continue
		}
		s.succession.unsettled[recorded.ID] = recorded
		if t != nil && t.fenced {
			t.doubtful = true
			s.markChanged(t)
		}
	}
}

// AdoptTargets makes the recorded targets known that the registry doesn't list. They get no new tasks
// while it doesn't: they may be draining. It is called once the registry was read and the previous
// owner doesn't hand over targets any more.
func (s *State) AdoptTargets(now time.Duration) {
	s.succession.adopted = true
	for _, id := range s.succession.records {
		s.markRecorded(id)
	}
	s.succession.records = nil
	for _, id := range slices.Sorted(maps.Keys(s.succession.unsettled)) {
		if s.targets[id] != nil {
			continue
		}
		recorded := s.succession.unsettled[id]
		s.emit(LogEvent{Message: "target of the previous owner is not listed", Target: id})
		s.ListedAtStart(id, recorded.Incarnation)
		s.TargetListed(now, recorded)
		t := s.targets[id]
		s.markRecorded(id)
		t.unlistedSince, t.retired = now, true
		s.markChanged(t)
	}
}

// HasAdoptedTargets reports whether AdoptTargets was called. Before, this owner may not know all
// targets with runs of previous owners.
func (s *State) HasAdoptedTargets() bool { return s.succession.adopted || !s.options.RecordTargets }

// PredecessorEnded reports that the last previous owner has ended, or has left all targets.
func (s *State) PredecessorEnded(now time.Duration) {
	until := max(s.succession.earlierUntil, now+predecessorLeaseTime)
	s.succession.leasesUntil = min(s.succession.leasesUntil, until)
}

// AwaitsPredecessors reports whether a previous owner may still have runs of durable jobs at a target
// that doesn't obey this owner. Nothing of a job that was taken over starts until then.
func (s *State) AwaitsPredecessors(now time.Duration) bool {
	return len(s.succession.unsettled) > 0 && now < s.succession.leasesUntil
}

// settle records that no previous owner has a run at a target: it obeys this owner, or its
// incarnation has ended.
func (s *State) settle(now time.Duration, id, why string) {
	if _, unsettled := s.succession.unsettled[id]; !unsettled {
		return
	}
	delete(s.succession.unsettled, id)
	s.noteSettled(now, id, why)
}

// noteSettled logs and counts on which fact a target has no run of a previous owner any more.
func (s *State) noteSettled(now time.Duration, id, why string) {
	s.emit(LogEvent{
		Message: "target has no run of a previous owner", Target: id, Counter: "targets_settled", Kind: why,
		Detail: fmt.Sprintf("%s; %d more may have some, for %v at most", why, len(s.succession.unsettled), max(s.succession.leasesUntil-now, 0)),
	})
}

// expirePredecessors settles the remaining targets once the leases of all previous owners are over.
func (s *State) expirePredecessors(now time.Duration) {
	if !s.succession.adopted || now < s.succession.leasesUntil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.succession.unsettled)) {
		s.settle(now, id, "its leases are over")
	}
}

// mayHaveForeignRuns reports whether a previous owner may still have runs at a target.
func (s *State) mayHaveForeignRuns(t *target) bool {
	_, unsettled := s.succession.unsettled[t.ID]
	return unsettled
}

// startRecording has all targets recorded, now and later, because there is a durable job.
func (s *State) startRecording() {
	if s.succession.recording || !s.options.RecordTargets {
		return
	}
	s.succession.recording = true
	for _, t := range s.sortedTargets() {
		s.recordTarget(t)
	}
}

// recordTarget has a target recorded unless that was done or nothing durable will start there.
func (s *State) recordTarget(t *target) {
	if s.succession.recording && !t.recorded && t.recordAsked == 0 && !s.leaving {
		s.succession.lastRecord++
		t.recordAsked = s.succession.lastRecord
		s.emit(RecordTarget{Target: t.Target, Number: t.recordAsked})
	}
}

// TargetRecorded says that the store has recorded a target, with the number of its RecordTarget. The
// record of an earlier target of that ID may be removed since.
func (s *State) TargetRecorded(id string, number int) {
	if t := s.targets[id]; t != nil && t.recordAsked == number {
		s.markRecorded(id)
	}
}

func (s *State) markRecorded(id string) {
	if t := s.targets[id]; t != nil && !t.recorded {
		t.recorded = true
		s.succession.unrecorded--
	}
}

// forgetTarget drops the record of a target that is removed. A leaving owner keeps it for its
// successor.
func (s *State) forgetTarget(t *target) {
	if !t.recorded {
		s.succession.unrecorded--
	}
	if s.options.RecordTargets && !s.leaving && (t.recorded || t.recordAsked != 0) {
		s.emit(ForgetTarget{ID: t.ID})
	}
}

// durableUntil returns until when this owner may have runs of durable jobs.
func (s *State) durableUntil() time.Duration {
	if !s.options.RecordTargets {
		return noTimeLimit
	}
	return s.succession.confirmedAt + claimValidity
}

// mayStartDurable reports whether tasks of durable jobs may start as far as the claim is concerned.
func (s *State) mayStartDurable(now time.Duration) bool {
	return !s.options.RecordTargets || s.succession.inherited && now < s.durableUntil()-validityReserve
}

// canRecordedStart reports whether a durable job's task may start at a target as far as its record is
// concerned.
func (s *State) canRecordedStart(t *target) bool { return !s.options.RecordTargets || t.recorded }

// awaitsRecords reports whether a target may be closed to a job only because it isn't recorded yet.
func (s *State) awaitsRecords(j *job) bool {
	return j.isDurable() && s.options.RecordTargets && s.succession.unrecorded > 0
}

// mayRenewInherited reports whether the leases of inherited runs may be renewed: before this owner has
// the record of targets, a successor doesn't count with its renewals.
func (s *State) mayRenewInherited(now time.Duration) bool {
	return s.mayStartDurable(now)
}

// isClockOld reports whether a target has to be polled before a durable job's task starts there.
func (s *State) isClockOld(now time.Duration, t *target) bool {
	return s.options.RecordTargets && now-t.lease.readAt > maxClockAge
}

// checkClaim has the claim confirmed while there are durable jobs, and stops their runs before this
// owner may extend their leases no more.
func (s *State) checkClaim(now time.Duration) {
	if !s.succession.recording || !s.succession.inherited || s.leaving {
		return
	}
	if now-s.succession.confirmedAt > claimCheckInterval && now-s.succession.askedAt > claimCheckRetry {
		s.succession.askedAt = now
		s.askForClaim(now)
	}
	if s.mayStartDurable(now) {
		s.succession.stopped = false
		return
	}
	if !s.succession.stopped {
		s.succession.stopped = true
		s.emit(LogEvent{Failure: true, Message: "durable jobs wait: the claim is not confirmed", Age: now - s.succession.confirmedAt})
	}
	for _, t := range s.sortedTargets() {
		for _, r := range t.sortedRuns() {
			if r.task.job.isDurable() && !r.task.job.dropped {
				s.stop(now, r)
			}
		}
	}
}
