package platform

import (
	"maps"
	"slices"
	"time"

	client "github.com/burdockward/burdockward/tableservice"
)

// maxHistory bounds the old states of the VM list, and with it the lag that can
// be shown.
const maxHistory = 4096

// vmList keeps old states of the VM list, so that it can be served with a lag. It
// is not safe for concurrent use.
type vmList struct {
	vms     map[string]client.VM
	history []vmState
}

type vmState struct {
	at      time.Time
	version uint64
	vms     []client.VM
}

func newVMList(now time.Time) *vmList {
	return &vmList{vms: map[string]client.VM{}, history: []vmState{{at: now}}}
}

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

func (l *vmList) record(now time.Time) {
	vms := slices.Collect(maps.Values(l.vms))
	sortVMs(vms)
	last := l.history[len(l.history)-1]
	l.history = append(l.history, vmState{at: now, version: last.version + 1, vms: vms})
	if len(l.history) > maxHistory {
		l.history = slices.Delete(l.history, 0, len(l.history)-maxHistory)
	}
}

// asOf returns the VMs of a failure domain (all when empty) as listed at a time.
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
