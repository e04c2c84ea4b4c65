package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

const (
	holdMax   = 1000
	stopTime  = 20 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	maxEnds   = 500
)

// demand is what the tasks of each job need, by job ID: a start doesn't carry it.
type demands struct {
	mu sync.Mutex
	of map[string][]wire.Resources
}

func (d *demands) set(job string, steps []wire.Resources) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of[job] = steps
}

// need returns what a task named ID.K.STEP.INDEX needs.
func (d *demands) need(task string) wire.Resources {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	d.mu.Lock()
	defer d.mu.Unlock()
	if steps := d.of[parts[0]]; step < len(steps) {
		return steps[step]
	}
	return wire.Resources{}
}

// execution is a run of a task.
type execution struct {
	run      int64
	need     wire.Resources
	stopping bool
	since    time.Time
}

type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

// executor is one life of a worker. It runs tasks under one lease, as the protocol tells.
type executor struct {
	w    *world
	zone string
	host string

	mu       sync.Mutex
	id       string
	address  string
	server   *http.Server
	alive    bool
	silent   bool
	draining bool
	seq      int64
	capacity wire.Resources
	token    int64
	until    int64
	began    time.Time
	running  map[string]*execution
	highest  map[string]int64
	ends     []ended
	lastEnd  int64
	changed  chan struct{}
	labels   []string
}

func (w *world) addExecutor(zone, host string, labels []string) (*executor, error) {
	e := &executor{w: w, zone: zone, host: host, labels: labels, capacity: wire.Resources{CPU: 32000, MemoryMB: 65536}}
	if err := e.start(); err != nil {
		return nil, err
	}
	w.executors = append(w.executors, e)
	go e.beat()
	return e, nil
}

// start begins a new life under a new ID.
func (e *executor) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = e.host + ":0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.w.lastID++
	e.id = fmt.Sprintf("ex%04d-%08x", e.w.lastID, uint32(e.w.lastID*2654435761))
	e.address = listener.Addr().String()
	e.alive, e.silent, e.draining = true, false, false
	e.token, e.until, e.lastEnd, e.ends = 0, 0, 0, nil
	e.began = time.Now().Add(-time.Second)
	e.running, e.highest, e.changed = map[string]*execution{}, map[string]int64{}, make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	e.w.record.add("executor   %s starts in %s", e.id, e.zone)
	e.register()
	return nil
}

// entry is an executor's entry with the fields that the daemon doesn't read.
type entry struct {
	wire.Target
	Slots    int    `json:"slots"`
	Software string `json:"version"`
	Sequence int64  `json:"seq_no"`
}

// without returns an amount less another.
func without(a, b wire.Resources) wire.Resources {
	return wire.Resources{CPU: a.CPU - b.CPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPU: a.GPU - b.GPU}
}

// register writes the executor's entry; the caller holds the lock.
func (e *executor) register() {
	e.seq++
	state := wire.StateReady
	if e.draining {
		state = wire.StateDraining
	}
	e.w.store.put(wire.TargetsTable, e.id, entry{
		Target: wire.Target{
			Service: service, Address: e.address, Zone: e.zone, State: state, Capacity: wire.Capacity{Resources: e.capacity}, Labels: e.labels,
		},
		Slots: 8, Software: "1", Sequence: e.seq,
	})
}

// beat writes the entry of a living executor that reaches the store.
func (e *executor) beat() {
	for {
		time.Sleep(heartbeat)
		e.mu.Lock()
		if e.alive && !e.silent {
			e.register()
		}
		e.mu.Unlock()
	}
}

// end of life: everything that runs terminates and the address refuses connections.
func (e *executor) die(why string) {
	e.mu.Lock()
	id, server := e.id, e.server
	e.alive = false
	for task := range e.running {
		e.w.record.add("run        %s ended with its executor %s", task, e.id)
		e.w.runs.end(task, "executor lost")
	}
	e.running = map[string]*execution{}
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.w.record.say("executor %s %s", id, why)
	_ = server.Close()
}

