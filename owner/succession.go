package owner

import (
	"context"
	"errors"
	"time"

	"github.com/burdockward/burdockward/jobstore"
	"github.com/burdockward/burdockward/scheduler"
)

// openTargetRecords takes the record of targets from the previous owner.
func (o *Owner) openTargetRecords(ctx context.Context) {
	ticker := time.NewTicker(takeOverRetryInterval)
	defer ticker.Stop()
	logged := false
	for ctx.Err() == nil {
		inherited, err := o.options.Jobs.TargetRecords().Open(ctx, o.token.Load())
		if err == nil {
			o.post(ctx, func(now time.Duration) { o.inheritTargets(now, inherited) })
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
func (o *Owner) inheritTargets(now time.Duration, inherited jobstore.Inherited) {
	in := scheduler.Inheritance{Targets: inherited.Targets}
	for i := range in.Targets {
		in.Targets[i].FailureDomain = o.options.FailureDomain
	}
	o.options.Log.Info("target records taken over", "group", o.options.Group, "targets", len(in.Targets))
	o.state.InheritTargets(now, in)
	o.durable.recordsRead = true
}

// recordTarget has a target recorded, or its record removed.
func (o *Owner) recordTarget(ctx context.Context, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.RecordTarget:
		o.options.Jobs.TargetRecords().Record(e.Target, func() {
			o.post(ctx, func(time.Duration) { o.state.TargetRecorded(e.Target.ID) })
		})
	case scheduler.ForgetTarget:
		o.options.Jobs.TargetRecords().Forget(e.ID)
	}
}
