package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/work"
)

func (t *fakeTarget) reply(verdict work.Verdict) work.OrderAnswer {
	return work.OrderAnswer{Verdict: verdict, ClockMS: t.clock()}
}

// isSilentTo reports whether the target gives no answer to the owner with a token.
func (t *fakeTarget) isSilentTo(token int64) bool {
	return t.down || t.silent || t.unreachableBy[token]
}

func (t *fakeTarget) isFenced(token int64) bool {
	if token < t.highestToken {
		return true
	}
	t.highestToken = token
	return false
}

func (t *fakeTarget) start(token int64, e StartRun) work.OrderAnswer {
	if t.isSilentTo(token) {
		return work.OrderAnswer{}
	}
	if t.isFenced(token) {
		return t.reply(work.VerdictFenced)
	}
	if r := t.runs[e.Run.Task]; r != nil && r.number == e.Run.Number {
		return t.reply(work.VerdictDone)
	}
	if e.LeaseUntilMS <= t.clock() {
		return t.reply(work.VerdictLeaseExpired)
	}
	t.leaseUntil = max(t.leaseUntil, min(e.LeaseUntilMS, t.clock()+1000))
	if e.Run.Number <= t.highestRuns[e.Run.Task] {
		return t.reply(work.VerdictStaleRun)
	}
	if !t.world.acceptsTicket(t, e.StartOrder) {
		t.world.ticketRefusals++
		return t.reply(work.VerdictInvalidTicket)
	}
	if t.free < t.world.cpuOf(e.Run.Task) && !t.overcommits || t.runs[e.Run.Task] != nil {
		return t.reply(work.VerdictNoCapacity)
	}
	t.world.checkStartFits(t, e.Run.Task)
	t.startRun(e.StartOrder)
	return t.reply(work.VerdictDone)
}

func (t *fakeTarget) startRun(order work.StartOrder) {
	run := order.Run
	r := &fakeRun{number: run.Number, cpu: t.world.cpuOf(run.Task)}
	t.runs[run.Task] = r
	t.free -= r.cpu
	t.world.runStarted(run.Task)
	t.world.scheduleCrash(t, run.Task, r)
	if t.world.playDurableRun(t, r, order) {
		return
	}
	kind := work.CompletionDone
	if t.world.random.Float64() < t.world.faults.failing || t.failsAll {
		kind = work.CompletionFailed
	}
	took := time.Duration(20+t.world.random.IntN(t.world.longest)) * ms
	t.world.after(took, func() {
		switch {
		case t.down:
		case t.hung:
			r.stuck = t.runs[run.Task] == r
		default:
			t.endRun(run.Task, r, kind)
		}
	})
}

func (t *fakeTarget) endRun(task string, r *fakeRun, kind work.CompletionKind) {
	if r == nil || t.runs[task] != r {
		return
	}
	delete(t.runs, task)
	t.free += r.cpu
	if r.stuck {
		t.world.stuckEnded = t.world.now
	}
	t.world.runEnded(task)
	t.highestRuns[task] = max(t.highestRuns[task], r.number)
	t.lastCompletion++
	t.endedAt[t.lastCompletion] = t.world.now
	t.completions = append(t.completions, work.Completion{Number: t.lastCompletion, Run: work.RunID{Task: task, Number: r.number}, Kind: kind, SavedState: r.saved})
	t.world.recordDurableEnd(task, r, kind)
	if t.answerPoll != nil {
		t.answerPoll()
	}
}

func (t *fakeTarget) stop(token int64, run work.RunID) work.OrderAnswer {
	if t.isSilentTo(token) {
		return work.OrderAnswer{}
	}
	if t.isFenced(token) {
		return t.reply(work.VerdictFenced)
	}
	t.highestRuns[run.Task] = max(t.highestRuns[run.Task], run.Number)
	if r := t.runs[run.Task]; r != nil && r.number == run.Number {
		t.world.after(time.Duration(t.world.random.IntN(50))*ms, func() { t.endRun(run.Task, r, work.CompletionStopped) })
	}
	return t.reply(work.VerdictDone)
}

