package submission

import (
	"context"
	"encoding/json"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/twitchtv/twirp"
)

const (
	// waitTimeout is how long a runner may take to respond to one request for an answer.
	// A runner that is silent for waitTimeout and waitMargin is looked up again.
	waitTimeout = 2 * time.Second
	waitMargin  = 500 * time.Millisecond
	// joinTimeout bounds the wait for another VM's answer. Deadlines are shorter, so the
	// runner ends every submission earlier.
	joinTimeout = 10 * time.Minute
	// lookupPause is the pause before the next lookup.
	lookupPause = 100 * time.Millisecond
)

// join waits for the outcome of a key from its runner. It ends when the runner answers,
// or when the failure domain reports that the runner is lost.
func (s *Service) join(ctx context.Context, k key.Key, fingerprint uint64, claim Claim) *Outcome {
	ctx, span := s.tracer.Start(ctx, "join")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		if o := s.endedOutcome(k, claim); o != nil {
			return o
		}
		o, again := s.askRunner(ctx, k, fingerprint, claim)
		if !again {
			return o
		}
		next, err := s.lookupSoon(ctx, k)
		if ctx.Err() != nil {
			return Refused(stillRunningFailure(k.String()))
		}
		if err != nil {
			return Refused(asFailure(err, k.String()))
		}
		claim = next
	}
}

// endedOutcome returns the outcome of a claim for which no runner has an answer, or nil.
func (s *Service) endedOutcome(k key.Key, claim Claim) *Outcome {
	switch {
	case claim.State == ClaimLost || claim.State == ClaimUnknown:
		return Refused(runnerLostFailure(k.String()))
	case claim.State == ClaimEnded:
		return Refused(answerExpiredFailure(k.String(), claim.Run))
	case claim.Self:
		// This VM ran the key and has dropped the answer.
		return Refused(answerExpiredFailure(k.String(), claim.Run))
	}
	return nil
}

// askRunner asks the runner once for the outcome. If again is true, the claim must be
// looked up before the next request.
func (s *Service) askRunner(ctx context.Context, k key.Key, fingerprint uint64, claim Claim) (o *Outcome, again bool) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout+waitMargin)
	defer cancel()
	response, err := s.options.Peers.Wait(ctx, claim.RunnerAddress, &peerpb.WaitRequest{
		Key:                 k.String(),
		ReceiverIncarnation: claim.RunnerIncarnation,
		WaitMs:              waitTimeout.Milliseconds(),
		Fingerprint:         fingerprint,
	})
	if err != nil {
		return replacedOutcome(k, err)
	}
	if !response.GetKnown() {
		return Refused(answerExpiredFailure(k.String(), api.OutcomeUnknown)), false
	}
	if !response.GetDone() {
		return nil, true
	}
	return fromResponse(response), false
}

// replacedOutcome distinguishes a replaced process, whose submissions are lost, from one
// that does not answer now. For the latter it returns nil and true.
func replacedOutcome(k key.Key, err error) (*Outcome, bool) {
	if e, ok := err.(twirp.Error); ok && e.Code() == twirp.FailedPrecondition {
		return Refused(runnerLostFailure(k.String())), false
	}
	return nil, true
}

