package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// A queue may have advice: only some targets may run a step, and only an adviser knows
// which. It is asked before anything of the step is placed, about the targets that have
// the most room first, and about more of them while tasks find no place on those that it
// has named.

// Ask has the adviser say which of some targets may run a step; its word goes to Advised.
type Ask struct {
	Step    string
	Targets []string
}

func (Ask) effect() {}

// Figures of advice.
const (
	// askedAtOnce is how many targets one question names: an answer takes longer with
	// each of them.
	askedAtOnce = 30
	// maxAsking bounds the questions without an answer: the adviser takes one at a time
	// from each VM and turns them away when 32 wait.
	maxAsking = 8
	// ticketMargin is left of a ticket's time for the way to its target.
	ticketMargin = 60 * time.Millisecond
	// askPause paces the questions after one without an answer.
	askPause = 200 * time.Millisecond
	// askAgain is when targets that the adviser didn't name are asked about once more,
	// should it have been mistaken for others.
	askAgain = 30 * time.Second
)

// advice is what is known of the targets that may run a step.
type advice struct {
	tickets map[string]ticket
	// asked is when each target that wasn't named was last asked about.
	asked  map[string]time.Duration
	asking bool
	// ready is when the adviser may be asked again.
	ready time.Duration
}

// ticket lets a target run the step until it is over.
type ticket struct {
	value string
	until time.Duration
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, asked: map[string]time.Duration{}}
}

// allows reports whether a target may run the step now; without advice each one may.
func (a *advice) allows(now time.Duration, target string) bool {
	if a == nil {
		return true
	}
	return now < a.tickets[target].until
}

// value is the ticket for a target; empty without advice.
func (a *advice) value(target string) string {
	if a == nil {
		return ""
	}
	return a.tickets[target].value
}

// seek asks the adviser about more targets if tasks of a step wait.
func (s *State) seek(now time.Duration, j *job, st *step) {
	a := st.advice
	if a == nil || a.asking || now < a.ready || len(st.pending) == 0 || s.asking >= maxAsking {
		return
	}
	targets := s.unadvised(now, j, st)
	if len(targets) == 0 {
		a.ready = now + askPause
		return
	}
	a.asking = true
	s.asking++
	s.asked[st.name] = st
	j.mark(now, "adviser asked", "", "", "")
	s.emit(Ask{Step: st.name, Targets: targets})
}

// unadvised lists targets that could hold a task and of which the adviser's word isn't
// known, the freest first.
func (s *State) unadvised(now time.Duration, j *job, st *step) []string {
	var among []*target
	for _, t := range j.pool.targets {
		known := st.advice.allows(now, t.ID) || st.advice.asked[t.ID] > 0 && now-st.advice.asked[t.ID] < askAgain
		if known || t.state != usable || t.Draining || t.gone || !st.fitsOn(t) {
			continue
		}
		among = append(among, t)
	}
	slices.SortFunc(among, func(a, b *target) int {
		return cmp.Or(cmp.Compare(b.free.CPU, a.free.CPU), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, t := range among[:min(len(among), askedAtOnce)] {
		ids = append(ids, t.ID)
	}
	return ids
}

// fitsOn reports whether a target that nothing runs on could hold a task of the step.
func (st *step) fitsOn(t *target) bool {
	return st.Each.Fits(t.Capacity) && st.filling <= t.Capacity.CPU && (st.Label == "" || slices.Contains(t.Labels, st.Label))
}

// Advised takes the adviser's word on the targets that an Ask named. Without an answer
// nothing is known.
func (s *State) Advised(now time.Duration, ask Ask, tickets map[string]string, valid time.Duration, answered bool) {
	st := s.asked[ask.Step]
	if st == nil {
		return
	}
	delete(s.asked, ask.Step)
	s.asking--
	a := st.advice
	a.asking = false
	if !answered {
		a.ready = now + askPause
		s.emit(Note{What: "adviser doesn't answer", Job: st.job.sub.Job.ID, Detail: ask.Step})
		return
	}
	for _, id := range ask.Targets {
		a.asked[id] = now
	}
	for id, value := range tickets {
		delete(a.asked, id)
		a.tickets[id] = ticket{value: value, until: now + valid - ticketMargin}
	}
	if !st.job.ended {
		s.wait(st.job)
	}
}

// unticketed takes a target's word that a ticket doesn't hold.
func (st *step) unticketed(target string) {
	if st.advice != nil {
		delete(st.advice.tickets, target)
	}
}
