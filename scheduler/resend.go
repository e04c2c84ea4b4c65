package scheduler

import (
	"time"

	"github.com/burdockward/burdockward/work"
)

// Orders and polls without an answer are sent again unchanged, and the first answer counts. So only
// few starts stay unconfirmed, even where many answers are lost. A copy does no harm: a target
// where the run is in progress says so, one that has seen the run end refuses the copy, and the
// lease of a copy that is carried out late has expired.
//
// How many copies are sent depends on the CPU that this process has to spare, however many targets
// it owns. If the process lacks CPU, its answers come late and look like lost ones; copies of their
// orders would make them later still.

// resendPolicy decides when orders and polls are sent again.
type resendPolicy struct {
	// mean and deviation are moving averages of how long answers take, and of how much that varies.
	mean, deviation time.Duration
	// slowMean is a moving average of how long answers take over so many answers that those of a
	// single burst don't show. minimum follows the least value of slowMean lately.
	slowMean, minimum time.Duration
	// tickDelay is a moving average of how late ticks come.
	tickDelay time.Duration
	// stalled says that the last tick came so late that answers may wait to be read.
	stalled bool
	// missed and answered count the answers that were missed and that came lately. Both decay by
	// missDecay at each tick.
	missed, answered float64
	// noCopies disables all copies.
	noCopies bool
	// budget is how many copies may be sent; each answer adds one, up to maxBudget.
	budget int
	// copiesSent counts the copies.
	copiesSent int
	// pollWait is how long a poll may wait at its target while answers are being lost.
	pollWait time.Duration
}

// Parameters of sending again.
const (
	// maxCopies bounds how often an order is sent: the last copy still has a third of the time
	// within which an order has to be answered.
	maxCopies = 4
	// minResendInterval is five times the usual answer time of a target.
	minResendInterval = 15 * time.Millisecond
	// maxResendInterval allows all copies to be sent within the time of an order.
	maxResendInterval = 30 * time.Millisecond
	// meanWeight, deviationWeight and deviationFactor are those of TCP's retransmission timeout.
	meanWeight, deviationWeight = 0.125, 0.25
	deviationFactor             = 4
	// slowMeanWeight averages over some 60 answers: a job of eight tasks makes a burst of that
	// many, and the last of them is read after all others.
	slowMeanWeight = 1.0 / 64
	// minimumWeight lets the minimum rise within some thousand answers, which is a few seconds.
	minimumWeight = 1.0 / 4096
	// There is ample CPU while ticks are at most ampleTickDelay late, and while answers take at
	// most ampleFactor times the minimum plus ampleSlack. Then more polls delay no first start.
	ampleTickDelay = 1500 * time.Microsecond
	ampleFactor    = 1.5
	ampleSlack     = time.Millisecond
	// stallGap is twice the time between two ticks, less the variation of timers.
	stallGap = 2*TickInterval - 5*time.Millisecond
	// tickDelayWeight averages the lateness of ticks over a sixth of a second.
	tickDelayWeight = 0.125
	// spareTickDelay is the mean lateness of ticks up to which there is CPU to spare. A single
	// server that is busy half of its time delays what arrives by about the time of one batch of
	// messages, which is some milliseconds.
	spareTickDelay = 6 * time.Millisecond
	// promptAnswer is the mean answer time up to which copies are sent. It is two thirds of
	// maxResendInterval: with slower answers the answer would often come after the copy was sent.
	// Ticks alone don't show this: they are on time while hundreds of answers wait to be read.
	promptAnswer = 20 * time.Millisecond
	// missDecay leaves about a third of a count after one second.
	missDecay = 0.98
	// lossShare is the share of answers that must be missed for more losses to be expected. For
	// an owner of 220 targets, a single target that is gone misses one answer in two hundred.
	// Without this limit it would have all targets polled five times as often.
	lossShare = 0.01
	// maxBudget is the most copies in a row without any answer. It covers the orders lost at a few
	// targets, but not all first polls of a takeover.
	maxBudget = 64
	// pollWaitGrowth and pollWaitDecline change pollWait at each tick. It grows to five times its
	// value within 80 ms of lacking CPU, and shrinks back within 300 ms of ample CPU.
	pollWaitGrowth, pollWaitDecline = 1.5, 0.9
	// answerTimeout is how long the first copy of an order may go unanswered while others are on
	// their way: the adapter's timeout, less the variation of its timer.
	answerTimeout = 110 * time.Millisecond
)

