package jobstore

import (
	"time"

	"github.com/burdockward/burdockward/platform"
)

// Rows that the store doesn't take, or that don't hold all that is known of a job.

// refusedRetryDelay is how long a job whose row the store doesn't take waits for its next write.
const refusedRetryDelay = 10 * time.Second

// postpone has a job wait whose row the store doesn't take, so that it delays no other job.
func (s *shard) postpone(now time.Duration, e *trackedJob, err error) {
	e.refusedUntil = now + refusedRetryDelay
	s.addCallback(func() { s.reportRow(e.id, err) })
}

// reportOmitted reports once that a job's row doesn't hold all that is known of its tasks.
func (s *shard) reportOmitted(e *trackedJob) {
	if e.omitted > 0 && !e.omissionReported {
		e.omissionReported = true
		err := ErrRowTooLarge.Errorf("%d facts about the tasks left out of a row of %d bytes: submit smaller jobs", e.omitted, s.rowBytes)
		s.addCallback(func() { s.reportRow(e.id, err) })
	}
}

// handleRefused takes the answer that the store never takes a write like this one. The jobs of the
// batch are written again, each alone; one that is refused alone is postponed, or dropped if it
// is new.
func (s *shard) handleRefused(now time.Duration, sent []*trackedJob, err error) {
	if len(sent) == 1 {
		e := sent[0]
		if e.isStored || e.unconfirmedWrites > 0 {
			s.postpone(now, e, err)
		} else {
			s.handleNotWritten(e)
		}
		return
	}
	for _, e := range sent {
		e.alone = true
		s.enqueue(e)
	}
}

// valueBytes is the size of the values that changes write.
func valueBytes(changes []platform.Change) int {
	n := 0
	for _, c := range changes {
		n += len(c.Value)
	}
	return n
}
