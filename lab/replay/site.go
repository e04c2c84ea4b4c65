// Package replay plays the load of a deployment against the scheduler's decisions
// in simulated time, so that a change of a decision can be judged in seconds and
// by the same load each time.
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
	Name     string
	PerS     float64
	Worth    float64
	Priority int
	Attempts int
	// Tasks is the mean number of tasks, CPU the mean need of one, Run its mean run
	// time.
	Tasks float64
	CPU   float64
	Run   time.Duration
}

// Site is a deployment with its load.
type Site struct {
	Name    string
	Domains int
	// Targets is the number of targets of each failure domain; every third has
	// half as much processor again as CPU.
	Targets int
	CPU     int64
	Kinds   []Kind
	// Load times the kinds' rates.
	Load float64
	// Length is how long callers come.
	Length time.Duration
	// Far is one way between failure domains, Near within one.
	Far, Near time.Duration
	// Bursts multiply the load for a while.
	Bursts []Burst
	// Faults strike targets.
	Faults []Fault
	// CallTime is how long an owner's processor works for sending a call, and for reading
	// an answer, one after the other; 0 takes no time.
	CallTime time.Duration
	// Swing is the share by which the load of each failure domain goes up and down.
	Swing float64
	// Cordons are those of failure domains, Losses those of all owners at once.
	Cordons []Cordon
	Losses  []Loss
}

// Cordon bars a failure domain for a while.
type Cordon struct {
	Domain   int
	From, To time.Duration
}

// Loss has all owners end, and new ones begin after a time. Callers whose jobs were lost, and
// those who come meanwhile, come back to the new ones.
type Loss struct{ At, For time.Duration }

// Burst multiplies the load for a while.
type Burst struct {
	From, To time.Duration
	Times    float64
}

// Fault makes a share of the targets slow for a while; hung targets end nothing. Of the
// calls to them a share may be lost, which is neither carried out nor answered.
type Fault struct {
	From, To time.Duration
	Share    float64
	Slower   float64
	Hang     bool
	Gone     bool
	Lost     float64
}

// Spreads of the sites' load, as shares of the mean.
const (
	spread      = 0.4
	cpuSpread   = 0.2
	uneven      = 0.15
	estimateOff = 0.4
	// usualSwing and wavePeriod are the slow change of the load of each failure
	// domain.
	usualSwing = 0.15
	wavePeriod = 11 * time.Second
	// most bounds sizes and run times, as a multiple of the mean.
	most = 4
	// stretch and allowance make the objective.
	stretch   = 1.6
	allowance = 60 * time.Millisecond
	// usefulFactor times the objective is until when an answer is worth anything; callers
	// wait for a queue's timeout beyond.
	usefulFactor = 3
	timeout      = 1500 * time.Millisecond
)

// Kasa and Thapa are the two sites on a day of high load.
func Kasa() Site {
	return Site{
		Name: "kasa", Domains: 3, Targets: 16, CPU: 32000, Kinds: kinds(14000), Load: 154.6 / 140.65,
		Length: 30 * time.Second, Far: 900 * time.Microsecond, Near: 100 * time.Microsecond, Swing: usualSwing,
	}
}

// Thapa has larger targets and nearer failure domains.
func Thapa() Site {
	return Site{
		Name: "thapa", Domains: 3, Targets: 16, CPU: 64000, Kinds: kinds(27000), Load: 154.7 / 140.65,
		Length: 30 * time.Second, Far: 500 * time.Microsecond, Near: 100 * time.Microsecond, Swing: usualSwing,
	}
}

// Large is one failure domain of a deployment of hundreds of VMs: its owner has a number of
// targets, of which a third is busy. Of the time of its processor calls take a share, as
// long as none is sent again.
func Large(targets int, busy float64) Site {
	site := Site{
		Name: "large", Domains: 1, Targets: targets, CPU: 32000, Kinds: kinds(16000),
		Load: float64(targets) * largeLoad, Length: 10 * time.Second, Far: 500 * time.Microsecond, Near: 100 * time.Microsecond, Swing: usualSwing,
	}
	calls := 0.0
	for _, k := range site.Kinds {
		// A start, its answer, and the look and the answer that tell its end.
		calls += 4 * k.PerS * k.Tasks * site.Load
	}
	site.CallTime = time.Duration(busy / calls * float64(time.Second))
	return site
}

