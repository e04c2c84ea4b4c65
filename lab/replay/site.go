// Package replay simulates days of a deployment against the real scheduler, in simulated
// time, so that a change of a scheduling decision can be judged within seconds.
//
// Its input is a site (targets, kinds of requests, faults, cordons, losses of owners) and a
// seed. Its output is what the jobs earned of their worth, how many were on time, late, refused
// or failed, and the processor time that was wasted.
//
// The arrivals and true run times of a day depend on the site and the seed alone, so that two
// builds, policies or options play the same load. Nothing waits for real time.
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/work"
)

// Kind is a kind of request of a site.
type Kind struct {
	Name string
	// RatePerSecond is the mean number of jobs per second in the whole site.
	RatePerSecond float64
	// Worth is what a job of mean size earns if it is answered on time.
	Worth    float64
	Priority int
	Attempts int
	// Tasks is the mean number of tasks of a job. CPU is a task's mean need in thousandths of
	// a core, RunTime its mean run time.
	Tasks   float64
	CPU     float64
	RunTime time.Duration
}

// Site is a deployment with its load, faults and operator actions on one day.
type Site struct {
	Name    string
	Domains int
	// Targets is the number of targets of each failure domain. CPU is a target's capacity in
	// thousandths of a core; every third target has one and a half times as much.
	Targets int
	CPU     int64
	Kinds   []Kind
	// Load multiplies the rates of all kinds.
	Load float64
	// Length is the time during which jobs arrive.
	Length time.Duration
	// DomainDelay is the one-way network delay between failure domains, TargetDelay the one
	// between an owner and its targets.
	DomainDelay, TargetDelay time.Duration
	// Bursts are times of higher load. Where they overlap, the highest factor applies.
	Bursts []Burst
	// Faults are times of faulty targets. Which targets a fault affects is drawn.
	Faults []Fault
	// CallTime is the processor time that an owner needs to send a call, and again to read its
	// answer. The processor does one at a time. 0 stands for none.
	CallTime time.Duration
	// JobTime is the processor time that an owner needs to read a job or a part and to answer it.
	// 0 stands for none.
	JobTime time.Duration
	// OwnerShares are the shares of a core that the owners have, in turn; empty stands for one
	// core each. CallTime and JobTime are those of a whole core.
	OwnerShares []float64
	// EntryVMs is the number of entry VMs of each failure domain. Each has its own reports of the
	// owners' loads, which arrive at its own times. 0 stands for entry VMs that all have the same
	// reports.
	EntryVMs int
	// Swing is the amplitude of the slow change of each failure domain's load, as a share of
	// its mean.
	Swing float64
	// Speeds are the speeds of the targets in turn, as multiples of the usual speed; empty stands
	// for targets of usual speed.
	Speeds []float64
	// Cordons are the cordons of failure domains, OwnerLosses the losses of all owners at once.
	Cordons     []Cordon
	OwnerLosses []OwnerLoss
}

// Cordon is a time during which a failure domain is cordoned.
type Cordon struct {
	Domain   int
	From, To time.Duration
}

// OwnerLoss ends the processes of all owners at once; new ones start after Outage. Callers
// whose jobs were lost, and callers that arrive meanwhile, submit their jobs to the new owners.
type OwnerLoss struct{ At, Outage time.Duration }

// Burst multiplies the load by a factor for some time.
type Burst struct {
	From, To time.Duration
	Factor   float64
	Where    Scope
}

// Scope limits a burst or a fault to one failure domain; the zero value covers all of them.
type Scope struct {
	OneDomain bool
	Domain    int
}

// includes reports whether the scope covers a failure domain.
func (s Scope) includes(domain int) bool { return !s.OneDomain || s.Domain == domain }

