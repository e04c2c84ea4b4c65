package daemon

import (
	"net/netip"

	"github.com/burdockward/burdockward/domains"
)

// newDomains returns the duty that keeps entry VMs of the other failure domains. The
// configuration duty asks those VMs while the store is down.
func (d *Daemon) newDomains() *domains.Duty {
	seeds := map[string][]string{}
	for domain, addresses := range d.settings.Peers.DomainSeeds {
		seeds[domain] = addressTexts(addresses)
	}
	return domains.New(domains.Options{
		Directory:   domains.NewDirectory(d.settings.VMID, d.settings.FailureDomain, d.settings.FailureDomains, seeds, domains.DefaultTimes()),
		Source:      d.platform,
		Peers:       d.peers,
		Now:         d.now,
		OnAddresses: func(addresses []string) { d.configuration.SetRemotes(addresses) },
		Log:         d.log,
		Scope:       d.telemetry.Scope(),
	})
}

func addressTexts(addresses []netip.AddrPort) []string {
	texts := make([]string, 0, len(addresses))
	for _, a := range addresses {
		texts = append(texts, a.String())
	}
	return texts
}
