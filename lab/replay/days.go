package replay

import "time"

// seconds converts seconds to a duration.
func second(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// faultyDay is a day on which a tenth of the targets hang and later a sixth become slow, with a
// burst that overlaps the hung targets.
func faulty(site Site) Site {
	site.Faults = []Fault{
		{From: second(4), To: second(8.2), Share: 0.11, Hang: true},
		{From: second(10), To: second(17), Share: 0.17, Slower: 7.7},
	}
	site.Bursts = []Burst{{From: second(1), To: second(5), Times: 1.3}}
	return site
}

// crowdedDay is a day on which the load is near the capacity, and above it during a burst.
func crowded(site Site) Site {
	site.Load *= 1.2
	site.Bursts = []Burst{{From: second(10), To: second(14), Times: 1.3}}
	return site
}

// floodedDay is a day with a burst of three times the load.
func flooded(site Site) Site {
	site.Load *= 0.85
	site.Bursts = []Burst{{From: second(8), To: second(11), Times: 3}}
	return site
}

// cordonedDay is a day on which one failure domain is cordoned during a burst, and another one
// after that.
func cordoned(site Site) Site {
	site.Cordons = []Cordon{{Domain: 0, From: second(5), To: second(14)}, {Domain: 1, From: second(18), To: second(26)}}
	site.Bursts = []Burst{{From: second(8), To: second(12), Times: 1.3}}
	return site
}

// returningDay is a day on which all owners are lost twice, and their callers submit their jobs
// to the new ones within a short time. The second time a failure domain is cordoned.
func returning(site Site) Site {
	site.Losses = []Loss{{At: second(8), For: second(1.7)}, {At: second(20), For: second(1.7)}}
	site.Cordons = []Cordon{{Domain: 0, From: second(18), To: second(28)}}
	return site
}

// Day is a kind of day that can be simulated on any site.
type Day struct {
	Name string
	// apply returns the site with the load, faults, cordons and losses of the day.
	of func(Site) Site
}

// Days are the kinds of days of the rounds.
var Days = []Day{
	{"usual", func(s Site) Site { return s }}, {"faulty", faulty}, {"crowded", crowded}, {"flooded", flooded}, {"cordoned", cordoned}, {"returning", returning},
}
