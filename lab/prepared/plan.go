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

// plan says what a simulated task does. The payload of its job has it as words: the run time in
// milliseconds, then the words of payload for the other properties.
type plan struct {
	// runTime is the work of the task; a gang does it once.
	runTime time.Duration
	// gang is the number of members of its gang; 0 without a gang.
	gang int
	// lasting tasks run until they are cancelled, and fail now and then.
	lasting bool
	// advised tasks start only with a ticket of the adviser.
	advised bool
	// background tasks take none of a target's capacity, and must not run on a target beside
	// latency-sensitive ones.
	background, latencySensitive bool
	// saves has the task save its progress.
	saves bool
	// due is when the first occurrence is due, since 1970, and interval the time between two
	// occurrences.
	due, interval time.Duration
}

// payload encodes a plan.
func (p plan) payload() string {
	words := []string{strconv.FormatInt(p.runTime.Milliseconds(), 10)}
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
	if p.background {
		words = append(words, "fills")
	}
	if p.latencySensitive {
		words = append(words, "serves")
	}
	if p.due > 0 {
		words = append(words, "due", strconv.FormatInt(p.due.Milliseconds(), 10), "every", strconv.FormatInt(p.interval.Milliseconds(), 10))
	}
	return strings.Join(words, " ")
}

// parsePlan decodes a plan. A payload that is none stands for a task that ends at once.
func parsePlan(payload string) plan {
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
			p.background = true
		case "serves":
			p.latencySensitive = true
		case "due":
			p.due = time.Duration(number(i+1)) * time.Millisecond
		case "every":
			p.interval = time.Duration(number(i+1)) * time.Millisecond
		}
	}
	p.runTime = time.Duration(number(0)) * time.Millisecond
	return p
}

// dueAt is when the occurrence in a task's name is due, since 1970; 0 stands for at once.
func (p plan) dueAt(task string) time.Duration {
	if p.due == 0 {
		return 0
	}
	occurrence, _ := strconv.Atoi(strings.Split(task, ".")[1])
	return p.due + time.Duration(occurrence)*p.interval
}

// Times of special tasks.
const (
	// saveInterval is the work that a task does between two saves.
	saveInterval = 100 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others to start.
	gangTimeout = 3 * time.Second
	// maxLastingRun is the longest time that a lasting task runs before it fails.
	maxLastingRun = 6 * time.Second
)

// worker is the progress of a run of a plan.
type worker struct {
	plan
	// key identifies the owner of the saved state: the task, or the whole gang.
	key   string
	saved string
	// done is the work that is done.
	done time.Duration
}

// newWorker returns the worker of a run that continues from a checkpoint, and whether the
// checkpoint is one of the same task or gang. No checkpoint stands for a run from the beginning.
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

// save records the work done so far as the saved state.
func (w *worker) save(done time.Duration) {
	w.done = done
	w.saved = fmt.Sprintf("%s@%d", w.key, done.Milliseconds())
}

// gangs has the gangs with running members on all targets.
type gangs struct {
	mu sync.Mutex
	// members has the target of each running member, by gang and task.
	members map[string]map[string]*Target
}

// gangKey identifies the run of a gang.
func gangKey(key string, run int64) string { return fmt.Sprintf("%s run %d", key, run) }

// join adds a member and reports whether all members of the gang run.
func (g *gangs) join(key string, task string, t *Target, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[key] == nil {
		g.members[key] = map[string]*Target{}
	}
	g.members[key][task] = t
	return len(g.members[key]) == size
}

// size returns the number of running members.
func (g *gangs) size(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members[key])
}

// remove removes a gang because one member ended, and returns its other members.
func (g *gangs) remove(key, task string) map[string]*Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := g.members[key]
	delete(g.members, key)
	delete(others, task)
	return others
}

// drawDurableJob draws a durable job and its plan: a gang, a recurring job of two steps, a task
// that saves its progress, a lasting task, background tasks, or plain tasks.
func (d *Deployment) drawDurableJob() (wire.Job, plan) {
	p := plan{runTime: time.Duration(20+rand.IntN(300)) * time.Millisecond}
	step := wire.Step{Count: 1 + rand.IntN(3), CPU: taskCPU, MemoryMB: 64, EstimateMS: float64(p.runTime.Milliseconds())}
	job := wire.Job{Steps: []wire.Step{step}}
	switch kind := rand.IntN(12); {
	case kind < 2:
		p.gang, p.saves = 2, true
		job.Steps[0].Count, job.Steps[0].Gang = p.gang, true
	case kind == 2:
		p.due, p.interval = time.Duration(time.Now().UnixNano())+500*time.Millisecond, 200*time.Millisecond
		job.RepeatCount, job.FirstRunMS, job.IntervalMS = 2, float64(p.due.Milliseconds()), float64(p.interval.Milliseconds())
		job.Steps[0].Count, step.Count, step.After = 1, 1, []int{0}
		job.Steps = append(job.Steps, step)
	case kind < 5:
		p.runTime, p.saves = p.runTime+time.Second, true
		job.Steps[0].Count, job.Steps[0].EstimateMS = 1, float64(p.runTime.Milliseconds())
	case kind == 5 && d.mayDrawLasting():
		p.lasting, p.latencySensitive = true, true
		job.Steps[0].Count, job.Steps[0].LongRunning, job.Steps[0].TargetMS = 1, true, tailLatencyTargetMS
	case kind == 6:
		p.background = true
		job.Steps[0].Background = true
	}
	p.advised = !p.lasting && rand.IntN(4) == 0
	job.Spec = p.payload()
	return job, p
}

// path returns the path of the queue for a plan.
func (p plan) path() string {
	if p.advised {
		return AdvisedPath
	}
	return Path
}

// tailLatencyTargetMS is the declared target of the tail latency of latency-sensitive tasks.
const tailLatencyTargetMS = 50

// maxLasting is the number of lasting jobs of a deployment. It leaves capacity for other work.
const maxLasting = 2

// mayDrawLasting reports whether one more lasting job may be drawn, and counts it.
func (d *Deployment) mayDrawLasting() bool { return d.lastingDraws.Add(1) <= maxLasting }
