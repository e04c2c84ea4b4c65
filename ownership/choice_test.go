package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/link/linkpb"
)

// The delay of a weaker VM is longer than that of a strong one, whatever their names are: at a start, after the
// loss of all VMs, and below an owner of an older build.
func TestStrongVMsClaimFirst(t *testing.T) {
	for _, weak := range []string{"a", "b", "c", "d", "e", "f"} {
		for _, strong := range []string{"u", "v", "w", "x", "y", "z"} {
			none := heartbeat.Limits{}
			known := Rank{Strongest: 0.8}
			must.Less(t, ClaimDelay(weak, 0.48, none, known), ClaimDelay(strong, 0.8, none, known))
			must.Less(t, ClaimDelay(weak, 0.192, none, known), ClaimDelay(strong, 0.48, none, known))
			must.Less(t, ClaimDelay(weak, 0.192, none, Rank{}), ClaimDelay(strong, 0.8, none, Rank{}))
			many := Rank{Strongest: 0.8, Needs: NeedsOf(300)}
			must.Less(t, ClaimDelay(weak, 0.8, heartbeat.Limits{Sockets: 800}, many), ClaimDelay(strong, 0.8, heartbeat.Limits{Sockets: 3900}, many))
		}
	}
}

// The strongest VM that is left claims as fast as it would if all were equal.
func TestStrongestVMIsNotDelayed(t *testing.T) {
	for _, share := range []float64{0.1, 0.4, 0.8, 2} {
		must.LessEq(t, (claimDelaySteps-1)*claimDelayStep, ClaimDelay("v", share, heartbeat.Limits{}, Rank{Strongest: share}))
	}
}

func TestReasonToHandOver(t *testing.T) {
	limits := func(declared int32) heartbeat.Limits { return heartbeat.Limits{DeclaredCPUShare: declared} }
	few, enough := heartbeat.Limits{Sockets: 800}, heartbeat.Limits{Sockets: 3900, LinkMbps: 400}
	slow := heartbeat.Limits{Sockets: 3900, LinkMbps: 50}
	for name, test := range map[string]struct {
		own, to    int32
		ownLimits  heartbeat.Limits
		toLimits   heartbeat.Limits
		jobs       int
		short      bool
		targets    int
		wantReason Reason
	}{
		"idle, clearly stronger":               {own: 480, to: 800, wantReason: ReasonIdle},
		"idle, hardly stronger":                {own: 700, to: 800},
		"under load, clearly stronger":         {own: 480, to: 800, jobs: 1},
		"under load, twice":                    {own: 400, to: 800, jobs: 1, wantReason: ReasonTwice},
		"under load, nearly twice":             {own: 401, to: 800, jobs: 1},
		"short, clearly stronger":              {own: 480, to: 800, jobs: 1, short: true, wantReason: ReasonShort},
		"short, hardly stronger":               {own: 600, to: 800, jobs: 1, short: true},
		"slowed down to a fifth":               {own: 160, ownLimits: limits(800), to: 800, toLimits: limits(800), jobs: 1, wantReason: ReasonTwice},
		"slowed down, the other as well":       {own: 160, ownLimits: limits(800), to: 160, toLimits: limits(800), short: true},
		"idle, slower only by measure":         {own: 550, ownLimits: limits(800), to: 800, toLimits: limits(800)},
		"idle, stronger only by declaration":   {own: 480, ownLimits: limits(480), to: 500, toLimits: limits(800)},
		"idle, too few sockets":                {own: 800, ownLimits: few, to: 480, toLimits: enough, targets: 300, wantReason: ReasonLimits},
		"idle, too slow a link":                {own: 800, ownLimits: slow, to: 480, toLimits: enough, targets: 300, wantReason: ReasonLimits},
		"under load, too few sockets":          {own: 800, ownLimits: few, to: 480, toLimits: enough, targets: 300, jobs: 1},
		"idle, sockets just too few":           {own: 800, ownLimits: few, to: 480, toLimits: enough, targets: 220},
		"twice, but too few sockets":           {own: 192, ownLimits: enough, to: 800, toLimits: few, targets: 201},
		"twice, and just enough sockets":       {own: 192, ownLimits: enough, to: 800, toLimits: few, targets: 200, wantReason: ReasonTwice},
		"twice, and neither has the sockets":   {own: 192, ownLimits: few, to: 800, toLimits: few, targets: 300, wantReason: ReasonTwice},
		"older build, which reports no limits": {own: 192, ownLimits: enough, to: 800, targets: 800, wantReason: ReasonTwice},
	} {
		t.Run(name, func(t *testing.T) {
			o := Owner{CPUShare: test.own, Limits: test.ownLimits, OpenJobs: test.jobs, Targets: test.targets}
			must.Eq(t, test.wantReason, o.reasonFor(heartbeat.Pinger{CPUShare: test.to, Limits: test.toLimits}, test.short))
		})
	}
}

