package placement

import (
	"math"
	"time"
)

const (
	// maxClasses bounds the classes that have a record of their own.
	maxClasses = 1024
	// otherClass is the common record of all further classes.
	otherClass = ""
	// meanWeight is the weight of the newest task in a class's mean.
	meanWeight = 1.0 / 64
	// failureWeight is the weight of the newest task in a class's failure rate.
	failureWeight = 1.0 / 512
	// histogramBuckets cover 0.1 ms to over an hour, each a quarter longer than the
	// one before.
	histogramBuckets = 80
	histogramFirst   = 100 * time.Microsecond
	histogramStep    = 1.25
	// maxHistogramWeight is the weight at which a histogram is halved.
	maxHistogramWeight = 4096
	// p99Interval is the number of tasks between two computations of the
	// percentile.
	p99Interval = 64
	// minP99Samples is how many tasks a percentile needs.
	minP99Samples = 32
)

// lastOutcome is how the newest task of a class ended at a target.
type lastOutcome uint8

const (
	outcomeUnseen lastOutcome = iota
	outcomeGood
	outcomeBad
)

// class is what is learned of one class of work, over all targets.
type class struct {
	logMean     float64
	tasks       int
	histogram   [histogramBuckets]uint32
	weight      uint32
	percentile  time.Duration
	failureRate float64

	// lastOutcomes holds the newest outcome at each target, by its index. seen and
	// bad count the targets with an outcome and with a bad one by rack, allSeen and
	// allBad over all racks.
	lastOutcomes    []lastOutcome
	seen, bad       []int
	allSeen, allBad int
	sinceP99        int
}

// class returns the record of a class of work, a new one when it has none.
func (s *State) class(name string) *class {
	if c := s.classes[name]; c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		name = otherClass
		if c := s.classes[name]; c != nil {
			return c
		}
	}
	c := &class{}
	s.classes[name] = c
	return c
}

// mean returns the geometric mean run time, or 0 before the first task ended.
func (c *class) mean() time.Duration {
	if c.tasks == 0 {
		return 0
	}
	return time.Duration(math.Exp(c.logMean))
}

// recordRuntime adds a run time to the mean and to the histogram.
func (c *class) recordRuntime(runtime time.Duration) {
	runtime = max(runtime, time.Microsecond)
	weight := max(meanWeight, 1/float64(c.tasks+1))
	c.logMean += weight * (math.Log(float64(runtime)) - c.logMean)
	c.tasks++
	c.histogram[histogramBucket(runtime)]++
	c.weight++
	if c.weight >= maxHistogramWeight {
		c.halve()
	}
	c.sinceP99++
	if c.sinceP99 >= p99Interval || c.percentile == 0 && c.weight >= minP99Samples {
		c.sinceP99 = 0
		c.percentile = c.computeP99()
	}
}

// histogramBucket returns the index of the bucket for this run time.
func histogramBucket(d time.Duration) int {
	if d <= histogramFirst {
		return 0
	}
	i := int(math.Log(float64(d)/float64(histogramFirst))/math.Log(histogramStep)) + 1
	return min(i, histogramBuckets-1)
}

// halve halves the weight of all recorded run times.
func (c *class) halve() {
	c.weight = 0
	for i := range c.histogram {
		c.histogram[i] /= 2
		c.weight += c.histogram[i]
	}
}

// p99 returns the 99th percentile of run times, or 0 while there are too few.
func (c *class) p99() time.Duration { return c.percentile }

// computeP99 returns the upper end of the histogram bucket of the percentile.
func (c *class) computeP99() time.Duration {
	if c.weight < minP99Samples {
		return 0
	}
	beyond := c.weight / 100
	var sum uint32
	for i := histogramBuckets - 1; i >= 0; i-- {
		sum += c.histogram[i]
		if sum > beyond {
			return time.Duration(float64(histogramFirst) * math.Pow(histogramStep, float64(i)))
		}
	}
	return 0
}

// recordOutcome records how a task of the class ended at the target.
func (c *class) recordOutcome(t *target, outcome lastOutcome) {
	sample := 0.0
	if outcome == outcomeBad {
		sample = 1
	}
	c.failureRate += failureWeight * (sample - c.failureRate)
	c.setOutcome(t, outcome)
}

// setOutcome replaces the newest outcome at the target, and updates the counts.
func (c *class) setOutcome(t *target, outcome lastOutcome) {
	c.lastOutcomes = grow(c.lastOutcomes, t.index+1)
	c.seen = grow(c.seen, t.rack+1)
	c.bad = grow(c.bad, t.rack+1)
	c.addCount(t.rack, c.lastOutcomes[t.index], -1)
	c.lastOutcomes[t.index] = outcome
	c.addCount(t.rack, outcome, 1)
}

// addCount adds n to the counts of targets with this outcome.
func (c *class) addCount(rack int, outcome lastOutcome, n int) {
	if outcome == outcomeUnseen {
		return
	}
	c.seen[rack] += n
	c.allSeen += n
	if outcome == outcomeBad {
		c.bad[rack] += n
		c.allBad += n
	}
}

// forget removes the outcome of a target.
func (c *class) forget(t *target) {
	if t.index < len(c.lastOutcomes) {
		c.setOutcome(t, outcomeUnseen)
	}
}

// badElsewhere returns the fraction of the targets outside the target's rack at
// which the newest task of the class failed.
func (c *class) badElsewhere(t *target) float64 {
	seen, bad := c.allSeen, c.allBad
	if t.rack < len(c.seen) {
		seen -= c.seen[t.rack]
		bad -= c.bad[t.rack]
	}
	if seen == 0 {
		return 0
	}
	return float64(bad) / float64(seen)
}

// grow appends zero values to the list until it has n items.
func grow[T any](list []T, n int) []T {
	for len(list) < n {
		var zero T
		list = append(list, zero)
	}
	return list
}
