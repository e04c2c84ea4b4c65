package prepared

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// maxLease is the longest lease that a target grants.
const maxLease = time.Second

// Target simulates a target: starts and stops under fencing tokens, one lease for all its runs, and
// completions that it keeps until they are acknowledged. The payload of a task is a plan, which
// says what the task does.
type Target struct {
	ID string
	// entry is its row in the registry.
	entry    wire.Target
	capacity int64
	recorder *Recorder
	// onStart is called at each start.
	onStart func(task string)
	adviser *Adviser

	mu   sync.Mutex
	free int64
	// highestToken is the highest fencing token seen; orders with a lower one are refused.
	highestToken int64
	// leaseUntil is the end of the lease, by the target's clock.
	leaseUntil int64
	// highestRun is the highest run number of each task that ended or was stopped; starts of
	// this one and earlier ones are refused.
	highestRun map[string]int64
	running    map[string]*activeRun
	// completions are those not acknowledged yet, lastCompletion is the number of the newest one.
	completions    []wire.Completion
	lastCompletion int64
	// endedAt is when each unacknowledged completion ended, lapsedAt when the lease was last
	// renewed after it had lapsed.
	endedAt  map[int64]time.Time
	lapsedAt time.Time
	// changed is closed and replaced at each completion.
	changed chan struct{}
	began   time.Time
	// A hung target ends no run by itself, a silent one answers nothing.
	hung, silent bool
	// lateShare is the share of orders that get no answer and are carried out after lateDelay,
	// lostShare that of orders that get no answer and are not carried out.
	lateShare, lostShare float64
}

// lateDelay is longer than a lease and a caller's retry delay, so that late orders meet later runs
// of their task.
const lateDelay = 1500 * time.Millisecond

// SetOrderFaults sets the shares of orders that are late and that are lost.
func (t *Target) SetOrderFaults(late, lost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateShare, t.lostShare = late, lost
}

// SetOrderFaults sets the shares of orders that are late and that are lost at all targets.
func (d *Deployment) SetOrderFaults(late, lost float64) {
	for _, target := range d.Targets {
		target.SetOrderFaults(late, lost)
	}
}

// drawOrderFault draws whether an order is late, lost or neither.
func (t *Target) drawOrderFault() (late, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	draw := rand.Float64()
	return draw < t.lateShare, draw >= t.lateShare && draw < t.lateShare+t.lostShare
}

// activeRun is a run of a task on a target.
type activeRun struct {
	run  int64
	cpu  int64
	stop *time.Timer
	*worker
}

// NewTarget returns a target with a capacity in thousandths of a core.
func NewTarget(id string, capacity int64, recorder *Recorder, adviser *Adviser) *Target {
	return &Target{
		ID: id, capacity: capacity, free: capacity, recorder: recorder, adviser: adviser,
		highestRun: map[string]int64{}, running: map[string]*activeRun{}, endedAt: map[int64]time.Time{}, changed: make(chan struct{}), began: time.Now(),
	}
}

// SetHung sets whether the target is hung. A run whose next step is due meanwhile never ends by
// itself.
func (t *Target) SetHung(hung bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hung = hung
}

// SetSilent sets whether the target leaves requests unanswered.
func (t *Target) SetSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Crash ends all runs without a completion, also those of other members of their gangs, and leaves
// the target silent.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
	for task, r := range t.running {
		t.recorder.recordEnd(task)
		t.endGang(task, r)
	}
	t.running = map[string]*activeRun{}
}

// clockMS is the target's clock in milliseconds. It is 1000 at the start.
func (t *Target) clockMS() int64 { return 1000 + time.Since(t.began).Milliseconds() }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get(wire.InstanceHeader); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late, lost := t.drawOrderFault(); late || lost {
		t.leaveUnanswered(r, late)
		return
	}
	switch r.URL.Path {
	case wire.StartPath:
		serve(w, r, t.start)
	case wire.StopPath:
		serve(w, r, t.stop)
	case wire.HoldPath:
		serve(w, r, t.hold)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// leaveUnanswered keeps a request without an answer, and carries its order out after lateDelay if
// late is set.
func (t *Target) leaveUnanswered(r *http.Request, late bool) {
	body, _ := io.ReadAll(r.Body)
	if late {
		time.AfterFunc(lateDelay, func() { t.carryOut(r.URL.Path, body) })
	}
	<-r.Context().Done()
}

// carryOut decodes and carries out an order whose answer is not sent.
func (t *Target) carryOut(path string, body []byte) {
	switch path {
	case wire.StartPath:
		var in wire.Start
		if json.Unmarshal(body, &in) == nil {
			t.start(in)
		}
	case wire.StopPath:
		var in wire.Stop
		if json.Unmarshal(body, &in) == nil {
			t.stop(in)
		}
	case wire.HoldPath:
		var in wire.Hold
		if json.Unmarshal(body, &in) == nil {
			in.WaitMS = 0
			t.hold(in)
		}
	}
}

// serve decodes a request, calls handle and encodes the answer; one with a reason is a refusal.
func serve[In, Out any](w http.ResponseWriter, r *http.Request, handle func(In) (Out, string)) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, reason := handle(in)
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(out)
}

