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
const callerTimeout = 1500 * time.Millisecond

// queuedTask is a task that a baseline queues or runs.
type queuedTask struct {
	arrival *arrival
	run     work.RunID
	need    work.Resources
	// started is its run; nil while it waits.
	started *runSim
	// target is where it runs, or waits under a policy with a queue for each target.
	target *targetSim
	done   bool
}

// baseline places tasks by one of the simple policies.
type baseline struct {
	world   *world
	policy  Policy
	targets []*targetSim
	// queues has a queue for each target; FIFO's only queue has the key nil.
	queues map[*targetSim][]*queuedTask
	// outstanding counts the tasks that run on a target or wait for it.
	outstanding map[*targetSim]int
	tasks       map[work.RunID]*queuedTask
	// openTasks counts the tasks of a job that are not done. Jobs that are answered or given up
	// have no entry.
	openTasks map[*arrival]int
}

func newBaseline(w *world) *baseline {
	b := &baseline{
		world: w, policy: w.options.Policy, queues: map[*targetSim][]*queuedTask{}, outstanding: map[*targetSim]int{},
		tasks: map[work.RunID]*queuedTask{}, openTasks: map[*arrival]int{},
	}
	for _, id := range w.targetOrder {
		b.targets = append(b.targets, w.targets[id])
	}
	return b
}

// addJob queues the tasks of a job and starts what fits. The job is given up after callerTimeout.
func (b *baseline) addJob(a *arrival) {
	b.openTasks[a] = len(a.runTimes)
	var tasks []*queuedTask
	for i := range a.runTimes {
		task := &queuedTask{arrival: a, run: work.RunID{Task: taskName(a, i), Number: 1}, need: a.job.Steps[0].PerTask}
		b.tasks[task.run] = task
		tasks = append(tasks, task)
		queue := b.chooseQueue(task)
		b.queues[queue] = append(b.queues[queue], task)
	}
	b.world.scheduleAt(a.at+time.Second+callerTimeout, func() { b.giveUpJob(a, tasks) })
	b.startWaiting()
}

// chooseQueue returns the target in whose queue a task waits; nil stands for FIFO's queue.
func (b *baseline) chooseQueue(task *queuedTask) *targetSim {
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
	task.target = chosen
	b.outstanding[chosen]++
	return chosen
}

// startWaiting starts tasks from the head of each queue until one does not fit.
func (b *baseline) startWaiting() {
	for len(b.queues[nil]) > 0 {
		t := b.firstFit(b.queues[nil][0])
		if t == nil {
			break
		}
		b.startFirst(nil, t)
	}
	for _, t := range b.targets {
		for len(b.queues[t]) > 0 && b.queues[t][0].need.FitsIn(t.free) {
			b.startFirst(t, t)
		}
	}
}

// firstFit returns the first target with free capacity for a task, or nil.
func (b *baseline) firstFit(task *queuedTask) *targetSim {
	for _, t := range b.targets {
		if task.need.FitsIn(t.free) {
			return t
		}
	}
	return nil
}

// startFirst starts the first task of a queue on a target.
func (b *baseline) startFirst(queue, t *targetSim) {
	task := b.queues[queue][0]
	b.queues[queue] = b.queues[queue][1:]
	task.target = t
	t.beginRun(task.run, task.arrival, task.need)
	task.started = t.running[task.run]
}

// handleRunEnd records the end of a run, and its job's completion if it was the last one, and
// starts waiting tasks.
func (b *baseline) handleRunEnd(run work.RunID) {
	task := b.tasks[run]
	delete(b.tasks, run)
	b.outstanding[task.target]--
	task.done = true
	a := task.arrival
	if remaining, isOpen := b.openTasks[a]; isOpen && remaining == 1 {
		delete(b.openTasks, a)
		b.world.recordCompletion(a, b.world.now-a.at-time.Second)
	} else if isOpen {
		b.openTasks[a] = remaining - 1
	}
	b.startWaiting()
}

// giveUpJob ends the runs of a job whose caller has left, and removes its waiting tasks.
func (b *baseline) giveUpJob(a *arrival, tasks []*queuedTask) {
	if _, isOpen := b.openTasks[a]; !isOpen {
		return
	}
	delete(b.openTasks, a)
	b.world.countJob(a, func(c *Counts) { c.Failed++ })
	for _, task := range tasks {
		switch {
		case task.done:
		case task.started != nil:
			task.target.endRun(task.run, task.started, work.CompletionStopped)
		default:
			b.dequeue(task)
		}
	}
	b.startWaiting()
}

// dequeue removes a waiting task from its queue.
func (b *baseline) dequeue(task *queuedTask) {
	queue := task.target
	if b.policy == FIFO {
		queue = nil
	}
	rest := b.queues[queue][:0]
	for _, other := range b.queues[queue] {
		if other != task {
			rest = append(rest, other)
		}
	}
	b.queues[queue] = rest
	delete(b.tasks, task.run)
	if task.target != nil {
		b.outstanding[task.target]--
	}
}

// taskName is the name of a job's task, in the form of the scheduler's task names.
func taskName(a *arrival, index int) string {
	return fmt.Sprintf("%s.0.0.%d", a.job.ID, index)
}
