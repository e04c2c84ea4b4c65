package placement

import (
	"math"
	"time"
)

const (
	// noIndex is the place of a target that is in no bucket or heap.
	noIndex = -1
	// minUnansweredTasks and minUnansweredJobs are how many unanswered tasks, of
	// how many submissions, make a target unresponsive.
	minUnansweredTasks = 3
	minUnansweredJobs  = 2
	// fullBackOff is how long a target that was full is not picked.
	fullBackOff = 20 * time.Millisecond
	// ratioWeight is the weight of the newest task in a target's ratio.
	ratioWeight = 1.0 / 16
	// slowTasks and slowSubmissions are how many tasks, of how many submissions,
	// are needed before a target counts as slow.
	slowTasks       = 8
	slowSubmissions = 3
)

// Cause is why a target is used less than others.
type Cause uint8

// The causes.
const (
	// CauseNone means that the target is used normally.
	CauseNone Cause = iota
	// CauseFailures is quarantine: tasks of several submissions failed.
	CauseFailures
	// CauseUnreachable is quarantine: no connection could be made.
	CauseUnreachable
	// CauseUnresponsive is quarantine: several tasks got no answer.
	CauseUnresponsive
	// CauseSlow means that tasks take longer here; the target is used only when
	// no other is free.
	CauseSlow
	// CauseDoubted means that some tasks failed, or that too many targets are in
	// quarantine already; the target is used only when no other is free.
	CauseDoubted
)

var causeNames = [...]string{"none", "failures", "unreachable", "unresponsive", "slow", "doubted"}

// String returns the name that operators see.
func (c Cause) String() string { return causeNames[c] }

// target is the state of one target.
type target struct {
	id       string
	index    int
	rackName string
	rack     int

	free                           bool
	listedLeaving, reportedLeaving bool
	// unlisted says that the VM got units before the target was on the list.
	unlisted bool
	removed  bool

	cause Cause
	since time.Duration
	// reportedUse and reportedCause are what TakeVerdicts returned last, and
	// verdictPending says that they may be out of date.
	reportedUse    string
	reportedCause  Cause
	verdictPending bool
	// probeDue says that a probe may start.
	probeDue bool
	// probeAt is when the next probe may start, unless the target is used normally.
	probeAt        time.Duration
	probeInterval  time.Duration
	probeSuccesses int
	// backingOff says that the target is not picked before wakeAt.
	backingOff bool

	// evidence is the failure score, in nats; see health.go.
	evidence float64
	// failedJobs are the newest submissions that count in evidence.
	failedJobs []string

	// logRatio is the moving mean of log(run time / class mean).
	logRatio float64
	// newestRatio is the newest sample in logRatio.
	newestRatio float64
	tasks       int
	// ratioJobs are the newest submissions that count in logRatio.
	ratioJobs []string

	running int
	// unansweredSince holds the times since which up to minUnansweredTasks tasks
	// are unanswered, oldest first: their starts, or the last end of any task.
	unansweredSince []time.Duration
	// unansweredSubmissions are the newest submissions that started tasks since
	// the last end of any task.
	unansweredSubmissions []string
	// answerTimeout is how long an answer may take.
	answerTimeout time.Duration

	done, failed int64

	bucket      *bucket
	bucketIndex int
	wakeAt      time.Duration
	heapIndex   int
}

func (t *target) isQuarantined() bool {
	return t.cause == CauseFailures || t.cause == CauseUnreachable || t.cause == CauseUnresponsive
}

// isLastResort reports whether the target is used only when no other is free.
func (t *target) isLastResort() bool { return t.cause == CauseSlow || t.cause == CauseDoubted }

// isLeaving reports whether the target may get no tasks, because it leaves or is
// not on the list yet.
func (t *target) isLeaving() bool { return t.listedLeaving || t.reportedLeaving || t.unlisted }

// ratio returns the mean ratio of run times at the target to those of their class.
func (t *target) ratio() float64 { return math.Exp(t.logRatio) }

// recordStart counts a start, and raises the answer timeout to factor times the
// 99th percentile of the class.
func (t *target) recordStart(now time.Duration, c *class, submission string, factor float64) {
	if t.running == 0 {
		t.answerTimeout = 0
	}
	t.running++
	t.answerTimeout = max(t.answerTimeout, time.Duration(factor*float64(c.p99())))
	if len(t.unansweredSince) < minUnansweredTasks {
		t.unansweredSince = append(t.unansweredSince, now)
	}
	t.unansweredSubmissions = addRecent(t.unansweredSubmissions, submission, minUnansweredJobs)
}

// recordEnd counts the end of a task. The target has answered, so that the wait for
// the other tasks' answers is counted from now.
func (t *target) recordEnd(now time.Duration) {
	t.running = max(0, t.running-1)
	t.unansweredSince = t.unansweredSince[:min(len(t.unansweredSince), t.running)]
	for i := range t.unansweredSince {
		t.unansweredSince[i] = now
	}
	t.unansweredSubmissions = t.unansweredSubmissions[:0]
}

// withdrawStart removes a start that did not begin from the counts.
func (t *target) withdrawStart() {
	t.running = max(0, t.running-1)
	t.unansweredSince = t.unansweredSince[:min(len(t.unansweredSince), t.running)]
}

// isUnresponsive reports whether enough tasks of enough submissions are unanswered
// for longer than the answer timeout.
func (t *target) isUnresponsive(now time.Duration) bool {
	if len(t.unansweredSince) < minUnansweredTasks || len(t.unansweredSubmissions) < minUnansweredJobs || t.answerTimeout == 0 {
		return false
	}
	return now-t.unansweredSince[minUnansweredTasks-1] > t.answerTimeout
}

// learnRatio adds the ratio of a run time to the class mean to the target's mean.
func (t *target) learnRatio(c *class, r Result) {
	mean := c.mean()
	if mean <= 0 || r.Runtime <= 0 {
		return
	}
	weight := max(ratioWeight, 1/float64(t.tasks+1))
	sample := math.Log(float64(r.Runtime) / float64(mean))
	t.newestRatio = sample
	t.logRatio += weight * (sample - t.logRatio)
	t.tasks++
	t.ratioJobs = addRecent(t.ratioJobs, r.Submission, slowSubmissions)
}

// addRecent adds a name to a list of distinct names. The oldest one is removed
// when the list has most names.
func addRecent(list []string, name string, most int) []string {
	for _, n := range list {
		if n == name {
			return list
		}
	}
	if len(list) == most {
		copy(list, list[1:])
		list = list[:most-1]
	}
	return append(list, name)
}
