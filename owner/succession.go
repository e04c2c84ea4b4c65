package owner

import (
	"context"
	"errors"
	"time"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/heartbeat"
	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/scheduler"
)

// predecessor is the last owner that could record targets before this one.
type predecessor struct {
	// exists is set once the target records named one that isn't known to have ended.
	exists      bool
	vm          string
	incarnation uint64
}

// openTargetRecords takes the record of targets from the previous owner.
func (o *Owner) openTargetRecords(ctx context.Context) {
	ticker := time.NewTicker(takeOverRetryInterval)
	defer ticker.Stop()
	logged := false
	for ctx.Err() == nil {
		asOf := bootclock.Now()
		inherited, err := o.options.Jobs.TargetRecords().Open(ctx, o.token.Load(), scheduler.PredecessorValidity)
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.inheritTargets(now, asOf, inherited) })
			return
		}
		if !logged {
			o.options.Log.Warn("target records not taken over", "group", o.options.Group, "error", err)
			logged = true
		}
		if errors.Is(err, jobstore.ErrSuperseded) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// inheritTargets gives the State the record of targets.
func (o *Owner) inheritTargets(now, asOf time.Duration, inherited jobstore.Inherited) {
	in := scheduler.Inheritance{
		AsOf: asOf, HasPredecessor: inherited.HasPredecessor, Targets: inherited.Targets,
		SharedToken: o.token.Load() != o.options.Token,
	}
	if inherited.EarlierUntil > 0 {
		in.EarlierUntil = o.fromStoreClock(now, inherited.EarlierUntil)
	}
	for i := range in.Targets {
		in.Targets[i].FailureDomain = o.options.FailureDomain
	}
	o.options.Log.Info("target records taken over", "group", o.options.Group, "targets", len(in.Targets),
		"predecessor", inherited.VM, "earlier_until", in.EarlierUntil)
	o.predecessor = predecessor{exists: inherited.HasPredecessor, vm: inherited.VM, incarnation: inherited.Incarnation}
	o.state.InheritTargets(now, in)
	o.durable.recordsRead = true
}

// fromStoreClock converts the end of earlier owners' leases from the store's clock. While that isn't
// known, they count as held until now.
func (o *Owner) fromStoreClock(now, end time.Duration) time.Duration {
	clock, known := o.options.StoreClock()
	if !known {
		return now + scheduler.PredecessorValidity
	}
	return now + end - clock
}

// checkPredecessor notices that the last previous owner orders nothing any more, while the State waits
// for it.
func (o *Owner) checkPredecessor(now time.Duration) {
	if !o.predecessor.exists || !o.state.AwaitsPredecessors(now) {
		return
	}
	why := o.endOfPredecessor()
	if why == "" {
		return
	}
	o.options.Log.Info("predecessor has ended", "group", o.options.Group, "predecessor", o.predecessor.vm, "reason", why)
	o.options.Count("predecessors_ended", why)
	o.predecessor.exists = false
	o.state.PredecessorEnded(now)
}

// endOfPredecessor returns how it is known that the last previous owner orders nothing any more; empty
// if it isn't.
func (o *Owner) endOfPredecessor() string {
	p := o.predecessor
	switch {
	case o.registry.releasedAll && p.incarnation == o.options.Former:
		return "it released all targets"
	case o.options.HasEnded != nil && o.options.HasEnded(p.vm, p.incarnation):
		return "its process has ended"
	case o.state.LastKeepalive(heartbeat.EntryID(p.vm, p.incarnation))-heartbeat.KeepaliveTimeout >= o.createdAt:
		// Each answer to its pings has told it of this owner's claim.
		return "it knows its successor"
	}
	return ""
}

// recordTarget has a target recorded, or its record removed.
func (o *Owner) recordTarget(ctx context.Context, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.RecordTarget:
		o.options.Jobs.TargetRecords().Record(e.Target, func() {
			o.post(ctx, func(time.Duration) { o.state.TargetRecorded(e.Target.ID, e.Number) })
		})
	case scheduler.ForgetTarget:
		o.options.Jobs.TargetRecords().Forget(e.ID)
	}
}
