package capacity

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/capacity/capacitypb"
)

// maxUnacked is the maximum number of unacknowledged items of one link.
const maxUnacked = 8

// reportAckDelay is how long the acknowledgement of a report waits at most to be
// sent with another message.
const reportAckDelay = 100 * time.Millisecond

// link is the exchange with one other member of the view.
type link struct {
	member Member
	// leaver says that the peer has left the view and only hands over ledgers.
	leaver bool

	// items are not yet acknowledged, and lastNumber is the number of the newest.
	items      []*capacitypb.Item
	lastNumber uint64
	// retryAt is when items are sent again, and retryInterval the time between two
	// sendings.
	retryAt, retryInterval time.Duration
	// lastApplied is the number of the newest item of the peer that was applied.
	lastApplied uint64
	// ackAt is when an acknowledgement is sent at the latest; 0 when none is due.
	ackAt time.Duration

	// report is the peer's report in this view.
	report *capacitypb.Report

	// batch holds the units of the next item, and batchAt is when that is sent at
	// the latest.
	batch   []*capacitypb.Units
	batchAt time.Duration

	asks    []*capacitypb.Ask
	recalls []*capacitypb.Recall
	// revoked are answers of targets that were not sent to the peer yet.
	revoked []*capacitypb.Revoked

	slots peerSlots
}

// hasReported reports whether the peer's report in this view has arrived.
func (l *link) hasReported() bool { return l.report != nil }

// addUnits adds units to the batch, which is sent at due unless it is earlier.
func (l *link) addUnits(due time.Duration, u *capacitypb.Units) {
	if len(l.batch) == 0 {
		l.batchAt = due
	}
	at, found := slices.BinarySearchFunc(l.batch, u, compareUnits)
	if found {
		l.batch[at].Count += u.Count
		return
	}
	l.batch = slices.Insert(l.batch, at, u)
}

