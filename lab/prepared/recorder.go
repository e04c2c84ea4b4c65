package prepared

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Recorder records starts and ends of runs on all targets, and breaches of the rules of starts.
type Recorder struct {
	mu       sync.Mutex
	running  map[string]int
	starts   map[string]int
	doubled  []string
	finished int
	// done has the tasks with an acknowledged completion, repeated those that were started again
	// after it.
	done     map[string]bool
	repeated []string
	// startedAt is when each task was last started.
	startedAt map[string]time.Time
	// violations are other breaches.
	violations []string
	gangs      gangs
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		running: map[string]int{}, starts: map[string]int{}, done: map[string]bool{}, startedAt: map[string]time.Time{},
		gangs: gangs{members: map[string]map[string]*Target{}},
	}
}

// addViolation records a breach of a rule.
func (r *Recorder) addViolation(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, what)
}

// Violations lists breaches other than doubled and repeated tasks: starts that came too early, that
// passed the saved state of another task, that put a background task beside a latency-sensitive
// one, or that came into a cordoned failure domain.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// IsRunning reports whether a task runs on any target.
func (r *Recorder) IsRunning(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task] > 0
}

// recordStart records the start of a run.
func (r *Recorder) recordStart(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.startedAt[task] = time.Now()
	if r.done[task] {
		r.repeated = append(r.repeated, fmt.Sprintf("%s at %s", task, time.Now().Format(time.StampMilli)))
	}
	if r.running[task]++; r.running[task] > 1 {
		r.doubled = append(r.doubled, fmt.Sprintf("%s at %s", task, time.Now().Format(time.StampMilli)))
	}
}

// recordEnd records the end of a run.
func (r *Recorder) recordEnd(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	r.finished++
}

// recordAcknowledgement records that the owner has acknowledged the completion of a task. A start
// after the completion counts as a repetition.
func (r *Recorder) recordAcknowledgement(task string, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[task] = true
	if started := r.startedAt[task]; started.After(ended) {
		r.repeated = append(r.repeated, fmt.Sprintf("%s at %s, before its completion was acknowledged", task, started.Format(time.StampMilli)))
	}
}

// Repeated lists tasks that were started again after a completion that was acknowledged before or
// after that start.
func (r *Recorder) Repeated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.repeated)
}

// Doubled lists tasks of which two runs were running at the same time.
func (r *Recorder) Doubled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.doubled)
}

// StartedAfter lists the tasks of a job that were started after a time.
func (r *Recorder) StartedAfter(job string, at time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for task, started := range r.startedAt {
		if strings.HasPrefix(task, job+".") && started.After(at) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// HasStarted reports whether any task of a job was started.
func (r *Recorder) HasStarted(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.starts {
		if len(task) > len(job) && task[:len(job)] == job {
			return true
		}
	}
	return false
}
