package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func params() TraceParams {
	return TraceParams{
		Seed: 1, Mix: Both(), VMs: 3, Slots: 128, Load: 0.8, Length: time.Minute, Duplicates: 0.02, MaxJobs: 100_000,
	}
}

func TestTraceHasTheWantedLoad(t *testing.T) {
	for _, mix := range []Mix{Kasa(), Thapa(), Both()} {
		p := params()
		p.Mix = mix
		jobs, err := Trace(p)
		must.NoError(t, err)
		var work time.Duration
		var last time.Duration
		for i := range jobs {
			work += jobs[i].Work()
			must.GreaterEq(t, last, jobs[i].At)
			last = jobs[i].At
		}
		must.Less(t, p.Length, last)
		got := float64(work) / float64(p.Length) / float64(p.Slots)
		must.Between(t, 0.8, got, 0.82)
	}
}

func TestTraceIsFixedBySeedAndDomain(t *testing.T) {
	a, err := Trace(params())
	must.NoError(t, err)
	b, err := Trace(params())
	must.NoError(t, err)
	must.Eq(t, a, b)
	p := params()
	p.Domain = 1
	c, err := Trace(p)
	must.NoError(t, err)
	must.NotEq(t, a[0].At, c[0].At)
}

func TestTraceBoundsTasksAndRuns(t *testing.T) {
	jobs, err := Trace(params())
	must.NoError(t, err)
	usual, tasks, far := 0, 0, 0
	for i := range jobs {
		must.Between(t, 1, len(jobs[i].Tasks), 170)
		for _, task := range jobs[i].Tasks {
			tasks++
			must.Between(t, 50*time.Millisecond, task.Run, 6*time.Second)
			if task.Run <= time.Second {
				usual++
			}
			if task.Expected > 2*task.Run || task.Expected < task.Run/2 {
				far++
			}
		}
	}
	must.Greater(t, 0.97, float64(usual)/float64(tasks))
	must.Between(t, 0.3, float64(far)/float64(tasks), 0.5)
}

func TestTraceSendsUnevenShareToFirstVM(t *testing.T) {
	p := params()
	p.Uneven = true
	jobs, err := Trace(p)
	must.NoError(t, err)
	byVM := make([]float64, p.VMs)
	for i := range jobs {
		byVM[jobs[i].VM]++
	}
	must.Between(t, UnevenShare-0.05, byVM[0]/float64(len(jobs)), UnevenShare+0.05)
	must.Positive(t, byVM[2])
}

func TestTraceRejectsBadParameters(t *testing.T) {
	p := params()
	p.MaxJobs = 10
	_, err := Trace(p)
	must.ErrorContains(t, err, "raise the bound")
	p = params()
	p.Slots = 0
	_, err = Trace(p)
	must.ErrorContains(t, err, "0 slots")
	_, err = MixByName("none")
	must.ErrorContains(t, err, "take kasa")
}

func TestIdealKeepsDomainsApart(t *testing.T) {
	run := []Task{{Run: 100 * time.Millisecond}}
	jobs := []Job{{Tasks: run}, {Domain: 1, Tasks: run}, {Tasks: run}}
	must.Eq(t, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}, Ideal(jobs, 1, nil))
	skipFirst := func(i int) bool { return i == 0 }
	must.Eq(t, []time.Duration{0, 100 * time.Millisecond, 100 * time.Millisecond}, Ideal(jobs, 1, skipFirst))
}
