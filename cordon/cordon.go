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
func (v View) Known() bool { return v.Version > 0 }

// IsCordoned reports whether a failure domain is cordoned.
func (v View) Has(domain string) bool { return slices.Contains(v.Domains, domain) }

// ToWire returns the view as a message between VMs; nil while nothing is known.
func (v View) Wire() *linkpb.Cordons {
	if !v.Known() {
		return nil
	}
	return &linkpb.Cordons{Version: v.Version, Domains: v.Domains}
}

// FromWire returns the view in a message of another VM.
func FromWire(w *linkpb.Cordons) View {
	return View{Version: w.GetVersion(), Domains: w.GetDomains()}
}

// Reader makes views from the updates of the operator's table.
type Reader struct {
	// cordoned holds the cordoned failure domains as of the newest update.
	domains map[string]bool
	// RowIgnored is called for each cordon row that names no failure domain.
	Ignored func(row platform.Row, err error)
}

// Apply applies an update and returns the view after it.
func (r *Reader) Take(update mirror.Update) View {
	if update.Whole || r.domains == nil {
		r.domains = map[string]bool{}
	}
	for _, row := range update.Rows.Rows {
		domain, is, err := platform.DecodeCordon(row)
		switch {
		case !is:
		case err != nil:
			r.Ignored(row, err)
		case row.Deleted:
			delete(r.domains, domain)
		default:
			r.domains[domain] = true
		}
	}
	view := View{Version: update.Version}
	for domain := range r.domains {
		view.Domains = append(view.Domains, domain)
	}
	slices.Sort(view.Domains)
	return view
}

// LatestView holds the newest view that this process has seen. It is safe for concurrent use.
type Board struct {
	// Changed is called, one call at a time, for the first known view and for each view that
	// differs from the one before; from says where the view came from.
	Changed func(from string, before, after View)

	mu   sync.Mutex
	view View
}

// View returns the newest view.
func (l *Board) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// Update replaces the view by one with a higher version and ignores any other.
func (l *Board) Offer(view View, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if view.Version <= l.view.Version {
		return
	}
	before := l.view
	l.view = view
	if !before.Known() || !slices.Equal(before.Domains, view.Domains) {
		l.Changed(from, before, view)
	}
}
