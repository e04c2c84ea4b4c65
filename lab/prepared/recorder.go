package prepared

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Recorder sees all targets, and which tasks run twice at one time.
type Recorder struct {
	mu       sync.Mutex
	running  map[string]int
	starts   map[string]int
	doubled  []string
	finished int
	// done holds the tasks of which a run has ended as done and was taken note of,
	// repeated those that were started again afterwards.
	done     map[string]bool
	repeated []string
	// startedAt is when each task was last started.
	startedAt map[string]time.Time
	// wrongs are other things that must not be.
	wrongs []string
	gangs  gangs
}

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		running: map[string]int{}, starts: map[string]int{}, done: map[string]bool{}, startedAt: map[string]time.Time{},
		gangs: gangs{members: map[string]map[string]*Target{}},
	}
}

func (r *Recorder) wrong(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongs = append(r.wrongs, what)
}

// Wrong lists starts that were ordered too early, or to go on from what another task
// saved.
func (r *Recorder) Wrong() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.wrongs)
}

// Running reports whether a task runs.
func (r *Recorder) Running(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task] > 0
}

func (r *Recorder) began(task string) {
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

func (r *Recorder) ended(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	r.finished++
}

// finish takes the end of a run that did its work and was taken note of.
func (r *Recorder) finish(task string, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[task] = true
	if started := r.startedAt[task]; started.After(ended) {
		r.repeated = append(r.repeated, fmt.Sprintf("%s at %s, before its end was taken note of", task, started.Format(time.StampMilli)))
	}
}

// Repeated lists tasks that were started again after an end that was taken note of then
// or later.
func (r *Recorder) Repeated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.repeated)
}

// Doubled lists tasks that ran twice at one time.
func (r *Recorder) Doubled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.doubled)
}

// Started reports whether any task of a job began.
func (r *Recorder) Started(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.starts {
		if len(task) > len(job) && task[:len(job)] == job {
			return true
		}
	}
	return false
}
