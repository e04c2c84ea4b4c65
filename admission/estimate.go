package admission

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// seedRunTime is the expected run time before the first observation.
	seedRunTime = 300 * time.Millisecond
	// runGain is the weight of a new run time in the moving averages, and
	// jobGain that of one submission's ratio of run time to declared time. Tasks
	// of one submission are alike, so the averages span many submissions.
	runGain = 0.005
	jobGain = 0.02
	// minRuns and minJobs are the numbers of tasks and of submissions that must
	// have been observed before the percentiles are used, or work is refused by
	// them.
	minRuns = 50
	minJobs = 20
	// evidenceMaxAge is the age of the newest observation beyond which no work is
	// refused by it. Work is then admitted again, and corrects a wrong estimate.
	evidenceMaxAge = 30 * time.Second
	// windowRuns is the number of observations of one histogram window; the
	// percentiles cover the newest one to two windows.
	windowRuns = 4000
	// refreshRuns is the number of observations between two evaluations of the
	// percentiles.
	refreshRuns = 100
	// maxRecordedRun bounds the recorded run times.
	maxRecordedRun = 15 * time.Minute
	// minFinishChance is the chance to finish in time below which work is refused.
	minFinishChance = 0.05
	// initialError is the assumed error, in natural logarithms, of declared times
	// before the first comparison with run times: a factor of e.
	initialError = 1.0
)

// runTimes learns the run times of one profile's tasks, and how well declared
// run times predict them.
type runTimes struct {
	runs     int
	jobs     int // submissions seen
	lastAt   time.Duration
	mean     float64 // seconds
	logMean  float64 // of the run time in seconds
	logError float64 // mean absolute error of logMean as a prediction
	// ratios of run time to declared run time, as logarithms
	compared      int
	declaredBias  float64
	declaredError float64

	window      *hdrhistogram.WindowedHistogram
	merged      *hdrhistogram.Histogram
	windowCount int
}

func newRunTimes() *runTimes {
	return &runTimes{
		mean:          seedRunTime.Seconds(),
		logMean:       math.Log(seedRunTime.Seconds()),
		logError:      initialError,
		declaredError: initialError,
		window:        hdrhistogram.NewWindowed(2, 1, maxRecordedRun.Milliseconds(), 1),
	}
}

// gain returns the weight of observation n, at least the given one. The first
// observations weigh more, so that they soon replace the seed.
func gain(n int, least float64) float64 { return max(least, 1/float64(n+1)) }

// observe records the run time of a task that ran to its end. first says that
// it is the first of its submission. Only that one is compared with its declared
// time, since the declared times of one submission are wrong by the same factor.
func (r *runTimes) observe(now, ran, declared time.Duration, first bool) {
	ran = min(max(ran, time.Millisecond), maxRecordedRun)
	r.lastAt = now
	r.runs++
	g := gain(r.runs, runGain)
	l := math.Log(ran.Seconds())
	r.logError += g * (math.Abs(l-r.logMean) - r.logError)
	r.logMean += g * (l - r.logMean)
	r.mean += g * (ran.Seconds() - r.mean)
	if first {
		r.jobs++
	}
	if first && declared > 0 {
		r.compare(l - math.Log(declared.Seconds()))
	}
	r.record(ran)
}

// compare records the logarithm of the ratio of a run time to its declared time.
func (r *runTimes) compare(ratio float64) {
	r.compared++
	g := gain(r.compared, jobGain)
	r.declaredError += g * (math.Abs(ratio-r.declaredBias) - r.declaredError)
	r.declaredBias += g * (ratio - r.declaredBias)
}

// record adds a run time to the histogram.
func (r *runTimes) record(ran time.Duration) {
	_ = r.window.Current.RecordValue(ran.Milliseconds())
	r.windowCount++
	if r.windowCount == windowRuns {
		r.window.Rotate()
		r.windowCount = 0
	}
	if r.runs%refreshRuns == 0 {
		r.merged = nil
	}
}

// expect returns the expected run time of a task with this declared time. It is
// a mean of the declared and the learned time, weighted by their past errors.
func (r *runTimes) expect(declared time.Duration) time.Duration {
	if declared <= 0 {
		return seconds(r.mean)
	}
	weight := r.declaredWeight()
	l := math.Log(declared.Seconds()) + r.declaredBias
	return seconds(math.Exp(weight*l + (1-weight)*math.Log(r.mean)))
}

// declaredWeight is the weight of declared times, 0 to 1.
func (r *runTimes) declaredWeight() float64 {
	d, l := r.declaredError*r.declaredError, r.logError*r.logError
	if d+l == 0 {
		return 1
	}
	return l / (d + l)
}

// percentile returns a percentile (0 to 100) of the learned run times, or 0
// before there are enough observations.
func (r *runTimes) percentile(p float64) time.Duration {
	if !r.hasEnough() {
		return 0
	}
	if r.merged == nil {
		r.merged = r.window.Merge()
	}
	return time.Duration(r.merged.ValueAtQuantile(p)) * time.Millisecond
}

// hasEnough reports whether enough tasks and submissions were observed.
func (r *runTimes) hasEnough() bool { return r.runs >= minRuns && r.jobs >= minJobs }

// hasFreshEvidence reports whether there are enough recent observations to refuse
// work by them.
func (r *runTimes) hasFreshEvidence(now time.Duration) bool {
	return r.hasEnough() && now-r.lastAt <= evidenceMaxAge
}

// minTime returns the time below which a job of n tasks finishes with a chance
// of less than minFinishChance, even when all its tasks start at once. It is 0
// without fresh evidence. Tasks of one job tend to be alike, so the percentile is
// never above the median.
func (r *runTimes) minTime(now time.Duration, n int) time.Duration {
	if !r.hasFreshEvidence(now) {
		return 0
	}
	p := math.Pow(minFinishChance, 1/float64(n))
	return r.percentile(100 * min(p, 0.5))
}

// exceedsLimit reports whether a task with this declared time is expected to run
// longer than the limit, even if its declared time errs by twice the mean error of
// past ones. A declared time without fresh observations is not enough.
func (r *runTimes) exceedsLimit(now, declared, limit time.Duration) bool {
	if declared <= 0 || limit <= 0 || !r.hasFreshEvidence(now) || r.compared < minJobs {
		return false
	}
	low := math.Log(declared.Seconds()) + r.declaredBias - 2*r.declaredError
	return low > math.Log(limit.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
