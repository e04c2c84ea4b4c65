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

// leaseMax is the longest lease that a target grants.
const leaseMax = time.Second

// Target is a stand-in of a target. The payload of its tasks is their plan.
type Target struct {
	ID string
	// entry is its own in the registry.
	entry    wire.Target
	capacity int64
	recorder *Recorder
	// started is told of each start.
	started func(task string)
	adviser *Adviser

	mu      sync.Mutex
	free    int64
	fence   int64
	until   int64
	highest map[string]int64
	running map[string]*running
	ended   []wire.End
	number  int64
	// endedAt is when each listed run ended, lapsed when the lease was last found over.
	endedAt map[int64]time.Time
	lapsed  time.Time
	changed chan struct{}
	began   time.Time
	// hung targets end nothing, silent ones answer nothing.
	hung, silent bool
	// lateShare of the orders get no answer and are carried out after lateDelay,
	// lostShare of them are not carried out either.
	lateShare, lostShare float64
}

// lateDelay is more than a lease and a caller's pause, so that late orders meet
// later runs of their task.
const lateDelay = 1500 * time.Millisecond

// Disturb sets the shares of orders that are late and lost.
func (t *Target) Disturb(late, lost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateShare, t.lostShare = late, lost
}

// Disturb sets the shares of orders that are late and lost at all targets.
func (d *Deployment) Disturb(late, lost float64) {
	for _, target := range d.Targets {
		target.Disturb(late, lost)
	}
}

// disturbs decides on one order.
func (t *Target) disturbs() (late, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	draw := rand.Float64()
	return draw < t.lateShare, draw >= t.lateShare && draw < t.lateShare+t.lostShare
}

type running struct {
	run  int64
	cpu  int64
	stop *time.Timer
	*worker
}

// NewTarget makes a target with an amount of processor, in thousandths of a core,
// that each task takes taskCPU of.
func NewTarget(id string, capacity int64, recorder *Recorder, adviser *Adviser) *Target {
	return &Target{
		ID: id, capacity: capacity, free: capacity, recorder: recorder, adviser: adviser,
		highest: map[string]int64{}, running: map[string]*running{}, endedAt: map[int64]time.Time{}, changed: make(chan struct{}), began: time.Now(),
	}
}

// Hang sets whether the target ends its tasks.
func (t *Target) Hang(hung bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hung = hung
}

// Silence sets whether the target answers.
func (t *Target) Silence(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// Crash ends the target's life: all that runs is over.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
	for task, r := range t.running {
		t.recorder.ended(task)
		t.apart(task, r)
	}
	t.running = map[string]*running{}
}

