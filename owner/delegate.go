package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/scheduler"
)

// RoomAt takes another owner's word of its places. It is dropped when this owner is
// busy: the next one follows.
func (o *Owner) RoomAt(owner, service string, room scheduler.Room) {
	o.submissions.Offer(func(now time.Duration) { o.state.RoomAt(now, owner, service, room) })
}

// lend has another owner run a part.
func (o *Owner) lend(ctx context.Context, e scheduler.Lend) {
	ctx, cancel := context.WithCancel(ctx)
	o.lent[e.Part] = cancel
	go func() {
		defer cancel()
		outcome := o.options.Lend(ctx, e.Owner, e.Submission)
		o.post(context.WithoutCancel(ctx), func(now time.Duration) {
			delete(o.lent, e.Part)
			o.state.Returned(now, e.Part, outcome)
		})
	}()
}

// withdraw gives up a part.
func (o *Owner) withdraw(e scheduler.Withdraw) {
	if cancel := o.lent[e.Part]; cancel != nil {
		cancel()
	}
}
