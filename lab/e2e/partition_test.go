//go:build linux

package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/profile"
)

// TestVMCutOffFromItsPeers cuts the messages between VM 0 and the others, in one direction and in
// both, and heals the network each time. All VMs still reach callers and targets.
func TestVMCutOffFromItsPeers(t *testing.T) {
	const limit = 3
	net := newNetwork(t)
	w := newWorldWith(t, options{profiles: []profile.Profile{common, limited(limit)}, network: net},
		rack{targets: 4, slots: 16})
	load := w.startLoad(2, job("", sleepTasks(2, 5*time.Millisecond, "")), 0, 1, 2)
	limits := w.startLoad(2, limitedJob(1, 20*time.Millisecond), 0, 1, 2)
	w.awaitUsed("limited", limit)
	for _, cut := range []struct {
		from, to bool
		// serving holds the VMs that accept new jobs during the cut.
		serving []int
	}{
		{from: true, serving: []int{1, 2}},
		{to: true, serving: []int{1, 2}},
		{from: true, to: true, serving: []int{0, 1, 2}},
	} {
		sent := w.submitEverywhere()
		w.cutOff(net, 0, cut.from, cut.to)
		w.await("a VM has another view", w.someViewIsSmaller)
		sent = append(sent, w.submitEverywhere()...)
		for _, vm := range cut.serving {
			w.mustAnswer(vm)
		}
		net.setCut()
		for vm := range vmCount {
			w.awaitView(vm, 0, 1, 2)
		}
		for _, p := range sent {
			must.NoError(t, w.wait(p).err)
		}
		for vm := range vmCount {
			w.mustAnswer(vm)
		}
	}
	load.stop()
	limits.stop()
	// Each side may use the whole limit while it can't reach the other.
	most := w.summary(0).MaxRunningByLabel["limited"]
	must.LessEq(t, 2*limit, most)
	t.Logf("at most %d tasks ran at once under a limit of %d", most, limit)
	w.wantLimitAgain(limit)
	w.wantAnswersInARow()
}

// cutOff cuts the routes from a VM to all others and those to it.
func (w *world) cutOff(n *network, vm int, from, to bool) {
	var routes []route
	for i, other := range w.vms[:vmCount] {
		if i == vm {
			continue
		}
		if from {
			routes = append(routes, route{w.vms[vm].id, other.id})
		}
		if to {
			routes = append(routes, route{other.id, w.vms[vm].id})
		}
	}
	n.setCut(routes...)
}

// someViewIsSmaller reports whether the view of some VM lacks another VM.
func (w *world) someViewIsSmaller() bool {
	for vm := range vmCount {
		if status, ok := w.status(vm); ok && len(status.View.Members) < vmCount {
			return true
		}
	}
	return false
}

// submitEverywhere submits keys of each VM, each key to all VMs concurrently.
func (w *world) submitEverywhere() []*pending {
	var sent []*pending
	for home := range vmCount {
		for range 3 {
			s := job(w.key(home), sleepTasks(2, 500*time.Millisecond, ""))
			for vm := range vmCount {
				sent = append(sent, w.submitAsync(vm, s))
			}
		}
	}
	return sent
}

// wantLimitAgain fails unless new jobs use the limit fully and do not exceed it.
func (w *world) wantLimitAgain(limit int) {
	w.t.Helper()
	s := api.Submission{Profile: "limited", Tasks: sleepTasks(1, 20*time.Millisecond, "healed")}
	load := w.startLoad(4, s, 0, 1, 2)
	w.awaitUsed("healed", limit)
	w.awaitAnswers(30)
	load.stop()
	must.Eq(w.t, limit, w.summary(0).MaxRunningByLabel["healed"])
}
