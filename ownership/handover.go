package ownership

import (
	"time"

	"github.com/burdockward/burdockward/heartbeat"
)

// Owner is what an owner knows of itself when it decides whether to hand over.
type Owner struct {
	// CPUShare is its measured share of a core, in thousandths.
	CPUShare int32
	Limits   heartbeat.Limits
	// OpenJobs is the number of its jobs that haven't ended.
	OpenJobs int
	// Behind is the delay of its loop; 0 while that is within the pauses of a processor quota.
	Behind time.Duration
	// Targets is the number of its targets.
	Targets int
}

// Reason says why an owner hands over; it is empty if it doesn't.
type Reason string

// The reasons to hand over.
const (
	// ReasonIdle means that the owner has no open jobs and the other VM is clearly stronger.
	ReasonIdle Reason = "idle"
	// ReasonLimits means that the owner has no open jobs, and its limits don't suffice for the targets.
	ReasonLimits Reason = "limits"
	// ReasonShort means that the owner was short of processor time for several checks.
	ReasonShort Reason = "short"
	// ReasonTwice means that the other VM has at least twice the processor time.
	ReasonTwice Reason = "twice"
)

// Factors by which another VM's share of a core must exceed the owner's.
const (
	// idleFactor counts both for the measured and for the declared shares. The latter don't vary, so that
	// handovers between idle VMs can't form a circle.
	idleFactor = 1.25
	// shortFactor is well above the variation of a measured share that counts as undisturbed, since a
	// handover to a VM that is hardly faster costs callers more than it gains.
	shortFactor = 1.5
	// twiceFactor allows a handover whatever the load.
	twiceFactor = 2
)

const (
	// CheckInterval is the time between two checks for a stronger VM. When all VMs restart at once, the strong
	// ones may come up a fraction of a second later than the weak ones.
	CheckInterval = 250 * time.Millisecond
	// shortShare is the fraction of the declared share of a core below which an owner is short of processor time.
	shortShare = 0.75
	// shortChecks is the number of checks in a row at which an owner must be short. After a process pause its loop
	// is behind for a moment only.
	shortChecks = 3
	// minSuccessorAge is how long the pings of a VM must have come before an owner that isn't leaving
	// hands over to it. By then a VM that has just started has read the claims and the configuration.
	minSuccessorAge = 250 * time.Millisecond
	// maxSuccessorSilence is the age of the last ping from which a VM may have died.
	maxSuccessorSilence = 3 * heartbeat.Interval
)

// isShort reports whether the owner has too little processor time now.
func (o Owner) isShort() bool {
	declared := declaredShare(o.Limits, o.CPUShare)
	return o.Behind > 0 || float64(o.CPUShare) < shortShare*float64(declared)
}

// reasonFor returns why the owner should hand over to a VM, if it should. short says that it has been short of
// processor time for long enough.
func (o Owner) reasonFor(to heartbeat.Pinger, short bool) Reason {
	needs := NeedsOf(o.Targets)
	suffices, idle := needs.MetBy(o.Limits), o.OpenJobs == 0
	exceeds := func(factor float64) bool { return float64(to.CPUShare) >= factor*float64(o.CPUShare) }
	declared := float64(declaredShare(to.Limits, to.CPUShare)) / float64(max(declaredShare(o.Limits, o.CPUShare), 1))
	switch {
	case suffices && !needs.MetBy(to.Limits):
		return ""
	case idle && needs.MetBy(to.Limits) && !needs.times(1/needMargin).MetBy(o.Limits):
		return ReasonLimits
	case exceeds(twiceFactor):
		return ReasonTwice
	case short && exceeds(shortFactor):
		return ReasonShort
	case idle && exceeds(idleFactor) && declared >= idleFactor:
		return ReasonIdle
	}
	return ""
}

// Checks decides at each check whether an owner hands over without leaving. The zero value is ready to use.
type Checks struct {
	last  time.Duration
	short int
}

// Next returns to which of the candidates an owner should hand over now, and why. The candidates are those that
// Keeper.Candidates returns.
func (c *Checks) Next(now time.Duration, domain string, owner Owner, candidates []heartbeat.Pinger) (heartbeat.Pinger, Reason) {
	if !owner.isShort() || now-c.last > 2*CheckInterval {
		c.short = 0
	}
	if owner.isShort() {
		c.short++
	}
	c.last = now
	to, ok := chooseKnown(now, domain, NeedsOf(owner.Targets), candidates)
	if !ok {
		return heartbeat.Pinger{}, ""
	}
	return to, owner.reasonFor(to, c.short >= shortChecks)
}

// chooseKnown returns the best successor of those that have sent pings for long enough and until now. It returns
// none while a clearly better one has just started, because a second handover would follow the first.
func chooseKnown(now time.Duration, domain string, needs Needs, candidates []heartbeat.Pinger) (heartbeat.Pinger, bool) {
	var known, alive []heartbeat.Pinger
	for _, p := range candidates {
		if now-p.LastHeard > maxSuccessorSilence {
			continue
		}
		alive = append(alive, p)
		if now-p.FirstHeard >= minSuccessorAge {
			known = append(known, p)
		}
	}
	best, ok := ChooseSuccessor(domain, needs, known)
	newest, _ := ChooseSuccessor(domain, needs, alive)
	if float64(newest.CPUShare) >= idleFactor*float64(best.CPUShare) || needs.MetBy(newest.Limits) != needs.MetBy(best.Limits) {
		ok = false
	}
	return best, ok
}
