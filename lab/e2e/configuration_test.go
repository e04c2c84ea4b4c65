//go:build linux

package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/ctl"
	platformstandin "github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/profile"
)

// other returns a second profile with this urgency.
func other(urgency int) profile.Profile {
	p := common
	p.Name = "other"
	p.Urgency = urgency
	return p
}

func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	for vm := range vmCount {
		r := w.submit(vm, w.otherJob(vm))
		must.Eq(t, api.KindUnknownProfile, r.kind(), must.Sprint(r))
	}
	changed := w.applyWith([]string{"--wait", waitTimeout.String()}, other(1))
	must.Eq(t, ctl.ExitOK, changed.code, must.Sprint(changed.text))
	for vm := range vmCount {
		w.wantWhole(w.submit(vm, w.otherJob(vm)))
	}
	// A VM that restarts without state does not revert the change.
	w.kill(0)
	w.restart(0)
	w.awaitServing(0)
	w.wantWhole(w.submitUntilDecided(w.otherJob(0), 0))
}

func (w *world) otherJob(vm int) api.Submission {
	s := job(w.key(vm), sleepTasks(2, time.Millisecond, ""))
	s.Profile = "other"
	return s
}

func TestStaleStoreRevertsNothing(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	changed := w.applyWith([]string{"--wait", waitTimeout.String()}, other(1))
	must.Eq(t, ctl.ExitOK, changed.code, must.Sprint(changed.text))
	// Every read shows the state before the change.
	w.platformFault(platformstandin.Faults{StaleCommits: 1})
	w.kill(0)
	w.restart(0)
	w.awaitServing(0)
	w.await("VM 0 has the change from its peers", func() bool { return w.version(0) >= changed.change.Version })
	reads := w.tableReads()
	w.await("stale reads were made", func() bool { return w.tableReads() > reads+3 })
	for vm := range vmCount {
		must.GreaterEq(t, changed.change.Version, w.version(vm))
		w.wantWhole(w.submitUntilDecided(w.otherJob(vm), vm))
	}
}

// version returns the version of the configuration that the VM reports as in force.
func (w *world) version(vm int) uint64 {
	status, _ := w.status(vm)
	return status.Configuration.Version
}

func TestLostCommitAnswerIsReadBack(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	// The commit takes effect, but its answer is lost.
	w.platformFault(platformstandin.Faults{LoseAnswers: true})
	lost := w.apply(other(1))
	w.platformFault(platformstandin.Faults{})
	must.Eq(t, ctl.ExitOK, lost.code, must.Sprint(lost.text))
	must.True(t, lost.change.ReadBack)
	// The commit takes no effect, and no answer arrives either.
	w.platformFault(platformstandin.Faults{Cut: true})
	cut := w.apply(other(2))
	w.platformFault(platformstandin.Faults{})
	must.NotEq(t, ctl.ExitOK, cut.code, must.Sprint(cut.text))
	w.platformFault(platformstandin.Faults{Down: true})
	down := w.apply(other(3))
	w.platformFault(platformstandin.Faults{})
	must.Eq(t, ctl.ExitUnavailable, down.code, must.Sprint(down.text))
	// Only the accepted change is in force.
	inForce := w.ctl("in-force", "--wait", waitTimeout.String())
	must.Eq(t, ctl.ExitOK, inForce.code, must.Sprint(inForce.text))
	for vm := range vmCount {
		must.Eq(t, lost.change.Version, w.version(vm))
		w.wantWhole(w.submit(vm, w.otherJob(vm)))
	}
}

func TestRaceOfOperatorsHasOneWinner(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	for round := range 5 {
		seen := w.apply(other(0))
		must.Eq(t, ctl.ExitOK, seen.code, must.Sprint(seen.text))
		results := w.race(seen.change.Version, other(2*round%8+1), other(2*round%8+2))
		codes := map[int]int{}
		for _, r := range results {
			codes[r.code]++
		}
		must.Eq(t, map[int]int{ctl.ExitOK: 1, ctl.ExitConflict: 1}, codes,
			must.Sprintf("%s\n%s", results[0].text, results[1].text))
	}
	inForce := w.ctl("in-force", "--wait", waitTimeout.String())
	must.Eq(t, ctl.ExitOK, inForce.code, must.Sprint(inForce.text))
}

// race applies changes of the same object concurrently, each by an operator who has read the same
// version.
func (w *world) race(seen uint64, profiles ...profile.Profile) []ran {
	results := make([]ran, len(profiles))
	var operators sync.WaitGroup
	for i, p := range profiles {
		path := w.profileFile(p)
		operators.Go(func() { results[i] = w.ctl("profile", "apply", path, "--expect-version", version(seen)) })
	}
	operators.Wait()
	return results
}
