package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// A part that is handed over runs already: an owner short of processor must not refuse it, nor one whose
// queue of submissions is full.
func TestHandedPartIsNotShed(t *testing.T) {
	o := New(testOptions(), newFencingTarget(), oneTarget{})
	o.lag.recordTick(bootclock.Now() - 2*shedThreshold)
	_, shed := o.shouldShed()
	must.True(t, shed)
	for range submissionQueueSize {
		o.submissions.Offer(func(time.Duration) {})
	}
	sub := testSubmission("job")
	must.Eq(t, work.Refused, o.Submit(t.Context(), sub).Result)
	sub.Part, sub.Handed, sub.Entry = []string{"job.0.0.0"}, true, "leaving"
	go func() {
		now := bootclock.Now()
		(<-o.answers)(now)
		o.state.Tick(now + time.Second)
		o.applyEffects(t.Context(), o.state.Effects(now+time.Second))
	}()
	must.Eq(t, work.Unknown, o.Submit(t.Context(), sub).Result)
}

// A request for a handed job that was never queued leaves nothing to cancel: a goroutine would wait for
// its message until the owner ends. It is not answered as refused, because the job runs.
func TestUnqueuedRequestForHandedJobEnds(t *testing.T) {
	o := New(testOptions(), newFencingTarget(), oneTarget{})
	for range answerQueueSize {
		o.answers <- func(time.Duration) {}
	}
	sub := testSubmission("job")
	sub.Part, sub.Handed, sub.Entry = []string{"job.0.0.0"}, true, "leaving"
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.Eq(t, work.Moved, o.Submit(ctx, sub).Result)
	must.Eq(t, answerQueueSize, len(o.answers))
}

// The successor asks for no jobs, or this owner isn't set to hand them over: the handover proceeds as
// with an older build.
func TestJobsAreHandedOverOnlyBetweenVMsThatDo(t *testing.T) {
	for _, test := range []struct {
		flag      bool
		successor string
		handed    bool
	}{{true, "next", true}, {true, "", false}, {false, "next", false}} {
		options := testOptions()
		options.HandOverJobs = test.flag
		o := New(options, newFencingTarget(), oneTarget{})
		go func() { (<-o.answers)(bootclock.Now()) }()
		released := o.Release(t.Context(), scheduler.Successor{Owner: test.successor})
		must.Eq(t, test.handed, released.Handover != nil)
		must.True(t, released.All)
		// A successor that has the jobs asks for the remaining targets only.
		go func() { (<-o.answers)(bootclock.Now()) }()
		released = o.Release(t.Context(), scheduler.Successor{})
		must.Nil(t, released.Handover)
		must.True(t, released.All)
	}
}

// The number of open jobs is that of the handover, not of the last tick: the node would otherwise end an
// owner whose callers still wait, or keep one without jobs.
func TestReleasePublishesOpenJobs(t *testing.T) {
	options := testOptions()
	options.HandOverJobs = true
	o := New(options, newFencingTarget(), oneTarget{})
	o.openJobs.Store(3)
	go func() { (<-o.answers)(bootclock.Now()) }()
	must.True(t, o.Release(t.Context(), scheduler.Successor{}).All)
	must.Eq(t, 0, o.OpenJobs())

	job := testSubmission("job")
	job.Part, job.Handed, job.Entry = []string{"job.0.0.0"}, true, "e"
	h := scheduler.Handover{From: "e", Jobs: []scheduler.HandedJob{{Submission: job}}}
	o = New(options, newFencingTarget(), oneTarget{})
	now := bootclock.Now()
	o.state.AdoptJobs(now, now, h, func() scheduler.Ref { return 1 })
	go func() { (<-o.answers)(now) }()
	o.Release(t.Context(), scheduler.Successor{})
	must.Eq(t, 1, o.OpenJobs())
}

// While its own predecessor still uses targets, an owner doesn't know all runs, and hands over none.
func TestNoJobsAreHandedOverDuringTakeover(t *testing.T) {
	options := testOptions()
	options.HandOverJobs = true
	options.AskPredecessor = func(context.Context) (Released, error) { return Released{}, nil }
	o := New(options, newFencingTarget(), oneTarget{})
	go func() { (<-o.answers)(bootclock.Now()) }()
	must.Nil(t, o.Release(t.Context(), scheduler.Successor{Owner: "next"}).Handover)
}

// Jobs are taken before the registry's targets: the State would stop their runs otherwise. A second
// answer changes nothing, and none counts once this owner has given its predecessor up.
func TestJobsAreTakenBeforeTargets(t *testing.T) {
	options := testOptions()
	options.AskPredecessor = func(context.Context) (Released, error) { return Released{}, nil }
	o := New(options, newFencingTarget(), oneTarget{})
	now := bootclock.Now()
	job := testSubmission("job")
	job.Part, job.Handed = []string{"job.0.0.0"}, true
	released := Released{All: true, Handover: &scheduler.Handover{From: "leaving", Jobs: []scheduler.HandedJob{{Submission: job}}}}
	o.adoptJobs(now, now, released)
	o.applyReleased(now, released, false)
	must.Eq(t, 1, o.state.Jobs())
	o.adoptJobs(now, now, released)
	must.Eq(t, 1, o.state.Jobs())

	late := New(options, newFencingTarget(), oneTarget{})
	late.applyReleased(now, Released{}, true)
	late.adoptJobs(now, now, released)
	must.Eq(t, 0, late.state.Jobs())
}

// A job that runs when its owner leaves is completed by the successor and answered by the leaving owner,
// with one start. Late answers to the leaving owner's orders under the old token end nothing.
func TestRunningJobPassesBetweenOwners(t *testing.T) {
	target := newFencingTarget()
	var next *Owner
	options := testOptions()
	options.HandOverJobs = true
	options.Delegate = func(ctx context.Context, _ string, sub scheduler.Submission) work.Outcome {
		sub.Entry, sub.Request = "leaving", 1
		return next.Submit(ctx, sub)
	}
	o := runOwnerWith(t, options, target)
	must.Eq(t, work.Completed, (<-submit(t, o, "1")).Result)
	release := target.hold(&target.heldPoll)
	running := submit(t, o, "2")
	must.Eq(t, "poll", <-target.heldOrders)
	must.True(t, eventually(func() bool { return len(target.startedRuns()) == 2 }))
	o.Leave(t.Context())

	successor := testOptions()
	successor.Token = 6
	successor.AskPredecessor = func(ctx context.Context) (Released, error) {
		released := o.Release(ctx, scheduler.Successor{Owner: "next"})
		if released.Handover != nil {
			released.Handover.From = "leaving"
		}
		return released, nil
	}
	next = New(successor, target, oneTarget{})
	next.RecordKeepalive("leaving", bootclock.Now()+time.Hour, nil)
	ctx, end := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- next.Run(ctx) }()
	must.Eq(t, work.Completed, (<-running).Result)
	release()
	must.Eq(t, work.Completed, (<-submit(t, next, "3")).Result)
	must.SliceLen(t, 3, target.startedRuns())
	must.True(t, eventually(func() bool { return o.Release(ctx, scheduler.Successor{Owner: "next"}).All && o.OpenJobs() == 0 }))
	end()
	must.NoError(t, <-done)
}