func pingerAt(now time.Duration, vm string, share int32) heartbeat.Pinger {
	return heartbeat.Pinger{VM: vm, FailureDomain: "d", CPUShare: share, LastHeard: now}
}

// A handover goes to a VM that is known for a while and was heard just now, not to a leaving one or one of another
// failure domain, and isn't made while a much stronger VM has just started.
func TestHandoverGoesToKnownVM(t *testing.T) {
	const now = time.Minute
	weak := Owner{CPUShare: 192}
	next := func(change func(*heartbeat.Pinger)) Reason {
		p := pingerAt(now, "x", 800)
		change(&p)
		_, reason := new(Checks).Next(now, "d", weak, []heartbeat.Pinger{p})
		return reason
	}
	must.Eq(t, ReasonTwice, next(func(*heartbeat.Pinger) {}))
	must.Eq(t, "", next(func(p *heartbeat.Pinger) { p.FailureDomain = "e" }))
	must.Eq(t, "", next(func(p *heartbeat.Pinger) { p.Leaving = true }))
	must.Eq(t, "", next(func(p *heartbeat.Pinger) { p.FirstHeard = now - minSuccessorAge + ms }))
	must.Eq(t, "", next(func(p *heartbeat.Pinger) { p.LastHeard = now - maxSuccessorSilence - ms }))
	young := pingerAt(now, "y", 800)
	young.FirstHeard = now - ms
	_, reason := new(Checks).Next(now, "d", weak, []heartbeat.Pinger{pingerAt(now, "x", 480), young})
	must.Eq(t, "", reason)
	young.CPUShare = 480
	to, reason := new(Checks).Next(now, "d", weak, []heartbeat.Pinger{pingerAt(now, "x", 480), young})
	must.Eq(t, ReasonTwice, reason)
	must.Eq(t, "x", to.VM)
}

// A loop that is behind counts only at several checks in a row: not once after a process pause, nor now and then.
func TestShortOwnerHandsOverAfterSeveralChecks(t *testing.T) {
	var checks Checks
	now := time.Minute
	check := func(after, behind time.Duration) Reason {
		now += after
		_, reason := checks.Next(now, "d", Owner{CPUShare: 480, OpenJobs: 9, Behind: behind}, []heartbeat.Pinger{pingerAt(now, "x", 800)})
		return reason
	}
	for range 5 {
		must.Eq(t, "", check(CheckInterval, 200*ms))
		must.Eq(t, "", check(CheckInterval, 200*ms))
		must.Eq(t, "", check(CheckInterval, 0))
	}
	must.Eq(t, "", check(CheckInterval, 200*ms))
	must.Eq(t, "", check(CheckInterval, 200*ms))
	must.Eq(t, "", check(3*CheckInterval, 200*ms))
	must.Eq(t, "", check(CheckInterval, 200*ms))
	must.Eq(t, ReasonShort, check(CheckInterval, 200*ms))
}