func (t *fakeTarget) servePoll(token int64, e Poll, reply func(work.PollAnswer, work.Verdict)) {
	if t.isSilentTo(token) {
		reply(work.PollAnswer{}, work.VerdictUnknown)
		return
	}
	if t.isFenced(token) {
		reply(work.PollAnswer{}, work.VerdictFenced)
		return
	}
	if e.LeaseUntil > 0 && e.LeaseUntil > t.clock() {
		t.leaseUntil = max(t.leaseUntil, min(e.LeaseUntil, t.clock()+1000))
	}
	t.completions = slices.DeleteFunc(t.completions, func(end work.Completion) bool {
		if end.Number <= e.AckUpTo {
			t.world.acknowledgedBy[end.Run.Task] = fmt.Sprintf("completion %d of %s, ended at %v, by token %d at %v, acknowledged up to %d", end.Number, t.id, t.endedAt[end.Number], token, t.world.now, e.AckUpTo)
			t.acknowledge(end)
		}
		return end.Number <= e.AckUpTo
	})
	replied, incarnation := false, t.incarnation
	answer := func() {
		if replied {
			return
		}
		if t.incarnation != incarnation {
			replied = true
			reply(work.PollAnswer{}, work.VerdictUnknown)
			return
		}
		replied = true
		t.answerPoll = nil
		if t.isSilentTo(token) {
			reply(work.PollAnswer{}, work.VerdictUnknown)
			return
		}
		listed := work.PollAnswer{ClockMS: t.clock(), Incarnation: t.incarnation, Completions: slices.Clone(t.completions)}
		if t.world.restarts {
			listed.Capacity = &work.Resources{CPU: t.capacity}
		}
		for task, r := range t.runs {
			listed.Running = append(listed.Running, work.RunningRun{Run: work.RunID{Task: task, Number: r.number}, SavedState: r.saved})
		}
		slices.SortFunc(listed.Running, func(a, b work.RunningRun) int { return strings.Compare(a.Run.Task, b.Run.Task) })
		reply(listed, work.VerdictDone)
	}
	if e.Wait == 0 || len(t.completions) > 0 {
		answer()
		return
	}
	t.answerPoll = answer
	t.world.after(e.Wait, answer)
}

// acknowledge records a completion after which the task must not start again. It does not count if
// the lease has lapsed since.
func (t *fakeTarget) acknowledge(end work.Completion) {
	if t.world.isLasting(end.Run.Task) || t.leaseLapsed >= t.endedAt[end.Number] {
		return
	}
	if end.Kind == work.CompletionFailed {
		t.world.ackedFailures[end.Run.Task]++
	}
	if end.Kind == work.CompletionDone && strings.HasPrefix(end.Run.Task, "kept") {
		t.world.acknowledged[end.Run.Task] = true
		if started := t.world.startedAt[end.Run.Task]; started > t.endedAt[end.Number] {
			t.world.violations = append(t.world.violations, end.Run.Task+" started again after a completion that was acknowledged later")
		}
	}
}

// expireLease ends the runs once the lease has lapsed.
func (t *fakeTarget) expireLease() {
	if t.down {
		return
	}
	if t.clock() > t.leaseUntil {
		t.leaseLapsed = t.world.now
		for _, task := range sortedTasks(t.runs) {
			t.endRun(task, t.runs[task], "lapsed")
		}
	}
	t.world.after(ms, t.expireLease)
}

func sortedTasks(runs map[string]*fakeRun) []string {
	tasks := make([]string, 0, len(runs))
	for task := range runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// leave has a target report that it is draining and end a while later, as planned; a new target takes
// its place.
func (t *fakeTarget) leave(after time.Duration) {
	if t.down || t.draining {
		return
	}
	t.draining = true
	t.announce(10 * ms)
	t.world.after(after, t.crash)
}

// crash ends a target's process; a new target takes its place.
func (t *fakeTarget) crash() {
	if t.down {
		return
	}
	t.down = true
	for _, task := range sortedTasks(t.runs) {
		if r := t.runs[task]; r != nil {
			delete(t.runs, task)
			t.world.runEnded(task)
			t.world.recordDurableEnd(task, r, "crashed")
		}
	}
	for _, o := range append(slices.Clone(t.world.owners), t.world.otherOwner) {
		if o == nil {
			continue
		}
		t.world.after(500*ms, func() {
			if !o.frozen && !o.dead {
				o.state.TargetUnlisted(t.world.now, t.id)
			}
		})
	}
	t.world.fleet.unlistForeign(t)
	if !t.ofOtherOwner {
		t.world.addTarget(t.labels...)
	}
}
