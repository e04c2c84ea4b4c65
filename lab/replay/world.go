package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/shares"
	"github.com/burdockward/burdockward/work"
)

// Options are the inputs of one simulated day.
type Options struct {
	Site Site
	Seed uint64
	// OneOwner puts all targets under one owner.
	OneOwner bool
	// NoDelegation keeps owners from delegating tasks to each other.
	NoDelegation bool
	// Clairvoyant gives the scheduler the longest true run time of each job as its
	// estimate, and removes the network delay of calls to owners and targets.
	Clairvoyant bool
	// BalanceDomains has entry VMs choose owners by entry.ChooseBalanced.
	BalanceDomains bool
	// SendOnce keeps owners from resending unanswered orders.
	SendOnce bool
	// PlaceByEnd has owners prefer targets on which a task is expected to end in time.
	PlaceByEnd bool
	// Profiles are the operator's profiles; empty for none.
	Profiles []shares.Profile
	// CorrectAdmission and ReturnTimes switch the parts of the scheduler of these names on.
	CorrectAdmission, ReturnTimes bool
	// Policy decides where tasks run; Owners stands for burdockward's own scheduler.
	Policy Policy
}

// Counts are numbers of jobs by outcome. Failed jobs got no useful answer. Jobs that are
// still open when the day ends count in Jobs only.
// RefusedLate of the Refused ones were refused more than promptRefusalTime after their submission:
// an owner had accepted them.
type Counts struct{ Jobs, OnTime, Late, Refused, RefusedLate, Failed int }

// Report is the result of one simulated day.
type Report struct {
	Counts
	// Worth is the earned share of the worth of all jobs.
	Worth float64
	// Kinds is the earned share by kind of request, Domains by the callers' failure domain.
	Kinds, Domains []float64
	// ByKind and ByDomain are the counts by kind and by the callers' failure domain.
	ByKind, ByDomain []Counts
	// LateRefusals is the share of the worth of all jobs that belongs to jobs refused more than
	// promptRefusalTime after their submission.
	LateRefusals float64
	// Wasted is the share of the used processor time that went to runs which were stopped or
	// failed.
	Wasted float64
}

// String formats the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("worth %.4f kinds %.3f late refusals %.4f wasted %.4f: %d jobs, %d on time, %d late, %d refused (%d after acceptance), %d failed",
		r.Worth, r.Kinds, r.LateRefusals, r.Wasted, r.Jobs, r.OnTime, r.Late, r.Refused, r.RefusedLate, r.Failed)
}

// world is the simulated deployment.
type world struct {
	options Options
	now     time.Duration
	events  events
	seq     int
	random  *rand.Rand
	owners  []*ownerSim
	targets map[string]*targetSim
	// targetOrder has the target IDs in the order in which they were added.
	targetOrder []string
	// baseline places tasks if a policy other than Owners is played.
	baseline *baseline
	jobs     map[string]*arrival
	report   Report
	// possibleWorth is the worth of all jobs, earnedWorth what their answers earned, and
	// lateRefusedWorth the worth of the jobs that were refused late.
	possibleWorth    float64
	earnedWorth      float64
	lateRefusedWorth float64
	kindWorth        []worthSum
	domainWorth      []worthSum
	// entryVMs are the entry VMs by failure domain; empty if Site.EntryVMs is 0.
	entryVMs [][]*entryVM
	// cpuUsed is the sum of the run times multiplied by thousandths of a core, cpuWasted that of
	// the runs that were stopped or failed.
	cpuUsed   time.Duration
	cpuWasted time.Duration
}

// worthSum is the worth of some jobs, and how much of it was earned.
type worthSum struct{ possible, earned float64 }

// ownerSim is a simulated owner: the real scheduler state, and its open callers.
type ownerSim struct {
	state   *scheduler.State
	index   int
	callers map[scheduler.Ref]*arrival
	lastRef scheduler.Ref
	// load is the load that entry VMs know from its last heartbeat.
	load scheduler.Load
	// partReplies return the outcomes of the parts that this owner runs for others.
	partReplies map[scheduler.Ref]func(work.Outcome)
	// withdrawals cancel the parts that this owner has delegated.
	withdrawals map[scheduler.Part]func()
	// capacityAsked is when it last asked the other owners for their free capacity.
	capacityAsked time.Duration
	// busyUntil is when its processor has done all work given to it so far.
	busyUntil time.Duration
	// incarnation counts the losses of its process; lost reports that no process runs now.
	incarnation int
	lost        bool
	// cordoned reports whether its failure domain is cordoned.
	cordoned bool
}

// Times of the simulated processes.
const (
	tickInterval = scheduler.TickInterval
	// loadInterval is the time between two heartbeats with an owner's load.
	loadInterval = 80 * time.Millisecond
	// processDelay is the one-way delay of a message in addition to the site's network delay.
	processDelay = 300 * time.Microsecond
	// offerPeriod is how long after its arrival a refused job is offered to further owners.
	offerPeriod = 10 * time.Millisecond
	// promptRefusalTime is the longest time to a refusal that does not count as late.
	promptRefusalTime = 15 * time.Millisecond
	// drainPeriod plus the site's length is the end of the simulation. Jobs that are open then
	// are not answered.
	drainPeriod = 8 * time.Second
	// orderTimeout is how long an owner waits for an answer. A poll's own wait comes on top.
	orderTimeout = 120 * time.Millisecond
)