// orderAnswer returns the answer to an order; an empty reason stands for done.
func (t *Target) orderAnswer(reason string) (wire.OrderAnswer, string) {
	return wire.OrderAnswer{ClockMS: t.clockMS(), Reason: reason}, reason
}

// refusesToken reports whether a token is lower than the highest one seen, and otherwise records it
// as the highest.
func (t *Target) refusesToken(token int64) bool {
	if token < t.highestToken {
		return true
	}
	t.highestToken = token
	return false
}

// renewLease extends the lease up to a time of the target's clock, at most by maxLease from now.
func (t *Target) renewLease(until int64) {
	if t.clockMS() > t.leaseUntil {
		t.lapsedAt = time.Now()
	}
	t.leaseUntil = max(t.leaseUntil, min(until, t.clockMS()+maxLease.Milliseconds()))
}

// taskCPU is the processor need of each task that is not a background task, in thousandths of a
// core.
const taskCPU = 10000

// start handles a start order. A repeated order for a run that is running is answered as done.
func (t *Target) start(in wire.Start) (wire.OrderAnswer, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r := t.running[in.Task]; {
	case t.refusesToken(in.Token):
		return t.orderAnswer(wire.ReasonFence)
	case r != nil && r.run == in.Run:
		return t.orderAnswer("")
	case in.UntilMS <= t.clockMS():
		return t.orderAnswer(wire.ReasonLate)
	case in.Run <= t.highestRun[in.Task]:
		return t.orderAnswer(wire.ReasonOld)
	case parsePlan(in.Spec).advised && !t.adviser.isValidTicket(in.Ticket, in.Task, t.ID):
		return t.orderAnswer(wire.ReasonTicket)
	case r != nil || t.free < cpuNeed(parsePlan(in.Spec)):
		return t.orderAnswer(wire.ReasonRoom)
	}
	t.renewLease(in.UntilMS)
	t.startRun(in)
	return t.orderAnswer("")
}

// startRun starts a run and records each rule that the start breaks: a background task beside a
// latency-sensitive one, the saved state of another task, a start before the due time.
func (t *Target) startRun(in wire.Start) {
	w, ownState := newWorker(parsePlan(in.Spec), in.Task, in.Checkpoint)
	r := &activeRun{run: in.Run, cpu: cpuNeed(w.plan), worker: w}
	t.running[in.Task] = r
	t.free -= r.cpu
	for task, other := range t.running {
		if other.background && r.latencySensitive || other.latencySensitive && r.background {
			t.recorder.addViolation(in.Task + " was started beside " + task + ", one a background task, the other latency-sensitive")
		}
	}
	t.recorder.recordStart(in.Task)
	t.onStart(in.Task)
	if !ownState {
		t.recorder.addViolation(in.Task + " was started with the saved state of another task: " + in.Checkpoint)
	}
	if early := w.dueAt(in.Task) - time.Duration(time.Now().UnixNano()); early > 0 {
		t.recorder.addViolation(fmt.Sprintf("%s was started %v before it was due", in.Task, early))
	}
	t.proceed(in.Task, r)
	t.endOnLapse(in.Task, r)
}

// proceed begins a run's work. A lasting task fails after a random time between half and all of
// maxLastingRun. A member of a gang waits until all members run, and ends after gangTimeout.
func (t *Target) proceed(task string, r *activeRun) {
	switch {
	case r.lasting:
		t.afterUnlessHung(task, r, maxLastingRun/2+time.Duration(rand.Int64N(int64(maxLastingRun/2))), func() { t.end(task, r, "failed") })
	case r.gang > 0:
		key := gangKey(r.key, r.run)
		if !t.recorder.gangs.join(key, task, t, r.gang) {
			t.afterUnlessHung(task, r, gangTimeout, func() {
				if t.recorder.gangs.size(key) < r.gang {
					t.end(task, r, "alone")
				}
			})
			return
		}
		t.work(task, r)
	default:
		t.work(task, r)
	}
}

// work does a part of a run's work, saves the progress if the task saves, and ends the run when all
// is done. In a gang only the member that started last works, for all members.
func (t *Target) work(task string, r *activeRun) {
	part := r.runTime - r.done
	if r.saves {
		part = min(part, saveInterval)
	}
	t.afterUnlessHung(task, r, max(part, 0), func() {
		if r.done+part >= r.runTime {
			t.end(task, r, "done")
			return
		}
		r.save(r.done + part)
		t.work(task, r)
	})
}

