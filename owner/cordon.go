package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/cordon"
)

// UpdateCordons applies a view of the cordoned failure domains, unless it is unknown or older
// than the last one.
func (o *Owner) TakeCordons(ctx context.Context, view cordon.View) {
	if !view.Known() {
		return
	}
	o.postNews(ctx, func(now time.Duration) {
		if view.Version < o.cordoned {
			return
		}
		o.cordoned = view.Version
		o.state.Cordoned(now, view.Has(o.options.FailureDomain))
	})
}

// confirmCordon reads from the store whether the failure domain is cordoned.
func (o *Owner) confirmCordon(ctx context.Context) {
	view, err := o.options.ConfirmCordons(ctx)
	if err != nil {
		o.options.Log.Warn("cordons not confirmed", "error", err)
		return
	}
	o.TakeCordons(ctx, view)
}
