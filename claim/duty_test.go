package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

// dutyNet connects duties as the transport does: replies of a receiver go back to the
// sender, and the sender's replies to those are sent as new messages.
type dutyNet struct {
	wg     sync.WaitGroup
	duties map[string]*Duty
}

// port is the sending side of one duty.
type port struct {
	net  *dutyNet
	self membership.Member
}

func (d *Duty) handlerOf(duty peerpb.Duty) peer.Handler {
	if duty == peerpb.Duty_DUTY_CLAIM {
		return d.ClaimHandler()
	}
	return d.MembershipHandler()
}

func (p port) Send(address string, _ uint64, duty peerpb.Duty, body []byte) bool {
	to := p.net.duties[address]
	if to == nil {
		return false
	}
	p.net.wg.Go(func() {
		ctx := context.Background()
		receiver := to.state.Membership().Self()
		replies := to.handlerOf(duty).HandlePeer(ctx, peer.Sender{ID: p.self.ID, Incarnation: p.self.Incarnation}, [][]byte{body})
		if len(replies) == 0 {
			return
		}
		own := p.net.duties[p.self.Address]
		answers := own.handlerOf(duty).HandlePeer(ctx, peer.Sender{ID: receiver.ID, Incarnation: receiver.Incarnation}, replies)
		for _, answer := range answers {
			p.Send(address, receiver.Incarnation, duty, answer)
		}
	})
	return true
}

// startDuties runs n duties for 5 seconds, until they share a view.
func startDuties(t *testing.T, n int) (duties []*Duty, stop func()) {
	net := &dutyNet{duties: map[string]*Duty{}}
	start := time.Now()
	for i := range n {
		self := membership.Member{ID: fmt.Sprint("vm", i), Incarnation: uint64(i + 1), Address: fmt.Sprint("addr", i)}
		nonce := uint64(i) << 32
		d := NewDuty(Options{
			Domain: testDomain,
			Sender: port{net: net, self: self},
			Now:    func() time.Duration { return time.Since(start) },
			Membership: membership.Config{
				Self:  self,
				Seeds: []string{"addr0", "addr1", "addr2"},
				Nonce: func() uint64 { nonce += 0x9e3779b97f4a7c15; return nonce },
			},
		})
		duties = append(duties, d)
		net.duties[self.Address] = d
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, d := range duties {
		net.wg.Go(func() { must.NoError(t, d.Run(ctx)) })
	}
	<-time.After(5 * time.Second)
	return duties, func() {
		cancel()
		net.wg.Wait()
	}
}

func TestDutiesShareViewAndGrantKeyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		duties, stop := startDuties(t, 3)
		defer stop()
		for _, d := range duties {
			must.True(t, d.Ready() && d.LeaseValid())
			must.SliceLen(t, 3, d.View().Members)
		}
		k := key.Key{Domain: testDomain, Epoch: duties[0].CurrentEpoch(), Unique: "same"}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var granted []int
		for i := range 12 {
			wg.Go(func() {
				result, err := duties[i%3].Claim(t.Context(), k)
				must.NoError(t, err)
				if result.Granted {
					mu.Lock()
					defer mu.Unlock()
					granted = append(granted, i)
				}
			})
		}
		wg.Wait()
		must.SliceLen(t, 1, granted)
		runner := duties[granted[0]%3]
		must.NoError(t, runner.SetOutcome(t.Context(), k, OutcomeCompleted))
		result, err := runner.Lookup(t.Context(), k)
		must.NoError(t, err)
		must.Eq(t, Completed, result.State)

		must.NoError(t, runner.Leave(t.Context()))
		<-time.After(time.Second)
		other := duties[(granted[0]+1)%3]
		must.SliceLen(t, 2, other.View().Members)
		result, err = other.Claim(t.Context(), k)
		must.NoError(t, err)
		must.Eq(t, Completed, result.State)
	})
}

func TestClaimEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDuty(Options{Domain: testDomain, Now: func() time.Duration { return 0 }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := d.Claim(ctx, key.Key{Domain: testDomain, Epoch: "1-1", Unique: "k"})
		failure, ok := err.(*api.Failure)
		must.True(t, ok)
		must.Eq(t, api.OutcomeUnknown, failure.Run)

		_, err = d.Claim(t.Context(), key.Key{Domain: "elsewhere", Epoch: "1-1", Unique: "k"})
		must.Eq(t, api.KindWrongDomain, err.(*api.Failure).Kind)
	})
}

// A grant that arrives after its caller has stopped waiting goes to the next call.
func TestGrantOfGoneCallerGoesToNextCall(t *testing.T) {
	d := NewDuty(Options{Domain: testDomain, Now: func() time.Duration { return 0 }, Membership: membership.Config{
		Self: membership.Member{ID: "vm"}, Nonce: func() uint64 { return 1 },
	}})
	d.state.Tick(time.Minute)
	token := d.state.Membership().CurrentEpoch()
	gone := &call{token: token, hash: hashOf(token, "k"), done: make(chan Done, 1)}
	gone.ended.Store(true)
	d.calls[1] = gone
	d.state.Claim(time.Minute, 1, token, gone.hash)
	d.flush("", nil)
	here := &call{token: token, hash: gone.hash, done: make(chan Done, 1)}
	d.calls[2] = here
	d.state.Claim(time.Minute, 2, token, here.hash)
	d.flush("", nil)
	must.True(t, (<-here.done).Result.Granted)
}
