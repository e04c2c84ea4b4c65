package scheduler

import (
	"fmt"
	"time"

	"github.com/burdockward/burdockward/work"
)

// caller submits one job, and again, until it has an answer.
type caller struct {
	id       string
	tasks    int
	owner    *fakeOwner
	ref      Ref
	answered bool
	// refused is set once the caller got the answer that nothing of its job runs.
	refused  bool
	attempts int
	// submittedAt is when its owner got the job.
	submittedAt time.Duration
	outcomes    []work.Result
}

// submit hands a caller's job to the newest owner.
func (w *world) submit(c *caller) {
	o := w.owner()
	if o.dead || o.frozen || o.cut {
		w.after(100*ms, func() { w.submit(c) })
		return
	}
	c.attempts++
	w.refs++
	c.owner, c.ref = o, w.refs
	o.refs[c.ref] = c
	c.submittedAt = w.now
	o.state.Submit(w.now, w.submission(c))
	w.applyEffects(o)
}

// submission is a caller's job as its owner gets it.
func (w *world) submission(c *caller) Submission {
	return Submission{
		Ref: c.ref, Entry: "e", Wait: 5 * time.Second,
		Job: work.Job{ID: c.id, Steps: []work.Step{{
			Tasks: c.tasks, PerTask: work.Resources{CPU: 1}, DeclaredRunTime: time.Duration(w.longest/2) * ms,
		}}},
		Queue: work.Queue{Name: w.queueName(c), Service: "s", MaxAttempts: 3, Stretch: 10, Allowance: 500 * ms},
	}
}

// breakConnection breaks the connection over which an owner got a job. An answer to it is lost, and
// after a while the entry VM asks for one over another connection. The owner gives up a job that
// nobody asks for in time.
func (w *world) breakConnection(o *fakeOwner, ref Ref, pause time.Duration) {
	c := o.refs[ref]
	delete(o.refs, ref)
	w.after(80*ms, func() {
		w.deliver(o, func() { o.state.Cancel(w.now, ref) })
	})
	w.after(pause, func() {
		if o.dead || o.frozen || o.cut {
			w.retryLater(c)
			return
		}
		w.refs++
		c.ref = w.refs
		o.refs[c.ref] = c
		switch o.state.Rejoin(w.now, w.submission(c), w.now-c.submittedAt, true) {
		case Present:
		case Forgotten:
			delete(o.refs, c.ref)
			w.retryLater(c)
		case Absent:
			if w.started[c.id] {
				w.violations = append(w.violations, c.id+" was reported absent, though it had started")
			}
		}
		w.applyEffects(o)
	})
}

// addCaller adds a caller with a job.
func (w *world) addCaller(tasks int) *caller {
	c := &caller{id: fmt.Sprintf("job%d", len(w.callers)), tasks: tasks}
	w.callers[c.id] = c
	w.submit(c)
	return c
}

// disconnect makes a caller leave and come again later.
func (w *world) disconnect(o *fakeOwner, ref Ref) {
	c := o.refs[ref]
	delete(o.refs, ref)
	if !o.frozen && !o.cut && !o.dead {
		o.state.Cancel(w.now, ref)
		w.applyEffects(o)
	}
	w.retryLater(c)
}

// retryInterval is the shortest time after which a caller sends a job again.
const retryInterval = 1300 * ms

// retryLater makes a caller without an answer send its job again.
func (w *world) retryLater(c *caller) {
	if c.attempts < 3 {
		w.after(retryInterval, func() { w.submit(c) })
	}
}

// rejoinBeforeSubmit has a caller's job asked for again, over another connection, before the owner
// processes the first request for it.
func (w *world) rejoinBeforeSubmit(tasks int, pause time.Duration) {
	o := w.owner()
	if o.dead || o.frozen || o.cut {
		return
	}
	c := &caller{id: fmt.Sprintf("job%d", len(w.callers)), tasks: tasks, owner: o, attempts: 1, submittedAt: w.now, ref: w.refs + 1}
	w.callers[c.id] = c
	first := w.submission(c)
	w.refs += 2
	c.ref = w.refs
	o.refs[c.ref] = c
	o.state.Rejoin(w.now, w.submission(c), ms, true)
	w.applyEffects(o)
	w.after(pause, func() {
		w.deliver(o, func() { o.state.Submit(w.now, first) })
	})
}
