package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/burdockward/burdockward/work"
)

// fleet is several failure domains with one store of durable jobs. Each domain is a world with owners and
// targets of its own; what callers and targets see of a job is shared.
type fleet struct{ domains []*world }

// newFleet makes a fleet of failure domains with a number of targets each.
func newFleet(seed uint64, domains, targets int, faults worldFaults) *fleet {
	f := &fleet{}
	for i := range domains {
		w := newWorld(seed+uint64(i), 0, faults)
		w.group, w.cordons, w.refs = fmt.Sprintf("domain-%d", i), &fakeCordons{}, Ref(i*100_000)
		if i > 0 {
			first := f.domains[0]
			w.durableStore.jobs, w.running, w.started, w.callers = first.durableStore.jobs, first.running, first.started, first.callers
			w.acknowledged, w.acknowledgedBy, w.startedAt, w.ackedFailures = first.acknowledged, first.acknowledgedBy, first.startedAt, first.ackedFailures
			w.failedRuns, w.done, w.saved, w.gangs = first.failedRuns, first.done, first.saved, first.gangs
		}
		w.fleet = f
		f.domains = append(f.domains, w)
	}
	for _, w := range f.domains {
		for range targets {
			w.addTarget()
		}
	}
	for _, w := range f.domains {
		w.takeOver()
	}
	return f
}

// run advances all domains by a time span.
func (f *fleet) run(length time.Duration) {
	end := f.domains[0].now + length
	for {
		var next *world
		for _, w := range f.domains {
			if len(w.queue) > 0 && (next == nil || w.queue[0].at < next.queue[0].at) {
				next = w
			}
		}
		at := end
		if next != nil {
			at = min(next.queue[0].at, end)
		}
		for _, w := range f.domains {
			w.now = at
		}
		if next == nil || next.queue[0].at > end {
			return
		}
		next.run(0)
	}
}

// domain returns the world of a group.
func (f *fleet) domain(group string) *world {
	return f.domains[slices.IndexFunc(f.domains, func(w *world) bool { return w.group == group })]
}

// listForeign has the registry name a target to the owners of other domains, unlistForeign drop it, and
// listTo name all to a new owner.
func (f *fleet) listForeign(t *fakeTarget) {
	f.eachForeignOwner(t.world, func(o *fakeOwner) { o.state.ForeignTargetListed(t.listed()) })
}

func (f *fleet) unlistForeign(t *fakeTarget) {
	f.eachForeignOwner(t.world, func(o *fakeOwner) { o.state.ForeignTargetUnlisted(t.id) })
}

func (f *fleet) listTo(w *world, o *fakeOwner) {
	if f == nil {
		return
	}
	for _, other := range f.domains {
		for _, id := range other.targetIDs() {
			if t := other.targets[id]; other != w && !t.down {
				o.state.ForeignTargetListed(t.listed())
			}
		}
	}
}

func (f *fleet) eachForeignOwner(w *world, do func(*fakeOwner)) {
	if f == nil {
		return
	}
	for _, other := range f.domains {
		for _, o := range other.owners {
			if other != w {
				do(o)
			}
		}
	}
}

// reportCordons tells an owner which failure domains are cordoned.
func (f *fleet) reportCordons(o *fakeOwner) {
	if f == nil {
		return
	}
	var cordoned []string
	for _, w := range f.domains {
		if w.cordons.cordoned {
			cordoned = append(cordoned, w.group)
		}
	}
	o.state.SetCordonedDomains(cordoned)
}

// reportOwners tells an owner which failure domains have one that is alive.
func (f *fleet) reportOwners(o *fakeOwner) {
	if f == nil {
		return
	}
	owned := []string{}
	for _, w := range f.domains {
		if len(w.owners) > 0 && !w.owner().dead {
			owned = append(owned, w.group)
		}
	}
	o.state.SetOwnedDomains(owned)
}

