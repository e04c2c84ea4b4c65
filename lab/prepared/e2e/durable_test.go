package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/prepared"
)

// withDurableLoad calls inject during a load of durable jobs and returns their outcomes. No job may
// be lost, run twice or end with a wrong outcome.
func withDurableLoad(t *testing.T, d *prepared.Deployment, inject func()) *prepared.DurableTally {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	tally := make(chan *prepared.DurableTally, 1)
	go func() { tally <- d.LoadDurable(ctx, 20) }()
	inject()
	stop()
	result := <-tally
	t.Log(result)
	must.SliceEmpty(t, result.Violations, must.Sprint(result.Violations))
	must.SliceEmpty(t, d.Recorder.Doubled())
	must.SliceEmpty(t, d.Recorder.Repeated())
	must.SliceEmpty(t, d.Recorder.Violations(), must.Sprint(d.Recorder.Violations()))
	must.Positive(t, result.Completed)
	return result
}

func TestDurableJobsEndWithoutFaults(t *testing.T) {
	d := start(t, 2, 2)
	result := withDurableLoad(t, d, func() { wait(2 * time.Second) })
	must.Eq(t, 0, result.Refused+result.Unanswered)
	must.Positive(t, result.Cancelled)
}

func TestDurableJobsSurviveLossOfTheirOwner(t *testing.T) {
	d := start(t, 2, 2)
	withDurableLoad(t, d, func() {
		wait(time.Second)
		d.Owner(0).Kill()
		wait(2 * time.Second)
		d.Owner(1).Signal(syscall.SIGSTOP)
		wait(2 * time.Second)
	})
}

func TestDurableJobsSurviveLossOfAllVMs(t *testing.T) {
	d := start(t, 2, 2)
	withDurableLoad(t, d, func() {
		wait(time.Second)
		for _, vm := range d.VMs {
			vm.Kill()
		}
		for _, vm := range d.VMs {
			must.NoError(t, vm.Start())
		}
		must.True(t, d.WaitReady(readyTimeout))
		wait(time.Second)
	})
}

func TestDurableJobsSurvivePlannedStopOfOwner(t *testing.T) {
	d := start(t, 1, 3)
	withDurableLoad(t, d, func() {
		wait(time.Second)
		owner := d.Owner(0)
		owner.Signal(syscall.SIGTERM)
		must.NoError(t, owner.Wait(t.Context()))
		wait(time.Second)
	})
}

// The owner is lost during an outage of the store: its jobs wait for the end of the outage.
func TestDurableJobsSurviveOwnerLossDuringStoreOutage(t *testing.T) {
	d := start(t, 1, 2)
	withDurableLoad(t, d, func() {
		wait(time.Second)
		d.Store.SetUnavailable("", true)
		wait(500 * time.Millisecond)
		d.Owner(0).Kill()
		wait(time.Second)
		d.Store.SetUnavailable("", false)
		wait(2 * time.Second)
	})
}

// A VM that has never reached the store takes over by the owner's message, and ends jobs as soon as
// the outage is over. Its successor must still know these jobs.
func TestDurableJobsSurviveHandoverWithoutStore(t *testing.T) {
	d := start(t, 1, 3)
	withDurableLoad(t, d, func() {
		wait(time.Second)
		owner := d.Owner(0)
		fresh := d.VMs[0]
		if fresh == owner {
			fresh = d.VMs[1]
		}
		fresh.Kill()
		d.Store.SetUnavailable("", true)
		must.NoError(t, fresh.Start())
		wait(500 * time.Millisecond)
		owner.Signal(syscall.SIGTERM)
		wait(550 * time.Millisecond)
		owner.Kill()
		wait(500 * time.Millisecond)
		d.Store.SetUnavailable("", false)
		wait(time.Second)
		must.NoError(t, owner.Start())
		must.Eq(t, fresh.Name, d.Owner(0).Name)
		fresh.Kill()
		wait(2 * time.Second)
	})
}

func TestDurableJobsSurviveLostStoreAnswers(t *testing.T) {
	d := start(t, 1, 2)
	withDurableLoad(t, d, func() {
		for range 10 {
			d.Store.LoseAnswers(3)
			wait(300 * time.Millisecond)
		}
	})
}

// A job that is cancelled while the store answers none of its writes is not run, whichever VM takes the
// cancellation: its caller was told that there is no such job, or that it is cancelled.
func TestJobCancelledWhileItIsStoredDoesNotRun(t *testing.T) {
	d := start(t, 2, 2)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	tally := make(chan *prepared.CancelTally, 1)
	go func() { tally <- d.LoadCancelled(ctx, 20) }()
	d.Store.SetLateWrites(0.35)
	wait(4 * time.Second)
	d.Store.SetLateWrites(0)
	stop()
	result := <-tally
	t.Log(result)
	must.SliceEmpty(t, result.Violations, must.Sprint(result.Violations))
	must.Positive(t, result.Unanswered)
	must.Eq(t, 0, result.Unacknowledged)
}

func TestDurableJobsSurviveLateAndLostOrders(t *testing.T) {
	d := start(t, 1, 2)
	withDurableLoad(t, d, func() {
		d.SetOrderFaults(0.05, 0.05)
		wait(3 * time.Second)
		d.SetOrderFaults(0, 0)
		wait(time.Second)
	})
}
