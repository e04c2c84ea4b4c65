package replay

import (
	"time"

	"github.com/burdockward/burdockward/entry"
)

// chooseOwner returns the index of the owner that an entry VM of the caller's failure domain
// chooses by entry.Choose. An owner whose index is in refused, or whose failure domain is
// cordoned, counts as one that has refused the job.
func (w *world) chooseOwner(a *arrival, refused map[int]bool) int {
	candidates := make([]entry.Candidate, len(w.owners))
	for i, o := range w.owners {
		candidates[i] = entry.Candidate{
			Near:       w.options.OneOwner || i == a.domain,
			Wait:       o.load.Wait[w.options.Site.Kinds[a.kind].Priority],
			FreeShare:  float64(o.load.FreeCPU) / float64(max(o.load.CPU, 1)),
			HasRefused: refused[i] || o.cordoned,
		}
	}
	return max(entry.Choose(candidates, w.random.Float64()), 0)
}

// hasBetterOwner reports whether an owner outside refused has a shorter wait, at priority 0, than
// the one that a refusal named.
func (w *world) hasBetterOwner(refused map[int]bool, wait time.Duration) bool {
	for i, o := range w.owners {
		if !refused[i] && o.load.Wait[0] < wait {
			return true
		}
	}
	return false
}
