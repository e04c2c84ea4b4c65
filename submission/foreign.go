package submission

import (
	"context"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/domains"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// AskForeign answers a question about a key of another failure domain. Nothing was
// started here, but the key may have been submitted at its home, so the outcome is
// unknown.
func (s *Service) AskForeign(_ context.Context, k key.Key) *Outcome {
	return s.wrongDomain(k, api.OutcomeUnknown, "submit there; if it can't be reached and this key was never sent before, "+takeNewKey)
}

const takeNewKey = "take a key of this failure domain from GET /v1/epoch"

// SubmitForeign answers a submission whose key belongs to another failure domain. It has
// the key burned at its home, so that "not run" is certain and stays true. The outcome is
// unknown when the home can't be reached or can't decide.
func (s *Service) SubmitForeign(ctx context.Context, k key.Key) *Outcome {
	ctx, span := s.tracer.Start(ctx, "burn")
	defer span.End()
	r := s.options.Domains.Burn(ctx, k)
	there := "ask there for the answer of this key, at " + r.GetCallersAddress()
	switch r.GetState() {
	case peerpb.KeyState_KEY_STATE_NOT_RUN:
		return s.wrongDomain(k, api.NotRun, "it was refused there for good and nothing was started: submit under a new key, "+takeNewKey)
	case peerpb.KeyState_KEY_STATE_RUNNING:
		return s.wrongDomain(k, api.OutcomeUnknown, "it runs there, at "+r.GetRunner()+": "+there)
	case peerpb.KeyState_KEY_STATE_COMPLETED:
		return s.wrongDomain(k, api.Completed, "every task ran there: "+there)
	case peerpb.KeyState_KEY_STATE_FAILED:
		return s.wrongDomain(k, api.Failed, "it was run there and failed: "+there)
	case peerpb.KeyState_KEY_STATE_LOST:
		return s.wrongDomain(k, api.OutcomeUnknown, "the VM that ran it there is lost: check the work's effect before you submit it under a new key, or submit at once if it is idempotent")
	}
	return s.AskForeign(ctx, k)
}

// wrongDomain returns the refusal of a key of another failure domain.
func (s *Service) wrongDomain(k key.Key, run api.RunState, advice string) *Outcome {
	return Refused(&api.Failure{
		Kind:    api.KindWrongDomain,
		Message: "the key belongs to failure domain " + k.Domain + ", this VM serves " + s.options.Domain + ": " + advice,
		Run:     run,
		Key:     k.String(),
	})
}

// ServeBurn implements peer.Burner. It burns a key of this failure domain that was
// submitted in another one, unless a process here has it already.
func (s *Service) ServeBurn(ctx context.Context, r *peerpb.BurnRequest) *peerpb.BurnResponse {
	response := &peerpb.BurnResponse{Key: r.GetKey(), CallersAddress: s.options.CallersAddress}
	k, err := key.Parse(r.GetKey())
	if err != nil {
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, domains.ServeTimeout)
	defer cancel()
	claim, err := s.options.Claims.Burn(ctx, k)
	if err != nil {
		return response
	}
	if claim.Granted {
		s.burned.Inc(1)
		s.explanations.add(r.GetKey(), "burned: it was submitted in another failure domain")
		response.State = peerpb.KeyState_KEY_STATE_NOT_RUN
		return response
	}
	s.describe(ctx, k, claim, response)
	return response
}

// describe sets the state of a key that a process has. The claim records may not say how
// the key ended, so the runner is asked.
func (s *Service) describe(ctx context.Context, k key.Key, claim Claim, response *peerpb.BurnResponse) {
	response.Runner = claim.RunnerID
	reply := s.Ask(ctx, k, AskState)
	switch {
	case reply.Status != nil:
		response.State = peerpb.KeyState_KEY_STATE_RUNNING
	case reply.Outcome.Run == api.NotRun:
		response.State = peerpb.KeyState_KEY_STATE_NOT_RUN
	case reply.Outcome.Run == api.Completed:
		response.State = peerpb.KeyState_KEY_STATE_COMPLETED
	case reply.Outcome.Run == api.Failed:
		response.State = peerpb.KeyState_KEY_STATE_FAILED
	case claim.State == ClaimLost || reply.Outcome.Kind == api.KindRunnerLost:
		response.State = peerpb.KeyState_KEY_STATE_LOST
	}
}
