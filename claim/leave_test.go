package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

func TestLeavingVMHandsOverOutcomes(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	token := w.vms["a"].state.Membership().CurrentEpoch()
	leaver := w.vms["b"]
	for i := range 30 {
		unique := fmt.Sprint(i)
		must.True(t, w.claim(leaver, token, unique).Result.Granted)
		h := HashKey(key.Key{Domain: testDomain, Epoch: token, Unique: unique})
		leaver.state.SetOutcome(token, h, OutcomeCompleted)
	}
	leaver.state.Membership().Leave(w.now)
	leaver.state.Sync(w.now)
	w.run(time.Second)
	must.True(t, leaver.state.Membership().Left())
	delete(w.vms, "b")
	w.run(4 * time.Second)
	w.mustAgree(t, 2)
	for i := range 30 {
		must.Eq(t, Completed, w.claim(w.vms["c"], token, fmt.Sprint(i)).Result.State)
	}
}

// leave begins the planned stop of a VM.
func (w *testCluster) leave(id string) {
	v := w.vms[id]
	v.state.Membership().Leave(w.now + v.skew)
	v.state.Sync(w.now + v.skew)
	w.flush(v)
}

// removeLeft removes the processes that have left.
func (w *testCluster) removeLeft() {
	for _, id := range w.ids() {
		if w.vms[id].state.Membership().Left() {
			delete(w.vms, id)
		}
	}
}

// runAndRemoveLeft lets time pass and removes processes as soon as they have left.
func (w *testCluster) runAndRemoveLeft(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.tick(testTick)
		w.removeLeft()
		for len(w.packets) > 0 {
			p := w.packets[0]
			w.packets = w.packets[1:]
			w.deliver(p)
			w.removeLeft()
		}
	}
}

// maxLeaveDuration is how long a planned stop may take when no VM dies.
const maxLeaveDuration = 500 * time.Millisecond

// deliverNext delivers the next message. Without any it lets time pass.
func (w *testCluster) deliverNext() {
	if len(w.packets) == 0 {
		w.tick(testTick)
		return
	}
	p := w.packets[0]
	w.packets = w.packets[1:]
	w.deliver(p)
}

// changeSteps is more steps of deliverNext than a view change takes.
const changeSteps = 120

// The other VMs leave at every step of the view change that the first two leavers cause.
func TestAllVMsLeaveTogether(t *testing.T) {
	for step := range changeSteps {
		w := startCluster(t, "a", "b", "c", "d")
		w.leave("c")
		w.leave("d")
		for range step {
			w.deliverNext()
			w.removeLeft()
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			if w.vms[id] != nil {
				w.leave(id)
			}
		}
		w.runAndRemoveLeft(maxLeaveDuration)
		must.MapEmpty(t, w.vms, must.Sprintf("after %d steps:\n%s", step, w.summary()))
	}
}

// grantAndComplete lets a VM claim keys and completes them.
func (w *testCluster) grantAndComplete(t *testing.T, id, token string, uniques ...string) {
	for _, unique := range uniques {
		must.True(t, w.claim(w.vms[id], token, unique).Result.Granted)
		h := HashKey(key.Key{Domain: testDomain, Epoch: token, Unique: unique})
		w.vms[id].state.SetOutcome(token, h, OutcomeCompleted)
	}
}

// A second VM leaves at every step of the view change that the first leaver causes.
func TestLeaversHandOverToStayingVMs(t *testing.T) {
	for step := range changeSteps {
		w := startCluster(t, "a", "b", "c", "d")
		token := w.vms["a"].state.Membership().CurrentEpoch()
		w.grantAndComplete(t, "a", token, "1", "2", "3", "4")
		w.grantAndComplete(t, "c", token, "5", "6", "7", "8")
		w.leave("c")
		for range step {
			w.deliverNext()
			w.removeLeft()
		}
		w.leave("a")
		w.runAndRemoveLeft(maxLeaveDuration)
		must.Eq(t, []string{"b", "d"}, w.ids(), must.Sprintf("after %d steps:\n%s", step, w.summary()))
		w.run(time.Second)
		w.mustAgree(t, 2)
		for i := range 8 {
			r := w.claim(w.vms["d"], token, fmt.Sprint(i+1)).Result
			must.Eq(t, Completed, r.State, must.Sprintf("after %d steps: key %d", step, i+1))
		}
	}
}