// move stores that a job belongs to another domain, with all that its owner has recorded, and has the owner
// there adopt it.
func (f *fleet) move(w *world, o *fakeOwner, e MoveJob) {
	w.after(time.Duration(1+w.random.IntN(maxStoreDelay))*ms, func() {
		switch {
		case w.durableStore.holder != o:
		case !w.reachesStore(o) && w.random.IntN(4) == 0:
			w.deliver(o, func() { o.state.HandleJobMoved(w.now, e.Job, false) })
		case !w.reachesStore(o) || o.unwritten[e.Job] > 0:
			f.move(w, o, e)
		default:
			w.durableStore.jobs[e.Job].group = e.Group
			w.after(time.Duration(1+w.random.IntN(maxStoreDelay))*ms, func() { w.deliver(o, func() { o.state.HandleJobMoved(w.now, e.Job, true) }) })
			f.adopt(f.domain(e.Group), e.Job)
		}
	})
}

// adopt has the present owner of a domain continue a job that has moved there. A later one finds the job in
// the store.
func (f *fleet) adopt(w *world, id string) {
	o := w.owner()
	w.after(time.Duration(1+w.random.IntN(100))*ms, func() {
		r := w.durableStore.jobs[id]
		switch {
		case r.state.IsFinal() || r.group != w.group || w.durableStore.holder != o:
		case !w.reachesStore(o) || !o.accepting:
			f.adopt(w, id)
		default:
			w.deliver(o, func() { w.resumeJob(o, r) })
		}
	})
}

// cancel has a caller cancel the first job that hasn't ended, where it is.
func (f *fleet) cancel() {
	jobs := f.domains[0].durableStore.jobs
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if r := jobs[id]; !r.state.IsFinal() {
			w := f.domain(r.group)
			if o := w.owner(); !o.dead && !o.frozen {
				r.cancelRequested = true
				o.state.CancelJob(w.now, id)
				w.applyEffects(o)
			}
			return
		}
	}
}

// violations lists the invariants that were broken.
func (f *fleet) violations() []string {
	var all []string
	for _, w := range f.domains {
		all = append(all, w.violations...)
	}
	return all
}

// waitsBesideCapacity is that of a world for the domains that aren't cordoned.
func (f *fleet) waitsBesideCapacity(r *jobRecord) bool {
	open := &world{durableStore: f.domains[0].durableStore, running: f.domains[0].running, targets: map[string]*fakeTarget{}}
	for _, w := range f.domains {
		if !w.cordons.cordoned {
			maps.Copy(open.targets, w.targets)
		}
	}
	return open.waitsBesideCapacity(r)
}

// jobsLeftWaiting lists the jobs that waitsBesideCapacity reports for idleTime, finishTime after the end of
// all faults.
func (f *fleet) jobsLeftWaiting() []string {
	f.run(finishTime)
	waiting := map[string]bool{}
	for id := range f.domains[0].durableStore.jobs {
		waiting[id] = true
	}
	for range int(idleTime / (50 * ms)) {
		f.run(50 * ms)
		for id := range waiting {
			if !f.waitsBesideCapacity(f.domains[0].durableStore.jobs[id]) {
				delete(waiting, id)
			}
		}
	}
	return slices.Sorted(maps.Keys(waiting))
}

// describe returns what the domains know of their open jobs.
func (f *fleet) describe() string {
	text := ""
	for _, w := range f.domains {
		text += fmt.Sprintf("\n%s, cordoned %v:%s", w.group, w.cordons.cordoned, w.describeOpenJobs())
	}
	return text
}

// Whatever is evacuated, given back or lost: jobs whose failure domain is cordoned are run elsewhere, each
// task once, if one domain isn't cordoned. Plain jobs, jobs with steps, gangs, lasting and repeated ones move,
// beside owners that are lost and an unavailable store.
func TestFuzzEvacuations(t *testing.T) {
	setChecks(t, 200)
	rapid.Check(t, func(rt *rapid.T) { playEvacuations(rt) })
}

