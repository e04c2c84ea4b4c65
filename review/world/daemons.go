package main

import (
	"bufio"
	"context"
	"fmt"
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

	"github.com/burdockward/burdockward/platform/wire"
)

// Ports of each daemon. Each has a loopback address of its own.
const (
	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
	firstPort    = 7720
	lastPort     = 7735
)

// daemon is a process of the project on a machine of its own.
type daemon struct {
	w              *world
	name, zone, ip string
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// inRotation and misses are what the platform knows of its readiness.
	inRotation bool
	misses     int
	// down is set while the process is not meant to run.
	down bool
	// crashes counts ends of the process that this program did not cause.
	crashes int
}

// commandLine returns the command of the deploy file's role, split at spaces.
func commandLine(repo string) ([]string, error) {
	file, err := os.Open(filepath.Join(repo, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if name, value, ok := strings.Cut(scanner.Text(), "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file names no command")
}

// freeSubnet returns the first three numbers of loopback addresses that are free on all ports.
func freeSubnet(hosts int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for host := 1; host <= hosts && free; host++ {
			for _, port := range []int{frontendPort, readyPort, controlPort, firstPort, 9464} {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", subnet, host, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// writeSettings writes the settings file in the platform's format, with the bounds of kasa-sofia.
func (w *world) writeSettings(d *daemon, seeds []string) error {
	lines := []string{
		"node_name=" + d.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=" + d.ip, "zone=" + d.zone, "region=" + region,
		"listen.frontend=" + d.address(frontendPort), "listen.ready=" + d.address(readyPort), "listen.control_plane=" + d.address(controlPort),
		fmt.Sprintf("port_range=%d,%d", firstPort, lastPort), "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "fault_counted=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250",
		"bounds.max_stretch_ms=5000", "bounds.recovery_s=12", "bounds.hold_max_ms=1000", "bounds.stop_ms=50", "bounds.gang_wait_ms=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_factor=3",
		"bounds.save_interval_s=2", "bounds.restore_ms=600", "bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.upkeep_s=2",
		"bounds.fencing_required=false", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.pace_ms=100", "bounds.harm_ms=4000",
		"bounds.resend_ms=1300", "orders=call", "platform.address=" + w.storeAddress, "platform.form=table", "platform.writes_per_s=800",
		"platform.reads_per_s=2000", "platform.tx_ms=5.0", "platform.part_writes_s=200", "platform.row_bytes=65536", "platform.across=false",
		"platform.history_s=20", "platform.blob_bytes=8388608", "platform.blob_ms=25.0", "platform.blob_mb_s=80.0", "cloud_api.duties=",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"="+region)
	}
	return os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(d.w.command[0], d.w.command[1:]...)
	process.Dir = d.w.repo
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.w.dir, "LANG=C", "BURDOCKWARD_NODE_FILE=" + d.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.exited, d.down = process, exited, false
	d.mu.Unlock()
	go func() {
		err := process.Wait()
		d.mu.Lock()
		if !d.down {
			d.crashes++
			d.w.rec.line("daemon %s ended by itself: %v", d.name, err)
		}
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process; SIGKILL and SIGTERM end it until start is called.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		d.down = true
	}
	if d.process != nil {
		_ = d.process.Process.Signal(signal)
	}
}

// wait waits until the process has ended.
func (d *daemon) wait(limit time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// rotate asks for the daemon's readiness once a second, as the platform does.
func (d *daemon) rotate(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for ctx.Err() == nil {
		ready := false
		if response, err := client.Get("http://" + d.address(readyPort) + wire.ReadinessPath); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		d.mu.Lock()
		if ready {
			d.inRotation, d.misses = true, 0
		} else if d.misses++; d.misses >= 2 {
			d.inRotation = false
		}
		d.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (d *daemon) isInRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inRotation
}
