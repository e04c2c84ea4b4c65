package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// What a job takes in memory here beside work.Job.Bytes: its own state and history, and for each of its occurrences
// the state of its steps and tasks.
const (
	jobStateBytes  = 1536
	stepStateBytes = 384
	taskStateBytes = 320
)

// fullRetryAfter is when a caller may retry a job that the memory for jobs did not hold: many jobs end within it.
const fullRetryAfter = time.Second

// memoryOf returns about how much memory a job takes until it ends.
func memoryOf(job work.Job) int64 {
	occurrences := job.Occurrences()
	return job.Bytes() + jobStateBytes + int64(occurrences*(len(job.Steps)*stepStateBytes+job.TaskCount()*taskStateBytes))
}

// hasMemoryFor reports whether the jobs held leave memory for another one. A job is always taken while there is no
// other, and one that this owner has to continue is taken without asking.
func (s *State) hasMemoryFor(job work.Job) bool {
	return s.options.MaxJobBytes == 0 || s.jobBytes == 0 || s.jobBytes+memoryOf(job) <= s.options.MaxJobBytes
}

// hold adds a job that has not ended to those held.
func (s *State) hold(j *job) {
	s.jobsByKey[j.sub.key()] = j
	j.bytes = memoryOf(j.sub.Job)
	s.jobBytes += j.bytes
}

// release removes a job from those held, if it is one of them.
func (s *State) release(j *job) {
	delete(s.jobsByKey, j.sub.key())
	s.jobBytes -= j.bytes
	j.bytes = 0
}
