package daemon

import (
	"slices"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/burdockward/burdockward/vmlist"
)

// onList passes a newer VM list to the duties that use it.
func (d *Daemon) onList(list tableservice.List) {
	var targets []dispatch.Target
	var live []membership.ListedVM
	var leaving []string
	for _, vm := range list.VMs {
		switch {
		case vm.Kind == tableservice.KindTarget:
			targets = append(targets, listedTarget(vm))
		case vm.State == tableservice.StateLeaving:
			leaving = append(leaving, vm.ID)
		default:
			live = append(live, membership.ListedVM{ID: vm.ID, Address: vm.PeerAddress})
		}
	}
	d.dispatch.SetTargets(targets)
	d.claims.SetListed(live, leaving)
	d.listed.Store(&live)
	d.setConfigurationMembers()
	d.log.Info("VM list", "version", list.Version, "targets", len(targets), "entry_vms", len(live), "leaving", len(leaving))
}

// vmListPeers returns the other members of the view.
func (d *Daemon) vmListPeers() []vmlist.Peer {
	var peers []vmlist.Peer
	for _, m := range d.claims.View().Members {
		if m.ID != d.settings.VMID {
			peers = append(peers, vmlist.Peer{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address})
		}
	}
	return peers
}

func listedTarget(vm tableservice.VM) dispatch.Target {
	return dispatch.Target{
		ID:      vm.ID,
		Address: vm.Address,
		Rack:    vm.Rack,
		Slots:   vm.Slots,
		Leaving: vm.State == tableservice.StateLeaving,
	}
}

// onConfiguration passes a newer configuration to the duties that use it.
func (d *Daemon) onConfiguration(s *configuration.Snapshot) {
	d.dispatch.SetProfiles(s.Profiles(), s.Teams())
	d.quota.SetTeams(d.quotaTeams(s))
	d.claims.SetDigest(peerpb.Duty_DUTY_CONFIGURATION, d.configuration.Digest())
	d.log.Info("configuration in force", "version", s.Version(), "profiles", len(s.Profiles()), "teams", len(s.Teams()))
}

// setConfigurationMembers sets the VMs that the configuration duty asks: the members of
// the view, and listed VMs that are not members yet. A VM that starts alone waits for
// those for a moment before it serves. Else it could serve an older version than its
// predecessor did.
func (d *Daemon) setConfigurationMembers() {
	view := d.claims.View()
	members := configurationMembers(view.Members)
	if live := d.listed.Load(); live != nil {
		for _, vm := range *live {
			isMember := slices.ContainsFunc(members, func(m configuration.Member) bool { return m.ID == vm.ID })
			if !isMember && vm.ID != d.settings.VMID {
				members = append(members, configuration.Member{ID: vm.ID, Address: vm.Address})
			}
		}
	}
	d.configuration.SetMembers(members)
}

func configurationMembers(members []membership.Member) []configuration.Member {
	converted := make([]configuration.Member, 0, len(members))
	for _, m := range members {
		converted = append(converted, configuration.Member{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address})
	}
	return converted
}