// crash kills the executor; it is back under a new ID after downFor, or never for 0. Its entry goes
// after three intervals of silence.
func (e *executor) crash(downFor time.Duration) {
	id := e.ID()
	e.die("crashes")
	time.AfterFunc(3*heartbeat, func() { e.w.store.put(wire.TargetsTable, id, nil) })
	if downFor > 0 {
		time.AfterFunc(downFor, func() { _ = e.start() })
	}
}

// retire drains the executor and has it leave; a new one takes its place.
func (e *executor) retire(drainFor time.Duration) {
	e.mu.Lock()
	e.draining = true
	id := e.id
	e.register()
	e.mu.Unlock()
	e.w.record.say("planned: executor %s reports draining", id)
	time.Sleep(drainFor)
	e.die("has drained and leaves")
	e.w.store.put(wire.TargetsTable, id, nil)
	_ = e.start()
}

// leave drains the executor and has it leave for good.
func (e *executor) leave(drainFor time.Duration) {
	e.mu.Lock()
	e.draining = true
	id := e.id
	e.register()
	e.mu.Unlock()
	e.w.record.say("planned: executor %s reports draining", id)
	time.Sleep(drainFor)
	e.die("has drained and leaves")
	e.w.store.put(wire.TargetsTable, id, nil)
}

// cut partitions the executor from all machines, and heals after a time.
func (e *executor) cut(length time.Duration) {
	e.setSilent(true)
	e.w.record.say("trouble: executor %s is cut off for %v", e.ID(), length)
	time.Sleep(length)
	e.setSilent(false)
	e.w.record.say("executor %s is reachable again", e.ID())
}

func (e *executor) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// ID is the present life's ID.
func (e *executor) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() }

// order is the body of any order.
type order struct {
	wire.Start
	LastSeen, WaitMS int64
}

// readOrder decodes an order.
func readOrder(r *http.Request) (in order, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return in, err
	}
	if r.URL.Path == wire.HoldPath {
		var hold wire.Hold
		err = json.Unmarshal(data, &hold)
		in.UntilMS, in.Token, in.LastSeen, in.WaitMS = hold.UntilMS, hold.Token, hold.LastSeen, hold.WaitMS
		return in, err
	}
	return in, json.Unmarshal(data, &in.Start)
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	in, err := readOrder(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		// A cut link carries nothing; what it held up is lost when its sender resets the connection.
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(wire.InstanceHeader); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.Token < e.token {
		e.refuse(w, wire.ReasonFence)
		return
	}
	e.token = in.Token
	switch r.URL.Path {
	case wire.StartPath:
		e.runStart(w, in)
	case wire.StopPath:
		e.runStop(w, in)
	case wire.HoldPath:
		e.hold(r.Context(), w, in)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer is the answer to any order; only one to a hold has lists.
type answer struct {
	wire.OrderAnswer
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

func (e *executor) reply(w http.ResponseWriter, status int, body answer) {
	body.ClockMS = e.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	e.reply(w, http.StatusConflict, answer{OrderAnswer: wire.OrderAnswer{Reason: reason}})
}

func (e *executor) extend(until int64) { e.until = max(e.until, min(until, e.clock()+holdMax)) }

func (e *executor) runStart(w http.ResponseWriter, in order) {
	have := e.running[in.Task]
	switch {
	case have != nil && have.run == in.Run:
		e.reply(w, http.StatusOK, answer{})
		return
	case in.UntilMS <= e.clock():
		e.refuse(w, wire.ReasonLate)
		return
	case in.Run <= e.highest[in.Task]:
		e.extend(in.UntilMS)
		e.refuse(w, wire.ReasonOld)
		return
	}
	need := e.w.demands.need(in.Task)
	free := e.capacity
	for _, x := range e.running {
		free = without(free, x.need)
	}
	e.extend(in.UntilMS)
	if have != nil || need.CPU > free.CPU || need.MemoryMB > free.MemoryMB || need.GPU > free.GPU {
		e.refuse(w, wire.ReasonRoom)
		return
	}
	x := &execution{run: in.Run, need: need, since: time.Now()}
	e.running[in.Task] = x
	e.w.record.add("run        %s run %d begins at %s (token %d)", in.Task, in.Run, e.id, in.Token)
	e.w.runs.begin(in.Task, e)
	e.watchLease(in.Task, x)
	if work := workOf(in.Spec); work > 0 {
		time.AfterFunc(work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !x.stopping {
				e.finish(in.Task, x, "done")
			}
		})
	}
	e.reply(w, http.StatusOK, answer{})
}

// workOf reads how long a task works from its spec, "work=MS"; 0 stands for one that lasts.
func workOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.TrimPrefix(spec, "work="))
	return time.Duration(ms) * time.Millisecond
}

