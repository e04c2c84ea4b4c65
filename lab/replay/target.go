package replay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// targetSim is a simulated target. Leases are not simulated, except that endAllRuns is called
// some time after the owners are lost.
type targetSim struct {
	world *world
	work.Target
	domain  int
	free    work.Resources
	running map[work.RunID]*runSim
	// completions are those that no poll has acknowledged yet, lastCompletion is the number of
	// the newest one.
	completions    []work.Completion
	lastCompletion int64
	// polls are the polls that wait for a completion.
	polls []*pendingPoll
	// speed divides the run times of its tasks.
	speed float64
	// fault is the fault that affects the target now; nil if none does.
	fault *Fault
}

// pendingPoll is a poll that waits for a completion.
type pendingPoll struct {
	answer func()
	// answered reports whether its answer was sent.
	answered bool
}

// runSim is a run on a target.
type runSim struct {
	need      work.Resources
	startedAt time.Duration
	ended     bool
}

// addTarget adds a target to a failure domain, lists it at its owner, and schedules the faults
// that affect it.
func (w *world) addTarget(domain, index int) {
	capacity := w.options.Site.CPU
	if index%3 == 2 {
		capacity += capacity / 2
	}
	t := &targetSim{
		world: w, domain: domain,
		Target: work.Target{
			ID: fmt.Sprintf("t-%d-%02d", domain, index), Service: "service",
			Capacity: work.Resources{CPU: capacity, MemoryMB: 65536},
		},
		running: map[work.RunID]*runSim{}, speed: 1,
	}
	if speeds := w.options.Site.Speeds; len(speeds) > 0 {
		t.speed = speeds[index%len(speeds)]
	}
	t.free = t.Capacity
	w.targets[t.ID] = t
	w.targetOrder = append(w.targetOrder, t.ID)
	o := w.owners[domain%len(w.owners)]
	o.state.TargetListed(0, t.Target)
	for i := range w.options.Site.Faults {
		fault := &w.options.Site.Faults[i]
		if fault.Where.includes(domain) && w.random.Float64() < fault.Share {
			w.scheduleAt(fault.From+time.Second, func() { t.beginFault(fault) })
			w.scheduleAt(fault.To+time.Second, func() { t.endFault() })
		}
	}
}

func (t *targetSim) beginFault(f *Fault) {
	t.fault = f
	if f.Leave {
		t.setDraining(true)
	}
}

func (t *targetSim) endFault() {
	t.fault = nil
	if t.Draining {
		t.setDraining(false)
	}
}

// setDraining has the registry list the target as draining or not.
func (t *targetSim) setDraining(draining bool) {
	t.Draining = draining
	o := t.world.owners[t.domain%len(t.world.owners)]
	if !o.lost {
		o.state.TargetListed(t.world.now, t.Target)
		t.world.applyEffects(o)
	}
}

// clockMS is the target's clock in milliseconds. It is 5 s ahead of the owner's.
func (t *targetSim) clockMS() int64 { return t.world.now.Milliseconds() + 5000 }

// sendReply sends an answer to the owner, which handles it by do as soon as its processor is
// free. An answer to an earlier incarnation of the owner is dropped.
func (t *targetSim) sendReply(o *ownerSim, do func(now time.Duration)) {
	incarnation := o.incarnation
	t.world.scheduleAfter(t.world.targetDelay(), func() {
		t.world.runOnCPU(o, t.world.options.Site.CallTime, func() {
			if o.incarnation != incarnation {
				return
			}
			do(t.world.now)
			t.world.applyEffects(o)
		})
	})
}

// reportUnanswered calls do after a time, to report to the owner that a call has had no answer.
func (t *targetSim) reportUnanswered(o *ownerSim, after time.Duration, do func()) {
	incarnation := o.incarnation
	t.world.scheduleAfter(after, func() {
		t.world.runOnCPU(o, 0, func() {
			if o.incarnation != incarnation {
				return
			}
			do()
			t.world.applyEffects(o)
		})
	})
}

