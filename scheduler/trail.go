package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Trail is what happened to a job, told when it ends badly or late, and for a few
// others: logs hold no line for each decision about the many that go well.
type Trail struct {
	Job    string
	Queue  string
	Result work.Result
	Reason string
	// Took is the time since the caller sent the job, Objective what it should
	// have been.
	Took, Objective time.Duration
	Entries         []TrailEntry
	// Dropped counts entries beyond the bound.
	Dropped int
}

// TrailEntry is one decision or event.
type TrailEntry struct {
	// At is the time since the caller sent the job.
	At     time.Duration
	What   string
	Task   string
	Target string
	Detail string
}

func (Trail) effect() {}

// Figures of trails.
const (
	// maxTrail bounds the entries of a job: four for each task of a usual one.
	maxTrail = 40
	// sampleEvery is the share of jobs that went well whose trail is told.
	sampleEvery = 100
)

// mark adds an entry to the job's trail.
func (j *job) mark(now time.Duration, what, task, target, detail string) {
	if len(j.trail) >= maxTrail {
		j.trailDropped++
		return
	}
	j.trail = append(j.trail, TrailEntry{At: now - j.arrived, What: what, Task: task, Target: target, Detail: detail})
}

// tell emits the trail of a job that has ended, where it is worth a line.
func (s *State) tell(now time.Duration, j *job, outcome work.Outcome) {
	s.told++
	good := outcome.Result == work.Completed && now <= j.objective
	if good && s.told%sampleEvery != 0 || outcome.Result == work.Moved {
		return
	}
	s.emit(Trail{
		Job: j.sub.Job.ID, Queue: j.sub.Queue.Name, Result: outcome.Result, Reason: outcome.Reason,
		Took: now - j.arrived, Objective: j.objective - j.arrived, Entries: j.trail, Dropped: j.trailDropped,
	})
}
