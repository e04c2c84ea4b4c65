package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// With advice on a queue, only some targets may run a step, and only an adviser knows which. It is
// asked before any task of the step is placed: first about the targets with the most free
// processor, then about more while tasks find no capacity on the targets that it has named.

// AskAdviser asks the adviser which of some targets may run a step; the answer goes to Advised.
type AskAdviser struct {
	Step    string
	Targets []string
}

func (AskAdviser) effect() {}

// Parameters of requests to the adviser.
const (
	// maxAskedTargets is how many targets one request names: each of them makes the answer take
	// longer.
	maxAskedTargets = 30
	// maxOpenRequests bounds the unanswered requests. The adviser handles one at a time from each
	// VM and rejects further ones when 32 wait.
	maxOpenRequests = 8
	// ticketMargin is the part of a ticket's validity left for the start order to reach its
	// target.
	ticketMargin = 60 * time.Millisecond
	// adviserRetryInterval is the pause after a request without an answer.
	adviserRetryInterval = 200 * time.Millisecond
	// adviserRepeatInterval is when targets that the adviser did not name are asked about again, in
	// case it mistook them for others.
	adviserRepeatInterval = 30 * time.Second
)

// advice is what is known of the targets that may run a step.
type advice struct {
	tickets map[string]ticket
	// ticketsUntil is when the last of the tickets expires.
	ticketsUntil time.Duration
	// excludedAt is when the adviser last left out each target that it was asked about.
	excludedAt map[string]time.Duration
	// asking is set while a request has no answer.
	asking bool
	// nextRequest is when the adviser may be asked again.
	nextRequest time.Duration
}

// ticket permits a target to run the step until it expires.
type ticket struct {
	value string
	until time.Duration
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, excludedAt: map[string]time.Duration{}}
}

// allows reports whether a target may run the step now; without advice any target may.
func (a *advice) allows(now time.Duration, target string) bool {
	if a == nil {
		return true
	}
	return now < a.tickets[target].until
}

// excludes reports whether the adviser left a target out when it was last asked about it.
func (a *advice) excludes(target string) bool { return a != nil && a.excludedAt[target] > 0 }

// ticketFor returns the ticket for a target; empty without advice.
func (a *advice) ticketFor(target string) string {
	if a == nil {
		return ""
	}
	return a.tickets[target].value
}

// askAdviser asks the adviser about more targets if tasks of a step wait.
func (s *State) askAdviser(now time.Duration, j *job, st *step) {
	a := st.advice
	if a == nil || a.asking || now < a.nextRequest || len(st.pending) == 0 || s.openAdviserRequests >= maxOpenRequests {
		return
	}
	targets := s.targetsToAsk(now, j, st)
	if len(targets) == 0 {
		a.nextRequest = now + adviserRetryInterval
		return
	}
	a.asking = true
	s.openAdviserRequests++
	s.adviserRequests[st.name] = st
	j.record(now, "adviser asked", "", "", "")
	s.emit(AskAdviser{Step: st.name, Targets: targets})
}

// targetsToAsk lists targets that could hold a task and on which the adviser's answer is not known,
// those with the most free processor first.
func (s *State) targetsToAsk(now time.Duration, j *job, st *step) []string {
	var candidates []*target
	for _, t := range j.pool.targets {
		known := st.advice.allows(now, t.ID) || st.advice.excludedAt[t.ID] > 0 && now-st.advice.excludedAt[t.ID] < adviserRepeatInterval
		if known || t.state != usable || t.Draining || t.retired || !st.fitsEmpty(t) {
			continue
		}
		candidates = append(candidates, t)
	}
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(cmp.Compare(b.free.CPU, a.free.CPU), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, t := range candidates[:min(len(candidates), maxAskedTargets)] {
		ids = append(ids, t.ID)
	}
	return ids
}

// fitsEmpty reports whether a target with no runs could hold a task of the step.
func (st *step) fitsEmpty(t *target) bool {
	return st.PerTask.FitsIn(t.Capacity) && st.backgroundCPU <= t.Capacity.CPU && (st.RequiredLabel == "" || slices.Contains(t.Labels, st.RequiredLabel))
}

// Advised takes the adviser's answer on the targets that an AskAdviser named. Without an answer
// nothing is learned.
func (s *State) Advised(now time.Duration, request AskAdviser, tickets map[string]string, valid time.Duration, answered bool) {
	st := s.adviserRequests[request.Step]
	if st == nil {
		return
	}
	delete(s.adviserRequests, request.Step)
	s.openAdviserRequests--
	a := st.advice
	a.asking = false
	if !answered {
		a.nextRequest = now + adviserRetryInterval
		s.emit(LogEvent{Message: "adviser doesn't answer", Job: st.job.sub.Job.ID, Detail: request.Step})
		return
	}
	for _, id := range request.Targets {
		a.excludedAt[id] = now
	}
	for id, value := range tickets {
		delete(a.excludedAt, id)
		a.tickets[id] = ticket{value: value, until: now + valid - ticketMargin}
		a.ticketsUntil = max(a.ticketsUntil, a.tickets[id].until)
	}
	if !st.job.ended {
		s.enqueue(st.job)
	}
}

// dropTicket discards the ticket of a target that rejected it.
func (st *step) dropTicket(target string) {
	if st.advice != nil {
		delete(st.advice.tickets, target)
	}
}
