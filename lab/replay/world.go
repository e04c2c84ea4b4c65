package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// Options choose what is played.
type Options struct {
	Site Site
	Seed uint64
	// OneOwner puts all targets under one owner.
	OneOwner bool
	// Alone keeps owners from lending tasks to each other.
	Alone bool
	// Clairvoyant lets the scheduler know run times, and takes all latency away.
	Clairvoyant bool
	// SendOnce keeps owners from sending orders again.
	SendOnce bool
	// Policy places tasks in place of the owners' decisions.
	Policy Policy
}

// Counts are numbers of jobs. Failed ones had no answer of use; those that are still open
// when the day ends are in none but Jobs.
type Counts struct{ Jobs, OnTime, Late, Refused, Failed int }

// Report is how a day went.
type Report struct {
	Counts
	// Worth is what was earned of what could have been.
	Worth float64
	// Kinds is the worth by kind of request, Domains by the callers' failure domain.
	Kinds, Domains []float64
	// ByKind and ByDomain are the counts of each.
	ByKind, ByDomain []Counts
	// LateRefusals is the share of the worth refused later than a quarter of the
	// objective.
	LateRefusals float64
	// Wasted is the processor time of runs that didn't end well, against all.
	Wasted float64
}

// String is one line.
func (r Report) String() string {
	return fmt.Sprintf("worth %.4f kinds %.3f late refusals %.4f wasted %.4f: %d jobs, %d on time, %d late, %d refused, %d failed",
		r.Worth, r.Kinds, r.LateRefusals, r.Wasted, r.Jobs, r.OnTime, r.Late, r.Refused, r.Failed)
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is the simulated deployment.
type world struct {
	options Options
	now     time.Duration
	queue   events
	seq     int
	random  *rand.Rand
	owners  []*ownerSim
	targets map[string]*targetSim
	// targetOrder are their IDs in the order in which they were added.
	targetOrder []string
	baseline    *baseline
	jobs        map[string]*arrival
	report      Report
	owed        float64
	earned      float64
	late        float64
	kinds       []share
	domains     []share
	used        time.Duration
	wasted      time.Duration
}

// share is the worth that was owed and earned.
type share struct{ owed, got float64 }

// ownerSim is an owner with its callers.
type ownerSim struct {
	state   *scheduler.State
	index   int
	callers map[scheduler.Ref]*arrival
	refs    scheduler.Ref
	loads   scheduler.Load
	// lenders wait for parts that this owner runs.
	lenders map[scheduler.Ref]func(work.Outcome)
	lent    map[scheduler.Part]func()
	asked   time.Duration
	// busy is until when its processor has work.
	busy time.Duration
	// life counts the lives of its process, lost says that it has none now.
	life int
	lost bool
	// cordoned says that its failure domain is.
	cordoned bool
}

// Figures of the simulated runtime.
const (
	tick      = scheduler.TickInterval
	beat      = 80 * time.Millisecond
	hop       = 300 * time.Microsecond
	offerTime = 10 * time.Millisecond
	// promptTime is within what a refusal counts as prompt.
	promptTime = 15 * time.Millisecond
	drainTime  = 8 * time.Second
	// orderTime is how long an owner waits for an answer, beside what a look waits itself.
	orderTime = 120 * time.Millisecond
)

// Play plays a day.
func Play(o Options) Report {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 2)),
		targets: map[string]*targetSim{}, jobs: map[string]*arrival{},
		kinds: make([]share, len(o.Site.Kinds)), domains: make([]share, o.Site.Domains),
	}
	w.report.ByKind = make([]Counts, len(o.Site.Kinds))
	w.report.ByDomain = make([]Counts, o.Site.Domains)
	w.build()
	w.plan()
	arrivals := o.Site.arrivals(o.Seed)
	for i := range arrivals {
		w.at(arrivals[i].at+time.Second, func() { w.arrive(&arrivals[i]) })
	}
	end := o.Site.Length + drainTime
	for len(w.queue) > 0 && w.now < end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w.sum()
}

