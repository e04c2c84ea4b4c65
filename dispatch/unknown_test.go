package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// oneUnit is a limit of one unit; given is when the unit was returned.
type oneUnit struct {
	unlimited
	begin time.Time
	given []time.Duration
}

func (l *oneUnit) Take(string) []string { return []string{"pool"} }

func (l *oneUnit) Give(_ time.Duration, pools []string) {
	if len(pools) > 0 {
		l.given = append(l.given, time.Since(l.begin))
	}
}

// A task whose connection broke may still run at its target: its unit of a limit is
// kept until its run limit has passed.
func TestUnitOfUnknownOutcomeIsKeptWhileTheTaskMayRun(t *testing.T) {
	const broke, runLimit = 100 * time.Millisecond, 2 * time.Second
	for name, test := range map[string]struct {
		end  behaviour
		from time.Duration
	}{
		"unknown":     {behaviour{runTime: broke, err: errUnknown}, runLimit},
		"silent":      {behaviour{runTime: runLimit + 5*time.Second, err: errUnknown}, runLimit + 5*time.Second},
		"done":        {behaviour{runTime: broke, outcome: targetclient.OutcomeDone}, broke},
		"failed":      {behaviour{runTime: broke, outcome: targetclient.OutcomeFailed}, broke},
		"not started": {behaviour{runTime: broke, err: errFull}, broke},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				// The pending starts end before the test does.
				defer time.Sleep(time.Minute)
				defer cancel()
				limits := &oneUnit{begin: time.Now()}
				d := New(Options{
					Submissions: 5,
					Placer:      NewBaseline(BaselineRandom, rand.New(rand.NewPCG(1, 1)), 1),
					Limits:      limits,
					Admission:   admission.New(admission.Config{Domain: "a", Domains: []string{"a"}}),
					Targets:     &fakeTargets{begun: map[targetclient.TaskID]int{}, next: func() behaviour { return test.end }},
				})
				go func() { _ = d.Run(ctx) }()
				d.SetProfiles([]profile.Profile{{
					Name: "p", GuaranteedSlots: 1, QueueTasks: 9, DeadlineMS: 9000, MaxDeadlineMS: 9000, MaxRunMS: runLimit.Milliseconds(),
				}}, nil)
				d.SetTargets([]Target{{ID: "t", Address: "t", Slots: 1}})
				submit(d, "s", 1, 0)
				time.Sleep(test.from + reclaimMargin + idleTick + DefaultTick)
				synctest.Wait()
				must.SliceNotEmpty(t, limits.given)
				must.GreaterEq(t, test.from, limits.given[0])
				must.Less(t, test.from+reclaimMargin+idleTick+DefaultTick, limits.given[0])
			})
		})
	}
}
