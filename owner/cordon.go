package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/cordon"
)

// TakeCordons takes what is known of cordoned failure domains.
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

// confirmCordon asks the store whether the failure domain is cordoned.
func (o *Owner) confirmCordon(ctx context.Context) {
	view, err := o.options.ConfirmCordons(ctx)
	if err != nil {
		o.options.Log.Warn("cordons not confirmed", "error", err)
		return
	}
	o.TakeCordons(ctx, view)
}
