package scheduler

import "time"

// Orders and looks without an answer are sent again, unchanged: where a fifth of them
// stays unanswered and the first answer to one of four copies counts, one start in six
// hundred is left in doubt, instead of one in five. A copy does no harm: a target that has
// the run says so, one that has seen its end refuses it, and a copy that is carried out
// late finds its lease over.

// resending decides when.
type resending struct {
	// mean and deviation are moving averages of how long answers take.
	mean, deviation time.Duration
	// stalled says that the last tick came late, or that there are too many targets: this
	// process has no processor to spare, answers may wait to be read, and copies would add
	// to the load.
	stalled bool
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
	// stallGap is twice the time between two ticks, less what timers vary by.
	stallGap = 35 * time.Millisecond
	// maxResending is the most targets of an owner that has the processor for copies. With
	// 117 targets they filled it after each loss of VMs, so that answers came late, were taken
	// for lost, and days with trouble lost up to a quarter of their worth.
	maxResending = 40
	// promptAnswer is the mean time of answers up to which the process isn't short of
	// processor: two or three times the usual one.
	promptAnswer = 8 * time.Millisecond
	// answerTime is how long the first copy of an order may go unanswered while others are
	// on their way: what the adapter waits for an answer, less what its timer varies by.
	answerTime = 110 * time.Millisecond
)

// looksTwice reports whether a second look waits beside each one: answers get lost, and
// it isn't for want of processor that they come late.
func (s *State) looksTwice(now time.Duration) bool {
	return s.unsettled(now) && s.resend.mean <= promptAnswer
}

// learn takes the time of an answer to the one copy that was sent.
func (r *resending) learn(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
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

// due reports whether the next copy is to be sent.
func (r *resending) due(now time.Duration, c *copies, wait time.Duration) bool {
	return !r.stalled && c.count < maxCopies && now-c.sent >= wait+r.pause()
}

// startAgain sends a start without an answer again.
func (s *State) startAgain(now time.Duration, r *run) {
	if r.state == ordered && r.stop == nil && s.resend.due(now, &r.copies, 0) {
		s.sendStart(now, r)
		if r.copies.count > 2 {
			s.disturbed = now
		}
	}
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
		s.disturbed = now
		t.look.Wait = 0
	default:
		return
	}
	c.add(now)
	s.emit(t.look)
}