func TestChooseSuccessor(t *testing.T) {
	_, ok := ChooseSuccessor("d", Needs{}, []heartbeat.Pinger{{VM: "x", FailureDomain: "other"}, {VM: "y", FailureDomain: "d", Leaving: true}})
	must.False(t, ok)
	pingers := []heartbeat.Pinger{
		{VM: "weak", FailureDomain: "d", CPUShare: 192, FirstHeard: 9},
		{VM: "old", FailureDomain: "d", CPUShare: 800, FirstHeard: 1},
		{VM: "young", FailureDomain: "d", CPUShare: 800, FirstHeard: 5, Limits: heartbeat.Limits{LinkMbps: 40}},
	}
	for targets, want := range map[int]string{0: "young", 80: "young", 81: "old"} {
		best, ok := ChooseSuccessor("d", NeedsOf(targets), pingers)
		must.True(t, ok)
		must.Eq(t, want, best.VM)
	}
}

// A keeper's candidates lack the VM that handed the group over, for a time that grows when it does so again.
func TestGroupIsNotHandedBackAtOnce(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	version := int64(0)
	claim := func(vm string, incarnation, former uint64) time.Duration {
		version++
		c := &linkpb.Claim{Vm: vm, Life: incarnation}
		if former != 0 {
			c.Former = &linkpb.Former{Life: former}
		}
		k.Merge([]GroupClaim{{Group: "g", Version: version, Claim: c}})
		return k.seenAt["g"]
	}
	allowed := func(now time.Duration) (vms string) {
		for _, p := range k.Candidates(now, []heartbeat.Pinger{{VM: "w", Incarnation: 2}, {VM: "x", Incarnation: 3}}) {
			vms += p.VM
		}
		return vms
	}
	claim("w", 2, 0)
	must.Eq(t, "wx", allowed(claim("v", 1, 0)))
	claim("w", 2, 0)
	at := claim("v", 1, 2)
	must.Eq(t, "x", allowed(at+firstPause-ms))
	must.Eq(t, "wx", allowed(at+firstPause))
	claim("x", 3, 1)
	at = claim("w", 2, 3)
	must.Eq(t, "", allowed(at+firstPause-ms))
	must.Eq(t, "wx", allowed(at+firstPause))
	at = claim("v", 1, 2)
	must.Eq(t, "x", allowed(at+2*firstPause-ms))
	must.Eq(t, "wx", allowed(at+2*firstPause))
}

// A VM that took the group from this one and restarted isn't given it again at once; that it took it from another VM
// is no reason.
func TestSameHandoverIsNotRepeatedAtOnce(t *testing.T) {
	h := newHistory()
	h.record(0, 1, "x", true)
	h.record(0, 5, "y", false)
	allowed := h.allowed(firstPause-ms, []heartbeat.Pinger{{VM: "x", Incarnation: 9}, {VM: "y", Incarnation: 8}})
	must.SliceLen(t, 1, allowed)
	must.Eq(t, "y", allowed[0].VM)
	must.SliceLen(t, 1, h.allowed(firstPause, []heartbeat.Pinger{{VM: "x", Incarnation: 9}}))
}

func TestHistoryIsBounded(t *testing.T) {
	h := newHistory()
	for i := range 4 * maxHistory {
		h.record(time.Duration(i)*ms, uint64(i), fmt.Sprint(i), true)
	}
	must.MapLen(t, maxHistory, h.givers)
	must.MapLen(t, maxHistory, h.takers)
	h.record(time.Hour, 1, "1", false)
	must.MapLen(t, 1, h.givers)
}

// What an owner reports of the others counts while it is the owner; then its claim counts, as after the loss of all VMs.
func TestRankFollowsOwnerThenClaim(t *testing.T) {
	k := newKeeper(&fakeStore{}, func([]GroupClaim) {})
	k.options.CPUShare = func() float64 { return 0.48 }
	k.options.Self.Limits = heartbeat.Limits{DeclaredCPUShare: 480, Sockets: 3900}
	must.Eq(t, Rank{Strongest: startCPUShare}, k.rank())
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "w", Life: 2, StrongestShare: 800}}})
	must.Eq(t, Rank{Strongest: 0.8}, k.rank())
	must.True(t, k.strongerKnown())
	must.Eq(t, 480, k.ownClaim().GetStrongestShare())
	k.ReceiveSuccession(3, &linkpb.Succession{CpuShare: 144, Targets: 9})
	must.Eq(t, Rank{Strongest: 0.8}, k.rank())
	k.ReceiveSuccession(2, &linkpb.Succession{CpuShare: 600, Targets: 100})
	k.ReceiveSuccession(2, nil)
	k.ReceiveSuccession(3, &linkpb.Succession{CpuShare: 144, Targets: 9})
	must.Eq(t, Rank{Strongest: 0.6, Needs: NeedsOf(100)}, k.rank())
	must.Eq(t, 600, k.ownClaim().GetStrongestShare())
	k.Merge([]GroupClaim{{Group: "g", Version: 6, Claim: &linkpb.Claim{Vm: "x", Life: 3, StrongestShare: 480}}})
	must.Eq(t, Rank{Strongest: 0.48}, k.rank())
	must.False(t, k.strongerKnown())
	must.Eq(t, Rank{}, func() Rank {
		k.Merge([]GroupClaim{{Group: "g", Version: 7, Claim: &linkpb.Claim{Vm: "old build", Life: 4}}})
		return k.rank()
	}())
}

