package domains

import (
	"context"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// Peers sends requests to VMs of other failure domains.
type Peers interface {
	Burn(ctx context.Context, address string, request *peerpb.BurnRequest) (*peerpb.BurnResponse, error)
}

// Burn asks the home failure domain of a key to burn it and returns the state of the key
// there. It takes ExchangeTimeout at most. The state is unclear when the home can't be
// reached or can't decide, or when maxExchanges are in progress.
func (d *Duty) Burn(ctx context.Context, k key.Key) *peerpb.BurnResponse {
	x := NewExchange(d.options.Now(), k, d.candidates(k.Domain))
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
	default:
		d.unclear.Inc(1)
		return x.Answer()
	}
	d.run(ctx, x)
	if x.Answer().GetState() == peerpb.KeyState_KEY_STATE_UNCLEAR {
		d.unclear.Inc(1)
	}
	return x.Answer()
}

// run asks one VM after the other until the exchange ends. The failure domain counts as
// unreachable for a while when none of them answers.
func (d *Duty) run(ctx context.Context, x *Exchange) {
	asked, answered := false, false
	for {
		address, wait, ok := x.Next(d.options.Now())
		if !ok {
			break
		}
		asked = true
		response, err := d.ask(ctx, address, wait, x.key)
		if ctx.Err() != nil {
			// The caller stopped waiting, so no VM counts as silent.
			return
		}
		if err != nil {
			d.markSilent(x.key.Domain, address)
			continue
		}
		answered = true
		x.HandleAnswer(response)
	}
	if asked && !answered {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.directory.MarkUnreachable(d.options.Now(), x.key.Domain)
	}
}

// ask asks one VM to burn a key.
func (d *Duty) ask(ctx context.Context, address string, wait time.Duration, k key.Key) (*peerpb.BurnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	d.exchanges.Inc(1)
	return d.options.Peers.Burn(ctx, address, &peerpb.BurnRequest{Key: k.String()})
}

func (d *Duty) markSilent(domain, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.MarkSilent(domain, address)
}

func (d *Duty) candidates(domain string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Candidates(d.options.Now(), domain)
}
