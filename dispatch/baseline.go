package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Baseline is a placer without shared capacity, to compare Shared with: every VM
// counts only its own tasks, and targets refuse starts beyond their slots.
type Baseline struct {
	policy  BaselinePolicy
	rng     *rand.Rand
	vms     int
	targets []*baselineTarget
	byID    map[string]*baselineTarget
	next    int
}

// BaselinePolicy is the order in which a Baseline tries targets.
type BaselinePolicy int

// The baseline policies.
const (
	BaselineRandom BaselinePolicy = iota
	BaselineRoundRobin
	BaselineLeastOutstanding
)

// fullBackOff is how long a target is not picked after a start did not begin there.
const fullBackOff = 5 * time.Millisecond

type baselineTarget struct {
	Target
	outstanding int
	fullUntil   time.Duration
}

// NewBaseline makes a baseline placer; vms is the number of VMs that share the
// load.
func NewBaseline(policy BaselinePolicy, rng *rand.Rand, vms int) *Baseline {
	return &Baseline{policy: policy, rng: rng, vms: vms, byID: map[string]*baselineTarget{}}
}

// SetTargets implements Placer.
func (b *Baseline) SetTargets(_ time.Duration, targets []Target) {
	next := map[string]*baselineTarget{}
	b.targets = b.targets[:0]
	for _, t := range targets {
		known := b.byID[t.ID]
		if known == nil {
			known = &baselineTarget{}
		}
		known.Target = t
		next[t.ID] = known
		if !t.Leaving {
			b.targets = append(b.targets, known)
		}
	}
	b.byID = next
	sort.Slice(b.targets, func(i, k int) bool { return b.targets[i].ID < b.targets[k].ID })
}

// Pick implements Placer.
func (b *Baseline) Pick(now time.Duration) (string, bool) {
	if len(b.targets) == 0 {
		return "", false
	}
	first := b.first()
	for i := range b.targets {
		t := b.targets[(first+i)%len(b.targets)]
		if b.usable(now, t) {
			return t.ID, true
		}
	}
	return "", false
}

// Begin implements Placer.
func (b *Baseline) Begin(_ time.Duration, target, _, _ string) { b.byID[target].outstanding++ }

// first returns the index of the target to try first, by the policy.
func (b *Baseline) first() int {
	switch b.policy {
	case BaselineRandom:
		return b.rng.IntN(len(b.targets))
	case BaselineRoundRobin:
		b.next = (b.next + 1) % len(b.targets)
		return b.next
	}
	best := b.rng.IntN(len(b.targets))
	for i, t := range b.targets {
		if t.outstanding < b.targets[best].outstanding {
			best = i
		}
	}
	return best
}

// usable reports whether this VM's own tasks leave a slot free, and no start was
// refused lately.
func (b *Baseline) usable(now time.Duration, t *baselineTarget) bool {
	return t.outstanding < t.Slots && now >= t.fullUntil
}

// End implements Placer.
func (b *Baseline) End(now time.Duration, e End) {
	t := b.byID[e.Target]
	if t == nil {
		return
	}
	t.outstanding--
	if e.Result == ResultNotStarted || e.Result == ResultUnreachable {
		t.fullUntil = now + fullBackOff
	}
}

// Want implements Placer.
func (b *Baseline) Want(time.Duration, int) {}

// Tick implements Placer.
func (b *Baseline) Tick(time.Duration) (time.Duration, bool) { return 0, false }

// Slots implements Placer.
func (b *Baseline) Slots(time.Duration) (int, float64) {
	slots := 0
	for _, t := range b.targets {
		slots += t.Slots
	}
	return slots, 1 / float64(max(1, b.vms))
}
