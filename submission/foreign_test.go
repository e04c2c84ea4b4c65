package submission

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/domains"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"
	"pgregory.net/rapid"
)

// fakeHome answers burns with one response.
type fakeHome struct{ response *peerpb.BurnResponse }

func (h fakeHome) Burn(context.Context, key.Key) *peerpb.BurnResponse { return h.response }

func TestSubmitForeignReportsStateAtHome(t *testing.T) {
	for state, want := range map[peerpb.KeyState]struct {
		run    api.RunState
		advice string
	}{
		peerpb.KeyState_KEY_STATE_NOT_RUN:   {api.NotRun, "submit under a new key"},
		peerpb.KeyState_KEY_STATE_RUNNING:   {api.OutcomeUnknown, "it runs there, at vm7: ask there for the answer of this key, at 192.0.2.7:1"},
		peerpb.KeyState_KEY_STATE_COMPLETED: {api.Completed, "at 192.0.2.7:1"},
		peerpb.KeyState_KEY_STATE_FAILED:    {api.Failed, "at 192.0.2.7:1"},
		peerpb.KeyState_KEY_STATE_LOST:      {api.OutcomeUnknown, "is lost"},
		peerpb.KeyState_KEY_STATE_UNCLEAR:   {api.OutcomeUnknown, "submit there"},
		99:                                  {api.OutcomeUnknown, "submit there"},
	} {
		s := NewService(Options{Domain: "b", Domains: fakeHome{&peerpb.BurnResponse{State: state, Runner: "vm7", CallersAddress: "192.0.2.7:1"}}})
		o := s.SubmitForeign(background, keyOf("k"))
		mustFail(t, o, api.KindWrongDomain, want.run)
		must.StrContains(t, string(o.Body), want.advice)
	}
}

func burnAt(s *Service, unique string) peerpb.KeyState {
	return s.ServeBurn(background, &peerpb.BurnRequest{Key: keyOf(unique).String()}).GetState()
}

func TestBurnedKeyIsNeverStarted(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 1<<20)
		must.Eq(t, peerpb.KeyState_KEY_STATE_NOT_RUN, burnAt(w.vms[0].service, "k"))
		// Again, also at a VM that only knows the runner.
		must.Eq(t, peerpb.KeyState_KEY_STATE_NOT_RUN, burnAt(w.vms[0].service, "k"))
		must.Eq(t, peerpb.KeyState_KEY_STATE_NOT_RUN, burnAt(w.vms[1].service, "k"))
		for _, v := range w.vms {
			mustFail(t, v.service.Submit(background, newSubmission("k", "p")), api.KindAnswerExpired, api.NotRun)
		}
		must.Eq(t, 0, w.keys[keyOf("k").String()].submits)
		must.Eq(t, peerpb.KeyState_KEY_STATE_UNCLEAR, w.vms[0].service.ServeBurn(background, &peerpb.BurnRequest{Key: "no key"}).GetState())
	})
}

func TestBurnReportsStateOfKnownKeys(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 1<<20)
		go w.vms[0].service.Submit(background, newSubmission("k", "p"))
		time.Sleep(time.Second)
		for _, v := range w.vms {
			must.Eq(t, peerpb.KeyState_KEY_STATE_RUNNING, burnAt(v.service, "k"))
		}
		w.vms[0].service.Ask(background, keyOf("k"), AskCancel)
		for _, v := range w.vms {
			must.Eq(t, peerpb.KeyState_KEY_STATE_FAILED, burnAt(v.service, "k"))
		}
		w.runMS = 10
		must.Eq(t, statusOK, w.vms[0].service.Submit(background, newSubmission("done", "p")).Status)
		for _, v := range w.vms {
			must.Eq(t, peerpb.KeyState_KEY_STATE_COMPLETED, burnAt(v.service, "done"))
		}
		w.vms[0].service.Drain()
		mustFail(t, w.vms[0].service.Submit(background, newSubmission("refused", "p")), api.KindDraining, api.NotRun)
		for _, v := range w.vms {
			must.Eq(t, peerpb.KeyState_KEY_STATE_NOT_RUN, burnAt(v.service, "refused"))
		}
	})
}

func TestBurnOfLostKeyAndOfSilentDomainEnds(t *testing.T) {
	inBubble(t, func() {
		w := newCluster(2, 1<<20)
		w.seed = 1
		go w.vms[0].service.Submit(background, newSubmission("k", "p"))
		time.Sleep(time.Second)
		w.mu.Lock()
		w.vms[0].lostAt = time.Now()
		w.mu.Unlock()
		time.Sleep(time.Second)
		must.Eq(t, peerpb.KeyState_KEY_STATE_LOST, burnAt(w.vms[1].service, "k"))
		w.claimsHang = true
		begin := time.Now()
		must.Eq(t, peerpb.KeyState_KEY_STATE_UNCLEAR, burnAt(w.vms[1].service, "other"))
		must.LessEq(t, domains.ServeTimeout, time.Since(begin))
		w.claimsHang = false
		w.vms[0].service.Ask(background, keyOf("k"), AskCancel)
	})
}

