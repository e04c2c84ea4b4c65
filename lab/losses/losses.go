// Package losses accounts for the jobs that a deployment did not answer in time, from its
// daemons' logs alone: by cause, by queue, and by when they ended.
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

// The causes, in the order in which a job's trail is asked for them.
const (
	// Refused jobs were told at once that too much work waits.
	Refused Cause = "refused by the forecast"
	// GivenUp jobs were told so later, before anything of them began.
	GivenUp Cause = "given up before it began"
	// Left jobs had callers that went away, or whose time was over.
	Left Cause = "its caller left, or its deadline passed"
	// OwnerLost jobs had an owner, or another owner's part, that was lost.
	OwnerLost Cause = "its owner was lost"
	// Failed jobs had a task that failed as often as its queue allows.
	Failed Cause = "a task failed too often"
	// Unanswered, Moved, Lost and Again jobs were late after one of their runs had to be
	// begun anew: its start had no answer, its target fared badly, it was lost or it failed.
	Unanswered Cause = "late: a start had no answer"
	Moved      Cause = "late: a run was moved from a bad target"
	Lost       Cause = "late: a run was lost"
	Again      Cause = "late: a run failed"
	// Waited jobs were late after over waitedTime without a place.
	Waited Cause = "late: waited for places"
	// Ran jobs were late though they began at once: a run took longer than expected.
	Ran Cause = "late: a run took long"
	// Other jobs have another reason in their trail.
	Other Cause = "other"
)

// Causes lists all causes.
func Causes() []Cause {
	return []Cause{Refused, GivenUp, Left, OwnerLost, Failed, Unanswered, Moved, Lost, Again, Waited, Ran, Other}
}

// waitedTime is a third of the slack of the shortest kind of job.
const waitedTime = 20 * time.Millisecond

// Loss is a job that was not answered in time.
type Loss struct {
	Job, Queue string
	Cause      Cause
	// Ended is when, counted from the first line of the logs.
	Ended time.Duration
	// Took is the time since the caller sent the job, Objective what it should have been.
	Took, Objective time.Duration
}

// line is a line of a daemon's log.
type line struct {
	Time      time.Time     `json:"time"`
	Message   string        `json:"msg"`
	Job       string        `json:"job"`
	Queue     string        `json:"queue"`
	Result    string        `json:"result"`
	Reason    string        `json:"reason"`
	Took      time.Duration `json:"took"`
	Objective time.Duration `json:"objective"`
	Trail     []string      `json:"trail"`
}

// jobEnded is the message of the lines that the account is made of.
const jobEnded = "job ended"

// ErrNoLines says that there was nothing to account for.
var ErrNoLines = errors.New(`no line "job ended" found: give the daemons' logs, one JSON object a line, with or without words before it`)

// Read accounts for the jobs of logs. Lines of other programs are passed over. A job that
// several owners had, whole or in parts, counts once: as its last word says, and what was
// completed goes before what was refused elsewhere.
func Read(logs io.Reader) ([]Loss, error) {
	var first time.Time
	last := map[string]line{}
	var order []string
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Message != jobEnded {
			continue
		}
		before, known := last[l.Job]
		if !known {
			order = append(order, l.Job)
		}
		if !known || rank(l) > rank(before) || rank(l) == rank(before) && l.Took >= before.Took {
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

// maxLine is more than a line of a log has.
const maxLine = 1 << 20

func parse(text []byte) (line, bool) {
	var l line
	at := bytes.IndexByte(text, '{')
	if at < 0 || json.Unmarshal(text[at:], &l) != nil || l.Message == "" {
		return line{}, false
	}
	return l, true
}

// rank orders the words of several owners about one job.
func rank(l line) int {
	switch l.Result {
	case "completed":
		return 2
	case "refused":
		return 0
	}
	return 1
}

// causeOf goes by the last word, then by what happened on the way.
func causeOf(l line) Cause {
	trail := strings.Join(l.Trail, "\n")
	has := func(words ...string) bool {
		for _, word := range words {
			if strings.Contains(trail, word) {
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
		return Left
	case strings.Contains(l.Reason, "lost") || strings.Contains(l.Reason, "stood still") || strings.Contains(l.Reason, "silent"):
		return OwnerLost
	case l.Result == "failed":
		return Failed
	case l.Result != "completed":
		return Other
	case has(" start unanswered "):
		return Unanswered
	case has(" stopped "):
		return Moved
	case has(" lost "):
		return Lost
	case has(" failed "):
		return Again
	case firstPlace(l.Trail) > waitedTime:
		return Waited
	}
	return Ran
}

// firstPlace is how long a job waited for its first place.
func firstPlace(trail []string) time.Duration {
	for _, entry := range trail {
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

// Cell names a field of the account.
type Cell struct {
	Cause Cause
	// Of is a queue, or when the job ended.
	Of string
}

// Count counts losses by cause and by what of tells of each.
func Count(losses []Loss, of func(Loss) string) map[Cell]int {
	counts := map[Cell]int{}
	for _, l := range losses {
		counts[Cell{l.Cause, of(l)}]++
	}
	return counts
}

// ByQueue and ByWindow say what losses are counted by.
func ByQueue(l Loss) string { return l.Queue }

// ByWindow counts by the time of the end, in steps of a length.
func ByWindow(length time.Duration) func(Loss) string {
	return func(l Loss) string { return fmt.Sprintf("%4.0fs", l.Ended.Truncate(length).Seconds()) }
}
