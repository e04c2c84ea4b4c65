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
func underKept(t *testing.T, d *prepared.Deployment, inject func()) *prepared.KeptTally {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	tally := make(chan *prepared.KeptTally, 1)
	go func() { tally <- d.LoadKept(ctx, 20) }()
	inject()
	stop()
	result := <-tally
	t.Log(result)
	must.SliceEmpty(t, result.Wrong, must.Sprint(result.Wrong))
	must.SliceEmpty(t, d.Recorder.Doubled())
	must.SliceEmpty(t, d.Recorder.Repeated())
	must.SliceEmpty(t, d.Recorder.Wrong(), must.Sprint(d.Recorder.Wrong()))
	must.Positive(t, result.Completed)
	return result
}

func TestKeptJobsOnACalmDay(t *testing.T) {
	d := start(t, 2, 2)
	result := underKept(t, d, func() { let(2 * time.Second) })
	must.Eq(t, 0, result.Refused+result.Unsaid)
	must.Positive(t, result.Cancelled)
}

func TestKeptJobsOutliveTheirOwner(t *testing.T) {
	d := start(t, 2, 2)
	underKept(t, d, func() {
		let(time.Second)
		d.Owner(0).Kill()
		let(2 * time.Second)
		d.Owner(1).Signal(syscall.SIGSTOP)
		let(2 * time.Second)
	})
}

func TestKeptJobsOutliveAllVMs(t *testing.T) {
	d := start(t, 2, 2)
	underKept(t, d, func() {
		let(time.Second)
		for _, vm := range d.VMs {
			vm.Kill()
		}
		for _, vm := range d.VMs {
			must.NoError(t, vm.Start())
		}
		must.True(t, d.WaitReady(readyTime))
		let(time.Second)
	})
}

func TestKeptJobsThroughAPlannedStop(t *testing.T) {
	d := start(t, 1, 3)
	underKept(t, d, func() {
		let(time.Second)
		owner := d.Owner(0)
		owner.Signal(syscall.SIGTERM)
		must.NoError(t, owner.Wait(t.Context()))
		let(time.Second)
	})
}

// The owner is lost during an outage of the store: its jobs wait for the end of the outage.
func TestKeptJobsWhileTheStoreIsAway(t *testing.T) {
	d := start(t, 1, 2)
	underKept(t, d, func() {
		let(time.Second)
		d.Store.Away("", true)
		let(500 * time.Millisecond)
		d.Owner(0).Kill()
		let(time.Second)
		d.Store.Away("", false)
		let(2 * time.Second)
	})
}

// A VM that has never reached the store takes over by the owner's message, and ends jobs as soon as
// the outage is over. Its successor must still know these jobs.
func TestKeptJobsOfAnOwnerByWord(t *testing.T) {
	d := start(t, 1, 3)
	underKept(t, d, func() {
		let(time.Second)
		owner := d.Owner(0)
		fresh := d.VMs[0]
		if fresh == owner {
			fresh = d.VMs[1]
		}
		fresh.Kill()
		d.Store.Away("", true)
		must.NoError(t, fresh.Start())
		let(500 * time.Millisecond)
		owner.Signal(syscall.SIGTERM)
		let(550 * time.Millisecond)
		owner.Kill()
		let(500 * time.Millisecond)
		d.Store.Away("", false)
		let(time.Second)
		must.NoError(t, owner.Start())
		must.Eq(t, fresh.Name, d.Owner(0).Name)
		fresh.Kill()
		let(2 * time.Second)
	})
}

func TestKeptJobsWhileAnswersOfTheStoreAreLost(t *testing.T) {
	d := start(t, 1, 2)
	underKept(t, d, func() {
		for range 10 {
			d.Store.LoseAnswers(3)
			let(300 * time.Millisecond)
		}
	})
}

func TestKeptJobsWithLateAndLostOrders(t *testing.T) {
	d := start(t, 1, 2)
	underKept(t, d, func() {
		d.Disturb(0.05, 0.05)
		let(3 * time.Second)
		d.Disturb(0, 0)
		let(time.Second)
	})
}
