package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// wallBase is the Unix time at the world's time zero.
const wallBase = 1000 * time.Hour

// fakeGang is one start of a gang under one run number. members holds those that run.
type fakeGang struct {
	members map[string]*gangMember
	saved   string
}

type gangMember struct {
	target *fakeTarget
	run    *fakeRun
}

// drawJob draws a random job: plain, with steps, a gang, lasting or repeated.
func (w *world) drawJob(rt *rapid.T) work.Job {
	step := work.Step{Tasks: rapid.IntRange(1, 4).Draw(rt, "tasks"), PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Duration(w.longest/2) * ms}
	job := work.Job{Steps: []work.Step{step}}
	kind := rapid.SampledFrom([]string{"plain", "plain", "steps", "gang", "gang", "lasting", "repeated"}).Draw(rt, "kind")
	switch kind {
	case "steps":
		step.DependsOn = []int{0}
		job.Steps = append(job.Steps, step)
	case "gang":
		job.Steps[0].Gang, job.Steps[0].Tasks = true, 2
	case "lasting":
		if w.lasting {
			// More lasting jobs would leave no capacity for anything else.
			break
		}
		w.lasting = true
		job.Steps[0].Lasting, job.Steps[0].Tasks = true, 1
	case "repeated":
		step.DependsOn, step.Tasks = []int{0}, 1
		job.Steps = append(job.Steps, step)
		job.Recurrence = work.Recurrence{
			Count:    rapid.IntRange(1, 3).Draw(rt, "count"),
			FirstDue: wallBase + w.now + time.Duration(rapid.IntRange(-200, 800).Draw(rt, "first"))*ms, Interval: time.Duration(rapid.IntRange(0, 600).Draw(rt, "interval")) * ms,
		}
	}
	return job
}

// taskPlace says which task of its job a task is.
type taskPlace struct{ occurrence, step, index int }

// parseTask returns the stored job and the place of a durable job's task; nil for any other task.
func (w *world) parseTask(task string) (*jobRecord, taskPlace) {
	parts := strings.Split(task, ".")
	r := w.durableStore.jobs[parts[0]]
	if r == nil {
		return nil, taskPlace{}
	}
	var p [3]int
	for i := range p {
		p[i], _ = strconv.Atoi(parts[i+1])
	}
	return r, taskPlace{p[0], p[1], p[2]}
}

func (w *world) isLasting(task string) bool {
	r, p := w.parseTask(task)
	return r != nil && r.sub.Job.Steps[p.step].Lasting
}

// cpuOf returns the processor that a task reserves on its target: background tasks reserve none.
func (w *world) cpuOf(task string) int64 {
	if r, p := w.parseTask(task); r != nil && r.sub.Job.Steps[p.step].Background {
		return 0
	}
	return 1
}

// usedCPU returns the processor that is reserved for the target's runs.
func (t *fakeTarget) usedCPU() int64 {
	used := int64(0)
	for _, r := range t.runs {
		used += r.cpu
	}
	return used
}

// checkStartOrder checks that a durable task starts after the steps before it, when it is due, and
// not after too many failures.
func (w *world) checkStartOrder(task string) {
	r, p := w.parseTask(task)
	step := r.sub.Job.Steps[p.step]
	violate := func(what string) {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts %s", w.now, task, what))
	}
	for _, before := range step.DependsOn {
		for i := range r.sub.Job.Steps[before].Tasks {
			if !w.done[fmt.Sprintf("%s.%d.%d.%d", r.sub.Job.ID, p.occurrence, before, i)] {
				violate("before the steps that it depends on are done")
			}
		}
	}
	if due := r.sub.Job.Recurrence.DueAt(p.occurrence); due > w.now+wallBase {
		violate("before it is due")
	}
	if !step.Lasting && w.ackedFailures[task] >= r.sub.Queue.MaxAttempts {
		violate("though it has failed too often")
	}
}

// saveKey names who shares a task's saved work: its gang, or the task alone.
func (w *world) saveKey(task string) string {
	if r, p := w.parseTask(task); r != nil && r.sub.Job.Steps[p.step].Gang {
		return task[:strings.LastIndex(task, ".")]
	}
	return task
}

// playDurableRun plays what a durable task saves, and the work of gangs and lasting tasks. It
// reports whether it also plays the end of the run.
func (w *world) playDurableRun(t *fakeTarget, r *fakeRun, order work.StartOrder) bool {
	record, p := w.parseTask(order.Run.Task)
	if record == nil {
		return false
	}
	as := w.saveKey(order.Run.Task)
	if order.SavedState != "" && !w.saved[as][order.SavedState] {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts from %q, which it never saved", w.now, order.Run.Task, order.SavedState))
	}
	r.saved = order.SavedState
	w.after(25*ms, func() {
		if t.runs[order.Run.Task] != r || t.down {
			return
		}
		r.saved = fmt.Sprintf("%s/%d", as, order.Run.Number)
		if w.saved[as] == nil {
			w.saved[as] = map[string]bool{}
		}
		w.saved[as][r.saved] = true
	})
	step := record.sub.Job.Steps[p.step]
	switch {
	case step.Gang:
		w.joinGang(t, r, order, step)
		return true
	case step.Lasting:
		lasts := time.Duration(100+w.random.IntN(8000)) * ms
		if t.failsAll {
			lasts = 100 * ms
		}
		w.after(lasts, func() {
			if !t.down {
				t.endRun(order.Run.Task, r, work.CompletionFailed)
			}
		})
		return true
	}
	return false
}