// afterUnlessHung calls do after a time if the run still goes on and the target is not hung.
func (t *Target) afterUnlessHung(task string, r *activeRun, pause time.Duration, do func()) {
	r.stop = time.AfterFunc(pause, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.hung && t.running[task] == r {
			do()
		}
	})
}

// endGang ends the other members of a run's gang: as done if the run was done, else as broken.
func (t *Target) endGang(task string, r *activeRun, how ...string) {
	if r.gang == 0 {
		return
	}
	for other, at := range t.recorder.gangs.remove(gangKey(r.key, r.run), task) {
		// Another target may call endGang for this one at the same time. A goroutine avoids
		// a deadlock of their mutexes.
		go at.endMember(other, r, len(how) > 0 && how[0] == "done")
	}
}

// endMember ends a member of a gang after another member has ended.
func (t *Target) endMember(task string, other *activeRun, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[task]
	if r == nil || r.run != other.run {
		return
	}
	how := "broken"
	if done {
		how = "done"
	}
	t.end(task, r, how)
}

// cpuNeed is the processor need of a task. Background tasks need none of the target's capacity.
func cpuNeed(p plan) int64 {
	if p.background {
		return 0
	}
	return taskCPU
}

// endOnLapse ends a run as soon as the lease has lapsed.
func (t *Target) endOnLapse(task string, r *activeRun) {
	time.AfterFunc(time.Duration(t.leaseUntil-t.clockMS()+1)*time.Millisecond, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[task] != r {
			return
		}
		if t.clockMS() > t.leaseUntil {
			t.end(task, r, "lapsed")
			return
		}
		t.endOnLapse(task, r)
	})
}

// end ends a run, adds its completion and ends the other members of its gang. The caller holds
// t.mu.
func (t *Target) end(task string, r *activeRun, how string) {
	if t.running[task] != r {
		return
	}
	r.stop.Stop()
	delete(t.running, task)
	t.free += r.cpu
	t.highestRun[task] = max(t.highestRun[task], r.run)
	t.lastCompletion++
	t.completions = append(t.completions, wire.Completion{Number: t.lastCompletion, Task: task, Run: r.run, Outcome: how, Saved: r.saved})
	t.recorder.recordEnd(task)
	t.endGang(task, r, how)
	t.endedAt[t.lastCompletion] = time.Now()
	close(t.changed)
	t.changed = make(chan struct{})
}

// stop handles a stop order, and refuses later starts of the same run and earlier ones.
func (t *Target) stop(in wire.Stop) (wire.OrderAnswer, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusesToken(in.Token) {
		return t.orderAnswer(wire.ReasonFence)
	}
	t.highestRun[in.Task] = max(t.highestRun[in.Task], in.Run)
	if r := t.running[in.Task]; r != nil && r.run == in.Run {
		t.end(in.Task, r, "stopped")
	}
	return t.orderAnswer("")
}

// holdAnswer is the answer to a hold request, or its refusal.
type holdAnswer struct {
	wire.Held
	Reason string `json:"reason,omitempty"`
}

// hold handles a long poll: it renews the lease, drops the completions that are acknowledged, and
// answers with the running tasks and the other completions as soon as there is one or the wait is
// over.
func (t *Target) hold(in wire.Hold) (holdAnswer, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusesToken(in.Token) {
		return holdAnswer{Held: wire.Held{ClockMS: t.clockMS()}, Reason: wire.ReasonFence}, wire.ReasonFence
	}
	if in.UntilMS > t.clockMS() {
		t.renewLease(in.UntilMS)
	}
	t.acknowledge(in.LastSeen)
	deadline := time.After(time.Duration(in.WaitMS) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(t.completions) == 0; {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		t.mu.Lock()
	}
	out := wire.Held{ClockMS: t.clockMS(), Running: []wire.RunningTask{}, Ended: slices.Clone(t.completions)}
	for task, r := range t.running {
		out.Running = append(out.Running, wire.RunningTask{Task: task, Run: r.run, Saved: r.saved})
	}
	return holdAnswer{Held: out}, ""
}

// acknowledge drops the completions up to a number. A task that was done must not start again
// after this, unless the lease lapsed between its completion and the acknowledgement.
func (t *Target) acknowledge(upTo int64) {
	t.completions = slices.DeleteFunc(t.completions, func(e wire.Completion) bool {
		if e.Number > upTo {
			return false
		}
		if ended := t.endedAt[e.Number]; e.Outcome == "done" && t.lapsedAt.Before(ended) && t.clockMS() <= t.leaseUntil {
			t.recorder.recordAcknowledgement(e.Task, ended)
		}
		delete(t.endedAt, e.Number)
		return true
	})
}
