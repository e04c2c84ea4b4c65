package main

import (
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Bounds of the rules, as in the settings.
const (
	finishTime   = 14 * time.Second
	idleTime     = 3 * time.Second
	lastingAway  = 6 * time.Second
	calmBefore   = 4 * time.Second
	sampleEvery  = 100 * time.Millisecond
	contactTime  = 3 * time.Second
	visibleTime  = 3 * time.Second
	pendingDelay = 2 * time.Second
)

// room counts the tasks of a size that the executors in service could still take, and the share of
// their processors that is in use.
func (w *world) room(need wire.Resources) (places int, used float64) {
	total, taken := int64(0), int64(0)
	for _, e := range w.executors {
		e.mu.Lock()
		if e.alive && !e.silent && !e.draining {
			free := e.capacity
			for _, x := range e.running {
				free = without(free, x.need)
			}
			total += e.capacity.CPU
			taken += e.capacity.CPU - free.CPU
			n := free.CPU / max(need.CPU, 1)
			if need.MemoryMB > 0 {
				n = min(n, free.MemoryMB/need.MemoryMB)
			}
			places += int(n)
		}
		e.mu.Unlock()
	}
	return places, float64(taken) / float64(max(total, 1))
}

// idleWatch finds work that has nothing running although there is capacity twice over, with under
// half of the service's capacity in use, for idleTime on end.
type idleWatch struct {
	since map[string]time.Time
	// lost has how long each piece of work was idle like that at most.
	lost map[string]time.Duration
}

func newIdleWatch() *idleWatch {
	return &idleWatch{since: map[string]time.Time{}, lost: map[string]time.Duration{}}
}

// see takes one sample of a piece of work: idle says that its turn has come and nothing of it runs.
func (i *idleWatch) see(w *world, name string, idle bool, tasks int, need wire.Resources) {
	places, used := w.room(need)
	if !idle || places < 2*tasks || used >= 0.5 {
		delete(i.since, name)
		return
	}
	if i.since[name].IsZero() {
		i.since[name] = time.Now()
	}
	if span := time.Since(i.since[name]); span >= idleTime {
		if i.lost[name] == 0 {
			w.record.add("LOST       %s has had nothing running for %v, with room for %d such tasks and %.0f %% of the capacity in use", name, idleTime, places, 100*used)
		}
		i.lost[name] = max(i.lost[name], span)
	}
}

// watchJobs samples jobs of one step for a time and returns those that were lost.
func (w *world) watchJobs(jobs []job, length time.Duration) map[string]time.Duration {
	watch := newIdleWatch()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(sampleEvery) {
		for _, j := range jobs {
			open, running := 0, false
			for _, task := range j.tasks() {
				if !w.runs.isDone(task) {
					open++
				}
				running = running || w.runs.isRunning(task)
			}
			watch.see(w, j.ID, open > 0 && !running, open, wire.Resources{CPU: j.Steps[0].CPU, MemoryMB: j.Steps[0].MemoryMB})
		}
	}
	return watch.lost
}

// watchLasting samples the tasks of a job that lasts, and returns those that were lost: each counts
// from lastingAway after its last run.
func (w *world) watchLasting(j job, length time.Duration) map[string]time.Duration {
	watch := newIdleWatch()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(sampleEvery) {
		for _, task := range j.tasks() {
			away := w.runs.awayFor(task)
			watch.see(w, task, away < 0 || away > lastingAway, 1, wire.Resources{CPU: j.Steps[0].CPU, MemoryMB: j.Steps[0].MemoryMB})
		}
	}
	return watch.lost
}

// awaitRunning waits until all tasks of a job run.
func (w *world) awaitRunning(j job, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		running := 0
		for _, task := range j.tasks() {
			if w.runs.isRunning(task) {
				running++
			}
		}
		if running == len(j.tasks()) {
			return true
		}
	}
	return false
}

// where returns the executor at which a task runs; nil if none.
func (w *world) where(task string) *executor {
	for _, e := range w.executors {
		e.mu.Lock()
		_, ok := e.running[task]
		e.mu.Unlock()
		if ok {
			return e
		}
	}
	return nil
}
