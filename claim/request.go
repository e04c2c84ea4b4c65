package claim

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/burdockward/burdockward/claim/claimpb"
	"github.com/burdockward/burdockward/membership"
)

// callKind says what a call asks for.
type callKind uint8

const (
	kindClaim callKind = iota
	kindBurn
	kindLookup
)

// waiter is a call of Claim, Burn or Lookup that has not ended.
type waiter struct {
	number   uint64
	kind     callKind
	deadline time.Duration
}

// pending is a key with calls that wait for a decision.
type pending struct {
	token string
	// home is the tag of the key's home VM.
	home    string
	waiters []waiter
	// to is the VM to which the last request went, in view. It is empty while no
	// request could be sent.
	to     membership.Member
	view   membership.ViewID
	lookup bool
	// askedAt is the time of the last attempt, firstAt of the first one in the view.
	askedAt time.Duration
	firstAt time.Duration
}

// wantsKey reports whether any waiting call is a claim or burn.
func (p *pending) wantsKey() bool {
	return slices.ContainsFunc(p.waiters, func(w waiter) bool { return w.kind != kindLookup })
}

// Claim starts a call that asks for a key on behalf of a submission. TakeDone returns
// its end.
func (s *State) Claim(now time.Duration, number uint64, token string, h Hash) {
	s.startCall(now, waiter{number: number, kind: kindClaim}, token, h)
}

// Burn starts a call that permanently refuses a key that was not claimed before: it claims
// the key with the outcome OutcomeNotRun.
func (s *State) Burn(now time.Duration, number uint64, token string, h Hash) {
	s.startCall(now, waiter{number: number, kind: kindBurn}, token, h)
}

// Lookup starts a call that asks who has a key.
func (s *State) Lookup(now time.Duration, number uint64, token string, h Hash) {
	s.startCall(now, waiter{number: number, kind: kindLookup}, token, h)
}

// Cancel removes a call; TakeDone will not return it.
func (s *State) Cancel(number uint64, h Hash) {
	p := s.pending[h]
	if p == nil {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.number == number })
	if len(p.waiters) == 0 {
		delete(s.pending, h)
	}
}

// Return takes back a grant that its caller did not receive. The key has not been
// started, and the next Claim on this VM may get it.
func (s *State) Return(token string, h Hash) {
	epoch, _, _ := splitToken(token)
	rec, ok := s.records.get(epoch, h)
	if ok && rec.handedOut && rec.outcome == OutcomeNone && s.isSelf(rec) {
		rec.handedOut = false
		s.records.put(epoch, h, rec)
	}
}

// SetOutcome records how a key that this process runs ended.
func (s *State) SetOutcome(token string, h Hash, outcome Outcome) {
	epoch, _, _ := splitToken(token)
	rec, ok := s.records.get(epoch, h)
	if ok && rec.handedOut && s.isSelf(rec) {
		rec.outcome = outcome
		s.records.put(epoch, h, rec)
	}
}

// startCall ends a call at once if this process has the key, else adds it to the
// calls that wait for a decision on the key.
func (s *State) startCall(now time.Duration, w waiter, token string, h Hash) {
	epoch, home, valid := splitToken(token)
	if !valid {
		s.endCall(w.number, Done{Failure: failInvalid()})
		return
	}
	w.deadline = now + s.cfg.CallTimeout
	if rec, ok := s.records.get(epoch, h); ok && rec.handedOut && s.isSelf(rec) {
		s.endCall(w.number, Done{Result: s.resultOf(rec)})
		return
	}
	p := s.pending[h]
	if p == nil {
		p = &pending{token: epoch, home: home}
		s.pending[h] = p
	}
	p.waiters = append(p.waiters, w)
	if p.to.ID == "" || p.lookup && w.kind != kindLookup {
		p.firstAt = now
		s.decideOrAsk(now, h, p)
	}
}

// decideOrAsk decides on a key here or sends a request to its registrar.
func (s *State) decideOrAsk(now time.Duration, h Hash, p *pending) {
	p.to = membership.Member{}
	p.askedAt = now
	if s.m.Retired() {
		s.endAll(h, p, Done{Failure: failStopped()})
		return
	}
	if !s.m.Active() {
		return
	}
	if _, ok := s.m.Epochs().Find(p.token); !ok {
		s.endAll(h, p, Done{Failure: failExpired()})
		return
	}
	p.lookup = !p.wantsKey()
	if !p.lookup && s.blocked[p.token] {
		s.endAll(h, p, Done{Failure: failBlocked()})
		return
	}
	if !p.lookup && s.isFull() {
		s.endAll(h, p, Done{Failure: failFull()})
		return
	}
	registrar := s.ranking.registrar(p.home, h)
	if registrar.Same(s.m.Self()) {
		s.decideAsRegistrar(h, p)
		return
	}
	s.sendRequest(registrar, h, p)
}

