//go:build linux

package e2e

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

// TestCancelStopsTasksAndQueuedJobs fills all slots and queues with long jobs and cancels all jobs
// at once, three times. Each cancellation reaches two VMs concurrently.
func TestCancelStopsTasksAndQueuedJobs(t *testing.T) {
	const targets, slots = 4, 4
	w := newWorld(t, []profile.Profile{common}, rack{targets: targets, slots: slots})
	for range 3 {
		var jobs []api.Submission
		var sent []*pending
		for i := range 8 * vmCount {
			s := job(w.key(i%vmCount), sleepTasks(4, untilKilled, ""))
			s.DeadlineMS = common.MaxDeadlineMS
			jobs = append(jobs, s)
			sent = append(sent, w.submitAsync(i%vmCount, s))
		}
		w.awaitRunningAt(0, targets*slots)
		for i, s := range jobs {
			w.awaitGranted(i%vmCount, s.Key)
		}
		cancels := w.cancelAll(jobs)
		for i, s := range jobs {
			w.wantCancelled(w.wait(sent[i]))
			for _, c := range cancels[i] {
				w.wantCancelled(w.wait(c))
			}
			// A later duplicate gets the same outcome.
			w.wantCancelled(w.submitUntilDecided(s, (i+1)%vmCount))
		}
		w.await("all tasks are stopped", func() bool { return w.runningAt(0) == 0 })
		for vm := range vmCount {
			w.mustAnswer(vm)
		}
	}
	must.Positive(t, w.ledger.count(func(r *response) bool { return r.runState() == api.NotRun }))
	must.Positive(t, w.ledger.count(func(r *response) bool { return r.runState() == api.Failed }))
}

// cancelAll cancels all jobs concurrently, each at its runner and at another VM.
func (w *world) cancelAll(jobs []api.Submission) [][]*pending {
	all := make([][]*pending, len(jobs))
	for i, s := range jobs {
		for _, vm := range []int{(i + 1) % vmCount, i % vmCount} {
			all[i] = append(all[i], w.cancelAsync(vm, s))
		}
	}
	return all
}

func (w *world) cancelAsync(vm int, s api.Submission) *pending {
	return w.runAsync(func() *response {
		return w.send(http.MethodDelete, vm, "/v1/submissions/"+s.Key, s.Key, len(s.Tasks), nil)
	})
}

func (w *world) wantCancelled(r *response) {
	w.t.Helper()
	must.Eq(w.t, api.KindCancelled, r.kind(), must.Sprint(r))
}