// handleStart starts a run if the target has free capacity for it, and answers the order. A
// resent order for a run that is already running is answered as done.
func (t *targetSim) handleStart(o *ownerSim, e scheduler.StartRun, sent time.Duration) {
	answer := work.OrderAnswer{ClockMS: t.clockMS(), Verdict: work.VerdictDone}
	a := t.world.jobs[strings.SplitN(e.Run.Task, ".", 2)[0]]
	need := a.job.Steps[0].PerTask
	if t.running[e.Run] != nil {
		// A copy of an order that was carried out already.
	} else if !need.FitsIn(t.free) {
		answer.Verdict = work.VerdictNoCapacity
	} else {
		t.beginRun(e.Run, a, need)
	}
	t.sendReply(o, func(now time.Duration) {
		o.state.RecordAnswerTime(now - sent)
		o.state.HandleStartAnswer(now, t.ID, e.Run, answer)
	})
}

// beginRun takes the capacity of a run and schedules its end at the true run time, or later
// under a fault. A hung target never ends the run.
func (t *targetSim) beginRun(run work.RunID, a *arrival, need work.Resources) {
	r := &runSim{need: need, startedAt: t.world.now}
	t.running[run] = r
	t.free = t.free.Sub(need)
	took := time.Duration(float64(a.runTimes[taskIndex(run.Task)]) / t.speed)
	if t.fault != nil {
		if t.fault.Hang {
			return
		}
		if t.fault.SlowFactor > 1 {
			took = time.Duration(float64(took) * t.fault.SlowFactor)
		}
	}
	t.world.scheduleAfter(took, func() { t.endRun(run, r, work.CompletionDone) })
}

// taskIndex is the last part of a task's name: its place among the tasks of its job.
func taskIndex(task string) int {
	index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return index
}

// endRun ends a run, counts its processor time, and answers the waiting polls or notifies the
// baseline.
func (t *targetSim) endRun(run work.RunID, r *runSim, kind work.CompletionKind) {
	if r.ended {
		return
	}
	r.ended = true
	delete(t.running, run)
	t.free = t.free.Add(r.need)
	spent := (t.world.now - r.startedAt) * time.Duration(r.need.CPU)
	t.world.cpuUsed += spent
	if kind != work.CompletionDone {
		t.world.cpuWasted += spent
	}
	if t.world.baseline != nil {
		t.world.scheduleAfterHop(func() { t.world.baseline.handleRunEnd(run) })
		return
	}
	t.lastCompletion++
	t.completions = append(t.completions, work.Completion{Number: t.lastCompletion, Run: run, Kind: kind})
	for _, p := range t.polls {
		p.answer()
	}
	t.polls = nil
}

// stopDelay is the time from a stop order to the end of the run.
const stopDelay = 20 * time.Millisecond

// handleStop ends a run after stopDelay and answers the order at once.
func (t *targetSim) handleStop(o *ownerSim, e scheduler.StopRun, sent time.Duration) {
	if r := t.running[e.Run]; r != nil {
		t.world.scheduleAfter(stopDelay, func() { t.endRun(e.Run, r, work.CompletionStopped) })
	}
	answer := work.OrderAnswer{ClockMS: t.clockMS(), Verdict: work.VerdictDone}
	t.sendReply(o, func(now time.Duration) {
		o.state.RecordAnswerTime(now - sent)
		o.state.HandleStopAnswer(now, t.ID, e.Run, answer)
	})
}

// handlePoll drops the completions that the poll acknowledges, and answers it with the running
// tasks and the other completions: at once if there are any or the poll does not wait, otherwise
// at the next completion or when its wait is over.
func (t *targetSim) handlePoll(o *ownerSim, e scheduler.Poll, sent time.Duration) {
	t.completions = slices.DeleteFunc(t.completions, func(end work.Completion) bool { return end.Number <= e.AckUpTo })
	p := &pendingPoll{}
	p.answer = func() {
		if p.answered {
			return
		}
		p.answered = true
		answer := work.PollAnswer{ClockMS: t.clockMS(), Completions: slices.Clone(t.completions)}
		for run := range t.running {
			answer.Running = append(answer.Running, work.RunningRun{Run: run})
		}
		slices.SortFunc(answer.Running, func(a, b work.RunningRun) int { return strings.Compare(a.Run.Task, b.Run.Task) })
		t.sendReply(o, func(now time.Duration) {
			if e.Wait == 0 {
				o.state.RecordAnswerTime(now - sent)
			}
			o.state.HandlePollAnswer(now, t.ID, e.SentAt, answer, work.VerdictDone)
		})
	}
	if len(t.completions) > 0 || e.Wait == 0 {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	t.world.scheduleAfter(e.Wait, func() {
		p.answer()
		t.polls = slices.DeleteFunc(t.polls, func(other *pendingPoll) bool { return other == p })
	})
}
