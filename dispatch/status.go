package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/placement"
)

// TargetStatus is this VM's state of a target.
type TargetStatus struct {
	Target
	// Held is the number of slots that this VM may use, and Free those of them
	// without a task.
	Held, Free int
	// Placement says how the target is used and why.
	Placement placement.Explanation
	// LeaseLeft is the time until this VM's lease expires; 0 without one.
	LeaseLeft time.Duration
}

// ProfileStatus is the work of one profile on this VM.
type ProfileStatus struct {
	Name            string
	Queued, Running int
	// Refused counts refused submissions by kind since the start.
	Refused map[string]uint64
}

// Status is the state of the duty's targets and profiles.
type Status struct {
	Targets  []TargetStatus
	Profiles []ProfileStatus
}

// Status returns the current state; it is empty when the duty has stopped.
func (d *Duty) Status() Status {
	var s Status
	d.DoWait(func(time.Duration) {
		if shared, ok := d.options.Placer.(*Shared); ok {
			s.Targets = shared.status()
		}
		s.Profiles = d.profileStatus()
	})
	for i := range s.Targets {
		s.Targets[i].LeaseLeft = d.starter.leaseLeft(s.Targets[i].ID)
	}
	return s
}

func (d *Duty) profileStatus() []ProfileStatus {
	running := map[string]int{}
	for _, j := range d.jobs {
		running[j.sub.Profile] += len(j.inflight)
	}
	var list []ProfileStatus
	for _, name := range slices.Sorted(maps.Keys(d.runLimits)) {
		list = append(list, ProfileStatus{
			Name:    name,
			Queued:  d.options.Admission.ProfileQueueLen(name),
			Running: running[name],
			Refused: maps.Clone(d.refused[name]),
		})
	}
	return list
}

// Explain returns admission's explanation of a submission of this VM.
func (d *Duty) Explain(id string) admission.Explanation {
	var e admission.Explanation
	d.DoWait(func(now time.Duration) { e = d.options.Admission.Explain(now, admission.ID(id)) })
	return e
}

// TargetCounts holds the numbers of targets and slots of a VM.
type TargetCounts struct {
	Targets, Held, Free int
	// Use counts the targets by their use, such as placement.UseNormal.
	Use map[string]int
}

// CountTargets counts the targets and their slots.
func (d *Duty) CountTargets() TargetCounts {
	counts := TargetCounts{Use: map[string]int{}}
	d.DoWait(func(time.Duration) {
		shared, ok := d.options.Placer.(*Shared)
		if !ok {
			return
		}
		counts.Targets = len(shared.targets)
		for id := range shared.targets {
			held, used := shared.capacity.Held(id)
			counts.Held += held
			counts.Free += held - used
			counts.Use[shared.place.Use(id)]++
		}
	})
	return counts
}

// status lists the targets by id.
func (s *Shared) status() []TargetStatus {
	list := make([]TargetStatus, 0, len(s.targets))
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		held, used := s.capacity.Held(id)
		verdict, _ := s.place.Explain(id)
		list = append(list, TargetStatus{Target: s.targets[id], Held: held, Free: held - used, Placement: verdict})
	}
	return list
}