// newResendPolicy returns a policy with full budget and short polls, for a process's first orders.
func newResendPolicy(noCopies bool) resendPolicy {
	return resendPolicy{noCopies: noCopies, budget: maxBudget, pollWait: shortPollWait}
}

// tick updates the policy with the time since the last tick.
func (r *resendPolicy) tick(gap time.Duration) {
	r.missed *= missDecay
	r.answered *= missDecay
	late := max(gap-TickInterval, 0)
	r.tickDelay += time.Duration(tickDelayWeight * float64(late-r.tickDelay))
	r.stalled = gap > stallGap
}

// hasSpareCPU reports whether this process has CPU to spare: its ticks are on time, and answers
// don't wait to be read.
func (r *resendPolicy) hasSpareCPU() bool {
	return !r.stalled && r.tickDelay <= spareTickDelay && r.slowMean <= promptAnswer
}

// hasAmpleCPU reports whether there is so much spare CPU that more polls delay no answer.
func (r *resendPolicy) hasAmpleCPU() bool {
	return r.hasSpareCPU() && r.tickDelay <= ampleTickDelay && r.slowMean <= time.Duration(ampleFactor*float64(r.minimum))+ampleSlack
}

// adjustPollWait makes polls wait shorter while there is ample CPU, and longer otherwise.
func (r *resendPolicy) adjustPollWait(longest time.Duration) {
	factor := pollWaitDecline
	if !r.hasAmpleCPU() {
		factor = pollWaitGrowth
	}
	r.pollWait = min(max(time.Duration(factor*float64(r.pollWait)), shortPollWait), longest)
}

// needsSecondPoll reports whether a second poll is to wait at a target beside each first one:
// answers are being lost, polls are as short as they get, and there is ample CPU for more of them.
func (s *State) needsSecondPoll(now time.Duration) bool {
	return s.losesAnswers(now) && s.resend.hasAmpleCPU() && s.resend.pollWait == shortPollWait
}

// countAnswer counts an answer of a target and adds it to the budget for copies.
func (r *resendPolicy) countAnswer(verdict work.Verdict) {
	if !isUnanswered(verdict) && verdict != work.VerdictUnsent {
		r.answered++
		r.budget = min(r.budget+1, maxBudget)
	}
}

// RecordAnswerTime says how long the answer to one copy of an order took until it was read.
func (s *State) RecordAnswerTime(took time.Duration) { s.resend.observe(took) }

// observe updates the averages with the time that one answer took.
func (r *resendPolicy) observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		r.slowMean, r.minimum = took, took
		return
	}
	r.slowMean += time.Duration(slowMeanWeight * float64(took-r.slowMean))
	r.minimum = min(r.minimum+time.Duration(minimumWeight*float64(r.slowMean-r.minimum)), r.slowMean)
	r.deviation += time.Duration(deviationWeight * float64((took-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
}

// resendInterval is how long a copy waits for its answer before the next one is sent.
func (r *resendPolicy) resendInterval() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, minResendInterval), maxResendInterval)
}

// orderCopies are the copies of one order or poll.
type orderCopies struct {
	// lastSent is when the last one was sent.
	lastSent time.Duration
	// count is how many there are, unanswered how many of them have no answer yet.
	count, unanswered int
}

// add counts a copy that is sent now.
func (c *orderCopies) add(now time.Duration) {
	c.lastSent = now
	c.count++
	c.unanswered++
}

