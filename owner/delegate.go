package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/scheduler"
)

// UpdateCapacityOf sets the free capacity that another owner reports for a service. The report
// is dropped while the submission queue is full, because the next one follows soon.
func (o *Owner) UpdateCapacityOf(owner, service string, capacity scheduler.FreeCapacity) {
	o.submissions.Offer(func(now time.Duration) { o.state.CapacityReported(now, owner, service, capacity) })
}

// delegate has another owner run a part of a job and passes the outcome to the State.
func (o *Owner) delegate(ctx context.Context, e scheduler.Delegate) {
	ctx, cancel := context.WithCancel(ctx)
	o.delegated[e.Part] = cancel
	go func() {
		defer cancel()
		outcome := o.options.Delegate(ctx, e.Owner, e.Submission)
		o.post(context.WithoutCancel(ctx), func(now time.Duration) {
			delete(o.delegated, e.Part)
			o.state.PartReturned(now, e.Part, outcome)
		})
	}()
}

// giveUpPart cancels the request to the owner that runs a part.
func (o *Owner) giveUpPart(e scheduler.Withdraw) {
	if cancel := o.delegated[e.Part]; cancel != nil {
		cancel()
	}
}