// playEvacuations plays one random history of evacuations.
func playEvacuations(rt *rapid.T) {
	f := newFleet(rapid.Uint64().Draw(rt, "seed"), 3, 3, worldFaults{
		lostOrders: float64(rapid.IntRange(0, 3).Draw(rt, "lost")) / 100, failing: float64(rapid.IntRange(0, 10).Draw(rt, "failing")) / 100,
	})
	longest := rapid.SampledFrom([]int{100, 800, 3000}).Draw(rt, "longest")
	for _, w := range f.domains {
		w.longest = longest
	}
	f.run(3 * time.Second)
	for range rapid.IntRange(5, 40).Draw(rt, "steps") {
		w := rapid.SampledFrom(f.domains).Draw(rt, "domain")
		injectEvacuationStep(rt, f, w)
		f.run(time.Duration(rapid.IntRange(0, 800).Draw(rt, "pause")) * ms)
		if broken := f.violations(); len(broken) > 0 {
			rt.Fatalf("broken: %v%s", broken, f.describe())
		}
	}
	for i, w := range f.domains {
		w.faults, w.durableStore.unavailable = worldFaults{}, false
		if cordoned := i != 0 && rapid.Bool().Draw(rt, "stays cordoned"); cordoned != w.cordons.cordoned {
			w.toggleCordon()
		}
	}
	f.reportToAll()
	left := f.jobsLeftWaiting()
	must.SliceEmpty(rt, left, must.Sprint(left, f.describe()))
	must.SliceEmpty(rt, f.violations(), must.Sprint(f.violations(), f.describe()))
}

// injectEvacuationStep plays one random event in a failure domain.
func injectEvacuationStep(rt *rapid.T, f *fleet, w *world) {
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "evacuate", "evacuate", "evacuate", "die", "freeze", "depose", "store", "crash", "cancel", "cancel storing"}).Draw(rt, "action") {
	case "submit":
		w.lasting = len(w.durableStore.jobs)%3 > 0
		w.submitDurable(w.drawJob(rt), false)
	case "evacuate":
		w.toggleCordon()
		f.reportToAll()
	case "die":
		w.owner().dead = true
		w.after(silenceTimeout, func() { w.takeOver() })
	case "freeze":
		o := w.owner()
		o.frozen = true
		w.after(silenceTimeout, func() { w.takeOver() })
		w.after(time.Duration(500+w.random.IntN(3000))*ms, func() { o.frozen = false })
	case "depose":
		w.takeOver()
	case "store":
		for _, each := range f.domains {
			each.durableStore.unavailable = true
			each.after(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "away"))*ms, func() { each.durableStore.unavailable = false })
		}
	case "crash":
		w.targets[rapid.SampledFrom(w.targetIDs()).Draw(rt, "target")].crash()
	case "cancel":
		f.cancel()
	case "cancel storing":
		w.submitDurable(w.drawJob(rt), false)
		w.cancelStoring()
	}
}

// reportToAll tells all owners after a while which failure domains are cordoned.
func (f *fleet) reportToAll() {
	for _, w := range f.domains {
		for _, o := range w.owners {
			w.reportCordon(o)
		}
	}
}

// Jobs of an evacuated failure domain go on elsewhere within the time that a job may have nothing running,
// whatever they are made of. A lasting task that fails there takes the others of its job along, which
// would never end by themselves.
func TestJobsOfCordonedDomainRunElsewhere(t *testing.T) {
	step := work.Step{Tasks: 2, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: 50 * ms}
	second := step
	second.DependsOn = []int{0}
	gang, lasting := step, step
	gang.Gang, lasting.Lasting = true, true
	for kind, job := range map[string]work.Job{
		"steps":    {Steps: []work.Step{step, second}},
		"gang":     {Steps: []work.Step{step, {Tasks: 2, Gang: true, DependsOn: []int{0}, PerTask: step.PerTask, DeclaredRunTime: 50 * ms}}},
		"lasting":  {Steps: []work.Step{lasting}},
		"repeated": {Steps: []work.Step{step}, Recurrence: work.Recurrence{Count: 3, FirstDue: wallBase + 4*time.Second, Interval: time.Second}},
	} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(3, 3, 2, worldFaults{})
			f.run(3 * time.Second)
			w := f.domains[2]
			w.longest = 4000
			for range 4 {
				w.submitDurable(job, false)
			}
			f.run(70 * ms)
			w.toggleCordon()
			f.reportToAll()
			left := f.jobsLeftWaiting()
			must.SliceEmpty(t, left, must.Sprint(left, f.describe()))
			must.SliceEmpty(t, f.violations())
			if kind != "lasting" {
				must.SliceEmpty(t, w.unendedJobs(), must.Sprint(f.describe()))
			}
			groups := map[string]bool{}
			for _, r := range w.durableStore.jobs {
				groups[r.group] = true
			}
			must.MapNotContainsKey(t, groups, w.group)
			must.Eq(t, 2, len(groups), must.Sprint("all jobs have gone to one domain"))
		})
	}
}
