package replay

import (
	"cmp"
	"time"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// submit hands a job to an owner that is not among refused. A refused job is offered to
// another owner within offerPeriod if one is likely to take it.
func (w *world) submit(a *arrival, refused map[int]bool) {
	if len(refused) == 0 {
		a.submittedAt = w.now
		a.entryVM = w.drawEntryVM(a.domain)
	}
	index := w.chooseOwner(a, refused)
	o := w.owners[index]
	w.scheduleAfter(w.callerDelay(index, a.domain), func() {
		if o.lost {
			w.resubmitLater(a)
			return
		}
		if behind := w.lag(o); behind > shedThreshold {
			w.offerAgain(a, refused, index, work.Outcome{Result: work.Refused, RetryAfter: behind}, func() {
				w.countRefusal(a)
			})
			return
		}
		incarnation := o.incarnation
		w.runOnCPU(o, w.options.Site.JobTime, func() {
			if o.lost || o.incarnation != incarnation {
				w.resubmitLater(a)
				return
			}
			w.submitTo(a, refused, index)
		})
	})
}

// submitTo gives a job to an owner's scheduler.
func (w *world) submitTo(a *arrival, refused map[int]bool, index int) {
	o := w.owners[index]
	o.lastRef++
	ref := o.lastRef
	o.callers[ref] = a

	o.state.Submit(w.now, scheduler.Submission{
		Ref: ref, Job: a.job, Queue: w.queueOf(a.kind), Age: w.now - a.submittedAt,
		Wait: max(queueTimeout+usefulFactor*a.objective-(a.submittedAt-a.at-time.Second), time.Millisecond),
	})
	w.applyEffectsExcept(o, func(answer scheduler.Answer) bool {
		if answer.Ref != ref || answer.Outcome.Result != work.Refused {
			return false
		}
		delete(o.callers, ref)

		w.offerAgain(a, refused, index, answer.Outcome, func() { w.countRefusal(a) })
		return true
	})
}

// offerAgain submits a job that an owner has refused to another one, or calls end if no other
// one is likely to take it in time.
func (w *world) offerAgain(a *arrival, refused map[int]bool, index int, refusal work.Outcome, end func()) {
	refused[index] = true
	late := w.now-a.at-time.Second > offerPeriod
	if late || len(refused) >= len(w.owners) || !w.hasBetterOwner(a, refused, cmp.Or(refusal.ForecastWait, refusal.RetryAfter)) {
		end()
		return
	}
	w.scheduleAfter(w.callerDelay(index, a.domain), func() { w.submit(a, refused) })
}

// queueOf returns the queue of a kind of request.
func (w *world) queueOf(kind int) work.Queue {
	k := w.options.Site.Kinds[kind]
	return work.Queue{
		Name: k.Name, Service: "service", Priority: k.Priority, MaxAttempts: k.Attempts,
		Stretch: stretch, Allowance: allowance, RequestTimeout: queueTimeout,
	}
}

// callerDelay is the one-way delay between a caller's failure domain and an owner.
func (w *world) callerDelay(owner, domain int) time.Duration {
	switch {
	case w.options.Clairvoyant:
		return 0
	case w.options.OneOwner:
		return w.options.Site.DomainDelay
	case owner == domain:
		return processDelay
	default:
		return processDelay + w.options.Site.DomainDelay
	}
}