// decideAsRegistrar decides on a key as its registrar. The backup must record a grant
// to this process before it counts. That is not needed at the home VM of the key: no
// other VM ever grants such a key.
func (s *State) decideAsRegistrar(h Hash, p *pending) {
	if !s.opened {
		return
	}
	verdict, rec := s.decide(s.m.Self(), p.token, p.home, h, p.lookup)
	backup := s.ranking.backup(h)
	if verdict == claimpb.Verdict_VERDICT_GRANTED && backup.ID != "" && !s.ranking.hasHome(p.home) {
		s.sendRequest(backup, h, p)
		return
	}
	s.resolve(h, p, verdict, rec)
}

func (s *State) sendRequest(to membership.Member, h Hash, p *pending) {
	p.to = to
	p.view = s.view
	s.send(to, &claimpb.Message{Kind: &claimpb.Message_Request{Request: &claimpb.Request{
		ViewNumber: s.view.Number,
		ViewNonce:  s.view.Nonce,
		Key:        bytes.Clone(h[:]),
		Epoch:      p.token,
		Lookup:     p.lookup,
		Home:       p.home,
	}}})
}

// decide returns the verdict on a request by the records, and records a grant.
func (s *State) decide(runner membership.Member, token, home string, h Hash, lookup bool) (claimpb.Verdict, record) {
	epoch, ok := s.m.Epochs().Find(token)
	if !ok {
		return claimpb.Verdict_VERDICT_UNLISTED, record{}
	}
	rec, known := s.records.get(token, h)
	switch {
	case known && (lookup || !s.records.runner(rec).Same(runner)):
		return claimpb.Verdict_VERDICT_TAKEN, rec
	case known && !epoch.Open:
		// The grant may be void: the records of a closed epoch are not reliable.
		return claimpb.Verdict_VERDICT_TAKEN, rec
	case known:
		return claimpb.Verdict_VERDICT_GRANTED, rec
	case !epoch.Open || s.homeIsGone(home):
		return claimpb.Verdict_VERDICT_CLOSED, record{}
	case s.blocked[token] && home != noHome:
		// This process is the home, and may have dropped the record of the key while it
		// was in another view.
		return claimpb.Verdict_VERDICT_CLOSED, record{}
	case lookup:
		return claimpb.Verdict_VERDICT_UNKNOWN, record{}
	case s.isFull():
		return claimpb.Verdict_VERDICT_FULL, record{}
	}
	rec = record{runner: s.records.internRunner(runner), home: s.records.internHome(home)}
	s.records.put(token, h, rec)
	return claimpb.Verdict_VERDICT_GRANTED, rec
}

// homeIsGone reports whether the key has a home VM that is not a member. No other VM
// may grant the key.
func (s *State) homeIsGone(home string) bool { return home != noHome && !s.ranking.hasHome(home) }

// handleRequest answers a member's request of the current view.
func (s *State) handleRequest(from membership.Member, r *claimpb.Request) {
	runner, isMember := s.m.View().Member(from.ID)
	if !s.isCurrent(r.GetViewNumber(), r.GetViewNonce()) || !isMember || !runner.Same(from) || len(r.GetKey()) != hashBytes {
		return
	}
	h := Hash(r.GetKey())
	// The registrar decides for all holders, so it must have all records first. The
	// backup only stores a copy of what the registrar has decided.
	isRegistrar := s.ranking.registrar(r.GetHome(), h).Same(s.m.Self())
	if isRegistrar && !s.opened {
		return
	}
	verdict, rec := s.decide(runner, r.GetEpoch(), r.GetHome(), h, r.GetLookup())
	s.send(from, &claimpb.Message{Kind: &claimpb.Message_Answer{Answer: &claimpb.Answer{
		ViewNumber: r.GetViewNumber(),
		ViewNonce:  r.GetViewNonce(),
		Key:        r.GetKey(),
		Epoch:      r.GetEpoch(),
		Lookup:     r.GetLookup(),
		Verdict:    verdict,
		Runner:     runnerProto(s.records.runner(rec)),
		Outcome:    uint32(rec.outcome),
	}}})
}

// handleAnswer resolves the calls for a key, if the answer belongs to the last request for
// it. It ignores any other answer.
func (s *State) handleAnswer(now time.Duration, from membership.Member, a *claimpb.Answer) {
	if !s.isCurrent(a.GetViewNumber(), a.GetViewNonce()) || len(a.GetKey()) != hashBytes {
		return
	}
	h := Hash(a.GetKey())
	p := s.pending[h]
	if p == nil || !p.to.Same(from) || p.view != s.view || p.lookup != a.GetLookup() || p.token != a.GetEpoch() {
		return
	}
	rec := record{
		runner:  s.records.internRunner(runnerFrom(a.GetRunner())),
		outcome: Outcome(a.GetOutcome()),
	}
	s.resolve(h, p, a.GetVerdict(), rec)
}

