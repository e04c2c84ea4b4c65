package domains

import (
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
)

// Bounds of one exchange.
const (
	// ExchangeTimeout bounds an exchange, AskTimeout the wait for each VM in it.
	ExchangeTimeout = time.Second
	AskTimeout      = 400 * time.Millisecond
	// ServeTimeout bounds the work of the VM that is asked. It ends before AskTimeout,
	// so that a VM that can't decide is distinguished from a silent one.
	ServeTimeout = 300 * time.Millisecond
	// maxAsked is the largest number of VMs that are asked about one key.
	maxAsked = 3
)

// Exchange is the attempt to have a key burned by its home failure domain. Asking several
// VMs is safe, because a burned key stays burned and every VM reports it as such.
type Exchange struct {
	key       key.Key
	addresses []string
	asked     int
	deadline  time.Duration
	answer    *peerpb.BurnResponse
}

// NewExchange begins an exchange with the VMs at the addresses.
func NewExchange(now time.Duration, k key.Key, addresses []string) *Exchange {
	return &Exchange{key: k, addresses: addresses, deadline: now + ExchangeTimeout}
}

// Next returns the VM to ask next and how long to wait for it. There is none once the
// home has answered, maxAsked VMs were asked or the time is over.
func (x *Exchange) Next(now time.Duration) (address string, wait time.Duration, ok bool) {
	if x.answer != nil || x.asked >= min(len(x.addresses), maxAsked) || now >= x.deadline {
		return "", 0, false
	}
	address = x.addresses[x.asked]
	x.asked++
	return address, min(AskTimeout, x.deadline-now), true
}

// HandleAnswer handles a VM's answer. The first clear answer for the key counts; an
// unclear one, or one for another key, is ignored. A VM that has not answered may still
// burn the key. That does not contradict an answer that the key was not run.
func (x *Exchange) HandleAnswer(r *peerpb.BurnResponse) {
	if x.answer == nil && r.GetKey() == x.key.String() && isClear(r.GetState()) {
		x.answer = r
	}
}

// isClear reports whether a state is known and not "unclear". A state that only a later
// version has is not known.
func isClear(s peerpb.KeyState) bool {
	_, known := peerpb.KeyState_name[int32(s)]
	return known && s != peerpb.KeyState_KEY_STATE_UNCLEAR
}

// Answer returns the home's answer; its state is unclear when there is none.
func (x *Exchange) Answer() *peerpb.BurnResponse {
	if x.answer == nil {
		return &peerpb.BurnResponse{Key: x.key.String()}
	}
	return x.answer
}
