package owner

import (
	"context"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// sendStart starts a run on a target, unless the decision is older than maxStartAge or SendBy is over.
func (o *Owner) sendStart(ctx context.Context, e scheduler.StartRun, decided time.Duration) {
	token, began := o.token.Load(), bootclock.Now()
	o.noteLateOrder("start", e.To.ID, e.Run, token, began-decided)
	answer := work.OrderAnswer{Verdict: work.VerdictStaleToken}
	if began-decided <= maxStartAge && (e.SendBy == 0 || began <= e.SendBy) {
		answer = o.targets.Start(ctx, e.To, e.StartOrder, token)
	}
	answer.Verdict = scheduler.ResolveVerdict(answer.Verdict, token, o.token.Load())
	o.options.Count("starts", answer.Verdict.String())
	o.options.Observe("start_answer", bootclock.Now()-began)
	o.post(ctx, func(now time.Duration) {
		o.recordAnswerTime(answer.Verdict, now-decided)
		o.state.HandleStartAnswer(now, e.To.ID, e.Run, answer)
	})
}

// sendStop stops a run on a target.
func (o *Owner) sendStop(ctx context.Context, e scheduler.StopRun, decided time.Duration) {
	token := o.token.Load()
	o.noteLateOrder("stop", e.To.ID, e.Run, token, bootclock.Now()-decided)
	answer := o.targets.Stop(ctx, e.To, e.Run, token)
	answer.Verdict = scheduler.ResolveVerdict(answer.Verdict, token, o.token.Load())
	o.options.Count("stops", answer.Verdict.String())
	o.post(ctx, func(now time.Duration) {
		o.recordAnswerTime(answer.Verdict, now-decided)
		o.state.HandleStopAnswer(now, e.To.ID, e.Run, answer)
	})
}

// poll asks a target for its runs and completions.
func (o *Owner) poll(ctx context.Context, e scheduler.Poll, decided time.Duration) {
	token := o.token.Load()
	if e.LeaseUntil > 0 {
		o.noteLateOrder("poll", e.To.ID, work.RunID{}, token, bootclock.Now()-decided)
	}
	answer, verdict := o.targets.Poll(ctx, e.To, token, e.LeaseUntil, e.AckUpTo, e.Wait)
	verdict = scheduler.ResolveVerdict(verdict, token, o.token.Load())
	o.options.Count("looks", verdict.String())
	o.post(ctx, func(now time.Duration) {
		// A long poll waits at the target, so its time says nothing about this process.
		if e.Wait == 0 {
			o.recordAnswerTime(verdict, now-decided)
		}
		o.state.HandlePollAnswer(now, e.To.ID, e.SentAt, answer, verdict)
	})
}

// recordAnswerTime records in the State how long an answer took, from the decision to send the
// order until the loop handles the answer. That includes the delays within this process.
func (o *Owner) recordAnswerTime(verdict work.Verdict, took time.Duration) {
	switch verdict {
	case work.VerdictUnknown, work.VerdictConnectionLost, work.VerdictUnsent:
	default:
		o.state.RecordAnswerTime(took)
	}
}

// askAdviser asks the adviser which targets may run a step.
func (o *Owner) askAdviser(ctx context.Context, e scheduler.AskAdviser) {
	var tickets map[string]string
	var valid time.Duration
	err := error(errNoAdviser)
	began := bootclock.Now()
	if o.options.Advise != nil {
		tickets, valid, err = o.options.Advise(ctx, e.Step, e.Targets)
	}
	result := "ok"
	if err != nil {
		result = "failed"
		o.options.Log.Warn("adviser not asked", "step", e.Step, "targets", len(e.Targets), "error", err)
	}
	o.options.Count("advice", result)
	o.options.Observe("advice", bootclock.Now()-began)
	o.post(ctx, func(now time.Duration) { o.state.Advised(now, e, tickets, valid, err == nil) })
}

// errNoAdviser is logged for a queue that requires advice while no adviser is configured.
var errNoAdviser = errs.Tag("no adviser").Errorf("no adviser is configured: set \"advice\" to its address")