func (t *Target) clock() int64 { return 1000 + time.Since(t.began).Milliseconds() }

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
	if late, lost := t.disturbs(); late || lost {
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

// leaveUnanswered carries an order out late, if at all.
func (t *Target) leaveUnanswered(r *http.Request, late bool) {
	body, _ := io.ReadAll(r.Body)
	if late {
		time.AfterFunc(lateDelay, func() { t.carryOut(r.URL.Path, body) })
	}
	<-r.Context().Done()
}

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

// serve decodes a message, has it handled and encodes the answer.
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

func (t *Target) answer(reason string) (wire.OrderAnswer, string) {
	return wire.OrderAnswer{ClockMS: t.clock(), Reason: reason}, reason
}

func (t *Target) fenced(token int64) bool {
	if token < t.fence {
		return true
	}
	t.fence = token
	return false
}

func (t *Target) prolong(until int64) {
	if t.clock() > t.until {
		t.lapsed = time.Now()
	}
	t.until = max(t.until, min(until, t.clock()+leaseMax.Milliseconds()))
}

// taskCPU is what a task of the stand-in takes.
const taskCPU = 10000

func (t *Target) start(in wire.Start) (wire.OrderAnswer, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r := t.running[in.Task]; {
	case t.fenced(in.Token):
		return t.answer(wire.ReasonFence)
	case r != nil && r.run == in.Run:
		return t.answer("")
	case in.UntilMS <= t.clock():
		return t.answer(wire.ReasonLate)
	case in.Run <= t.highest[in.Task]:
		return t.answer(wire.ReasonOld)
	case planOf(in.Spec).advised && !t.adviser.admits(in.Ticket, in.Task, t.ID):
		return t.answer(wire.ReasonTicket)
	case r != nil || t.free < takes(planOf(in.Spec)):
		return t.answer(wire.ReasonRoom)
	}
	t.prolong(in.UntilMS)
	t.begin(in)
	return t.answer("")
}

func (t *Target) begin(in wire.Start) {
	w, own := newWorker(planOf(in.Spec), in.Task, in.Checkpoint)
	r := &running{run: in.Run, cpu: takes(w.plan), worker: w}
	t.running[in.Task] = r
	t.free -= r.cpu
	for task, other := range t.running {
		if other.fills && r.serves || other.serves && r.fills {
			t.recorder.wrong(in.Task + " was started beside " + task + ", which disturbs it or is disturbed")
		}
	}
	t.recorder.began(in.Task)
	t.started(in.Task)
	if !own {
		t.recorder.wrong(in.Task + " was told to go on from " + in.Checkpoint)
	}
	if early := w.dueAt(in.Task) - time.Duration(time.Now().UnixNano()); early > 0 {
		t.recorder.wrong(fmt.Sprintf("%s began %v before it was due", in.Task, early))
	}
	t.goOn(in.Task, r)
	t.watch(in.Task, r)
}

// goOn has a run do its work, or wait for its gang.
func (t *Target) goOn(task string, r *running) {
	switch {
	case r.lasting:
		t.after(task, r, lastingLife/2+time.Duration(rand.Int64N(int64(lastingLife/2))), func() { t.end(task, r, "failed") })
	case r.gang > 0:
		key := gangKey(r.key, r.run)
		if !t.recorder.gangs.join(key, task, t, r.gang) {
			t.after(task, r, gangWait, func() {
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

// work does a part of a run's work, saves where it does, and ends it when all is done. A
// gang's last member to come works for all.
func (t *Target) work(task string, r *running) {
	part := r.length - r.done
	if r.saves {
		part = min(part, saveInterval)
	}
	t.after(task, r, max(part, 0), func() {
		if r.done+part >= r.length {
			t.end(task, r, "done")
			return
		}
		r.save(r.done + part)
		t.work(task, r)
	})
}

// after does something to a run that still goes on by then, unless the target is hung.
func (t *Target) after(task string, r *running, pause time.Duration, do func()) {
	r.stop = time.AfterFunc(pause, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.hung && t.running[task] == r {
			do()
		}
	})
}

// apart ends the other members of a gang, as done if the work is.
func (t *Target) apart(task string, r *running, how ...string) {
	if r.gang == 0 {
		return
	}
	for other, at := range t.recorder.gangs.leave(gangKey(r.key, r.run), task) {
		// The others' targets may be at work for this one at the same moment.
		go at.follow(other, r, len(how) > 0 && how[0] == "done")
	}
}

// follow ends a member as another one of its gang has ended.
func (t *Target) follow(task string, other *running, done bool) {
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

// takes is the processor that a task takes of its target's.
func takes(p plan) int64 {
	if p.fills {
		return 0
	}
	return taskCPU
}

// watch ends a run whose lease has lapsed.
func (t *Target) watch(task string, r *running) {
	time.AfterFunc(time.Duration(t.until-t.clock()+1)*time.Millisecond, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[task] != r {
			return
		}
		if t.clock() > t.until {
			t.end(task, r, "lapsed")
			return
		}
		t.watch(task, r)
	})
}

func (t *Target) end(task string, r *running, how string) {
	if t.running[task] != r {
		return
	}
	r.stop.Stop()
	delete(t.running, task)
	t.free += r.cpu
	t.highest[task] = max(t.highest[task], r.run)
	t.number++
	t.ended = append(t.ended, wire.End{Number: t.number, Task: task, Run: r.run, How: how, Saved: r.saved})
	t.recorder.ended(task)
	t.apart(task, r, how)
	t.endedAt[t.number] = time.Now()
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) stop(in wire.Stop) (wire.OrderAnswer, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced(in.Token) {
		return t.answer(wire.ReasonFence)
	}
	t.highest[in.Task] = max(t.highest[in.Task], in.Run)
	if r := t.running[in.Task]; r != nil && r.run == in.Run {
		t.end(in.Task, r, "stopped")
	}
	return t.answer("")
}

// held is the answer to a hold, or its refusal.
type held struct {
	wire.Held
	Reason string `json:"reason,omitempty"`
}

func (t *Target) hold(in wire.Hold) (held, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced(in.Token) {
		return held{Held: wire.Held{ClockMS: t.clock()}, Reason: wire.ReasonFence}, wire.ReasonFence
	}
	if in.UntilMS > t.clock() {
		t.prolong(in.UntilMS)
	}
	t.forget(in.LastSeen)
	deadline := time.After(time.Duration(in.WaitMS) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(t.ended) == 0; {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		t.mu.Lock()
	}
	out := wire.Held{ClockMS: t.clock(), Running: []wire.RunningTask{}, Ended: slices.Clone(t.ended)}
	for task, r := range t.running {
		out.Running = append(out.Running, wire.RunningTask{Task: task, Run: r.run, Saved: r.saved})
	}
	return held{Held: out}, ""
}

// forget drops the ends that are taken note of. One that did its work stands for good,
// unless the lease has lapsed since.
func (t *Target) forget(seen int64) {
	t.ended = slices.DeleteFunc(t.ended, func(e wire.End) bool {
		if e.Number > seen {
			return false
		}
		if ended := t.endedAt[e.Number]; e.How == "done" && t.lapsed.Before(ended) && t.clock() <= t.until {
			t.recorder.finish(e.Task, ended)
		}
		delete(t.endedAt, e.Number)
		return true
	})
}
