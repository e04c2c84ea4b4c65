package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/capacity/capacitypb"
	"github.com/burdockward/burdockward/placement"
	"github.com/burdockward/burdockward/targetclient"
)

// digestInterval is the minimum time between two digests for the heartbeats.
const digestInterval = 500 * time.Millisecond

// SharedOptions are the settings of a Shared.
type SharedOptions struct {
	Capacity  capacity.Options
	Placement placement.Options
	// Domain is this failure domain, and Domains are all. They determine the quota
	// shares of Domain.
	Domain  string
	Domains []string
	// Send sends a capacity message to a member.
	Send func(to capacity.Member, m *capacitypb.Message)
	// Revoke sends a revocation to a target; recordRevocation takes the answer.
	// When it is nil, the units of lost VMs become free only after reclaimAfter.
	Revoke func(Revocation)
	// LeaseValid reports whether limits may be used.
	LeaseValid func() bool
	// ViewLease is how long limits may be used without a message of the other
	// members.
	ViewLease time.Duration
	// SetDigest puts the digest of this VM's slots on its heartbeats.
	SetDigest func(body []byte)
	RNG       *rand.Rand
}

// Shared places tasks on slots that the VMs of the failure domain share, and
// enforces limits and quotas together with them. It implements Placer and Limits.
type Shared struct {
	options  SharedOptions
	capacity *capacity.State
	place    *placement.State
	targets  map[string]Target
	// limits are the pools of which a task of a profile needs a unit.
	limits map[string][]string
	// limitPools are all of these pools, sorted, and poolProfiles the profiles
	// whose tasks need each.
	limitPools   []string
	poolProfiles map[string][]string
	// movable are the teams whose quota shares move between failure domains, and
	// quotaShares the units that the quota duty lets this one use.
	movable     map[string]bool
	quotaShares map[string]int
	// longestRun is the longest run that a profile with a limit or quota allows,
	// and targetLease the longest lease that a target granted.
	longestRun, targetLease time.Duration
	// previousRun is the longest run of earlier configurations, whose tasks may run
	// until previousRunUntil.
	previousRun, previousRunUntil time.Duration
	// members is the number of VMs in the view.
	members int
	// usableSlots is the number of usable slots, as counted at usableAt; 0 for
	// usableAt means that the count is out of date.
	usableSlots int
	usableAt    time.Duration
	// reportedLeaving is when targets reported that they leave.
	reportedLeaving map[string]time.Duration
	// digestAt is when the last digest was set, and lastDigest its free slots and
	// wanted tasks.
	digestAt   time.Duration
	lastDigest [2]int
	wanted     int
}

// NewShared makes a placer without targets and limits.
func NewShared(o SharedOptions) *Shared {
	s := &Shared{
		options: o,
		place:   placement.New(o.Placement),
		targets: map[string]Target{},
		limits:  map[string][]string{},

		reportedLeaving: map[string]time.Duration{},
		quotaShares:     map[string]int{},
	}
	if o.Revoke == nil {
		s.options.Revoke = func(Revocation) {}
	}
	o.Capacity.OnFree = s.place.SetFree
	o.Capacity.RevokeAfter = o.ViewLease + maxStartDelay + clockMargin
	s.capacity = capacity.New(o.Capacity)
	return s
}

// send sends the messages of the capacity state.
func (s *Shared) send(out []capacity.Out) {
	for _, o := range out {
		s.options.Send(o.To, o.Msg)
	}
}

// SetTargets implements Placer.
func (s *Shared) SetTargets(now time.Duration, targets []Target) {
	next := make(map[string]Target, len(targets))
	list := make([]placement.Target, 0, len(targets))
	for _, t := range targets {
		list = append(list, placement.Target{ID: t.ID, Rack: t.Rack, Leaving: t.Leaving})
		if known, ok := s.targets[t.ID]; ok && known.Address != t.Address {
			// Another process, which has not reported leaving.
			s.place.MarkStaying(t.ID)
		}
		next[t.ID] = t
		if t.Leaving {
			s.send(s.capacity.RemovePool(now, t.ID))
			continue
		}
		s.send(s.capacity.SetPool(now, capacity.Pool{Name: t.ID, Kind: capacity.KindSlots, Capacity: t.Slots}))
	}
	s.place.SetTargets(now, list)
	for id := range s.targets {
		if _, stays := next[id]; !stays {
			s.send(s.capacity.RemovePool(now, id))
		}
	}
	s.targets = next
	s.usableAt = 0
	s.setRevocable(now, targets)
	s.applyExclusions()
}

// applyExclusions passes placement's changed exclusions to the capacity state.
func (s *Shared) applyExclusions() {
	for _, e := range s.place.TakeExclusions() {
		s.capacity.SetExcluded(e.Target, e.Excluded)
	}
}

// Pick implements Placer.
func (s *Shared) Pick(now time.Duration) (string, bool) {
	targetID, ok := s.place.Pick(now, s.options.RNG)
	s.applyExclusions()
	return targetID, ok
}

// Begin implements Placer.
func (s *Shared) Begin(now time.Duration, targetID, profileName, submission string) {
	s.capacity.Take(targetID)
	s.place.RecordStart(now, targetID, profileName, submission)
	s.applyExclusions()
}

