package claim

import (
	"testing"
	"time"

	"github.com/burdockward/burdockward/membership"
	"github.com/shoenig/test/must"
)

// cutOff returns a loss rule that loses all packets between a VM and the others.
func cutOff(id string) func(p packet) bool {
	return func(p packet) bool { return (p.from.ID == id) != (p.address == vmAddress(id)) }
}

func TestRejoinedHomeKeepsItsGrants(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	b, c := w.vms["b"], w.vms["c"]
	token := tokenWithHome(b.state.Membership().CurrentEpoch(), homeTag(b.self))
	must.True(t, w.claim(c, token, "k").Result.Granted)
	// The runner is replaced, so b alone has a record of the key.
	w.boot("c", "a", "b")
	w.run(6 * time.Second)
	w.mustAgree(t, 3)
	b.paused = true
	w.run(6 * time.Second)
	must.SliceLen(t, 2, w.vms["a"].state.Membership().View().Members)
	b.paused = false
	w.run(6 * time.Second)
	w.mustAgree(t, 3)
	for _, id := range w.ids() {
		must.Eq(t, Result{Runner: c.self, State: Lost}, w.claim(w.vms[id], token, "k").Result)
	}
}

// While z is cut off it drops an epoch in which it granted a key. The others keep the
// epoch.
func TestRejoinedHomeGrantsNothingInEpochThatItDropped(t *testing.T) {
	w := newCluster()
	ids := []string{"b", "c", "z"}
	w.boot("b", ids...)
	c := w.boot("c", ids...)
	// The coordinator of a view with b is b, so epochs are kept long there.
	w.config = membership.Config{EpochLength: time.Second, RetainedEpochs: 1}
	z := w.boot("z", ids...)
	w.run(3 * time.Second)
	w.mustAgree(t, 3)
	epoch := w.vms["b"].state.Membership().CurrentEpoch()
	token := tokenWithHome(epoch, homeTag(z.self))
	must.True(t, w.claim(c, token, "k").Result.Granted)
	w.boot("c", "b", "z")
	w.run(6 * time.Second)
	w.mustAgree(t, 3)
	w.loses = cutOff("z")
	for z.state.Records() > 0 {
		w.run(testTick)
	}
	w.loses = nil
	w.run(15 * time.Second)
	w.mustAgree(t, 3)
	listed, _ := w.vms["b"].state.Membership().Epochs().Find(epoch)
	must.True(t, listed.Open, must.Sprint("the epoch is not listed any more, so the test checks nothing"))
	for _, id := range w.ids() {
		must.False(t, w.claim(w.vms[id], token, "k").Result.Granted)
	}
	next := tokenWithHome(z.state.Membership().CurrentEpoch(), homeTag(z.self))
	must.True(t, w.claim(w.vms["c"], next, "new").Result.Granted)
}
