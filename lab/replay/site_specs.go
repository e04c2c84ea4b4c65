package replay

import "time"

// SiteSpec has the numbers in which the sites of the rounds differ.
type SiteSpec struct {
	Name             string
	Domains, Targets int
	// CPU is a target's capacity, TaskCPU a task's mean need, both in thousandths of a core.
	CPU, TaskCPU int64
	// Short, Long and Middle are the rates of the kinds of requests, in jobs per second.
	Short, Long, Middle float64
	// Swing is the amplitude of the slow change of the load, as a share of its mean.
	Swing float64
	// DomainDelay is the one-way network delay between failure domains.
	DomainDelay time.Duration
	// Speeds are the speeds of the targets in turn; empty for targets of usual speed.
	Speeds []float64
}

// site returns the site on a day without faults.
func (s SiteSpec) site() Site {
	kinds := requestKinds(float64(s.TaskCPU))
	for i, rate := range []float64{s.Short, s.Long, s.Middle} {
		// The worth of a day is independent of its number of jobs.
		kinds[i].Worth *= kinds[i].RatePerSecond / rate
		kinds[i].RatePerSecond = rate
	}
	return Site{
		Name: s.Name, Domains: s.Domains, Targets: s.Targets, CPU: s.CPU, Kinds: kinds, Load: 1, Swing: s.Swing,
		Length: 30 * time.Second, DomainDelay: s.DomainDelay, TargetDelay: 100 * time.Microsecond, Speeds: s.Speeds,
	}
}

// SiteSpecs are the sites of the rounds: the two small sites, the same two with more targets and
// load, one with hundreds of VMs, one with smaller targets, smaller tasks and a load that
// varies more, and two with targets of different speeds, on the latter of which the load of each
// failure domain varies most.
var SiteSpecs = []SiteSpec{
	{Name: "kasa", Domains: 3, Targets: 16, CPU: 32000, TaskCPU: 14000, Short: 37.8, Long: 6.87, Middle: 110, Swing: 0.15, DomainDelay: 900 * time.Microsecond},
	{Name: "thapa", Domains: 3, Targets: 16, CPU: 64000, TaskCPU: 27000, Short: 37.8, Long: 6.87, Middle: 110, Swing: 0.15, DomainDelay: 500 * time.Microsecond},
	{Name: "kasa-grown", Domains: 3, Targets: 117, CPU: 32000, TaskCPU: 16000, Short: 206, Long: 37.5, Middle: 600, Swing: 0.15, DomainDelay: 900 * time.Microsecond},
	{Name: "thapa-grown", Domains: 4, Targets: 88, CPU: 64000, TaskCPU: 32000, Short: 206, Long: 37.5, Middle: 600, Swing: 0.15, DomainDelay: 500 * time.Microsecond},
	{Name: "large", Domains: 5, Targets: 220, CPU: 32000, TaskCPU: 16000, Short: 309, Long: 56.2, Middle: 900, Swing: 0.15, DomainDelay: 500 * time.Microsecond},
	{Name: "shifted", Domains: 3, Targets: 117, CPU: 16000, TaskCPU: 8000, Short: 154, Long: 48.9, Middle: 451, Swing: 0.27, DomainDelay: 900 * time.Microsecond},
	{Name: "contended", Domains: 4, Targets: 88, CPU: 32000, TaskCPU: 16000, Short: 206, Long: 37.5, Middle: 600, Swing: 0.15, DomainDelay: 900 * time.Microsecond, Speeds: []float64{0.8, 1, 1.25}},
	{Name: "uneven", Domains: 3, Targets: 117, CPU: 32000, TaskCPU: 16000, Short: 206, Long: 37.5, Middle: 600, Swing: 0.55, DomainDelay: 500 * time.Microsecond, Speeds: []float64{0.6, 1, 1.6}},
}
