package e2e

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/prepared"
)

// relayingCPUShare is the share of a core at which a VM can serve three targets, so that owners
// need relays.
const relayingCPUShare = 0.01

// startWithRelays starts a deployment and waits until two VMs relay orders.
func startWithRelays(t *testing.T) *prepared.Deployment {
	t.Helper()
	d := startWith(t, prepared.Options{Domains: 2, VMs: 4, Targets: 8, CPUShare: relayingCPUShare})
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if len(findRelays(t, d)) >= 2 {
			return d
		}
	}
	t.Fatal("fewer than two VMs relay orders in time")
	return nil
}

// findRelays returns the VMs that have relayed orders for an owner and own no targets now.
func findRelays(t *testing.T, d *prepared.Deployment) []*prepared.VM {
	t.Helper()
	var found []*prepared.VM
	for _, vm := range d.VMs {
		log, err := os.ReadFile(vm.Log())
		must.NoError(t, err)
		if strings.Contains(string(log), `"msg":"carrying orders"`) && vm != d.Owner(0) && vm != d.Owner(1) {
			found = append(found, vm)
		}
	}
	return found
}

func TestLoadThroughRelaysIsServedCompletely(t *testing.T) {
	d := startWithRelays(t)
	result := withLoad(t, d, func() { wait(2 * time.Second) })
	must.Eq(t, 0, result.Refused+result.Failed+result.Resent)
}

func TestJobsAreAnsweredDespiteLostAndFrozenRelays(t *testing.T) {
	d := startWithRelays(t)
	withLoad(t, d, func() {
		wait(500 * time.Millisecond)
		serving := findRelays(t, d)
		serving[0].Kill()
		serving[1].Signal(syscall.SIGSTOP)
		wait(1500 * time.Millisecond)
		serving[1].Signal(syscall.SIGCONT)
		must.NoError(t, serving[0].Start())
		wait(1500 * time.Millisecond)
	})
}

func TestPlannedStopOfRelayInterruptsNoJob(t *testing.T) {
	d := startWithRelays(t)
	result := withLoad(t, d, func() {
		wait(500 * time.Millisecond)
		vm := findRelays(t, d)[0]
		vm.Signal(syscall.SIGTERM)
		must.NoError(t, vm.Wait(t.Context()))
		wait(time.Second)
	})
	must.Eq(t, 0, result.Failed+result.Resent)
}

func TestKilledOwnerWithRelaysIsReplaced(t *testing.T) {
	d := startWithRelays(t)
	withLoad(t, d, func() {
		wait(500 * time.Millisecond)
		owner := d.Owner(0)
		owner.Kill()
		wait(2 * time.Second)
		must.NotEq(t, owner, d.Owner(0))
	})
}
