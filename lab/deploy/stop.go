package deploy

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/tableservice"
)

// Stopped is the result of a planned stop of an entry VM.
type Stopped struct {
	VM string
	// Took is the time from SIGTERM to the end of the process.
	Took time.Duration
	// Err is set when the process had to be killed or failed.
	Err error
	// Log is what the daemon logged after the signal.
	Log string
}

// StopTogether marks several entry VMs as leaving in the VM list, then stops their daemons
// concurrently and waits for all of them.
func (d *Deployment) StopTogether(ids ...string) ([]Stopped, error) {
	var vms []*entryVM
	for _, id := range ids {
		vm, err := d.find(id)
		if err != nil {
			return nil, err
		}
		if err := d.register(vm, tableservice.StateLeaving); err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	stopped := make([]Stopped, len(vms))
	var all errgroup.Group
	for i, vm := range vms {
		all.Go(func() error {
			var err error
			stopped[i], err = vm.stopTimed()
			return err
		})
	}
	return stopped, all.Wait()
}

// stopTimed stops the daemon and returns how long that took and what it logged meanwhile.
func (vm *entryVM) stopTimed() (Stopped, error) {
	before, err := os.ReadFile(vm.process.logPath)
	if err != nil {
		return Stopped{}, err
	}
	began := time.Now()
	s := Stopped{VM: vm.id, Err: vm.process.stop(plannedStopGrace), Took: time.Since(began)}
	after, err := os.ReadFile(vm.process.logPath)
	vm.process = nil
	s.Log = strings.TrimPrefix(string(after), string(before))
	return s, err
}
