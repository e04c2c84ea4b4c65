package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// Events that follow each other faster than the tick must not delay the check of
// deadlines: a submission that is given up gets its answer at once.
func TestDeadlinesAreCheckedUnderSteadyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		// The hanging start ends before the test does.
		defer time.Sleep(2 * time.Hour)
		defer cancel()
		hang := func() behaviour { return behaviour{runTime: time.Hour, outcome: targetclient.OutcomeDone} }
		d := New(Options{
			Holder:      "vm/1",
			Submissions: 50,
			Placer:      NewBaseline(BaselineRandom, rand.New(rand.NewPCG(1, 1)), 1),
			Limits:      unlimited{},
			Admission:   admission.New(admission.Config{Domain: "a", Domains: []string{"a"}}),
			Targets:     &fakeTargets{begun: map[targetclient.TaskID]int{}, next: hang},
		})
		go func() { _ = d.Run(ctx) }()
		d.SetProfiles([]profile.Profile{{
			Name: "p", GuaranteedSlots: 1, QueueTasks: 200, DeadlineMS: 3000, MaxDeadlineMS: 10000, MaxRunMS: 2000,
		}}, nil)
		d.SetTargets([]Target{{ID: "t", Address: "10.0.0.1", Slots: 1}})
		const deadline = 500 * time.Millisecond
		p := submit(d, "s", 1, deadline)
		const pause = DefaultTick / 10
		for range (deadline + 2*DefaultTick) / pause {
			d.Do(func(time.Duration) {})
			time.Sleep(pause)
		}
		synctest.Wait()
		must.Eq(t, 1, p.calls)
		must.Eq(t, api.KindDeadlineExceeded, p.outcome.Kind)
	})
}
