package scheduler

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Jobs are served in a world of several VMs without faults.
func TestVMsServeJobsWithoutFaults(t *testing.T) {
	w := newVMWorld(1, 2, 3, 4, false)
	w.run(time.Second)
	for range 200 {
		w.addClient(2, 1500*ms)
		w.run(30 * ms)
	}
	w.run(2 * time.Second)
	must.SliceEmpty(t, w.violations)
	must.Eq(t, 200, w.completed, must.Sprint(strings.Join(w.trace, "\n")))
}

// faultSeries lists series of faults that overlap, by the kinds that they have.
var faultSeries = []struct {
	name  string
	kinds []string
}{
	{"entry", []string{"entry", "behind", "stops"}},
	{"targets", []string{"cuts", "stops", "late", "behind"}},
	{"handover", []string{"handover", "late", "cuts"}},
	{"rejoin", []string{"rejoin", "entry", "handover"}},
	{"all", []string{"entry", "behind", "cuts", "stops", "handover", "rejoin", "late"}},
}

// TestFuzzOverlappingFaults plays series of faults that overlap, of several kinds at once: entry VMs
// that die, freeze or are cut off; owners that are behind; targets that are cut off or carry orders
// out late; handovers while the store is away; lent tasks; connections that break again and again. A
// task must never run twice at one time at targets that are up.
func TestFuzzOverlappingFaults(t *testing.T) {
	setRapidFlag(t, "rapid.checks", "100", "30")
	setRapidFlag(t, "rapid.seed", "0", "1")
	for _, series := range faultSeries {
		t.Run(series.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { playOverlappingFaults(rt, series.kinds) })
		})
	}
}

// The same seed plays the same world.
func TestVMWorldIsDeterministic(t *testing.T) {
	setRapidFlag(t, "rapid.checks", "100", "10")
	setRapidFlag(t, "rapid.seed", "0", "1")
	var traces [2][]string
	for i := range traces {
		rapid.Check(t, func(rt *rapid.T) {
			traces[i] = append(traces[i], playOverlappingFaults(rt, faultSeries[len(faultSeries)-1].kinds).trace...)
		})
	}
	must.Eq(t, traces[0], traces[1])
}

// setRapidFlag sets a flag of rapid for one test, unless it differs from its default already.
func setRapidFlag(t *testing.T, name, fallback, value string) {
	t.Helper()
	if flag.Lookup(name).Value.String() == fallback {
		must.NoError(t, flag.Set(name, value))
		t.Cleanup(func() { _ = flag.Set(name, fallback) })
	}
}

func playOverlappingFaults(rt *rapid.T, kinds []string) *vmWorld {
	return playFaults(rt, kinds, func(*vmWorld) {})
}

// playFaults plays faults of the given kinds in a world that prepare has changed.
func playFaults(rt *rapid.T, kinds []string, prepare func(w *vmWorld)) *vmWorld {
	w := newVMWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 2).Draw(rt, "domains"),
		rapid.IntRange(2, 3).Draw(rt, "vms"), rapid.IntRange(1, 4).Draw(rt, "targets"), rapid.Bool().Draw(rt, "restarts"))
	w.longest = rapid.SampledFrom([]int{100, 800, 2500, 5000}).Draw(rt, "longest")
	prepare(w)
	active := map[string]bool{}
	for _, kind := range kinds {
		active[kind] = rapid.IntRange(0, 3).Draw(rt, kind) > 0
	}
	w.drawShares(rt, active)
	var actions []string
	for _, kind := range kinds {
		if active[kind] {
			actions = append(actions, faultActions[kind]...)
		}
	}
	w.run(time.Second)
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		if len(actions) == 0 || rapid.IntRange(0, 2).Draw(rt, "calls") > 0 {
			w.addClient(rapid.IntRange(1, 4).Draw(rt, "tasks"), rapid.SampledFrom([]time.Duration{1500 * ms, 5 * time.Second}).Draw(rt, "timeout"))
		} else {
			w.injectBurst(rt, actions)
		}
		w.run(time.Duration(rapid.IntRange(0, 250).Draw(rt, "pause")) * ms)
		w.mustHold(rt)
	}
	w.run(5 * time.Second)
	w.mustHold(rt)
	return w
}

// drawShares draws the faults that happen to single messages.
func (w *vmWorld) drawShares(rt *rapid.T, active map[string]bool) {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 15).Draw(rt, name)) / 100 }
	if active["late"] {
		w.faults.lateOrders, w.maxLate = share("late orders"), 12*time.Second
		w.faults.lostOrders, w.faults.lostAnswers, w.faults.broken = share("lost"), share("answers"), share("broken")
		w.faults.failing = share("failing")
	}
	if active["behind"] {
		w.pauses = share("pauses")
	}
	if active["rejoin"] {
		w.requestDelays = share("delays")
	}
}