func (w *world) at(when time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: max(when, w.now), seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) build() {
	site := w.options.Site
	count := site.Domains
	if w.options.OneOwner {
		count = 1
	}
	for i := range count {
		o := &ownerSim{
			index: i, state: w.newState(), callers: map[scheduler.Ref]*arrival{},
			lenders: map[scheduler.Ref]func(work.Outcome){}, lent: map[scheduler.Part]func(){},
		}
		o.state.Listed()
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
		w.tick(o)
		w.beat(o)
	}
}

func (w *world) tick(o *ownerSim) {
	if !o.lost {
		w.work(o, 0, func() {
			o.state.Tick(w.now)
			w.carryOut(o)
		})
	}
	w.after(tick, func() { w.tick(o) })
}

// work has an owner's processor do something that takes some time, after all that it has to
// do already.
func (w *world) work(o *ownerSim, takes time.Duration, do func()) {
	if w.options.Site.CallTime == 0 {
		do()
		return
	}
	o.busy = max(o.busy, w.now) + takes
	w.at(o.busy, do)
}

// call sends a call to a target: do carries it out there, lost takes its place where it gets
// lost.
func (w *world) call(o *ownerSim, target string, do, lost func(t *targetSim)) {
	w.work(o, w.options.Site.CallTime, func() {
		w.order(func() {
			t := w.targets[target]
			if t.fault != nil && t.fault.Lost > 0 && w.random.Float64() < t.fault.Lost {
				do = lost
			}
			do(t)
		})
	})
}

func (w *world) beat(o *ownerSim) {
	o.loads = o.state.Load(w.now, "service")
	w.after(beat, func() { w.beat(o) })
}

// arrive hands a job to the owner that the entry VM would choose.
func (w *world) arrive(a *arrival) {
	w.jobs[a.job.ID] = a
	if w.options.Clairvoyant {
		longest := time.Duration(0)
		for _, run := range a.runs {
			longest = max(longest, run)
		}
		a.job.Steps[0].Estimate = longest
	}
	w.count(a, func(c *Counts) { c.Jobs++ })
	w.owed += a.worth
	w.kinds[a.kind].owed += a.worth
	w.domains[a.domain].owed += a.worth
	if w.baseline != nil {
		w.order(func() { w.baseline.arrive(a) })
		return
	}
	w.submit(a, map[int]bool{})
}

func (w *world) submit(a *arrival, full map[int]bool) {
	if len(full) == 0 {
		a.handed = w.now
	}
	at := w.choose(a, full)
	o := w.owners[at]
	delay := w.far(at, a.domain)
	w.after(delay, func() {
		if o.lost {
			w.comeBack(a)
			return
		}
		o.refs++
		ref := o.refs
		o.callers[ref] = a
		o.state.Submit(w.now, scheduler.Submission{
			Ref: ref, Job: a.job, Queue: w.queueOf(a.kind), Age: w.now - a.handed,
			Wait: max(timeout+usefulFactor*a.objective-(a.handed-a.at-time.Second), time.Millisecond),
		})
		w.carryOutFor(o, func(answer scheduler.Answer) bool {
			if answer.Ref != ref || answer.Outcome.Result != work.Refused {
				return false
			}
			full[at] = true
			late := w.now-a.at-time.Second > offerTime
			if late || len(full) >= len(w.owners) || !w.better(full, answer.Outcome.RetryAfter) {
				return false
			}
			delete(o.callers, ref)
			w.after(delay, func() { w.submit(a, full) })
			return true
		})
	})
}

func (w *world) queueOf(kind int) work.Queue {
	k := w.options.Site.Kinds[kind]
	return work.Queue{
		Name: k.Name, Service: "service", Priority: k.Priority, MaxAttempts: k.Attempts,
		Stretch: stretch, Allowance: allowance, Timeout: timeout,
	}
}

func (w *world) far(owner, domain int) time.Duration {
	switch {
	case w.options.Clairvoyant:
		return 0
	case w.options.OneOwner:
		return w.options.Site.Far
	case owner == domain:
		return hop
	default:
		return hop + w.options.Site.Far
	}
}

