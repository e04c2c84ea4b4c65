package prepared

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockward/burdockward/lab/usage"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/platform/wire"
)

// Options are the size and the paths of a Deployment.
type Options struct {
	// Binary is the path of the daemon's binary, Dir a folder for settings and logs.
	Binary, Dir string
	// Domains is the number of failure domains; VMs and Targets are numbers in each of them.
	Domains, VMs, Targets int
	// CPUShare is the share of a core that the settings give each VM; 0 stands for
	// defaultCPUShare.
	CPUShare float64
	// CPUShares are shares for the first VMs of each failure domain, in place of CPUShare.
	CPUShares []float64
	// MemoryMB and Descriptors are the limits that the settings give each VM; 0 stands for
	// defaultMemoryMB and for settings without a limit of descriptors.
	MemoryMB, Descriptors int
	// MaxBodyBytes is the operator's bound on the body of a request; 0 means that none is set.
	MaxBodyBytes int64
}

// cpuShare returns the share of a core of a VM of a failure domain.
func (o Options) cpuShare(index int) float64 {
	if index < len(o.CPUShares) {
		return o.CPUShares[index]
	}
	return o.CPUShare
}

// defaultCPUShare is that of the smallest VM of the sites kasa and thapa.
const defaultCPUShare = 0.4

// defaultMemoryMB is the memory of the smallest VM of the sites kasa and thapa.
const defaultMemoryMB = 284

// Ports of the VMs. Each VM has a loopback address of its own.
const (
	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
	firstPort    = 7720
	lastPort     = 7735
)

// MetricsPort is the port at which each VM serves its metrics.
const MetricsPort = 9464

// targetCPU is the capacity of a target, for three tasks at a time.
const targetCPU = 3*taskCPU + taskCPU/2

// Host and Path select the queue without advice, Host and AdvisedPath the one with advice.
const (
	Host        = "queue.example"
	Path        = "/jobs/"
	AdvisedPath = "/advised/"
)

// Deployment is a deployment on this machine: the daemon's processes and the simulated platform.
type Deployment struct {
	options  Options
	Store    *Store
	Recorder *Recorder
	Adviser  *Adviser
	// adviserAddress is where the adviser listens.
	adviserAddress string
	Targets        []*Target
	VMs            []*VM
	servers        []*http.Server
	configured     configured
	cordons        cordons
	// lastingDraws counts the draws of lasting jobs, also those above maxLasting.
	lastingDraws atomic.Int64
	stopped      chan struct{}
}

// VM is an entry VM with its process.
type VM struct {
	Name, Domain, IP string
	// StoreIP is the store's address for this VM alone, so that an outage can affect one VM.
	StoreIP        string
	dir, binary    string
	storeAddress   string
	adviserAddress string
	seeds          string
	domains        int
	cpuShare       float64
	memoryMB       int
	descriptors    int
	inRotation     atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	done    chan error
}

// Frontend is the VM's address for callers.
func (v *VM) Frontend() string { return net.JoinHostPort(v.IP, fmt.Sprint(frontendPort)) }

// OtherAddresses returns the addresses of the VM that are not for callers: those for the calls of other VMs,
// for readiness checks, for metrics and for relayed orders.
func (v *VM) OtherAddresses() (control, ready, metrics, relay string) {
	at := func(port int) string { return net.JoinHostPort(v.IP, fmt.Sprint(port)) }
	return at(controlPort), at(readyPort), at(MetricsPort), at(firstPort)
}

// Start starts the simulated platform and the processes of all VMs.
func Start(o Options) (*Deployment, error) {
	if o.CPUShare == 0 {
		o.CPUShare = defaultCPUShare
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = defaultMemoryMB
	}
	d := &Deployment{options: o, Store: NewStore(), Recorder: NewRecorder(), Adviser: NewAdviser(), stopped: make(chan struct{})}
	d.cordons.since = map[string]time.Time{}
	adviser, err := d.listen("127.0.7.1:0", d.Adviser)
	if err != nil {
		return nil, err
	}
	d.adviserAddress = adviser
	for domain := range o.Domains {
		for i := range o.Targets {
			if err := d.addTarget(domain, i); err != nil {
				return nil, err
			}
		}
		for i := range o.VMs {
			storeIP := fmt.Sprintf("127.0.9.%d", 1+len(d.VMs))
			store, err := d.listen(net.JoinHostPort(storeIP, "0"), d.Store)
			if err != nil {
				return nil, err
			}
			d.VMs = append(d.VMs, &VM{
				Name: fmt.Sprintf("vm-%d-%d", domain, i), Domain: domainName(domain),
				IP: fmt.Sprintf("127.0.%d.%d", 10+domain, 1+i), dir: o.Dir, binary: o.Binary, storeAddress: store, StoreIP: storeIP, adviserAddress: d.adviserAddress, cpuShare: o.cpuShare(i),
				memoryMB: o.MemoryMB, descriptors: o.Descriptors,
			})
		}
	}
	d.Configure()
	var seeds []string
	for _, vm := range d.VMs {
		seeds = append(seeds, net.JoinHostPort(vm.IP, fmt.Sprint(controlPort)))
	}
	for _, vm := range d.VMs {
		vm.seeds = strings.Join(seeds[:min(3, len(seeds))], ",")
		vm.domains = o.Domains
		if err := vm.Start(); err != nil {
			return nil, err
		}
	}
	for _, vm := range d.VMs {
		go d.rotate(vm)
	}
	return d, nil
}

