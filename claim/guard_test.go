package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/claim/claimpb"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/membership/membershippb"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

func claimMessage(p packet) *claimpb.Message {
	var m claimpb.Message
	if p.duty != peerpb.Duty_DUTY_CLAIM {
		return &m
	}
	if err := proto.Unmarshal(p.body, &m); err != nil {
		panic(err)
	}
	return &m
}

func membershipMessage(p packet) *membershippb.Message {
	var m membershippb.Message
	if p.duty != peerpb.Duty_DUTY_MEMBERSHIP {
		return &m
	}
	if err := proto.Unmarshal(p.body, &m); err != nil {
		panic(err)
	}
	return &m
}

func loseAnswers(p packet) bool   { return claimMessage(p).GetAnswer() != nil }
func loseRequests(p packet) bool  { return claimMessage(p).GetRequest() != nil }
func loseTransfers(p packet) bool { return claimMessage(p).GetTransfer() != nil }

// claimAt claims a new key at v of which the VM registrar is the registrar. It returns
// the call, the key and the request, which is not delivered.
func (w *testCluster) claimAt(v *vm, token, registrar string) (number uint64, unique string, request packet) {
	for i := 0; ; i++ {
		unique = fmt.Sprint("at ", registrar, " ", i)
		number = w.call(v, kindClaim, token, unique)
		for _, p := range w.packets {
			if claimMessage(p).GetRequest() != nil && p.address == vmAddress(registrar) {
				w.packets = nil
				return number, unique, p
			}
		}
		w.packets = nil
		w.cancel(v, number)
	}
}

func (w *testCluster) cancel(v *vm, number uint64) { v.state.Cancel(number, w.calls[number].hash) }

func hashOf(token, unique string) Hash {
	return HashKey(key.Key{Domain: testDomain, Epoch: token, Unique: unique})
}

// promiseNext makes a VM promise a view that is never installed.
func (w *testCluster) promiseNext(t *testing.T, v *vm, proposer membership.Member) {
	view := v.state.Membership().View()
	var members []*membershippb.Member
	for _, m := range view.Members {
		members = append(members, &membershippb.Member{Id: m.ID, Incarnation: m.Incarnation, Address: m.Address})
	}
	body, err := proto.Marshal(&membershippb.Message{Kind: &membershippb.Message_Propose{Propose: &membershippb.Propose{
		View:    &membershippb.ViewID{Number: view.ID.Number + 1, Nonce: 1},
		Parent:  &membershippb.ViewID{Number: view.ID.Number, Nonce: view.ID.Nonce},
		Members: members,
	}}})
	must.NoError(t, err)
	must.NoError(t, v.state.HandleMembership(w.now+v.skew, proposer.ID, proposer.Incarnation, body))
	must.False(t, v.state.Membership().Active())
	v.state.Membership().TakeOutgoing()
}

func TestPromisedMemberNeitherGrantsNorAcceptsGrants(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	a, b := w.vms["a"], w.vms["b"]
	token := a.state.Membership().CurrentEpoch()

	number, _, request := w.claimAt(b, token, "a")
	w.deliver(request)
	must.SliceLen(t, 1, w.packets)
	answer := w.packets[0]
	w.promiseNext(t, b, a.self)
	w.deliver(answer)
	must.MapNotContainsKey(t, b.ended, number)

	records := a.state.Records()
	_, _, request = w.claimAt(w.vms["c"], token, "a")
	w.promiseNext(t, a, b.self)
	w.deliver(request)
	must.Eq(t, records, a.state.Records())
	must.SliceEmpty(t, w.packets)
}

func TestMessagesOfEarlierViewAreIgnored(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	a, b := w.vms["a"], w.vms["b"]
	token := a.state.Membership().CurrentEpoch()
	number, _, request := w.claimAt(b, token, "a")
	w.deliver(request)
	answer := w.packets[0]
	w.packets = nil
	_, _, unanswered := w.claimAt(b, token, "a")

	delete(w.vms, "c")
	w.loses = loseRequests
	w.run(4 * time.Second)
	w.mustAgree(t, 2)
	w.loses = nil
	w.deliver(answer)
	must.MapNotContainsKey(t, b.ended, number)
	records := a.state.Records()
	w.deliver(unanswered)
	must.Eq(t, records, a.state.Records())
	w.run(time.Second)
	must.True(t, b.ended[number].Result.Granted)
}

