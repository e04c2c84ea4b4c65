package jobstore

import (
	"encoding/json"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// A job may be cancelled before it is stored: its caller had no answer, and a write of it may be on its way,
// from this owner, from another one or from one that has ended. A progress row in the state
// work.StateWithdrawn then takes the place of the job. Each write that stores a job requires that there is
// no progress row, so none of them can be applied any more. The row stays as long as that of an ended job.

// maxWithdrawShare is the share of maxJobs up to which a partition takes rows for jobs that it doesn't know:
// callers may cancel what they never submitted.
const maxWithdrawShare = 0.5

// Withdraw keeps a job from being stored. onResult is called once, on another goroutine, with
// work.StateWithdrawn once that is certain, with another state of a job that is stored, or with
// work.StateAbsent if it can't be done now. A job that is being stored at this owner is withdrawn if none of
// its writes has been applied.
func (w *Writer) Withdraw(id string, onResult func(work.JobState)) {
	ended := w.options.Clock()
	w.update(id, func(s *shard) { s.withdraw(id, ended, onResult) })
}

// withdraw queues the row that keeps a job from being stored.
func (s *shard) withdraw(id string, ended time.Duration, onResult func(work.JobState)) {
	e := s.jobs[id]
	switch {
	case s.superseded || s.fenceVersion == 0 || e == nil && (s.storeFailing || float64(len(s.jobs)) >= maxWithdrawShare*maxJobs):
		s.addCallback(func() { onResult(work.StateAbsent) })
		return
	case e != nil && e.isStored:
		state, _ := s.state(id)
		s.addCallback(func() { onResult(state) })
		return
	case e == nil:
		e = &trackedJob{id: id}
		s.jobs[id] = e
	}
	e.withdrawing = true
	e.onWithdrawn = append(e.onWithdrawn, onResult)
	e.progress = Progress{Group: s.group, State: work.StateWithdrawn, EndedAt: ended}
	s.enqueue(e)
}

// withdrawChanges returns the changes that keep a job from being stored.
func (e *trackedJob) withdrawChanges(rowBytes int) ([]platform.Change, error) {
	value, _, err := e.progress.encode(rowBytes)
	if err != nil {
		return nil, err
	}
	e.withdrawInFlight = true
	return []platform.Change{
		{Action: platform.ActionCheck, Table: jobsTable, Key: e.id},
		{Action: platform.ActionPut, Table: progressTable, Key: e.id, Value: value},
	}, nil
}

// markWithdrawn reports a job that can't be stored any more. Its row is kept here like that of an ended job
// if it is this group's, and forgotten otherwise.
func (s *shard) markWithdrawn(now time.Duration, e *trackedJob, version int64) {
	s.reportResult(e.onResult, Withdrawn)
	s.reportWithdrawn(e, work.StateWithdrawn)
	if !e.withdrawing {
		delete(s.jobs, e.id)
		return
	}
	e.isStored, e.encodedJob, e.onResult, e.withdrawing = true, nil, nil, false
	e.progressVersion, e.unconfirmedWrites = version, 0
	e.expiresAt = now + s.retention
}

// isWithdrawnRow reports whether a progress row keeps its job from being stored.
func (s *shard) isWithdrawnRow(row platform.Row) bool {
	var p Progress
	return json.Unmarshal(row.Value, &p) == nil && p.State == work.StateWithdrawn
}

// reportWithdrawn tells those who asked for a withdrawal the state of the job.
func (s *shard) reportWithdrawn(e *trackedJob, state work.JobState) {
	for _, onResult := range e.onWithdrawn {
		s.addCallback(func() { onResult(state) })
	}
	e.onWithdrawn = nil
}
