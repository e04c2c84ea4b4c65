package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/profile"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

// pausing pauses the process once, in the check of the limit.
type pausing struct {
	unlimited
	pause time.Duration
}

func (p *pausing) Usable(string) bool {
	time.Sleep(p.pause)
	p.pause = 0
	return true
}

// A process may pause after it has checked its view lease, and count as lost
// meanwhile. The start that it decided must not be sent after the pause.
func TestStartIsNotSentAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fakeTargets{begun: map[targetclient.TaskID]int{}, next: func() behaviour {
			return behaviour{outcome: targetclient.OutcomeDone, runTime: time.Millisecond}
		}}
		var notes []submission.Event
		d := New(Options{
			Submissions: 5,
			Placer:      NewBaseline(BaselineRandom, rand.New(rand.NewPCG(1, 1)), 1),
			Limits:      &pausing{pause: maxStartDelay + time.Millisecond},
			Admission:   admission.New(admission.Config{Domain: "a", Domains: []string{"a"}}),
			Targets:     f,
			LogEvent:    func(_ string, e submission.Event) { notes = append(notes, e) },
		})
		go func() { _ = d.Run(ctx) }()
		d.SetProfiles([]profile.Profile{{Name: "p", GuaranteedSlots: 1, QueueTasks: 9, DeadlineMS: 9000, MaxDeadlineMS: 9000, MaxRunMS: 2000}}, nil)
		d.SetTargets([]Target{{ID: "t1", Address: "t1", Slots: 2}})
		p := submit(d, "s", 1, 0)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		must.NotNil(t, p.outcome)
		must.Eq(t, []submission.Event{
			{Text: "admitted", Task: submission.NoTask},
			{Text: "started", Task: 0, Target: "t1"},
			{Text: "could not start", Task: 0, Target: "t1", Reason: string(targetclient.ReasonCancelled)},
			{Text: "started", Task: 0, Target: "t1"},
		}, notes)
		must.Eq(t, 1, f.starts("s"))
		cancel()
		synctest.Wait()
	})
}

func TestReclaimTimeCoversLeasesDelayAndRun(t *testing.T) {
	s := newAlone("t1")
	s.options.ViewLease = 5 * time.Second
	s.recordTargetLease(10 * time.Second)
	s.SetProfiles(0, []profile.Profile{{Name: "p", LimitSlots: 2, MaxRunMS: 7500}}, nil)
	must.Eq(t, 5*time.Second+maxStartDelay+10*time.Second+7500*time.Millisecond+reclaimMargin, s.reclaimAfter(0))
}
