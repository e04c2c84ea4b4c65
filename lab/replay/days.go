package replay

import "time"

func second(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// faulty is a day on which a tenth of the targets hang and a sixth turn slow.
func faulty(site Site) Site {
	site.Faults = []Fault{
		{From: second(4), To: second(8.2), Share: 0.11, Hang: true},
		{From: second(10), To: second(17), Share: 0.17, Slower: 7.7},
	}
	site.Bursts = []Burst{{From: second(1), To: second(5), Times: 1.3}}
	return site
}

// crowded is a day on which the load is at the brink and for a while beyond it.
func crowded(site Site) Site {
	site.Load *= 1.2
	site.Bursts = []Burst{{From: second(10), To: second(14), Times: 1.3}}
	return site
}

// flooded is a day on which three times the callers come for a while.
func flooded(site Site) Site {
	site.Load *= 0.85
	site.Bursts = []Burst{{From: second(8), To: second(11), Times: 3}}
	return site
}

// cordoned is a day on which one failure domain is cordoned while the load is high, and then
// another one.
func cordoned(site Site) Site {
	site.Cordons = []Cordon{{Domain: 0, From: second(5), To: second(14)}, {Domain: 1, From: second(18), To: second(26)}}
	site.Bursts = []Burst{{From: second(8), To: second(12), Times: 1.3}}
	return site
}

// returning is a day on which all owners are lost, and their callers come back all at once to
// new ones, at last while a failure domain is cordoned.
func returning(site Site) Site {
	site.Losses = []Loss{{At: second(8), For: second(1.7)}, {At: second(20), For: second(1.7)}}
	site.Cordons = []Cordon{{Domain: 0, From: second(18), To: second(28)}}
	return site
}

// Day is a day of trouble that is played on any site.
type Day struct {
	Name string
	of   func(Site) Site
}

// Days are those that changes of decisions are compared on.
var Days = []Day{
	{"usual", func(s Site) Site { return s }}, {"faulty", faulty}, {"crowded", crowded}, {"flooded", flooded}, {"cordoned", cordoned}, {"returning", returning},
}