// fromResponse returns the outcome that another VM answered.
func fromResponse(r *peerpb.WaitResponse) *Outcome {
	kind, run := failureOf(r)
	return &Outcome{
		Kind:       kind,
		Run:        run,
		Status:     int(r.GetStatus()),
		Body:       r.GetBody(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// failureOf returns the failure kind and the run state in another VM's answer.
func failureOf(r *peerpb.WaitResponse) (api.Kind, api.RunState) {
	if r.GetStatus() == statusOK {
		return "", api.Completed
	}
	var body api.FailureBody
	if json.Unmarshal(r.GetBody(), &body) != nil || body.Error == nil {
		return api.KindInternal, api.OutcomeUnknown
	}
	return body.Error.Kind, body.Error.Run
}

// lookupSoon looks a key up after a pause.
func (s *Service) lookupSoon(ctx context.Context, k key.Key) (Claim, error) {
	pause := time.NewTimer(lookupPause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return s.lookup(ctx, k)
}

// lookup asks which process has a key, for at most ClaimTimeout.
func (s *Service) lookup(ctx context.Context, k key.Key) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	return s.options.Claims.Lookup(ctx, k)
}

// ServeWait implements peer.Waiter for submissions that this VM runs.
func (s *Service) ServeWait(ctx context.Context, r *peerpb.WaitRequest) *peerpb.WaitResponse {
	e := s.table.get(r.GetKey())
	if e == nil {
		return s.responseWithoutEntry(ctx, r.GetKey())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMs())*time.Millisecond)
	defer cancel()
	// Wait also for an entry that is not local yet: the asking VM may learn of a grant
	// from the registrar before this VM does.
	here := s.runsHere(ctx, e)
	if f := r.GetFingerprint(); f != 0 && f != e.fingerprint {
		if !here {
			return s.lookResponse(r.GetKey())
		}
		return toResponse(Refused(conflictFailure(r.GetKey())))
	}
	if r.GetCancel() {
		s.options.Dispatcher.Cancel(r.GetKey())
	}
	if r.GetLook() && !isDone(e) {
		return s.lookResponse(r.GetKey())
	}
	select {
	case <-e.done:
		return toResponse(e.outcome)
	case <-ctx.Done():
		return s.lookResponse(r.GetKey())
	}
}

// responseWithoutEntry returns the response for a key that has no entry here. The claim
// records may still say how it ended.
func (s *Service) responseWithoutEntry(ctx context.Context, keyText string) *peerpb.WaitResponse {
	k, err := key.Parse(keyText)
	if err != nil {
		return &peerpb.WaitResponse{}
	}
	claim, err := s.lookup(ctx, k)
	if err != nil || !claim.Self {
		return &peerpb.WaitResponse{}
	}
	return toResponse(Refused(answerExpiredFailure(keyText, claim.Run)))
}

func isDone(e *entry) bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// lookResponse returns the response for an unfinished submission.
func (s *Service) lookResponse(keyText string) *peerpb.WaitResponse {
	state, tasks, done := s.options.Dispatcher.Look(keyText)
	return &peerpb.WaitResponse{Known: true, State: state, Tasks: int32(tasks), TasksDone: int32(done)}
}

func toResponse(o *Outcome) *peerpb.WaitResponse {
	return &peerpb.WaitResponse{
		Known:        true,
		Done:         true,
		Status:       int32(o.Status),
		Body:         o.Body,
		RetryAfterMs: o.RetryAfter.Milliseconds(),
	}
}

func stillRunningFailure(keyText string) *api.Failure {
	return &api.Failure{
		Kind:    api.KindUnavailable,
		Message: "the submission is still running at another VM: ask for the answer of this key",
		Run:     api.OutcomeUnknown,
		Key:     keyText,
	}
}

func runnerLostFailure(keyText string) *api.Failure {
	return &api.Failure{
		Kind:    api.KindRunnerLost,
		Message: "the VM that ran the submission is lost and nobody can know what it started: check the work's effect before you submit it under a new key, or submit at once if it is idempotent",
		Run:     api.OutcomeUnknown,
		Key:     keyText,
	}
}

func answerExpiredFailure(keyText string, run api.RunState) *api.Failure {
	f := &api.Failure{Kind: api.KindAnswerExpired, Run: run, Key: keyText}
	switch run {
	case api.NotRun:
		f.Message = "the submission was refused and not run, the reason is no longer kept: submit under a new key"
	case api.Completed:
		f.Message = "every task ran, the answer is no longer kept: read the work's effect at the service"
	case api.Failed:
		f.Message = "the submission was run and failed, the details are no longer kept: check the work's effect before you submit under a new key"
	default:
		f.Message = "the submission was claimed and its answer is no longer kept: check the work's effect before you submit under a new key"
	}
	return f
}
