// Package jobstore writes durable jobs to the platform's store. Its input is the jobs that an
// owner accepts and what becomes of their tasks; its output is rows, and callbacks once the rows
// are stored. It decides which rows go into the next write and what a failed write means.
//
// A job has two rows in the partition that its ID selects. The jobs row holds the submission until
// the job ends; the progress row stays for as long as callers may ask for the job. A job is stored
// only if neither row exists, so that an ID names one job wherever it is submitted.
//
// Each job belongs to the group of targets that runs it. The owner of the group writes a fence
// row in each partition before it reads the jobs there. Each later write requires that the fence
// row is still its own, so that a previous owner can neither accept jobs nor record anything.
package jobstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// Tables of durable jobs.
const (
	jobsTable     platform.Table = "jobs"
	progressTable platform.Table = "progress"
	fencesTable   platform.Table = "homes"
)

// Partitions is the number of partitions that jobs are spread over. With a batch of 16 jobs
// every 25 ms to each partition, an owner can accept and end 1,280 jobs a second. Four owners
// that do so make 640 writes a second, of the 800 that the smallest site allows.
const Partitions = 4

// PartitionOf returns the name of the partition that holds a job's rows.
func PartitionOf(id string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return partitionName(int(hash.Sum32() % Partitions))
}

func partitionName(i int) string { return "jobs-" + strconv.Itoa(i) }

// AcceptedJob is the value of a jobs row: the submission and who accepted it.
type AcceptedJob struct {
	Job   work.Job   `json:"job"`
	Queue work.Queue `json:"queue"`
	// Group is the group of targets that runs the job.
	Group string `json:"home"`
	// Incarnation is that of the owner that accepted the job, Writer the number of its Writer.
	Incarnation uint64 `json:"life"`
	Writer      uint64 `json:"writer,omitempty"`
	// Moves counts the moves of the job from one group to another.
	Moves int `json:"moves,omitempty"`
	// Arrived is when the caller sent the job, on the store's clock.
	Arrived time.Duration `json:"arrived"`
}

// Progress is the value of a progress row.
type Progress struct {
	// Group is the group of targets that runs the job.
	Group string `json:"home"`
	// State is work.StateQueued until the job ends, then its final state.
	State work.JobState `json:"state"`
	// Done lists the finished tasks by their index in the job.
	Done []int `json:"done,omitempty"`
	// Failures counts the failed runs of each task. LastFailedRun has the number of the last one.
	Failures      map[int]int   `json:"fails,omitempty"`
	LastFailedRun map[int]int64 `json:"last_failed,omitempty"`
	// Saved is the state that each task has saved.
	Saved map[int]string `json:"saved,omitempty"`
	// TargetLosses lists the targets that were lost while a task ran on them.
	TargetLosses map[int][]TargetLoss `json:"crashed,omitempty"`
	// EndedAt is when the job ended, on the store's clock; 0 before.
	EndedAt time.Duration `json:"ended,omitempty"`
}

// TargetLoss is the loss of a target while a task ran on it. There is one for each incarnation.
type TargetLoss struct {
	Target string `json:"target"`
	// Incarnation is when the target's process started, in milliseconds since 1970; 0 where the
	// target did not report it.
	Incarnation int64 `json:"life,omitempty"`
	// Correlated reports that other targets were lost at the same time for another reason.
	// Isolated reports that the task had the target to itself.
	Correlated bool `json:"excused,omitempty"`
	Isolated   bool `json:"alone,omitempty"`
	// Begun reports that the run was known to have started. Confirmed reports that the incarnation has
	// certainly ended; until then the target may only have been out of reach.
	Begun     bool `json:"begun,omitempty"`
	Confirmed bool `json:"confirmed,omitempty"`
}

// isSame reports whether two records are of the loss of one incarnation.
func (l TargetLoss) isSame(other TargetLoss) bool {
	return l.Target == other.Target && l.Incarnation == other.Incarnation
}

// validate reports why a job read under a key can't be run: another writer may have left a row
// that decodes but is no valid job.
func (a AcceptedJob) validate(key string) error {
	if a.Job.ID != key {
		return fmt.Errorf("the row holds job %q, not the one that its key names: remove the row", a.Job.ID)
	}
	if err := a.Job.Check(); err != nil {
		return err
	}
	for i, step := range a.Job.Steps {
		if step.Gang && step.Lasting {
			return fmt.Errorf("step %d is a gang that lasts: submit the job again without", i)
		}
	}
	return nil
}

// fence is the value of a fence row.
type fence struct {
	// Incarnation is that of the owner's process. Writer tells the Writers of one process apart: a
	// group that is handed over and back has two owners there.
	Incarnation uint64 `json:"life"`
	Writer      uint64 `json:"writer,omitempty"`
	// Token is the owner's fencing token. An owner with a lower one can't take over.
	Token int64 `json:"token"`
}

// isOdd reports whether a fence row can't be an owner's: tokens are versions that the store gave before the
// row was written.
func (f fence) isOdd(row platform.Row) bool { return f.Token > row.Version }

var errOddToken = errors.New("its token is one that the store has not given yet: it is replaced")

// DurableJob is a job that was read from the store.
type DurableJob struct {
	AcceptedJob
	Progress Progress
}

// retentionMargin is how long an ended job's state stays beyond the platform's bound: clocks
// differ and sweeps may run late.
const retentionMargin = 10 * time.Second

// decodeRow decodes a row's JSON; the error names the row and its table.
func decodeRow(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("row %s of %s: %w", row.Key, row.Table, err)
	}
	return nil
}
