// Package placement decides which target takes the next task.
//
// Its input is the platform's list of targets, which targets have free units, and
// the starts, refusals and ends of tasks. Its output is the target to use, and the
// targets whose units are of no use to the VM. It picks the faster of two random
// targets with free units. A target that fails, does not answer or is slow, by
// evidence from several submissions, is used less or not at all until probes
// succeed. Failures that many targets share count against the class of work
// instead. The number of targets in quarantine is bounded.
//
// State is plain data: the time and the source of randomness are arguments. Only
// one goroutine may use a State.
package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Target is one target of the platform's list.
type Target struct {
	ID string
	// Rack groups targets that fail together; empty is a rack of its own.
	Rack string
	// Leaving says that the platform lists the target as leaving.
	Leaving bool
}

// Outcome is how a started task ended.
type Outcome uint8

// The outcomes of a task.
const (
	// OutcomeDone is a result.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed is a failure that the target reported.
	OutcomeFailed
	// OutcomeStopped is a task that was stopped on request. Only its run time
	// counts as evidence.
	OutcomeStopped
	// OutcomeLost is a connection that broke after the start was written.
	OutcomeLost
)

// Result describes a started task that ended.
type Result struct {
	Target string
	// Class is the profile, or a finer class of work with similar run times.
	Class string
	// Submission identifies the job, so that several failures of one job count
	// less than those of several jobs.
	Submission string
	// Runtime is the time from start to end.
	Runtime time.Duration
	Outcome Outcome
}

// Refusal is why a start did not begin.
type Refusal uint8

// The reasons for a refusal.
const (
	// RefusedFull means that all slots of the target are in use.
	RefusedFull Refusal = iota + 1
	// RefusedLease means that the lease had expired.
	RefusedLease
	// RefusedLeaving means that the target is leaving.
	RefusedLeaving
	// RefusedUnreachable means that no connection could be made.
	RefusedUnreachable
	// RefusedUnsent means that the start was not sent, for reasons of the VM.
	RefusedUnsent
)

// Options are the settings of a State. A zero value takes the default.
type Options struct {
	// MaxQuarantined is the largest fraction of the targets in quarantine at
	// once. Default 0.25; one of two or more targets is always allowed.
	MaxQuarantined float64
	// ProbeInterval is the first interval between probes; it doubles with each
	// probe that fails, up to MaxProbeInterval. Defaults 1 s and 1 min.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// UnreachableProbeInterval is the first interval for a target to which no
	// connection could be made. Default 250 ms.
	UnreachableProbeInterval time.Duration
	// ProbeSuccesses is how many probes in a row must succeed. Default 3.
	ProbeSuccesses int
	// SlowRatio is the run-time ratio from which a target is slow. Default 2.
	SlowRatio float64
	// UnresponsiveFactor is the multiple of the 99th percentile of run times after
	// which several unanswered tasks make a target unresponsive. Default 4.
	UnresponsiveFactor float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxQuarantined, 0.25)
	setDefault(&o.ProbeInterval, time.Second)
	setDefault(&o.MaxProbeInterval, time.Minute)
	setDefault(&o.UnreachableProbeInterval, 250*time.Millisecond)
	setDefault(&o.ProbeSuccesses, 3)
	setDefault(&o.SlowRatio, 2)
	setDefault(&o.UnresponsiveFactor, 4)
	return o
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// State is the placement of one VM.
type State struct {
	opts    Options
	targets map[string]*target
	// ordered holds the targets sorted by id.
	ordered []*target
	// unusedIndex holds the free indexes in the classes' tables, and unusedRack
	// the free ones of racks.
	unusedIndex []int
	racks       map[string]*rack
	unusedRack  []int

	// ready holds healthy targets with free units, lastResort those that are used
	// only when no other target is free, and probeDue those that need a probe.
	ready, lastResort, probeDue bucket
	wakes                       wakeHeap

	classes map[string]*class
	jobs    jobTable

	quarantined int
	exclusions  []Exclusion
	// pendingVerdicts are the targets whose use may have changed since the last
	// call of TakeVerdicts.
	pendingVerdicts []*target
}

