package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/prepared"
)

// awaitOwner waits until one of the given VMs owns the targets of the only failure domain.
func awaitOwner(t *testing.T, d *prepared.Deployment, vms []*prepared.VM) *prepared.VM {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, vm := range vms {
			if vm == d.Owner(0) && vm.Ready() {
				return vm
			}
		}
	}
	t.Fatal("another VM owns the targets: ", d.Owner(0).Name)
	return nil
}

// The weak VMs start first. One of the strongest VMs becomes the owner before there are jobs, after all VMs were lost,
// and after the death of an owner; and by a handover when both strong VMs were away.
func TestStrongestVMBecomesOwner(t *testing.T) {
	d := startWith(t, prepared.Options{Domains: 1, VMs: 4, Targets: 3, CPUShares: []float64{0.48, 0.144, 0.8, 0.8}})
	awaitOwner(t, d, d.VMs[2:])
	for _, vm := range d.VMs {
		vm.Kill()
	}
	for _, vm := range d.VMs {
		must.NoError(t, vm.Start())
	}
	must.True(t, d.WaitReady(readyTimeout))
	awaitOwner(t, d, d.VMs[2:]).Kill()
	awaitOwner(t, d, d.VMs[2:]).Kill()
	awaitOwner(t, d, d.VMs[:1])
	for _, vm := range d.VMs[2:] {
		must.NoError(t, vm.Start())
	}
	awaitOwner(t, d, d.VMs[2:])
}
