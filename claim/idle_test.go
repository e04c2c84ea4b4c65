package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// exchangeBytes is roughly the HTTP overhead of one exchange, in both directions.
const exchangeBytes = 400

// An exchange is one request and one response. So a message that is answered at once
// accounts for half of the overhead.
func TestIdleVMControlTrafficStaysWithinBudget(t *testing.T) {
	const (
		vms     = 9
		seconds = 120
		budget  = 2048
	)
	var ids []string
	for i := range vms {
		ids = append(ids, fmt.Sprint("vm", i))
	}
	w := startCluster(t, ids...)
	w.run(5 * time.Second)
	sent := map[string]int{}
	for end := w.now + seconds*time.Second; w.now < end; {
		w.tick(testTick)
		for len(w.packets) > 0 {
			p := w.packets[0]
			w.packets = w.packets[1:]
			sent[p.from.Address] += len(p.body) + exchangeBytes/2
			sent[p.address] += len(p.body) + exchangeBytes/2
			w.deliver(p)
		}
	}
	for _, id := range ids {
		perSecond := sent[vmAddress(id)] / seconds
		t.Log(id, "sends and receives", perSecond, "bytes a second")
		must.Less(t, budget, perSecond)
	}
}

func TestDeadVMIsReplacedWithinSeconds(t *testing.T) {
	for _, dead := range []string{"a", "b", "c"} {
		for phase := range 8 {
			w := startCluster(t, "a", "b", "c")
			w.run(time.Duration(phase) * 250 * time.Millisecond)
			delete(w.vms, dead)
			died := w.now
			for !w.isWithout(dead) {
				w.run(testTick)
				must.Less(t, 3700*time.Millisecond, w.now-died)
			}
		}
	}
}

func (w *testCluster) isWithout(id string) bool {
	for _, v := range w.vms {
		m := v.state.Membership()
		if _, ok := m.View().Member(id); ok || !m.Settled() {
			return false
		}
	}
	return true
}

func TestSilentVMThatIsListedAsLeavingIsRemovedSooner(t *testing.T) {
	removedAfter := func(leaving ...string) time.Duration {
		w := startCluster(t, "a", "b", "c")
		for _, v := range w.vms {
			v.state.Membership().SetListed(nil, leaving)
		}
		delete(w.vms, "c")
		died := w.now
		for !w.isWithout("c") {
			w.run(testTick)
		}
		return w.now - died
	}
	must.Less(t, removedAfter(), removedAfter("c"))
}

func TestViewLeaseEndsWhenAMemberIsSilent(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	w.run(5 * time.Second)
	for _, v := range w.vms {
		must.Greater(t, w.now+v.skew, v.state.Membership().LeaseEnd())
	}
	paused := w.vms["b"]
	paused.paused = true
	w.run(10 * time.Second)
	must.Less(t, w.now+paused.skew, paused.state.Membership().LeaseEnd())
	must.Greater(t, w.now+w.vms["a"].skew, w.vms["a"].state.Membership().LeaseEnd())
}

func TestDigestsReachAllMembers(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	w.vms["b"].state.Membership().SetDigest(3, []byte("load"))
	w.run(5 * time.Second)
	for _, id := range []string{"a", "c"} {
		changes := w.vms[id].state.Membership().TakeDigestChanges()
		must.SliceLen(t, 1, changes)
		must.Eq(t, w.vms["b"].self, changes[0].Member)
		must.Eq(t, []byte("load"), changes[0].Body)
	}
}

func TestTooManyRecordsRetireTheOldestEpochs(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	for _, v := range w.vms {
		v.state.cfg.MaxRecords = 50
	}
	oldest := w.vms["a"].state.Membership().CurrentEpoch()
	granted := 0
	for i := range 100 {
		if w.claim(w.vms["b"], oldest, fmt.Sprint(i)).Result.Granted {
			granted++
		}
	}
	must.Eq(t, 62, granted)
	w.run(10 * time.Second)
	for _, v := range w.vms {
		must.Eq(t, 0, v.state.Records())
	}
	current := w.vms["a"].state.Membership().CurrentEpoch()
	must.True(t, w.claim(w.vms["b"], current, "new").Result.Granted)
	must.NotNil(t, w.claim(w.vms["a"], oldest, "0").Failure)
	must.NotNil(t, w.claim(w.vms["a"], oldest, "unknown").Failure)
}

func TestBurnedKeyIsNeverGranted(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	token := w.vms["a"].state.Membership().CurrentEpoch()
	for i := range 10 {
		unique := fmt.Sprint(i)
		must.Eq(t, Result{Granted: true, Runner: w.vms["b"].self, State: NotRun}, w.answer(w.vms["b"], kindBurn, token, unique).Result)
		must.Eq(t, Result{Runner: w.vms["b"].self, State: NotRun}, w.claim(w.vms["b"], token, unique).Result)
		must.False(t, w.claim(w.vms["c"], token, unique).Result.Granted)
	}
}

func BenchmarkRecordBytes(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(recordBytes(700_000), "bytes/record")
	}
}
