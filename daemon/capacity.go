package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/capacity"
	"github.com/burdockward/burdockward/capacity/capacitypb"
	"github.com/burdockward/burdockward/claim"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/vmlist"
	"google.golang.org/protobuf/proto"
)

const (
	// digestTimeout bounds the handling of a digest by the configuration duty.
	digestTimeout = time.Second
	// digestRenewal is the time between two digests of the configuration.
	digestRenewal = time.Second
)

func (d *Daemon) newShared() *dispatch.Shared {
	return dispatch.NewShared(dispatch.SharedOptions{
		Capacity: capacity.Options{
			Self:         capacityMember(d.self()),
			ReclaimAfter: d.settings.Leases.ReclaimAfter,
		},
		Domain:     d.settings.FailureDomain,
		Domains:    d.settings.FailureDomains,
		Send:       d.sendCapacity,
		Revoke:     func(r dispatch.Revocation) { d.dispatch.Revoke(r) },
		ViewLease:  d.settings.Membership.ViewLease,
		LeaseValid: func() bool { return d.claims.LeaseValid() },
		SetDigest:  func(body []byte) { d.claims.SetDigest(peerpb.Duty_DUTY_CAPACITY, body) },
		RNG:        rand.New(rand.NewPCG(d.incarnation, 1)),
	})
}

func capacityMember(m membership.Member) capacity.Member {
	return capacity.Member{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address}
}

func capacityMembers(members []membership.Member) []capacity.Member {
	converted := make([]capacity.Member, 0, len(members))
	for _, m := range members {
		converted = append(converted, capacityMember(m))
	}
	return converted
}

func (d *Daemon) sendCapacity(to capacity.Member, m *capacitypb.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		d.log.Error("capacity message not encoded", "error", err)
		return
	}
	d.peers.Send(to.Address, to.Incarnation, peerpb.Duty_DUTY_CAPACITY, body)
}

// capacityHandler passes members' capacity messages to the dispatch duty, which owns the
// state.
type capacityHandler struct{ d *Daemon }

// HandlePeer implements peer.Handler.
func (h capacityHandler) HandlePeer(_ context.Context, from peer.Sender, bodies [][]byte) [][]byte {
	member := capacity.Member{ID: from.ID, Incarnation: from.Incarnation}
	var replies [][]byte
	h.d.dispatch.DoWait(func(now time.Duration) {
		for _, body := range bodies {
			replies = append(replies, h.receive(now, member, body)...)
		}
	})
	return replies
}

func (h capacityHandler) receive(now time.Duration, from capacity.Member, body []byte) [][]byte {
	var m capacitypb.Message
	if proto.Unmarshal(body, &m) != nil {
		return nil
	}
	var replies [][]byte
	for _, reply := range h.d.shared.Receive(now, from, &m) {
		if encoded, err := proto.Marshal(reply); err == nil {
			replies = append(replies, encoded)
		}
	}
	return replies
}

// followViews passes new views to the duties that use them. It runs in a goroutine of its
// own, so that the claim duty never waits for another duty.
func (d *Daemon) followViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.viewChanged:
			d.useView(d.claims.View())
		}
	}
}

// signalView wakes followViews. It must not block.
func (d *Daemon) signalView(claim.View, bool) {
	select {
	case d.viewChanged <- struct{}{}:
	default:
	}
}

// useView passes a view to the configuration and dispatch duties.
func (d *Daemon) useView(v claim.View) {
	d.setConfigurationMembers()
	view := capacity.View{ID: viewName(v.ID), Parent: viewName(v.Parent), Members: capacityMembers(v.Members), Leavers: capacityMembers(v.Leavers)}
	d.dispatch.Do(func(now time.Duration) { d.shared.SetView(now, view) })
	d.log.Info("view", "number", v.ID.Number, "members", memberIDs(v.Members), "opened", v.Opened, "fenced", v.Fenced)
}

// viewName returns a text that identifies a view; it is empty for the zero view.
func viewName(id membership.ViewID) string {
	if id.IsZero() {
		return ""
	}
	return fmt.Sprintf("%d-%x", id.Number, id.Nonce)
}

func memberIDs(members []membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// onDigest passes a member's digest to its duty. It runs in the claim duty and must not
// block.
func (d *Daemon) onDigest(m membership.Member, duty peerpb.Duty, body []byte) {
	switch duty {
	case peerpb.Duty_DUTY_CAPACITY:
		d.dispatch.TryDo(func(time.Duration) { d.shared.SetDigest(m.ID, body) })
	case peerpb.Duty_DUTY_CONFIGURATION:
		go d.configurationDigest(m, body)
	case peerpb.Duty_DUTY_VM_LIST:
		d.vmList.OnDigest(vmlist.Peer{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address}, body)
	}
}

// configurationDigest passes a member's digest to the configuration duty, and sends the
// replies.
func (d *Daemon) configurationDigest(m membership.Member, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), digestTimeout)
	defer cancel()
	from := peer.Sender{ID: m.ID, Incarnation: m.Incarnation}
	for _, reply := range d.configuration.HandlePeer(ctx, from, [][]byte{body}) {
		d.peers.Send(m.Address, m.Incarnation, peerpb.Duty_DUTY_CONFIGURATION, reply)
	}
}

// spreadDigests renews the configuration's digest periodically, because it contains ages.
func (d *Daemon) spreadDigests(ctx context.Context) error {
	ticker := time.NewTicker(digestRenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.claims.SetDigest(peerpb.Duty_DUTY_CONFIGURATION, d.configuration.Digest())
		}
	}
}
