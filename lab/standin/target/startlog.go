package target

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	client "github.com/burdockward/burdockward/targetclient"
)

// Bounds of a summary's lists.
const (
	maxListedDuplicates = 100
	maxListedAges       = 1000
)

// notLeaving is the leaving age of a target that is not leaving.
const notLeaving time.Duration = -1

// start is one start as a target reports it to the log.
type start struct {
	id     client.TaskID
	target string
	holder string
	at     time.Time
	// age is how long the target had been leaving, or notLeaving.
	age time.Duration
}

// taskStart is a start as the log stores it, under its submission.
type taskStart struct {
	task   int
	target string
	holder string
	at     time.Time
}

// StartLog records the starts of any number of targets. It is safe for
// concurrent use.
type StartLog struct {
	mu sync.Mutex
	// submissions holds the starts of each submission in the order of arrival.
	submissions map[string][]taskStart
	// names holds one copy of each target's and holder's name, to save memory.
	names map[string]string
	total int
	// running counts running tasks by label, and runningAll those with and without one.
	running    map[string]int
	summary    Summary
	runningAll int
}

// Summary sums up the starts of a log.
type Summary struct {
	// Total counts started tasks.
	Total int `json:"total"`
	// DuplicateTasks counts tasks that were started more than once. Duplicates lists the first of
	// them by submission and task, at most maxListedDuplicates.
	DuplicateTasks int         `json:"duplicate_tasks"`
	Duplicates     []Duplicate `json:"duplicates"`
	// AfterLeaving counts starts and refused starts at leaving targets.
	AfterLeaving AfterLeaving `json:"after_leaving"`
	// MaxRunning is the most tasks that ran at once over all targets of the log, and
	// MaxRunningByLabel the most of each label.
	MaxRunning        int            `json:"max_running"`
	MaxRunningByLabel map[string]int `json:"max_running_by_label"`
}

// Duplicate is a task that was started more than once.
type Duplicate struct {
	Submission string  `json:"submission"`
	Task       int     `json:"task"`
	Starts     []Start `json:"starts"`
}

// Start is one start of a task.
type Start struct {
	Submission string `json:"submission,omitempty"`
	Task       int    `json:"task"`
	Target     string `json:"target"`
	Holder     string `json:"holder"`
	// AtUS is the time in microseconds since 1970.
	AtUS int64 `json:"at_us"`
}

// AfterLeaving counts starts that reached targets after they began to leave.
type AfterLeaving struct {
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	// MaxAgeMS is the longest time from the beginning of leaving to a start, accepted or refused, in
	// milliseconds. AgesMS lists the first such times, at most maxListedAges.
	MaxAgeMS int64   `json:"max_age_ms"`
	AgesMS   []int64 `json:"ages_ms"`
}

// NewStartLog returns an empty log.
func NewStartLog() *StartLog {
	return &StartLog{
		submissions: map[string][]taskStart{},
		names:       map[string]string{},
		running:     map[string]int{},
		summary:     Summary{MaxRunningByLabel: map[string]int{}},
	}
}

// addStart records an accepted start of a task with this label.
func (l *StartLog) addStart(label string, s start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.submissions[s.id.Submission] = append(l.submissions[s.id.Submission], taskStart{
		task:   s.id.Task,
		target: l.name(s.target),
		holder: l.name(s.holder),
		at:     s.at,
	})
	if s.age != notLeaving {
		l.summary.AfterLeaving.Accepted++
		l.summary.AfterLeaving.addAge(s.age)
	}
	l.runningAll++
	l.summary.MaxRunning = max(l.summary.MaxRunning, l.runningAll)
	if label != "" {
		l.running[label]++
		l.summary.MaxRunningByLabel[label] = max(l.summary.MaxRunningByLabel[label], l.running[label])
	}
}

// addRefused records a refused start if the target was leaving.
func (l *StartLog) addRefused(age time.Duration) {
	if age == notLeaving {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.AfterLeaving.Refused++
	l.summary.AfterLeaving.addAge(age)
}

// addEnd records that a task with this label no longer runs.
func (l *StartLog) addEnd(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runningAll--
	if label != "" {
		l.running[label]--
	}
}

// name returns the log's copy of s; it needs mu.
func (l *StartLog) name(s string) string {
	if kept, ok := l.names[s]; ok {
		return kept
	}
	l.names[s] = s
	return s
}

func (a *AfterLeaving) addAge(age time.Duration) {
	ms := age.Milliseconds()
	a.MaxAgeMS = max(a.MaxAgeMS, ms)
	if len(a.AgesMS) < maxListedAges {
		a.AgesMS = append(a.AgesMS, ms)
	}
}

// Summary sums up the starts recorded so far.
func (l *StartLog) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := l.summary
	summary.Total = l.total
	summary.AfterLeaving.AgesMS = slices.Clone(l.summary.AfterLeaving.AgesMS)
	summary.MaxRunningByLabel = map[string]int{}
	for label, n := range l.summary.MaxRunningByLabel {
		summary.MaxRunningByLabel[label] = n
	}
	summary.Duplicates = []Duplicate{}
	for submission, starts := range l.submissions {
		summary.Duplicates = append(summary.Duplicates, duplicatesOf(submission, starts)...)
	}
	summary.DuplicateTasks = len(summary.Duplicates)
	slices.SortFunc(summary.Duplicates, func(a, b Duplicate) int {
		return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Task, b.Task))
	})
	summary.Duplicates = summary.Duplicates[:min(len(summary.Duplicates), maxListedDuplicates)]
	return summary
}

// duplicatesOf returns the tasks of a submission that were started more than once.
func duplicatesOf(submission string, starts []taskStart) []Duplicate {
	byTask := make(map[int]int, len(starts))
	for _, s := range starts {
		byTask[s.task]++
	}
	if len(byTask) == len(starts) {
		return nil
	}
	var found []Duplicate
	for task, n := range byTask {
		if n > 1 {
			found = append(found, Duplicate{Submission: submission, Task: task, Starts: startsOf(starts, task)})
		}
	}
	return found
}

func startsOf(starts []taskStart, task int) []Start {
	var found []Start
	for _, s := range starts {
		if s.task == task {
			found = append(found, s.export(""))
		}
	}
	return found
}

func (s taskStart) export(submission string) Start {
	return Start{Submission: submission, Task: s.task, Target: s.target, Holder: s.holder, AtUS: s.at.UnixMicro()}
}

// Starts returns every start, ordered by time.
func (l *StartLog) Starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Start, 0, l.total)
	for submission, starts := range l.submissions {
		for _, s := range starts {
			all = append(all, s.export(submission))
		}
	}
	slices.SortFunc(all, func(a, b Start) int {
		return cmp.Or(
			cmp.Compare(a.AtUS, b.AtUS),
			cmp.Compare(a.Submission, b.Submission),
			cmp.Compare(a.Task, b.Task),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return all
}

// ServeHTTP answers with the summary, or when full is set with every start as a line of JSON.
func (l *StartLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("full") == "" {
		writeJSON(w, http.StatusOK, l.Summary())
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, s := range l.Starts() {
		if err := encoder.Encode(s); err != nil {
			return
		}
	}
}
