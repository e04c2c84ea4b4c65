package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// Where all declared run times are too short, the targets do not count as slow.
func TestEstimateLearnsShortDeclarations(t *testing.T) {
	s := New(Options{})
	now := time.Duration(0)
	for i := range 6000 {
		id := string(rune('a' + i%3))
		s.TargetListed(now, work.Target{ID: id, Service: "s", Capacity: work.Resources{CPU: 1000}})
		j := s.newJob(now, Submission{
			Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, DeclaredRunTime: 100 * time.Millisecond}}},
			Queue: work.Queue{Name: "q", Service: "s"},
		})
		r := &run{task: j.tasks[0], target: s.targets[id], ordered: now, expected: j.steps[0].expectedRuntime}
		now += 400 * time.Millisecond
		s.recordSuccess(now, s.targets[id], r)
		s.Tick(now)
	}
	must.Between(t, 3.5, s.estimateOf("q").runtimeRatio, 4.5)
	must.False(t, s.targets["a"].isSlow())
}

// Declared run times that are wrong in both directions must not make targets look ever slower.
func TestEstimatesDoNotDrift(t *testing.T) {
	s := New(Options{})
	s.TargetListed(0, work.Target{ID: "t", Service: "s", Capacity: work.Resources{CPU: 1000}})
	target := s.targets["t"]
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for range 20000 {
		declared := 100 * time.Millisecond
		actual := time.Duration(float64(declared) / (1 + 0.4*(2*random.Float64()-1)))
		j := s.newJob(now, Submission{
			Job:   work.Job{ID: "j", Steps: []work.Step{{Tasks: 1, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: declared}}},
			Queue: work.Queue{Name: "q", Service: "s"},
		})
		r := &run{task: j.tasks[0], target: target, ordered: now, expected: j.steps[0].expectedRuntime}
		now += actual
		s.recordSuccess(now, target, r)
	}
	must.Between(t, 0.95, s.estimateOf("q").runtimeRatio, 1.15)
	must.Less(t, slowSpeed, target.health.speed)
}