func TestRegistrarAnswersMembersAboutListedEpochsOnly(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	a := w.vms["a"]
	token := a.state.Membership().CurrentEpoch()
	_, _, request := w.claimAt(w.vms["b"], token, "a")

	nonMember := request
	nonMember.from.Incarnation += 100
	w.deliver(nonMember)
	must.Eq(t, 0, a.state.Records())
	must.SliceEmpty(t, w.packets)

	m := claimMessage(request)
	m.GetRequest().Epoch = "1-1"
	request.body, _ = proto.Marshal(m)
	w.deliver(request)
	must.Eq(t, claimpb.Verdict_VERDICT_UNLISTED, claimMessage(w.packets[0]).GetAnswer().GetVerdict())
	must.Eq(t, 0, a.state.Records())
}

func TestNothingIsGrantedInAClosedEpoch(t *testing.T) {
	w := startCluster(t, "a", "b", "c", "d")
	b := w.vms["b"]
	token := b.state.Membership().CurrentEpoch()
	must.True(t, w.claim(b, token, "known").Result.Granted)
	number, _, request := w.claimAt(b, token, "a")
	w.deliver(request)
	w.loses = loseAnswers
	delete(w.vms, "c")
	delete(w.vms, "d")
	w.run(4500 * time.Millisecond)
	w.mustAgree(t, 2)
	must.True(t, b.state.Membership().View().Fenced)
	w.loses = nil
	w.run(500 * time.Millisecond)

	must.Eq(t, api.KindKeyExpired, b.ended[number].Failure.Kind)
	for _, v := range w.vms {
		failure := w.claim(v, token, "unknown").Failure
		must.Eq(t, api.KindKeyExpired, failure.Kind)
		must.Eq(t, api.OutcomeUnknown, failure.Run)
		must.Eq(t, Running, w.claim(v, token, "known").Result.State)
	}
}

// startUnsettled grants keys at b and lets d join without any records.
func startUnsettled(t *testing.T, keys int) (w *testCluster, token string) {
	w = startCluster(t, "a", "b", "c")
	token = w.vms["a"].state.Membership().CurrentEpoch()
	for i := range keys {
		must.True(t, w.claim(w.vms["b"], token, fmt.Sprint(i)).Result.Granted)
	}
	w.loses = func(p packet) bool { return loseTransfers(p) && p.address == vmAddress("d") }
	w.boot("d", "a")
	w.run(2 * time.Second)
	must.True(t, w.vms["a"].state.Opened())
	must.False(t, w.vms["d"].state.Opened())
	return w, token
}

func TestViewIsNotSettledBeforeRecordsHaveMoved(t *testing.T) {
	const keys = 100
	w, _ := startUnsettled(t, keys)
	for _, v := range w.vms {
		must.False(t, v.state.Membership().Settled())
	}
	must.Eq(t, 2*keys, w.records(), must.Sprint("records are dropped before all members have opened"))
	w.loses = nil
	w.run(time.Second)
	w.mustAgree(t, 4)
	must.Positive(t, w.vms["d"].state.Records())
	must.Eq(t, 2*keys, w.records(), must.Sprint("not every key has two holders"))
}

func TestRegistrarWithoutItsRecordsGrantsNothing(t *testing.T) {
	const keys = 100
	w, token := startUnsettled(t, keys)
	d := w.vms["d"]
	undecided := 0
	for i := range keys {
		unique := fmt.Sprint(i)
		must.False(t, w.claim(w.vms["c"], token, unique).Result.Granted)
		if d.state.ranking.registrar(noHome, hashOf(token, unique)).Same(d.self) {
			undecided++
			w.call(d, kindClaim, token, unique)
			must.SliceEmpty(t, w.packets)
		}
	}
	must.Positive(t, undecided)
}

func TestRecordsMoveAgainAfterAnUnsettledView(t *testing.T) {
	const keys = 100
	w, token := startUnsettled(t, keys)
	delete(w.vms, "c")
	w.run(4 * time.Second)
	w.loses = nil
	w.run(time.Second)
	w.mustAgree(t, 3)
	must.False(t, w.vms["a"].state.Membership().View().Fenced)
	for i := range keys {
		d := w.claim(w.vms["a"], token, fmt.Sprint(i))
		must.Eq(t, Result{Runner: w.vms["b"].self, State: Running}, d.Result)
	}
}

// records returns the number of records of all processes.
func (w *testCluster) records() int {
	total := 0
	for _, v := range w.vms {
		total += v.state.Records()
	}
	return total
}