func (w *vmWorld) mustHold(rt *rapid.T) {
	if len(w.violations) == 0 {
		return
	}
	job, _, _ := strings.Cut(strings.Fields(w.violations[0])[1], ".")
	about := slices.DeleteFunc(slices.Clone(w.trace), func(line string) bool {
		return strings.Contains(line, "job") && !strings.Contains(line, job+".") && !strings.Contains(line, job+" ") && !strings.Contains(line, job+":") && !strings.Contains(line, job+",")
	})
	rt.Fatalf("broken: %v\n%s", w.violations, strings.Join(about, "\n"))
}

// faultActions lists the faults of each kind.
var faultActions = map[string][]string{
	"entry":    {"die", "freeze", "latency", "reset caller", "cut vm", "restart"},
	"behind":   {"stall", "stall", "stall loop", "stall senders", "pause"},
	"cuts":     {"cut target", "cut target", "crash", "hang", "reborn"},
	"stops":    {"stops"},
	"handover": {"store", "handover", "cut store", "claim"},
	"rejoin":   {"reset", "reset", "reset all"},
	"late":     {},
}

func (w *vmWorld) drawVM(rt *rapid.T) *vm {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")]
}

func drawTime(rt *rapid.T, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, "time")) * ms
}

func (w *vmWorld) drawTarget(rt *rapid.T) *fakeTarget {
	return w.targets[rapid.SampledFrom(w.targetIDs()).Draw(rt, "target")]
}

// injectBurst plays a few faults soon after one another.
func (w *vmWorld) injectBurst(rt *rapid.T, actions []string) {
	for range rapid.IntRange(1, 5).Draw(rt, "burst") {
		w.inject(rt, rapid.SampledFrom(actions).Draw(rt, "action"))
		w.run(time.Duration(rapid.IntRange(0, 80).Draw(rt, "soon")) * ms)
	}
}

// inject plays one fault.
func (w *vmWorld) inject(rt *rapid.T, action string) {
	v := w.drawVM(rt)
	switch action {
	case "die":
		w.kill(v)
		w.after(drawTime(rt, 300, 3000), func() { w.startProcess(v.slot, v.domain) })
	case "restart":
		w.kill(v)
		w.startProcess(v.slot, v.domain)
	case "freeze":
		v.stall(drawTime(rt, 400, 4000))
	case "latency":
		w.latency[v.name] = drawTime(rt, 0, 150)
	case "reset caller":
		if len(v.requests) > 0 {
			v.requests[len(v.requests)-1].reset()
		}
	case "cut vm":
		other, length := w.drawVM(rt), drawTime(rt, 200, 3000)
		if rapid.Bool().Draw(rt, "both") {
			w.cut(other.name, v.name, length)
		}
		w.cut(v.name, other.name, length)
	case "stall":
		v.stall(drawTime(rt, 50, 390))
	case "pause":
		v.stall(drawTime(rt, 400, 1500))
	case "stall loop":
		for _, o := range v.owners() {
			o.loopStalledUntil = w.now + drawTime(rt, 50, 390)
		}
	case "stall senders":
		v.sendersStalledUntil = w.now + drawTime(rt, 50, 390)
	default:
		w.injectAround(rt, v, action)
	}
}

// injectAround plays a fault of targets, the store or connections.
func (w *vmWorld) injectAround(rt *rapid.T, v *vm, action string) {
	switch action {
	case "cut target":
		t, length, way := w.drawTarget(rt), drawTime(rt, 200, 6000), rapid.IntRange(0, 2).Draw(rt, "way")
		for _, o := range w.vms {
			if way != 0 {
				w.cut(o.name, t.id, length)
			}
			if way != 1 {
				w.cut(t.id, o.name, length)
			}
		}
	case "crash":
		w.crashTarget(w.drawTarget(rt))
	case "reborn":
		w.restartTarget(w.drawTarget(rt), drawTime(rt, 100, 3000), drawTime(rt, 0, 1500))
	case "hang":
		t := w.drawTarget(rt)
		t.hung = true
		w.after(time.Second, func() { t.hung = false })
	case "stops":
		fault := stopFault{until: w.now + drawTime(rt, 100, 2500), refuses: rapid.Bool().Draw(rt, "refuses")}
		w.stopFault[w.drawTarget(rt).id] = fault
		if rapid.Bool().Draw(rt, "all") {
			for id := range w.targets {
				w.stopFault[id] = fault
			}
		}
	case "store":
		w.storeAway = true
		w.after(drawTime(rt, 500, 6000), func() { w.storeAway = false })
	case "cut store":
		w.cut(v.name, storeName, drawTime(rt, 200, 4000))
	case "handover":
		v.leave(w.now + 2*time.Second)
	case "claim":
		// The claim of a VM that takes a slow owner for dead.
		if w.reachesStore(v) && v.claims[v.domain] != nil && v.claims[v.domain].holder != v {
			v.writeClaim(&vmClaim{group: v.domain, holder: v}, func(bool) {})
		}
	case "reset":
		for _, c := range w.connections {
			if !c.closed && w.random.IntN(4) == 0 {
				c.reset()
			}
		}
	case "reset all":
		for i := range 4 {
			w.after(time.Duration(i)*drawTime(rt, 1, 40), func() {
				for _, c := range w.connections {
					c.reset()
				}
			})
		}
	}
}