func gangKey(as string, run int64) string { return fmt.Sprintf("%s run %d", as, run) }

// joinGang has a member of a gang wait for the others and then work with them.
func (w *world) joinGang(t *fakeTarget, r *fakeRun, order work.StartOrder, step work.Step) {
	key := gangKey(w.saveKey(order.Run.Task), r.number)
	g := w.gangs[key]
	if g == nil {
		g = &fakeGang{members: map[string]*gangMember{}, saved: order.SavedState}
		w.gangs[key] = g
	}
	if g.saved != order.SavedState {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts from %q, others of its gang from %q", w.now, order.Run.Task, order.SavedState, g.saved))
	}
	g.members[order.Run.Task] = &gangMember{target: t, run: r}
	if len(g.members) < step.Tasks {
		return
	}
	kind := work.CompletionDone
	if w.random.Float64() < w.faults.failing || t.failsAll {
		kind = work.CompletionFailed
	}
	w.after(time.Duration(20+w.random.IntN(w.longest))*ms, func() {
		if len(g.members) < step.Tasks || t.down {
			return
		}
		if t.hung {
			for _, member := range g.members {
				member.run.stuck = true
			}
			return
		}
		tasks := slices.Sorted(maps.Keys(g.members))
		for i, task := range tasks {
			if member := g.members[task]; kind == work.CompletionDone || i == 0 {
				member.target.endRun(task, member.run, kind)
			}
		}
	})
}

// recordDurableEnd records how a durable run ended. If a gang's member ends without completing, the
// other members end as broken.
func (w *world) recordDurableEnd(task string, r *fakeRun, kind work.CompletionKind) {
	record, p := w.parseTask(task)
	if record == nil {
		return
	}
	step := record.sub.Job.Steps[p.step]
	as := w.saveKey(task)
	if kind == work.CompletionFailed {
		w.failedRuns[task]++
		if step.Gang {
			w.failedRuns[as]++
		}
	}
	if kind == work.CompletionDone {
		w.done[task] = true
		for i := 0; step.Gang && i < step.Tasks; i++ {
			w.done[fmt.Sprintf("%s.%d", as, i)] = true
		}
	}
	g := w.gangs[gangKey(as, r.number)]
	if !step.Gang || g == nil || g.members[task] == nil {
		return
	}
	delete(g.members, task)
	if kind == work.CompletionDone {
		return
	}
	for _, other := range slices.Sorted(maps.Keys(g.members)) {
		if member := g.members[other]; member != nil {
			member.target.endRun(other, member.run, "broken")
		}
	}
}

// allTasksRun reports whether every task of a lasting job runs.
func (w *world) allTasksRun(r *jobRecord) bool {
	for i := range r.sub.Job.Steps[0].Tasks {
		task := fmt.Sprintf("%s.0.0.%d", r.sub.Job.ID, i)
		if w.running[task] == 0 {
			return false
		}
	}
	return true
}

// runningDurable lists the tasks of durable jobs that run.
func (w *world) runningDurable() []string {
	var tasks []string
	for task, n := range w.running {
		if n > 0 && strings.HasPrefix(task, "kept") {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// ticketValidity is how long the adviser's tickets are valid.
const ticketValidity = 400 * ms

// advise plays the adviser. Its answers are lost as often as a target's.
func (w *world) advise(o *fakeOwner, e AskAdviser) {
	w.after(time.Duration(1+w.random.IntN(80))*ms, func() {
		tickets := map[string]string{}
		first := true
		for _, id := range w.targetIDs() {
			if w.targets[id].down {
				continue
			}
			if slices.Contains(e.Targets, id) && (first || (len(e.Step)+len(id)+int(id[len(id)-1]))%3 > 0) {
				tickets[id] = w.issueTicket(e.Step, id)
			}
			first = false
		}
		lost := w.random.Float64() < w.faults.lostAnswers
		w.after(ms, func() { w.deliver(o, func() { o.state.Advised(w.now, e, tickets, ticketValidity, !lost) }) })
	})
}

// issueTicket makes a ticket and remembers until when it is valid.
func (w *world) issueTicket(step, target string) string {
	ticket := fmt.Sprintf("%s on %s at %v", step, target, w.now)
	w.tickets[ticket] = w.now + ticketValidity
	return ticket
}

// acceptsTicket reports whether a target accepts a start. If the job's queue is advised, the start
// needs a valid ticket for the step and the target.
func (w *world) acceptsTicket(t *fakeTarget, order work.StartOrder) bool {
	r, _ := w.parseTask(order.Run.Task)
	if r == nil || !r.sub.Queue.RequiresAdvice {
		return true
	}
	step := order.Run.Task[:strings.LastIndex(order.Run.Task, ".")]
	return strings.HasPrefix(order.Ticket, step+" on "+t.id+" at ") && w.now <= w.tickets[order.Ticket]
}

// hasFailed reports whether a task of a job, or a gang, has failed as often as allowed.
func (w *world) hasFailed(r *jobRecord) bool {
	for name, fails := range w.failedRuns {
		if fails >= r.sub.Queue.MaxAttempts && strings.HasPrefix(name, r.sub.Job.ID+".") {
			return true
		}
	}
	return false
}