// Play simulates a day and reports what its jobs earned. All times of the site count from one
// second after the start of the simulation, when owners have polled their targets.
func Play(o Options) Report {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 2)),
		targets: map[string]*targetSim{}, jobs: map[string]*arrival{},
		kindWorth: make([]worthSum, len(o.Site.Kinds)), domainWorth: make([]worthSum, o.Site.Domains),
	}
	w.report.ByKind = make([]Counts, len(o.Site.Kinds))
	w.report.ByDomain = make([]Counts, o.Site.Domains)
	w.build()
	w.addEntryVMs()
	w.scheduleCordonsAndLosses()
	arrivals := o.Site.drawArrivals(o.Seed)
	for i := range arrivals {
		w.scheduleAt(arrivals[i].at+time.Second, func() { w.handleArrival(&arrivals[i]) })
	}
	end := o.Site.Length + drainPeriod
	for len(w.events) > 0 && w.now < end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.action()
	}
	return w.finishReport()
}

// scheduleAt adds an event; a time in the past stands for now.
func (w *world) scheduleAt(when time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(when, w.now), seq: w.seq, action: do})
}

// scheduleAfter adds an event after a time.
func (w *world) scheduleAfter(d time.Duration, do func()) { w.scheduleAt(w.now+d, do) }

// build adds the owners and targets of the site, and begins the owners' ticks and heartbeats
// or the baseline in their place.
func (w *world) build() {
	site := w.options.Site
	count := site.Domains
	if w.options.OneOwner {
		count = 1
	}
	for i := range count {
		o := &ownerSim{
			index: i, state: w.newState(), callers: map[scheduler.Ref]*arrival{},
			partReplies: map[scheduler.Ref]func(work.Outcome){}, withdrawals: map[scheduler.Part]func(){},
		}
		o.state.RegistryRead()
		w.owners = append(w.owners, o)
	}
	for domain := range site.Domains {
		for i := range site.Targets {
			w.addTarget(domain, i)
		}
	}
	if w.options.Policy != Owners {
		w.baseline = newBaseline(w)
		return
	}
	for _, o := range w.owners {
		w.tickOwner(o)
		w.updateLoad(o)
	}
}

// tickOwner has an owner's scheduler act on the time, now and at each tick interval.
func (w *world) tickOwner(o *ownerSim) {
	if !o.lost {
		w.runOnCPU(o, 0, func() {
			o.state.Tick(w.now)
			w.applyEffects(o)
		})
	}
	w.scheduleAfter(tickInterval, func() { w.tickOwner(o) })
}

// runOnCPU occupies an owner's processor for some time after all its earlier work, and then
// calls do. A site without CallTime calls do at once.
func (w *world) runOnCPU(o *ownerSim, takes time.Duration, do func()) {
	if w.options.Site.CallTime == 0 || w.options.Clairvoyant {
		do()
		return
	}
	o.busyUntil = max(o.busyUntil, w.now) + w.timeAtOwner(o, takes)
	w.scheduleAt(o.busyUntil, do)
}

// callTarget sends a call to a target, which handles it by do. A fault of the target may lose
// the call; then lost is called instead.
func (w *world) callTarget(o *ownerSim, target string, do, lost func(t *targetSim)) {
	w.runOnCPU(o, w.options.Site.CallTime, func() {
		w.scheduleAfterHop(func() {
			t := w.targets[target]
			if t.fault != nil && t.fault.LostCalls > 0 && w.random.Float64() < t.fault.LostCalls {
				do = lost
			}
			do(t)
		})
	})
}

// updateLoad publishes an owner's load to the entry VMs, now and at each load interval.
func (w *world) updateLoad(o *ownerSim) {
	o.load = w.reportedLoad(o)
	w.scheduleAfter(loadInterval, func() { w.updateLoad(o) })
}

// handleArrival counts a new job and submits it to the owner that an entry VM would choose, or
// to the baseline.
func (w *world) handleArrival(a *arrival) {
	w.jobs[a.job.ID] = a
	if w.options.Clairvoyant {
		longest := time.Duration(0)
		for _, run := range a.runTimes {
			longest = max(longest, run)
		}
		a.job.Steps[0].DeclaredRunTime = longest
	}
	w.countJob(a, func(c *Counts) { c.Jobs++ })
	w.possibleWorth += a.worth
	w.kindWorth[a.kind].possible += a.worth
	w.domainWorth[a.domain].possible += a.worth
	if w.baseline != nil {
		w.scheduleAfterHop(func() { w.baseline.addJob(a) })
		return
	}
	w.submit(a, map[int]bool{})
}

// applyEffects carries out all effects of an owner's scheduler.
func (w *world) applyEffects(o *ownerSim) {
	w.applyEffectsExcept(o, func(scheduler.Answer) bool { return false })
}

