package owner

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/bootclock"
)

// confirmClaim asks the store whether the claim is still this owner's. The targets that wait
// for the answer, because they started lately, stay unused until the store confirms the claim.
func (o *Owner) confirmClaim(ctx context.Context) {
	asOf := bootclock.Now()
	held, err := o.options.ConfirmClaim(ctx)
	switch {
	case err != nil:
		o.options.Count("claim_confirmations", "failed")
		o.options.Log.Warn("claim not confirmed: targets that started lately wait", "group", o.options.Group, "error", err)
	case !held:
		o.options.Count("claim_confirmations", "lost")
		o.options.Log.Warn("claim lost: targets that started lately stay unused", "group", o.options.Group, "token", o.token.Load())
	default:
		o.options.Count("claim_confirmations", "held")
		o.post(ctx, func(now time.Duration) { o.state.ClaimConfirmed(now, asOf) })
	}
}
