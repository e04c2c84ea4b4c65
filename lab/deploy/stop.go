package deploy

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/tableservice"
)

// Stopped is how the planned stop of an entry VM went.
type Stopped struct {
	VM string
	// Took is the time from SIGTERM to the end of the process.
	Took time.Duration
	// Err says that the process had to be killed or failed.
	Err error
	// Log is what the daemon logged from the signal on.
	Log string
}

// StopTogether asks the daemons of several entry VMs for a planned stop at the same
// time and waits for all of them.
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
