package entry

import "time"

// Parameters of the balanced choice.
const (
	// messagesPerAnswer is the number of messages in a row that an owner's processor handles for a
	// job (its arrival, a start, a completion), divided by that of an answer time (an order and its
	// answer).
	messagesPerAnswer = 1.5
	// balanceRange is by how much longer than the shortest delay an owner's delay may be before it
	// gets no more jobs. Wider ranges send jobs to owners where they start late.
	balanceRange = 25 * time.Millisecond
)

// Choice is a chosen owner.
type Choice struct {
	// Index is that of the candidate; -1 if there is none to ask.
	Index int
	// Reason says why it was chosen, for counters.
	Reason string
}

// Reasons of a Choice.
const (
	reasonNear  = "near"
	reasonDrawn = "drawn by delay"
	reasonOnly  = "no report"
)

// ChooseBalanced returns the owner to ask. The near owner gets the job while it delays jobs by at
// most farPenalty more than the best one. Otherwise the owner is drawn: the shorter an owner's
// delay, the more often it is drawn, so that delays become equal and VMs with the same reports
// don't all choose the same owner. Owners that are not Unconfirmed are preferred. Draw is a random
// number from 0 to 1.
func ChooseBalanced(candidates []Candidate, draw float64) Choice {
	for _, unconfirmed := range []bool{false, true} {
		if c := drawOwner(candidates, draw, unconfirmed); c.Index >= 0 {
			return c
		}
		if index := chooseAmong(candidates, draw, unconfirmed); index >= 0 {
			return Choice{Index: index, Reason: reasonOnly}
		}
	}
	return Choice{Index: -1}
}

// drawOwner is ChooseBalanced among the candidates that have reported and whose Unconfirmed equals
// the argument. The index is -1 if there are none.
func drawOwner(candidates []Candidate, draw float64, unconfirmed bool) Choice {
	least := shortestDelay(candidates, unconfirmed)
	total, last := 0.0, -1
	for i, c := range candidates {
		if !c.canBeDrawn(unconfirmed) {
			continue
		}
		if c.Near && c.delay() <= least+farPenalty {
			return Choice{Index: i, Reason: reasonNear}
		}
		total += c.weight(least)
	}
	left := draw * total
	for i, c := range candidates {
		if !c.canBeDrawn(unconfirmed) || c.weight(least) == 0 {
			continue
		}
		last = i
		if left -= c.weight(least); left < 0 {
			break
		}
	}
	return Choice{Index: last, Reason: reasonDrawn}
}

// shortestDelay returns the shortest delay of the candidates that can be drawn.
func shortestDelay(candidates []Candidate, unconfirmed bool) time.Duration {
	least := time.Duration(-1)
	for _, c := range candidates {
		if c.canBeDrawn(unconfirmed) && (least < 0 || c.delay() < least) {
			least = c.delay()
		}
	}
	return least
}

// canBeDrawn reports whether an owner may be asked and its delay is known. A near owner without a
// report has just taken over or is the first one; its jobs stay near, as they do without balance.
func (c Candidate) canBeDrawn(unconfirmed bool) bool {
	return !c.HasRefused && c.Unconfirmed == unconfirmed && (c.HasReport || c.Near)
}

// delay returns the time that a job loses at an owner, waiting for targets and for the owner's
// processor.
func (c Candidate) delay() time.Duration {
	return c.Wait + time.Duration(messagesPerAnswer*float64(c.AnswerTime))
}

// weight returns how often an owner is drawn, relative to others.
func (c Candidate) weight(least time.Duration) float64 {
	return max(0, 1-float64(c.delay()-least)/float64(balanceRange))
}
