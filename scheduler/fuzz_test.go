package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// TestFuzzOwnership plays random faults: lost and late orders; targets that crash, hang or fall
// silent; owners that die, freeze or are cut off while another takes over; callers that leave or
// send again. A task must never run twice at one time, and a started job must not be refused.
func TestFuzzOwnership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { playOwnership(rt, nil) })
}

// playOwnership plays one random history of faults.
func playOwnership(rt *rapid.T, trace *worldTrace) { playOwnershipWith(rt, trace, nil, Options{}) }

// TestFuzzOwnershipWithParts plays the same faults with all optional parts of the scheduler switched on.
func TestFuzzOwnershipWithParts(t *testing.T) {
	parts := Options{PlaceByEnd: true, CorrectAdmission: true, ReturnTimes: true}
	rapid.Check(t, func(rt *rapid.T) { playOwnershipWith(rt, nil, nil, parts) })
}

// playOwnershipWith plays one random history of faults under profiles and with optional parts.
func playOwnershipWith(rt *rapid.T, trace *worldTrace, profiles *shares.Profiles, parts Options) {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 25).Draw(rt, name)) / 100 }
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "targets"), worldFaults{
		lostOrders: share("lost"), lateOrders: share("late"), lostAnswers: share("answers"), failing: share("failing"),
		broken: share("broken"),
	})
	w.trace, w.profiles, w.parts = trace, profiles, parts
	w.longest = rapid.SampledFrom([]int{100, 800, 2500}).Draw(rt, "longest")
	if rapid.Bool().Draw(rt, "lending") {
		w.addOtherOwner(rapid.IntRange(1, 3).Draw(rt, "others"))
	}
	w.takeOver()
	w.run(200 * ms)
	for range rapid.IntRange(5, 80).Draw(rt, "steps") {
		injectEvent(rt, w)
		w.run(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * ms)
		if len(w.violations) > 0 {
			rt.Fatalf("broken: %v", w.violations)
		}
	}
	w.run(5 * time.Second)
	if len(w.violations) > 0 {
		rt.Fatalf("broken: %v", w.violations)
	}
}

func injectEvent(rt *rapid.T, w *world) {
	o := w.owner()
	ids := w.targetIDs()
	target := w.targets[rapid.SampledFrom(ids).Draw(rt, "target")]
	switch rapid.SampledFrom([]string{
		"call", "call", "call", "call", "leave", "crash", "hang", "silent", "die", "freeze", "cut", "depose", "link", "raise",
		"reset", "reset", "overtake",
	}).Draw(rt, "action") {
	case "call":
		w.addCaller(rapid.IntRange(1, 6).Draw(rt, "tasks"))
	case "leave":
		if refs := sortedRefs(o.refs); len(refs) > 0 {
			w.disconnect(o, refs[0])
		}
	case "reset":
		if refs := sortedRefs(o.refs); len(refs) > 0 {
			at := rapid.IntRange(0, len(refs)-1).Draw(rt, "connection")
			w.breakConnection(o, refs[at], time.Duration(rapid.IntRange(0, 120).Draw(rt, "rejoin"))*ms)
		}
	case "overtake":
		w.rejoinBeforeSubmit(rapid.IntRange(1, 6).Draw(rt, "tasks"), time.Duration(rapid.IntRange(0, 60).Draw(rt, "turn"))*ms)
	case "crash":
		target.countLostRuns()
		target.crash()
	case "hang":
		target.hung = true
		w.after(time.Second, func() { target.hung = false })
	case "silent":
		target.silent = true
		w.after(time.Duration(200+w.random.IntN(1500))*ms, func() { target.silent = false })
	case "die":
		o.dead = true
		w.dropCallers(o, 0)
		w.after(silenceTimeout, func() { w.takeOver() })
	case "freeze":
		o.frozen = true
		w.dropCallers(o, silenceTimeout)
		w.after(silenceTimeout, func() { w.takeOver() })
		w.after(time.Duration(500+w.random.IntN(3000))*ms, func() { o.frozen = false })
	case "cut":
		o.cut = true
		w.dropCallers(o, silenceTimeout)
		w.after(silenceTimeout, func() { w.takeOver() })
	case "link":
		if w.otherOwner != nil && !w.linkCut {
			w.cutLink(time.Duration(100+w.random.IntN(2000)) * ms)
		}
	case "raise":
		w.raiseToken()
	case "depose":
		// The claim was written late: the previous owner is alive and does not know of its
		// successor.
		w.takeOver()
	}
}

// A token that rises while orders are on their way fails no job.
func TestJobsCompleteWhileTokenRises(t *testing.T) {
	w := newWorld(2, 4, worldFaults{})
	w.takeOver()
	w.run(200 * ms)
	for range 100 {
		w.addCaller(2)
		w.raiseToken()
		w.addCaller(2)
		w.run(100 * ms)
	}
	w.run(5 * time.Second)
	must.SliceEmpty(t, w.violations)
	for _, c := range w.callers {
		must.Eq(t, []work.Result{work.Completed}, c.outcomes)
	}
}

// Jobs are served despite a few lost and late orders.
func TestJobsCompleteDespiteFaults(t *testing.T) {
	w := newWorld(1, 4, worldFaults{lostOrders: 0.02, lateOrders: 0.03, lostAnswers: 0.02})
	w.takeOver()
	w.run(200 * ms)
	for range 200 {
		w.addCaller(2)
		w.run(60 * ms)
	}
	w.run(5 * time.Second)
	must.SliceEmpty(t, w.violations)
	completed := 0
	for _, c := range w.callers {
		for _, outcome := range c.outcomes {
			if outcome == work.Completed {
				completed++
			}
		}
	}
	must.Greater(t, 180, completed)
}
