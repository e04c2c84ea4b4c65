package submission

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result. A flag of the command
// line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// inBubble runs f in a synctest bubble, which fails when goroutines are left. A panic, by
// which rapid ends a failed check, is passed on outside the bubble.
func inBubble(t *testing.T, f func()) {
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() {
			panicked = recover()
			// Gives goroutines of a failed check time to end.
			time.Sleep(time.Hour)
		}()
		f()
	})
	if panicked != nil {
		panic(panicked)
	}
}

func keyOf(unique string) key.Key { return key.Key{Domain: "a", Epoch: "e", Unique: unique} }

// newSubmission returns a submission whose profile is its content.
func newSubmission(unique, content string) *Submission {
	k := keyOf(unique)
	return New(&api.Submission{Key: k.String(), Profile: content, Tasks: []api.Task{{Payload: []byte("1")}}}, k)
}

// askSubmit and askStart are further kinds of call, besides the questions.
const (
	askSubmit Ask = 10 + iota
	askStart
)

// caller is one call of a service.
type caller struct {
	sub         *Submission
	vm          int
	ask         Ask
	leavesAfter time.Duration
	begin, end  time.Time
	// order is the position of the call's begin in the order of events.
	order int
	reply Reply
}

func drawCaller(t *rapid.T, vms int) *caller {
	c := &caller{
		sub: newSubmission(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "content")),
		vm:  rapid.IntRange(0, vms-1).Draw(t, "vm"),
		ask: rapid.SampledFrom([]Ask{askSubmit, askSubmit, askSubmit, askStart, AskAnswer, AskState, AskCancel}).Draw(t, "ask"),
	}
	if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
		c.leavesAfter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "leaves after ms")) * time.Millisecond
	}
	return c
}

func (c *caller) call(w *testCluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Minute)
	defer cancel()
	if c.leavesAfter > 0 {
		time.AfterFunc(c.leavesAfter, cancel)
	}
	s := w.vms[c.vm].service
	c.begin = time.Now()
	w.mu.Lock()
	c.order = w.event()
	w.mu.Unlock()
	switch c.ask {
	case askSubmit:
		c.reply.Outcome = s.Submit(ctx, c.sub)
	case askStart:
		c.reply.Outcome = s.Start(c.sub)
	default:
		c.reply = s.Ask(ctx, c.sub.Key, c.ask)
	}
	c.end = time.Now()
}

// check compares a caller's reply with the oracle's record of its key.
func (c *caller) check(t *rapid.T, w *testCluster) {
	what := must.Sprintf("%+v", *c)
	must.False(t, c.end.IsZero(), must.Sprint("never ended"), what)
	if c.leavesAfter > 0 {
		return
	}
	if c.reply.Outcome == nil {
		waits := c.ask == askSubmit || c.ask == AskAnswer || c.ask == AskCancel
		must.False(t, waits, must.Sprint("no outcome"), what)
		return
	}
	r := w.keys[c.sub.KeyText]
	if r == nil {
		r = &record{}
	}
	runner := w.vms[r.runner]
	o := c.reply.Outcome
	what = must.Sprintf("%+v %s oracle %+v", *c, o.Body, *r)
	if !runner.lostAt.IsZero() && c.vm != r.runner {
		known := runner.lostAt
		if c.begin.After(known) {
			known = c.begin
		}
		must.Less(t, 8*time.Second, c.end.Sub(known), what)
	}
	var body api.FailureBody
	must.NoError(t, json.Unmarshal(o.Body, &body))
	if body.Error == nil {
		body.Error = &api.Failure{}
	}
	other := c.ask >= askSubmit && r.submits > 0 && r.content != c.sub.Fingerprint
	switch body.Error.Kind {
	case api.KindKeyConflict:
		burned := r.submits == 0 && r.reportedRun == api.NotRun
		must.True(t, other || burned, what)
	case api.KindRunnerLost:
		must.False(t, runner.lostAt.IsZero(), what)
		must.Eq(t, api.OutcomeUnknown, body.Error.Run, what)
	case api.KindUnavailable:
		silent := w.faulty || !runner.lostAt.IsZero() || !runner.leftAt.IsZero()
		once := c.ask == AskState || c.ask == AskCancel
		must.True(t, r.faults || silent && once, what)
		must.Eq(t, api.OutcomeUnknown, body.Error.Run, what)
	case api.KindAnswerExpired:
		must.True(t, r.faults || !runner.leftAt.IsZero() || w.dropping, what)
		must.SliceContains(t, []api.RunState{r.reportedRun, api.OutcomeUnknown}, body.Error.Run, what)
	case api.KindNotFound:
		must.True(t, r.grantOrder == 0 || r.grantOrder > c.order, what)
	case api.KindDraining:
		must.Eq(t, 0, r.submits, what)
		must.Eq(t, api.NotRun, r.reportedRun, what)
	default:
		must.False(t, other, what)
		must.Eq(t, string(r.outcome.Body), string(o.Body), what)
	}
	if body.Error.Run == api.NotRun && r.outcome != nil {
		must.Eq(t, api.NotRun, r.outcome.Run, what)
	}
}

// Callers, lost and leaving VMs and faults of claims and peers are drawn at random, and
// every reply is checked against the oracle.
func TestSubmissionsRunOnceAndRepliesMatchOracle(t *testing.T) {
	checkRepliesAgainstOracle(t, 1<<20, false)
}

// The same with a budget for one answer at each VM.
func TestRepliesMatchOracleWithDroppedAnswers(t *testing.T) { checkRepliesAgainstOracle(t, 200, true) }

func checkRepliesAgainstOracle(t *testing.T, answerBytes int64, dropping bool) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			w := newCluster(rapid.IntRange(2, 3).Draw(rt, "vms"), answerBytes)
			w.dropping = dropping
			w.seed, w.runMS = rapid.Uint32().Draw(rt, "seed"), 6000
			w.faulty = rapid.IntRange(0, 3).Draw(rt, "faulty") > 0
			end := rapid.IntRange(0, 3).Draw(rt, "end of a VM")
			var all []*caller
			for i := range rapid.IntRange(2, 16).Draw(rt, "callers") {
				c := drawCaller(rt, len(w.vms))
				if i > 5 && (end == 1 || end == 2) && c.vm == 0 {
					c.vm = 1
				}
				all = append(all, c)
				go c.call(w)
				time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 200, 1500, 5000}).Draw(rt, "pause in ms")) * time.Millisecond)
				if i == 5 {
					w.endVM(end)
				}
			}
			time.Sleep(30 * time.Second)
			synctest.Wait()
			for _, r := range w.keys {
				must.LessEq(rt, 1, r.submits)
				drained := w.vms[r.runner].drainedAt
				late := !drained.IsZero() && r.granted.After(drained)
				must.False(rt, late && r.submits > 0)
			}
			for _, c := range all {
				if c.vm != 0 || w.vms[0].lostAt.IsZero() {
					c.check(rt, w)
				}
			}
		})
	})
}

// endVM loses VM 0 (1), lets it drain and leave (2), or only lets it drain (3 and more).
func (w *testCluster) endVM(kind int) {
	v := w.vms[0]
	if kind > 1 {
		v.drainedAt = time.Now()
		v.service.Drain()
	}
	switch kind {
	case 1:
		w.mu.Lock()
		v.lostAt = time.Now()
		w.mu.Unlock()
	case 2:
		go func() {
			time.Sleep(7 * time.Second)
			w.mu.Lock()
			v.leftAt = time.Now()
			w.mu.Unlock()
		}()
	}
}
