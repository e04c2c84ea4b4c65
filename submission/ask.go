package submission

import (
	"context"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// Ask is the kind of a caller's question about a key.
type Ask int

// The kinds of question.
const (
	// AskAnswer waits for the answer.
	AskAnswer Ask = iota
	// AskState asks for the state.
	AskState
	// AskCancel ends the submission and waits for its outcome.
	AskCancel
)

// Reply is the result of a question: an outcome, or a state while there is none.
type Reply struct {
	Outcome *Outcome
	Status  *api.Status
}

// Ask answers a caller's question about a key, whichever VM runs it.
func (s *Service) Ask(ctx context.Context, k key.Key, ask Ask) Reply {
	if e := s.table.get(k.String()); e != nil && s.runsHere(ctx, e) {
		return s.askLocal(ctx, e, ask)
	}
	claim, err := s.lookup(ctx, k)
	if err != nil {
		return Reply{Outcome: Refused(asFailure(err, k.String()))}
	}
	if claim.State == ClaimUnknown {
		return Reply{Outcome: Refused(notFoundFailure(k.String()))}
	}
	// The key may have been submitted here meanwhile.
	if e := s.table.get(k.String()); claim.Self && e != nil && s.runsHere(ctx, e) {
		return s.askLocal(ctx, e, ask)
	}
	if o := s.endedOutcome(k, claim); o != nil {
		return Reply{Outcome: o}
	}
	if ask == AskAnswer {
		return Reply{Outcome: s.join(ctx, k, 0, claim)}
	}
	return s.askRemote(ctx, k, claim, ask)
}

// askLocal answers a question about an entry that this VM runs.
func (s *Service) askLocal(ctx context.Context, e *entry, ask Ask) Reply {
	if ask == AskState && !isDone(e) {
		return Reply{Status: s.status(e.keyText)}
	}
	if ask == AskCancel {
		s.options.Dispatcher.Cancel(e.keyText)
	}
	select {
	case <-e.done:
		return Reply{Outcome: e.outcome}
	case <-ctx.Done():
		return Reply{Status: s.status(e.keyText)}
	}
}

func (s *Service) status(keyText string) *api.Status {
	state, tasks, done := s.options.Dispatcher.Look(keyText)
	return &api.Status{Key: keyText, State: state, Runner: s.options.VM, Tasks: tasks, Done: done}
}

// askRemote asks the runner for the state, or to cancel. A cancelled submission may take
// longer to end than one request may last; its outcome is then awaited.
func (s *Service) askRemote(ctx context.Context, k key.Key, claim Claim, ask Ask) Reply {
	once, cancel := context.WithTimeout(ctx, waitTimeout+waitMargin)
	defer cancel()
	response, err := s.options.Peers.Wait(once, claim.RunnerAddress, &peerpb.WaitRequest{
		Key:                 k.String(),
		ReceiverIncarnation: claim.RunnerIncarnation,
		WaitMs:              waitTimeout.Milliseconds(),
		Cancel:              ask == AskCancel,
		Look:                ask == AskState,
	})
	if err != nil {
		if o, again := replacedOutcome(k, err); !again {
			return Reply{Outcome: o}
		}
		return Reply{Outcome: Refused(asFailure(err, k.String()))}
	}
	if !response.GetKnown() {
		return Reply{Outcome: Refused(answerExpiredFailure(k.String(), api.OutcomeUnknown))}
	}
	if response.GetDone() {
		return Reply{Outcome: fromResponse(response)}
	}
	if ask == AskCancel {
		return Reply{Outcome: s.join(ctx, k, 0, claim)}
	}
	return Reply{Status: &api.Status{
		Key:    k.String(),
		State:  response.GetState(),
		Runner: claim.RunnerID,
		Tasks:  int(response.GetTasks()),
		Done:   int(response.GetTasksDone()),
	}}
}

func notFoundFailure(keyText string) *api.Failure {
	return &api.Failure{
		Kind:    api.KindNotFound,
		Message: "nobody in this failure domain knows the key: submit it, or check the key",
		Run:     api.OutcomeUnknown,
		Key:     keyText,
	}
}
