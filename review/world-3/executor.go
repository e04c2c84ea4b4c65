package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// holdMax is bounds.hold_max_ms.
const holdMax = 1000 * time.Millisecond

// work says what the tasks of a job do: the milliseconds, the processor and the memory of the tasks of each step.
// The clients write it into the job's spec.
type work struct {
	MS  []int64 `json:"ms"`
	CPU []int64 `json:"cpu"`
	Mem []int64 `json:"mem,omitempty"`
}

// memoryOf returns the memory of a task of a step.
func (w work) memoryOf(step int) int64 {
	if step < len(w.Mem) {
		return w.Mem[step]
	}
	return 0
}

// executorMB is the memory of an executor of kasa-sofia.
const executorMB = 65536

// start is what the executors and the judge know of a start.
type start struct {
	task, job, executor, zone string
	step                      int
	run                       int64
	at, ended                 time.Time
	how                       string
	labels                    []string
}

// runs has all starts, for the judge.
type runs struct {
	mu   sync.Mutex
	list []*start
}

func (r *runs) add(s *start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

func (r *runs) end(s *start, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ended, s.how = time.Now(), how
}

// all returns copies of the starts.
func (r *runs) all() []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.list {
		list = append(list, *s)
	}
	return list
}

// executor is one executor in its present incarnation.
type executor struct {
	world   *world
	id      string
	zone    string
	service string

	mu       sync.Mutex
	address  string
	labels   []string
	capacity int64
	state    string
	seq      int64
	born     int64
	began    time.Time
	server   *http.Server
	up       bool
	token    int64
	lease    int64
	running  map[string]*activeRun
	highest  map[string]int64
	ended    []wire.Completion
	lastEnd  int64
	changed  chan struct{}
	stopBeat chan struct{}
	// failing says that it fails all that it starts, while its health is good.
	failing bool
}

type activeRun struct {
	start *start
	cpu   int64
	mem   int64
	timer *time.Timer
}

// boot begins an incarnation: it listens, and then registers. An executor with a birth may keep its ID.
func (e *executor) boot(labels []string, capacity int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = e.world.executorIP + ":0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.address, e.labels, e.capacity, e.state = listener.Addr().String(), labels, capacity, wire.StateReady
	e.seq, e.began, e.token, e.lease, e.lastEnd = 0, time.Now(), 0, 0, 0
	if e.world.births {
		e.born = time.Now().UnixMilli()
	}
	e.running, e.highest, e.ended, e.changed = map[string]*activeRun{}, map[string]int64{}, nil, make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 3 * time.Second}
	e.up, e.stopBeat = true, make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	go e.beat(e.stopBeat)
	e.world.record.add(e.id, "up at %s, labels %v, capacity %d", e.address, labels, capacity)
	return nil
}

// bootAs begins an incarnation of the same kind with a new ID, as after a crash.
func (e *executor) bootAs(id string) error {
	e.mu.Lock()
	e.id = id
	labels, capacity := e.labels, e.capacity
	e.mu.Unlock()
	return e.boot(labels, capacity)
}

// beat registers at once and then every heartbeat_ms.
func (e *executor) beat(stop chan struct{}) {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		e.register(stop)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// registryEntry is an executor's entry with what the daemon doesn't read.
type registryEntry struct {
	wire.Target
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	SeqNo   int64  `json:"seq_no"`
}

func (e *executor) register(stop chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop != e.stopBeat || !e.up {
		return
	}
	e.seq++
	entry := registryEntry{
		Target: wire.Target{
			Service: e.service, Address: e.address, Zone: e.zone, State: e.state, Labels: e.labels, StartedMS: e.born,
			Capacity: wire.Capacity{Resources: wire.Resources{CPU: e.capacity, MemoryMB: executorMB}},
		},
		Version: "v1", Slots: 8, SeqNo: e.seq,
	}
	e.world.store.put(wire.TargetsTable, e.id, entry)
}

// drain reports that the executor is about to leave.
func (e *executor) drain() {
	e.mu.Lock()
	e.state = wire.StateDraining
	stop := e.stopBeat
	e.mu.Unlock()
	e.register(stop)
	e.world.record.add(e.id, "draining")
}

// setFailing sets whether the executor fails all that it starts.
func (e *executor) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
	e.world.record.add(e.id, "fails all that it starts: %v", failing)
}

// leave ends the executor after its drain: its entry is removed, and what runs there ends.
func (e *executor) leave() {
	e.crash("left")
	e.world.store.remove(wire.TargetsTable, e.id)
}

// crash ends the incarnation and all that runs. Nothing answers at the address.
func (e *executor) crash(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.stopBeat)
	_ = e.server.Close()
	for _, r := range e.running {
		r.timer.Stop()
		e.world.runs.end(r.start, how)
	}
	e.running = map[string]*activeRun{}
	e.world.record.add(e.id, "%s", how)
}

// clock is the executor's steady clock; the caller holds the lock.
func (e *executor) clock() int64 { return 1000 + time.Since(e.began).Milliseconds() }

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire.InstanceHeader); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire.StartPath:
		serveOrder(w, r, e.start)
	case wire.StopPath:
		serveOrder(w, r, e.stop)
	case wire.HoldPath:
		serveOrder(w, r, e.hold)
	default:
		http.NotFound(w, r)
	}
}

