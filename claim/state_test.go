package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startCluster boots VMs with each other as seeds and lets them form a view.
func startCluster(t *testing.T, ids ...string) *testCluster {
	w := newCluster()
	for _, id := range ids {
		w.boot(id, ids...)
	}
	w.run(3 * time.Second)
	w.mustAgree(t, len(ids))
	return w
}

// mustAgree checks that all processes share a settled view of size members.
func (w *testCluster) mustAgree(t must.T, size int) {
	t.Helper()
	view := w.vms[w.ids()[0]].state.Membership().View().ID
	for _, v := range w.vms {
		m := v.state.Membership()
		must.Eq(t, view, m.View().ID, must.Sprint(w.summary()))
		must.SliceLen(t, size, m.View().Members, must.Sprint(w.summary()))
		must.True(t, m.Active() && m.Settled() && v.state.Opened(), must.Sprint(w.summary()))
		must.NotEq(t, "", m.CurrentEpoch())
	}
}

func TestVMsThatStartTogetherFormOneView(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprint("vm", i))
		}
		startCluster(t, ids...)
	}
}

func TestKeyIsGrantedOnce(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	token := w.vms["a"].state.Membership().CurrentEpoch()
	for i := range 50 {
		unique := fmt.Sprint(i)
		first := w.claim(w.vms["a"], token, unique)
		must.True(t, first.Result.Granted)
		second := w.claim(w.vms["b"], token, unique)
		must.False(t, second.Result.Granted)
		must.Eq(t, w.vms["a"].self, second.Result.Runner)
		must.Eq(t, Running, second.Result.State)
		again := w.claim(w.vms["a"], token, unique)
		must.False(t, again.Result.Granted)
		must.Eq(t, Running, again.Result.State)
		look := w.answer(w.vms["c"], kindLookup, token, unique)
		must.Eq(t, second.Result, look.Result)
		must.Eq(t, Unknown, w.answer(w.vms["c"], kindLookup, token, "none"+unique).Result.State)
	}
}

func TestDeadVMIsRemovedAndItsKeysAreLost(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	token := w.vms["a"].state.Membership().CurrentEpoch()
	for i := range 20 {
		must.True(t, w.claim(w.vms["b"], token, fmt.Sprint(i)).Result.Granted)
	}
	dead := w.vms["b"].self
	delete(w.vms, "b")
	w.run(4 * time.Second)
	w.mustAgree(t, 2)
	for i := range 20 {
		d := w.claim(w.vms["c"], token, fmt.Sprint(i))
		must.Eq(t, Result{Runner: dead, State: Lost}, d.Result)
	}
	must.True(t, w.claim(w.vms["c"], token, "new").Result.Granted)
}
