package domains

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

const (
	notRun  = peerpb.KeyState_KEY_STATE_NOT_RUN
	unclear = peerpb.KeyState_KEY_STATE_UNCLEAR
)

var testKey = key.Key{Domain: "b", Epoch: "e", Unique: "k"}

func answer(k key.Key, state peerpb.KeyState) *peerpb.BurnResponse {
	return &peerpb.BurnResponse{Key: k.String(), State: state}
}

func TestExchangeUsesFirstClearAnswerForItsKey(t *testing.T) {
	other := key.Key{Domain: "b", Epoch: "e", Unique: "other"}
	x := NewExchange(0, testKey, []string{"1", "2", "3", "4"})
	x.HandleAnswer(nil)
	x.HandleAnswer(answer(other, notRun))
	x.HandleAnswer(answer(testKey, unclear))
	x.HandleAnswer(answer(testKey, 99))
	must.Eq(t, unclear, x.Answer().GetState())
	x.HandleAnswer(answer(testKey, peerpb.KeyState_KEY_STATE_RUNNING))
	x.HandleAnswer(answer(testKey, notRun))
	must.Eq(t, peerpb.KeyState_KEY_STATE_RUNNING, x.Answer().GetState())
	_, _, ok := x.Next(0)
	must.False(t, ok)
}

func TestExchangeIsBounded(t *testing.T) {
	x := NewExchange(time.Hour, testKey, []string{"1", "2", "3", "4"})
	for _, want := range []string{"1", "2", "3"} {
		address, wait, ok := x.Next(time.Hour)
		must.True(t, ok)
		must.Eq(t, want, address)
		must.Eq(t, AskTimeout, wait)
	}
	_, _, ok := x.Next(time.Hour)
	must.False(t, ok)

	x = NewExchange(0, testKey, []string{"1", "2"})
	_, wait, _ := x.Next(ExchangeTimeout - time.Millisecond)
	must.Eq(t, time.Millisecond, wait)
	_, _, ok = x.Next(ExchangeTimeout)
	must.False(t, ok)
}

func (f *fakes) Burn(ctx context.Context, address string, _ *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	f.asked = append(f.asked, address)
	if f.fails[address] {
		return nil, errDown
	}
	if a := f.answers[address]; a != nil {
		return a, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *fakes) burn(t *testing.T) peerpb.KeyState {
	return f.duty.Burn(t.Context(), testKey).GetState()
}

func TestBurnAsksNextVMAndThenPrefersItToSilentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes("1", "2", "3")
		f.fails["1"] = true
		f.answers["2"] = answer(testKey, unclear)
		f.answers["3"] = answer(testKey, notRun)
		must.Eq(t, notRun, f.burn(t))
		must.Eq(t, []string{"1", "2", "3"}, f.asked)
		must.Eq(t, []string{"2", "3", "1"}, f.duty.candidates("b"))
	})
}

func TestBurnInSilentDomainEndsAndIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes("1", "2", "3")
		begin := time.Now()
		must.Eq(t, unclear, f.burn(t))
		must.Eq(t, ExchangeTimeout, time.Since(begin))
		must.SliceLen(t, 3, f.asked)
		must.Eq(t, unclear, f.burn(t))
		must.SliceLen(t, 3, f.asked, must.Sprint("asked although it counts as unreachable"))
		time.Sleep(DefaultTimes().UnreachablePause)
		f.answers["1"] = answer(testKey, notRun)
		must.Eq(t, notRun, f.burn(t))
	})
}

func TestBurnOfGoneCallerMarksNoVMSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes("1", "2")
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		must.Eq(t, unclear, f.duty.Burn(ctx, testKey).GetState())
		must.Eq(t, []string{"1", "2"}, f.duty.candidates("b"))
	})
}

func TestConcurrentBurnsAreBounded(t *testing.T) {
	f := newFakes("1")
	for range maxExchanges {
		f.duty.slots <- struct{}{}
	}
	must.Eq(t, unclear, f.burn(t))
	must.SliceEmpty(t, f.asked)
	<-f.duty.slots
	f.answers["1"] = answer(testKey, notRun)
	must.Eq(t, notRun, f.burn(t))
	must.Eq(t, notRun, f.burn(t))
}
