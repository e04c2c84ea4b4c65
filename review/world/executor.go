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

// Bounds of executors, as the settings name them.
const (
	holdMax   = time.Second
	stopTakes = 20 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// minus returns what is left of resources.
func minus(r, o wire.Resources) wire.Resources {
	return wire.Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// holds reports whether resources suffice for others.
func holds(r, o wire.Resources) bool {
	return r.CPU >= o.CPU && r.MemoryMB >= o.MemoryMB && r.GPU >= o.GPU
}

// entry is what an executor writes of itself.
type entry struct {
	wire.Target
	Software string `json:"version"`
	Slots    int    `json:"slots"`
	Sequence int64  `json:"seq_no"`
}

// lists is the answer to a hold.
type lists struct {
	wire.OrderAnswer
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// executor is a stand-in of one life of an executor. It rejects what does not fit.
type executor struct {
	w        *world
	id, zone string
	address  string
	labels   []string
	capacity wire.Resources
	server   *http.Server
	began    time.Time

	mu    sync.Mutex
	gone  bool
	token int64
	// until is the end of the lease on the executor's clock, in milliseconds.
	until   int64
	seen    map[string]int64
	running map[string]*execution
	ended   []ending
	lastEnd int64
	changed chan struct{}
	seq     int64
}

// execution is a run of a task.
type execution struct {
	task     string
	run      int64
	needs    wire.Resources
	began    time.Time
	stopping bool
}

// ending is an entry of the list of ended runs.
type ending struct {
	n    int64
	task string
	run  int64
	how  string
	at   time.Time
}

func (w *world) addExecutor(id, zone, rack, kind string, capacity wire.Resources) (*executor, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		w: w, id: id, zone: zone, address: listener.Addr().String(), labels: []string{kind, rack}, capacity: capacity, began: time.Now(),
		seen: map[string]int64{}, running: map[string]*execution{}, changed: make(chan struct{}),
	}
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(listener) }()
	go x.beat()
	go x.lapse()
	w.mu.Lock()
	w.executors = append(w.executors, x)
	w.mu.Unlock()
	return x, nil
}

// beat writes the executor's entry until it is gone, and removes it after three beats of silence.
func (x *executor) beat() {
	for {
		x.mu.Lock()
		gone := x.gone
		x.seq++
		seq := x.seq
		x.mu.Unlock()
		if gone {
			time.Sleep(2 * heartbeat)
			x.w.store.remove(wire.TargetsTable, x.id)
			x.w.rec.line("entry of executor %s removed", x.id)
			return
		}
		x.w.store.put(wire.TargetsTable, x.id, entry{
			Target: wire.Target{
				Service: serviceName, Address: x.address, Zone: x.zone, State: wire.StateReady, Capacity: wire.Capacity{Resources: x.capacity, HasCPU: true}, Labels: x.labels,
			},
			Software: "1", Slots: 8, Sequence: seq,
		})
		time.Sleep(heartbeat)
	}
}

// crash ends the executor for good: its runs terminate, and nothing answers at its address.
func (x *executor) crash() {
	x.mu.Lock()
	x.gone = true
	for task, run := range x.running {
		x.w.ended(x, run, "crashed")
		delete(x.running, task)
	}
	x.mu.Unlock()
	_ = x.server.Close()
}

// clock is the executor's steady clock in milliseconds.
func (x *executor) clock() int64 { return 1000 + time.Since(x.began).Milliseconds() }

// free returns what the runs leave of the capacity. The caller holds the mutex.
func (x *executor) free() wire.Resources {
	left := x.capacity
	for _, run := range x.running {
		left = minus(left, run.needs)
	}
	return left
}

// lapse ends all runs once the lease has expired.
func (x *executor) lapse() {
	for {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		if x.gone {
			x.mu.Unlock()
			return
		}
		if x.clock() > x.until {
			for _, run := range x.running {
				x.end(run, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// extend moves the end of the lease, never backwards and at most to holdMax from now.
func (x *executor) extend(until int64) {
	x.until = max(x.until, min(until, x.clock()+holdMax.Milliseconds()))
}

// end lists the end of a run. The caller holds the mutex.
func (x *executor) end(run *execution, how string) {
	if x.running[run.task] != run {
		return
	}
	delete(x.running, run.task)
	x.seen[run.task] = max(x.seen[run.task], run.run)
	x.lastEnd++
	x.ended = append(x.ended, ending{x.lastEnd, run.task, run.run, how, time.Now()})
	x.w.ended(x, run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(wire.InstanceHeader); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire.StartPath:
		serve(x, w, r, func(o wire.Start) int64 { return o.Token }, x.start)
	case wire.StopPath:
		serve(x, w, r, func(o wire.Stop) int64 { return o.Token }, x.stop)
	case wire.HoldPath:
		serve(x, w, r, func(o wire.Hold) int64 { return o.Token }, x.hold)
	case healthPath:
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// healthPath is where executors answer health checks.
const healthPath = "/healthz"

// serve decodes an order, refuses it for a lower token, and handles it with the mutex held.
func serve[Order any](x *executor, w http.ResponseWriter, r *http.Request, token func(Order) int64, handle func(http.ResponseWriter, *http.Request, Order)) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone {
		panic(http.ErrAbortHandler)
	}
	if token(o) < x.token {
		x.refuse(w, wire.ReasonFence)
		return
	}
	x.token = token(o)
	handle(w, r, o)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (x *executor) accept(w http.ResponseWriter) {
	reply(w, http.StatusOK, wire.OrderAnswer{ClockMS: x.clock()})
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, wire.OrderAnswer{ClockMS: x.clock(), Reason: reason})
}

func (x *executor) start(w http.ResponseWriter, _ *http.Request, o wire.Start) {
	needs, takes, known := x.w.taskNeeds(o.Task, o.Spec)
	switch held := x.running[o.Task]; {
	case held != nil && held.run == o.Run:
		x.accept(w)
		return
	case !known:
		x.w.broken("UNASKED: executor %s was told to start %s, which no client sent with that spec", x.id, o.Task)
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.UntilMS <= x.clock():
		x.refuse(w, wire.ReasonLate)
		return
	case o.Run <= x.seen[o.Task]:
		x.extend(o.UntilMS)
		x.refuse(w, wire.ReasonOld)
		return
	case held != nil || !holds(x.free(), needs):
		x.extend(o.UntilMS)
		x.refuse(w, wire.ReasonRoom)
		return
	}
	x.extend(o.UntilMS)
	run := &execution{task: o.Task, run: o.Run, needs: needs, began: time.Now()}
	x.running[o.Task] = run
	x.w.started(x, run)
	if takes > 0 {
		time.AfterFunc(takes, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !run.stopping {
				x.end(run, "done")
			}
		})
	}
	x.accept(w)
}

func (x *executor) stop(w http.ResponseWriter, _ *http.Request, o wire.Stop) {
	x.seen[o.Task] = max(x.seen[o.Task], o.Run)
	if run := x.running[o.Task]; run != nil && run.run == o.Run && !run.stopping {
		run.stopping = true
		x.w.rec.line("run stops: %s run %d at %s", run.task, run.run, x.id)
		time.AfterFunc(stopTakes, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.end(run, "stopped")
		})
	}
	x.accept(w)
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, o wire.Hold) {
	if o.UntilMS > 0 {
		x.extend(o.UntilMS)
	}
	for _, e := range x.ended {
		if e.n <= o.LastSeen {
			x.w.noted(e)
		}
	}
	x.ended = slices.DeleteFunc(x.ended, func(e ending) bool { return e.n <= o.LastSeen })
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waits := o.WaitMS > 0; waits && len(x.ended) == 0 && !x.gone; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waits = false
		case <-r.Context().Done():
			waits = false
		}
		x.mu.Lock()
	}
	if x.gone {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range x.running {
		running = append(running, []any{run.task, run.run, "", 100, 0})
	}
	for _, e := range x.ended[:min(len(x.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, lists{OrderAnswer: wire.OrderAnswer{ClockMS: x.clock()}, Running: running, Ended: ended})
}

// splitTask returns the job, the occurrence, the step and the index in a task's name.
func splitTask(task string) (job string, occurrence, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}