// applyEffectsExcept carries out the effects of an owner's scheduler, except for the answers
// for which handled returns true. A lost owner's effects are dropped.
func (w *world) applyEffectsExcept(o *ownerSim, handled func(scheduler.Answer) bool) {
	if o.lost {
		return
	}
	for _, effect := range o.state.Effects(w.now) {
		switch e := effect.(type) {
		case scheduler.Answer:
			if !handled(e) {
				w.handleAnswer(o, e)
			}
		case scheduler.Delegate:
			w.delegate(o, e)
		case scheduler.Withdraw:
			if cancel := o.withdrawals[e.Part]; cancel != nil {
				cancel()
			}
		case scheduler.StartRun:
			sent := w.now
			w.callTarget(o, e.To.ID, func(t *targetSim) { t.handleStart(o, e, sent) }, func(t *targetSim) {
				t.reportUnanswered(o, orderTimeout, func() { o.state.HandleStartAnswer(w.now, t.ID, e.Run, work.OrderAnswer{}) })
			})
		case scheduler.StopRun:
			sent := w.now
			w.callTarget(o, e.To.ID, func(t *targetSim) { t.handleStop(o, e, sent) }, func(t *targetSim) {
				t.reportUnanswered(o, orderTimeout, func() { o.state.HandleStopAnswer(w.now, t.ID, e.Run, work.OrderAnswer{}) })
			})
		case scheduler.Poll:
			sent := w.now
			w.callTarget(o, e.To.ID, func(t *targetSim) { t.handlePoll(o, e, sent) }, func(t *targetSim) {
				t.reportUnanswered(o, e.Wait+orderTimeout, func() { o.state.HandlePollAnswer(w.now, t.ID, e.SentAt, work.PollAnswer{}, work.VerdictUnknown) })
			})
		}
	}
	w.requestCapacity(o)
}

// scheduleAfterHop adds an event after the one-way delay between an owner and a target.
func (w *world) scheduleAfterHop(do func()) { w.scheduleAfter(w.targetDelay(), do) }

// targetDelay is the one-way delay between an owner and a target.
func (w *world) targetDelay() time.Duration {
	if w.options.Clairvoyant {
		return time.Microsecond
	}
	return w.options.Site.TargetDelay + processDelay
}

// handleAnswer passes the outcome of a part to its delegating owner, and counts the outcome of
// a caller's job. A moved job is submitted again.
func (w *world) handleAnswer(o *ownerSim, e scheduler.Answer) {
	if reply := o.partReplies[e.Ref]; reply != nil {
		delete(o.partReplies, e.Ref)
		reply(e.Outcome)
		return
	}
	a := o.callers[e.Ref]
	if a == nil {
		return
	}
	delete(o.callers, e.Ref)
	took := w.now - a.at - time.Second
	switch e.Outcome.Result {
	case work.Completed:
		w.recordCompletion(a, took)
	case work.Moved:
		w.scheduleAfter(movedRetryDelay, func() { w.submit(a, map[int]bool{}) })
	case work.Refused:

		w.countRefusal(a)
	default:
		w.countJob(a, func(c *Counts) { c.Failed++ })
	}
}

// countRefusal counts a refused job.
func (w *world) countRefusal(a *arrival) {

	w.countJob(a, func(c *Counts) { c.Refused++ })
	if w.now-a.submittedAt > promptRefusalTime {
		w.lateRefusedWorth += a.worth
		w.countJob(a, func(c *Counts) { c.RefusedLate++ })
	}
}

// countJob updates the counts of all jobs, of the job's kind and of its failure domain.
func (w *world) countJob(a *arrival, update func(*Counts)) {
	update(&w.report.Counts)
	update(&w.report.ByKind[a.kind])
	update(&w.report.ByDomain[a.domain])
}

// lateWorthShare is the share of its worth that a job earns with a late answer.
const lateWorthShare = 0.2

// recordCompletion counts a completed job and adds what it earns: all its worth within the
// objective, a share of it up to usefulFactor times the objective, and nothing later.
func (w *world) recordCompletion(a *arrival, took time.Duration) {
	earned := 0.0
	switch {
	case took <= a.objective:
		w.countJob(a, func(c *Counts) { c.OnTime++ })
		earned = a.worth
	case took <= usefulFactor*a.objective:
		w.countJob(a, func(c *Counts) { c.Late++ })
		earned = lateWorthShare * a.worth
	default:
		w.countJob(a, func(c *Counts) { c.Failed++ })
	}
	w.earnedWorth += earned
	w.kindWorth[a.kind].earned += earned
	w.domainWorth[a.domain].earned += earned
}

// finishReport computes the shares of the report.
func (w *world) finishReport() Report {
	w.report.Worth = w.earnedWorth / w.possibleWorth
	for _, s := range w.kindWorth {
		w.report.Kinds = append(w.report.Kinds, s.earned/s.possible)
	}
	for _, s := range w.domainWorth {
		w.report.Domains = append(w.report.Domains, s.earned/s.possible)
	}
	w.report.LateRefusals = w.lateRefusedWorth / w.possibleWorth
	if w.cpuUsed > 0 {
		w.report.Wasted = float64(w.cpuWasted) / float64(w.cpuUsed)
	}
	return w.report
}
