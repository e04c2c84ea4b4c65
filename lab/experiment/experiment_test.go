package experiment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/deploy"
	"github.com/burdockward/burdockward/lab/load"
)

func TestFaultsCountFromTheStartOfTheLoad(t *testing.T) {
	start := time.Now()
	var none injected
	must.Eq(t, load.Faults{}, none.faults(start))
	killed := injected{
		outage:  load.Outage{VM: faultyVM, ID: "vm-1"},
		from:    start.Add(time.Second),
		to:      start.Add(2 * time.Second),
		targets: []string{"t"},
	}
	must.Eq(t, load.Faults{
		Outages: []load.Outage{{VM: faultyVM, ID: "vm-1", From: time.Second, To: 2 * time.Second}},
		Targets: []string{"t"},
	}, killed.faults(start))
}

func TestTraceCoversAllDomains(t *testing.T) {
	o := Options{
		Deploy: deploy.Options{Domains: []string{"a", "b"}, VMs: 3, Targets: 2, Slots: 8},
		Mix:    load.Kasa(), Seed: 1, Load: 0.5, Length: 10 * time.Second,
	}
	jobs, err := o.trace()
	must.NoError(t, err)
	count := make([]int, len(o.Deploy.Domains))
	for i := range jobs {
		count[jobs[i].Domain]++
		if i > 0 {
			must.LessEq(t, jobs[i].At, jobs[i-1].At)
		}
	}
	must.Positive(t, count[0])
	must.Positive(t, count[1])

	o.Load = 0
	_, err = o.trace()
	must.ErrorContains(t, err, "load above 0")
}

func TestInjectRejectsUnknownFaults(t *testing.T) {
	r := &run{Options: Options{Fault: "fire"}}
	must.ErrorContains(t, r.inject(t.Context()), "take one of")
}

func TestParseDomains(t *testing.T) {
	domains, err := parseDomains([]string{"a=127.0.0.1:1+127.0.0.1:2", "b=127.0.0.1:3+127.0.0.1:4"})
	must.NoError(t, err)
	must.Eq(t, []load.Domain{
		{Name: "a", Entries: []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}},
		{Name: "b", Entries: []string{"http://127.0.0.1:3", "http://127.0.0.1:4"}},
	}, domains)
	for _, bad := range []string{"a", "=127.0.0.1:1", "a="} {
		_, err = parseDomains([]string{bad})
		must.ErrorContains(t, err, "NAME=")
	}
	_, err = parseDomains([]string{"a=127.0.0.1:1+127.0.0.1:2", "b=127.0.0.1:3"})
	must.ErrorContains(t, err, "as many")
}
