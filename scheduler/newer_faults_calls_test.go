package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// connection is a connection between two VMs that carries one request.
type connection struct {
	w        *vmWorld
	from, to *vm
	closed   bool
	// fail ends the client's call with an error; leave ends the server's context.
	fail, leave func()
	// left says that the server's context has ended.
	left bool
}

// breakAtClient breaks a connection; the client sees an error.
func (c *connection) breakAtClient() {
	c.closed = true
	c.w.stream(c.to.name, c.from.name, func() { c.from.resume(c.fail) })
}

// closeByClient closes a connection; the server notices once it hears of it.
func (c *connection) closeByClient() {
	if c.closed {
		return
	}
	c.closed = true
	c.w.stream(c.from.name, c.to.name, func() { c.to.resume(c.endContext) })
}

// reset breaks a connection at both ends.
func (c *connection) reset() {
	if c.closed {
		return
	}
	c.closed = true
	c.w.after(c.w.micros(2000), func() { c.from.resume(c.fail) })
	c.w.after(c.w.micros(2000), func() { c.to.resume(c.endContext) })
}

func (c *connection) endContext() {
	if !c.left {
		c.left = true
		if c.leave != nil {
			c.leave()
		}
	}
}

// order is link.Order.
type order struct {
	entry     string
	timestamp time.Duration
	sub       Submission
	// request is the request's number at the entry VM.
	request uint64
	// previous is the owner's process that got the earlier request, ago the time since then.
	previous uint64
	ago      time.Duration
}

// remoteCall follows link.Client.RunWhileAlive.
type remoteCall struct {
	from    *vm
	view    *ownerView
	order   order
	age     time.Duration
	began   time.Duration
	tries   int
	settled bool
	conn    *connection
	done    func(work.Outcome)
}

// maxTries is link.maxRejoins and the first request.
const maxTries = 4

func (v *vm) runWhileAlive(view *ownerView, o order, done func(work.Outcome)) *remoteCall {
	v.lastRequest++
	o.request = v.lastRequest
	c := &remoteCall{from: v, view: view, order: o, age: o.sub.Age, began: v.w.now, done: done}
	view.calls = append(view.calls, c)
	c.attempt()
	return c
}

func (c *remoteCall) settle(outcome work.Outcome) {
	if !c.settled {
		c.settled = true
		c.done(outcome)
	}
}

// cancel ends the call's context: its caller has left, or the owner is lost.
func (c *remoteCall) cancel() {
	if c.settled {
		return
	}
	c.conn.closeByClient()
	c.settle(work.Outcome{Result: work.Unknown, Reason: "the owner was lost: canceled"})
}

func (c *remoteCall) attempt() {
	w, to := c.from.w, c.view.vm
	c.tries++
	conn := &connection{w: w, from: c.from, to: to}
	conn.fail = func() { c.failed(false) }
	c.conn = conn
	w.connections = append(w.connections, conn)
	sent := c.order
	w.stream(c.from.name, to.name, func() {
		if to.dead {
			// The address refuses connections; one that was kept open is reset.
			refused := w.random.IntN(2) == 0
			w.stream(to.name, c.from.name, func() { c.from.resume(func() { c.refused(conn, refused) }) })
			return
		}
		delay := w.micros(200)
		if w.chance(w.requestDelays) {
			delay = w.micros(3_000_000)
		}
		to.later(delay, func() {
			to.runForPeer(sent, conn, func(outcome work.Outcome) {
				w.stream(to.name, c.from.name, func() { c.from.resume(func() { c.answer(conn, outcome) }) })
			})
		})
	})
}

func (c *remoteCall) answer(conn *connection, outcome work.Outcome) {
	if !conn.closed && c.conn == conn {
		conn.closed = true
		c.settle(outcome)
	}
}

func (c *remoteCall) refused(conn *connection, dial bool) {
	if !conn.closed && c.conn == conn {
		conn.closed = true
		c.failed(dial)
	}
}

// failed takes an error of the call.
func (c *remoteCall) failed(dial bool) {
	switch {
	case c.settled:
	case dial && c.tries == 1:
		c.settle(work.Outcome{Result: work.Moved, Reason: "no connection to the owner"})
	case c.tries < maxTries:
		ago := c.from.w.now - c.began
		c.order.sub.Age, c.order.previous, c.order.ago = c.age+ago, c.view.vm.incarnation, ago
		c.attempt()
	default:
		c.settle(work.Outcome{Result: work.Unknown, Reason: "the owner was lost"})
	}
}

// runForPeer follows node.runForPeer.
func (v *vm) runForPeer(o order, conn *connection, reply func(work.Outcome)) {
	if o.previous != 0 {
		v.rejoin(o, conn, reply)
		return
	}
	owner, until := v.current, o.timestamp+keepaliveLifetime
	if owner == nil || v.w.now >= until {
		reply(work.Outcome{Result: work.Moved, Reason: "not the owner, or the order is stale"})
		return
	}
	owner.recordKeepalive(o.entry, until, nil)
	owner.submit(o.submission(v), conn, reply)
}

