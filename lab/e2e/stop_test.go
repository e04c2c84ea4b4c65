//go:build linux

package e2e

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	before := job(w.key(0), sleepTasks(2, time.Millisecond, ""))
	w.wantWhole(w.submit(0, before))
	load := w.startLoad(6, job("", sleepTasks(3, 20*time.Millisecond, "")), 0, 1, 2)
	w.await("the load runs", func() bool { return w.ledger.count((*response).hasAnswer) > 60 })
	// These jobs start last, so that they still run when the stop begins.
	var running []api.Submission
	var sent []*pending
	for range 6 {
		s := job(w.key(0), sleepTasks(2, 2*time.Second, ""))
		running = append(running, s)
		sent = append(sent, w.submitAsync(0, s))
	}
	w.awaitStarted(0, keysOf(running)...)

	w.vms[0].process.signal(t, syscall.SIGTERM)
	w.await("callers are sent elsewhere", func() bool { return w.ledger.count(draining) > 0 })
	must.Eq(t, 0, w.vms[0].process.awaitExit(t))
	load.stop()

	for i := range sent {
		w.wantWhole(w.wait(sent[i]))
	}
	w.wantNothingCut()
	w.wantHandedOver(append(running, before), 1, 2)
	w.mustAnswer(1)
}

func TestTwoPlannedStopsAtOnceCutNothing(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	answered, sent := w.runAt(0, 1)
	load := w.startLoad(4, job("", sleepTasks(3, 20*time.Millisecond, "")), 0, 1, 2)
	w.await("the load runs", func() bool { return w.ledger.count((*response).hasAnswer) > 60 })

	w.stopAtOnce(0, 1)
	load.stop()

	for i := range sent {
		w.wantWhole(w.wait(sent[i]))
	}
	w.wantNothingCut()
	w.wantHandedOver(answered, 2)
	w.mustAnswer(2)
}

func TestAllVMsStoppedAtOnceCutNothing(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	_, sent := w.runAt(0, 1, 2)
	// The stop must not wait for a caller's idle connection.
	reserve, err := net.Dial("tcp", w.vms[0].callers.String())
	must.NoError(t, err)
	defer reserve.Close()
	w.stopAtOnce(0, 1, 2)
	for i := range sent {
		w.wantWhole(w.wait(sent[i]))
	}
	w.wantNothingCut()
}

// TestPlannedStopWhileAnotherVMIsKilled kills a VM while another one makes a planned stop. The
// stopping VM may leave without handing over when it notices the loss too late; it logs that.
func TestPlannedStopWhileAnotherVMIsKilled(t *testing.T) {
	for _, lost := range []int{0, 2} {
		t.Run(fmt.Sprint("VM ", lost), func(t *testing.T) {
			w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
			stays := 2 - lost
			answered, sent := w.runAt(1)
			w.vms[1].process.signal(t, syscall.SIGTERM)
			for i := range sent {
				w.wantWhole(w.wait(sent[i]))
			}
			w.kill(lost)
			must.Eq(t, 0, w.vms[1].process.awaitExit(t))
			w.wantNothingCut()
			w.awaitView(stays, stays)
			if !w.vms[1].process.logged("left without handing over") {
				w.wantHandedOver(answered, stays)
			}
			w.mustAnswer(stays)
		})
	}
}

// runAt has each VM answer a job and start three more. It returns all jobs, and the requests of
// those that still run.
func (w *world) runAt(vms ...int) (jobs []api.Submission, running []*pending) {
	for _, vm := range vms {
		before := job(w.key(vm), sleepTasks(2, time.Millisecond, ""))
		w.wantWhole(w.submit(vm, before))
		var keys []api.Submission
		for range 3 {
			s := job(w.key(vm), sleepTasks(2, 2*time.Second, ""))
			keys = append(keys, s)
			running = append(running, w.submitAsync(vm, s))
		}
		w.awaitStarted(vm, keysOf(keys)...)
		jobs = append(jobs, append(keys, before)...)
	}
	return jobs, running
}

// stopAtOnce asks VMs for a planned stop at the same time and waits for their end.
func (w *world) stopAtOnce(vms ...int) {
	w.t.Helper()
	for _, vm := range vms {
		w.vms[vm].process.signal(w.t, syscall.SIGTERM)
	}
	for _, vm := range vms {
		must.Eq(w.t, 0, w.vms[vm].process.awaitExit(w.t), must.Sprint("VM ", vm))
	}
}

// wantNothingCut fails unless every request that reached a VM got a response, and every refusal by
// a planned stop has the run state not_run and a Retry-After.
func (w *world) wantNothingCut() {
	w.t.Helper()
	for _, r := range w.ledger.all() {
		if !r.neverConnected() {
			must.NoError(w.t, r.err, must.Sprint("cut: ", r))
		}
		if draining(r) {
			must.Eq(w.t, api.NotRun, r.runState(), must.Sprint(r))
			must.NotEq(w.t, "", r.header.Get("Retry-After"), must.Sprint(r))
		}
	}
}

func draining(r *response) bool { return r.kind() == api.KindDraining }

// wantHandedOver fails unless the remaining VMs have the outcomes of the keys of the stopped ones,
// both of those that were answered and of those that were refused.
func (w *world) wantHandedOver(answered []api.Submission, stay ...int) {
	w.t.Helper()
	for _, s := range answered {
		for _, vm := range stay {
			r := w.submitUntilDecided(s, vm)
			must.Eq(w.t, api.Completed, r.runState(), must.Sprint(r))
		}
	}
	refused := w.ledger.all()
	for _, r := range refused {
		if !draining(r) {
			continue
		}
		again := w.submitUntilDecided(job(r.key, sleepTasks(3, 20*time.Millisecond, "")), stay...)
		must.Eq(w.t, api.NotRun, again.runState(), must.Sprint(again))
	}
}