// New returns a State without targets.
func New(opts Options) *State {
	return &State{
		opts:    opts.withDefaults(),
		targets: make(map[string]*target),
		racks:   make(map[string]*rack),
		classes: make(map[string]*class),
		jobs:    newJobTable(),
	}
}

// SetTargets replaces the list of targets. Pick uses the new list at once. Targets
// that stay keep their evidence.
func (s *State) SetTargets(now time.Duration, list []Target) {
	listed := make(map[string]bool, len(list))
	for _, spec := range list {
		listed[spec.ID] = true
		s.setTarget(now, spec)
	}
	for _, t := range slices.Clone(s.ordered) {
		if !listed[t.id] {
			s.remove(t)
		}
	}
	s.enforceQuarantineLimit(now)
}

// setTarget adds or updates a target of the list.
func (s *State) setTarget(now time.Duration, spec Target) {
	t := s.targets[spec.ID]
	if t == nil {
		t = s.add(spec)
	}
	if spec.Leaving {
		// From now on the list says when the target stops leaving.
		t.reportedLeaving = false
	}
	t.listedLeaving = spec.Leaving
	t.unlisted = false
	if rack := rackOf(spec); rack != t.rackName {
		s.moveRack(t, rack)
	}
	s.updateBucket(t)
}

// rackOf returns the name of the target's rack, a unique one for a target without.
func rackOf(spec Target) string {
	if spec.Rack == "" {
		return "target/" + spec.ID
	}
	return "rack/" + spec.Rack
}

// add adds a target, in normal use and without evidence.
func (s *State) add(spec Target) *target {
	t := &target{id: spec.ID, index: s.newIndex(), heapIndex: noIndex, bucketIndex: noIndex, reportedUse: UseNormal}
	t.rackName = rackOf(spec)
	t.rack = s.joinRack(t.rackName)
	s.targets[t.id] = t
	at, _ := slices.BinarySearchFunc(s.ordered, t.id, compareTargetID)
	s.ordered = slices.Insert(s.ordered, at, t)
	return t
}

func compareTargetID(t *target, id string) int { return strings.Compare(t.id, id) }

// newIndex returns an unused index in the classes' tables.
func (s *State) newIndex() int {
	if n := len(s.unusedIndex); n > 0 {
		index := s.unusedIndex[n-1]
		s.unusedIndex = s.unusedIndex[:n-1]
		return index
	}
	return len(s.targets)
}

// rack gives the targets of a rack a common index in the classes' tables.
type rack struct {
	index   int
	targets int
}

// joinRack counts one more target in a rack and returns the rack's index.
func (s *State) joinRack(name string) int {
	r := s.racks[name]
	if r == nil {
		r = &rack{index: len(s.racks)}
		if n := len(s.unusedRack); n > 0 {
			r.index = s.unusedRack[n-1]
			s.unusedRack = s.unusedRack[:n-1]
		}
		s.racks[name] = r
	}
	r.targets++
	return r.index
}

// leaveRack counts one target less in a rack, and frees its index after the last one.
func (s *State) leaveRack(name string) {
	r := s.racks[name]
	r.targets--
	if r.targets == 0 {
		delete(s.racks, name)
		s.unusedRack = append(s.unusedRack, r.index)
	}
}

// moveRack puts a target into another rack and forgets its outcomes, which are
// counted by rack.
func (s *State) moveRack(t *target, name string) {
	for _, c := range s.classes {
		c.forget(t)
	}
	s.leaveRack(t.rackName)
	t.rackName = name
	t.rack = s.joinRack(name)
}

// remove deletes a target and its outcomes.
func (s *State) remove(t *target) {
	s.removeFromBucket(t)
	s.wakes.cancel(t)
	if t.isQuarantined() {
		s.quarantined--
	}
	for _, c := range s.classes {
		c.forget(t)
	}
	s.leaveRack(t.rackName)
	s.unusedIndex = append(s.unusedIndex, t.index)
	delete(s.targets, t.id)
	at, _ := slices.BinarySearchFunc(s.ordered, t.id, compareTargetID)
	s.ordered = slices.Delete(s.ordered, at, at+1)
	t.removed = true
}

