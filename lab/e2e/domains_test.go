//go:build linux

package e2e

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	platformstandin "github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/profile"
)

// otherVMs is the number of entry VMs of the other failure domain.
const otherVMs = 2

// addDomain starts the other failure domain and returns the index of its first VM.
func (w *world) addDomain(r rack) int {
	w.t.Helper()
	first := len(w.vms)
	w.startRack(otherDomain, len(w.groups), r)
	w.planVMs(otherDomain, otherVMs, otherVMs, nil)
	for _, vm := range w.vms[first:] {
		vm.domainSeeds[domain] = []netip.AddrPort{w.vms[0].peers}
		w.register(vm)
		w.startVM(vm)
	}
	for i := range otherVMs {
		w.awaitServing(first + i)
	}
	rack := w.groups[len(w.groups)-1]
	// The processes started here end before those of the first failure domain.
	w.t.Cleanup(func() {
		w.verify()
		rack.dead = true
	})
	return first
}

func TestKeyOfAnotherDomainIsBurnedAtItsHome(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	other := w.addDomain(rack{targets: 2, slots: 8})

	// VM 0 knows the other failure domain's VMs only from the platform's list.
	var burned api.Submission
	w.await("a key of the other failure domain is burned", func() bool {
		burned = job(w.key(other), sleepTasks(1, time.Millisecond, ""))
		return w.submit(0, burned).runState() == api.NotRun
	})
	for _, vm := range []int{0, other, other + 1} {
		r := w.submit(vm, burned)
		must.Eq(t, api.NotRun, r.runState(), must.Sprint(r))
	}

	long := job(w.key(other), sleepTasks(1, 5*time.Second, ""))
	answer := w.submitAsync(other, long)
	w.awaitStarted(other, long.Key)
	w.wantUnknown(w.submit(0, long))
	must.StrContains(t, w.submit(0, long).failure.Message, "it runs there, at "+w.vms[other].id)
	w.wantWhole(w.wait(answer))
	must.Eq(t, api.Completed, w.submit(0, long).runState())
	must.Eq(t, api.OutcomeUnknown, w.submit(0, job(otherDomain+".1-1.k", sleepTasks(1, time.Millisecond, ""))).runState())

	// The key is submitted in both failure domains at once: either it runs at home, or it is
	// burned.
	for range 20 {
		s := job(w.key(other), sleepTasks(1, time.Millisecond, ""))
		home, foreign := w.submitAsync(other, s), w.submitAsync(0, s)
		foreignRun := w.wait(foreign).runState()
		must.True(t, foreignRun == api.NotRun || w.wait(home).hasAnswer(), must.Sprint(home.got, foreign.got))
	}

	// Frozen VMs accept connections and never answer.
	cut := job(w.key(other), sleepTasks(1, time.Millisecond, ""))
	for i := range otherVMs {
		w.freeze(other + i)
	}
	w.wantUnknown(w.submit(0, cut))
	for i := range otherVMs {
		w.resume(other + i)
	}
	w.await("the key is burned after the cut", func() bool { return w.submit(0, cut).runState() == api.NotRun })

	lost := job(w.key(other), sleepTasks(1, time.Millisecond, ""))
	for i := range otherVMs {
		w.kill(other + i)
	}
	w.wantUnknown(w.submit(0, lost))
	w.wantUnknown(w.submit(0, burned))
	w.mustAnswer(0)
}

func TestDomainStartsFromAnotherWithoutThePlatform(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	other := w.addDomain(rack{targets: 2, slots: 8})
	want, ok := w.status(0)
	must.True(t, ok)
	w.platformFault(platformstandin.Faults{Down: true})
	for i := range otherVMs {
		w.kill(other + i)
	}
	for i := range otherVMs {
		w.restart(other + i)
	}
	for i := range otherVMs {
		w.await("the other failure domain has the configuration", func() bool {
			status, ok := w.status(other + i)
			return ok && status.Configuration.Loaded && status.Configuration.Version == want.Configuration.Version
		})
	}
}
