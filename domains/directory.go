// Package domains keeps a few entry VMs of each other failure domain, and asks them to
// burn keys of that domain. A burned key is refused permanently by its home.
//
// Directory decides which VMs to keep and when to read the platform's lists. Exchange
// decides which VMs to ask about one key and which answer counts. Duty reads the lists
// in a goroutine and runs the exchanges. The number of VMs, the rate of reads and the
// time of an exchange are bounded. docs/DESIGN.md, section 7, compares the alternatives.
package domains

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/tableservice"
)

// MaxVMs is the largest number of VMs of one failure domain that are kept from its list,
// and the largest number that are used from the settings.
const MaxVMs = 3

// Times are the intervals of a Directory.
type Times struct {
	// Refresh is the time between two reads of one failure domain's list.
	Refresh time.Duration
	// MinGap is the shortest time between two reads of any list. It doubles with each
	// failed read, up to MaxGap.
	MinGap, MaxGap time.Duration
	// EarlyRefresh is the age at which a list is read again if one of its VMs was silent
	// or it had none.
	EarlyRefresh time.Duration
	// UnreachablePause is how long a failure domain is not asked after none of its VMs
	// answered.
	UnreachablePause time.Duration
}

// DefaultTimes returns intervals that keep the reads of 23 lists far below the bound on
// control work.
func DefaultTimes() Times {
	return Times{
		Refresh:          10 * time.Minute,
		MinGap:           2 * time.Second,
		MaxGap:           time.Minute,
		EarlyRefresh:     10 * time.Second,
		UnreachablePause: 5 * time.Second,
	}
}

// Directory holds a few entry VMs of each other failure domain. It is not safe for
// concurrent use; every call takes the monotonic time since the start.
type Directory struct {
	vm    string
	times Times
	// domains are the other failure domains by name, names their order.
	domains map[string]*remoteDomain
	names   []string
	// reading says that a read is in progress.
	reading  bool
	nextRead time.Duration
	failures int
}

// remoteDomain is the state of one other failure domain.
type remoteDomain struct {
	// version is that of the newest list, readAt the time of the last attempt to read
	// one. read says that one was read.
	version uint64
	read    bool
	readAt  time.Duration
	// stale says that a VM was silent since then, or that none was listed.
	stale bool
	seeds []string
	// addresses are peer addresses in the order in which they are asked.
	addresses []string
	// unreachableUntil is when the failure domain is asked again.
	unreachableUntil time.Duration
}

// NewDirectory returns the directory of a VM. Domains are all failure domains, seeds are
// peer addresses from the settings.
func NewDirectory(vm, domain string, domains []string, seeds map[string][]string, times Times) *Directory {
	d := &Directory{vm: vm, times: times, domains: map[string]*remoteDomain{}}
	for _, name := range domains {
		if name == domain {
			continue
		}
		own := seeds[name]
		own = slices.Clone(own[:min(len(own), MaxVMs)])
		d.domains[name] = &remoteDomain{seeds: own, addresses: slices.Clone(own)}
		d.names = append(d.names, name)
	}
	return d
}

// Due returns the failure domain whose list to read now, and the version of it that is
// known. The caller must call ListRead or ReadFailed after it.
func (d *Directory) Due(now time.Duration) (domain string, since uint64, due bool) {
	if d.reading || now < d.nextRead {
		return "", 0, false
	}
	for _, name := range d.names {
		s := d.domains[name]
		if s.isDue(now, d.times) && (!due || s.readAt < d.domains[domain].readAt) {
			domain, since, due = name, s.version, true
		}
	}
	d.reading = due
	return domain, since, due
}

// isDue reports whether the domain's list must be read.
func (s *remoteDomain) isDue(now time.Duration, times Times) bool {
	age := now - s.readAt
	return !s.read || age >= times.Refresh || s.stale && age >= times.EarlyRefresh
}

// ListRead records the list of a failure domain. A list that is not newer changes no
// address, so that a delayed answer does not bring a removed VM back.
func (d *Directory) ListRead(now time.Duration, domain string, list tableservice.List) {
	d.reading, d.failures, d.nextRead = false, 0, now+d.times.MinGap
	s := d.domains[domain]
	s.read, s.readAt = true, now
	if list.Version > s.version {
		s.version = list.Version
		s.addresses = s.withSeeds(d.choose(domain, list.VMs))
		s.unreachableUntil = 0
	}
	// A failure domain that has just started may have no VM on its list yet.
	s.stale = len(s.addresses) == 0
}

// ReadFailed records that a list could not be read. The known addresses stay.
func (d *Directory) ReadFailed(now time.Duration, domain string) {
	d.reading = false
	// Other lists, which may be readable, are tried first.
	d.domains[domain].readAt = now
	wait := d.times.MinGap
	for range d.failures {
		wait = min(2*wait, d.times.MaxGap)
	}
	d.failures++
	d.nextRead = now + wait
}

// choose returns the addresses of a few live entry VMs of the failure domain. Different
// VMs choose different ones, so that the load spreads.
func (d *Directory) choose(domain string, vms []tableservice.VM) []string {
	ranks := map[string]uint64{}
	for _, vm := range vms {
		if vm.Kind == tableservice.KindEntry && vm.Domain == domain && vm.State == tableservice.StateLive && vm.PeerAddress != "" {
			ranks[vm.PeerAddress] = key.Rank(d.vm, vm.ID)
		}
	}
	addresses := slices.SortedFunc(maps.Keys(ranks), func(a, b string) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b))
	})
	return addresses[:min(len(addresses), MaxVMs)]
}

// withSeeds appends the addresses from the settings.
func (s *remoteDomain) withSeeds(addresses []string) []string {
	for _, seed := range s.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// Candidates returns the addresses to ask in a failure domain, in order. There are none
// when the domain is not known or counts as unreachable.
func (d *Directory) Candidates(now time.Duration, domain string) []string {
	s := d.domains[domain]
	if s == nil || now < s.unreachableUntil {
		return nil
	}
	return slices.Clone(s.addresses)
}

// MarkSilent records that a VM did not answer. Others are asked before it from now on.
func (d *Directory) MarkSilent(domain, address string) {
	s := d.domains[domain]
	if s == nil {
		return
	}
	s.stale = true
	if i := slices.Index(s.addresses, address); i >= 0 {
		s.addresses = append(slices.Delete(s.addresses, i, i+1), address)
	}
}

// MarkUnreachable records that none of the VMs that were asked answered.
func (d *Directory) MarkUnreachable(now time.Duration, domain string) {
	if s := d.domains[domain]; s != nil {
		s.unreachableUntil = now + d.times.UnreachablePause
	}
}

// Addresses returns the addresses of all other failure domains: the first one of each,
// then the second one of each, and so on.
func (d *Directory) Addresses() []string {
	var all []string
	for i := range 2 * MaxVMs {
		for _, name := range d.names {
			if addresses := d.domains[name].addresses; i < len(addresses) {
				all = append(all, addresses[i])
			}
		}
	}
	return all
}
