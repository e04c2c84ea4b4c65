package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// JobHistory lists the events of one job. It is logged when a job ends badly or late, when a task of
// it ran again or its caller had sent it before, and for a sample of the others: the log has no line
// for each decision about the many jobs that go well.
type JobHistory struct {
	Job    string
	Queue  string
	Result work.Result
	Reason string
	// Took is the time since the caller sent the job. Objective is what it should have been.
	Took, Objective time.Duration
	Entries         []HistoryEntry
	// Dropped counts the entries beyond maxHistory.
	Dropped int
}

// HistoryEntry is one decision or event.
type HistoryEntry struct {
	// At is the time since the caller sent the job.
	At     time.Duration
	What   string
	Task   string
	Target string
	Detail string
	// Run and LeaseUntil are the number of the run and the lease end that its start asked for; 0
	// where the entry is about no run.
	Run, LeaseUntil int64
}

func (JobHistory) effect() {}

// Parameters of job histories.
const (
	// maxHistory bounds the entries of a job: four for each task of a usual one.
	maxHistory = 40
	// sampleEvery is how many jobs end well and on time for each one whose history is logged.
	sampleEvery = 100
)

// record adds an entry to the job's history.
func (j *job) record(now time.Duration, what, task, target, detail string) {
	if len(j.history) >= maxHistory {
		j.historyDropped++
		return
	}
	j.history = append(j.history, HistoryEntry{At: now - j.arrived, What: what, Task: task, Target: target, Detail: detail})
}

// recordRun adds an entry about a run to its job's history.
func (j *job) recordRun(now time.Duration, what string, r *run, detail string) {
	if len(j.history) >= maxHistory {
		j.historyDropped++
		return
	}
	j.history = append(j.history, HistoryEntry{
		At: now - j.arrived, What: what, Task: r.Task, Target: r.target.ID, Detail: detail, Run: r.Number, LeaseUntil: r.leaseUntil,
	})
}

// logHistory emits the history of a job that has ended, if the job went badly or is in the sample,
// or if runs of it may have met earlier ones.
func (s *State) logHistory(now time.Duration, j *job, outcome work.Outcome) {
	s.endedJobs++
	good := outcome.Result == work.Completed && now <= j.objective
	if good && !j.hasRerun && !j.returned && s.endedJobs%sampleEvery != 0 || outcome.Result == work.Moved {
		return
	}
	s.emit(JobHistory{
		Job: j.sub.Job.ID, Queue: j.sub.Queue.Name, Result: outcome.Result, Reason: outcome.Reason,
		Took: now - j.arrived, Objective: j.objective - j.arrived, Entries: j.history, Dropped: j.historyDropped,
	})
}
