package membership

import (
	pb "github.com/burdockward/burdockward/membership/membershippb"
)

func (id ViewID) proto() *pb.ViewID {
	if id.IsZero() {
		return nil
	}
	return &pb.ViewID{Number: id.Number, Nonce: id.Nonce}
}

func viewIDFrom(p *pb.ViewID) ViewID { return ViewID{Number: p.GetNumber(), Nonce: p.GetNonce()} }

func (m Member) proto() *pb.Member {
	return &pb.Member{Id: m.ID, Incarnation: m.Incarnation, Address: m.Address}
}

func memberFrom(p *pb.Member) Member {
	return Member{ID: p.GetId(), Incarnation: p.GetIncarnation(), Address: p.GetAddress()}
}

func membersProto(members []Member) []*pb.Member {
	var out []*pb.Member
	for _, m := range members {
		out = append(out, m.proto())
	}
	return out
}

func membersFrom(in []*pb.Member) []Member {
	var out []Member
	for _, p := range in {
		out = append(out, memberFrom(p))
	}
	return out
}

func (l *EpochList) proto() *pb.EpochList {
	out := &pb.EpochList{Sequence: l.Sequence}
	for _, e := range l.Epochs {
		out.Epochs = append(out.Epochs, &pb.Epoch{Number: e.Number, Nonce: e.Nonce, Open: e.Open, Timed: e.Timed})
	}
	return out
}

func epochListFrom(p *pb.EpochList) EpochList {
	out := EpochList{Sequence: p.GetSequence()}
	for _, e := range p.GetEpochs() {
		out.Epochs = append(out.Epochs, Epoch{Number: e.GetNumber(), Nonce: e.GetNonce(), Open: e.GetOpen(), Timed: e.GetTimed()})
	}
	return out
}

func installProto(v *View, l *EpochList) *pb.Install {
	return &pb.Install{
		View:          v.ID.proto(),
		Parent:        v.Parent.proto(),
		Members:       membersProto(v.Members),
		Leavers:       membersProto(v.Leavers),
		Lost:          membersProto(v.Lost),
		Survivors:     v.Survivors,
		ParentSettled: v.ParentSettled,
		Fenced:        v.Fenced,
		Epochs:        l.proto(),
	}
}

func viewFrom(p *pb.Install) View {
	return View{
		ID:            viewIDFrom(p.GetView()),
		Parent:        viewIDFrom(p.GetParent()),
		Members:       membersFrom(p.GetMembers()),
		Leavers:       membersFrom(p.GetLeavers()),
		Lost:          membersFrom(p.GetLost()),
		Survivors:     p.GetSurvivors(),
		ParentSettled: p.GetParentSettled(),
		Fenced:        p.GetFenced(),
	}
}
