package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockward/burdockward/membership/membershippb"
)

const testNow = time.Minute

func testMember(id string) Member { return Member{ID: id, Incarnation: 1, Address: "addr-" + id} }

func testMembers(ids ...string) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, testMember(id))
	}
	return members
}

// newState returns a process in a settled view of the named members.
func newState(self string, ids ...string) *State {
	nonce := uint64(100)
	s := New(Config{Self: testMember(self), Nonce: func() uint64 { nonce++; return nonce }}, 0)
	view := View{ID: ViewID{Number: 5, Nonce: 50}, Members: testMembers(ids...), Survivors: ids}
	list := EpochList{Sequence: 3, Epochs: []Epoch{{Number: 7, Nonce: 70, Open: true, Timed: true}}}
	s.installView(testNow, view, list)
	s.opened = true
	s.settled = true
	s.commitList()
	s.TakeOutgoing()
	return s
}

func (s *State) receive(from Member, m *pb.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := s.Handle(testNow, from.ID, from.Incarnation, body); err != nil {
		panic(err)
	}
}

// sent takes the outgoing messages and returns those of one kind.
func sent[T any](s *State) []T {
	var out []T
	for _, o := range s.TakeOutgoing() {
		var m pb.Message
		if err := proto.Unmarshal(o.Body, &m); err != nil {
			panic(err)
		}
		if kind, ok := m.GetKind().(T); ok {
			out = append(out, kind)
		}
	}
	return out
}

// changeTo installs a view of the named participants. Those in elsewhere come from
// another view than the parent.
func changeTo(s *State, members, leavers []string, elsewhere ...string) *View {
	c := &proposal{
		view: View{
			ID:      ViewID{Number: s.view.ID.Number + 1, Nonce: s.cfg.Nonce()},
			Parent:  s.view.ID,
			Members: testMembers(members...),
			Leavers: testMembers(leavers...),
		},
		promises: map[string]*pb.Promise{},
	}
	for _, m := range c.participants() {
		c.promises[m.ID] = &pb.Promise{View: c.view.ID.proto(), Installed: s.view.ID.proto(), Settled: s.settled}
	}
	for _, id := range elsewhere {
		c.promises[id].Installed = ViewID{Number: 1, Nonce: 1}.proto()
	}
	s.proposal = c
	s.installIfPromised(testNow)
	return &s.view
}

func TestViewIsFencedWhenRecordsMayBeLost(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name             string
		before           []string
		members, leavers []string
		elsewhere        []string
		fenced           bool
		lost             []string
	}{
		{"nobody lost", ids, ids, nil, nil, false, nil},
		{"one lost", ids, []string{"a", "b", "c"}, nil, nil, false, []string{"d"}},
		{"two lost", ids, []string{"a", "b"}, nil, nil, true, nil},
		{"one lost of two", []string{"a", "b"}, []string{"a"}, nil, nil, true, nil},
		{"one leaves of two", []string{"a", "b"}, []string{"a"}, []string{"b"}, nil, false, nil},
		{"two leave", ids, []string{"a", "b"}, []string{"c", "d"}, nil, false, nil},
		{"one lost and one from elsewhere", ids, []string{"a", "b", "c"}, nil, []string{"c"}, true, nil},
		{"one from elsewhere", ids, ids, nil, []string{"d"}, false, []string{"d"}},
		{"a leaver from elsewhere", ids, []string{"a", "b", "c"}, []string{"d"}, []string{"d"}, false, []string{"d"}},
		{"a joiner", []string{"a"}, []string{"a", "e"}, nil, []string{"e"}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newState("a", c.before...)
			view := changeTo(s, c.members, c.leavers, c.elsewhere...)
			must.Eq(t, c.fenced, view.Fenced)
			must.Eq(t, testMembers(c.lost...), view.Lost)
			must.Eq(t, !c.fenced, s.list.Epochs[0].Open)
			newest := s.list.Epochs[len(s.list.Epochs)-1]
			must.True(t, newest.Open && newest.Number == 8)
		})
	}
}