// remotePeers reaches the VMs of a test cluster from another failure domain, with faults.
type remotePeers struct{ cluster *testCluster }

func (r remotePeers) Burn(ctx context.Context, address string, request *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	w, name := r.cluster, "remote"+address+request.GetKey()
	n := &node{cluster: w}
	if n.pause(ctx, name, 60) != nil || w.hasFault(6, name) {
		return nil, twirp.NewError(twirp.Unavailable, "the request was lost")
	}
	var i int
	_, _ = fmt.Sscan(address, &i)
	w.mu.Lock()
	gone := !w.vms[i].lostAt.IsZero() || !w.vms[i].leftAt.IsZero()
	w.mu.Unlock()
	if gone {
		return nil, twirp.NewError(twirp.Unavailable, "no connection")
	}
	// The home continues when no caller waits any more, and gets some requests twice.
	served := make(chan *peerpb.BurnResponse, 2)
	for range 1 + w.roll(6, name)/5 {
		go func() { served <- w.vms[i].service.ServeBurn(context.Background(), request) }()
	}
	var response *peerpb.BurnResponse
	select {
	case response = <-served:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n.pause(ctx, name, 60) != nil || w.hasFault(6, name) {
		return nil, twirp.NewError(twirp.Unavailable, "the answer was lost")
	}
	return response, nil
}

// newForeign returns a service of another failure domain that knows the VMs of a cluster.
func newForeign(w *testCluster) *Service {
	start := time.Now()
	var addresses []string
	for i := range w.vms {
		addresses = append(addresses, fmt.Sprint(i))
	}
	return NewService(Options{Domain: "b", VM: "foreign", Domains: domains.New(domains.Options{
		Directory: domains.NewDirectory("foreign", "b", []string{"a", "b"}, map[string][]string{"a": addresses}, domains.DefaultTimes()),
		Peers:     remotePeers{w},
		Now:       func() time.Duration { return time.Since(start) },
	})})
}

// Submissions are made at the home of keys and at another failure domain, with faults of
// claims and messages and the loss of a VM. What the other failure domain replies is
// true, stays true, and comes in time.
func TestForeignRepliesMatchOracle(t *testing.T) {
	replies := map[api.RunState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			w := newCluster(rapid.IntRange(2, 3).Draw(rt, "vms"), 1<<20)
			w.seed, w.runMS = rapid.Uint32().Draw(rt, "seed"), 3000
			w.faulty = rapid.IntRange(0, 3).Draw(rt, "faulty") > 0
			foreign := newForeign(w)
			end := rapid.IntRange(0, 6).Draw(rt, "end of a VM")
			all := []*caller{}
			for i := range rapid.IntRange(2, 16).Draw(rt, "callers") {
				c := drawCaller(rt, len(w.vms))
				c.leavesAfter = 0
				all = append(all, c)
				if rapid.Bool().Draw(rt, "foreign") {
					c.vm = -1
					go c.submitForeign(foreign)
				} else {
					go c.call(w)
				}
				time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 200, 1500}).Draw(rt, "pause in ms")) * time.Millisecond)
				if i == 5 {
					w.endVM(end)
				}
			}
			time.Sleep(30 * time.Second)
			synctest.Wait()
			for _, c := range all {
				if c.vm < 0 {
					replies[c.checkForeign(rt, w)]++
				}
			}
		})
	})
	// Without these replies the test checks nothing.
	for _, run := range []api.RunState{api.NotRun, api.OutcomeUnknown, api.Completed} {
		must.Positive(t, replies[run], must.Sprint(run))
	}
}

func (c *caller) submitForeign(s *Service) {
	c.begin = time.Now()
	c.reply.Outcome = s.SubmitForeign(context.Background(), c.sub.Key)
	c.end = time.Now()
}

// checkForeign compares a caller's reply with the oracle's record of its key.
func (c *caller) checkForeign(t *rapid.T, w *testCluster) api.RunState {
	must.False(t, c.end.IsZero(), must.Sprint("never ended"))
	must.LessEq(t, domains.ExchangeTimeout, c.end.Sub(c.begin))
	var body api.FailureBody
	must.NoError(t, json.Unmarshal(c.reply.Outcome.Body, &body))
	r := w.keys[c.sub.KeyText]
	if r == nil {
		r = &record{}
	}
	what := must.Sprintf("%s oracle %+v", c.reply.Outcome.Body, *r)
	switch body.Error.Run {
	case api.NotRun:
		refused := r.outcome != nil && r.outcome.Run == api.NotRun || r.reportedRun == api.NotRun
		must.True(t, refused, what)
		must.True(t, r.submits == 0 || r.outcome.Run == api.NotRun, what)
	case api.Completed, api.Failed:
		must.Eq(t, 1, r.submits, what)
		must.Eq(t, r.outcome.Run, body.Error.Run, what)
	}
	return body.Error.Run
}