// rotationInterval is the time between two readiness checks of a VM. That of the platform is one
// second.
const rotationInterval = 200 * time.Millisecond

// rotate puts a VM into rotation while it is ready, and takes it out otherwise.
func (d *Deployment) rotate(vm *VM) {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stopped:
			return
		case <-ticker.C:
			vm.inRotation.Store(vm.Ready())
		}
	}
}

// Owner returns the VM that owns a failure domain's targets by the store's claim; nil before the
// first one.
func (d *Deployment) Owner(domain int) *VM {
	claim := d.Store.claim(domainName(domain))
	for _, vm := range d.VMs {
		if claim != nil && vm.Name == claim.GetVm() {
			return vm
		}
	}
	return nil
}

// WaitReady waits until all VMs are ready, and reports whether they were in time.
func (d *Deployment) WaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, vm := range d.VMs {
			if vm.Ready() {
				ready++
			}
		}
		if ready == len(d.VMs) {
			return true
		}
	}
	return false
}

// domainName is the name of the failure domain with an index.
func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// listen serves HTTP at an address until Stop, and returns the address with its port.
func (d *Deployment) listen(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addTarget starts a target and registers it.
func (d *Deployment) addTarget(domain, index int) error {
	t := NewTarget(fmt.Sprintf("i-%d-%d", domain, index), targetCPU, d.Recorder, d.Adviser)
	address, err := d.listen("127.0.8.1:0", t)
	if err != nil {
		return err
	}
	t.entry = wire.Target{
		Service: "service", Address: address, Zone: domainName(domain), State: wire.StateReady,
		Capacity: wire.Capacity{Resources: wire.Resources{CPU: targetCPU, MemoryMB: 1 << 10}},
	}
	t.onStart = func(task string) { d.checkStart(t.entry.Zone, task) }
	d.Targets = append(d.Targets, t)
	d.register(t)
	return nil
}

// register writes a target's row of the registry.
func (d *Deployment) register(t *Target) { d.Store.Write(wire.TargetsTable, t.ID, t.entry) }

// Stop kills all processes and closes all servers.
func (d *Deployment) Stop() {
	close(d.stopped)
	for _, vm := range d.VMs {
		vm.Kill()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
}

// Start writes the VM's settings and starts its process.
func (v *VM) Start() error {
	settings := filepath.Join(v.dir, v.Name+".conf")
	if err := os.WriteFile(settings, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(v.binary, "serve", "--metrics-port", strconv.Itoa(MetricsPort))
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- process.Wait() }()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.done = process, done
	return nil
}

// Log returns the path of the file with the process's output.
func (v *VM) Log() string { return filepath.Join(v.dir, v.Name+".log") }

// settings returns the content of the VM's settings file.
func (v *VM) settings() string {
	lines := []string{
		"node_name=" + v.Name, "zone=" + v.Domain, "ip=" + v.IP,
		"listen.frontend=" + v.Frontend(),
		fmt.Sprintf("listen.ready=%s:%d", v.IP, readyPort),
		fmt.Sprintf("listen.control_plane=%s:%d", v.IP, controlPort),
		fmt.Sprintf("port_range=%d,%d", firstPort, lastPort),
		"seeds=" + v.seeds, "platform.address=" + v.storeAddress, "advice=" + v.adviserAddress,
		fmt.Sprintf("limits.cpu_share=%g", v.cpuShare), fmt.Sprintf("limits.memory_mb=%d", v.memoryMB), "bounds.grace_s=6", "unknown.key=ignored",
		fmt.Sprintf("bounds.config_apply_ms=%d", configurationBound.Milliseconds()),
	}
	if v.descriptors > 0 {
		lines = append(lines, fmt.Sprintf("limits.max_fds=%d", v.descriptors))
	}
	for i := range v.domains {
		lines = append(lines, "zones."+domainName(i)+"=region")
	}
	return strings.Join(lines, "\n") + "\n"
}

// Signal sends a signal to the process, if there is one.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(signal)
	}
}

// errNoProcess means that a VM has no process.
var errNoProcess = errors.New("the VM has no process: start it first")

// Usage returns what the VM's process takes of the machine. It fails if the process has ended.
func (v *VM) Usage() (usage.Usage, error) {
	v.mu.Lock()
	process := v.process
	v.mu.Unlock()
	if process == nil {
		return usage.Usage{}, errNoProcess
	}
	return usage.Of(process.Process.Pid)
}

// LimitMemory ends the process once it allocates more than a number of bytes, so that a fault doesn't use up
// the memory of the machine that runs the test.
func (v *VM) LimitMemory(bytes uint64) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := unix.Rlimit{Cur: bytes, Max: bytes}
	return unix.Prlimit(v.process.Process.Pid, unix.RLIMIT_DATA, &limit, nil)
}

// HasEnded reports whether the process has ended without being killed or waited for.
func (v *VM) HasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.done) > 0
}

// Kill kills the process and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	_ = v.Wait(context.Background())
}

// Wait waits for the end of the process and returns its error; nil if there is no process.
func (v *VM) Wait(ctx context.Context) error {
	v.mu.Lock()
	done := v.done
	v.done, v.process = nil, nil
	v.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether the VM answers a readiness check with 200.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", v.IP, readyPort, wire.ReadinessPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
