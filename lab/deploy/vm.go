package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/tableservice"
)

// plannedStopGrace is how long a daemon may take after SIGTERM to answer the submissions in flight
// and end.
const plannedStopGrace = 35 * time.Second

// entryVM is one entry VM; process is nil while it does not run.
type entryVM struct {
	id, domain            string
	callers, peers, admin netip.AddrPort
	seeds                 []netip.AddrPort
	process               *process
}

// startVM registers the VM as live in the platform's list and starts its daemon.
func (d *Deployment) startVM(vm *entryVM) error {
	if err := d.register(vm, tableservice.StateLive); err != nil {
		return err
	}
	path := filepath.Join(d.dir, vm.id+".jsonc")
	if err := d.settings(vm).write(path); err != nil {
		return err
	}
	p, err := start(vm.id, d.logPath(vm.id), d.options.Daemon, "run", "--settings", path)
	if err != nil {
		return err
	}
	vm.process = p
	return nil
}

func (d *Deployment) settings(vm *entryVM) vmSettings {
	s := vmSettings{
		VMID:           vm.id,
		FailureDomain:  vm.domain,
		FailureDomains: d.options.Domains,
		Listen:         listenSettings{Callers: vm.callers, Peers: vm.peers, Admin: vm.admin},
		Platform:       platformSettings{URL: d.platformURL},
		Peers:          peerSettings{Seeds: vm.seeds},
		Log:            logSettings{Level: d.options.LogLevel},
	}
	if d.options.Policy != "" {
		s.Dispatch = &dispatchSettings{Policy: d.options.Policy}
	}
	return s
}

// register writes the VM into the platform's VM list.
func (d *Deployment) register(vm *entryVM, state tableservice.State) error {
	body, err := json.Marshal(tableservice.VM{
		ID:          vm.id,
		Kind:        tableservice.KindEntry,
		Domain:      vm.domain,
		Address:     vm.callers.String(),
		PeerAddress: vm.peers.String(),
		State:       state,
	})
	if err != nil {
		return err
	}
	_, err = d.call(context.Background(), http.MethodPut, d.platformURL+"/v1/vms/"+vm.id, bytes.NewReader(body))
	return err
}

// VM returns the id of an entry VM, given the indexes of its failure domain and of the VM in it.
func (d *Deployment) VM(domain, i int) string { return d.vms[domain][i].id }

// find returns the running entry VM with the id.
func (d *Deployment) find(id string) (*entryVM, error) {
	for _, vms := range d.vms {
		for _, vm := range vms {
			if vm.id != id {
				continue
			}
			if vm.process == nil {
				return nil, fmt.Errorf("entry VM %s does not run: restart it first", id)
			}
			return vm, nil
		}
	}
	return nil, fmt.Errorf("unknown entry VM %q", id)
}

// Kill ends the daemon of an entry VM at once, as the loss of the VM does. The platform's list
// still shows the VM as live.
func (d *Deployment) Kill(id string) error {
	vm, err := d.find(id)
	if err != nil {
		return err
	}
	if messages, err := d.scrape(context.Background(), vm); err == nil {
		d.messagesOfEnded.add(messages)
	}
	vm.process.kill()
	vm.process = nil
	return nil
}

// Stop makes a planned stop: it marks the VM as leaving in the platform's list, sends its daemon
// SIGTERM and waits for its end.
func (d *Deployment) Stop(id string) error {
	vm, err := d.find(id)
	if err != nil {
		return err
	}
	if err := d.register(vm, tableservice.StateLeaving); err != nil {
		return err
	}
	if messages, err := d.scrape(context.Background(), vm); err == nil {
		d.messagesOfEnded.add(messages)
	}
	err = vm.process.stop(plannedStopGrace)
	vm.process = nil
	return err
}

// Restart starts the daemon of an entry VM that was killed or stopped. The new process has the same
// id and addresses, and no state of the previous one.
func (d *Deployment) Restart(id string) error {
	for _, vms := range d.vms {
		for _, vm := range vms {
			if vm.id == id && vm.process == nil {
				return d.startVM(vm)
			}
		}
	}
	return fmt.Errorf("no entry VM %q that has ended: kill or stop it first", id)
}

// Freeze pauses the daemon of an entry VM with SIGSTOP until Continue.
func (d *Deployment) Freeze(id string) error { return d.signal(id, syscall.SIGSTOP) }

// Continue resumes a daemon that was paused by Freeze.
func (d *Deployment) Continue(id string) error { return d.signal(id, syscall.SIGCONT) }

func (d *Deployment) signal(id string, s syscall.Signal) error {
	vm, err := d.find(id)
	if err != nil {
		return err
	}
	return vm.process.signal(s)
}

// Messages returns how many messages all daemons have sent since the start, by kind. Daemons report
// their counts with a lag of a second, so the counts of a killed daemon lack its last second.
func (d *Deployment) Messages(ctx context.Context) (Messages, error) {
	sum := Messages{}
	sum.add(d.messagesOfEnded)
	for _, vms := range d.vms {
		for _, vm := range vms {
			if vm.process == nil {
				continue
			}
			messages, err := d.scrape(ctx, vm)
			if err != nil {
				return nil, err
			}
			sum.add(messages)
		}
	}
	return sum, nil
}

// scrape reads the counts of sent messages from the metrics of a VM's daemon.
func (d *Deployment) scrape(ctx context.Context, vm *entryVM) (Messages, error) {
	data, err := d.get(ctx, "http://"+vm.admin.String()+"/metrics")
	if err != nil {
		return nil, err
	}
	return parseMessages(bytes.NewReader(data))
}
