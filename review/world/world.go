// Command world plays one case of the review: the project's daemons as separate processes on loopback
// addresses, with stand-ins of the platform's store, the executors, the operator and the clients. It
// exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/platform/wire"
)

// Names of the deployment. Its figures are those of the site kasa-sofia, with fewer machines.
const (
	region      = "bg-central"
	serviceName = "kasa-ledger"
	host        = "queue.example"
	urgent      = "/urgent/"
	normal      = "/normal/"
	patient     = "/patient/"
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

// executorSize is the capacity of an executor of kasa-sofia.
var executorSize = wire.Resources{CPU: 32000, MemoryMB: 65536}

type world struct {
	repo, dir, storeAddress string
	command                 []string
	rec                     *recorder
	store                   *store
	client                  *http.Client
	daemons                 []*daemon

	mu        sync.Mutex
	executors []*executor
	jobs      map[string]*job
	// live counts the runs of each task that go on; lastEnd is when its last run ended.
	live    map[string]int
	lastEnd map[string]time.Time
	// done has when a task's run ended done; where has the executor of a task's newest run.
	done  map[string]time.Time
	where map[string]*executor
	// trouble is when the last disruption was.
	trouble time.Time
	faults  []string
}

// size is the number of daemons and executors in each zone.
type size struct{ daemons, executors int }

func newWorld(repo, record string, s size) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		repo: repo, rec: rec, store: newStore(), jobs: map[string]*job{}, live: map[string]int{}, lastEnd: map[string]time.Time{},
		done: map[string]time.Time{}, where: map[string]*executor{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	if w.command, err = commandLine(repo); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(listener) }()
	w.configure()
	for i, zone := range zones {
		for k := range s.executors {
			kind := "a"
			if k%3 == 2 {
				kind = "b"
			}
			if _, err := w.addExecutor(fmt.Sprintf("x%d%d%08x", i, k, time.Now().UnixNano()&0xffffffff), zone, fmt.Sprintf("r%d-%d", i, k/8), kind, executorSize); err != nil {
				return nil, err
			}
		}
	}
	return w, w.startDaemons(s.daemons)
}

// configure writes the operator's configuration: three queues of one service, by priority.
func (w *world) configure() {
	route := func(name, prefix string, priority int) wire.Route {
		return wire.Route{
			Name: name, Host: host, PathPrefix: prefix, Service: serviceName, Priority: priority, Attempts: 3, Stretch: 1.6, TargetLatencyMS: 60, TimeoutMS: 1500,
		}
	}
	type service struct {
		Name     string `json:"name"`
		Rejects  bool   `json:"rejects_overload"`
		MaxConns int    `json:"max_conns"`
		Health   string `json:"health_path"`
	}
	configuration := struct {
		wire.Configuration
		Services []service `json:"services"`
	}{
		wire.Configuration{Version: 7, Routes: []wire.Route{route("urgent", urgent, 0), route("normal", normal, 1), route("patient", patient, 2)}},
		[]service{{Name: serviceName, Rejects: true, MaxConns: 64, Health: healthPath}},
	}
	configuration.Limits.MaxBodyBytes = 262144
	w.store.put(wire.OperatorTable, wire.ConfigurationKey, configuration)
}

func (w *world) startDaemons(perZone int) error {
	subnet, err := freeSubnet(perZone * len(zones))
	if err != nil {
		return err
	}
	for i := range perZone * len(zones) {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones))
		w.daemons = append(w.daemons, &daemon{w: w, name: name, zone: zone, ip: fmt.Sprintf("%s%d", subnet, 1+i), settings: filepath.Join(w.dir, name+".conf")})
	}
	var seeds []string
	for _, d := range w.daemons[:min(3, len(w.daemons))] {
		seeds = append(seeds, d.address(controlPort))
	}
	for _, d := range w.daemons {
		if err := w.writeSettings(d, seeds); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		go d.rotate(context.Background())
	}
	return nil
}

// settle waits until all daemons are in rotation, and then until the deployment is at rest.
func (w *world) settle() bool {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		ready := 0
		for _, d := range w.daemons {
			if d.isInRotation() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			time.Sleep(4 * time.Second)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	for _, d := range w.daemons {
		d.wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// disrupt notes a disruption.
func (w *world) disrupt(format string, args ...any) {
	w.mu.Lock()
	w.trouble = time.Now()
	w.mu.Unlock()
	w.rec.say("DISRUPTION: "+format, args...)
}

// broken notes a broken rule.
func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.faults = append(w.faults, text)
	w.mu.Unlock()
	w.rec.say("BROKEN: %s", text)
}

// taskNeeds returns what a task needs and how long it works, if a client sent it with this spec.
func (w *world) taskNeeds(task, spec string) (wire.Resources, time.Duration, bool) {
	id, _, at, index := splitTask(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || j.spec != spec || at >= len(j.steps) || index >= j.steps[at].Count {
		return wire.Resources{}, 0, false
	}
	st := j.steps[at]
	return st.needs(), st.takes, true
}

// started notes the start of a run and checks TWICE.
func (w *world) started(x *executor, run *execution) {
	w.mu.Lock()
	w.live[run.task]++
	w.where[run.task] = x
	twice := w.live[run.task] > 1
	w.mu.Unlock()
	w.rec.line("run begins: %s run %d at %s in %s", run.task, run.run, x.id, x.zone)
	if twice {
		w.broken("TWICE: %s has two runs at the same time", run.task)
	}
}

// ended notes the end of a run.
func (w *world) ended(x *executor, run *execution, how string) {
	w.mu.Lock()
	w.live[run.task]--
	w.lastEnd[run.task] = time.Now()
	if how == "done" {
		w.done[run.task] = time.Now()
	}
	w.mu.Unlock()
	w.rec.line("run ends: %s run %d at %s: %s", run.task, run.run, x.id, how)
}

// noted is called with each end that a daemon has taken note of.
func (w *world) noted(e ending) { w.rec.line("end noted: %s run %d %s", e.task, e.run, e.how) }

// isLive reports whether a task runs now.
func (w *world) isLive(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live[task] > 0
}

// at returns the executor of a task's newest run.
func (w *world) at(task string) *executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.where[task]
}

// room counts how many more tasks with these needs the living executors could hold now, and whether
// under half of the service's capacity is in use.
func (w *world) room(needs wire.Resources) (places int, halfFree bool) {
	w.mu.Lock()
	executors := w.executors
	w.mu.Unlock()
	var all, free wire.Resources
	for _, x := range executors {
		x.mu.Lock()
		if !x.gone {
			left := x.free()
			all.CPU, all.MemoryMB = all.CPU+x.capacity.CPU, all.MemoryMB+x.capacity.MemoryMB
			free.CPU, free.MemoryMB = free.CPU+left.CPU, free.MemoryMB+left.MemoryMB
			for holds(left, needs) && needs != (wire.Resources{}) {
				places++
				left = minus(left, needs)
			}
		}
		x.mu.Unlock()
	}
	return places, 2*free.CPU > all.CPU && 2*free.MemoryMB > all.MemoryMB
}
