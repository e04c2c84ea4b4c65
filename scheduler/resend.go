package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Orders and looks without an answer are sent again, unchanged, and the first answer counts:
// few starts are left in doubt then, also where many answers get lost. A copy does no harm: a
// target that has the run says so, one that has seen its end refuses it, and a copy that is
// carried out late finds its lease over.
//
// What settling doubt may cost follows what this process has to spare, however many targets
// it owns: answers that come late for want of processor look like lost ones, and copies of
// their orders would make them later still.

// resending decides when.
type resending struct {
	// mean and deviation are moving averages of how long answers take.
	mean, deviation time.Duration
	// usual is a moving average of how long answers take, over so many of them that those of
	// one burst don't show, least the least that it was lately.
	usual, least time.Duration
	// late is a moving average of how late ticks come.
	late time.Duration
	// stalled says that the last tick came so late that answers may wait to be read.
	stalled bool
	// missed and answered count the answers that were missed and that came lately: both fade
	// by missFading at each tick.
	missed, answered float64
	// once sends no copies.
	once bool
	// budget is how many copies may be sent: each answer adds one, up to maxBudget.
	budget int
	// sent counts the copies.
	sent int
	// look is how long a look waits while answers get lost.
	look time.Duration
}

// Figures of sending again.
const (
	// maxCopies bounds how often an order is sent: the last copy still has a third of the
	// time in which an order has to be answered.
	maxCopies = 4
	// leastResend is five times the usual answer of a target.
	leastResend = 15 * time.Millisecond
	// mostResend lets all copies be sent within the time of an order.
	mostResend = 30 * time.Millisecond
	// meanWeight, deviationWeight and deviationFactor are those of TCP's estimate of when
	// to send again.
	meanWeight, deviationWeight = 0.125, 0.25
	deviationFactor             = 4
	// answerWeight averages over some 60 answers: a job of eight tasks makes a burst of that
	// many, of which the last is read after the others.
	answerWeight = 1.0 / 64
	// leastWeight lets the least time rise within some thousand answers, a few seconds.
	leastWeight = 1.0 / 4096
	// ampleLate and ampleFactor with ampleSlack are the lateness of ticks, and the time of
	// answers against the least one, up to which there is processor for more looks that
	// make no first start wait.
	ampleLate   = 1500 * time.Microsecond
	ampleFactor = 1.5
	ampleSlack  = time.Millisecond
	// stallGap is twice the time between two ticks, less what timers vary by.
	stallGap = 2*TickInterval - 5*time.Millisecond
	// lateWeight averages the lateness of ticks over a sixth of a second.
	lateWeight = 0.125
	// spareLate is the mean lateness of ticks up to which there is processor to spare: a
	// single server that has work for half of its time makes what comes wait for about as
	// long as a batch of messages takes, some milliseconds.
	spareLate = 6 * time.Millisecond
	// promptAnswer is the mean time of answers up to which copies are sent: two thirds of the
	// longest pause, beyond which the answer would often come after the copy was sent. Ticks
	// alone don't tell: they come in time while hundreds of answers wait for their turn.
	promptAnswer = 20 * time.Millisecond
	// missFading leaves a third of what was counted a second ago.
	missFading = 0.98
	// doubtShare is the share of answers that must be missed for others to be expected to
	// get lost too. One target that is gone misses one in two hundred of an owner's with 220
	// targets, which would have all of them looked at five times as often.
	doubtShare = 0.01
	// maxBudget is the most copies in a row without an answer to anything: those of the
	// orders that a few targets lose, not of all first looks of a takeover.
	maxBudget = 64
	// lookGrowth and lookDecline change the wait of looks at each tick, so that it is five
	// times as long within 80 ms of want of processor and back within 300 ms of plenty.
	lookGrowth, lookDecline = 1.5, 0.9
	// answerTime is how long the first copy of an order may go unanswered while others are
	// on their way: what the adapter waits for an answer, less what its timer varies by.
	answerTime = 110 * time.Millisecond
)

// newResending has what a process needs to settle doubt about its first orders.
func newResending(once bool) resending {
	return resending{once: once, budget: maxBudget, look: disturbedWait}
}

// tick takes the time since the last tick.
func (r *resending) tick(gap time.Duration) {
	r.missed *= missFading
	r.answered *= missFading
	late := max(gap-TickInterval, 0)
	r.late += time.Duration(lateWeight * float64(late-r.late))
	r.stalled = gap > stallGap
}

// spare reports whether this process has processor to spare: its ticks come in time, and
// answers don't wait to be read.
func (r *resending) spare() bool {
	return !r.stalled && r.late <= spareLate && r.usual <= promptAnswer
}

// ample reports whether there is so much of it that more looks make no answer later.
func (r *resending) ample() bool {
	return r.spare() && r.late <= ampleLate && r.usual <= time.Duration(ampleFactor*float64(r.least))+ampleSlack
}