// submission follows node.submissionFromOrder at the owner's VM.
func (o order) submission(v *vm) Submission {
	sub := o.sub
	sub.Entry, sub.Request, sub.Expires = o.entry, o.request, o.timestamp+keepaliveLifetime
	if sub.Origin == v.entryID() {
		sub.Origin = ""
	}
	return sub
}

// rejoin follows node.rejoin.
func (v *vm) rejoin(o order, conn *connection, reply func(work.Outcome)) {
	askCurrent := func(outcome work.Outcome, presence Presence) {
		if owner := v.current; owner != nil && presence != Present && o.previous == v.incarnation {
			until := o.timestamp + keepaliveLifetime
			owner.recordKeepalive(o.entry, until, nil)
			owner.rejoin(o.submission(v), o.ago, v.w.now < until, conn, func(outcome work.Outcome, _ Presence) { reply(outcome) })
			return
		}
		reply(outcome)
	}
	if v.outgoing != nil {
		v.outgoing.rejoin(o.submission(v), o.ago, false, conn, askCurrent)
		return
	}
	askCurrent(work.Outcome{Result: work.Unknown}, Forgotten)
}

// call is one request that an owner serves.
type call struct {
	o             *vmOwner
	ref           Ref
	handled, over bool
	conn          *connection
	reply         func(work.Outcome)
	// outcome is what the loop has sent and the waiting goroutine has not read yet.
	outcome *work.Outcome
}

// ownerEnded follows Owner.outcomeAfterEnd.
func (c *call) ownerEnded(otherwise work.Outcome) {
	if c.outcome != nil {
		otherwise = *c.outcome
	}
	c.settle(otherwise)
}

func (c *call) settle(outcome work.Outcome) {
	if !c.over {
		c.over = true
		c.reply(outcome)
	}
}

// submit follows Owner.Submit; conn is nil for a job of this VM.
func (o *vmOwner) submit(sub Submission, conn *connection, reply func(work.Outcome)) *call {
	w := o.vm.w
	c := &call{o: o, conn: conn, reply: reply}
	if o.delay(w.now) > 150*ms && !sub.Handed {
		reply(work.Outcome{Result: work.Refused, Reason: "the owner is short of processor", RetryAfter: o.delay(w.now)})
		return c
	}
	arrived := w.now
	o.submissions = append(o.submissions, func(now time.Duration) {
		c.handled = true
		if c.over || conn != nil && conn.left {
			c.settle(work.Outcome{Result: work.Unknown, Reason: "the caller left"})
			return
		}
		c.ref = o.addWaiter(&sub, c)
		o.lastWait = now - arrived
		sub.Age += now - arrived
		o.state.Submit(now, sub)
	})
	o.wake()
	o.onEnd = append(o.onEnd, func() { c.ownerEnded(work.Outcome{Result: work.Moved, Reason: "the owner has ended"}) })
	c.watch()
	return c
}

func (o *vmOwner) addWaiter(sub *Submission, c *call) Ref {
	o.lastRef++
	sub.Ref = o.lastRef
	o.waiters[sub.Ref] = func(outcome work.Outcome) {
		c.outcome = &outcome
		o.vm.later(o.vm.w.micros(100), func() { c.settle(outcome) })
	}
	return sub.Ref
}

// watch gives the job up once its connection has ended and nobody has asked for it in time.
func (c *call) watch() {
	if c.conn == nil {
		return
	}
	c.conn.leave = func() {
		if !c.over {
			c.o.vm.later(80*ms, c.cancel)
		}
	}
	if c.conn.left {
		c.conn.leave()
	}
}

// cancel follows Owner.cancel and cancelLater.
func (c *call) cancel() {
	c.settle(work.Outcome{Result: work.Unknown, Reason: "the caller left"})
	c.o.post(func(now time.Duration) {
		if c.handled {
			c.o.state.Cancel(now, c.ref)
		} else if !c.o.ended {
			c.o.vm.later(ms, c.cancel)
		}
	})
}

// rejoin follows Owner.Rejoin.
func (o *vmOwner) rejoin(sub Submission, ago time.Duration, begin bool, conn *connection, reply func(work.Outcome, Presence)) {
	found := Forgotten
	c := &call{o: o, conn: conn, reply: func(outcome work.Outcome) { reply(outcome, found) }}
	if o.ended {
		c.settle(work.Outcome{Result: work.Unknown, Reason: "the owner has ended"})
		return
	}
	o.onEnd = append(o.onEnd, func() { c.ownerEnded(work.Outcome{Result: work.Unknown, Reason: "the owner has ended"}) })
	o.post(func(now time.Duration) {
		c.handled = true
		c.ref = o.addWaiter(&sub, c)
		mine := now-ago > o.createdAt
		found = o.state.Rejoin(now, sub, ago, begin && mine)
		if found == Absent && !mine {
			found = Forgotten
		}
		if found != Present && !(found == Absent && begin) {
			delete(o.waiters, c.ref)
			c.settle(work.Outcome{Result: work.Unknown, Reason: "the owner knows the job no more"})
		}
	})
	c.watch()
}