// A planned stop chooses by the same rank. When the chosen VM dies during the handover, the group is claimed
// again as after any death of an owner.
func TestGroupIsClaimedAgainWhenSuccessorDies(t *testing.T) {
	store := &fakeStore{version: 5}
	k := newKeeper(store, func([]GroupClaim) {})
	k.readNothing()
	k.Merge([]GroupClaim{{Group: "g", Version: 5, Claim: &linkpb.Claim{Vm: "v", Life: 1}}})
	k.SetTargets(300)
	must.NoError(t, k.HandOver(t.Context(), []heartbeat.Pinger{
		{VM: "few sockets", Incarnation: 3, FailureDomain: "g", CPUShare: 800, Limits: heartbeat.Limits{Sockets: 800}},
		{VM: "w", Incarnation: 2, FailureDomain: "g", CPUShare: 480, Limits: heartbeat.Limits{Sockets: 3900}},
	}, &fakeClaimSender{}))
	claim, _ := k.Claim()
	must.Eq(t, "w", claim.Claim.GetVm())
	must.Eq(t, 480, claim.Claim.GetStrongestShare())
	k.OwnerDied(2)
	k.claimIfDue(t.Context())
	claim, _ = k.Claim()
	must.Eq(t, "v", claim.Claim.GetVm())
}

// choiceWorld plays the claims and handovers of the VMs of one failure domain. A claim is known to all VMs after a
// step of the world, which is as long as a write to the store takes.
type choiceWorld struct {
	vms   []heartbeat.Pinger
	owner int // -1 while there is none
	since time.Duration
	// checks are those of the present owner.
	checks    Checks
	history   *history
	handovers []int
}

const worldStep = 10 * time.Millisecond

// step lets the VMs decide. jobs are the open jobs of the owner.
func (w *choiceWorld) step(now time.Duration, jobs int) {
	if w.owner < 0 {
		for i, p := range w.vms {
			delay := ClaimDelay(p.VM, float64(p.CPUShare)/shareUnit, p.Limits, Rank{Strongest: startCPUShare})
			if now >= p.FirstHeard && ShouldClaim(Observation{ClaimAge: now - p.FirstHeard, ClaimDelay: delay}) {
				w.owner, w.since = i, now
				return
			}
		}
		return
	}
	if (now-w.since)%CheckInterval != 0 {
		return
	}
	var pingers []heartbeat.Pinger
	for i, p := range w.vms {
		if i != w.owner && now >= p.FirstHeard {
			p.FirstHeard, p.LastHeard = max(p.FirstHeard, w.since), now
			pingers = append(pingers, p)
		}
	}
	own := w.vms[w.owner]
	to, reason := w.checks.Next(now, "d", Owner{CPUShare: own.CPUShare, Limits: own.Limits, OpenJobs: jobs}, w.history.candidates(now, own.Limits.DeclaredCPUShare, pingers))
	if reason == "" {
		return
	}
	w.history.record(now, own.Incarnation, to.VM, true)
	w.owner, w.since, w.checks = int(to.Incarnation)-1, now, Checks{}
	w.handovers = append(w.handovers, w.owner)
}

