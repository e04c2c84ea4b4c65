package admission

import (
	"math"
	"time"
)

const (
	// sizeBuckets covers work from 1 ms up in steps of a factor of sqrt(2).
	sizeBuckets = 64
	// sizeHalving is the number of submissions after which old ones count half.
	sizeHalving = 1000
	// minSizes is the number of submissions before any counts as small.
	minSizes = 50
)

// jobSizes learns which part of a profile's work comes in submissions of which
// size.
type jobSizes struct {
	work  [sizeBuckets]float64 // seconds, by size of the submission
	total float64
	jobs  int
}

// sizeBucket returns the index of the bucket for this much work.
func sizeBucket(work time.Duration) int {
	steps := 2 * math.Log2(max(1, float64(work)/float64(time.Millisecond)))
	return min(int(steps), sizeBuckets-1)
}

// observe records the expected work of a submission.
func (s *jobSizes) observe(work time.Duration) {
	s.work[sizeBucket(work)] += work.Seconds()
	s.total += work.Seconds()
	s.jobs++
	if s.jobs%sizeHalving == 0 {
		s.halve()
	}
}

// halve halves the weight of all recorded work.
func (s *jobSizes) halve() {
	s.total = 0
	for i := range s.work {
		s.work[i] /= 2
		s.total += s.work[i]
	}
}

// smallerShare returns the part of the work, 0 to 1, that submissions of this size
// or smaller bring. It is 1 before minSizes submissions were observed.
func (s *jobSizes) smallerShare(work time.Duration) float64 {
	if s.jobs < minSizes || s.total == 0 {
		return 1
	}
	var sum float64
	for _, w := range s.work[:sizeBucket(work)+1] {
		sum += w
	}
	return sum / s.total
}
