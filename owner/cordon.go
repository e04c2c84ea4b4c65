package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/cordon"
)

// UpdateCordons applies a view of the cordoned failure domains, unless it is unknown or older
// than the last one.
func (o *Owner) UpdateCordons(ctx context.Context, view cordon.View) {
	if !view.IsKnown() {
		return
	}
	o.postUrgent(ctx, func(now time.Duration) {
		if view.Version < o.cordonsVersion {
			return
		}
		o.cordonsVersion = view.Version
		o.state.CordonReported(now, view.IsCordoned(o.options.FailureDomain))
		o.state.SetCordonedDomains(view.Domains)
	})
}

// confirmCordon reads from the store whether the failure domain is cordoned.
func (o *Owner) confirmCordon(ctx context.Context) {
	view, err := o.options.ConfirmCordons(ctx)
	if err != nil {
		o.options.Log.Warn("cordons not confirmed", "error", err)
		return
	}
	o.UpdateCordons(ctx, view)
}
