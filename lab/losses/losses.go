// Package losses finds the jobs that a deployment did not answer in time, and why.
//
// Its input is the daemons' logs alone: the lines "job ended" with a job's result, reason and
// history. Its output is a list of these jobs and their counts by cause, by queue and by time of
// end. Each job counts once, under one cause.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Cause is why a job was not answered in time.
type Cause string

// The causes, in the order in which causeOf checks for them.
const (
	// Refused jobs were refused on submission because of their forecast start.
	Refused Cause = "refused by the forecast"
	// GivenUp jobs were refused later, before any of their runs started.
	GivenUp Cause = "given up before it began"
	// CallerLeft jobs ended because the caller left or its deadline passed.
	CallerLeft Cause = "its caller left, or its deadline passed"
	// OwnerLost jobs ended with the loss or pause of their owner, of an owner that ran a part,
	// or of their entry VM.
	OwnerLost Cause = "its owner was lost"
	// Failed jobs had a task that failed as often as its queue allows.
	Failed Cause = "a task failed too often"
	// StartUnanswered, RunStopped, RunLost and RunFailed jobs completed late after one of their
	// tasks had to be restarted: its start had no answer, its run was stopped (as when a slow
	// run moves to another target), its run was lost with its target, or its run failed.
	StartUnanswered Cause = "late: a start had no answer"
	RunStopped      Cause = "late: a run was moved from a bad target"
	RunLost         Cause = "late: a run was lost"
	RunFailed       Cause = "late: a run failed"
	// LateStart jobs completed late after they waited longer than longWait for their first
	// start.
	LateStart Cause = "late: waited for places"
	// SlowRun jobs completed late although they started soon: a run took longer than expected.
	SlowRun Cause = "late: a run took long"
	// Other jobs ended with another result.
	Other Cause = "other"
)

// Causes lists all causes in the order of the tables.
func Causes() []Cause {
	return []Cause{Refused, GivenUp, CallerLeft, OwnerLost, Failed, StartUnanswered, RunStopped, RunLost, RunFailed, LateStart, SlowRun, Other}
}

// longWait is a third of the slack of the shortest kind of job.
const longWait = 20 * time.Millisecond

// Loss is a job that was not answered in time.
type Loss struct {
	Job, Queue string
	Cause      Cause
	// Ended is the time of its end since the earliest line of the logs.
	Ended time.Duration
	// Took is the time from the caller's request to the end, Objective the longest time that
	// counts as in time.
	Took, Objective time.Duration
}

// logLine is a line of a daemon's log.
type logLine struct {
	Time      time.Time     `json:"time"`
	Message   string        `json:"msg"`
	Job       string        `json:"job"`
	Queue     string        `json:"queue"`
	Result    string        `json:"result"`
	Reason    string        `json:"reason"`
	Took      time.Duration `json:"took"`
	Objective time.Duration `json:"objective"`
	History   []string      `json:"trail"`
}

// jobEndedMessage is the message of the lines from which losses are found.
const jobEndedMessage = "job ended"

// ErrNoLines reports logs without any ended job.
var ErrNoLines = errors.New(`no log line with the message "job ended": expected the daemons' logs, one JSON object per line, which other text may precede`)

// Read returns the jobs of the logs that were not answered in time. It skips lines of other
// programs. A job that several owners logged, whole or in parts, counts once: a completion takes
// precedence over other results, these over a refusal, and the longest time decides among equals.
func Read(logs io.Reader) ([]Loss, error) {
	var first time.Time
	last := map[string]logLine{}
	var order []string
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Message != jobEndedMessage {
			continue
		}
		before, known := last[l.Job]
		if !known {
			order = append(order, l.Job)
		}
		if !known || resultRank(l) > resultRank(before) || resultRank(l) == resultRank(before) && l.Took >= before.Took {
			last[l.Job] = l
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(order) == 0 {
		return nil, ErrNoLines
	}
	var losses []Loss
	for _, job := range order {
		l := last[job]
		if l.Result == "completed" && l.Took <= l.Objective {
			continue
		}
		losses = append(losses, Loss{Job: job, Queue: l.Queue, Cause: causeOf(l), Ended: l.Time.Sub(first), Took: l.Took, Objective: l.Objective})
	}
	return losses, nil
}

// maxLineBytes is more than the length of any log line.
const maxLineBytes = 1 << 20

// parseLine decodes the JSON object of a line, and reports whether it is a log line of a daemon.
func parseLine(text []byte) (logLine, bool) {
	var l logLine
	at := bytes.IndexByte(text, '{')
	if at < 0 || json.Unmarshal(text[at:], &l) != nil || l.Message == "" {
		return logLine{}, false
	}
	return l, true
}

// resultRank orders the results that several owners logged for one job; the highest counts.
func resultRank(l logLine) int {
	switch l.Result {
	case "completed":
		return 2
	case "refused":
		return 0
	}
	return 1
}

// causeOf returns the cause of a loss: by result and reason if the job did not complete,
// otherwise by the events of its history.
func causeOf(l logLine) Cause {
	history := strings.Join(l.History, "\n")
	has := func(words ...string) bool {
		for _, word := range words {
			if strings.Contains(history, word) {
				return true
			}
		}
		return false
	}
	switch {
	case l.Result == "refused" && has(" refused "):
		return Refused
	case l.Result == "refused":
		return GivenUp
	case strings.Contains(l.Reason, "caller"):
		return CallerLeft
	case strings.Contains(l.Reason, "lost") || strings.Contains(l.Reason, "stood still") || strings.Contains(l.Reason, "silent"):
		return OwnerLost
	case l.Result == "failed":
		return Failed
	case l.Result != "completed":
		return Other
	case has(" start unanswered "):
		return StartUnanswered
	case has(" stopped "):
		return RunStopped
	case has(" lost "):
		return RunLost
	case has(" failed "):
		return RunFailed
	case timeToFirstStart(l.History) > longWait:
		return LateStart
	}
	return SlowRun
}

// timeToFirstStart is the time from a job's submission to the first start or delegation in its
// history; 0 if it has none.
func timeToFirstStart(history []string) time.Duration {
	for _, entry := range history {
		at, rest, _ := strings.Cut(entry, " ")
		if strings.HasPrefix(rest, "started ") || strings.HasPrefix(rest, "lent ") {
			took, err := time.ParseDuration(at)
			if err != nil {
				return 0
			}
			return took
		}
	}
	return 0
}

// Cell identifies a cell of a table of counts.
type Cell struct {
	Cause Cause
	// Group is a queue, or a window of time.
	Group string
}

// Count counts losses by cause and by the group that groupOf returns.
func Count(losses []Loss, groupOf func(Loss) string) map[Cell]int {
	counts := map[Cell]int{}
	for _, l := range losses {
		counts[Cell{l.Cause, groupOf(l)}]++
	}
	return counts
}

// ByQueue groups losses by queue.
func ByQueue(l Loss) string { return l.Queue }

// ByWindow groups losses by the time of their end, in windows of a length.
func ByWindow(length time.Duration) func(Loss) string {
	return func(l Loss) string { return fmt.Sprintf("%4.0fs", l.Ended.Truncate(length).Seconds()) }
}
