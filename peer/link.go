package peer

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/ring"
)

// message is a message that waits to be sent.
type message struct {
	incarnation uint64
	envelope    *peerpb.Envelope
}

// link sends the messages for one address.
type link struct {
	t       *Transport
	address string
	ring    *ring.Ring[message]
	client  peerpb.Peer
	// slots bounds the number of concurrent exchanges.
	slots chan struct{}
}

// startLink starts the goroutine of a link; the caller holds t.mu.
func (t *Transport) startLink(address string) *link {
	l := &link{
		t:       t,
		address: address,
		ring:    ring.New[message](t.options.RingSize),
		client:  peerpb.NewPeerProtobufClient("http://"+address, t.client),
		slots:   make(chan struct{}, t.options.Parallel),
	}
	t.links[address] = l
	t.wg.Add(1)
	go l.run()
	return l
}

// run sends messages until the transport closes or the link is unused for IdleLink.
func (l *link) run() {
	defer l.t.wg.Done()
	idle := time.NewTimer(l.t.options.IdleLink)
	defer idle.Stop()
	for {
		select {
		case <-l.t.ctx.Done():
			return
		case <-idle.C:
			if l.removeIfUnused() {
				return
			}
			idle.Reset(l.t.options.IdleLink)
		case first := <-l.ring.Items():
			l.sendFrom(first)
			idle.Reset(l.t.options.IdleLink)
		}
	}
}

// removeIfUnused removes the link if no message waits, and reports whether it did.
func (l *link) removeIfUnused() bool {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	if l.ring.Len() > 0 {
		return false
	}
	delete(l.t.links, l.address)
	return true
}

// sendFrom waits for a free slot, then sends the first message with all others that wait
// by then.
func (l *link) sendFrom(first message) {
	select {
	case l.slots <- struct{}{}:
	case <-l.t.ctx.Done():
		return
	}
	batches := l.collect(first)
	l.t.wg.Add(1)
	go func() {
		defer l.t.wg.Done()
		defer func() { <-l.slots }()
		for _, batch := range batches {
			l.exchange(batch)
			l.t.waiting.Add(-int64(len(batch.GetEnvelopes())))
		}
	}()
}

// collect returns the waiting messages in batches. Consecutive messages to the same
// process share a batch.
func (l *link) collect(first message) []*peerpb.Batch {
	batches := []*peerpb.Batch{l.newBatch(first)}
	size := len(first.envelope.GetBody())
	for n := 1; n < maxBatch && size < maxBatchBytes; n++ {
		select {
		case m := <-l.ring.Items():
			size += len(m.envelope.GetBody())
			last := batches[len(batches)-1]
			if last.GetReceiverIncarnation() != m.incarnation {
				batches = append(batches, l.newBatch(m))
				continue
			}
			last.Envelopes = append(last.Envelopes, m.envelope)
		default:
			return batches
		}
	}
	return batches
}

func (l *link) newBatch(m message) *peerpb.Batch {
	return &peerpb.Batch{
		Sender:              l.t.options.Self.ID,
		SenderIncarnation:   l.t.options.Self.Incarnation,
		ReceiverIncarnation: m.incarnation,
		Envelopes:           []*peerpb.Envelope{m.envelope},
	}
}

// exchange sends one batch and passes the replies to the duties. What the duties reply to
// those is sent as new messages. A failed exchange is only counted, because every duty
// repeats messages that must arrive.
func (l *link) exchange(batch *peerpb.Batch) {
	ctx, cancel := context.WithTimeout(l.t.ctx, l.t.options.Timeout)
	defer cancel()
	l.t.sent.Inc(1)
	l.t.countEnvelopes(batch.GetEnvelopes())
	response, err := l.client.Deliver(ctx, batch)
	if err != nil {
		l.t.failed.Inc(1)
		return
	}
	from := Sender{ID: response.GetSender(), Incarnation: response.GetSenderIncarnation()}
	for _, answer := range l.t.handle(ctx, from, response.GetEnvelopes()) {
		l.t.Send(l.address, from.Incarnation, answer.GetDuty(), answer.GetBody())
	}
}