// SetFree sets whether the VM holds free units of the target's slots. A target
// that is not on the list yet is picked only once it is.
func (s *State) SetFree(name string, free bool) {
	t := s.targets[name]
	if t == nil && !free {
		return
	}
	if t == nil {
		t = s.add(Target{ID: name})
		t.unlisted = true
	}
	t.free = free
	s.updateBucket(t)
}

// MarkLeaving records that the target reported that it is leaving. It gets no more
// tasks until the list shows it leaving and then live again, or MarkStaying is
// called.
func (s *State) MarkLeaving(name string) {
	if t := s.targets[name]; t != nil {
		t.reportedLeaving = true
		s.updateBucket(t)
	}
}

// MarkStaying records that the target granted a lease without reporting that it
// is leaving.
func (s *State) MarkStaying(name string) {
	if t := s.targets[name]; t != nil {
		t.reportedLeaving = false
		s.updateBucket(t)
	}
}

// Pick returns the target of the next task, one with free units. It returns false
// when no target may be used now.
func (s *State) Pick(now time.Duration, rng *rand.Rand) (string, bool) {
	s.wake(now)
	for {
		t := s.candidate(rng)
		if t == nil {
			return "", false
		}
		if s.checkUnresponsive(now, t) {
			continue
		}
		return t.id, true
	}
}

// candidate draws a target: one that needs a probe, else a healthy one, else one of
// the last resort; nil when there is none.
func (s *State) candidate(rng *rand.Rand) *target {
	for _, b := range []*bucket{&s.probeDue, &s.ready, &s.lastResort} {
		if t := b.drawFaster(rng); t != nil {
			return t
		}
	}
	return nil
}

// NextWake returns the earliest time at which a target that backs off or waits for
// a probe may be picked again. It returns false when there is no such target.
func (s *State) NextWake() (time.Duration, bool) {
	if len(s.wakes) == 0 {
		return 0, false
	}
	return s.wakes[0].wakeAt, true
}

// RecordStart records a start that is about to be sent. Exactly one call of
// RecordEnd or RecordRefusal follows.
func (s *State) RecordStart(now time.Duration, name, className, submission string) {
	t := s.targets[name]
	if t == nil {
		return
	}
	t.recordStart(now, s.class(className), submission, s.opts.UnresponsiveFactor)
	t.probeDue = false
	s.updateBucket(t)
}

// RecordEnd records the end of a started task.
func (s *State) RecordEnd(now time.Duration, r Result) {
	t := s.targets[r.Target]
	c := s.class(r.Class)
	if t == nil {
		return
	}
	t.recordEnd(now)
	switch r.Outcome {
	case OutcomeDone:
		c.recordRuntime(r.Runtime)
		t.learnRatio(c, r)
		s.updateSlow(now, t)
		s.recordSuccess(now, t, c)
	case OutcomeFailed, OutcomeLost:
		s.recordFailure(now, t, c, r)
	case OutcomeStopped:
		if r.Runtime > c.mean() {
			t.learnRatio(c, r)
			s.updateSlow(now, t)
		}
		s.updateProbe(now, t, probeUndecided)
	}
	s.updateBucket(t)
}

// RecordRefusal records that a start did not begin.
func (s *State) RecordRefusal(now time.Duration, name string, reason Refusal) {
	t := s.targets[name]
	if t == nil {
		return
	}
	t.withdrawStart()
	switch reason {
	case RefusedLeaving:
		t.reportedLeaving = true
	case RefusedFull:
		s.backOff(t, now+fullBackOff)
	case RefusedUnreachable:
		s.recordUnreachable(now, t)
	}
	if reason != RefusedUnreachable {
		s.updateProbe(now, t, probeUndecided)
	}
	s.updateBucket(t)
}