func TestLossesAddUpUntilViewIsSettled(t *testing.T) {
	s := newState("a", "a", "b", "c", "d")
	must.False(t, changeTo(s, []string{"a", "b", "c"}, nil).Fenced)
	must.True(t, changeTo(s, []string{"a", "b"}, nil).Fenced)

	s = newState("a", "a", "b", "c", "d")
	must.False(t, changeTo(s, []string{"a", "b", "c"}, nil).Fenced)
	s.opened = true
	s.settled = true
	must.False(t, changeTo(s, []string{"a", "b"}, nil).Fenced)
	must.Eq(t, testMembers("c"), s.view.Lost)
}

func TestLeaverThatDiesBeforeItsTransferCountsAsLost(t *testing.T) {
	s := newState("a", "a", "b", "c", "d")
	must.False(t, changeTo(s, []string{"a", "b", "c"}, []string{"d"}).Fenced)
	must.False(t, changeTo(s, []string{"a", "b", "c"}, nil).Fenced)
	must.Eq(t, testMembers("d"), s.view.Lost)
	must.True(t, changeTo(s, []string{"a", "b"}, nil).Fenced)
}

func propose(parent ViewID, number uint64, ids ...string) *pb.Message {
	return &pb.Message{Kind: &pb.Message_Propose{Propose: &pb.Propose{
		View:     ViewID{Number: number, Nonce: 99}.proto(),
		Parent:   parent.proto(),
		Proposer: testMember("a").proto(),
		Members:  membersProto(testMembers(ids...)),
	}}}
}

func TestPromiseNeedsChildOrHigherViewWithThisProcess(t *testing.T) {
	own := ViewID{Number: 5, Nonce: 50}
	other := ViewID{Number: 4, Nonce: 1}
	higher := ViewID{Number: 8, Nonce: 1}
	restarted := propose(own, 6, "a", "b")
	restarted.GetPropose().Members[1].Incarnation = 2
	for _, c := range []struct {
		name    string
		message *pb.Message
		want    bool
	}{
		{"child of the installed view", propose(own, 6, "a", "b"), true},
		{"higher view of another lineage", propose(higher, 9, "a", "b"), true},
		{"view of another lineage that is not higher", propose(other, 5, "a", "b"), false},
		{"view without this VM", propose(own, 6, "a", "c"), false},
		{"view with another process of this VM", restarted, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newState("b", "a", "b", "c")
			s.receive(testMember("a"), c.message)
			must.Eq(t, c.want, len(sent[*pb.Message_Promise](s)) == 1)
			must.Eq(t, !c.want, s.Active())
		})
	}
}

func TestPromisedProcessTakesNoEpochList(t *testing.T) {
	s := newState("b", "a", "b", "c")
	newer := EpochList{Sequence: 4, Epochs: []Epoch{{Number: 8, Nonce: 80, Open: true}}}
	m := &pb.Message{Kind: &pb.Message_Epochs{Epochs: &pb.Epochs{View: s.view.ID.proto(), Epochs: newer.proto()}}}
	s.receive(testMember("a"), propose(s.view.ID, 6, "a", "b"))
	s.TakeOutgoing()
	s.receive(testMember("a"), m)
	must.Eq(t, 3, s.list.Sequence)
	must.SliceEmpty(t, s.TakeOutgoing())

	s = newState("b", "a", "b", "c")
	s.receive(testMember("c"), m)
	must.Eq(t, 3, s.list.Sequence, must.Sprint("took a list that is not the coordinator's"))
	s.receive(testMember("a"), m)
	must.Eq(t, 4, s.list.Sequence)
}

func TestInstallNeedsPromise(t *testing.T) {
	s := newState("b", "a", "b", "c")
	old := s.view.ID
	view := View{ID: ViewID{Number: 6, Nonce: 99}, Parent: old, Members: testMembers("a", "b")}
	install := &pb.Message{Kind: &pb.Message_Install{Install: installProto(&view, &s.list)}}
	s.receive(testMember("a"), install)
	must.Eq(t, old, s.view.ID)
	refusals := sent[*pb.Message_Status](s)
	must.Eq(t, view.ID, viewIDFrom(refusals[0].Status.GetRefuses()))

	s.receive(testMember("a"), propose(old, 6, "a", "b"))
	s.receive(testMember("a"), install)
	must.Eq(t, view.ID, s.view.ID)
	must.True(t, s.Active() && s.CameFromParent())
}

