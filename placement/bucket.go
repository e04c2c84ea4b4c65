package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// bucket is a set of targets with removal and random choice in constant time.
type bucket struct {
	targets []*target
}

func (b *bucket) add(t *target) {
	t.bucket = b
	t.bucketIndex = len(b.targets)
	b.targets = append(b.targets, t)
}

func (b *bucket) remove(t *target) {
	last := len(b.targets) - 1
	moved := b.targets[last]
	b.targets[t.bucketIndex] = moved
	moved.bucketIndex = t.bucketIndex
	b.targets[last] = nil
	b.targets = b.targets[:last]
	t.bucket = nil
	t.bucketIndex = noIndex
}

// drawFaster draws two targets and returns the one with the lower run-time ratio;
// nil when the bucket is empty.
func (b *bucket) drawFaster(rng *rand.Rand) *target {
	n := len(b.targets)
	if n == 0 {
		return nil
	}
	if n == 1 {
		return b.targets[0]
	}
	first := b.targets[rng.IntN(n)]
	second := b.targets[rng.IntN(n)]
	if second.logRatio < first.logRatio {
		return second
	}
	return first
}

// updateBucket moves the target to the bucket that bucketOf returns for it, and
// marks its verdict as pending when its use has changed.
func (s *State) updateBucket(t *target) {
	s.markVerdictPending(t)
	b := s.bucketOf(t)
	if b == t.bucket {
		return
	}
	s.removeFromBucket(t)
	if b != nil {
		b.add(t)
	}
}

func (s *State) removeFromBucket(t *target) {
	if t.bucket != nil {
		t.bucket.remove(t)
	}
}

// bucketOf returns the bucket of a target by its state; nil when it may not be
// picked. A target in quarantine is probed by one task at a time.
func (s *State) bucketOf(t *target) *bucket {
	switch {
	case t.removed || !t.free || t.isLeaving() || t.backingOff:
		return nil
	case t.isQuarantined():
		if t.probeDue && t.running == 0 {
			return &s.probeDue
		}
		return nil
	case t.probeDue:
		return &s.probeDue
	case t.isLastResort():
		return &s.lastResort
	}
	return &s.ready
}

// backOff keeps a target that is not in quarantine from being picked until the
// given time. Its units are excluded until then, so that the VM requests units of
// other targets.
func (s *State) backOff(t *target, until time.Duration) {
	if t.isQuarantined() {
		return
	}
	if !t.backingOff {
		t.backingOff = true
		s.setExcluded(t, true)
	}
	s.wakes.set(t, until)
}

// scheduleProbe sets the time of the next probe of a target. A target that backs
// off is woken at the end of its backoff instead, and then for the probe.
func (s *State) scheduleProbe(t *target, at time.Duration) {
	t.probeAt = at
	if !t.backingOff {
		s.wakes.set(t, at)
	}
}

// Wake ends the backoffs that are over, and makes the probes due whose time has
// come. The caller calls it at the time that NextWake returns. Pick does the same.
func (s *State) Wake(now time.Duration) { s.wake(now) }

// wake implements Wake.
func (s *State) wake(now time.Duration) {
	for len(s.wakes) > 0 && s.wakes[0].wakeAt <= now {
		t := s.wakes[0]
		s.wakes.cancel(t)
		s.endBackOff(t)
		switch {
		case t.cause == CauseNone:
		case now < t.probeAt:
			// The backoff was shorter than the wait for the next probe.
			s.wakes.set(t, t.probeAt)
		default:
			t.probeDue = true
			s.requestProbeUnit(t)
		}
		s.updateBucket(t)
	}
}

// wakeHeap orders targets by wakeAt.
type wakeHeap []*target

func (h wakeHeap) Len() int { return len(h) }

func (h wakeHeap) Less(i, j int) bool {
	if h[i].wakeAt != h[j].wakeAt {
		return h[i].wakeAt < h[j].wakeAt
	}
	return h[i].id < h[j].id
}

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	t := x.(*target)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	t.heapIndex = noIndex
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// set adds the target with this time, or changes its time.
func (h *wakeHeap) set(t *target, at time.Duration) {
	t.wakeAt = at
	if t.heapIndex == noIndex {
		heap.Push(h, t)
		return
	}
	heap.Fix(h, t.heapIndex)
}

// cancel removes the target; an absent one is ignored.
func (h *wakeHeap) cancel(t *target) {
	if t.heapIndex != noIndex {
		heap.Remove(h, t.heapIndex)
	}
}