// Fault affects a share of the targets for some time.
type Fault struct {
	From, To time.Duration
	// Share is the probability that a target is affected.
	Share float64
	// SlowFactor multiplies the run times of tasks that start meanwhile; up to 1 has no effect.
	SlowFactor float64
	// Hang keeps tasks that start meanwhile from ending.
	Hang bool
	// Leave has the targets drain: they end their runs and take no new ones until the fault ends.
	Leave bool
	// LostCalls is the share of calls that are neither carried out nor answered.
	LostCalls float64
	Where     Scope
}

// Parameters of the load that all sites share.
const (
	// jobSpread is the standard deviation of the number of tasks and of the run times of jobs,
	// cpuSpread that of the processor need of jobs, and taskSpread that of the run times of
	// the tasks within a job, each as a share of the mean.
	jobSpread  = 0.4
	cpuSpread  = 0.2
	taskSpread = 0.15
	// estimateError is the largest error of a declared run time, as a share of the job's mean run
	// time.
	estimateError = 0.4
	// defaultSwing is the amplitude and swingPeriod the period of the slow change of each
	// failure domain's load.
	defaultSwing = 0.15
	swingPeriod  = 11 * time.Second
	// maxToMean bounds sizes and run times, as a multiple of the mean.
	maxToMean = 4
	// A job's objective is stretch times the run time of its longest task, plus allowance.
	stretch   = 1.6
	allowance = 60 * time.Millisecond
	// An answer after usefulFactor times the objective is worth nothing. Callers wait the
	// queue's timeout beyond that.
	usefulFactor = 3
	queueTimeout = 1500 * time.Millisecond
)

// Kasa is the site kasa on a day of high load.
func Kasa() Site {
	return Site{
		Name: "kasa", Domains: 3, Targets: 16, CPU: 32000, Kinds: requestKinds(14000), Load: 154.6 / 140.65,
		Length: 30 * time.Second, DomainDelay: 900 * time.Microsecond, TargetDelay: 100 * time.Microsecond, Swing: defaultSwing,
	}
}

// Thapa is the site thapa on a day of high load. Its targets are larger than Kasa's, and its
// failure domains are nearer to each other.
func Thapa() Site {
	return Site{
		Name: "thapa", Domains: 3, Targets: 16, CPU: 64000, Kinds: requestKinds(27000), Load: 154.7 / 140.65,
		Length: 30 * time.Second, DomainDelay: 500 * time.Microsecond, TargetDelay: 100 * time.Microsecond, Swing: defaultSwing,
	}
}

// Large is one failure domain of a deployment of hundreds of VMs, with a load that occupies a
// third of the capacity of its targets. Calls take the share busy of the owner's processor time
// as long as none is resent.
func Large(targets int, busy float64) Site {
	site := Site{
		Name: "large", Domains: 1, Targets: targets, CPU: 32000, Kinds: requestKinds(16000),
		Load: float64(targets) * loadPerTarget, Length: 10 * time.Second, DomainDelay: 500 * time.Microsecond, TargetDelay: 100 * time.Microsecond, Swing: defaultSwing,
	}
	calls := 0.0
	for _, k := range site.Kinds {
		// A start and its answer, and the poll and its answer that report the completion.
		calls += 4 * k.RatePerSecond * k.Tasks * site.Load
	}
	site.CallTime = time.Duration(busy / calls * float64(time.Second))
	return site
}

// loadPerTarget is the load factor for each target at which a third of the capacity of Large
// is occupied.
const loadPerTarget = 0.0092

// requestKinds returns the kinds of requests of Kasa and Thapa, with a mean need of processor
// of each task.
func requestKinds(cpu float64) []Kind {
	return []Kind{
		{Name: "short", RatePerSecond: 34.4, Worth: 0.0291, Priority: 0, Attempts: 2, Tasks: 8, CPU: cpu, RunTime: 60 * time.Millisecond},
		{Name: "long", RatePerSecond: 6.25, Worth: 0.16, Priority: 2, Attempts: 3, Tasks: 4, CPU: cpu, RunTime: 900 * time.Millisecond},
		{Name: "middle", RatePerSecond: 100, Worth: 0.01, Priority: 1, Attempts: 4, Tasks: 2, CPU: cpu, RunTime: 200 * time.Millisecond},
	}
}