// compareUnits orders units by pool, stale ones last.
func compareUnits(a, b *capacitypb.Units) int {
	if a.Pool == b.Pool && a.Stale != b.Stale {
		if b.Stale {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Pool, b.Pool)
}

// appendItem gives the item the next number and adds it to the unacknowledged ones.
func (l *link) appendItem(item *capacitypb.Item) {
	l.lastNumber++
	item.Number = l.lastNumber
	l.items = append(l.items, item)
}

// flush makes an item of the batch, unless maxUnacked items wait already. It reports
// whether it did.
func (l *link) flush() bool {
	if len(l.batch) == 0 || len(l.items) >= maxUnacked {
		return false
	}
	l.appendItem(&capacitypb.Item{Units: l.batch})
	l.batch = nil
	return true
}

// acknowledge removes the items up to the number.
func (l *link) acknowledge(number uint64) {
	for len(l.items) > 0 && l.items[0].Number <= number {
		l.items = l.items[1:]
		l.retryInterval = 0
	}
}

// isDue reports whether a message must be sent now.
func (l *link) isDue(now time.Duration) bool {
	if len(l.asks) > 0 || len(l.recalls) > 0 {
		return true
	}
	return l.nextDue() <= now
}

// nextDue returns the latest time at which a message must be sent.
func (l *link) nextDue() time.Duration {
	next := never
	if len(l.items) > 0 {
		next = min(next, l.retryAt)
	}
	if len(l.batch) > 0 && len(l.items) < maxUnacked {
		next = min(next, l.batchAt)
	}
	if l.ackAt > 0 {
		next = min(next, l.ackAt)
	}
	return next
}

// collect returns the messages that are due.
func (s *State) collect(now time.Duration) []Out {
	var out []Out
	for _, l := range s.peers {
		if l.isDue(now) {
			out = append(out, Out{To: l.member, Msg: s.newMessage(now, l)})
		}
	}
	return out
}

// newMessage makes a message with all items, asks and recalls for the peer, the
// digest and the acknowledgement.
func (s *State) newMessage(now time.Duration, l *link) *capacitypb.Message {
	if l.flush() {
		l.retryInterval = 0
		l.retryAt = now
	}
	if len(l.items) > 0 && l.retryAt <= now {
		l.retryInterval = backoff(l.retryInterval, s.opts.RetryAfter, s.opts.MaxRetryAfter)
		l.retryAt = now + l.retryInterval
	}
	m := &capacitypb.Message{
		View:    s.view.ID,
		Digest:  s.newDigest(),
		Ack:     l.lastApplied,
		Items:   slices.Clone(l.items),
		Asks:    l.asks,
		Recalls: l.recalls,
	}
	l.asks = nil
	l.recalls = nil
	l.ackAt = 0
	return m
}

// Receive applies a message of a peer. The caller sends the replies back to it, in
// the response of the same call where that is possible, and the other messages to
// their members.
func (s *State) Receive(now time.Duration, from Member, m *capacitypb.Message) (replies []*capacitypb.Message, out []Out) {
	l := s.links[from.ID]
	if l == nil || l.member.Incarnation != from.Incarnation || m.GetView() != s.view.ID {
		return nil, nil
	}
	l.acknowledge(m.Ack)
	s.applyDigest(l, m.Digest)
	for _, item := range m.Items {
		s.receiveItem(now, l, item)
	}
	for _, a := range m.Asks {
		s.receiveAsk(now, l, a)
	}
	for _, r := range m.Recalls {
		s.receiveRecall(now, r)
	}
	if m.Answer {
		s.receiveAnswer(now, l, m)
	} else if len(m.Items)+len(m.Asks)+len(m.Recalls) > 0 {
		replies = append(replies, s.newAnswer(now, l))
	}
	s.askSlots(now)
	return replies, s.collect(now)
}

// newAnswer makes the reply to a message. The receiver acknowledges its units after
// AckDelay, so they are sent again only after that. When the answer is lost, the
// peer repeats its ask before, and the answer to that contains the units again.
func (s *State) newAnswer(now time.Duration, l *link) *capacitypb.Message {
	m := s.newMessage(now, l)
	m.Answer = true
	if len(m.Items) > 0 && !hasReport(m) {
		l.retryAt = max(l.retryAt, now+s.opts.AckDelay+s.opts.RetryAfter)
	}
	return m
}

// receiveAnswer records the answer to an ask, and schedules the acknowledgement of
// its items. That of a report is sent sooner, since a view change waits for it.
func (s *State) receiveAnswer(now time.Duration, l *link, m *capacitypb.Message) {
	l.slots.asked = 0
	if len(m.Items) == 0 {
		return
	}
	due := now + s.opts.AckDelay
	if hasReport(m) {
		due = now + min(s.opts.AckDelay, reportAckDelay)
	}
	if l.ackAt == 0 || due < l.ackAt {
		l.ackAt = due
	}
}

// hasReport reports whether the message contains the sender's report.
func hasReport(m *capacitypb.Message) bool {
	return slices.ContainsFunc(m.Items, func(i *capacitypb.Item) bool { return i.Report != nil })
}

// receiveItem applies the next item of a peer. Other items are ignored: repeated
// ones were applied, and the peer sends early ones again.
func (s *State) receiveItem(now time.Duration, l *link, item *capacitypb.Item) {
	if item.Number != l.lastApplied+1 {
		return
	}
	l.lastApplied++
	if item.Report != nil {
		s.receiveReport(now, l, item.Report)
	}
	if l.leaver {
		// The home counts a leaver's units as reserved until they are free.
		return
	}
	s.receiveRevoked(now, item.Revoked)
	for _, u := range item.Units {
		s.receiveUnits(now, l, u)
	}
}

// receiveAsk records a peer's ask for units, and grants what is free.
func (s *State) receiveAsk(now time.Duration, l *link, a *capacitypb.Ask) {
	if a.Pool == Slots {
		s.serveSlotAsk(now, l, a)
		return
	}
	p := s.pools[a.Pool]
	if p == nil || p.ledger == nil || p.kind != KindLimit {
		return
	}
	if a.Count == 0 {
		delete(p.ledger.wants, l.member.ID)
		return
	}
	p.ledger.wants[l.member.ID] = int(a.Count)
	s.balance(now, p)
}
