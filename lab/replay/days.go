package replay

import "time"

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// faultyDay is a day on which a tenth of the targets hang and later a sixth become slow, with a
// burst that overlaps the hung targets.
func faultyDay(site Site) Site {
	site.Faults = []Fault{
		{From: seconds(4), To: seconds(8.2), Share: 0.11, Hang: true},
		{From: seconds(10), To: seconds(17), Share: 0.17, SlowFactor: 7.7},
	}
	site.Bursts = []Burst{{From: seconds(1), To: seconds(5), Factor: 1.3}}
	return site
}

// crowdedDay is a day on which the load is near the capacity, and above it during a burst.
func crowdedDay(site Site) Site {
	site.Load *= 1.2
	site.Bursts = []Burst{{From: seconds(10), To: seconds(14), Factor: 1.3}}
	return site
}

// floodedDay is a day with a burst of three times the load.
func floodedDay(site Site) Site {
	site.Load *= 0.85
	site.Bursts = []Burst{{From: seconds(8), To: seconds(11), Factor: 3}}
	return site
}

// cordonedDay is a day on which one failure domain is cordoned during a burst, and another one
// after that.
func cordonedDay(site Site) Site {
	site.Cordons = []Cordon{{Domain: 0, From: seconds(5), To: seconds(14)}, {Domain: 1, From: seconds(18), To: seconds(26)}}
	site.Bursts = []Burst{{From: seconds(8), To: seconds(12), Factor: 1.3}}
	return site
}

// returningDay is a day on which all owners are lost twice, and their callers submit their jobs
// to the new ones within a short time. The second time a failure domain is cordoned.
func returningDay(site Site) Site {
	site.OwnerLosses = []OwnerLoss{{At: seconds(8), Outage: seconds(1.7)}, {At: seconds(20), Outage: seconds(1.7)}}
	site.Cordons = []Cordon{{Domain: 0, From: seconds(18), To: seconds(28)}}
	return site
}

// scarceDay is a day on which all callers together want more than twice what the targets can do,
// while a fifth of the targets leaves.
func scarceDay(site Site) Site {
	site.Load *= 0.9
	site.Bursts = []Burst{{From: seconds(8), To: seconds(16), Factor: 2.4}}
	site.Faults = []Fault{{From: seconds(8), To: seconds(18), Share: 0.2, Leave: true}}
	return site
}

// pressedDay is a day on which one failure domain after another gets 2.6 times its load while 30 %
// of its targets leave.
func pressedDay(site Site) Site {
	site.Load *= 0.9
	for domain := range 2 {
		from := seconds(5 + 11*float64(domain))
		where := Scope{OneDomain: true, Domain: domain}
		site.Bursts = append(site.Bursts, Burst{From: from, To: from + seconds(8), Factor: 2.6, Where: where})
		site.Faults = append(site.Faults, Fault{From: from, To: from + seconds(9), Share: 0.3, Leave: true, Where: where})
	}
	return site
}

// hamperedDay is a pressed day on which owners have unequal shares of a core, calls and jobs take
// their processor time, and each entry VM has its own reports.
func hamperedDay(site Site) Site {
	site = pressedDay(site)
	site.EntryVMs = 11
	site.CallTime, site.JobTime = 60*time.Microsecond, 150*time.Microsecond
	site.OwnerShares = []float64{0.48, 0.8, 0.48}
	return site
}

// Day is a kind of day that can be simulated on any site.
type Day struct {
	Name string
	// apply returns the site with the load, faults, cordons and losses of the day.
	apply func(Site) Site
}

// Days are the kinds of days of the rounds.
var Days = []Day{
	{"usual", func(s Site) Site { return s }}, {"faulty", faultyDay}, {"crowded", crowdedDay}, {"flooded", floodedDay}, {"cordoned", cordonedDay}, {"returning", returningDay},
	{"scarce", scarceDay}, {"pressed", pressedDay}, {"hampered", hamperedDay},
}