// carryOut does what a scheduler wants.
func (w *world) carryOut(o *ownerSim) {
	w.carryOutFor(o, func(scheduler.Answer) bool { return false })
}

// carryOutFor lets the caller keep an answer for itself.
func (w *world) carryOutFor(o *ownerSim, keep func(scheduler.Answer) bool) {
	if o.lost {
		return
	}
	for _, effect := range o.state.Effects(w.now) {
		switch e := effect.(type) {
		case scheduler.Answer:
			if !keep(e) {
				w.answered(o, e)
			}
		case scheduler.Lend:
			w.lend(o, e)
		case scheduler.Withdraw:
			if cancel := o.lent[e.Part]; cancel != nil {
				cancel()
			}
		case scheduler.StartRun:
			sent := w.now
			w.call(o, e.To.ID, func(t *targetSim) { t.start(o, e, sent) }, func(t *targetSim) {
				t.unanswered(o, orderTime, func() { o.state.Started(w.now, t.ID, e.Run, work.OrderAnswer{}) })
			})
		case scheduler.StopRun:
			sent := w.now
			w.call(o, e.To.ID, func(t *targetSim) { t.stop(o, e, sent) }, func(t *targetSim) {
				t.unanswered(o, orderTime, func() { o.state.Stopped(w.now, t.ID, e.Run, work.OrderAnswer{}) })
			})
		case scheduler.Look:
			sent := w.now
			w.call(o, e.To.ID, func(t *targetSim) { t.look(o, e, sent) }, func(t *targetSim) {
				t.unanswered(o, e.Wait+orderTime, func() { o.state.Looked(w.now, t.ID, e.At, work.Held{}, work.VerdictUnknown) })
			})
		}
	}
	w.askRoom(o)
}

func (w *world) order(do func()) { w.after(w.hop(), do) }

func (w *world) hop() time.Duration {
	if w.options.Clairvoyant {
		return time.Microsecond
	}
	return w.options.Site.Near + hop
}

func (w *world) answered(o *ownerSim, e scheduler.Answer) {
	if lender := o.lenders[e.Ref]; lender != nil {
		delete(o.lenders, e.Ref)
		lender(e.Outcome)
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
		w.completed(a, took)
	case work.Moved:
		w.after(movedPause, func() { w.submit(a, map[int]bool{}) })
	case work.Refused:
		w.count(a, func(c *Counts) { c.Refused++ })
		if w.now-a.handed > promptTime {
			w.late += a.worth
		}
	default:
		w.count(a, func(c *Counts) { c.Failed++ })
	}
}

// count counts a job among all, its kind's and its failure domain's.
func (w *world) count(a *arrival, one func(*Counts)) {
	one(&w.report.Counts)
	one(&w.report.ByKind[a.kind])
	one(&w.report.ByDomain[a.domain])
}

// lateWorth is the share of the worth of a late answer.
const lateWorth = 0.2

func (w *world) completed(a *arrival, took time.Duration) {
	got := 0.0
	switch {
	case took <= a.objective:
		w.count(a, func(c *Counts) { c.OnTime++ })
		got = a.worth
	case took <= usefulFactor*a.objective:
		w.count(a, func(c *Counts) { c.Late++ })
		got = lateWorth * a.worth
	default:
		w.count(a, func(c *Counts) { c.Failed++ })
	}
	w.earned += got
	w.kinds[a.kind].got += got
	w.domains[a.domain].got += got
}

func (w *world) sum() Report {
	w.report.Worth = w.earned / w.owed
	for _, s := range w.kinds {
		w.report.Kinds = append(w.report.Kinds, s.got/s.owed)
	}
	for _, s := range w.domains {
		w.report.Domains = append(w.report.Domains, s.got/s.owed)
	}
	w.report.LateRefusals = w.late / w.owed
	if w.used > 0 {
		w.report.Wasted = float64(w.wasted) / float64(w.used)
	}
	return w.report
}