// resolve ends the calls that wait for a key according to the verdict.
func (s *State) resolve(h Hash, p *pending, verdict claimpb.Verdict, rec record) {
	switch verdict {
	case claimpb.Verdict_VERDICT_GRANTED:
		s.acceptGrant(h, p)
	case claimpb.Verdict_VERDICT_TAKEN:
		s.endAll(h, p, s.takenResult(rec, p.lookup))
	case claimpb.Verdict_VERDICT_UNKNOWN:
		s.endAll(h, p, Done{Result: Result{State: Unknown}})
	case claimpb.Verdict_VERDICT_FULL:
		s.endAll(h, p, Done{Failure: failFull()})
	case claimpb.Verdict_VERDICT_CLOSED:
		s.endAll(h, p, Done{Failure: failClosed()})
	case claimpb.Verdict_VERDICT_UNLISTED:
		s.endAll(h, p, Done{Failure: failExpired()})
	}
}

// acceptGrant records a grant as its second holder and gives it to the first claim or
// burn that waits. The caller has checked that the grant belongs to the current view
// and that this process takes part in it.
func (s *State) acceptGrant(h Hash, p *pending) {
	epoch, listed := s.m.Epochs().Find(p.token)
	if !listed || !epoch.Open {
		s.endAll(h, p, Done{Failure: failExpired()})
		return
	}
	if known, ok := s.records.get(p.token, h); ok && !s.isSelf(known) {
		s.endAll(h, p, s.takenResult(known, false))
		return
	}
	rec := record{runner: s.records.internRunner(s.m.Self()), home: s.records.internHome(p.home), handedOut: true}
	first := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.kind != kindLookup })
	if first < 0 {
		return
	}
	winner := p.waiters[first]
	p.waiters = slices.Delete(p.waiters, first, first+1)
	if winner.kind == kindBurn {
		rec.outcome = OutcomeNotRun
	}
	s.records.put(p.token, h, rec)
	result := s.resultOf(rec)
	s.endCall(winner.number, Done{Result: Result{Granted: true, Runner: result.Runner, State: result.State}})
	s.endAll(h, p, Done{Result: result})
}

// takenResult returns the end of a call for a key that is taken. If the record names
// this process but no call here got the key, an earlier view may have granted it.
// Such a grant can't be confirmed.
func (s *State) takenResult(rec record, lookup bool) Done {
	if !s.isSelf(rec) || rec.outcome != OutcomeNone {
		return Done{Result: s.resultOf(rec)}
	}
	if lookup {
		return Done{Result: Result{State: Unknown}}
	}
	return Done{Failure: failVoid()}
}

// resultOf returns the result for a recorded key that is not granted to the caller.
func (s *State) resultOf(rec record) Result {
	runner := s.records.runner(rec)
	r := Result{Runner: runner, State: Lost}
	if state, ok := outcomeStates[rec.outcome]; ok {
		r.State = state
	} else if s.isSelf(rec) || s.m.View().Has(runner.ID, runner.Incarnation) {
		r.State = Running
	}
	return r
}

func (s *State) isSelf(rec record) bool { return s.records.runner(rec).Same(s.m.Self()) }

// endAll ends all calls for a key with the same result.
func (s *State) endAll(h Hash, p *pending, d Done) {
	for _, w := range p.waiters {
		s.endCall(w.number, d)
	}
	p.waiters = nil
	delete(s.pending, h)
}

// endCall queues the end of one call for TakeDone.
func (s *State) endCall(number uint64, d Done) {
	d.Waiter = number
	s.done = append(s.done, d)
}

// tickPending ends calls that have timed out and repeats requests that are due. A VM
// that has left requests unanswered for SuspectAfter is probed.
func (s *State) tickPending(now time.Duration) {
	for _, h := range s.pendingKeys() {
		p := s.pending[h]
		s.expireCalls(now, h, p)
		if s.pending[h] == nil || now-p.askedAt < s.cfg.RetryInterval {
			continue
		}
		if p.to.ID != "" && now-p.firstAt >= s.cfg.SuspectAfter {
			s.m.Suspect(now, p.to.ID)
		}
		s.decideOrAsk(now, h, p)
	}
}

// expireCalls ends the calls for a key whose deadline has passed.
func (s *State) expireCalls(now time.Duration, h Hash, p *pending) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		late := now >= w.deadline
		if late {
			s.endCall(w.number, Done{Failure: failTimeout()})
		}
		return late
	})
	if len(p.waiters) == 0 {
		delete(s.pending, h)
	}
}

// resendPending decides or asks again about all pending keys: the view is new, or has
// just been opened.
func (s *State) resendPending(now time.Duration) {
	for _, h := range s.pendingKeys() {
		p := s.pending[h]
		p.firstAt = now
		s.decideOrAsk(now, h, p)
	}
}

// pendingKeys returns the pending keys in a fixed order.
func (s *State) pendingKeys() []Hash {
	return slices.SortedFunc(maps.Keys(s.pending), func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
}