func TestRecordsStayUntilEveryMemberDroppedTheirEpoch(t *testing.T) {
	w := newCluster()
	w.config = membership.Config{EpochLength: 5 * time.Second, RetainedEpochs: 1}
	for _, id := range []string{"a", "b", "c"} {
		w.boot(id, "a", "b", "c")
	}
	w.run(3 * time.Second)
	w.mustAgree(t, 3)
	a, b := w.vms["a"], w.vms["b"]
	token := a.state.Membership().CurrentEpoch()
	for i := range 20 {
		must.True(t, w.claim(b, token, fmt.Sprint(i)).Result.Granted)
	}
	isListed := func() bool {
		_, ok := b.state.Membership().Epochs().Find(token)
		return ok
	}
	sequence := a.state.Membership().Epochs().Sequence
	w.loses = func(p packet) bool {
		return p.from.ID == "c" && membershipMessage(p).GetStatus().GetListSequence() > sequence
	}
	for isListed() {
		w.run(testTick)
	}
	must.Eq(t, 20, b.state.Records())
	w.loses = nil
	w.run(time.Second)
	must.Eq(t, 0, b.state.Records())
}

func TestRejoinedVMDropsUnacceptedGrants(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	a, b, c := w.vms["a"], w.vms["b"], w.vms["c"]
	token := a.state.Membership().CurrentEpoch()
	_, unique, request := w.claimAt(b, token, "a")
	w.deliver(request)
	w.packets = nil
	a.paused = true
	w.loses = func(p packet) bool { return p.from.ID == "b" && loseRequests(p) }
	w.run(6 * time.Second)
	w.loses = nil
	must.True(t, w.claim(c, token, unique).Result.Granted)
	a.paused = false
	w.run(4 * time.Second)
	w.mustAgree(t, 3)
	must.Eq(t, Result{Runner: c.self, State: Running}, w.claim(b, token, unique).Result)
}

func TestRejoinedVMClaimsNoKeysOfEpochThatItDropped(t *testing.T) {
	w := newCluster()
	ids := []string{"b", "c", "z"}
	w.boot("b", ids...)
	w.boot("c", ids...)
	// The coordinator of a view with b is b, so epochs are kept long there.
	w.config = membership.Config{EpochLength: time.Second, RetainedEpochs: 1}
	z := w.boot("z", ids...)
	w.run(3 * time.Second)
	w.mustAgree(t, 3)
	token := w.vms["b"].state.Membership().CurrentEpoch()
	must.True(t, w.claim(z, token, "k").Result.Granted)
	w.loses = func(p packet) bool { return (p.from.ID == "z") != (p.address == vmAddress("z")) }
	for z.state.Records() > 0 {
		w.run(testTick)
	}
	w.loses = nil
	w.run(15 * time.Second)
	w.mustAgree(t, 3)
	_, open := w.vms["b"].state.Membership().Epochs().Find(token)
	must.True(t, open, must.Sprint("the epoch is not listed any more, so the test checks nothing"))
	must.Eq(t, api.KindUnavailable, w.claim(z, token, "k").Failure.Kind)
	must.True(t, w.claim(z, z.state.Membership().CurrentEpoch(), "new").Result.Granted)
}

func TestGrantIsNotAcceptedWhenOwnRecordNamesAnotherRunner(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	b, c := w.vms["b"], w.vms["c"]
	token := b.state.Membership().CurrentEpoch()
	number, unique, request := w.claimAt(b, token, "a")
	b.state.records.put(token, hashOf(token, unique), record{runner: b.state.records.internRunner(c.self)})
	w.deliver(request)
	w.drain()
	must.Eq(t, Result{Runner: c.self, State: Running}, b.ended[number].Result)
}

func TestReturnedKeyIsGrantedAgainUnlessItEnded(t *testing.T) {
	w := startCluster(t, "a", "b", "c")
	b := w.vms["b"]
	token := b.state.Membership().CurrentEpoch()
	must.True(t, w.claim(b, token, "ended").Result.Granted)
	must.True(t, w.claim(b, token, "returned").Result.Granted)
	b.state.SetOutcome(token, hashOf(token, "ended"), OutcomeCompleted)
	for _, unique := range []string{"ended", "returned"} {
		b.state.Return(token, hashOf(token, unique))
	}
	must.Eq(t, Result{Runner: b.self, State: Completed}, w.claim(b, token, "ended").Result)
	must.True(t, w.claim(b, token, "returned").Result.Granted)
}