// lossDetection is how long the detection of a lost VM and the view change that follows
// may take during a planned stop.
const lossDetection = (membership.DefaultProbes+1)*membership.DefaultProbeInterval + maxLeaveDuration

// A VM dies at every step of the view change that a leaver causes: the proposer, a
// participant, or the only one that would have stayed.
func TestLeaverLeavesInTimeWhenVMDies(t *testing.T) {
	for _, lost := range []string{"a", "c"} {
		for step := range changeSteps {
			w := startCluster(t, "a", "b", "c")
			token := w.vms["b"].state.Membership().CurrentEpoch()
			w.grantAndComplete(t, "b", token, "1", "2", "3", "4")
			w.leave("b")
			for range step {
				w.deliverNext()
				w.removeLeft()
			}
			delete(w.vms, lost)
			w.runAndRemoveLeft(lossDetection)
			must.Nil(t, w.vms["b"], must.Sprintf("%s lost after %d steps:\n%s", lost, step, w.summary()))
			w.run(4 * time.Second)
			w.mustAgree(t, 1)
			stays := w.vms[w.ids()[0]]
			for i := range 4 {
				r := w.claim(stays, token, fmt.Sprint(i+1)).Result
				must.Eq(t, Completed, r.State, must.Sprintf("%s lost after %d steps: key %d", lost, step, i+1))
			}
		}
	}
}

// The proposer leaves and another VM dies at every step of the view change that a first
// leaver causes.
func TestLeavingProposerCompletesItsChange(t *testing.T) {
	for step := range changeSteps {
		w := startCluster(t, "a", "b", "c", "d")
		w.leave("d")
		for range step {
			w.deliverNext()
			w.removeLeft()
		}
		delete(w.vms, "c")
		w.leave("a")
		w.runAndRemoveLeft(2 * lossDetection)
		must.Eq(t, []string{"b"}, w.ids(), must.Sprintf("after %d steps:\n%s", step, w.summary()))
	}
}

// The network loses all claim messages of a leaver for a while.
func TestLeaverStaysUntilItsRecordsAreAcknowledged(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	token := w.vms["b"].state.Membership().CurrentEpoch()
	w.grantAndComplete(t, "b", token, "1", "2", "3", "4")
	w.loses = func(p packet) bool { return p.from.ID == "b" && p.duty == peerpb.Duty_DUTY_CLAIM }
	w.leave("b")
	w.runAndRemoveLeft(maxLeaveDuration)
	must.NotNil(t, w.vms["b"])
	w.loses = nil
	w.runAndRemoveLeft(maxLeaveDuration)
	must.Eq(t, []string{"a", "c"}, w.ids())
	for i := range 4 {
		must.Eq(t, Completed, w.claim(w.vms["c"], token, fmt.Sprint(i+1)).Result.State)
	}
}

// A claim arrives at every step of a planned stop. The callers' port closes last and
// waits for such claims.
func TestLeaverAnswersLateClaims(t *testing.T) {
	for step := range changeSteps {
		w := startCluster(t, "a", "b", "c")
		token := w.vms["b"].state.Membership().CurrentEpoch()
		leaver := w.vms["b"]
		w.leave("b")
		for range step {
			w.deliverNext()
		}
		number := w.call(leaver, kindClaim, token, "late")
		w.run(maxLeaveDuration)
		must.True(t, leaver.state.Membership().Left())
		d, answered := leaver.ended[number]
		must.True(t, answered, must.Sprintf("after %d steps:\n%s", step, w.summary()))
		must.True(t, d.Failure != nil || d.Result.Granted, must.Sprint(d))
	}
}
