// Package cordon holds which failure domains the operator has cordoned: nothing is started
// on their targets until the cordon is taken back, and what runs there ends there.
//
// A View is the operator's word as of one version of the store. Of two views the one with
// the higher version holds, wherever it came from: the store itself, or another VM where the
// store turns this one away. So an old word neither lifts a cordon nor brings one back.
package cordon

import (
	"slices"
	"sync"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

// View is which failure domains are cordoned as of one version of the store. It doesn't
// change.
type View struct {
	// Version is the store's; 0 says that nothing is known.
	Version int64
	// Domains are the cordoned failure domains in ascending order.
	Domains []string
}

// Known reports whether the view says anything.
func (v View) Known() bool { return v.Version > 0 }

// Has reports whether a failure domain is cordoned.
func (v View) Has(domain string) bool { return slices.Contains(v.Domains, domain) }

// Wire is the view as VMs tell each other; nil while nothing is known.
func (v View) Wire() *linkpb.Cordons {
	if !v.Known() {
		return nil
	}
	return &linkpb.Cordons{Version: v.Version, Domains: v.Domains}
}

// FromWire is the view that another VM tells of.
func FromWire(w *linkpb.Cordons) View {
	return View{Version: w.GetVersion(), Domains: w.GetDomains()}
}

// Reader makes views of what the store tells of the operator's table.
type Reader struct {
	// domains are the cordoned ones as of the newest update.
	domains map[string]bool
	// Ignored is told of each row that names no failure domain of the deployment.
	Ignored func(row platform.Row, err error)
}

// Take returns the view after an update.
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

// Board holds the newest view that this process has seen. It is safe for concurrent use.
type Board struct {
	// Changed is told each view that says something else than the one before, and where it
	// came from, one at a time.
	Changed func(from string, before, after View)

	mu   sync.Mutex
	view View
}

// View is the newest view.
func (b *Board) View() View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// Offer takes a view that is newer than the one held.
func (b *Board) Offer(view View, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if view.Version <= b.view.Version {
		return
	}
	before := b.view
	b.view = view
	if !before.Known() || !slices.Equal(before.Domains, view.Domains) {
		b.Changed(from, before, view)
	}
}
