package replay

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Policy is who decides where tasks run.
type Policy string

// The policies. All but the first are baselines to compare with: they refuse nothing,
// learn nothing, and give a job up when its caller leaves.
const (
	// Owners decide, as burdockward does.
	Owners Policy = ""
	// FIFO is one queue in the order of arrival over all targets; a task goes to the first
	// target that it fits.
	FIFO Policy = "FIFO"
	// Random draws a target for each task, where it waits for its turn.
	Random Policy = "uniform random"
	// LeastOutstanding gives each task to the target with the fewest tasks, where it waits
	// for its turn.
	LeastOutstanding Policy = "least outstanding"
)

// callerWait is how long a caller waits for an answer.
const callerWait = 1500 * time.Millisecond

// lineTask is a task in a baseline's queue.
type lineTask struct {
	arrival *arrival
	run     work.Run
	need    work.Resources
	began   *runSim
	at      *targetSim
	done    bool
}

// baseline places tasks by a simple policy.
type baseline struct {
	world   *world
	policy  Policy
	targets []*targetSim
	// lines are the queues: one, or one for each target.
	lines map[*targetSim][]*lineTask
	// outstanding counts the tasks that are at a target or wait for it.
	outstanding map[*targetSim]int
	tasks       map[work.Run]*lineTask
	// open counts the tasks of a job that are not done.
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

// arrive queues the tasks of a job.
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

// lineFor chooses the queue of a task; nil is the one for all targets.
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

// place starts the first tasks of the queues as far as they fit.
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

func (b *baseline) firstFit(lt *lineTask) *targetSim {
	for _, t := range b.targets {
		if lt.need.Fits(t.free) {
			return t
		}
	}
	return nil
}

func (b *baseline) startFirst(line, t *targetSim) {
	lt := b.lines[line][0]
	b.lines[line] = b.lines[line][1:]
	lt.at = t
	t.begin(lt.run, lt.arrival, lt.need)
	lt.began = t.running[lt.run]
}

// ended takes the end of a run.
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

// leave gives a job up whose caller has left.
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

// unqueue takes a task that hasn't begun out of its queue.
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

// taskName is the name of a task of an arrival.
func taskName(a *arrival, index int) string {
	return fmt.Sprintf("%s.0.0.%d", a.job.ID, index)
}
