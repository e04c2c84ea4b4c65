package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/shares"
)

// queueName returns the queue of a caller's job: without profiles the only one, otherwise one of
// three, of which "rest" is in no profile.
func (w *world) queueName(c *caller) string {
	if w.profiles == nil || w.profiles.Profiles == nil {
		return "q"
	}
	return []string{"low", "high", "rest"}[len(c.id)*c.tasks%3]
}

// drawProfiles draws the next version of the profiles.
func (w *world) drawProfiles(rt *rapid.T) {
	share := func(name string, least int) float64 { return float64(rapid.IntRange(least, 10).Draw(rt, name)) / 10 }
	next := &shares.Profiles{Version: 1}
	if w.profiles != nil {
		next.Version = w.profiles.Version + 1
	}
	if rapid.IntRange(0, 5).Draw(rt, "off") > 0 {
		next.Profiles = []shares.Profile{
			{Name: "low", Queues: []string{"low"}, Limit: share("low", 0), Weight: 1},
			{Name: "high", Queues: []string{"high", "k"}, Guarantee: share("guarantee", 0), Limit: 1, Weight: 3},
		}
	}
	w.profiles = next
	for _, o := range w.owners {
		w.deliver(o, func() { o.state.SetProfiles(w.now, next) })
	}
}

// checkLimit records a violation if a profile exceeds its limit right after a start.
func (w *world) checkLimit(o *fakeOwner, e StartRun) {
	t := o.state.targets[e.To.ID]
	if t == nil || t.pool.shares == nil || t.runs[e.Run.Task] == nil {
		return
	}
	r, sh := t.runs[e.Run.Task], t.pool.shares
	if r.RunID == e.Run && r.copies.count == 1 && sh.UnderLimit(r.task.job.account, sh.capacity) < 0 {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s starts beyond the limit of %s", w.now, e.Run.Task, sh.Name(r.task.job.account)))
	}
}

// checkLedgers records a violation if a ledger differs from what runs and waits.
func (w *world) checkLedgers() {
	for _, o := range w.owners {
		for service, p := range o.state.pools {
			if p.shares == nil {
				continue
			}
			capacity, used, waiting := int64(0), make([]int64, p.shares.Accounts()), make([]int64, p.shares.Accounts())
			for _, t := range p.targets {
				if !t.acceptsTasks() {
					continue
				}
				capacity += t.Capacity.CPU
				if st := t.reservedFor; st != nil && !st.Gang && !slices.ContainsFunc(p.shares.holds, func(h hold) bool { return h.st == st }) {
					w.violations = append(w.violations, fmt.Sprintf("%v: %s is reserved without a hold", w.now, t.ID))
				}
				for _, r := range t.runs {
					used[p.shares.AccountOf(r.task.job.sub.Queue.Name)] += r.task.step.PerTask.CPU
				}
			}
			for _, j := range o.state.waiting {
				if j.pool == p && !j.ended {
					waiting[j.account] += j.initialNeed().total
				}
			}
			for i := range p.shares.Accounts() {
				if capacity != p.shares.capacity || used[i] != p.shares.Used(i) || waiting[i] != p.shares.Waiting(i) {
					w.violations = append(w.violations, fmt.Sprintf("%v: service %s, account %s: capacity %d, used %d, waiting %d, but counted %d, %d, %d",
						w.now, service, p.shares.Name(i), capacity, used[i], waiting[i], p.shares.capacity, p.shares.Used(i), p.shares.Waiting(i)))
				}
			}
		}
	}
}

// TestFuzzProfiles combines changes of the profiles with all other faults: takeovers, frozen and
// deposed owners, lost orders, lost targets and delegated parts. What each profile uses and wants is
// always what runs and waits at the owner. All other invariants hold as without profiles.
func TestFuzzProfiles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { playProfiles(rt, nil) })
}

// playProfiles plays one random history of profiles.
func playProfiles(rt *rapid.T, trace *worldTrace) {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 20).Draw(rt, name)) / 100 }
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "targets"), worldFaults{
		lostOrders: share("lost"), lateOrders: share("late"), lostAnswers: share("answers"), failing: share("failing"),
		broken: share("broken"),
	})
	w.trace = trace
	w.longest = rapid.SampledFrom([]int{100, 800}).Draw(rt, "longest")
	w.drawProfiles(rt)
	if rapid.Bool().Draw(rt, "lending") {
		w.addOtherOwner(rapid.IntRange(1, 3).Draw(rt, "others"))
	}
	w.takeOver()
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		if rapid.IntRange(0, 4).Draw(rt, "profiles") == 0 {
			w.drawProfiles(rt)
		}
		injectEvent(rt, w)
		w.run(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * ms)
		w.checkLedgers()
		if len(w.violations) > 0 {
			rt.Fatalf("broken: %v", w.violations)
		}
	}
	w.run(5 * time.Second)
	w.checkLedgers()
	if len(w.violations) > 0 {
		rt.Fatalf("broken: %v", w.violations)
	}
}

// A version without profiles changes no decision against a State that was never told of any.
func TestEmptyProfilesChangeNothing(t *testing.T) {
	for seed := 1; seed <= repeatedSeeds; seed++ {
		play := func(profiles *shares.Profiles) []string {
			return traceWorld(seed, func(rt *rapid.T, trace *worldTrace) { playOwnershipWith(rt, trace, profiles, Options{}) })
		}
		plain := play(nil)
		must.SliceNotEmpty(t, plain)
		must.Eq(t, "", firstDifference(plain, play(&shares.Profiles{Version: 1})), must.Sprintf("seed %d", seed))
	}
}
