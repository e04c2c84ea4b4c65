package domains

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
)

// fakes is the platform and the VMs of failure domain "b". A VM without an answer does
// not reply until the context ends.
type fakes struct {
	duty              *Duty
	down              bool
	asked             []string
	answers           map[string]*peerpb.BurnResponse
	fails             map[string]bool
	reportedAddresses [][]string
}

func newFakes(seeds ...string) *fakes {
	f := &fakes{answers: map[string]*peerpb.BurnResponse{}, fails: map[string]bool{}}
	start := time.Now()
	f.duty = New(Options{
		Directory:   newDirectory(map[string][]string{"b": seeds}),
		Source:      f,
		Peers:       f,
		Now:         func() time.Duration { return time.Since(start) },
		OnAddresses: func(addresses []string) { f.reportedAddresses = append(f.reportedAddresses, slices.Clone(addresses)) },
		Log:         slog.New(slog.DiscardHandler),
	})
	return f
}

var errDown = errors.New("down")

func (f *fakes) EntryVMs(_ context.Context, domain string, _ uint64) (tableservice.List, error) {
	if f.down {
		return tableservice.List{}, errDown
	}
	return tableservice.List{Version: 1, VMs: entries(domain, 1)}, nil
}

func TestRunReportsAddressesAndKeepsThemWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes("seed")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			must.NoError(t, f.duty.Run(ctx))
		}()
		time.Sleep(time.Minute)
		f.down = true
		time.Sleep(time.Hour)
		cancel()
		<-done
		must.Eq(t, []string{"seed"}, f.reportedAddresses[0])
		must.Eq(t, []string{"at-b0", "at-c0", "at-d0", "seed"}, f.reportedAddresses[len(f.reportedAddresses)-1])
		must.True(t, f.duty.readFails)
	})
}
