//go:build linux

package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/lab/standin/target"
	"github.com/burdockward/burdockward/profile"
	client "github.com/burdockward/burdockward/targetclient"
)

// TestStartUnderLapsedLeaseIsPlacedElsewhere sends starts to a target that no longer has their
// lease. The target refuses them, and the VM starts the tasks elsewhere or under a new lease.
func TestStartUnderLapsedLeaseIsPlacedElsewhere(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 4})
	// The target restarts between two jobs, without notice to the holder of its lease.
	w.awaitRefusedAsLapsed(func() {
		w.wantWhole(w.submit(0, w.slotsJob()))
		w.targetFault(0, target.Faults{Restart: true}, w.groups[0].ids[0])
		w.wantWhole(w.submit(0, w.slotsJob()))
	})
	// The target is frozen until its leases lapse, while starts wait at it.
	w.awaitRefusedAsLapsed(func() {
		w.wantWhole(w.submit(0, w.slotsJob()))
		id := w.groups[0].ids[0]
		w.targetFault(0, target.Faults{Frozen: true}, id)
		sent := w.submitAsync(0, w.slotsJob())
		w.await("a request waits at the target", func() bool { return w.targetStats(0)[id].Waiting > 0 })
		w.await("its leases lapse", func() bool { return w.targetStats(0)[id].Leases == 0 })
		w.targetFault(0, target.Faults{}, id)
		w.wantWhole(w.wait(sent))
	})
}

// TestVMFrozenPastItsLeasesAnswers freezes a VM with waiting tasks until the leases that it holds
// have lapsed. After it resumes, it takes new leases and answers the job.
func TestVMFrozenPastItsLeasesAnswers(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 4})
	s := job(w.key(0), sleepTasks(40, 200*time.Millisecond, ""))
	sent := w.submitAsync(0, s)
	w.awaitStarted(0, s.Key)
	w.freeze(0)
	w.await("its leases lapse", func() bool {
		leases := 0
		for _, stats := range w.targetStats(0) {
			leases += stats.Leases
		}
		return leases == 0
	})
	before := w.startedTasks(s.Key)
	must.Less(t, len(s.Tasks), before)
	w.resume(0)
	// The VM takes new leases, whether or not the other VMs have removed it from their view.
	w.wantWhole(w.wait(sent))
	w.awaitView(1, 0, 1, 2)
	w.mustAnswer(0)
}

// slotsJob returns a job with a task for each slot of rack 0.
func (w *world) slotsJob() api.Submission {
	slots := 0
	for _, stats := range w.targetStats(0) {
		slots += stats.Slots
	}
	return job(w.key(0), sleepTasks(slots, 20*time.Millisecond, ""))
}

// awaitRefusedAsLapsed repeats an action until the first target of rack 0 has
// refused a start because of its lease.
func (w *world) awaitRefusedAsLapsed(act func()) {
	w.t.Helper()
	id := w.groups[0].ids[0]
	refused := func() uint64 { return w.targetStats(0)[id].Refused[string(client.ReasonLeaseLapsed)] }
	before := refused()
	w.await("a start is refused as lapsed", func() bool {
		act()
		return refused() > before
	})
}
