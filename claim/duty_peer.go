package claim

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// MembershipHandler returns the handler of peers' messages for DUTY_MEMBERSHIP.
func (d *Duty) MembershipHandler() peer.Handler {
	return &handler{duty: d, kind: peerpb.Duty_DUTY_MEMBERSHIP, handle: d.state.HandleMembership}
}

// ClaimHandler returns the handler of peers' messages for DUTY_CLAIM.
func (d *Duty) ClaimHandler() peer.Handler {
	return &handler{duty: d, kind: peerpb.Duty_DUTY_CLAIM, handle: d.state.HandleClaim}
}

// handler passes the messages of one duty to State and returns its replies.
type handler struct {
	duty   *Duty
	kind   peerpb.Duty
	handle func(now time.Duration, id string, incarnation uint64, body []byte) error
}

// HandlePeer implements peer.Handler.
func (h *handler) HandlePeer(ctx context.Context, from peer.Sender, bodies [][]byte) [][]byte {
	replies := make(chan [][]byte, 1)
	posted := h.duty.events.Offer(event{do: func(now time.Duration) {
		for _, body := range bodies {
			// A malformed message is dropped. The protocol tolerates lost messages.
			_ = h.handle(now, from.ID, from.Incarnation, body)
		}
		replies <- h.duty.flush(from.ID, h)
	}})
	if !posted {
		return nil
	}
	select {
	case r := <-replies:
		return r
	case <-h.duty.stopped:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// flush finishes calls, publishes snapshots and sends the outgoing messages of both
// states. Messages of the handler's duty to the VM replyTo are returned instead of
// sent; with a nil handler all are sent.
func (d *Duty) flush(replyTo string, h *handler) [][]byte {
	d.finishCalls()
	d.publish()
	membershipOut := d.state.Membership().TakeOutgoing()
	claimOut := d.state.TakeOutgoing()
	if h == nil {
		d.sendAll(peerpb.Duty_DUTY_MEMBERSHIP, membershipOut)
		d.sendAll(peerpb.Duty_DUTY_CLAIM, claimOut)
		return nil
	}
	var replies [][]byte
	if h.kind == peerpb.Duty_DUTY_MEMBERSHIP {
		replies, membershipOut = splitReplies(replyTo, membershipOut)
	} else {
		replies, claimOut = splitReplies(replyTo, claimOut)
	}
	d.sendAll(peerpb.Duty_DUTY_MEMBERSHIP, membershipOut)
	d.sendAll(peerpb.Duty_DUTY_CLAIM, claimOut)
	return replies
}

// splitReplies separates the messages to the VM replyTo from the others.
func splitReplies(replyTo string, out []membership.Outgoing) (replies [][]byte, others []membership.Outgoing) {
	for _, o := range out {
		if o.To.ID == replyTo {
			replies = append(replies, o.Body)
			continue
		}
		others = append(others, o)
	}
	return replies, others
}

func (d *Duty) sendAll(duty peerpb.Duty, out []membership.Outgoing) {
	for _, o := range out {
		if address := d.address(o.To); address != "" {
			d.options.Sender.Send(address, o.To.Incarnation, duty, o.Body)
		}
	}
}

// address returns a member's address; it looks up members known by id alone.
func (d *Duty) address(m membership.Member) string {
	if m.Address != "" {
		return m.Address
	}
	return d.state.Membership().Address(m)
}
