package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxKinds bounds the kinds of one counter; later ones count as otherKind.
	maxKinds = 32
	// otherKind is the kind under which events of further kinds are counted.
	otherKind = "other"
	// kindTag is the tag of a counter's kind.
	kindTag = "kind"
)

// Counters are the metrics of one duty. Names are fixed texts in snake case.
// All methods may be called from several goroutines at once.
type Counters interface {
	// Add counts n events. The kind distinguishes the events of one name; it is
	// one of a small fixed set, such as a failure kind, or empty. The metric's
	// name ends in _total.
	Add(name, kind string, n int64)
	// Set sets the value of a gauge.
	Set(name string, value float64)
	// Observe adds a duration to a histogram with buckets from 1 ms to 33 s.
	// The metric's name ends in _seconds.
	Observe(name string, d time.Duration)
}

// durationBuckets doubles from 1 ms to 33 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Counters returns the metrics of a duty. The duty's name becomes a part of their
// names. Call it once for each duty.
func (t *Telemetry) Counters(duty string) Counters {
	return &scopeCounters{
		scope:      t.scope.SubScope(duty),
		counters:   map[counterKey]tally.Counter{},
		kinds:      map[string]int{},
		gauges:     map[string]tally.Gauge{},
		histograms: map[string]tally.Histogram{},
	}
}

type counterKey struct{ name, kind string }

// scopeCounters implements Counters. It keeps the metrics that it created, since
// tally builds a string for each look-up of a tagged one.
type scopeCounters struct {
	scope tally.Scope

	mu         sync.RWMutex
	counters   map[counterKey]tally.Counter
	kinds      map[string]int
	gauges     map[string]tally.Gauge
	histograms map[string]tally.Histogram
}

func (c *scopeCounters) Add(name, kind string, n int64) {
	id := counterKey{name, kind}
	c.mu.RLock()
	counter, known := c.counters[id]
	c.mu.RUnlock()
	if !known {
		counter = c.newCounter(id)
	}
	counter.Inc(n)
}

func (c *scopeCounters) newCounter(id counterKey) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter, known := c.counters[id]; known {
		return counter
	}
	if c.kinds[id.name] >= maxKinds {
		// The counter isn't kept under its own kind, so that the map is bounded
		// as well.
		id.kind = otherKind
	}
	counter, known := c.counters[id]
	if !known {
		counter = c.scope.Tagged(map[string]string{kindTag: id.kind}).Counter(id.name + "_total")
		c.counters[id] = counter
		c.kinds[id.name]++
	}
	return counter
}

func (c *scopeCounters) Set(name string, value float64) {
	lookUp(&c.mu, c.gauges, name, c.scope.Gauge).Update(value)
}

func (c *scopeCounters) Observe(name string, d time.Duration) {
	lookUp(&c.mu, c.histograms, name, c.newHistogram).RecordDuration(d)
}

func (c *scopeCounters) newHistogram(name string) tally.Histogram {
	return c.scope.Histogram(name+"_seconds", durationBuckets)
}

// lookUp returns the metric of a name and creates it on its first use.
func lookUp[M any](mu *sync.RWMutex, metrics map[string]M, name string, make func(string) M) M {
	mu.RLock()
	metric, known := metrics[name]
	mu.RUnlock()
	if known {
		return metric
	}
	mu.Lock()
	defer mu.Unlock()
	if metric, known = metrics[name]; !known {
		metric = make(name)
		metrics[name] = metric
	}
	return metric
}