// newChoiceWorld starts VMs with the given shares within 0.3 s in any order.
func newChoiceWorld(random *rand.Rand, shares ...int32) *choiceWorld {
	w := &choiceWorld{owner: -1, history: newHistory()}
	for i, share := range shares {
		w.vms = append(w.vms, heartbeat.Pinger{
			VM: fmt.Sprint("vm", random.IntN(1000)*100+i), Incarnation: uint64(i + 1), FailureDomain: "d", CPUShare: share,
			Limits: heartbeat.Limits{DeclaredCPUShare: share}, FirstHeard: time.Duration(random.IntN(31)) * worldStep,
		})
	}
	return w
}

// The owner is one of the strongest VMs before the load begins, whatever the order of the starts.
func TestStrongestVMOwnsBeforeTheLoad(t *testing.T) {
	for _, shares := range [][]int32{
		{144, 480, 800, 144, 480, 800, 144, 144, 144, 144}, {192, 192, 192, 800, 800, 192}, {400, 400, 400}, {480, 800}, {600, 800, 700},
	} {
		for seed := range uint64(200) {
			w := newChoiceWorld(rand.New(rand.NewPCG(seed, 7)), shares...)
			for now := time.Duration(0); now < 2*time.Second; now += worldStep {
				w.step(now, 0)
			}
			for _, p := range w.vms {
				must.Less(t, idleFactor*float64(w.vms[w.owner].CPUShare), float64(p.CPUShare), must.Sprint(seed, shares))
			}
			must.LessEq(t, 1, len(w.handovers), must.Sprint(seed, shares))
		}
	}
}

// VMs whose measured shares vary, with and without load, don't hand the group back and forth.
func TestVaryingSharesDontMoveTheGroupBackAndForth(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 8))
		w := newChoiceWorld(random, 800, 800, 480, 144)
		left := map[int]time.Duration{}
		for now := time.Duration(0); now < historyRetention; now += worldStep {
			if now%time.Second == 0 {
				for i := range w.vms {
					w.vms[i].CPUShare = int32(float64(w.vms[i].Limits.DeclaredCPUShare) * []float64{1, 1, 0.6, 0.2}[random.IntN(4)])
				}
			}
			before := w.owner
			w.step(now, random.IntN(2))
			if before >= 0 && before != w.owner {
				must.True(t, left[w.owner] == 0 || now-left[w.owner] >= firstPause, must.Sprint(seed, now))
				left[before] = now
			}
		}
		must.Less(t, 25, len(w.handovers), must.Sprint(seed))
	}
}

// A load that slows down whichever VM owns the group doesn't move it through all VMs.
func TestLoadThatSlowsEachOwnerDoesNotMoveTheGroupOn(t *testing.T) {
	for _, slowed := range []int32{480, 360} {
		w := newChoiceWorld(rand.New(rand.NewPCG(1, 9)), 800, 800, 800, 800, 800, 800, 800, 800, 800, 800, 800)
		for now := time.Duration(0); now < time.Minute; now += worldStep {
			for i := range w.vms {
				w.vms[i].CPUShare = 800
			}
			if w.owner >= 0 {
				w.vms[w.owner].CPUShare = slowed
			}
			w.step(now, 1)
		}
		must.Between(t, 1, len(w.handovers), maxRecent*int(time.Minute/firstPause))
	}
}

// After several handovers a VM with a larger declared share still gets the group at once.
func TestStrongerVMDoesNotWaitAfterHandovers(t *testing.T) {
	h := newHistory()
	for giver := range uint64(maxRecent) {
		h.record(0, giver+1, "v", false)
	}
	as := func(declared int32) heartbeat.Pinger {
		return heartbeat.Pinger{Incarnation: 9, CPUShare: 800, Limits: heartbeat.Limits{DeclaredCPUShare: declared}}
	}
	must.SliceEmpty(t, h.candidates(time.Second, 480, []heartbeat.Pinger{as(480)}))
	must.SliceLen(t, 1, h.candidates(time.Second, 480, []heartbeat.Pinger{as(800)}))
	must.SliceLen(t, 1, h.candidates(firstPause, 480, []heartbeat.Pinger{as(480)}))
}