// takeBudget spends the budget for one copy, and reports whether there was any.
func (r *resendPolicy) takeBudget() bool {
	if r.noCopies || r.budget == 0 {
		return false
	}
	r.budget--
	r.copiesSent++
	return true
}

// takeDueCopy reports whether the next copy is due and may be sent, and spends its budget. wait is
// how long the target may hold back its answer.
func (r *resendPolicy) takeDueCopy(now time.Duration, c *orderCopies, wait time.Duration) bool {
	return c.count < maxCopies && now-c.lastSent >= wait+r.resendInterval() && r.hasSpareCPU() && r.takeBudget()
}

// recordMissedAnswer counts an answer that should have come. Those of a silent target say nothing
// about the other targets and don't count.
func (s *State) recordMissedAnswer(now time.Duration, t *target) {
	if t.state == usable {
		s.lastMissedAnswer = now
		s.resend.missed++
	}
}

// resendDueStart sends a start again that has had no answer for resendInterval.
func (s *State) resendDueStart(now time.Duration, r *run) {
	if r.state == ordered && r.stop == nil && !s.startsBlocked(now) && !r.target.mayHaveRestarted(now) && s.resend.takeDueCopy(now, &r.copies, 0) {
		s.sendStart(now, r)
		if r.copies.count > 2 {
			s.recordMissedAnswer(now, r.target)
		}
	}
}

// resendBrokenStart sends a start again at once after its connection broke, and reports whether it
// did. No answer to that copy will come, and another copy costs less than to stop the run and start
// its task elsewhere.
func (s *State) resendBrokenStart(now time.Duration, r *run) bool {
	if r.state != ordered || r.stop != nil || s.startsBlocked(now) || r.target.mayHaveRestarted(now) || r.copies.count >= maxCopies || now-r.ordered >= answerTimeout || !s.resend.takeBudget() {
		return false
	}
	s.sendStart(now, r)
	return true
}

// pollForDueRuns polls a target at once for a run that should have ended, while answers are being
// lost. So the completion of a short task is known within tens of milliseconds, even while polls
// wait long.
func (s *State) pollForDueRuns(now time.Duration, t *target) {
	if !s.losesAnswers(now) {
		return
	}
	for _, r := range t.runs {
		if r.state == running && r.stop == nil && r.shouldHaveEnded(now) {
			s.pollNow(now, t)
			return
		}
	}
}

// After dueFactor times the expected run time plus dueSlack most runs have ended, and their
// completions have been reported.
const (
	dueFactor = 1.25
	dueSlack  = 10 * time.Millisecond
)

// shouldHaveEnded reports whether most runs of this expected time would have ended by now.
// Lasting tasks don't end, and background tasks get too little CPU for their time to tell.
func (r *run) shouldHaveEnded(now time.Duration) bool {
	return !r.task.step.Lasting && !r.task.step.Background && now-r.ordered > time.Duration(dueFactor*float64(r.expected))+dueSlack
}

// pollNow sends a copy of the poll that waits at the target; the copy asks for an answer at once.
func (s *State) pollNow(now time.Duration, t *target) {
	if !t.pollPending || !s.resend.takeDueCopy(now, &t.pollCopies, 0) {
		return
	}
	t.pollCopies.add(now)
	poll := t.poll
	poll.Wait = 0
	s.emit(poll)
}

// resendPoll sends a poll again that should have been answered; the copy asks for an answer at
// once. While answers are being lost, a second poll soon waits beside each first one: if a
// completion is reported only to a lost poll, that costs a short task its slack.
func (s *State) resendPoll(now time.Duration, t *target) {
	c := &t.pollCopies
	switch {
	case !t.pollPending:
		return
	case c.count == 1 && s.needsSecondPoll(now) && s.resend.takeDueCopy(now, c, 0):
	case s.resend.takeDueCopy(now, c, t.poll.Wait):
		s.recordMissedAnswer(now, t)
		t.poll.Wait = 0
	default:
		return
	}
	c.add(now)
	s.emit(t.poll)
}
