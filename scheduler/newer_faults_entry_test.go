package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockward/burdockward/work"
)

// client is a caller with one job. It sends the job again 1.3 s after an error, through any VM,
// until its deadline.
type client struct {
	w              *vmWorld
	id             string
	tasks          int
	sent, deadline time.Duration
	attempts       int
	over           bool
	request        *entryRequest
}

func (w *vmWorld) addClient(tasks int, timeout time.Duration) *client {
	c := &client{w: w, id: fmt.Sprintf("job%d", len(w.clients)), tasks: tasks, sent: w.now, deadline: w.now + timeout}
	w.clients = append(w.clients, c)
	c.send()
	w.after(timeout, func() {
		c.over = true
		if r := c.request; r != nil {
			r.leave()
		}
	})
	return c
}

func (c *client) send() {
	if c.over {
		return
	}
	v := c.w.vms[c.w.random.IntN(len(c.w.vms))]
	if v.dead || v.leaving {
		c.w.after(20*ms, c.send)
		return
	}
	c.attempts++
	c.w.after(ms+c.w.micros(1000), func() {
		r := &entryRequest{vm: v, client: c, refusedBy: map[int]bool{}}
		c.request = r
		if v.dead {
			r.connectionLost()
			return
		}
		v.requests = append(v.requests, r)
		v.resume(r.dispatch)
	})
}

// entryRequest follows entry.Dispatch.
type entryRequest struct {
	vm      *vm
	client  *client
	arrived time.Duration
	// gone says that the caller's connection had ended before the request was read.
	gone, over bool
	remote     *remoteCall
	local      *call
	refusedBy  map[int]bool
}

// connectionLost has the caller send again: its connection broke.
func (r *entryRequest) connectionLost() {
	r.over = true
	if r.client.request == r {
		r.client.retry(retryInterval)
	}
}

func (c *client) retry(after time.Duration) {
	c.request = nil
	c.w.after(after+c.w.micros(20_000), c.send)
}

// leave ends the request's context: the caller has closed its connection.
func (r *entryRequest) leave() {
	r.vm.later(ms, func() {
		r.over = true
		if r.remote != nil {
			r.remote.cancel()
		}
		if r.local != nil {
			r.local.cancel()
		}
	})
}

// reset breaks the caller's connection: both ends notice. The caller sends a request that was not
// read again at once.
func (r *entryRequest) reset() {
	if r.client.request != r {
		return
	}
	r.gone = r.arrived == 0
	r.leave()
	if r.gone {
		r.client.retry(10 * ms)
		return
	}
	r.client.retry(retryInterval)
}

func (r *entryRequest) answer(outcome work.Outcome) {
	v, c := r.vm, r.client
	if r.over {
		return
	}
	r.over = true
	v.w.after(ms, func() {
		if c.over || c.request != r {
			return
		}
		v.w.log("%s answers %s: %s %s", v.name, c.id, outcome.Result, outcome.Reason)
		switch outcome.Result {
		case work.Completed, work.Failed:
			c.over = true
			if outcome.Result == work.Completed {
				v.w.completed++
			}
		case work.Unknown:
			c.retry(retryInterval)
		default:
			// Refused callers come again as soon as they may.
			c.retry(max(outcome.RetryAfter, 100*ms))
		}
	})
}

func (r *entryRequest) dispatch() {
	if r.gone {
		return
	}
	if r.arrived == 0 {
		r.arrived = r.vm.w.now
	}
	if r.over {
		return
	}
	v := r.vm
	var near, far []*vmClaim
	for group := range v.w.groups {
		claim := v.claims[group]
		if claim == nil || r.refusedBy[group] || !v.canAsk(claim) {
			continue
		}
		if group == v.domain {
			near = append(near, claim)
		} else {
			far = append(far, claim)
		}
	}
	candidates := slices.Concat(near, near, far)
	switch {
	case len(candidates) > 0:
		r.runAt(candidates[v.w.random.IntN(len(candidates))])
	case len(r.refusedBy) > 0 || v.w.now-r.arrived > 300*ms:
		r.answer(work.Outcome{Result: work.Refused, Reason: "no owner of targets can be reached", RetryAfter: time.Second})
	default:
		v.later(10*ms, r.dispatch)
	}
}

