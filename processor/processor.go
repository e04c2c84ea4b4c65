// Package processor measures what share of a core a VM really has, since other VMs on its host
// and quotas slow it down.
//
// Its inputs are the share that the settings declare and the time that a fixed piece of work takes
// at regular intervals. Its output is the declared share times the present speed, as a fraction
// of the best speed seen, and the processor time that the process uses. VMs use it to decide which of them owns targets. Until enough samples
// were taken, and within the usual variation of speed, the VM counts as running at full speed.
package processor

import (
	"context"
	"hash/crc32"
	"sync/atomic"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// Parameters of the measurement.
const (
	// sampleInterval is the time between two samples. A slowdown shows within half a second,
	// and sampling takes less than a thousandth of a core.
	sampleInterval = 100 * time.Millisecond
	// recentSamples is how many samples give the present speed. The fastest of them counts,
	// because interruptions can only make a sample slower.
	recentSamples = 5
	// samplePasses over sampleBytes take some 50 microseconds of a core. That is a thousand
	// times the error of the clock, and uses little of the core's caches.
	samplePasses = 32
	sampleBytes  = 64 << 10
	// undisturbedSpeed is the speed from which a processor counts as undisturbed, because its
	// caches and its clock frequency cause variations of that size.
	undisturbedSpeed = 0.7
)

// Speed estimates the present speed of a processor as a fraction of its best speed.
// The zero value is ready to use.
type Speed struct {
	samples [recentSamples]time.Duration
	count   int
	// best is the shortest time within which two samples in a row were done. A single short
	// sample may be an error of the clock, which would make all later samples look slow.
	best time.Duration
	// previous is the sample before.
	previous time.Duration
}

// Add adds the duration of a sample. It ignores samples during which the clock didn't advance.
func (s *Speed) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	s.samples[s.count%recentSamples] = took
	s.count++
	if pair := max(took, s.previous); s.count > 1 && (s.best == 0 || pair < s.best) {
		s.best = pair
	}
	s.previous = took
}

// Fraction returns the present speed as a fraction of the best one, from 0 to 1. It is 1 while
// there are too few samples.
func (s *Speed) Fraction() float64 {
	if s.count < recentSamples {
		return 1
	}
	fastest := s.samples[0]
	for _, took := range s.samples {
		fastest = min(fastest, took)
	}
	if fraction := float64(s.best) / float64(fastest); fraction < undisturbedSpeed {
		return fraction
	}
	return 1
}

// Meter measures the share of a core that this VM has.
type Meter struct {
	declared float64
	share    atomic.Int64
	// used is the average usage of the process, in thousandths of a core.
	used atomic.Int64
}

// NewMeter returns a meter for a VM whose settings declare this share of a core.
func NewMeter(declared float64) *Meter {
	m := &Meter{declared: declared}
	m.setSpeed(1)
	return m
}

// perMille is the number of units in a core.
const perMille = 1000

func (m *Meter) setSpeed(speed float64) { m.share.Store(int64(m.declared * speed * perMille)) }

// PerMille returns the share of a core at the present speed, in thousandths.
func (m *Meter) PerMille() int32 { return int32(m.share.Load()) }

// Share returns the share of a core at the present speed.
func (m *Meter) Share() float64 { return float64(m.share.Load()) / perMille }

// Used returns the share of a core that the process uses, at the present speed: a slowed VM that uses all of its
// declared share uses all that it has.
func (m *Meter) Used() float64 {
	if m.declared <= 0 {
		return 0
	}
	return float64(m.used.Load()) / perMille * m.Share() / m.declared
}

// Run takes samples until the context ends.
func (m *Meter) Run(ctx context.Context) {
	var speed Speed
	var usage Usage
	data := make([]byte, sampleBytes)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			began := time.Now()
			runSample(data)
			speed.Add(time.Since(began))
			m.setSpeed(speed.Fraction())
			if spent, err := processTime(); err == nil {
				usage.Add(bootclock.Now(), spent)
				m.used.Store(int64(usage.Cores() * perMille))
			}
		}
	}
}

// runSample does work of a fixed size.
func runSample(data []byte) {
	sum := uint32(0)
	for range samplePasses {
		sum = crc32.Update(sum, crc32.IEEETable, data)
	}
	sampleResult.Store(sum)
}

// sampleResult keeps the compiler from omitting the work of a sample.
var sampleResult atomic.Uint32
