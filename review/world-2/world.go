package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

// Names of the small deployment.
const (
	service = "ledger"
	host    = "queue.example"
	prefix  = "/jobs/"
)

// Ports of the daemons, the same on all machines.
const (
	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
)

// world is a small deployment on loopback addresses.
type world struct {
	root, dir string
	command   []string
	record    *record
	store     *store
	storeAt   string
	net       int
	zones     []string
	machines  []*machine
	executors []*executor
	lastID    int
	demands   *demands
	runs      *runs
	trouble   bool
	servers   []*http.Server
}

// machine is an edge machine with its daemon.
type machine struct {
	w              *world
	name, zone, ip string
	mu             sync.Mutex
	process        *exec.Cmd
	ended          chan struct{}
}

// newWorld starts the store, the executors and the daemons, and waits until all daemons are ready.
func newWorld(root string, r *record, zones, machinesEach, executorsEach int) (*world, error) {
	w := &world{
		root: root, record: r, store: newStore(r), net: freeNet(), trouble: os.Getenv("TROUBLE") != "0",
		demands: &demands{of: map[string][]wire.Resources{}},
		runs:    &runs{at: map[string]int{}, endedAt: map[string]time.Time{}, done: map[string]bool{}, starts: map[string]int{}},
	}
	var err error
	if w.command, err = runCommand(root); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return w, err
	}
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.200.1:0", w.net))
	if err != nil {
		return w, err
	}
	w.storeAt = listener.Addr().String()
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	for z := range zones {
		zone := fmt.Sprintf("hall-%c", 'a'+z)
		w.zones = append(w.zones, zone)
		for i := range executorsEach {
			kind := []string{"a", "a", "b"}[i%3]
			labels := []string{kind, fmt.Sprintf("r%d-%d", z+1, 1+i/8)}
			if _, err := w.addExecutor(zone, fmt.Sprintf("127.%d.%d.%d", w.net, 100+z, 1+i), labels); err != nil {
				return w, err
			}
		}
		for i := range machinesEach {
			w.machines = append(w.machines, &machine{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", w.net, 10+z, 1+i)})
		}
	}
	w.configure(7)
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady(20 * time.Second)
}

// freeNet returns the second number of loopback addresses on which no other case runs.
func freeNet() int {
	for range 50 {
		n := 32 + rand.IntN(200)
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.10.1:%d", n, frontendPort))
		if err == nil {
			_ = listener.Close()
			return n
		}
	}
	return 31
}

// operatorConfiguration is the operator's configuration with the fields that the daemon doesn't read.
type operatorConfiguration struct {
	wire.Configuration
	Services []operatorService `json:"services"`
}

type operatorService struct {
	Name     string `json:"name"`
	Rejects  bool   `json:"rejects_overload"`
	MaxConns int    `json:"max_conns"`
}

// routeOf returns a route to the service.
func routeOf(name, path string) wire.Route {
	return wire.Route{
		Name: name, Host: host, PathPrefix: path, Service: service, Priority: 1, Attempts: 4, Stretch: 3, TargetLatencyMS: 60000, TimeoutMS: 5000,
	}
}

// configure writes the operator's configuration with the first route and others.
func (w *world) configure(version int64, others ...wire.Route) {
	c := operatorConfiguration{Services: []operatorService{{Name: service, Rejects: true, MaxConns: 64}}}
	c.Version, c.Limits.MaxBodyBytes = version, 262144
	c.Routes = append([]wire.Route{routeOf("jobs", prefix)}, others...)
	w.store.put(wire.OperatorTable, wire.ConfigurationKey, c)
}

// runCommand reads the command of the role from the deploy file.
func runCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

func (m *machine) settings() string {
	var seeds []string
	for _, other := range m.w.machines[:min(3, len(m.w.machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
	}
	lines := []string{
		"node_name=" + m.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=" + m.ip, "zone=" + m.zone, "region=bg-central",
		fmt.Sprintf("listen.frontend=%s:%d", m.ip, frontendPort), fmt.Sprintf("listen.ready=%s:%d", m.ip, readyPort),
		fmt.Sprintf("listen.control_plane=%s:%d", m.ip, controlPort), "port_range=7720,7735", "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=platform", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.hold_max_ms=1000", "bounds.stop_ms=50", "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.resend_ms=1300",
		"orders=call", "platform.address=" + m.w.storeAt, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"platform.tx_ms=5.0", "platform.part_writes_s=200", "platform.row_bytes=65536", "platform.across=false", "platform.history_s=20",
	}
	for _, zone := range m.w.zones {
		lines = append(lines, "zones."+zone+"=bg-central")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the daemon with the command of the deploy file, in the repository's root.
func (m *machine) start() error {
	path := filepath.Join(m.w.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(filepath.Join(m.w.root, m.w.command[0]), m.w.command[1:]...)
	process.Dir, process.Stdout, process.Stderr = m.w.root, log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.w.dir, platform.SettingsVariable + "=" + path}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := process.Wait()
		m.w.record.add("daemon     %s has ended: %v", m.name, err)
		close(ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.ended = process, ended
	m.w.record.add("daemon     %s starts", m.name)
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, readyPort, wire.ReadinessPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.record.say("all %d daemons are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the daemons weren't ready in time")
}

// stop ends all processes. The daemons' logs stay beside the record if keep names a folder.
func (w *world) stop() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// owner returns the machine that last wrote the claim of a zone to the store; nil if none is known.
// The row has the machine's name as text.
func (w *world) owner(zone string) *machine {
	value, _ := w.store.get("owners", "", zone)
	for _, m := range w.machines {
		if bytes.Contains(value, []byte(m.name)) {
			return m
		}
	}
	return nil
}

// step and job are what clients send.
type step = wire.Step

type job struct {
	wire.Job
	ID string `json:"-"`
	// only names the tasks to watch; nil stands for all.
	only []string
}

// newJob returns a job of one step, with a new ID.
func newJob(spec string, s step) job {
	return job{ID: newID(), Job: wire.Job{Spec: spec, Steps: []step{s}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send makes a client's call and returns the status, 0 without an answer, and the body.
func (w *world) send(m *machine, method, path string, body any) (int, map[string]any) {
	var data io.Reader = http.NoBody
	if body != nil {
		encoded, _ := json.Marshal(body)
		data = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, frontendPort, path), data)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.DeadlineHeader, "5000")
	response, err := client.Do(request)
	if err != nil {
		w.record.add("client     %s %s to %s: no answer", method, path, m.name)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	text, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(text, &answer)
	w.record.add("client     %s %s to %s: %d %s", method, path, m.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, answer
}

// submit hands in a job, and reports whether it was accepted.
func (w *world) submit(m *machine, j job) bool {
	var needs []wire.Resources
	for _, s := range j.Steps {
		needs = append(needs, wire.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB})
	}
	w.demands.set(j.ID, needs)
	for range 5 {
		status, _ := w.send(m, http.MethodPost, prefix+j.ID, j)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a job's state; "" without one.
func (w *world) state(m *machine, id string) (int, string) {
	status, answer := w.send(m, http.MethodGet, prefix+id, nil)
	state, _ := answer["state"].(string)
	return status, state
}

// tasks lists the names of a job's tasks.
func (j job) tasks() []string {
	if j.only != nil {
		return j.only
	}
	var names []string
	for s, st := range j.Steps {
		for i := range st.Count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.ID, s, i))
		}
	}
	return names
}

// in returns the machines of a zone.
func (w *world) in(zone string) []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	return list
}

// wait waits for the end of the daemon, and kills it after a time.
func (m *machine) wait(timeout time.Duration) {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(timeout):
		m.kill()
	}
}