// End implements Placer.
func (s *Shared) End(now time.Duration, e End) {
	if reason, refused := refusal(e); refused {
		s.place.RecordRefusal(now, e.Target, reason)
	} else {
		s.place.RecordEnd(now, placement.Result{
			Target:     e.Target,
			Class:      e.Profile,
			Submission: e.Submission,
			Runtime:    e.RunTime,
			Outcome:    outcome(e.Result),
		})
	}
	if e.Load != nil && e.Load.Leaving {
		s.place.MarkLeaving(e.Target)
		s.reportedLeaving[e.Target] = now
	}
	s.capacity.Give(now, e.Target)
	s.applyExclusions()
}

// refusal returns placement's reason of a start that did not begin; false for one
// that did or may have.
func refusal(e End) (placement.Refusal, bool) {
	switch e.Result {
	case ResultUnreachable:
		return placement.RefusedUnreachable, true
	case ResultNotStarted:
	default:
		return 0, false
	}
	switch e.Reason {
	case targetclient.ReasonLeaving:
		return placement.RefusedLeaving, true
	case targetclient.ReasonLeaseLapsed:
		return placement.RefusedLease, true
	case targetclient.ReasonFull:
		return placement.RefusedFull, true
	}
	return placement.RefusedUnsent, true
}

// outcome returns placement's outcome of a task that was started or may have been.
func outcome(r Result) placement.Outcome {
	switch r {
	case ResultDone:
		return placement.OutcomeDone
	case ResultStopped:
		return placement.OutcomeStopped
	case ResultUnknown:
		return placement.OutcomeLost
	}
	return placement.OutcomeFailed
}

// Want implements Placer.
func (s *Shared) Want(now time.Duration, tasks int) {
	s.wanted = tasks
	s.send(s.capacity.Want(now, capacity.Slots, tasks))
}

// Tick implements Placer.
func (s *Shared) Tick(now time.Duration) (time.Duration, bool) {
	s.capacity.SetLease(s.options.LeaseValid())
	s.expireReportedLeaving(now)
	s.place.Wake(now)
	s.applyExclusions()
	s.send(s.capacity.Tick(now))
	s.updateDigest(now)
	next, ok := s.capacity.NextTick()
	if again, due := s.revokeDue(now); due && (!ok || again < next) {
		next, ok = again, true
	}
	if again, waits := s.place.NextWake(); waits && (!ok || again < next) {
		return again, true
	}
	return next, ok
}

// reportedLeavingTimeout is how long a target's report that it leaves counts while
// the list does not confirm it.
const reportedLeavingTimeout = time.Minute

// expireReportedLeaving makes targets usable again that reported leaving longer
// than reportedLeavingTimeout ago and are still listed as live: another process may
// have replaced them. One that still leaves refuses the start.
func (s *Shared) expireReportedLeaving(now time.Duration) {
	for id, at := range s.reportedLeaving {
		if now-at >= reportedLeavingTimeout {
			delete(s.reportedLeaving, id)
			s.place.MarkStaying(id)
		}
	}
}

// updateDigest sets a new digest when its figures have changed, at most once in
// digestInterval.
func (s *Shared) updateDigest(now time.Duration) {
	figures := [2]int{s.capacity.FreeSlots(), s.wanted}
	if figures == s.lastDigest || now < s.digestAt+digestInterval {
		return
	}
	s.lastDigest = figures
	s.digestAt = now
	s.options.SetDigest(s.capacity.Digest())
}

// Slots implements Placer.
func (s *Shared) Slots(now time.Duration) (int, float64) {
	total := s.countUsable(now)
	if total == 0 {
		return 0, 1
	}
	share := float64(s.capacity.Reachable()) / float64(total)
	return total, min(1, max(share, 1/float64(max(1, s.members))))
}

// usableMaxAge is how long the count of usable slots is reused.
const usableMaxAge = 100 * time.Millisecond

// countUsable returns the number of slots of targets that are neither leaving nor
// in quarantine. It includes targets that back off after a failed connection.
func (s *Shared) countUsable(now time.Duration) int {
	if s.usableAt > 0 && now < s.usableAt+usableMaxAge {
		return s.usableSlots
	}
	s.usableAt = now
	s.usableSlots = 0
	for id, t := range s.targets {
		if use := s.place.Use(id); use == placement.UseNormal || use == placement.UseLastResort {
			s.usableSlots += t.Slots
		}
	}
	return s.usableSlots
}

// SetView installs a view of the failure domain.
func (s *Shared) SetView(now time.Duration, v capacity.View) {
	s.capacity.SetReclaimAfter(now, s.reclaimAfter(now))
	s.members = len(v.Members)
	s.send(s.capacity.SetView(now, v))
}

// SetDigest stores the digest of a member.
func (s *Shared) SetDigest(member string, body []byte) { s.capacity.SetDigest(member, body) }

// Receive applies a message of a member and returns the replies.
func (s *Shared) Receive(now time.Duration, from capacity.Member, m *capacitypb.Message) []*capacitypb.Message {
	replies, out := s.capacity.Receive(now, from, m)
	s.send(out)
	return replies
}

// Leave returns all units, for a planned stop.
func (s *Shared) Leave(now time.Duration) { s.send(s.capacity.Leave(now)) }