func TestEpochsOfJoiningProcessAreClosed(t *testing.T) {
	s := newState("a", "a", "b")
	foreign := EpochList{Sequence: 9, Epochs: []Epoch{{Number: 7, Nonce: 71, Open: true}}}
	view := s.view
	view.Survivors = []string{"a"}
	c := &proposal{view: view, promises: map[string]*pb.Promise{"b": {Epochs: foreign.proto()}}}
	list := s.nextEpochList(c, &view)
	must.Eq(t, []bool{true, false, true}, []bool{list.Epochs[0].Open, list.Epochs[1].Open, list.Epochs[2].Open})
	must.Eq(t, []uint64{70, 71}, []uint64{list.Epochs[0].Nonce, list.Epochs[1].Nonce})
}

func TestEpochIsCurrentOnceEveryMemberUsesIt(t *testing.T) {
	s := newState("a", "a", "b", "c")
	old := s.CurrentEpoch()
	now := testNow + DefaultEpochLength
	s.tickEpochs(now)
	must.Eq(t, 4, s.list.Sequence)
	must.Eq(t, old, s.CurrentEpoch())
	for _, id := range []string{"b", "c"} {
		must.Eq(t, old, s.CurrentEpoch())
		s.receive(testMember(id), &pb.Message{Kind: &pb.Message_Status{Status: &pb.Status{
			View: s.view.ID.proto(), Opened: true, ListSequence: 4,
		}}})
	}
	must.Eq(t, s.list.Epochs[1].Token(), s.CurrentEpoch())
}

func statusOf(view ViewID) *pb.Message {
	return &pb.Message{Kind: &pb.Message_Status{Status: &pb.Status{View: view.proto(), Ask: true}}}
}

func TestMemberInAnotherViewIsReplaced(t *testing.T) {
	own := ViewID{Number: 5, Nonce: 50}
	refusal := statusOf(ViewID{Number: 4, Nonce: 40})
	refusal.GetStatus().Refuses = own.proto()
	restarted := testMember("c")
	restarted.Incarnation = 2
	for _, c := range []struct {
		name    string
		from    Member
		message *pb.Message
		want    bool
	}{
		{"same view", testMember("c"), statusOf(own), false},
		{"has not installed the view yet", testMember("c"), statusOf(ViewID{Number: 4, Nonce: 40}), false},
		{"can't install the view", testMember("c"), refusal, true},
		{"view beside this one", testMember("c"), statusOf(ViewID{Number: 5, Nonce: 49}), true},
		{"restarted", restarted, statusOf(ViewID{}), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newState("a", "a", "b", "c")
			s.receive(c.from, c.message)
			s.TakeOutgoing()
			s.tickChange(testNow)
			must.Eq(t, c.want, len(sent[*pb.Message_Propose](s)) > 0)
		})
	}
}

func TestMessagesOfReplacedProcessAreIgnored(t *testing.T) {
	s := newState("a", "a", "b", "c")
	restarted := testMember("c")
	restarted.Incarnation = 2
	s.receive(restarted, statusOf(ViewID{}))
	must.SliceLen(t, 1, sent[*pb.Message_Status](s))
	s.receive(testMember("c"), statusOf(s.view.ID))
	must.SliceEmpty(t, s.TakeOutgoing())
}

// A leaver of a view that is not settled yet waits for the view's members, so it must
// learn which of them leave.
func TestLeaveNotifiesEarlierLeavers(t *testing.T) {
	s := newState("a", "a", "b")
	s.view.Leavers = testMembers("c")
	s.Leave(testNow)
	var notified []string
	for _, o := range s.TakeOutgoing() {
		notified = append(notified, o.To.ID)
	}
	must.Eq(t, []string{"b", "c"}, notified)
}
