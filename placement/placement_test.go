package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestMain(m *testing.M) {
	// The same seed in every run; flags on the command line override it.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

// fleet runs tasks against a State with n targets, four to a rack, all with free
// units.
type fleet struct {
	s    *State
	now  time.Duration
	rng  *rand.Rand
	jobs int
}

func newFleet(n int) *fleet {
	f := &fleet{s: New(Options{}), rng: rand.New(rand.NewPCG(1, 2))}
	var list []Target
	for i := range n {
		list = append(list, Target{ID: targetID(i), Rack: fmt.Sprint(i / 4)})
	}
	f.s.SetTargets(0, list)
	for i := range n {
		f.s.SetFree(targetID(i), true)
	}
	return f
}

func targetID(i int) string { return fmt.Sprintf("t%03d", i) }

// task runs one task of a job to its end, with the outcome that end gives.
func (f *fleet) task(job string, end func(target string) (time.Duration, Outcome)) string {
	id, ok := f.s.Pick(f.now, f.rng)
	if !ok {
		f.now += 10 * time.Millisecond
		return ""
	}
	f.s.RecordStart(f.now, id, "class", job)
	runtime, outcome := end(id)
	f.now += time.Millisecond
	f.s.RecordEnd(f.now, Result{Target: id, Class: "class", Submission: job, Runtime: runtime, Outcome: outcome})
	return id
}

func (f *fleet) job() string {
	f.jobs++
	return fmt.Sprintf("job%d", f.jobs)
}

func good(string) (time.Duration, Outcome) { return 100 * time.Millisecond, OutcomeDone }

func TestFailingTargetIsQuarantinedAndReinstated(t *testing.T) {
	f := newFleet(8)
	bad := targetID(3)
	broken := true
	end := func(target string) (time.Duration, Outcome) {
		if broken && target == bad {
			return time.Millisecond, OutcomeFailed
		}
		return good(target)
	}
	picks := 0
	for range 2000 {
		if f.task(f.job(), end) == bad {
			picks++
		}
	}
	must.LessEq(t, 8, picks)
	e, _ := f.s.Explain(bad)
	must.Eq(t, "quarantine", e.Use)
	broken = false
	for range 3000 {
		f.now += 50 * time.Millisecond
		f.task(f.job(), end)
	}
	e, _ = f.s.Explain(bad)
	must.Eq(t, "normal", e.Use)
}

func (f *fleet) use(i int) string {
	e, _ := f.s.Explain(targetID(i))
	return e.Use
}

// saturate keeps every target of one slot busy for a while: it ends tasks when
// they are due and starts new ones. It returns the starts at each target.
func (f *fleet) saturate(d time.Duration, end func(target string) (time.Duration, Outcome)) map[string]int {
	type run struct {
		ends   time.Duration
		result Result
	}
	starts := make(map[string]int)
	var running []run
	for until := f.now + d; f.now < until; f.now += time.Millisecond {
		kept := running[:0]
		for _, r := range running {
			if r.ends > f.now {
				kept = append(kept, r)
				continue
			}
			f.s.RecordEnd(f.now, r.result)
			f.s.SetFree(r.result.Target, true)
		}
		running = kept
		for {
			id, ok := f.s.Pick(f.now, f.rng)
			if !ok {
				break
			}
			job := f.job()
			f.s.RecordStart(f.now, id, "class", job)
			f.s.SetFree(id, false)
			starts[id]++
			runtime, outcome := end(id)
			result := Result{Target: id, Class: "class", Submission: job, Runtime: runtime, Outcome: outcome}
			running = append(running, run{ends: f.now + runtime, result: result})
		}
	}
	for _, r := range running {
		f.s.RecordEnd(f.now, r.result)
		f.s.SetFree(r.result.Target, true)
	}
	return starts
}
