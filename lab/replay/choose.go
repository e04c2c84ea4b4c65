package replay

import (
	"time"

	"github.com/burdockward/burdockward/entry"
)

// chooseOwner returns the index of the owner that an entry VM of the caller's failure domain
// chooses by entry.Choose or entry.ChooseBalanced. An owner whose index is in refused, or whose failure domain is
// cordoned, counts as one that has refused the job.
func (w *world) chooseOwner(a *arrival, refused map[int]bool) int {
	candidates := make([]entry.Candidate, len(w.owners))
	for i, o := range w.owners {
		load := w.knownLoad(a, i)
		candidates[i] = entry.Candidate{
			Near:       w.options.OneOwner || i == a.domain,
			Wait:       load.Wait[w.options.Site.Kinds[a.kind].Priority],
			FreeShare:  float64(load.FreeCPU) / float64(max(load.CPU, 1)),
			HasReport:  true,
			AnswerTime: load.AnswerTime,
			HasRefused: refused[i] || o.cordoned,
		}
	}
	if w.options.BalanceDomains {
		return max(entry.ChooseBalanced(candidates, w.random.Float64()).Index, 0)
	}
	return max(entry.Choose(candidates, w.random.Float64()), 0)
}

// hasBetterOwner reports whether an owner outside refused has a shorter wait, at priority 0, than
// the one that a refusal named.
func (w *world) hasBetterOwner(a *arrival, refused map[int]bool, wait time.Duration) bool {
	for i := range w.owners {
		if !refused[i] && w.knownLoad(a, i).Wait[0] < wait {
			return true
		}
	}
	return false
}
