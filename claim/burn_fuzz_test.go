package claim

import (
	"slices"
	"testing"
	"time"

	"github.com/burdockward/burdockward/domains"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// exchange is one attempt of another failure domain to have a key of this one burned.
type exchange struct {
	*domains.Exchange
	key key.Key
}

// burnRequest is a message from the other failure domain to this one.
type burnRequest struct {
	exchange *exchange
	address  string
}

// burnAnswer is the message back.
type burnAnswer struct {
	exchange *exchange
	response *peerpb.BurnResponse
}

// burnFuzz adds another failure domain to a fuzz: its exchanges, and messages between
// the two domains that get lost, delayed and duplicated.
type burnFuzz struct {
	*fuzz
	exchanges []*exchange
	requests  []burnRequest
	answers   []burnAnswer
	// serving maps the calls that answer a request to its exchange.
	serving map[uint64]*exchange
	// notRunAnswers counts the answers that reported a key as not run.
	notRunAnswers int
}

const (
	burnSteps    = 120
	maxExchanges = 40
)

func (f *burnFuzz) actions() []action {
	return []action{
		{10, f.beginExchange},
		{10, f.askNext},
		{20, f.deliverRequest},
		{20, f.deliverAnswer},
		{2, func() { loseMessage(f.fuzz, &f.requests) }},
		{2, func() { loseMessage(f.fuzz, &f.answers) }},
		{2, f.misdeliver},
		{40, f.step},
	}
}

// beginExchange begins an exchange about a key, often one of the last few.
func (f *burnFuzz) beginExchange() {
	if len(f.tokens) == 0 {
		return
	}
	v := f.pickVM()
	token := f.tokens[f.pick("token", len(f.tokens))]
	used := f.pickKey(f.withHome(v, token))
	k := key.Key{Domain: testDomain, Epoch: used.token, Unique: used.unique}
	var addresses []string
	for _, id := range rapid.Permutation(f.names).Draw(f.t, "order") {
		addresses = append(addresses, vmAddress(id))
	}
	f.exchanges = append(f.exchanges, &exchange{Exchange: domains.NewExchange(f.now, k, addresses), key: k})
	f.exchanges = f.exchanges[max(0, len(f.exchanges)-maxExchanges):]
}

// askNext sends the next request of an exchange, to its first VM or to the one after a
// silent VM.
func (f *burnFuzz) askNext() {
	if len(f.exchanges) == 0 {
		return
	}
	x := f.exchanges[f.pick("exchange", len(f.exchanges))]
	if address, _, ok := x.Next(f.now); ok {
		f.requests = append(f.requests, burnRequest{exchange: x, address: address})
	}
}

// deliverRequest delivers a request to the process at its address, and may keep it to
// deliver it again.
func (f *burnFuzz) deliverRequest() {
	r, ok := f.draw("request", len(f.requests))
	if !ok {
		return
	}
	request := f.requests[r]
	if f.pick("again", 4) > 0 {
		f.requests = slices.Delete(f.requests, r, r+1)
	}
	for _, v := range f.vms {
		if v.self.Address == request.address && !v.paused {
			// The call may end before f.call returns its number.
			f.serving[f.number+1] = request.exchange
			f.call(v, kindBurn, request.exchange.key.Epoch, request.exchange.key.Unique)
		}
	}
	if f.pick("prompt", 2) == 0 {
		f.deliverMany(40)
	}
}

// queueAnswer puts the answer to a burn request on the network.
func (f *burnFuzz) queueAnswer(d Done) {
	x := f.serving[d.Waiter]
	if x == nil || d.Failure != nil {
		return
	}
	response := &peerpb.BurnResponse{Key: x.key.String()}
	switch {
	case d.Result.Granted || d.Result.State == NotRun:
		response.State = peerpb.KeyState_KEY_STATE_NOT_RUN
	case d.Result.State == Running:
		response.State = peerpb.KeyState_KEY_STATE_RUNNING
	}
	f.answers = append(f.answers, burnAnswer{exchange: x, response: response})
}

// deliverAnswer delivers an answer, and may keep it to deliver it again.
func (f *burnFuzz) deliverAnswer() {
	a, ok := f.draw("answer", len(f.answers))
	if !ok {
		return
	}
	answer := f.answers[a]
	if f.pick("again", 4) > 0 {
		f.answers = slices.Delete(f.answers, a, a+1)
	}
	f.checkAnswer(answer.exchange, answer.response)
}

// misdeliver delivers an answer to any exchange.
func (f *burnFuzz) misdeliver() {
	a, ok := f.draw("answer", len(f.answers))
	if ok {
		f.checkAnswer(f.exchanges[f.pick("exchange", len(f.exchanges))], f.answers[a].response)
	}
}

// checkAnswer passes a response to an exchange and compares the answer that the other
// failure domain gives its caller with the oracle: a key reported as not run has not
// been granted and never will be.
func (f *burnFuzz) checkAnswer(x *exchange, response *peerpb.BurnResponse) {
	x.HandleAnswer(response)
	if x.Answer().GetState() != peerpb.KeyState_KEY_STATE_NOT_RUN {
		return
	}
	h := HashKey(x.key)
	if owner, owned := f.oracle.owner[h]; owned && !f.oracle.notRun[h] {
		f.t.Fatalf("key %s of %v reported as not run", x.key, owner)
	}
	f.oracle.notRun[h] = true
	f.notRunAnswers++
}

// draw picks one of n messages; false says that there is none.
func (f *burnFuzz) draw(what string, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	return f.pick(what, n), true
}

// loseMessage loses one message.
func loseMessage[T any](f *fuzz, messages *[]T) {
	if n := len(*messages); n > 0 {
		i := f.pick("lost", n)
		*messages = slices.Delete(*messages, i, i+1)
	}
}

// burnStep does one random action.
func (f *burnFuzz) burnStep() {
	total := 0
	for _, a := range f.actions() {
		total += a.weight
	}
	n := f.pick("burn action", total)
	for _, a := range f.actions() {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

func newBurnFuzz(t *rapid.T) *burnFuzz {
	f := &burnFuzz{fuzz: &fuzz{testCluster: newCluster(), t: t, oracle: newOracle()}, serving: map[uint64]*exchange{}}
	f.config = fuzzConfig
	f.calm = rapid.Bool().Draw(t, "calm")
	f.onDone = func(v *vm, d Done) {
		f.oracle.check(t, v, f.calls[d.Waiter], d)
		f.queueAnswer(d)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "size") {
		f.names = append(f.names, string(rune('a'+i)))
	}
	for _, id := range f.names {
		f.boot(id)
	}
	f.settle(2 * time.Second)
	return f
}

// A key that is reported to another failure domain as not run is never started, before
// or after the report, whatever happens to messages and VMs.
func TestFuzzBurnedForOtherDomain(t *testing.T) {
	notRunAnswers := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newBurnFuzz(t)
		for range burnSteps {
			f.burnStep()
		}
		// Deliver the remaining answers, then claim all keys again.
		for _, a := range f.answers {
			f.checkAnswer(a.exchange, a.response)
		}
		f.groups = nil
		f.settle(time.Second)
		f.claimAgain(f.all)
		f.settle(time.Second)
		notRunAnswers += f.notRunAnswers
	})
	// Without such answers the test checks nothing.
	must.Positive(t, notRunAnswers)
}