// watchLease ends a run once the lease is over.
func (e *executor) watchLease(task string, x *execution) {
	time.AfterFunc(time.Duration(e.until-e.clock()+1)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[task] != x {
			return
		}
		if e.clock() > e.until {
			e.finish(task, x, "lapsed")
			return
		}
		e.watchLease(task, x)
	})
}

// finish ends a run and lists its end; the caller holds the lock.
func (e *executor) finish(task string, x *execution, how string) {
	if e.running[task] != x {
		return
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], x.run)
	e.lastEnd++
	e.ends = append(e.ends, ended{e.lastEnd, task, x.run, how})
	e.w.record.add("run        %s run %d ends %s at %s", task, x.run, how, e.id)
	e.w.runs.end(task, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) runStop(w http.ResponseWriter, in order) {
	e.highest[in.Task] = max(e.highest[in.Task], in.Run)
	if x := e.running[in.Task]; x != nil && x.run == in.Run && !x.stopping {
		x.stopping = true
		e.w.record.add("run        %s run %d is ordered to stop at %s", in.Task, in.Run, e.id)
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.finish(in.Task, x, "stopped")
		})
	}
	e.reply(w, http.StatusOK, answer{})
}

func (e *executor) hold(ctx context.Context, w http.ResponseWriter, in order) {
	if in.UntilMS > 0 {
		e.extend(in.UntilMS)
	}
	e.ends = slices.DeleteFunc(e.ends, func(x ended) bool {
		if x.n <= in.LastSeen {
			e.w.record.add("end        %s run %d (%s) is taken note of at %s", x.task, x.run, x.how, e.id)
			return true
		}
		return false
	})
	deadline := time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(e.ends) == 0 && e.alive; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		e.mu.Lock()
	}
	if e.silent || !e.alive {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return
	}
	running, ends := [][]any{}, [][]any{}
	for task, x := range e.running {
		running = append(running, []any{task, x.run, "", 100, x.need.CPU})
	}
	for _, x := range e.ends[:min(len(e.ends), maxEnds)] {
		ends = append(ends, []any{x.n, x.task, x.run, x.how, ""})
	}
	e.reply(w, http.StatusOK, answer{Running: running, Ended: ends})
}

// runs holds what runs where, over all executors.
type runs struct {
	mu sync.Mutex
	// at has the executors of the running copies of each task, ended when its last run ended.
	at      map[string]int
	endedAt map[string]time.Time
	done    map[string]bool
	starts  map[string]int
	doubled []string
}

func (r *runs) begin(task string, _ *executor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	if r.at[task]++; r.at[task] > 1 {
		r.doubled = append(r.doubled, task)
	}
}

func (r *runs) end(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[task]--
	r.endedAt[task] = time.Now()
	r.done[task] = r.done[task] || how == "done"
}

func (r *runs) isRunning(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[task] > 0
}

func (r *runs) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// awayFor is how long ago the last run of a task ended; 0 while it runs, and -1 before its first run.
func (r *runs) awayFor(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch at, began := r.endedAt[task]; {
	case r.at[task] > 0:
		return 0
	case !began:
		return -1
	default:
		return time.Since(at)
	}
}
