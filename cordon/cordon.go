// Package cordon holds which failure domains the operator has cordoned: nothing is started on
// their targets until the cordon is removed, and what runs there runs to its end.
//
// Its inputs are the rows of the operator's table and the views of other VMs, which are needed
// while the store refuses this VM. Its outputs are the newest View and a call for each change. A
// View is the set of cordons at one version of the store. The View with the higher version always
// wins, wherever it came from, so an outdated one neither removes a cordon nor restores one.
package cordon

import (
	"slices"
	"sync"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

// View is the set of cordoned failure domains at one version of the store. It is immutable.
type View struct {
	// Version is the version of the store; 0 means that nothing is known.
	Version int64
	// Domains lists the cordoned failure domains in ascending order.
	Domains []string
}

// IsKnown reports whether the view was read from the store, by this VM or another one.
func (v View) IsKnown() bool { return v.Version > 0 }

// IsCordoned reports whether a failure domain is cordoned.
func (v View) IsCordoned(domain string) bool { return slices.Contains(v.Domains, domain) }

// ToWire returns the view as a message between VMs; nil while nothing is known.
func (v View) ToWire() *linkpb.Cordons {
	if !v.IsKnown() {
		return nil
	}
	return &linkpb.Cordons{Version: v.Version, Domains: v.Domains}
}

// FromWire returns the view in a message of another VM.
func FromWire(w *linkpb.Cordons) View {
	return View{Version: w.GetVersion(), Domains: w.GetDomains()}
}

// ErrUnknownDomain means that a row cordons a failure domain that the deployment doesn't have. Each VM sends
// the cordons in each heartbeat, which has to fit a datagram.
const ErrUnknownDomain = errs.Tag("unknown failure domain")

// Reader makes views from the updates of the operator's table.
type Reader struct {
	// Domains are the failure domains of the deployment: others can't be cordoned. Empty stands for any.
	Domains []string
	// cordoned holds the cordoned failure domains as of the newest update.
	cordoned map[string]bool
	// RowIgnored is called for each cordon row that names no failure domain, or an unknown one.
	RowIgnored func(row platform.Row, err error)
}

// Apply applies an update and returns the view after it.
func (r *Reader) Apply(update mirror.Update) View {
	if update.Snapshot || r.cordoned == nil {
		r.cordoned = map[string]bool{}
	}
	for _, row := range update.Rows.Rows {
		domain, is, err := platform.DecodeCordon(row)
		switch {
		case !is:
		case err != nil:
			r.RowIgnored(row, err)
		case row.Deleted:
			delete(r.cordoned, domain)
		case len(r.Domains) > 0 && !slices.Contains(r.Domains, domain):
			r.RowIgnored(row, ErrUnknownDomain.Errorf("failure domain %q is none of %v: write the name of one", domain, r.Domains))
		default:
			r.cordoned[domain] = true
		}
	}
	view := View{Version: update.Version}
	for domain := range r.cordoned {
		view.Domains = append(view.Domains, domain)
	}
	slices.Sort(view.Domains)
	return view
}

// LatestView holds the newest view that this process has seen. It is safe for concurrent use.
type LatestView struct {
	// Changed is called, one call at a time, for the first known view and for each view that
	// differs from the one before; from says where the view came from.
	Changed func(from string, before, after View)

	mu   sync.Mutex
	view View
}

// View returns the newest view.
func (l *LatestView) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// Update replaces the view by one with a higher version and ignores any other.
func (l *LatestView) Update(view View, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if view.Version <= l.view.Version {
		return
	}
	before := l.view
	l.view = view
	if !before.IsKnown() || !slices.Equal(before.Domains, view.Domains) {
		l.Changed(from, before, view)
	}
}
