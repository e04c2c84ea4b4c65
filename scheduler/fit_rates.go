package scheduler

// fitRates holds the processor that runs free per millisecond, by how much processor their target
// then has free: a task waits for runs whose end leaves enough for it.
type fitRates struct {
	rates [bucketCount]int64
	total int64
	// count is the number of runs.
	count int
}

// fitShare is what one run contributes to fitRates.
type fitShare struct {
	bucket int
	rate   int64
}

// fitUnits is how many units stand for a thousandth of a core per millisecond. Whole numbers keep
// additions and subtractions from leaving a remainder.
const fitUnits = 1024

// add counts the runs of an open target.
func (f *fitRates) add(t *target) {
	if f == nil {
		return
	}
	for _, r := range t.runs {
		share := fitShare{bucketOf(t.free.CPU + r.task.step.PerTask.CPU), int64(r.releaseRate * fitUnits)}
		f.rates[share.bucket] += share.rate
		f.total += share.rate
		f.count++
		t.fits = append(t.fits, share)
	}
}

// remove takes back what add has counted for a target.
func (f *fitRates) remove(t *target) {
	for _, share := range t.fits {
		f.rates[share.bucket] -= share.rate
		f.total -= share.rate
		f.count--
	}
	t.fits = t.fits[:0]
}

// fitPrior is how many runs the assumption that all freed processor fits weighs as much as: a few runs
// say little of what the next ones leave free.
const fitPrior = 4

// share returns the share of the freed processor that is freed where a task of a given size fits.
func (f *fitRates) share(each int64) float64 {
	if f.total <= 0 {
		return 1
	}
	fitting := int64(0)
	for _, rate := range f.rates[bucketOf(each):] {
		fitting += rate
	}
	prior := fitPrior / float64(max(f.count, 1))
	return (float64(fitting)/float64(f.total) + prior) / (1 + prior)
}
