//go:build linux

package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/ctl"
	platformstandin "github.com/burdockward/burdockward/lab/standin/platform"
	"github.com/burdockward/burdockward/lab/standin/target"
	"github.com/burdockward/burdockward/profile"
)

func TestServesAndAddsVMWhilePlatformIsDown(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 8})
	w.platformFault(platformstandin.Faults{Down: true})
	for vm := range vmCount {
		w.wantWhole(w.submit(vm, job(w.key(vm), sleepTasks(3, 10*time.Millisecond, ""))))
	}
	// This VM is not in the platform's list, and can only get the list, profiles and targets from
	// its peers.
	w.startVM(w.vms[vmCount])
	w.awaitServing(vmCount)
	r := w.mustAnswer(vmCount)
	w.awaitStarted(vmCount, r.key)
	for vm := range vmCount + 1 {
		w.wantWhole(w.submit(vm, job(w.key(vm), sleepTasks(3, 10*time.Millisecond, ""))))
	}
}

func TestServesWhilePlatformIsCutOff(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 8})
	w.platformFault(platformstandin.Faults{Cut: true})
	for vm := range vmCount {
		w.wantWhole(w.submit(vm, job(w.key(vm), sleepTasks(3, 10*time.Millisecond, ""))))
	}
	w.kill(0)
	w.restart(0)
	w.awaitServing(0)
	w.mustAnswer(0)
}

// TestSlowStoreLosesNoChange makes the store slow, its reads stale and its answers lost, first with
// one further fault at a time and then with all, while an operator makes changes.
func TestSlowStoreLosesNoChange(t *testing.T) {
	const slowMS = 300
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 8})
	versions := w.watchVersions()
	load := w.startLoad(2, job("", sleepTasks(2, 5*time.Millisecond, "")), 0, 1, 2)
	o := &operator{w: w}
	all := platformstandin.Faults{SlowMS: slowMS, StaleCommits: 1, StaleAlternate: true, LoseAnswers: true}
	for _, faults := range []platformstandin.Faults{
		{SlowMS: slowMS},
		{SlowMS: slowMS, StaleCommits: 1, StaleAlternate: true},
		{SlowMS: slowMS, LoseAnswers: true},
		all,
	} {
		w.platformFault(faults)
		o.change()
		w.awaitVersion(o.accepted, 0, 1, 2)
	}
	load.stop()
	w.wantOnly((*response).hasAnswer)
	// A VM restarts without state while the store has all these faults.
	w.kill(0)
	w.restart(0)
	w.awaitServing(0)
	w.awaitVersion(o.accepted, 0, 1, 2)
	w.wantWhole(w.submitUntilDecided(w.otherJob(0), 0))
	// The store is slower than all timeouts: a change is refused, and jobs are still answered.
	w.platformFault(platformstandin.Faults{SlowMS: (10 * time.Second).Milliseconds()})
	o.refused()
	for vm := range vmCount {
		w.wantWhole(w.submitUntilDecided(w.otherJob(vm), vm))
	}
	w.platformFault(platformstandin.Faults{})
	must.SliceEmpty(t, versions())
	o.wantAcceptedOnly()
}

// operator makes changes of one profile and records the result of each.
type operator struct {
	w *world
	// accepted is the version of the newest accepted change.
	accepted uint64
	// exitCodes holds the exit code of burdockctl for each change, by the change's note.
	exitCodes map[string]int
}

// change makes a change, and repeats it while burdockctl reports that it took no effect.
func (o *operator) change() {
	o.w.t.Helper()
	o.w.await("the change is accepted", func() bool {
		r := o.apply()
		if r.code == ctl.ExitUnavailable {
			return false
		}
		must.Eq(o.w.t, ctl.ExitOK, r.code, must.Sprint(r.text))
		o.accepted = r.change.Version
		return true
	})
}

// refused tries a change that must be refused.
func (o *operator) refused() {
	o.w.t.Helper()
	r := o.apply()
	must.Eq(o.w.t, ctl.ExitUnavailable, r.code, must.Sprint(r.text))
}

func (o *operator) apply() ran {
	if o.exitCodes == nil {
		o.exitCodes = map[string]int{}
	}
	note := fmt.Sprintf("change-%d-", len(o.exitCodes))
	r := o.w.applyWith([]string{"--note", note, "--expect-version", version(o.accepted)}, other(len(o.exitCodes)%10))
	o.exitCodes[note] = r.code
	return r
}

// wantAcceptedOnly fails unless exactly the accepted changes took effect.
func (o *operator) wantAcceptedOnly() {
	o.w.t.Helper()
	history := o.w.ctl("profile", "history", "other")
	must.Eq(o.w.t, ctl.ExitOK, history.code, must.Sprint(history.text))
	for note, code := range o.exitCodes {
		took := strings.Contains(history.text, note)
		must.Eq(o.w.t, code == ctl.ExitOK, took, must.Sprintf("%s ended with %d:\n%s", note, code, history.text))
	}
	inForce := o.w.ctl("in-force", "--wait", waitTimeout.String())
	must.Eq(o.w.t, ctl.ExitOK, inForce.code, must.Sprint(inForce.text))
	for vm := range vmCount {
		must.Eq(o.w.t, o.accepted, o.w.version(vm))
	}
}

// awaitVersion waits until the VMs have a version in force.
func (w *world) awaitVersion(version uint64, vms ...int) {
	w.t.Helper()
	for _, vm := range vms {
		w.await(fmt.Sprintf("%s has version %d", w.vms[vm].id, version), func() bool { return w.version(vm) >= version })
	}
}

// watchVersions polls the configuration versions of all VMs until the returned function is called.
// That function returns each case in which a process went back to an older version.
func (w *world) watchVersions() func() []string {
	stopped := make(chan struct{})
	found := make(chan []string, 1)
	stop := sync.OnceFunc(func() { close(stopped) })
	w.t.Cleanup(stop)
	go func() {
		var wentBack []string
		newest := map[string]uint64{}
		for ; !closed(stopped); time.Sleep(pollPause) {
			for vm := range vmCount {
				status, ok := w.status(vm)
				process := fmt.Sprintf("%s/%d", status.VM, status.Incarnation)
				if ok && status.Configuration.Version < newest[process] {
					wentBack = append(wentBack, fmt.Sprintf("%s: %d after %d", process, status.Configuration.Version, newest[process]))
				}
				newest[process] = max(newest[process], status.Configuration.Version)
			}
		}
		found <- wentBack
	}()
	return func() []string {
		stop()
		return <-found
	}
}

func TestFailingTargetsWhilePlatformIsDown(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 6, slots: 4}, rack{targets: 2, slots: 4})
	w.platformFault(platformstandin.Faults{Down: true})
	bad := w.groups[0].ids[0]
	w.targetFault(0, target.Faults{FailAll: true}, bad)
	load := w.startLoad(2, job("", sleepTasks(2, 5*time.Millisecond, "")), 0, 1, 2)
	w.await("tasks fail there", func() bool { return w.ledger.count(failed) > 0 })
	w.awaitNoStartsAt(bad)
	// The platform's list still names the targets of a rack that is lost.
	w.await("the rack gets work", func() bool { return len(w.startsOf(w.groups[1])) > 0 })
	w.killRack(1)
	w.awaitNoStartsAt(bad)
	load.stop()
	w.wantOnly(func(r *response) bool { return r.hasAnswer() || failed(r) || targetLost(r) })
	w.wantAnswersInARow()
}