// largeLoad is what a target adds to the load for a third of the places to be busy.
const largeLoad = 0.0092

func kinds(cpu float64) []Kind {
	return []Kind{
		{Name: "short", PerS: 34.4, Worth: 0.0291, Priority: 0, Attempts: 2, Tasks: 8, CPU: cpu, Run: 60 * time.Millisecond},
		{Name: "long", PerS: 6.25, Worth: 0.16, Priority: 2, Attempts: 3, Tasks: 4, CPU: cpu, Run: 900 * time.Millisecond},
		{Name: "middle", PerS: 100, Worth: 0.01, Priority: 1, Attempts: 4, Tasks: 2, CPU: cpu, Run: 200 * time.Millisecond},
	}
}

// arrival is a job with what only the world knows of it.
type arrival struct {
	at     time.Duration
	domain int
	kind   int
	job    work.Job
	// runs are the true run times of the tasks.
	runs      []time.Duration
	objective time.Duration
	worth     float64
	// handed is when its caller last handed it in.
	handed time.Duration
}

// arrivals draws the callers of a day.
func (s Site) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for domain := range s.Domains {
		phase := r.Float64()
		for kind := range s.Kinds {
			all = append(all, s.stream(r, domain, kind, phase)...)
		}
	}
	return all
}

func (s Site) stream(r *rand.Rand, domain, kind int, phase float64) []arrival {
	var stream []arrival
	rate := s.Kinds[kind].PerS * s.Load / float64(s.Domains)
	peak := rate * (1 + s.Swing) * s.peakBurst()
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Length {
			return stream
		}
		wave := 1 + s.Swing*math.Sin(2*math.Pi*(at.Seconds()/wavePeriod.Seconds()+phase))
		if r.Float64()*peak > rate*wave*s.burstAt(at) {
			continue
		}
		stream = append(stream, s.draw(r, at, domain, kind))
	}
}

func (s Site) peakBurst() float64 {
	peak := 1.0
	for _, b := range s.Bursts {
		peak = max(peak, b.Times)
	}
	return peak
}

func (s Site) burstAt(at time.Duration) float64 {
	times := 1.0
	for _, b := range s.Bursts {
		if at >= b.From && at < b.To {
			times = max(times, b.Times)
		}
	}
	return times
}

func (s Site) draw(r *rand.Rand, at time.Duration, domain, kind int) arrival {
	k := s.Kinds[kind]
	tasks := int(math.Round(around(r, k.Tasks, spread)))
	run := around(r, float64(k.Run), spread)
	a := arrival{at: at, domain: domain, kind: kind}
	longest, total := time.Duration(0), time.Duration(0)
	for range max(tasks, 1) {
		took := time.Duration(around(r, run, uneven))
		a.runs = append(a.runs, took)
		longest = max(longest, took)
		total += took
	}
	a.objective = time.Duration(stretch*float64(longest)) + allowance
	a.worth = min(k.Worth*(0.3+0.7*float64(total)/(k.Tasks*float64(k.Run))), 4*k.Worth)
	a.job = work.Job{
		ID: fmt.Sprintf("%016x", r.Uint64()),
		Steps: []work.Step{{
			Tasks:    len(a.runs),
			Each:     work.Resources{CPU: int64(min(around(r, k.CPU, cpuSpread), 1.45*k.CPU)), MemoryMB: 64},
			Estimate: time.Duration(run * (1 + estimateOff*(2*r.Float64()-1))),
		}},
	}
	return a
}

// around draws a value with a mean and a relative spread, at most `most` times the
// mean.
func around(r *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	value := mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	return min(value, most*mean)
}
