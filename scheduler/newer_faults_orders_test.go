package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// maxStartWait is owner.maxStartAge.
const maxStartWait = 250 * ms

// sendStart follows Owner.sendStart. The process may pause between the check of the age and the
// sending.
func (o *vmOwner) sendStart(e StartRun, decided time.Duration) {
	w := o.vm.w
	w.log("%s token %d starts %s run %d at %s", o.vm.name, o.token, e.Run.Task, e.Run.Number, e.To.ID)
	back := func(a work.OrderAnswer) {
		o.post(func(now time.Duration) {
			o.recordAnswerTime(a.Verdict, now-decided)
			o.state.HandleStartAnswer(now, e.To.ID, e.Run, a)
		})
	}
	o.sender(func() {
		if w.now-decided > maxStartWait {
			back(work.OrderAnswer{Verdict: work.VerdictStaleToken})
			return
		}
		if w.chance(w.pauses) {
			o.vm.stall(50*ms + w.micros(600_000))
		}
		o.order(e.To.ID, func(t *fakeTarget, token int64) work.OrderAnswer {
			a := t.start(token, e)
			w.log("%s carries out the start of %s run %d, token %d: %s", t.id, e.Run.Task, e.Run.Number, token, a.Verdict)
			return a
		}, back)
	})
}

// order sends an order and calls back once, with its answer or without one after its timeout. The
// timer and the answer wait for a stalled process alike.
func (o *vmOwner) order(target string, carryOut func(t *fakeTarget, token int64) work.OrderAnswer, back func(work.OrderAnswer)) {
	token, answered := o.token, false
	reply := func(a work.OrderAnswer) {
		if !answered {
			answered = true
			a.Verdict = ResolveVerdict(a.Verdict, token, o.token)
			back(a)
		}
	}
	o.vm.later(orderTimeout, func() { reply(work.OrderAnswer{}) })
	o.vm.resume(func() {
		o.transmit(target, func(t *fakeTarget, respond func(func())) {
			a := carryOut(t, token)
			if a.Verdict != work.VerdictUnknown {
				respond(func() { reply(a) })
			}
		}, func() { reply(work.OrderAnswer{Verdict: work.VerdictConnectionLost}) })
	})
}

// sendPoll follows Owner.poll.
func (o *vmOwner) sendPoll(e Poll, decided time.Duration) {
	token, answered := o.token, false
	reply := func(got work.PollAnswer, verdict work.Verdict) {
		if answered {
			return
		}
		answered = true
		verdict = ResolveVerdict(verdict, token, o.token)
		o.post(func(now time.Duration) {
			if e.Wait == 0 {
				o.recordAnswerTime(verdict, now-decided)
			}
			o.state.HandlePollAnswer(now, e.To.ID, e.SentAt, got, verdict)
		})
	}
	o.vm.later(e.Wait+orderTimeout, func() { reply(work.PollAnswer{}, work.VerdictUnknown) })
	o.transmit(e.To.ID, func(t *fakeTarget, respond func(func())) {
		t.servePoll(token, e, func(got work.PollAnswer, verdict work.Verdict) {
			for _, r := range got.Running {
				o.vm.w.log("%s lists %s run %d to the poll of %v, token %d", t.id, r.Run.Task, r.Run.Number, e.SentAt, token)
			}
			for _, end := range got.Completions {
				o.vm.w.log("%s lists that %s run %d ended %s to the poll of %v, token %d", t.id, end.Run.Task, end.Run.Number, end.Kind, e.SentAt, token)
			}
			if verdict != work.VerdictUnknown {
				respond(func() { reply(got, verdict) })
			}
		})
	}, func() { reply(work.PollAnswer{}, work.VerdictConnectionLost) })
}

// transmit simulates the way of an order to a target and of its answer, also through relays: both
// may be lost, late or held up by a cut.
func (o *vmOwner) transmit(target string, carryOut func(t *fakeTarget, respond func(func())), broken func()) {
	w, t := o.vm.w, o.vm.w.targets[target]
	loseAnswer, incarnation, served := func(func()) {}, t.incarnation, carryOut
	carryOut = func(t *fakeTarget, respond func(func())) {
		// A connection ends with the process that has accepted it.
		if t.incarnation == incarnation {
			served(t, respond)
		}
	}
	respond := func(do func()) { w.stream(target, o.vm.name, func() { o.vm.resume(do) }) }
	arrive := func(respond func(func())) { w.stream(o.vm.name, target, func() { carryOut(t, respond) }) }
	f := w.faults
	switch draw := w.random.Float64(); {
	case draw < f.lostOrders:
	case draw < f.lostOrders+f.lateOrders:
		w.after(time.Duration(w.random.Int64N(int64(w.maxLate))), func() { carryOut(t, loseAnswer) })
	case draw < f.lostOrders+f.lateOrders+f.lostAnswers:
		arrive(loseAnswer)
	case draw > 1-f.broken:
		if w.random.IntN(2) == 0 {
			arrive(loseAnswer)
		}
		o.vm.later(ms+w.micros(4000), broken)
	default:
		arrive(respond)
	}
}

// stopAt carries a stop out, unless the target refuses or loses stops.
func (w *vmWorld) stopAt(t *fakeTarget, token int64, run work.RunID) work.OrderAnswer {
	if fault := w.stopFault[t.id]; w.now < fault.until {
		if fault.refuses {
			return t.reply(work.VerdictUnhealthy)
		}
		return work.OrderAnswer{}
	}
	return t.stop(token, run)
}
