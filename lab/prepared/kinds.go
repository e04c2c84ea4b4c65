package prepared

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// plan is what a task of the stand-in does. It is written in the payload of its job, as
// words: a run time in milliseconds, then what makes it special.
type plan struct {
	length time.Duration
	// gang is the number of members; 0 for a task by itself.
	gang int
	// lasting tasks end by themselves only now and then, badly.
	lasting bool
	// advised tasks start with a ticket of the adviser alone.
	advised bool
	// fills tasks take no room of their target, and may not run beside those that serve.
	fills, serves bool
	// saves has the task save its work as it goes.
	saves bool
	// due is when the first occurrence is due, every the time to the next.
	due, every time.Duration
}

// payload writes a plan.
func (p plan) payload() string {
	words := []string{strconv.FormatInt(p.length.Milliseconds(), 10)}
	if p.gang > 0 {
		words = append(words, "gang", strconv.Itoa(p.gang))
	}
	if p.lasting {
		words = append(words, "lasts")
	}
	if p.saves {
		words = append(words, "saves")
	}
	if p.advised {
		words = append(words, "advised")
	}
	if p.fills {
		words = append(words, "fills")
	}
	if p.serves {
		words = append(words, "serves")
	}
	if p.due > 0 {
		words = append(words, "due", strconv.FormatInt(p.due.Milliseconds(), 10), "every", strconv.FormatInt(p.every.Milliseconds(), 10))
	}
	return strings.Join(words, " ")
}

// planOf reads a plan. What isn't one is a task that ends at once.
func planOf(payload string) plan {
	var p plan
	words := strings.Fields(payload)
	number := func(i int) int64 {
		if i >= len(words) {
			return 0
		}
		n, _ := strconv.ParseInt(words[i], 10, 64)
		return n
	}
	for i, word := range words {
		switch word {
		case "gang":
			p.gang = int(number(i + 1))
		case "lasts":
			p.lasting = true
		case "saves":
			p.saves = true
		case "advised":
			p.advised = true
		case "fills":
			p.fills = true
		case "serves":
			p.serves = true
		case "due":
			p.due = time.Duration(number(i+1)) * time.Millisecond
		case "every":
			p.every = time.Duration(number(i+1)) * time.Millisecond
		}
	}
	p.length = time.Duration(number(0)) * time.Millisecond
	return p
}

// dueAt is when a task's occurrence is due, since 1970; 0 for at once.
func (p plan) dueAt(task string) time.Duration {
	if p.due == 0 {
		return 0
	}
	occurrence, _ := strconv.Atoi(strings.Split(task, ".")[1])
	return p.due + time.Duration(occurrence)*p.every
}

// Times of special tasks.
const (
	// saveInterval is how much work a saving task does between two saves.
	saveInterval = 100 * time.Millisecond
	// gangWait is how long a member of a gang waits for the others.
	gangWait = 3 * time.Second
	// lastingLife bounds how long a lasting task runs before it fails.
	lastingLife = 6 * time.Second
)

// work is the run of a plan: how much is done, and what it has saved.
type worker struct {
	plan
	key   string
	saved string
	done  time.Duration
}

// newWorker makes the worker of a run that goes on from a checkpoint; false says that
// the checkpoint isn't its own.
func newWorker(p plan, task, checkpoint string) (*worker, bool) {
	w := &worker{plan: p, key: task, saved: checkpoint}
	if p.gang > 0 {
		w.key = task[:strings.LastIndex(task, ".")]
	}
	if checkpoint == "" {
		return w, true
	}
	key, done, _ := strings.Cut(checkpoint, "@")
	ms, err := strconv.ParseInt(done, 10, 64)
	w.done = time.Duration(ms) * time.Millisecond
	return w, err == nil && key == w.key && p.saves
}

// save takes note that more is done.
func (w *worker) save(done time.Duration) {
	w.done = done
	w.saved = fmt.Sprintf("%s@%d", w.key, done.Milliseconds())
}

// gangs are the gangs of which a member runs, at all targets.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]*Target
}

func gangKey(key string, run int64) string { return fmt.Sprintf("%s run %d", key, run) }

// join adds a member and reports whether the gang is whole.
func (g *gangs) join(key string, task string, t *Target, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[key] == nil {
		g.members[key] = map[string]*Target{}
	}
	g.members[key][task] = t
	return len(g.members[key]) == size
}

// size is how many members run.
func (g *gangs) size(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members[key])
}

// leave takes a gang apart and returns its other members.
func (g *gangs) leave(key, task string) map[string]*Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := g.members[key]
	delete(g.members, key)
	delete(others, task)
	return others
}

// keptJob draws a kept job of one of the kinds, with its plan.
func (d *Deployment) keptJob() (wire.Job, plan) {
	p := plan{length: time.Duration(20+rand.IntN(300)) * time.Millisecond}
	step := wire.Step{Count: 1 + rand.IntN(3), CPU: taskCPU, MemoryMB: 64, EstimateMS: float64(p.length.Milliseconds())}
	job := wire.Job{Steps: []wire.Step{step}}
	switch kind := rand.IntN(12); {
	case kind < 2:
		p.gang, p.saves = 2, true
		job.Steps[0].Count, job.Steps[0].Gang = p.gang, true
	case kind == 2:
		p.due, p.every = time.Duration(time.Now().UnixNano())+500*time.Millisecond, 200*time.Millisecond
		job.RepeatCount, job.FirstRunMS, job.IntervalMS = 2, float64(p.due.Milliseconds()), float64(p.every.Milliseconds())
		job.Steps[0].Count, step.Count, step.After = 1, 1, []int{0}
		job.Steps = append(job.Steps, step)
	case kind < 5:
		p.length, p.saves = p.length+time.Second, true
		job.Steps[0].Count, job.Steps[0].EstimateMS = 1, float64(p.length.Milliseconds())
	case kind == 5 && d.mayLast():
		p.lasting, p.serves = true, true
		job.Steps[0].Count, job.Steps[0].LongRunning, job.Steps[0].TargetMS = 1, true, servingTarget
	case kind == 6:
		p.fills = true
		job.Steps[0].Fills = true
	}
	p.advised = !p.lasting && rand.IntN(4) == 0
	job.Spec = p.payload()
	return job, p
}

// path is where a job of a plan is handed in.
func (p plan) path() string {
	if p.advised {
		return AdvisedPath
	}
	return Path
}

// servingTarget is below what the tail of serving tasks has to stay, in milliseconds.
const servingTarget = 50

// mostLasting leaves room for other work.
const mostLasting = 2

func (d *Deployment) mayLast() bool { return d.lasting.Add(1) <= mostLasting }
