package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// A previous owner that doesn't know of its successor goes on at the targets that it reaches. The
// successor may not find such a target in the registry, and must not start a task that may still run
// there. So an owner starts tasks of durable jobs only at targets that are recorded in the store. A
// successor reads the record after it has ended its predecessor's right to change it.

// maxDurableLease is how long a lease with runs of durable jobs lasts at most on the slowest clock.
const maxDurableLease = 1400 * time.Millisecond

// succession is what an owner knows of the runs of durable jobs that previous owners may still have.
type succession struct {
	// inherited is set once the record of targets was read, adopted once its targets are known here.
	inherited, adopted bool
	// records names the targets that were recorded when this owner began, until they are adopted.
	records []string
	// unsettled holds the recorded targets that don't obey this owner yet.
	unsettled map[string]work.Target
	// recording is set once there is, or was, a durable job. unrecorded counts the targets that aren't
	// recorded.
	recording  bool
	unrecorded int
}

// Inheritance is the record of targets as a new owner finds it.
type Inheritance struct {
	// Targets are the recorded ones.
	Targets []work.Target
}

// RecordTarget has the store record a target; TargetRecorded then confirms it.
type RecordTarget struct{ Target work.Target }

// ForgetTarget has the store drop the record of a target at which nothing runs any more.
type ForgetTarget struct{ ID string }

func (RecordTarget) effect() {}
func (ForgetTarget) effect() {}

// InheritTargets takes the record of targets from the store, after previous owners have lost the right
// to change it. Their targets become known with AdoptTargets.
func (s *State) InheritTargets(now time.Duration, in Inheritance) {
	s.succession.inherited = true
	for _, recorded := range in.Targets {
		s.succession.records = append(s.succession.records, recorded.ID)
		t := s.targets[recorded.ID]
		if t == nil || !t.fenced {
			s.succession.unsettled[recorded.ID] = recorded
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

// settle records that no previous owner has a run at a target: it obeys this owner, or its
// incarnation has ended.
func (s *State) settle(id, why string) {
	if _, unsettled := s.succession.unsettled[id]; !unsettled {
		return
	}
	delete(s.succession.unsettled, id)
	s.noteSettled(id, why)
}

// noteSettled logs and counts on which fact a target has no run of a previous owner any more.
func (s *State) noteSettled(id, why string) {
	s.emit(LogEvent{
		Message: "target has no run of a previous owner", Target: id, Counter: "targets_settled", Kind: why,
		Detail: fmt.Sprintf("%s; %d more may have some", why, len(s.succession.unsettled)),
	})
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
	if s.succession.recording && !t.recorded && !t.recordAsked && !s.leaving {
		t.recordAsked = true
		s.emit(RecordTarget{Target: t.Target})
	}
}

// TargetRecorded says that the store has recorded a target.
func (s *State) TargetRecorded(id string) { s.markRecorded(id) }

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
	if s.options.RecordTargets && !s.leaving && (t.recorded || t.recordAsked) {
		s.emit(ForgetTarget{ID: t.ID})
	}
}

// canRecordedStart reports whether a durable job's task may start at a target as far as its record is
// concerned.
func (s *State) canRecordedStart(t *target) bool { return !s.options.RecordTargets || t.recorded }

// awaitsRecords reports whether a target may be closed to a job only because it isn't recorded yet.
func (s *State) awaitsRecords(j *job) bool {
	return j.isDurable() && s.options.RecordTargets && s.succession.unrecorded > 0
}