// pace sets how long looks wait while answers get lost: as short as the processor allows.
func (r *resending) pace(longest time.Duration) {
	factor := lookDecline
	if !r.ample() {
		factor = lookGrowth
	}
	r.look = min(max(time.Duration(factor*float64(r.look)), disturbedWait), longest)
}

// looksTwice reports whether a second look waits beside each one: answers get lost, and
// there is the processor for more than short looks.
func (s *State) looksTwice(now time.Duration) bool {
	return s.unsettled(now) && s.resend.ample() && s.resend.look == disturbedWait
}

// heard counts an answer of a target towards what copies may cost.
func (r *resending) heard(verdict work.Verdict) {
	if !unanswered(verdict) && verdict != work.VerdictUnsent {
		r.answered++
		r.budget = min(r.budget+1, maxBudget)
	}
}

// Answered says how long the answer to one copy of an order took, until it was read.
func (s *State) Answered(took time.Duration) { s.resend.learn(took) }

func (r *resending) learn(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		r.usual, r.least = took, took
		return
	}
	r.usual += time.Duration(answerWeight * float64(took-r.usual))
	r.least = min(r.least+time.Duration(leastWeight*float64(r.usual-r.least)), r.usual)
	r.deviation += time.Duration(deviationWeight * float64((took-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
}

// pause is how long a copy waits for its answer before the next one is sent.
func (r *resending) pause() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, leastResend), mostResend)
}

// copies are those of one order.
type copies struct {
	// sent is when the last one was sent.
	sent time.Duration
	// count is how many there are, waiting how many have no answer yet.
	count, waiting int
}

func (c *copies) add(now time.Duration) {
	c.sent = now
	c.count++
	c.waiting++
}

// affords spends what a copy costs, where there is that much.
func (r *resending) affords() bool {
	if r.once || r.budget == 0 {
		return false
	}
	r.budget--
	r.sent++
	return true
}

// due reports whether the next copy is to be sent, and spends what it costs.
func (r *resending) due(now time.Duration, c *copies, wait time.Duration) bool {
	return c.count < maxCopies && now-c.sent >= wait+r.pause() && r.spare() && r.affords()
}

// missAnswer counts an answer that should have come. What a silent target doesn't answer
// says nothing of the others'.
func (s *State) missAnswer(now time.Duration, t *target) {
	if t.state == usable {
		s.disturbed = now
		s.resend.missed++
	}
}

// startAgain sends a start without an answer again.
func (s *State) startAgain(now time.Duration, r *run) {
	if r.state == ordered && r.stop == nil && !s.startsBarred(now) && s.resend.due(now, &r.copies, 0) {
		s.sendStart(now, r)
		if r.copies.count > 2 {
			s.missAnswer(now, r.target)
		}
	}
}

// startAtOnce sends a start again whose connection broke: no answer will come to that copy,
// and to ask for it costs less than to stop the run and to start its task elsewhere.
func (s *State) startAtOnce(now time.Duration, r *run) bool {
	if r.state != ordered || r.stop != nil || s.startsBarred(now) || r.copies.count >= maxCopies || now-r.ordered >= answerTime || !s.resend.affords() {
		return false
	}
	s.sendStart(now, r)
	return true
}

// askForDue asks a target at once whether a run has ended that should have, while answers get
// lost: the end of a short task is told in tens of milliseconds, also where looks are long.
func (s *State) askForDue(now time.Duration, t *target) {
	if !s.unsettled(now) {
		return
	}
	for _, r := range t.runs {
		if r.state == running && r.stop == nil && r.due(now) {
			s.askAtOnce(now, t)
			return
		}
	}
}

// dueFactor and dueSlack are when most runs have ended, and their ends been told.
const (
	dueFactor = 1.25
	dueSlack  = 10 * time.Millisecond
)

// due reports whether a run should have ended by now.
func (r *run) due(now time.Duration) bool {
	return !r.task.step.Lasting && !r.task.step.Fills && now-r.ordered > time.Duration(dueFactor*float64(r.expected))+dueSlack
}

// askAtOnce sends a copy of a look that waits, which asks for an answer at once.
func (s *State) askAtOnce(now time.Duration, t *target) {
	if !t.looking || !s.resend.due(now, &t.lookCopies, 0) {
		return
	}
	t.lookCopies.add(now)
	look := t.look
	look.Wait = 0
	s.emit(look)
}

// lookAgain sends a look again that should have been answered; it asks for an answer at
// once. While answers get lost a second look waits beside each one from early on: an end
// that only a lost look would have told costs a short task its slack.
func (s *State) lookAgain(now time.Duration, t *target) {
	c := &t.lookCopies
	switch {
	case !t.looking:
		return
	case c.count == 1 && s.looksTwice(now) && s.resend.due(now, c, 0):
	case s.resend.due(now, c, t.look.Wait):
		s.missAnswer(now, t)
		t.look.Wait = 0
	default:
		return
	}
	c.add(now)
	s.emit(t.look)
}
