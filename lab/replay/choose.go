package replay

import (
	"time"

	"github.com/burdockward/burdockward/entry"
)

// choose asks the entry's own decision which owner takes a job.
func (w *world) choose(a *arrival, full map[int]bool) int {
	candidates := make([]entry.Candidate, len(w.owners))
	for i, o := range w.owners {
		candidates[i] = entry.Candidate{
			Near: w.options.OneOwner || i == a.domain,
			Wait: o.loads.Wait[w.options.Site.Kinds[a.kind].Priority],
			Free: float64(o.loads.FreeCPU) / float64(max(o.loads.CPU, 1)),
			Full: full[i] || o.cordoned,
		}
	}
	return max(entry.Choose(candidates, w.random.Float64()), 0)
}

// better reports whether an owner that hasn't refused is likely to take the job.
func (w *world) better(full map[int]bool, wait time.Duration) bool {
	for i, o := range w.owners {
		if !full[i] && o.loads.Wait[0] < wait {
			return true
		}
	}
	return false
}
