package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/claim"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/submission"
)

// outcomesSize is the largest number of outcomes that wait for the claim duty.
const outcomesSize = 8192

func (d *Daemon) newClaims() *claim.Duty {
	m := d.settings.Membership
	return claim.NewDuty(claim.Options{
		Membership: membership.Config{
			Self:              d.self(),
			Seeds:             addressTexts(d.settings.Peers.Seeds),
			EpochBase:         uint64(time.Now().Unix()),
			Nonce:             rand.Uint64,
			HeartbeatInterval: m.HeartbeatInterval,
			ProbeInterval:     m.ProbeTimeout,
			ViewLease:         m.ViewLease,
			Probes:            m.ProbeAttempts,
			EpochLength:       m.EpochLength,
			RetainedEpochs:    m.RetainedEpochs,
		},
		Claim:  claim.Config{MaxRecords: m.RecordLimit},
		Domain: d.settings.FailureDomain,
		Sender: d.peers,
		Now:    d.now,
	})
}

// self returns this process as a member.
func (d *Daemon) self() membership.Member {
	return membership.Member{ID: d.settings.VMID, Incarnation: d.incarnation, Address: advertised(d.settings)}
}

// advertised returns the address at which peers reach this VM.
func advertised(s *settings.Settings) string { return s.Advertise.Peers.String() }

// now is the time since the process started.
func (d *Daemon) now() time.Duration { return time.Since(d.started) }

// submissionClaims adapts the claim duty to the submission service.
type submissionClaims struct{ d *Daemon }

// Claim implements submission.Claims.
func (c submissionClaims) Claim(ctx context.Context, k key.Key) (submission.Claim, error) {
	r, err := c.d.claims.Claim(ctx, k)
	if err != nil {
		return submission.Claim{}, err
	}
	return c.convert(r), nil
}

// Lookup implements submission.Claims.
func (c submissionClaims) Lookup(ctx context.Context, k key.Key) (submission.Claim, error) {
	r, err := c.d.claims.Lookup(ctx, k)
	if err != nil {
		return submission.Claim{}, err
	}
	return c.convert(r), nil
}

// Burn implements submission.Claims.
func (c submissionClaims) Burn(ctx context.Context, k key.Key) (submission.Claim, error) {
	r, err := c.d.claims.Burn(ctx, k)
	if err != nil {
		return submission.Claim{}, err
	}
	return c.convert(r), nil
}

// SetOutcome implements submission.Claims. It never waits. If an outcome is dropped, a
// later answer about its key says that the outcome is unknown.
func (c submissionClaims) SetOutcome(k key.Key, run api.RunState) {
	if !c.d.outcomes.Offer(endedKey{key: k, outcome: claimOutcome(run)}) {
		c.d.droppedOutcomes.Inc(1)
	}
}

// endedKey says how a key that this VM ran ended.
type endedKey struct {
	key     key.Key
	outcome claim.Outcome
	// flushed, if set, is closed when all earlier outcomes are recorded. There is no key
	// then.
	flushed chan struct{}
}

// flushOutcomes waits until the claim duty has recorded the outcomes of all ended keys.
func (d *Daemon) flushOutcomes(ctx context.Context) {
	flushed := make(chan struct{})
	if !d.outcomes.Offer(endedKey{flushed: flushed}) {
		return
	}
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

// forwardOutcomes passes the outcomes of keys to the claim duty.
func (d *Daemon) forwardOutcomes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-d.outcomes.Items():
			if o.flushed != nil {
				close(o.flushed)
				continue
			}
			if err := d.claims.SetOutcome(ctx, o.key, o.outcome); err != nil {
				d.droppedOutcomes.Inc(1)
			}
		}
	}
}

func claimOutcome(run api.RunState) claim.Outcome {
	switch run {
	case api.NotRun:
		return claim.OutcomeNotRun
	case api.Completed:
		return claim.OutcomeCompleted
	case api.Failed:
		return claim.OutcomeFailed
	}
	return claim.OutcomeNone
}

// convert converts the claim duty's result for a key.
func (c submissionClaims) convert(r claim.Result) submission.Claim {
	converted := submission.Claim{
		Granted:           r.Granted,
		Self:              r.Runner.Same(c.d.self()),
		RunnerID:          r.Runner.ID,
		RunnerAddress:     r.Runner.Address,
		RunnerIncarnation: r.Runner.Incarnation,
		Run:               runState(r.State),
	}
	switch {
	case r.State == claim.Unknown:
		converted.State = submission.ClaimUnknown
	case r.State == claim.Lost:
		converted.State = submission.ClaimLost
	case r.State == claim.Running || c.d.isMember(r.Runner):
		// A runner that is still a member has the answer itself.
		converted.State = submission.ClaimRunning
	default:
		converted.State = submission.ClaimEnded
	}
	return converted
}

// isMember reports whether a process is in the view.
func (d *Daemon) isMember(m membership.Member) bool {
	return slices.ContainsFunc(d.claims.View().Members, m.Same)
}

func runState(s claim.KeyState) api.RunState {
	switch s {
	case claim.NotRun:
		return api.NotRun
	case claim.Completed:
		return api.Completed
	case claim.Failed:
		return api.Failed
	}
	return api.OutcomeUnknown
}
