// Package deploy starts a deployment of burdockward on the loopback interface: the platform's
// stand-in, the targets of each failure domain and each entry VM as separate processes. It injects
// faults into them and collects their counters.
//
// Close ends every process that Start started and removes their files. A failed Start does so too.
package deploy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/lab/load"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/tableservice"
)

const (
	// callTimeout bounds a call to a stand-in or an admin port.
	callTimeout = 5 * time.Second
	// readyTimeout bounds the wait for entry VMs to serve.
	readyTimeout = 30 * time.Second
	readyPause   = 50 * time.Millisecond
	portsOfVM    = 3
)

// Options describes a deployment.
type Options struct {
	Binaries
	// Domains names the failure domains.
	Domains []string
	// VMs, Targets and Slots are the entry VMs of a failure domain, the targets
	// of a failure domain and the slots of a target.
	VMs, Targets, Slots int
	// Policy names how the daemons choose targets; empty is their default.
	Policy string
	// Profiles are applied before the VMs start.
	Profiles []profile.Profile
	// LogLevel is that of the daemons.
	LogLevel string
}

// Deployment is a running deployment. It is for use by one goroutine.
type Deployment struct {
	options     Options
	dir         string
	platform    *process
	platformURL string
	targets     []*targetGroup
	// vms holds the entry VMs by failure domain.
	vms  [][]*entryVM
	http *http.Client
	// messagesOfEnded holds the last known counts of daemons that were killed or stopped.
	messagesOfEnded Messages
}

// Start starts a deployment and waits until every entry VM is ready. On an error it ends all
// processes and removes all files before it returns.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "burdockward-lab-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		options:         options,
		dir:             dir,
		http:            &http.Client{Timeout: callTimeout},
		messagesOfEnded: Messages{},
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	steps := []func(context.Context) error{d.startPlatform, d.applyProfiles, d.startTargets, d.startVMs, d.WaitReady}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) logPath(name string) string { return filepath.Join(d.dir, name+".log") }

func (d *Deployment) startPlatform(context.Context) error {
	p, err := start("platform", d.logPath("platform"), d.options.Lab, "platform")
	if err != nil {
		return err
	}
	d.platform = p
	var line struct {
		URL string `json:"url"`
	}
	err = p.firstLine(&line)
	d.platformURL = line.URL
	return err
}

// applyProfiles commits the profiles to the configuration in the platform's tables.
func (d *Deployment) applyProfiles(ctx context.Context) error {
	client, err := tableservice.New(tableservice.Options{URL: d.platformURL})
	if err != nil {
		return err
	}
	defer client.Close()
	editor := &configuration.Editor{Tables: client}
	current, err := editor.Read(ctx)
	if err != nil {
		return err
	}
	change := configuration.Change{ID: "lab", Operator: "lab", Time: time.Now().UTC().Format(time.RFC3339)}
	for _, p := range d.options.Profiles {
		change.Edits = append(change.Edits, configuration.Edit{Kind: configuration.KindProfile, Name: p.Name, Profile: &p})
	}
	_, err = editor.Commit(ctx, current, change)
	return err
}

// startVMs starts the entry VMs of all failure domains, without waiting until they are ready.
func (d *Deployment) startVMs(context.Context) error {
	ports, err := freePorts(portsOfVM * d.options.VMs * len(d.options.Domains))
	if err != nil {
		return err
	}
	for _, domain := range d.options.Domains {
		n := portsOfVM * d.options.VMs
		d.vms = append(d.vms, d.planVMs(domain, ports[:n]))
		ports = ports[n:]
	}
	for _, vms := range d.vms {
		for _, vm := range vms {
			if err := d.startVM(vm); err != nil {
				return err
			}
		}
	}
	return nil
}

// planVMs assigns ids and ports to the entry VMs of a failure domain. Each has all as seeds.
func (d *Deployment) planVMs(domain string, ports []netip.AddrPort) []*entryVM {
	var vms []*entryVM
	var seeds []netip.AddrPort
	for i := range d.options.VMs {
		vm := &entryVM{
			id:      fmt.Sprintf("%s-%d", domain, i),
			domain:  domain,
			callers: ports[portsOfVM*i],
			peers:   ports[portsOfVM*i+1],
			admin:   ports[portsOfVM*i+2],
		}
		vms = append(vms, vm)
		seeds = append(seeds, vm.peers)
	}
	for _, vm := range vms {
		vm.seeds = seeds
	}
	return vms
}

// WaitReady waits until every entry VM that runs is ready to serve.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, vms := range d.vms {
		for _, vm := range vms {
			if vm.process == nil {
				continue
			}
			if err := d.waitReady(ctx, vm); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) waitReady(ctx context.Context, vm *entryVM) error {
	for {
		if !vm.process.running() {
			return vm.process.failure("ended before it was ready")
		}
		if _, err := d.get(ctx, "http://"+vm.callers.String()+"/readyz"); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return vm.process.failure("is not ready: " + ctx.Err().Error())
		case <-time.After(readyPause):
		}
	}
}

// get returns the body of a URL; a status other than 2xx is an error.
func (d *Deployment) get(ctx context.Context, url string) ([]byte, error) {
	return d.call(ctx, http.MethodGet, url, nil)
}

func (d *Deployment) call(ctx context.Context, method, url string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, data)
	}
	return data, nil
}

// Domains returns the failure domains as callers see them.
func (d *Deployment) Domains() []load.Domain {
	var domains []load.Domain
	for i, vms := range d.vms {
		domain := load.Domain{Name: d.options.Domains[i]}
		for _, vm := range vms {
			domain.Entries = append(domain.Entries, "http://"+vm.callers.String())
		}
		domains = append(domains, domain)
	}
	return domains
}

// Close ends all processes and removes all files. Entry VMs stop first, since they need the other
// processes to finish their work. The error names the processes that had to be killed or failed.
func (d *Deployment) Close() error {
	var vms, others []*process
	for _, domain := range d.vms {
		for _, vm := range domain {
			vms = append(vms, vm.process)
		}
	}
	for _, t := range d.targets {
		others = append(others, t.process)
	}
	others = append(others, d.platform)
	err := errors.Join(stopAll(vms), stopAll(others))
	d.http.CloseIdleConnections()
	return errors.Join(err, os.RemoveAll(d.dir))
}

// stopAll stops processes concurrently. It skips nil ones and those that have ended.
func stopAll(processes []*process) error {
	var all errgroup.Group
	errs := make([]error, len(processes))
	for i, p := range processes {
		if p == nil || !p.running() {
			continue
		}
		all.Go(func() error {
			errs[i] = p.stop(stopGrace)
			return nil
		})
	}
	_ = all.Wait()
	return errors.Join(errs...)
}
