package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

// Ports of a machine, the same on all; each machine has a loopback address of its own.
const (
	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
	portRange    = "7720,7735"
)

// service is the name of the executors' service, host that of all queues.
const (
	service = "ledger"
	host    = "jobs.example"
)

// world is a small deployment on loopback addresses: the platform's store, executors, and the daemons as
// processes of their own.
type world struct {
	record     *record
	store      *store
	runs       runs
	dir        string
	command    []string
	prefix     string
	executorIP string
	zones      []string
	machines   []*machine
	executors  []*executor
	// births says that executors tell when they were born, and keep their ID when they start again.
	births bool
	// restart says that the platform starts a process again that has ended.
	restart bool
	random  *rand.Rand
	routes  []wire.Route
	servers []*http.Server
}

// machine is an entry VM with its process.
type machine struct {
	world          *world
	name, zone, ip string
	storeAddress   string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// gone says that the platform has removed the machine. ends counts the ends of its processes that
	// nobody ordered, killed those for their memory.
	gone         bool
	ordered      bool
	ends, killed int
	peakMB       int64
}

// memoryMB is the memory of a machine of kasa-sofia.
const memoryMB = 284

// newWorld starts the store, and finds addresses and the command of the deploy file.
func newWorld(r *record, seed uint64, zones []string) (*world, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run command")
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, store: newStore(r, seed), dir: dir, command: strings.Fields(string(run[1])), zones: zones, restart: true,
		random: rand.New(rand.NewPCG(seed, 2)),
	}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.isFree() {
			w.executorIP = w.prefix + "200"
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether the daemons' ports are free at the first addresses.
func (w *world) isFree() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range []int{frontendPort, readyPort, controlPort, 7720, 9464} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", w.prefix, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (w *world) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addRoute adds a queue of the service to the configuration.
func (w *world) addRoute(name string, priority int, targetLatencyMS float64, attempts int) {
	w.routes = append(w.routes, wire.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Service: service, Priority: priority, Attempts: attempts, Stretch: 1.6,
		TargetLatencyMS: targetLatencyMS, TimeoutMS: float64(clientDeadline.Milliseconds()),
	})
}

func (w *world) configure(version int64) {
	configuration := wire.Configuration{Version: version, Routes: w.routes}
	configuration.Limits.MaxBodyBytes = 262144
	w.store.put(wire.OperatorTable, wire.ConfigurationKey, configuration)
}

// addExecutors starts executors of a zone with these labels and a rack.
func (w *world) addExecutors(zone string, count int, capacity int64, labels ...string) error {
	for range count {
		e := &executor{world: w, id: fmt.Sprintf("i-%08x", w.random.Uint32()), zone: zone, service: service}
		w.executors = append(w.executors, e)
		if err := e.boot(append(append([]string{}, labels...), "r-"+zone), capacity); err != nil {
			return err
		}
	}
	return nil
}

// startFleet starts machines in each zone and waits until they are ready.
func (w *world) startFleet(perZone int) error {
	for _, zone := range w.zones {
		for i := range perZone {
			number := len(w.machines) + 1
			address, err := w.serve(fmt.Sprintf("%s%d:0", w.prefix, 100+number), w.store)
			if err != nil {
				return err
			}
			w.machines = append(w.machines, &machine{
				world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s%d", w.prefix, number), storeAddress: address,
			})
		}
	}
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.record.add("platform", "all %d machines are ready", ready)
			// Owners and leases settle; traffic starts 10 s after the machines on the sites.
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the machines were not ready within 15 s: see %s", w.dir)
}

// in lists the machines of a zone.
func (w *world) in(zone string) []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	return list
}

// owner returns the machine that last wrote the claim of a zone to the store under a condition.
func (w *world) owner(zone string) *machine {
	claim := w.store.value("owners", "", zone)
	for _, m := range w.machines {
		if bytes.Contains(claim, []byte(m.name)) {
			return m
		}
	}
	return nil
}

func (w *world) stop() {
	w.restart = false
	for _, m := range w.machines {
		m.kill("the test ends")
	}
	for _, e := range w.executors {
		e.crash("the test ends")
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

func (m *machine) settings() string {
	var seeds []string
	for _, other := range m.world.machines[:min(3, len(m.world.machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
	}
	lines := []string{
		"node_name=" + m.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=" + m.ip, "zone=" + m.zone, "region=bg-central",
		fmt.Sprintf("listen.frontend=%s:%d", m.ip, frontendPort), fmt.Sprintf("listen.ready=%s:%d", m.ip, readyPort),
		fmt.Sprintf("listen.control_plane=%s:%d", m.ip, controlPort), "port_range=" + portRange, "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "fault_counted=false", "limits.cpu_share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", memoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.recovery_s=12", "bounds.hold_max_ms=1000", "bounds.stop_ms=50", "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_factor=3", "bounds.save_interval_s=2", "bounds.restore_ms=600",
		"bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.upkeep_s=2", "bounds.fencing_required=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300",
		"bounds.pace_ms=100", "bounds.harm_ms=4000", "bounds.resend_ms=1300", "orders=call", "advice=",
		"platform.address=" + m.storeAddress, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.tx_ms=5.0",
		"platform.part_writes_s=200", "platform.row_bytes=65536", "platform.across=false", "platform.history_s=20",
	}
	for _, zone := range m.world.zones {
		lines = append(lines, "zones."+zone+"=bg-central")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's process by the command of the deploy file.
func (m *machine) start() error {
	settings := filepath.Join(m.world.dir, m.name+".conf")
	if err := os.WriteFile(settings, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(m.world.command[0], m.world.command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done, m.ordered = process, done, false
	m.mu.Unlock()
	m.world.record.add(m.name, "process started at %s", m.ip)
	go m.watch(process, done)
	return nil
}

// watch enforces the machine's memory and starts an ended process again after a short delay, as the
// platform does.
func (m *machine) watch(process *exec.Cmd, done chan struct{}) {
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := residentMB(process.Process.Pid)
			m.mu.Lock()
			m.peakMB = max(m.peakMB, used)
			if used > memoryMB {
				m.killed++
				m.mu.Unlock()
				m.world.record.add(m.name, "process has %d MB, over memory_mb %d: it is killed", used, memoryMB)
				_ = process.Process.Kill()
				return
			}
			m.mu.Unlock()
		}
	}()
	err := process.Wait()
	close(done)
	m.mu.Lock()
	ordered, gone := m.ordered, m.gone
	if !ordered {
		m.ends++
	}
	m.mu.Unlock()
	m.world.record.add(m.name, "process has ended (%v), ordered: %v", err, ordered)
	if gone || !m.world.restart {
		return
	}
	time.Sleep(500 * time.Millisecond)
	m.mu.Lock()
	gone = m.gone
	m.mu.Unlock()
	if !gone && m.world.restart {
		_ = m.start()
	}
}

// residentMB is the memory of a process; 0 if it isn't known.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// kill kills the machine's process; the platform starts it again unless the machine is gone.
func (m *machine) kill(why string) {
	m.mu.Lock()
	process, done := m.process, m.done
	m.ordered = true
	m.mu.Unlock()
	if process == nil {
		return
	}
	m.world.record.add(m.name, "SIGKILL: %s", why)
	_ = process.Process.Kill()
	<-done
}

// removeForGood has the platform remove the machine.
func (m *machine) removeForGood() {
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	m.kill("the machine is removed for good")
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.ip, readyPort, wire.ReadinessPath), nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
