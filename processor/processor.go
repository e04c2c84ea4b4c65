// Package processor measures what of its processor a VM has: VMs are slowed down by their
// neighbours and by quotas, and one that owns targets needs to know.
package processor

import (
	"context"
	"hash/crc32"
	"sync/atomic"
	"time"
)

// Figures of the measure.
const (
	// interval paces the samples: a slowed VM shows in half a second, for less than a
	// thousandth of a core.
	interval = 100 * time.Millisecond
	// recent is how many samples tell the present speed. The fastest of them counts, since
	// a sample that others interrupt takes longer, and none takes less than it needs.
	recent = 5
	// samplePasses over sampleBytes take some 50 microseconds of a core: a thousand times
	// what a clock is off by, and little of its caches.
	samplePasses = 32
	sampleBytes  = 64 << 10
	// steady is the speed from which a processor counts as undisturbed: its caches and its
	// clock vary by as much.
	steady = 0.7
)

// Speed estimates the present speed of a processor against the best that was seen of it.
// The zero value is ready to use.
type Speed struct {
	samples [recent]time.Duration
	count   int
	// best is the least time that two samples in a row kept to: one alone may be a clock's
	// error, which would make all later ones look slow.
	best time.Duration
	last time.Duration
}

// Add takes how long a sample took. Clocks that stand still tell nothing.
func (s *Speed) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	s.samples[s.count%recent] = took
	s.count++
	if pair := max(took, s.last); s.count > 1 && (s.best == 0 || pair < s.best) {
		s.best = pair
	}
	s.last = took
}

// Share is the present speed against the best, from 0 to 1; 1 before there are enough
// samples to tell.
func (s *Speed) Share() float64 {
	if s.count < recent {
		return 1
	}
	fastest := s.samples[0]
	for _, took := range s.samples {
		fastest = min(fastest, took)
	}
	if share := float64(s.best) / float64(fastest); share < steady {
		return share
	}
	return 1
}

// Meter measures the share of a core that this VM has.
type Meter struct {
	declared float64
	share    atomic.Int64
}

// NewMeter makes a meter of a VM whose settings declare a share of a core.
func NewMeter(declared float64) *Meter {
	m := &Meter{declared: declared}
	m.set(1)
	return m
}

// perMille is the unit in which shares are told.
const perMille = 1000

func (m *Meter) set(speed float64) { m.share.Store(int64(m.declared * speed * perMille)) }

// PerMille is the share of a core at the present speed, in thousandths.
func (m *Meter) PerMille() int32 { return int32(m.share.Load()) }

// Share is the share of a core at the present speed.
func (m *Meter) Share() float64 { return float64(m.share.Load()) / perMille }

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) {
	var speed Speed
	data := make([]byte, sampleBytes)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			began := time.Now()
			sample(data)
			speed.Add(time.Since(began))
			m.set(speed.Share())
		}
	}
}

// sample is work of a fixed size.
func sample(data []byte) {
	sum := uint32(0)
	for range samplePasses {
		sum = crc32.Update(sum, crc32.IEEETable, data)
	}
	sink.Store(sum)
}

// sink keeps the work of a sample from being left out.
var sink atomic.Uint32