// arrival is a job that a caller sends, with its true run times and its worth, which the
// scheduler does not know.
type arrival struct {
	at     time.Duration
	domain int
	kind   int
	job    work.Job
	// runTimes are the true run times of the tasks.
	runTimes []time.Duration
	// objective is the longest response time that counts as on time.
	objective time.Duration
	worth     float64
	// submittedAt is when the caller last submitted it.
	submittedAt time.Duration
	// entryVM is the index of the entry VM that dispatches it, in its failure domain.
	entryVM int
}

// drawArrivals draws all jobs of a day.
func (s Site) drawArrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for domain := range s.Domains {
		phase := r.Float64()
		for kind := range s.Kinds {
			all = append(all, s.drawStream(r, domain, kind, phase)...)
		}
	}
	return all
}

// drawStream draws the jobs of one kind in one failure domain. Arrivals are a Poisson process
// whose rate follows the swing and the bursts: candidates are drawn at the peak rate and kept
// with the probability of the rate at their time.
func (s Site) drawStream(r *rand.Rand, domain, kind int, phase float64) []arrival {
	var stream []arrival
	rate := s.Kinds[kind].RatePerSecond * s.Load / float64(s.Domains)
	peak := rate * (1 + s.Swing) * s.maxBurstFactor(domain)
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Length {
			return stream
		}
		wave := 1 + s.Swing*math.Sin(2*math.Pi*(at.Seconds()/swingPeriod.Seconds()+phase))
		if r.Float64()*peak > rate*wave*s.burstFactorAt(at, domain) {
			continue
		}
		stream = append(stream, s.drawJob(r, at, domain, kind))
	}
}

// maxBurstFactor is the highest factor of all bursts of a failure domain, and at least 1.
func (s Site) maxBurstFactor(domain int) float64 {
	peak := 1.0
	for _, b := range s.Bursts {
		if b.Where.includes(domain) {
			peak = max(peak, b.Factor)
		}
	}
	return peak
}

// burstFactorAt is the highest factor of a failure domain's bursts at a time, and at least 1.
func (s Site) burstFactorAt(at time.Duration, domain int) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if at >= b.From && at < b.To && b.Where.includes(domain) {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}

// drawJob draws a job's tasks, run times, worth and declared run time. Its worth grows with its
// total run time, up to four times that of its kind.
func (s Site) drawJob(r *rand.Rand, at time.Duration, domain, kind int) arrival {
	k := s.Kinds[kind]
	tasks := int(math.Round(drawLogNormal(r, k.Tasks, jobSpread)))
	run := drawLogNormal(r, float64(k.RunTime), jobSpread)
	a := arrival{at: at, domain: domain, kind: kind}
	longest, total := time.Duration(0), time.Duration(0)
	for range max(tasks, 1) {
		took := time.Duration(drawLogNormal(r, run, taskSpread))
		a.runTimes = append(a.runTimes, took)
		longest = max(longest, took)
		total += took
	}
	a.objective = time.Duration(stretch*float64(longest)) + allowance
	a.worth = min(k.Worth*(0.3+0.7*float64(total)/(k.Tasks*float64(k.RunTime))), 4*k.Worth)
	a.job = work.Job{
		ID: fmt.Sprintf("%016x", r.Uint64()),
		Steps: []work.Step{{
			Tasks:           len(a.runTimes),
			PerTask:         work.Resources{CPU: int64(min(drawLogNormal(r, k.CPU, cpuSpread), 1.45*k.CPU)), MemoryMB: 64},
			DeclaredRunTime: time.Duration(run * (1 + estimateError*(2*r.Float64()-1))),
		}},
	}
	return a
}

// drawLogNormal draws a value with a log-normal distribution of the given mean and a standard
// deviation of spread times the mean. Values are cut at maxToMean times the mean.
func drawLogNormal(r *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	value := mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	return min(value, maxToMean*mean)
}
