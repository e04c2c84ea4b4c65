package replay

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Policy names what decides where tasks run.
type Policy string

// The policies. All but Owners are baselines for comparison: they accept every job, use no
// estimates, and give a job up when its caller leaves.
const (
	// Owners is burdockward's own scheduler.
	Owners Policy = ""
	// FIFO has one queue over all targets in the order of arrival. A task starts on the first
	// target with enough free capacity.
	FIFO Policy = "FIFO"
	// Random draws a target for each task. Each target has a queue.
	Random Policy = "uniform random"
	// LeastOutstanding assigns each task to the target with the fewest running and queued
	// tasks. Each target has a queue.
	LeastOutstanding Policy = "least outstanding"
)

// callerTimeout is how long a caller waits for an answer.
const callerWait = 1500 * time.Millisecond

// queuedTask is a task that a baseline queues or runs.
type lineTask struct {
	arrival *arrival
	run     work.Run
	need    work.Resources
	// started is its run; nil while it waits.
	began *runSim
	// target is where it runs, or waits under a policy with a queue for each target.
	at   *targetSim
	done bool
}

// baseline places tasks by one of the simple policies.
type baseline struct {
	world   *world
	policy  Policy
	targets []*targetSim
	// queues has a queue for each target; FIFO's only queue has the key nil.
	lines map[*targetSim][]*lineTask
	// outstanding counts the tasks that run on a target or wait for it.
	outstanding map[*targetSim]int
	tasks       map[work.Run]*lineTask
	// openTasks counts the tasks of a job that are not done. Jobs that are answered or given up
	// have no entry.
	open map[*arrival]int
}

func newBaseline(w *world) *baseline {
	b := &baseline{
		world: w, policy: w.options.Policy, lines: map[*targetSim][]*lineTask{}, outstanding: map[*targetSim]int{},
		tasks: map[work.Run]*lineTask{}, open: map[*arrival]int{},
	}
	for _, id := range w.targetOrder {
		b.targets = append(b.targets, w.targets[id])
	}
	return b
}

// addJob queues the tasks of a job and starts what fits. The job is given up after callerTimeout.
func (b *baseline) arrive(a *arrival) {
	b.open[a] = len(a.runs)
	var tasks []*lineTask
	for i := range a.runs {
		lt := &lineTask{arrival: a, run: work.Run{Task: taskName(a, i), Number: 1}, need: a.job.Steps[0].Each}
		b.tasks[lt.run] = lt
		tasks = append(tasks, lt)
		line := b.lineFor(lt)
		b.lines[line] = append(b.lines[line], lt)
	}
	b.world.at(a.at+time.Second+callerWait, func() { b.leave(a, tasks) })
	b.place()
}

// chooseQueue returns the target in whose queue a task waits; nil stands for FIFO's queue.
func (b *baseline) lineFor(lt *lineTask) *targetSim {
	var chosen *targetSim
	switch b.policy {
	case Random:
		chosen = b.targets[b.world.random.IntN(len(b.targets))]
	case LeastOutstanding:
		for _, t := range b.targets {
			if chosen == nil || b.outstanding[t] < b.outstanding[chosen] {
				chosen = t
			}
		}
	default:
		return nil
	}
	lt.at = chosen
	b.outstanding[chosen]++
	return chosen
}

// startWaiting starts tasks from the head of each queue until one does not fit.
func (b *baseline) place() {
	for len(b.lines[nil]) > 0 {
		t := b.firstFit(b.lines[nil][0])
		if t == nil {
			break
		}
		b.startFirst(nil, t)
	}
	for _, t := range b.targets {
		for len(b.lines[t]) > 0 && b.lines[t][0].need.Fits(t.free) {
			b.startFirst(t, t)
		}
	}
}

// firstFit returns the first target with free capacity for a task, or nil.
func (b *baseline) firstFit(lt *lineTask) *targetSim {
	for _, t := range b.targets {
		if lt.need.Fits(t.free) {
			return t
		}
	}
	return nil
}

// startFirst starts the first task of a queue on a target.
func (b *baseline) startFirst(line, t *targetSim) {
	lt := b.lines[line][0]
	b.lines[line] = b.lines[line][1:]
	lt.at = t
	t.begin(lt.run, lt.arrival, lt.need)
	lt.began = t.running[lt.run]
}

// handleRunEnd records the end of a run, and its job's completion if it was the last one, and
// starts waiting tasks.
func (b *baseline) ended(run work.Run) {
	lt := b.tasks[run]
	delete(b.tasks, run)
	b.outstanding[lt.at]--
	lt.done = true
	a := lt.arrival
	if left, waits := b.open[a]; waits && left == 1 {
		delete(b.open, a)
		b.world.completed(a, b.world.now-a.at-time.Second)
	} else if waits {
		b.open[a] = left - 1
	}
	b.place()
}

// giveUpJob ends the runs of a job whose caller has left, and removes its waiting tasks.
func (b *baseline) leave(a *arrival, tasks []*lineTask) {
	if _, waits := b.open[a]; !waits {
		return
	}
	delete(b.open, a)
	b.world.count(a, func(c *Counts) { c.Failed++ })
	for _, lt := range tasks {
		switch {
		case lt.done:
		case lt.began != nil:
			lt.at.end(lt.run, lt.began, work.EndStopped)
		default:
			b.unqueue(lt)
		}
	}
	b.place()
}

// dequeue removes a waiting task from its queue.
func (b *baseline) unqueue(lt *lineTask) {
	line := lt.at
	if b.policy == FIFO {
		line = nil
	}
	rest := b.lines[line][:0]
	for _, other := range b.lines[line] {
		if other != lt {
			rest = append(rest, other)
		}
	}
	b.lines[line] = rest
	delete(b.tasks, lt.run)
	if lt.at != nil {
		b.outstanding[lt.at]--
	}
}

// taskName is the name of a job's task, in the form of the scheduler's task names.
func taskName(a *arrival, index int) string {
	return fmt.Sprintf("%s.0.0.%d", a.job.ID, index)
}