// serveOrder decodes an order, carries it out and encodes the answer.
func serveOrder[In any](w http.ResponseWriter, r *http.Request, carryOut func(In) (int, any)) {
	var in In
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, out := carryOut(in)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// answer returns an order's answer; a reason refuses it. The caller holds the lock.
func (e *executor) answer(reason string) (int, any) {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	return status, wire.OrderAnswer{ClockMS: e.clock(), Reason: reason}
}

// fences takes a token, and reports whether it is lower than one that was seen.
func (e *executor) fences(token int64) bool {
	if token < e.token {
		return true
	}
	e.token = token
	return false
}

func (e *executor) extend(until int64) {
	e.lease = max(e.lease, min(until, e.clock()+holdMax.Milliseconds()))
}

// jobAndStep takes a task's name, ID.K.STEP.INDEX, apart.
func jobAndStep(task string) (string, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0
	}
	step, _ := strconv.Atoi(parts[2])
	return parts[0], step
}

func (e *executor) start(in wire.Start) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, step := jobAndStep(in.Task)
	var w work
	if json.Unmarshal([]byte(in.Spec), &w) != nil || step >= len(w.MS) || step >= len(w.CPU) {
		return http.StatusBadRequest, struct{}{}
	}
	used, memory := int64(0), w.memoryOf(step)
	for _, r := range e.running {
		used += r.cpu
		memory += r.mem
	}
	present := e.running[in.Task]
	switch {
	case e.fences(in.Token):
		return e.answer(wire.ReasonFence)
	case present != nil && present.start.run == in.Run:
		e.extend(in.UntilMS)
		return e.answer("")
	case in.Run <= e.highest[in.Task]:
		e.extend(in.UntilMS)
		return e.answer(wire.ReasonOld)
	case in.UntilMS <= e.clock():
		return e.answer(wire.ReasonLate)
	case present != nil || used+w.CPU[step] > e.capacity || memory > executorMB:
		e.extend(in.UntilMS)
		return e.answer(wire.ReasonRoom)
	}
	e.extend(in.UntilMS)
	s := &start{task: in.Task, job: job, step: step, run: in.Run, executor: e.id, zone: e.zone, at: time.Now(), labels: slices.Clone(e.labels)}
	r := &activeRun{start: s, cpu: w.CPU[step], mem: w.memoryOf(step)}
	e.running[in.Task] = r
	e.world.runs.add(s)
	e.world.record.add(e.id, "starts %s run %d, token %d", in.Task, in.Run, in.Token)
	ms, how := w.MS[step], "done"
	if ms < 0 {
		// A task that lasts, and fails by itself after a time.
		ms, how = -ms, "failed"
	}
	if e.failing {
		how = "failed"
	}
	r.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { e.endLater(r, how) })
	e.watchLease(r)
	return e.answer("")
}

func (e *executor) endLater(r *activeRun, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(r, how)
}

// watchLease ends a run once the lease is over.
func (e *executor) watchLease(r *activeRun) {
	time.AfterFunc(time.Duration(e.lease-e.clock()+1)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case e.running[r.start.task] != r:
		case e.clock() > e.lease:
			e.end(r, "lapsed")
		default:
			e.watchLease(r)
		}
	})
}

// end ends a run and lists it. The caller holds the lock.
func (e *executor) end(r *activeRun, how string) {
	if e.running[r.start.task] != r {
		return
	}
	r.timer.Stop()
	delete(e.running, r.start.task)
	e.highest[r.start.task] = max(e.highest[r.start.task], r.start.run)
	e.lastEnd++
	e.ended = append(e.ended, wire.Completion{Number: e.lastEnd, Task: r.start.task, Run: r.start.run, Outcome: how})
	e.world.runs.end(r.start, how)
	e.world.record.add(e.id, "%s run %d ends: %s", r.start.task, r.start.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stop(in wire.Stop) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fences(in.Token) {
		return e.answer(wire.ReasonFence)
	}
	e.highest[in.Task] = max(e.highest[in.Task], in.Run)
	if r := e.running[in.Task]; r != nil && r.start.run == in.Run {
		e.end(r, "stopped")
	}
	return e.answer("")
}

func (e *executor) hold(in wire.Hold) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fences(in.Token) {
		return e.answer(wire.ReasonFence)
	}
	if in.UntilMS > 0 {
		e.extend(in.UntilMS)
	}
	e.ended = slices.DeleteFunc(e.ended, func(end wire.Completion) bool { return end.Number <= in.LastSeen })
	deadline := time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(e.ended) == 0 && e.up; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		e.mu.Lock()
	}
	out := wire.Held{ClockMS: e.clock(), StartedMS: e.born, Running: []wire.RunningTask{}, Ended: []wire.Completion{}}
	for _, r := range e.running {
		out.Running = append(out.Running, wire.RunningTask{Task: r.start.task, Run: r.start.run})
	}
	out.Ended = append(out.Ended, e.ended[:min(len(e.ended), 500)]...)
	return http.StatusOK, out
}
