//go:build linux

package e2e

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

func TestDuplicatesAtOneInstantRunOnce(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 8})
	for range 20 {
		s := job(w.key(0), sleepTasks(3, 20*time.Millisecond, ""))
		var sent []*pending
		for vm := range vmCount {
			sent = append(sent, w.submitAsync(vm, s), w.submitAsync(vm, s))
		}
		first := w.wait(sent[0])
		w.wantWhole(first)
		for _, p := range sent[1:] {
			must.True(t, bytes.Equal(first.body, w.wait(p).body), must.Sprintf("%s\n%s", first, p.got))
		}
		must.Eq(t, len(s.Tasks), w.startedTasks(s.Key))
	}
}

func TestKilledRunnerGivesUnknownOutcome(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	const keys = 12
	var lost, others, joined []*pending
	var jobs []api.Submission
	for range keys {
		s := job(w.key(0), sleepTasks(2, untilKilled, ""))
		jobs = append(jobs, s)
		lost = append(lost, w.submitAsync(0, s))
	}
	w.awaitStarted(0, keysOf(jobs)...)
	for _, s := range jobs {
		joined = append(joined, w.submitAsync(1, s))
	}
	for vm := 1; vm < vmCount; vm++ {
		for range 4 {
			s := job(w.key(vm), sleepTasks(1, 4*time.Second, ""))
			others = append(others, w.submitAsync(vm, s))
			w.awaitStarted(vm, s.Key)
		}
	}
	w.kill(0)
	for i, s := range jobs {
		must.Error(t, w.wait(lost[i]).err)
		w.wantUnknown(w.wait(joined[i]))
		w.wantUnknown(w.submitUntilDecided(s, 2, 1))
	}
	for _, p := range others {
		w.wantWhole(w.wait(p))
	}
	w.mustAnswer(1)
	w.mustAnswer(2)
}

func TestKilledRegistrarLosesNoAnswer(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	// With this many keys the killed VM is the registrar of some and holds records of others.
	const keys = 24
	var jobs []api.Submission
	var sent []*pending
	for range keys {
		s := job(w.key(1), sleepTasks(2, 4*time.Second, ""))
		jobs = append(jobs, s)
		sent = append(sent, w.submitAsync(1, s))
	}
	w.awaitStarted(1, keysOf(jobs)...)
	w.kill(0)
	for i, s := range jobs {
		w.wantWhole(w.wait(sent[i]))
		again := w.submitUntilDecided(s, 2)
		w.wantWhole(again)
	}
	w.mustAnswer(1)
	w.mustAnswer(2)
}

func TestRegistrarKilledWhileClaimsAreInFlight(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 16})
	load := w.startLoad(8, job("", sleepTasks(1, 5*time.Millisecond, "")), 1, 2)
	w.awaitAnswers(100)
	w.kill(0)
	for vm := 1; vm < vmCount; vm++ {
		w.awaitView(vm, 1, 2)
	}
	// With this many new keys the killed VM would have been the registrar of some.
	w.awaitAnswers(200)
	load.stop()
	// Keys that could not be decided while the registrar was lost can be decided now.
	for _, r := range w.ledger.all() {
		if r.isUndecided() {
			w.submitUntilDecided(job(r.key, sleepTasks(1, 5*time.Millisecond, "")), 1, 2)
		}
		must.True(t, r.err == nil, must.Sprint(r))
	}
}

func TestFrozenRunnerStartsNothingTwice(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 2, slots: 4})
	var jobs []api.Submission
	var sent []*pending
	for range 8 {
		// There are more tasks than slots, so that the VM still has tasks to start when it resumes.
		s := job(w.key(0), sleepTasks(6, time.Second, ""))
		jobs = append(jobs, s)
		sent = append(sent, w.submitAsync(0, s))
	}
	w.awaitStarted(0, jobs[0].Key)
	w.awaitGranted(0, keysOf(jobs)...)
	w.freeze(0)
	w.awaitView(1, 1, 2)
	for _, s := range jobs {
		w.wantUnknown(w.submitUntilDecided(s, 1, 2))
	}
	w.mustAnswer(2)
	w.resume(0)
	for _, p := range sent {
		// Each request gets some response; verify checks it against the targets' logs.
		must.NoError(t, w.wait(p).err)
	}
	w.awaitView(1, 0, 1, 2)
	w.mustAnswer(0)
	for _, s := range jobs {
		w.submitUntilDecided(s, 1, 2)
	}
}

func TestRestartedVMStartsNoOldKey(t *testing.T) {
	w := newWorld(t, []profile.Profile{common}, rack{targets: 4, slots: 8})
	var jobs []api.Submission
	for range 6 {
		s := job(w.key(0), sleepTasks(2, time.Millisecond, ""))
		jobs = append(jobs, s)
		w.wantWhole(w.submit(0, s))
	}
	var cut []*pending
	for range 6 {
		s := job(w.key(0), sleepTasks(2, untilKilled, ""))
		jobs = append(jobs, s)
		cut = append(cut, w.submitAsync(0, s))
	}
	w.awaitStarted(0, keysOf(jobs)...)
	w.kill(0)
	w.restart(0)
	for _, p := range cut {
		must.Error(t, w.wait(p).err)
	}
	w.awaitServing(0)
	for _, s := range jobs {
		for vm := range vmCount {
			r := w.submitUntilDecided(s, vm)
			if !r.hasAnswer() && r.runState() != api.Completed {
				w.wantUnknown(r)
			}
		}
		must.Eq(t, len(s.Tasks), w.startedTasks(s.Key))
	}
	for vm := range vmCount {
		w.mustAnswer(vm)
	}
}

func keysOf(jobs []api.Submission) []string {
	var keys []string
	for _, s := range jobs {
		keys = append(keys, s.Key)
	}
	return keys
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
