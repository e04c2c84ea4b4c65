package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestGuaranteedBytesAreFreeBesideAFullBudget(t *testing.T) {
	budget := NewBudget(100, 1000)
	large, small := budget.NewAccount(), budget.NewAccount()
	must.NoError(t, large.Reserve(1100))
	must.ErrorIs(t, large.Reserve(1), ErrFull)
	must.NoError(t, small.Reserve(100))
	must.ErrorIs(t, small.Reserve(1), ErrFull)
	large.Release(1)
	must.NoError(t, small.Reserve(1))
	must.Eq(t, 1000, budget.Used())
	large.Close()
	must.ErrorIs(t, large.Reserve(1), ErrFull)
	must.Eq(t, 1, budget.Used())
}

// The bytes that accounts hold beyond their guaranteed ones are always those that the budget counts, and never more
// than it has.
func TestFuzzAccountsHoldNoMoreThanTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guaranteed, shared := rapid.Int64Range(0, 50).Draw(t, "guaranteed"), rapid.Int64Range(1, 200).Draw(t, "shared")
		budget := NewBudget(guaranteed, shared)
		accounts := []*Account{budget.NewAccount(), budget.NewAccount(), budget.NewAccount()}
		held := make([]int64, len(accounts))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, n := rapid.IntRange(0, len(accounts)-1).Draw(t, "account"), rapid.Int64Range(0, 120).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "reserve") {
				beyond := max(held[i]+n-guaranteed, 0) - max(held[i]-guaranteed, 0)
				fits := budget.Used()+beyond <= shared
				err := accounts[i].Reserve(n)
				must.Eq(t, fits, err == nil)
				if err == nil {
					held[i] += n
				}
			} else {
				n = min(n, held[i])
				accounts[i].Release(n)
				held[i] -= n
			}
			want := int64(0)
			for _, bytes := range held {
				want += max(bytes-guaranteed, 0)
			}
			must.Eq(t, want, budget.Used())
		}
	})
}

func TestBodyTakesMemoryForWhatHasArrived(t *testing.T) {
	budget := NewBudget(0, 1<<20)
	account := budget.NewAccount()
	// A body of which little arrives takes little, whatever it announced.
	reader, writer := io.Pipe()
	done := make(chan error)
	go func() {
		_, _, err := ReadBody(reader, 1<<20-1, 1<<20, account)
		done <- err
	}()
	_, _ = writer.Write([]byte("x"))
	must.LessEq(t, firstBytes, budget.Used())
	_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	must.ErrorIs(t, <-done, io.ErrUnexpectedEOF)
	must.Eq(t, 0, budget.Used())
}

func TestBodyBeyondTheBudgetIsRefusedAndHoldsNothing(t *testing.T) {
	budget := NewBudget(0, 4*firstBytes)
	account := budget.NewAccount()
	whole, held, err := ReadBody(strings.NewReader(strings.Repeat("x", 2*firstBytes)), 2*firstBytes, 1<<20, account)
	must.NoError(t, err)
	must.Len(t, 2*firstBytes, whole)
	must.Eq(t, budget.Used(), held)
	_, _, err = ReadBody(strings.NewReader(strings.Repeat("x", 2*firstBytes+1)), -1, 1<<20, budget.NewAccount())
	must.ErrorIs(t, err, ErrFull)
	must.StrContains(t, err.Error(), "later")
	must.Eq(t, held, budget.Used())
	account.Release(held)
	must.Eq(t, 0, budget.Used())
}

func TestFuzzBodiesAreReadWholeOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("ab"), rapid.IntRange(0, 3*firstBytes).Draw(t, "half"))
		limit := rapid.Int64Range(0, 8*firstBytes).Draw(t, "limit")
		announced := int64(len(body))
		if rapid.Bool().Draw(t, "chunked") {
			announced = -1
		}
		var reader io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "slow") {
			reader = iotest.HalfReader(reader)
		}
		budget := NewBudget(0, 1<<20)
		data, held, err := ReadBody(reader, announced, limit, budget.NewAccount())
		must.Eq(t, held, budget.Used())
		if int64(len(body)) > limit {
			_, tooLarge := errors.AsType[*http.MaxBytesError](err)
			must.True(t, tooLarge)
			return
		}
		must.NoError(t, err)
		must.Eq(t, string(body), string(data))
	})
}
