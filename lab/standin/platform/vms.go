package platform

import (
	"maps"
	"slices"
	"time"

	client "github.com/burdockward/burdockward/tableservice"
)

// maxHistory bounds the number of stored states of the VM list, and so the longest lag that can be
// served.
const maxHistory = 4096

// vmList holds earlier states of the VM list, so that it can be served with a lag. It is not safe
// for concurrent use.
type vmList struct {
	vms     map[string]client.VM
	history []vmState
}

// vmState is the VM list as it was from a time until the next state.
type vmState struct {
	at      time.Time
	version uint64
	vms     []client.VM
}

func newVMList(now time.Time) *vmList {
	return &vmList{vms: map[string]client.VM{}, history: []vmState{{at: now}}}
}

// put adds or replaces a VM; a VM that is listed unchanged makes no new version.
func (l *vmList) put(now time.Time, vm client.VM) {
	if l.vms[vm.ID] == vm {
		return
	}
	l.vms[vm.ID] = vm
	l.record(now)
}

func (l *vmList) remove(now time.Time, id string) {
	if _, ok := l.vms[id]; !ok {
		return
	}
	delete(l.vms, id)
	l.record(now)
}

// record appends the present VMs as a new version.
func (l *vmList) record(now time.Time) {
	vms := slices.Collect(maps.Values(l.vms))
	sortVMs(vms)
	last := l.history[len(l.history)-1]
	l.history = append(l.history, vmState{at: now, version: last.version + 1, vms: vms})
	if len(l.history) > maxHistory {
		l.history = slices.Delete(l.history, 0, len(l.history)-maxHistory)
	}
}

// asOf returns the VMs of a failure domain as listed at a time. An empty domain selects all VMs.
func (l *vmList) asOf(at time.Time, domain string) client.List {
	state := l.history[0]
	for _, s := range l.history {
		if s.at.After(at) {
			break
		}
		state = s
	}
	list := client.List{Version: state.version, VMs: []client.VM{}}
	for _, vm := range state.vms {
		if domain == "" || vm.Domain == domain {
			list.VMs = append(list.VMs, vm)
		}
	}
	return list
}