// canAsk follows entry.fillCandidate.
func (v *vm) canAsk(claim *vmClaim) bool {
	if claim.holder == v {
		return v.current != nil && claim.group == v.domain
	}
	view := v.views[claim.holder.incarnation]
	return view != nil && view.timestamp > 0 && view.alive
}

// runAt follows entry.runAt.
func (r *entryRequest) runAt(claim *vmClaim) {
	v, c := r.vm, r.client
	sub := Submission{
		Job: work.Job{ID: c.id, Steps: []work.Step{{
			Tasks: c.tasks, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Duration(v.w.longest/2) * ms,
		}}},
		Queue: v.w.queueOfJobs(), Age: v.w.now - r.arrived, Wait: c.deadline - r.arrived,
	}
	took := func(outcome work.Outcome) { r.took(claim, outcome) }
	v.w.log("%s asks %s for %s, attempt %d", v.entryID(), claim.holder.entryID(), c.id, c.attempts)
	if claim.holder == v {
		r.local = v.current.submit(sub, nil, took)
		return
	}
	view := v.views[claim.holder.incarnation]
	request := v.lastRequest + 1
	r.remote = v.runWhileAlive(view, order{entry: v.entryID(), timestamp: view.timestamp, sub: sub}, func(outcome work.Outcome) {
		if outcome.Result == work.Unknown {
			v.giveUp(view, c.id, request)
		}
		took(outcome)
	})
}

func (r *entryRequest) took(claim *vmClaim, outcome work.Outcome) {
	r.remote, r.local = nil, nil
	switch {
	case r.over:
	case outcome.Result == work.Moved && r.vm.w.now-r.arrived < 500*ms:
		r.vm.later(10*ms, r.dispatch)
	case outcome.Result == work.Refused && r.vm.w.now-r.arrived <= 10*ms:
		r.refusedBy[claim.group] = true
		r.dispatch()
	default:
		r.answer(outcome)
	}
}

// delegate follows node.delegate and owner.delegate.
func (o *vmOwner) delegate(e Delegate) { o.delegateSince(e, o.vm.w.now) }

// delegateSince tries for a while to reach the successor with a part that is handed over.
func (o *vmOwner) delegateSince(e Delegate, since time.Duration) {
	v := o.vm
	if o.ended {
		return
	}
	returned := func(outcome work.Outcome) {
		o.post(func(now time.Duration) {
			delete(o.delegated, e.Part)
			o.state.PartReturned(now, e.Part, outcome)
		})
	}
	for _, view := range v.sortedViews() {
		if view.vm.entryID() != e.Owner || view.timestamp == 0 || !view.alive {
			continue
		}
		v.w.log("%s lends %v to %s", v.entryID(), e.Submission.Part, e.Owner)
		request := v.lastRequest + 1
		o.delegated[e.Part] = v.runWhileAlive(view, order{entry: v.entryID(), timestamp: view.timestamp, sub: e.Submission}, func(outcome work.Outcome) {
			if outcome.Result == work.Unknown {
				v.giveUp(view, e.Submission.Job.ID, request)
			}
			if outcome.Result == work.Moved && e.Submission.Handed && v.w.now-since < 300*ms && !o.withdrawn[e.Part] {
				v.later(10*ms, func() { o.delegateSince(e, since) })
				return
			}
			v.later(0, func() { returned(outcome) })
		})
		return
	}
	if e.Submission.Handed && v.w.now-since < 300*ms && !o.withdrawn[e.Part] {
		v.later(10*ms, func() { o.delegateSince(e, since) })
		return
	}
	v.later(0, func() { returned(work.Outcome{Result: work.Moved, Reason: "the other owner is silent"}) })
}
